//! Weighs crashes of servers against the prompts that ran there.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::CrashEvidence;
use crate::RequestKey;
use crate::SuspectHistory;
use crate::SuspectId;

/// Weight of a crash under the first run of a request.
const FIRST_RUN_WEIGHT: usize = 2;
/// Weight of a crash under a further run of the same request. It shows less: a request that ran beside the cause of one
/// crash may be sent again to a server beside the cause of the next.
const FURTHER_RUN_WEIGHT: usize = 1;
/// Time within which servers crash at the same moment.
const SIMULTANEOUS: Duration = Duration::from_millis(30);
/// Longest run that may have been in progress when the server before crashed. A host that was suspended meanwhile
/// notices late that its runs broke.
const OVERLAPPING_RUN_MAX: Duration = Duration::from_millis(500);
/// Weight that shows that a suspect crashes servers: three requests, or two that were sent twice.
const WEIGHT_NEEDED: usize = 3 * FIRST_RUN_WEIGHT;
/// Weight needed for a suspect while another suspect of the same run is the first suspect, with as few runs begun.
const WEIGHT_NEEDED_OF_AMBIGUOUS: usize = 5 * FIRST_RUN_WEIGHT;
/// Weight needed for a suspect while more runs with it have begun than with another suspect of the same run.
const WEIGHT_NEEDED_OF_PROVEN: usize = 8 * FIRST_RUN_WEIGHT;
/// Weight that suffices for a suspect on probation.
const WEIGHT_NEEDED_ON_PROBATION: usize = FIRST_RUN_WEIGHT;
/// Time for which a crash counts.
const CRASH_AGE_MAX: Duration = Duration::from_secs(600);
/// Maximum number of crashes that are kept of a suspect.
const CRASHES_KEPT: usize = 16;
/// Maximum number of suspects under suspicion. The one with the oldest crash is dropped first.
const SUSPECTS_MAX: usize = 4096;

/// A crash that may be due to a suspect.
#[derive(Debug)]
struct Crash {
    server: BackendServerId,
    request: RequestKey,
    sent_at: Duration,
    broke_at: Duration,
}

impl Crash {
    /// Whether it occurred after an earlier crash, not at the same moment.
    fn is_later_than(&self, broke_at: Duration) -> bool {
        let is_short = self.broke_at.saturating_sub(self.sent_at) <= OVERLAPPING_RUN_MAX;
        self.sent_at >= broke_at || (is_short && self.broke_at >= broke_at + SIMULTANEOUS)
    }
}

/// What speaks against a suspect.
#[derive(Debug, Default)]
struct Suspicion {
    /// In the order in which the runs broke.
    crashes: Vec<Crash>,
    /// Recent runs with the suspect that have begun, as far as known. Crashes before the last of them do not count.
    history: SuspectHistory,
    /// Weight of the crashes that shows that the suspect is the cause.
    weight_needed: usize,
    /// Number of suspects in front of it in the last run.
    position: usize,
}

impl Suspicion {
    fn record_history(&mut self, history: SuspectHistory) {
        self.history.begun_count = self.history.begun_count.max(history.begun_count);
        self.history.last_begun_at = self.history.last_begun_at.max(history.last_begun_at);
        if let Some(begun_at) = self.history.last_begun_at {
            self.crashes.retain(|crash| crash.broke_at > begun_at);
        }
    }

    fn record_crash(&mut self, evidence: &CrashEvidence) {
        let last_begun_at = self.history.last_begun_at;
        let is_refuted = last_begun_at.is_some_and(|at| at >= evidence.broke_at);
        let is_known = |crash: &Crash| crash.server == evidence.server;
        if is_refuted || self.crashes.iter().any(is_known) {
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
            request: evidence.request,
            sent_at: evidence.sent_at,
            broke_at: evidence.broke_at,
        };
        self.crashes.insert(position, crash);
    }

    /// Weight of the crashes. Servers that crash at nearly the same moment may do so for another reason, and count as one.
    fn weight(&self) -> usize {
        let mut counted: Option<Duration> = None;
        let mut requests = HashSet::new();
        let mut weight = 0;
        for crash in &self.crashes {
            if counted.is_some_and(|broke_at| !crash.is_later_than(broke_at)) {
                continue;
            }
            counted = Some(crash.broke_at);
            weight += match requests.insert(crash.request) {
                true => FIRST_RUN_WEIGHT,
                false => FURTHER_RUN_WEIGHT,
            };
        }
        weight
    }

    fn is_sufficient(&self) -> bool {
        !self.crashes.is_empty() && self.weight() >= self.weight_needed
    }

    /// Order among suspects: the fewest runs begun, then the greatest weight, then the last of the run, which the fewest
    /// prompts share.
    fn rank(&self) -> (u32, Reverse<usize>, Reverse<usize>) {
        (
            self.history.begun_count,
            Reverse(self.weight()),
            Reverse(self.position),
        )
    }

    /// When the last of the crashes occurred.
    fn last_crash_at(&self) -> Option<Duration> {
        self.crashes.last().map(|crash| crash.broke_at)
    }
}

/// A suspect that crashes servers, and the evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The suspect.
    pub suspect: SuspectId,
    /// Servers that crashed.
    pub servers: Vec<BackendServerId>,
}

