//! Weighs crashes of servers against the requests that ran there.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::ALL_RUNS;
use crate::CrashEvidence;
use crate::SuspectHistory;
use crate::SuspectId;
use crate::SuspectKind;
use crate::crash_log::CrashLog;
use crate::crash_log::CrashNumber;
use crate::suspect_kind;
use crate::suspicion::CRASH_WEIGHT;
use crate::suspicion::Crash;
use crate::suspicion::PROVEN_PART_WEIGHT;
use crate::suspicion::Suspicion;

/// Weight that shows that a suspect crashes servers.
const WEIGHT_NEEDED: usize = 3 * CRASH_WEIGHT;
/// Weight needed for a suspect while another one explains its crashes as well.
const WEIGHT_NEEDED_OF_AMBIGUOUS: usize = 5 * CRASH_WEIGHT;
/// Weight needed for what the requests of several callers have in common.
const WEIGHT_NEEDED_OF_SHARED: usize = 4 * CRASH_WEIGHT;
/// Weight that suffices for a suspect on probation.
const WEIGHT_NEEDED_ON_PROBATION: usize = CRASH_WEIGHT;
/// Whole runs, over all hosts, without which it says little that none of a suspect's is among them.
const WHOLE_RUNS_TO_COMPARE: u32 = 100;
/// Time for which a crash counts.
const CRASH_AGE_MAX: Duration = Duration::from_secs(600);
/// Maximum number of suspects under suspicion. The one with the oldest crash is dropped first.
const SUSPECTS_MAX: usize = 4096;

/// A suspect that crashes servers, and the evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The suspect.
    pub suspect: SuspectId,
    /// Servers that crashed.
    pub servers: Vec<BackendServerId>,
    /// Whether no other server crashed at that time without a cause that is known.
    pub is_certain: bool,
}

