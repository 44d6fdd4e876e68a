//! Weighs crashes of servers against the requests that ran there.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::CrashEvidence;
use crate::SuspectHistory;
use crate::SuspectId;
use crate::SuspectKind;
use crate::crash_log::CrashLog;
use crate::suspect_kind;
use crate::suspicion::CRASH_WEIGHT;
use crate::suspicion::Suspicion;

/// Weight that shows that a suspect crashes servers.
const WEIGHT_NEEDED: usize = 3 * CRASH_WEIGHT;
/// Weight needed for a suspect while another one explains its crashes as well.
const WEIGHT_NEEDED_OF_AMBIGUOUS: usize = 5 * CRASH_WEIGHT;
/// Weight needed for what the requests of several callers have in common.
const WEIGHT_NEEDED_OF_SHARED: usize = 4 * CRASH_WEIGHT;
/// Weight needed for a part of prompts while more runs with it have begun than with another part of the same prompt.
const WEIGHT_NEEDED_OF_PROVEN: usize = 8 * CRASH_WEIGHT;
/// Weight that suffices for a suspect on probation.
const WEIGHT_NEEDED_ON_PROBATION: usize = CRASH_WEIGHT;
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
/// A suspect is found to crash servers if several crashed in series under it, and no run with it began meanwhile: under one
/// content, or under several that have the suspect in common. The crash of a server also breaks the runs beside the one that
/// caused it, and the prompts of a route have their first part in common; both are told from the cause because other runs
/// with them begin. Since these may begin at any host, all hosts are asked for their history of a suspect before it is found
/// to be the cause.
#[derive(Debug, Default)]
pub struct CrashInquiry {
    suspicions: BTreeMap<SuspectId, Suspicion>,
    log: CrashLog,
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
        self.log.record(&evidence.server, evidence.broke_at);
        let is_explained = self.log.is_explained(&evidence.server);
        for (position, suspect) in evidence.suspects.iter().enumerate() {
            let suspicion = self.suspicions.entry(suspect.suspect).or_default();
            suspicion.position = position;
            suspicion.kind = suspect_kind(suspect.suspect);
            suspicion.record_history(suspect.history);
            if !is_explained {
                suspicion.record_crash(evidence);
            }
        }
        for (suspect, weight_needed) in self.weight_needed(evidence, is_on_probation) {
            if let Some(suspicion) = self.suspicions.get_mut(&suspect) {
                suspicion.weight_needed = weight_needed;
            }
        }
        self.drop_excess();
    }

    /// Weight needed for each suspect of a run. Only parts of prompts are compared with each other, of which the one with the
    /// fewest runs begun is the first suspect.
    fn weight_needed<P>(
        &self,
        evidence: &CrashEvidence,
        is_on_probation: P,
    ) -> Vec<(SuspectId, usize)>
    where
        P: Fn(SuspectId) -> bool,
    {
        let suspects = evidence.suspects.iter().map(|found| found.suspect);
        let (contents, mut parts): (Vec<_>, Vec<_>) =
            suspects.partition(|suspect| suspect_kind(*suspect) != SuspectKind::Part);
        parts.sort_by_key(|part| self.suspicions.get(part).map(|found| found.rank()));
        let begun_count = |suspect: &SuspectId| {
            let suspicion = self.suspicions.get(suspect);
            suspicion.map(|found| found.history.begun_count)
        };
        let fewest_begun = parts.first().and_then(begun_count);
        let parts = parts.iter().enumerate().map(|(index, part)| {
            let needed = match index {
                0 => WEIGHT_NEEDED,
                _ if begun_count(part) == fewest_begun => WEIGHT_NEEDED_OF_AMBIGUOUS,
                _ => WEIGHT_NEEDED_OF_PROVEN,
            };
            (*part, needed)
        });
        let contents = contents.iter().map(|content| {
            let needed = match suspect_kind(*content) {
                SuspectKind::WholeContent => WEIGHT_NEEDED,
                SuspectKind::SharedContent | SuspectKind::Part => WEIGHT_NEEDED_OF_SHARED,
            };
            (*content, needed)
        });
        let needed = parts.chain(contents);
        needed
            .map(|(suspect, needed)| match is_on_probation(suspect) {
                true => (suspect, WEIGHT_NEEDED_ON_PROBATION),
                false => (suspect, needed),
            })
            .collect()
    }

    /// Whether a suspect is to be taken for the cause of its crashes, once all hosts have been asked.
    fn is_cause(&self, suspect: SuspectId, suspicion: &Suspicion) -> bool {
        if !suspicion.is_sufficient() {
            return false;
        }
        let is_explained_by = |kind: SuspectKind| {
            let mut suspicions = self.suspicions.iter();
            suspicions.any(|(id, other)| {
                *id != suspect && other.kind == kind && other.explains(suspicion)
            })
        };
        match suspicion.kind {
            SuspectKind::Part => true,
            // The prompts of one path and body may differ.
            SuspectKind::SharedContent => !is_explained_by(SuspectKind::Part),
            // One of two requests that ran on each of the servers was sent again beside the cause.
            SuspectKind::WholeContent => {
                suspicion.weight() >= WEIGHT_NEEDED_OF_AMBIGUOUS
                    || !is_explained_by(SuspectKind::WholeContent)
            }
        }
    }

    /// Suspects that seem to crash servers. All hosts are to be asked for their history of these suspects before
    /// [`conclude`](Self::conclude).
    pub fn suspects(&self) -> Vec<SuspectId> {
        let suspicions = self.suspicions.iter();
        let causes = suspicions.filter(|(suspect, suspicion)| self.is_cause(**suspect, suspicion));
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
        self.log.record(server, now);
    }

    /// Records the recent runs with a suspect that have begun at all hosts together.
    pub fn record_history(&mut self, suspect: SuspectId, history: SuspectHistory) {
        if let Some(suspicion) = self.suspicions.get_mut(&suspect) {
            suspicion.record_history(history);
        }
    }

    /// Records a crash under a suspect that is in quarantine, so that it does not speak against others.
    pub fn record_explained(&mut self, evidence: &CrashEvidence) {
        self.log
            .record_explained(&evidence.server, evidence.broke_at);
        for suspicion in self.suspicions.values_mut() {
            suspicion
                .crashes
                .retain(|crash| crash.server != evidence.server);
        }
    }

    /// Returns a suspect that crashes servers, if any is left. The crashes under it are explained, and no longer speak against
    /// other suspects, except what its content has in common with others.
    pub fn conclude(&mut self) -> Option<Finding> {
        let suspicions = self.suspicions.iter();
        let suspect = suspicions
            .filter(|(suspect, suspicion)| self.is_cause(**suspect, suspicion))
            .min_by_key(|(_, suspicion)| suspicion.rank())
            .map(|(suspect, _)| *suspect)?;
        let suspicion = self.suspicions.remove(&suspect)?;
        let is_certain = suspicion.kind == SuspectKind::Part || suspicion.is_certain(&self.log);
        for crash in &suspicion.crashes {
            self.log.record_explained(&crash.server, crash.broke_at);
        }
        let crashes = suspicion.crashes.into_iter();
        let servers: Vec<BackendServerId> = crashes.map(|crash| crash.server).collect();
        for (id, other) in &mut self.suspicions {
            let may_be_wider = suspect_kind(*id) == SuspectKind::SharedContent;
            other.crashes.retain(|crash| {
                let is_same_content = may_be_wider && crash.content == suspect;
                is_same_content || !servers.contains(&crash.server)
            });
        }
        Some(Finding {
            suspect,
            servers,
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