/// Weighs crashes of servers against the prompts that ran there.
///
/// A suspect is found to crash servers if several crashed in series under it, and no run with it began meanwhile. The crash of
/// a server also breaks the runs beside the one that caused it, and the prompts of a route have their first part in
/// common; both are told from the cause because other runs with them begin. Since these may begin at any host, all
/// hosts are asked for their history of a suspect before it is found to be the cause.
#[derive(Debug, Default)]
pub struct CrashInquiry {
    suspicions: BTreeMap<SuspectId, Suspicion>,
}

impl CrashInquiry {
    /// Records a crash. `is_on_probation` tells whether a suspect has crashed servers before, so that a single crash suffices.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_quarantine::{CrashEvidence, CrashInquiry, SuspectEvidence, SuspectHistory};
    /// let mut inquiry = CrashInquiry::default();
    /// for second in 1..=3 {
    ///     assert!(inquiry.suspects().is_empty());
    ///     let evidence = CrashEvidence {
    ///         server: format!("s{second}"),
    ///         request: second,
    ///         sent_at: Duration::from_secs(second),
    ///         broke_at: Duration::from_secs(second),
    ///         suspects: vec![SuspectEvidence { suspect: 7, history: SuspectHistory::default() }],
    ///     };
    ///     inquiry.record_crash(&evidence, |_| false, Duration::from_secs(second));
    /// }
    /// assert_eq!(inquiry.suspects(), [7]);
    /// assert_eq!(inquiry.conclude().unwrap().servers, ["s1", "s2", "s3"]);
    /// ```
    pub fn record_crash<P>(&mut self, evidence: &CrashEvidence, is_on_probation: P, now: Duration)
    where
        P: Fn(SuspectId) -> bool,
    {
        self.expire(now);
        for (position, suspect) in evidence.suspects.iter().enumerate() {
            let suspicion = self.suspicions.entry(suspect.suspect).or_default();
            suspicion.position = position;
            suspicion.record_history(suspect.history);
            suspicion.record_crash(evidence);
        }
        let mut suspects: Vec<SuspectId> = evidence
            .suspects
            .iter()
            .map(|suspect| suspect.suspect)
            .collect();
        suspects.sort_by_key(|suspect| self.suspicions.get(suspect).map(Suspicion::rank));
        let begun_count = |suspect| {
            self.suspicions
                .get(suspect)
                .map(|found| found.history.begun_count)
        };
        let fewest_begun = suspects.first().and_then(begun_count);
        for (index, suspect) in suspects.iter().enumerate() {
            let Some(suspicion) = self.suspicions.get_mut(suspect) else {
                continue;
            };
            suspicion.weight_needed = match index {
                _ if is_on_probation(*suspect) => WEIGHT_NEEDED_ON_PROBATION,
                0 => WEIGHT_NEEDED,
                _ if Some(suspicion.history.begun_count) == fewest_begun => {
                    WEIGHT_NEEDED_OF_AMBIGUOUS
                }
                _ => WEIGHT_NEEDED_OF_PROVEN,
            };
        }
        self.drop_excess();
    }

    /// Suspects that seem to crash servers. All hosts are to be asked for their history of these suspects before
    /// [`conclude`](Self::conclude).
    pub fn suspects(&self) -> Vec<SuspectId> {
        let suspicions = self.suspicions.iter();
        let sufficient = suspicions.filter(|(_, suspicion)| suspicion.is_sufficient());
        sufficient.map(|(suspect, _)| *suspect).collect()
    }

    /// Records the recent runs with a suspect that have begun at all hosts together.
    pub fn record_history(&mut self, suspect: SuspectId, history: SuspectHistory) {
        if let Some(suspicion) = self.suspicions.get_mut(&suspect) {
            suspicion.record_history(history);
        }
    }

    /// Returns a suspect that crashes servers, if any is left. The crashes under it are explained, and no longer speak against
    /// other suspects.
    pub fn conclude(&mut self) -> Option<Finding> {
        let suspicions = self.suspicions.iter();
        let suspect = suspicions
            .filter(|(_, suspicion)| suspicion.is_sufficient())
            .min_by_key(|(_, suspicion)| suspicion.rank())
            .map(|(suspect, _)| *suspect)?;
        let suspicion = self.suspicions.remove(&suspect)?;
        let crashes = suspicion.crashes.into_iter();
        let servers: Vec<BackendServerId> = crashes.map(|crash| crash.server).collect();
        for other in self.suspicions.values_mut() {
            other
                .crashes
                .retain(|crash| !servers.contains(&crash.server));
        }
        Some(Finding { suspect, servers })
    }

    fn expire(&mut self, now: Duration) {
        self.suspicions.retain(|_, suspicion| {
            suspicion
                .crashes
                .retain(|crash| now.saturating_sub(crash.broke_at) < CRASH_AGE_MAX);
            !suspicion.crashes.is_empty()
        });
    }

    fn drop_excess(&mut self) {
        while self.suspicions.len() > SUSPECTS_MAX {
            let oldest = self
                .suspicions
                .iter()
                .min_by_key(|(_, suspicion)| suspicion.last_crash_at())
                .map(|(suspect, _)| *suspect);
            if let Some(suspect) = oldest {
                self.suspicions.remove(&suspect);
            }
        }
    }
}
