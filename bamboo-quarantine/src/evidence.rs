//! A crash of a server under a run, as a host observed it, and as it reports it to others.

use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::millis;
use serde::Deserialize;
use serde::Serialize;

use crate::RunLength;
use crate::SoundRun;
use crate::SuspectHistory;
use crate::SuspectId;

/// What is known of one suspect of a run whose server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectEvidence {
    /// The suspect.
    pub suspect: SuspectId,
    /// Runs with the suspect that ended whole at the host that observed the crash.
    pub history: SuspectHistory,
}

/// A run whose server crashed. All instants are on the clock of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Server that crashed.
    pub server: BackendServerId,
    /// What identifies the request that ran there if it comes again.
    pub content: SuspectId,
    /// Events with data that the run had delivered.
    pub events: u32,
    /// When the request was sent to the server.
    pub sent_at: Duration,
    /// When the run broke.
    pub broke_at: Duration,
    /// What other runs may have in common with it, the widest first.
    pub suspects: Vec<SuspectEvidence>,
}

/// One suspect in a [`CrashReport`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    pub suspect: SuspectId,
    /// Number of recent runs with the suspect that have begun at the host.
    pub begun_count: u32,
    /// Number of those that ended whole.
    pub whole_count: u32,
    /// Lengths of the last of them, and the time since each ended, in milliseconds.
    pub last_runs: Vec<(RunLength, u64)>,
}

/// A [`CrashEvidence`] as it is sent to another host. All times are relative to the sending of the message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Server that crashed.
    pub server: BackendServerId,
    /// What identifies the request that ran there if it comes again.
    pub content: SuspectId,
    /// Events with data that the run had delivered.
    pub events: u32,
    /// Time since the request was sent to the server, in milliseconds.
    pub sent_ago_ms: u64,
    /// Time since the run broke, in milliseconds.
    pub broke_ago_ms: u64,
    /// What other runs may have in common with it, the widest first.
    pub suspects: Vec<SuspectReport>,
}

impl From<(SuspectEvidence, Duration)> for SuspectReport {
    /// Converts the evidence for sending it now, at the given time.
    fn from((evidence, now): (SuspectEvidence, Duration)) -> Self {
        let runs = evidence.history.last_runs.into_iter();
        let ago = |run: SoundRun| (run.length, millis(now.saturating_sub(run.reached_at)));
        SuspectReport {
            suspect: evidence.suspect,
            begun_count: evidence.history.begun_count,
            whole_count: evidence.history.whole_count,
            last_runs: runs.map(ago).collect(),
        }
    }
}

impl From<(SuspectReport, Duration)> for SuspectEvidence {
    /// Converts a report that was received now, at the given time.
    fn from((report, now): (SuspectReport, Duration)) -> Self {
        let runs = report
            .last_runs
            .into_iter()
            .map(|(length, ago_ms)| SoundRun {
                length,
                reached_at: now.saturating_sub(Duration::from_millis(ago_ms)),
            });
        SuspectEvidence {
            suspect: report.suspect,
            history: SuspectHistory {
                begun_count: report.begun_count,
                whole_count: report.whole_count,
                last_runs: runs.collect(),
            },
        }
    }
}

impl From<(&CrashEvidence, Duration)> for CrashReport {
    /// Converts the evidence for sending it now, at the given time.
    fn from((evidence, now): (&CrashEvidence, Duration)) -> Self {
        let ago_ms = |at: Duration| millis(now.saturating_sub(at));
        let suspects = evidence.suspects.iter().cloned();
        CrashReport {
            server: evidence.server.clone(),
            content: evidence.content,
            events: evidence.events,
            sent_ago_ms: ago_ms(evidence.sent_at),
            broke_ago_ms: ago_ms(evidence.broke_at),
            suspects: suspects.map(|suspect| (suspect, now).into()).collect(),
        }
    }
}

impl From<(&CrashReport, Duration)> for CrashEvidence {
    /// Converts a report that was received now, at the given time.
    fn from((report, now): (&CrashReport, Duration)) -> Self {
        let ago = |ms: u64| now.saturating_sub(Duration::from_millis(ms));
        let suspects = report.suspects.iter().cloned();
        CrashEvidence {
            server: report.server.clone(),
            content: report.content,
            events: report.events,
            sent_at: ago(report.sent_ago_ms),
            broke_at: ago(report.broke_ago_ms),
            suspects: suspects.map(|suspect| (suspect, now).into()).collect(),
        }
    }
}