/// Weighs crashes of servers against the requests that ran there.
///
/// A suspect is found to crash servers if several crashed in series under it, and no run with it came further: under one
/// content, or under several that have the suspect in common. The crash of a server also breaks the runs beside the one that
/// caused it, and the prompts of a route have their first part in common; both are told from the cause because other runs
/// with them end whole. Since these may run at any host, all hosts are asked for their history of a suspect before it is found
/// to be the cause.
#[derive(Debug, Default)]
pub struct CrashInquiry {
    suspicions: BTreeMap<SuspectId, Suspicion>,
    log: CrashLog,
    /// Recent runs that ended whole, over all hosts, as far as known.
    whole_runs: u32,
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
    ///         content: second,
    ///         events: 0,
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
        let crash = self.log_crash(evidence);
        let is_explained = self.log.is_explained(crash);
        for (position, suspect) in evidence.suspects.iter().enumerate() {
            let suspicion = self.suspicions.entry(suspect.suspect).or_default();
            suspicion.position = position;
            suspicion.kind = suspect_kind(suspect.suspect);
            suspicion.record_history(&suspect.history);
            if !is_explained {
                suspicion.record_crash(crash, evidence);
            }
        }
        self.update_weights_needed(evidence, is_on_probation);
        self.drop_excess();
    }

    /// Weights needed for the suspects of a run. Only parts of prompts are compared with each other, of which the one that
    /// the fewest sound runs have is the first suspect.
    fn update_weights_needed<P>(&mut self, evidence: &CrashEvidence, is_on_probation: P)
    where
        P: Fn(SuspectId) -> bool,
    {
        let suspects = evidence.suspects.iter().map(|found| found.suspect);
        let (contents, parts): (Vec<_>, Vec<_>) =
            suspects.partition(|suspect| suspect_kind(*suspect) != SuspectKind::Part);
        for content in contents {
            let needed = match suspect_kind(content) {
                SuspectKind::WholeContent => WEIGHT_NEEDED,
                SuspectKind::SharedContent | SuspectKind::Part => WEIGHT_NEEDED_OF_SHARED,
            };
            self.suspicion_mut(content).weight_needed = needed;
        }
        let early = self.part_weights_needed(&parts, |found| found.history.begun_count);
        for (part, needed) in early {
            self.suspicion_mut(part).early_weight_needed = needed;
        }
        let all = self.part_weights_needed(&parts, |found| found.history.whole_count);
        for (part, needed) in all {
            self.suspicion_mut(part).weight_needed = needed;
        }
        for found in &evidence.suspects {
            if is_on_probation(found.suspect) {
                let suspicion = self.suspicion_mut(found.suspect);
                suspicion.weight_needed = WEIGHT_NEEDED_ON_PROBATION;
            }
        }
    }

    fn suspicion_mut(&mut self, suspect: SuspectId) -> &mut Suspicion {
        self.suspicions.entry(suspect).or_default()
    }

    /// Weights needed for the parts of one prompt, by the number of sound runs with each.
    fn part_weights_needed<C>(&self, parts: &[SuspectId], count: C) -> Vec<(SuspectId, usize)>
    where
        C: Fn(&Suspicion) -> u32,
    {
        let find = |part: &SuspectId| self.suspicions.get(part);
        let mut parts = parts.to_vec();
        parts.sort_by_key(|part| find(part).map(|found| (count(found), found.rank())));
        let fewest = parts.first().and_then(find).map(&count);
        let needed = parts.iter().enumerate().map(|(index, part)| {
            let needed = match index {
                0 => WEIGHT_NEEDED,
                _ if find(part).map(&count) == fewest => WEIGHT_NEEDED_OF_AMBIGUOUS,
                _ => PROVEN_PART_WEIGHT,
            };
            (*part, needed)
        });
        needed.collect()
    }

    /// Whether a suspect is to be taken for the cause of its crashes, once all hosts have been asked. They know of this
    /// many runs that ended whole.
    fn is_cause(&self, suspect: SuspectId, suspicion: &Suspicion, whole_runs: u32) -> bool {
        let is_lone =
            || whole_runs >= WHOLE_RUNS_TO_COMPARE && self.is_under_most_crashes(suspicion);
        if !suspicion.is_sufficient(is_lone) {
            return false;
        }
        let is_explained_by = |kind: SuspectKind| {
            let mut suspicions = self.suspicions.iter();
            suspicions.any(|(id, other)| {
                *id != suspect && other.kind == kind && other.explains(suspicion)
            })
        };
        match suspicion.kind {
            SuspectKind::Part => !self.is_covered_by_narrower(suspicion),
            // The prompts of one path and body may differ.
            SuspectKind::SharedContent => !is_explained_by(SuspectKind::Part),
            // One of two requests that ran on each of the servers was sent again beside the cause.
            SuspectKind::WholeContent => {
                suspicion.weight() >= WEIGHT_NEEDED_OF_AMBIGUOUS
                    || !is_explained_by(SuspectKind::WholeContent)
            }
        }
    }

    /// Whether two thirds of the crashes under a part are also under one with which fewer runs ended whole. That one is the
    /// cause then, if one of them is.
    fn is_covered_by_narrower(&self, part: &Suspicion) -> bool {
        let covers = |other: &Suspicion| {
            let is_shared = |crash: &&Crash| other.has_crash(crash.number);
            let shared = part.crashes.iter().filter(is_shared).count();
            3 * shared >= 2 * part.crashes.len()
        };
        self.suspicions.values().any(|other| {
            other.kind == SuspectKind::Part
                && other.history.whole_count < part.history.whole_count
                && covers(other)
        })
    }

    /// Whether three quarters of the servers that crashed lately, without a known cause, crashed under this suspect.
    fn is_under_most_crashes(&self, suspicion: &Suspicion) -> bool {
        let Some(time) = suspicion.compared_time() else {
            return false;
        };
        let is_other = |crash: &CrashNumber| !suspicion.has_crash(*crash);
        let others = self.log.unexplained_within(time).filter(is_other).count();
        suspicion.crashes.len() >= 3 * others
    }

    /// Suspects that seem to crash servers. All hosts are to be asked for their history of these suspects before
    /// [`conclude`](Self::conclude).
    pub fn suspects(&self) -> Vec<SuspectId> {
        let suspicions = self.suspicions.iter();
        // What the hosts reply can only speak for a suspect, except that they know of more runs.
        let causes =
            suspicions.filter(|(suspect, found)| self.is_cause(**suspect, found, u32::MAX));
        causes.map(|(suspect, _)| *suspect).collect()
    }

    /// Servers that crashed under a suspect.
    pub fn crashed_servers(&self, suspect: SuspectId) -> impl Iterator<Item = &BackendServerId> {
        let crashes = self.suspicions.get(&suspect).map(|found| &found.crashes);
        let crashes = crashes.into_iter().flatten();
        crashes.map(|crash| &crash.server)
    }

    /// Records that a server does not take connections, though no run is known to have broken there. Other servers that fail
    /// at the same time make a crash under one request less telling.
    pub fn record_down(&mut self, server: &BackendServerId, now: Duration) {
        self.log.record_down(server, now);
    }

    /// Records the recent runs with a suspect that ended whole at all hosts together; those of
    /// [`ALL_RUNS`] tell how much it means that there is none.
    pub fn record_history(&mut self, suspect: SuspectId, history: &SuspectHistory) {
        if suspect == ALL_RUNS {
            self.whole_runs = history.whole_count;
        }
        if let Some(suspicion) = self.suspicions.get_mut(&suspect) {
            suspicion.record_history(history);
        }
    }

    /// Records a crash under a suspect that is in quarantine, so that it does not speak against others.
    pub fn record_explained(&mut self, evidence: &CrashEvidence) {
        let explained = self.log_crash(evidence);
        self.log.record_explained(explained);
        for suspicion in self.suspicions.values_mut() {
            suspicion.crashes.retain(|crash| crash.number != explained);
        }
    }

    fn log_crash(&mut self, evidence: &CrashEvidence) -> CrashNumber {
        let (sent_at, broke_at) = (evidence.sent_at, evidence.broke_at);
        self.log.record(&evidence.server, sent_at, broke_at)
    }

    /// Returns a suspect that crashes servers, if any is left. The crashes under it are explained, and no longer speak against
    /// other suspects, except what its content has in common with others.
    pub fn conclude(&mut self) -> Option<Finding> {
        let suspicions = self.suspicions.iter();
        let suspect = suspicions
            .filter(|(suspect, found)| self.is_cause(**suspect, found, self.whole_runs))
            .min_by_key(|(_, suspicion)| suspicion.rank())
            .map(|(suspect, _)| *suspect)?;
        let suspicion = self.suspicions.remove(&suspect)?;
        let is_certain = suspicion.kind == SuspectKind::Part || suspicion.is_certain(&self.log);
        for crash in &suspicion.crashes {
            self.log.record_explained(crash.number);
        }
        let explained: Vec<CrashNumber> =
            suspicion.crashes.iter().map(|crash| crash.number).collect();
        let servers = suspicion.crashes.into_iter().map(|crash| crash.server);
        for (id, other) in &mut self.suspicions {
            let may_be_wider = suspect_kind(*id) == SuspectKind::SharedContent;
            other.crashes.retain(|crash| {
                let is_same_content = may_be_wider && crash.content == suspect;
                is_same_content || !explained.contains(&crash.number)
            });
        }
        Some(Finding {
            suspect,
            servers: servers.collect(),
            is_certain,
        })
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
