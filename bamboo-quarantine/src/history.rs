//! Suspects of prompts with which runs have begun at this host.

use std::collections::HashMap;
use std::time::Duration;

use crate::SuspectId;

/// Time after which the newer counts become the older ones, and the older ones are forgotten.
const GENERATION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of suspects in a generation.
const GENERATION_SUSPECTS_MAX: usize = 32_768;

/// Recent runs with a suspect that have begun.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectHistory {
    /// Number of runs.
    pub begun_count: u32,
    /// When the last of them began.
    pub last_begun_at: Option<Duration>,
}

impl SuspectHistory {
    /// Combines the histories of two hosts.
    ///
    /// ```
    /// let history = bamboo_quarantine::SuspectHistory { begun_count: 2, last_begun_at: None };
    /// assert_eq!(history.and(history).begun_count, 4);
    /// ```
    pub fn and(self, other: SuspectHistory) -> SuspectHistory {
        SuspectHistory {
            begun_count: self.begun_count.saturating_add(other.begun_count),
            last_begun_at: self.last_begun_at.max(other.last_begun_at),
        }
    }
}

/// Counts the runs that have begun, by suspect, over the last one to two minutes. Memory is bounded: the
/// counts of the oldest suspects are forgotten sooner if there are many.
#[derive(Debug, Default)]
pub struct RunHistory {
    newer: HashMap<SuspectId, SuspectHistory>,
    older: HashMap<SuspectId, SuspectHistory>,
    newer_since: Duration,
}

impl RunHistory {
    /// Records that a run with these suspects has begun.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut history = bamboo_quarantine::RunHistory::default();
    /// history.record_begun(&[7], Duration::from_secs(1));
    /// assert_eq!(history.find(7).begun_count, 1);
    /// assert_eq!(history.find(8).last_begun_at, None);
    /// ```
    pub fn record_begun(&mut self, suspects: &[SuspectId], now: Duration) {
        let is_old = now.saturating_sub(self.newer_since) >= GENERATION_TIME;
        if is_old || self.newer.len() >= GENERATION_SUSPECTS_MAX {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        for suspect in suspects {
            let history = self.newer.entry(*suspect).or_default();
            history.begun_count = history.begun_count.saturating_add(1);
            history.last_begun_at = Some(now);
        }
    }

    /// The recent runs with a suspect.
    pub fn find(&self, suspect: SuspectId) -> SuspectHistory {
        let newer = self.newer.get(&suspect).copied().unwrap_or_default();
        let older = self.older.get(&suspect).copied().unwrap_or_default();
        newer.and(older)
    }
}
