//! What speaks against one suspect.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::CrashEvidence;
use crate::RunLength;
use crate::SuspectHistory;
use crate::SuspectId;
use crate::SuspectKind;
use crate::crash_log::CrashLog;
use crate::crash_log::CrashNumber;

/// Weight of a crash.
pub(crate) const CRASH_WEIGHT: usize = 2;
/// Weight needed for a part of prompts while more sound runs have it than another part of the same prompt.
pub(crate) const PROVEN_PART_WEIGHT: usize = 8 * CRASH_WEIGHT;
/// Weight of the second crash under one content, for a part. It shows less: the content may be the cause.
const FURTHER_CRASH_WEIGHT: usize = 1;
/// Weight needed beyond that of early crashes for contents. A stream may break late at several servers that crash for another
/// reason, and goes on each time.
const LATE_CONTENT_WEIGHT: usize = 2 * CRASH_WEIGHT;
/// Time around a crash in which others are considered.
const SERIES_TIME: Duration = Duration::from_millis(300);
/// Time within which servers crash at the same moment.
const SIMULTANEOUS: Duration = Duration::from_millis(30);
/// Time before the first crash in which others show that servers crash for another reason.
const OTHER_CRASHES_TIME: Duration = Duration::from_secs(2);
/// Crashes that show that a part is the cause while most servers crash without it.
const CRASHES_NEEDED_AMONG_OTHERS: usize = 8;
/// The same, while more runs with it ended whole than with another part of the same prompt.
const CRASHES_NEEDED_OF_PROVEN_AMONG_OTHERS: usize = 12;
/// Least number of different contents among them.
const CONTENTS_NEEDED_AMONG_OTHERS: usize = 3;
/// Maximum number of crashes that are kept of a suspect.
const CRASHES_KEPT: usize = 16;

/// A crash that may be due to a suspect.
#[derive(Debug)]
pub(crate) struct Crash {
    pub(crate) number: CrashNumber,
    pub(crate) server: BackendServerId,
    /// Content of the request that ran there.
    pub(crate) content: SuspectId,
    /// How far the run came. Sound runs that came as far show that the suspect is not the cause.
    length: RunLength,
    sent_at: Duration,
    pub(crate) broke_at: Duration,
}

impl Crash {
    /// Whether it occurred after an earlier crash, not at the same moment.
    fn is_later_than(&self, broke_at: Duration) -> bool {
        self.sent_at >= broke_at || self.broke_at >= broke_at + SIMULTANEOUS
    }
}

/// What speaks against one suspect.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// In the order in which the runs broke.
    pub(crate) crashes: Vec<Crash>,
    /// Recent runs with the suspect that ended whole, as far as known. Crashes that they clear do not count.
    pub(crate) history: SuspectHistory,
    /// Weight that shows that the suspect is the cause, of crashes before the runs had begun.
    pub(crate) early_weight_needed: usize,
    /// Weight that shows that the suspect is the cause, of all crashes.
    pub(crate) weight_needed: usize,
    /// Number of suspects in front of it in the last run.
    pub(crate) position: usize,
    /// What it is.
    pub(crate) kind: SuspectKind,
}

impl Suspicion {
    /// Adds what is known of sound runs, and drops the crashes that they clear.
    pub(crate) fn record_history(&mut self, history: &SuspectHistory) {
        self.history.or(history);
        let history = &self.history;
        self.crashes
            .retain(|crash| !history.clears(crash.length, crash.broke_at));
    }

    /// Adds a crash, unless a later run has cleared the suspect of it.
    pub(crate) fn record_crash(&mut self, number: CrashNumber, evidence: &CrashEvidence) {
        let length = RunLength::of_events(evidence.events);
        let is_cleared = self.history.clears(length, evidence.broke_at);
        if is_cleared || self.has_crash(number) {
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.remove(0);
        }
        let position = self
            .crashes
            .partition_point(|crash| crash.broke_at <= evidence.broke_at);
        let crash = Crash {
            number,
            server: evidence.server.clone(),
            content: evidence.content,
            length,
            sent_at: evidence.sent_at,
            broke_at: evidence.broke_at,
        };
        self.crashes.insert(position, crash);
    }

    pub(crate) fn has_crash(&self, number: CrashNumber) -> bool {
        self.crashes.iter().any(|crash| crash.number == number)
    }

    /// Crashes that count, with their weights. Servers that crash at nearly the same moment may do so for another reason, and
    /// count as one for a part.
    fn weighed_crashes(&self) -> Vec<(&Crash, usize)> {
        self.weigh(self.crashes.iter())
    }

    /// Weight of the crashes before the runs had begun, which need not have ended whole to show the opposite.
    fn early_weight(&self) -> usize {
        let early = self.crashes.iter();
        let weighed = self.weigh(early.filter(|crash| crash.length <= RunLength::BEGUN));
        weighed.iter().map(|(_, weight)| weight).sum()
    }

