//! What speaks against one suspect.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::CrashEvidence;
use crate::SuspectHistory;
use crate::SuspectId;
use crate::SuspectKind;
use crate::crash_log::CrashLog;

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
    /// Number of crashes that shows that the suspect is the cause.
    pub(crate) crashes_needed: usize,
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

    /// Crashes that count. Servers that crash at nearly the same moment may do so for another reason, and count as one.
    /// So do those under one content, for a part that the prompts of different ones have in common.
    fn counted_crashes(&self) -> Vec<&Crash> {
        let mut counted_at: Option<Duration> = None;
        let mut contents = HashSet::new();
        let mut counted = Vec::new();
        for crash in &self.crashes {
            if counted_at.is_some_and(|broke_at| !crash.is_later_than(broke_at)) {
                continue;
            }
            counted_at = Some(crash.broke_at);
            let is_new_content = contents.insert(crash.content);
            if is_new_content || self.kind != SuspectKind::Part {
                counted.push(crash);
            }
        }
        match self.kind {
            // One content alone explains the crashes.
            SuspectKind::SharedContent if contents.len() < 2 => Vec::new(),
            _ => counted,
        }
    }

    /// Number of crashes that count.
    pub(crate) fn crash_count(&self) -> usize {
        self.counted_crashes().len()
    }

    pub(crate) fn is_sufficient(&self) -> bool {
        !self.crashes.is_empty() && self.crash_count() >= self.crashes_needed
    }

    /// Whether enough of the crashes occurred while no other server crashed on which the suspect did not run. A request may be
    /// sent again and again to servers that crash for another reason.
    pub(crate) fn is_certain(&self, log: &CrashLog) -> bool {
        let is_lone = |crash: &&Crash| {
            let mut others = log.unexplained_near(crash.broke_at, SERIES_TIME);
            others.all(|server| self.has_crash(server))
        };
        let counted = self.counted_crashes();
        counted.into_iter().filter(is_lone).count() >= self.crashes_needed
    }

    /// Whether each server that crashed under another suspect crashed under this one, too.
    pub(crate) fn explains(&self, other: &Suspicion) -> bool {
        let mut crashes = other.crashes.iter();
        crashes.all(|crash| self.has_crash(&crash.server))
    }

    /// Order among suspects: the fewest runs begun, then the most crashes, then the last of the run, which the fewest
    /// requests share.
    pub(crate) fn rank(&self) -> (u32, Reverse<usize>, Reverse<usize>) {
        (
            self.history.begun_count,
            Reverse(self.crash_count()),
            Reverse(self.position),
        )
    }

    /// When the last of the crashes occurred.
    pub(crate) fn last_crash_at(&self) -> Option<Duration> {
        self.crashes.last().map(|crash| crash.broke_at)
    }
}
