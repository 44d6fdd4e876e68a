//! What speaks against one suspect.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::CrashEvidence;
use crate::SuspectHistory;
use crate::SuspectId;
use crate::SuspectKind;
use crate::crash_log::CrashLog;

/// Weight of a crash.
pub(crate) const CRASH_WEIGHT: usize = 2;
/// Weight of the second crash under one content, for a part. It shows less: the content may be the cause.
const FURTHER_CRASH_WEIGHT: usize = 1;
/// Time around a crash in which others are considered.
const SERIES_TIME: Duration = Duration::from_millis(300);
/// Time within which servers crash at the same moment.
const SIMULTANEOUS: Duration = Duration::from_millis(30);
/// Longest run that may have been in progress when the server before crashed. A host that was suspended meanwhile
/// notices late that its runs broke.
const OVERLAPPING_RUN_MAX: Duration = Duration::from_millis(500);
/// Maximum number of crashes that are kept of a suspect.
const CRASHES_KEPT: usize = 16;

/// A crash that may be due to a suspect.
#[derive(Debug)]
pub(crate) struct Crash {
    pub(crate) server: BackendServerId,
    /// Content of the request that ran there.
    pub(crate) content: SuspectId,
    sent_at: Duration,
    pub(crate) broke_at: Duration,
}

impl Crash {
    /// Whether it occurred after an earlier crash, not at the same moment.
    fn is_later_than(&self, broke_at: Duration) -> bool {
        let is_short = self.broke_at.saturating_sub(self.sent_at) <= OVERLAPPING_RUN_MAX;
        self.sent_at >= broke_at || (is_short && self.broke_at >= broke_at + SIMULTANEOUS)
    }
}

/// What speaks against one suspect.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// In the order in which the runs broke.
    pub(crate) crashes: Vec<Crash>,
    /// Recent runs with the suspect that have begun, as far as known. Crashes before the last of them do not count.
    pub(crate) history: SuspectHistory,
    /// Weight of the crashes that shows that the suspect is the cause.
    pub(crate) weight_needed: usize,
    /// Number of suspects in front of it in the last run.
    pub(crate) position: usize,
    /// What it is.
    pub(crate) kind: SuspectKind,
}

impl Suspicion {
    pub(crate) fn record_history(&mut self, history: SuspectHistory) {
        self.history.begun_count = self.history.begun_count.max(history.begun_count);
        self.history.last_begun_at = self.history.last_begun_at.max(history.last_begun_at);
        if let Some(begun_at) = self.history.last_begun_at {
            self.crashes.retain(|crash| crash.broke_at > begun_at);
        }
    }

    pub(crate) fn record_crash(&mut self, evidence: &CrashEvidence) {
        let last_begun_at = self.history.last_begun_at;
        let is_refuted = last_begun_at.is_some_and(|at| at >= evidence.broke_at);
        if is_refuted || self.has_crash(&evidence.server) {
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.remove(0);
        }
        let position = self
            .crashes
            .partition_point(|crash| crash.broke_at <= evidence.broke_at);
        let crash = Crash {
            server: evidence.server.clone(),
            content: evidence.content,
            sent_at: evidence.sent_at,
            broke_at: evidence.broke_at,
        };
        self.crashes.insert(position, crash);
    }

    fn has_crash(&self, server: &BackendServerId) -> bool {
        self.crashes.iter().any(|crash| crash.server == *server)
    }

    /// Crashes that count, with their weights. Servers that crash at nearly the same moment may do so for another reason, and
    /// count as one for a part.
    fn weighed_crashes(&self) -> Vec<(&Crash, usize)> {
        let mut counted_at: Option<Duration> = None;
        let mut contents: HashMap<SuspectId, usize> = HashMap::new();
        let mut weighed = Vec::new();
        for crash in &self.crashes {
            let is_simultaneous = counted_at.is_some_and(|broke_at| !crash.is_later_than(broke_at));
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

    pub(crate) fn is_sufficient(&self) -> bool {
        !self.crashes.is_empty() && self.weight() >= self.weight_needed
    }

    /// Whether enough of the crashes occurred while no other server crashed on which the suspect did not run. A request may be
    /// sent again and again to servers that crash for another reason.
    pub(crate) fn is_certain(&self, log: &CrashLog) -> bool {
        let is_lone = |crash: &Crash| {
            let mut others = log.unexplained_near(crash.broke_at, SERIES_TIME);
            others.all(|server| self.has_crash(server))
        };
        let weighed = self.weighed_crashes().into_iter();
        let lone = weighed.filter(|(crash, _)| is_lone(crash));
        lone.map(|(_, weight)| weight).sum::<usize>() >= self.weight_needed
    }

    /// Whether each server that crashed under another suspect crashed under this one, too.
    pub(crate) fn explains(&self, other: &Suspicion) -> bool {
        let mut crashes = other.crashes.iter();
        crashes.all(|crash| self.has_crash(&crash.server))
    }

    /// Order among suspects: the fewest runs begun, then the greatest weight, then the last of the run, which the fewest
    /// requests share.
    pub(crate) fn rank(&self) -> (u32, Reverse<usize>, Reverse<usize>) {
        (
            self.history.begun_count,
            Reverse(self.weight()),
            Reverse(self.position),
        )
    }

    /// When the last of the crashes occurred.
    pub(crate) fn last_crash_at(&self) -> Option<Duration> {
        self.crashes.last().map(|crash| crash.broke_at)
    }
}