    fn weigh<'a, C>(&self, crashes: C) -> Vec<(&'a Crash, usize)>
    where
        C: Iterator<Item = &'a Crash>,
    {
        let mut counted_at: Option<Duration> = None;
        let mut contents: HashMap<SuspectId, usize> = HashMap::new();
        let mut weighed = Vec::new();
        for crash in crashes {
            let is_simultaneous = counted_at.is_some_and(|at| !crash.is_later_than(at));
            // A sound request is sent again only after a crash, so that it does not run on two servers at once.
            if is_simultaneous && self.kind == SuspectKind::Part {
                continue;
            }
            counted_at = Some(crash.broke_at);
            let earlier = contents.entry(crash.content).or_default();
            let weight = match (self.kind, *earlier) {
                (SuspectKind::SharedContent | SuspectKind::WholeContent, _) | (_, 0) => {
                    CRASH_WEIGHT
                }
                (SuspectKind::Part, 1) => FURTHER_CRASH_WEIGHT,
                (SuspectKind::Part, _) => 0,
            };
            *earlier += 1;
            weighed.push((crash, weight));
        }
        match self.kind {
            // One content alone explains the crashes.
            SuspectKind::SharedContent if contents.len() < 2 && !self.is_on_probation() => {
                Vec::new()
            }
            _ => weighed,
        }
    }

    /// Whether it has crashed servers before, so that one crash suffices.
    fn is_on_probation(&self) -> bool {
        self.weight_needed <= CRASH_WEIGHT
    }

    /// Weight of the crashes.
    pub(crate) fn weight(&self) -> usize {
        let weighed = self.weighed_crashes().into_iter();
        weighed.map(|(_, weight)| weight).sum()
    }

    /// Whether the crashes show that the suspect is the cause. `is_lone` tells whether most crashes have it in common.
    pub(crate) fn is_sufficient<L>(&self, is_lone: L) -> bool
    where
        L: FnOnce() -> bool,
    {
        if CRASH_WEIGHT * self.crashes.len() < self.early_weight_needed.min(self.weight_needed) {
            return false;
        }
        if self.is_on_probation() {
            return self.weight() >= self.weight_needed;
        }
        if self.kind != SuspectKind::Part {
            return self.early_weight() >= self.weight_needed
                || self.weight() >= self.weight_needed + LATE_CONTENT_WEIGHT;
        }
        self.early_weight() >= self.early_weight_needed
            || self.is_sufficient_among_others()
            || (self.weight() >= self.weight_needed + CRASH_WEIGHT && is_lone())
    }

    /// Time in which other crashes show that servers crash for another reason.
    pub(crate) fn compared_time(&self) -> Option<RangeInclusive<Duration>> {
        let (first, last) = (self.crashes.first()?, self.crashes.last()?);
        Some(first.broke_at.saturating_sub(OTHER_CRASHES_TIME)..=last.broke_at)
    }

    /// Whether the crashes are too many for a part that only ran beside the causes.
    fn is_sufficient_among_others(&self) -> bool {
        let weighed = self.weighed_crashes();
        let contents: HashSet<SuspectId> = weighed.iter().map(|(crash, _)| crash.content).collect();
        let needed = match self.weight_needed < PROVEN_PART_WEIGHT {
            true => CRASHES_NEEDED_AMONG_OTHERS,
            false => CRASHES_NEEDED_OF_PROVEN_AMONG_OTHERS,
        };
        weighed.len() >= needed && contents.len() >= CONTENTS_NEEDED_AMONG_OTHERS
    }

    /// Whether enough of the crashes occurred while no other server crashed on which the suspect did not run. A request may be
    /// sent again and again to servers that crash for another reason.
    pub(crate) fn is_certain(&self, log: &CrashLog) -> bool {
        let is_lone = |crash: &Crash| {
            let near = crash.broke_at.saturating_sub(SERIES_TIME)..=crash.broke_at + SERIES_TIME;
            let mut others = log.unexplained_within(near);
            others.all(|number| self.has_crash(number))
        };
        let weighed = self.weighed_crashes().into_iter();
        let lone = weighed.filter(|(crash, _)| is_lone(crash));
        lone.map(|(_, weight)| weight).sum::<usize>() >= self.weight_needed
    }

    /// Whether each server that crashed under another suspect crashed under this one, too.
    pub(crate) fn explains(&self, other: &Suspicion) -> bool {
        let mut crashes = other.crashes.iter();
        crashes.all(|crash| self.has_crash(crash.number))
    }

    /// Order among suspects: the fewest whole runs, then the greatest weight, then the last of the run, which the fewest
    /// requests share.
    pub(crate) fn rank(&self) -> (u32, Reverse<usize>, Reverse<usize>) {
        (
            self.history.whole_count,
            Reverse(self.weight()),
            Reverse(self.position),
        )
    }

    /// When the last of the crashes occurred.
    pub(crate) fn last_crash_at(&self) -> Option<Duration> {
        self.crashes.last().map(|crash| crash.broke_at)
    }
}
