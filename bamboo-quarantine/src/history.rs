//! Suspects with which runs have begun or ended whole at this host.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::SuspectId;

/// Time after which the newer counts become the older ones, and the older ones are forgotten.
const GENERATION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of suspects in a generation.
const GENERATION_SUSPECTS_MAX: usize = 32_768;
/// Events of a response that one [`RunLength`] spans.
const EVENTS_PER_LENGTH: u32 = 4;
/// The longest run that is told from longer ones.
const LENGTH_MAX: u32 = 9;

/// Stands for what all runs have in common.
pub const ALL_RUNS: SuspectId = SuspectId::MAX;

/// How far a run came before it ended or broke, in steps of a few events up to a maximum.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunLength(u32);

impl RunLength {
    /// Length of a run whose response is not a stream.
    pub const WHOLE_ANSWER: RunLength = RunLength(LENGTH_MAX);
    /// Length of a run that has begun and may break later.
    pub const BEGUN: RunLength = RunLength(1);
    /// Events after which a run has begun.
    pub const EVENTS_TO_BEGIN: u32 = EVENTS_PER_LENGTH;

    /// Length of a run that ended whole, or broke, after a number of events.
    ///
    /// ```
    /// use bamboo_quarantine::RunLength;
    /// assert!(RunLength::of_events(30) > RunLength::of_events(20));
    /// assert!(RunLength::of_events(4) > RunLength::BEGUN);
    /// assert!(RunLength::of_events(0) < RunLength::BEGUN);
    /// ```
    pub fn of_events(events: u32) -> Self {
        match events {
            0 => RunLength(0),
            _ => RunLength((events / EVENTS_PER_LENGTH + 1).min(LENGTH_MAX)),
        }
    }
}

/// A run that came this far without a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoundRun {
    /// Its length.
    pub length: RunLength,
    /// When it had come this far.
    pub reached_at: Duration,
}

/// Recent runs with a suspect that ended whole, or have begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectHistory {
    /// Number of runs that have begun.
    pub begun_count: u32,
    /// Number of runs that ended whole.
    pub whole_count: u32,
    /// The last of the runs, and the last ones that were longer than each after them.
    pub last_runs: Vec<SoundRun>,
}

impl SuspectHistory {
    /// Combines the histories of two hosts.
    ///
    /// ```
    /// use bamboo_quarantine::SuspectHistory;
    /// let history = SuspectHistory { begun_count: 2, whole_count: 1, last_runs: Vec::new() };
    /// assert_eq!(history.clone().and(&history).begun_count, 4);
    /// ```
    pub fn and(mut self, other: &SuspectHistory) -> SuspectHistory {
        self.begun_count = self.begun_count.saturating_add(other.begun_count);
        self.whole_count = self.whole_count.saturating_add(other.whole_count);
        for run in &other.last_runs {
            self.add_run(*run);
        }
        self
    }

    /// Combines what two reports say of the same runs.
    pub(crate) fn or(&mut self, other: &SuspectHistory) {
        self.begun_count = self.begun_count.max(other.begun_count);
        self.whole_count = self.whole_count.max(other.whole_count);
        for run in &other.last_runs {
            self.add_run(*run);
        }
    }

    /// Whether a run came further than one that broke at an instant, later than that.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_quarantine::{RunHistory, RunLength};
    /// let mut history = RunHistory::default();
    /// history.record_whole(&[7], RunLength::of_events(30), Duration::from_secs(2));
    /// assert!(history.find(7).clears(RunLength::of_events(5), Duration::from_secs(1)));
    /// assert!(!history.find(7).clears(RunLength::of_events(5), Duration::from_secs(3)));
    /// ```
    pub fn clears(&self, length: RunLength, broke_at: Duration) -> bool {
        let mut runs = self.last_runs.iter();
        runs.any(|run| run.length >= length && run.reached_at >= broke_at)
    }

    fn add_run(&mut self, run: SoundRun) {
        let is_covered = |by: &SoundRun, run: &SoundRun| {
            by.length >= run.length && by.reached_at >= run.reached_at
        };
        if self.last_runs.iter().any(|known| is_covered(known, &run)) {
            return;
        }
        self.last_runs.retain(|known| !is_covered(&run, known));
        self.last_runs.push(run);
    }
}

/// Remembers the runs that came far enough, by suspect, over the last one to two minutes. Memory is bounded: the counts of the
/// oldest suspects are forgotten sooner if there are many.
#[derive(Debug, Default)]
pub struct RunHistory {
    newer: HashMap<SuspectId, SuspectHistory>,
    older: HashMap<SuspectId, SuspectHistory>,
    newer_since: Duration,
}

impl RunHistory {
    /// Records that a run with these suspects has ended whole.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_quarantine::{RunHistory, RunLength};
    /// let mut history = RunHistory::default();
    /// history.record_whole(&[7], RunLength::WHOLE_ANSWER, Duration::from_secs(1));
    /// assert_eq!(history.find(7).whole_count, 1);
    /// assert!(history.find(8).last_runs.is_empty());
    /// ```
    pub fn record_whole(&mut self, suspects: &[SuspectId], length: RunLength, now: Duration) {
        let count_run = |history: &mut SuspectHistory| history.whole_count += 1;
        self.record(suspects, length, now, count_run);
        self.record(&[ALL_RUNS], length, now, count_run);
    }

    /// Records that a run with these suspects has begun.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_quarantine::{RunHistory, RunLength};
    /// let mut history = RunHistory::default();
    /// history.record_begun(&[7], Duration::from_secs(1));
    /// assert!(history.find(7).clears(RunLength::of_events(3), Duration::from_secs(1)));
    /// assert!(!history.find(7).clears(RunLength::of_events(4), Duration::from_secs(1)));
    /// ```
    pub fn record_begun(&mut self, suspects: &[SuspectId], now: Duration) {
        self.record(suspects, RunLength::BEGUN, now, |history| {
            history.begun_count += 1;
        });
    }

    fn record<C>(&mut self, suspects: &[SuspectId], length: RunLength, now: Duration, count_run: C)
    where
        C: Fn(&mut SuspectHistory),
    {
        let is_old = now.saturating_sub(self.newer_since) >= GENERATION_TIME;
        if is_old || self.newer.len() >= GENERATION_SUSPECTS_MAX {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        let run = SoundRun {
            length,
            reached_at: now,
        };
        for suspect in suspects {
            let history = self.newer.entry(*suspect).or_default();
            count_run(history);
            history.add_run(run);
        }
    }

    /// The recent runs with a suspect.
    pub fn find(&self, suspect: SuspectId) -> SuspectHistory {
        let newer = self.newer.get(&suspect).cloned().unwrap_or_default();
        match self.older.get(&suspect) {
            Some(older) => newer.and(older),
            None => newer,
        }
    }
}
