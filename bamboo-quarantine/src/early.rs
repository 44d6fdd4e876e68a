//! Reports of crashes as hosts of protocol versions 3 and 4 exchange them. These hosts report a crash only under a run that
//! had delivered less than four events, and count the runs that came further, whether they ended whole or not.

use bamboo_types::BackendServerId;
use serde::Deserialize;
use serde::Serialize;

use crate::CrashReport;
use crate::RunLength;
use crate::SuspectId;
use crate::SuspectReport;

/// One suspect in an [`EarlyCrashReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlySuspectReport {
    /// The suspect.
    pub suspect: SuspectId,
    /// Number of recent runs with the suspect that have begun at the host.
    pub begun_count: u32,
    /// Time since the last of them began, in milliseconds.
    pub begun_ago_ms: Option<u64>,
}

/// A [`CrashReport`] of a host that reports only crashes under runs that have not begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlyCrashReport {
    /// Server that crashed.
    pub server: BackendServerId,
    /// What identifies the request that ran there if it comes again.
    pub content: SuspectId,
    /// Time since the request was sent to the server, in milliseconds.
    pub sent_ago_ms: u64,
    /// Time since the run broke, in milliseconds.
    pub broke_ago_ms: u64,
    /// What other runs may have in common with it, the widest first.
    pub suspects: Vec<EarlySuspectReport>,
}

impl From<EarlySuspectReport> for SuspectReport {
    /// A run that has begun says nothing of later crashes.
    fn from(report: EarlySuspectReport) -> Self {
        let begun = report.begun_ago_ms.map(|ago_ms| (RunLength::BEGUN, ago_ms));
        SuspectReport {
            suspect: report.suspect,
            begun_count: report.begun_count,
            whole_count: 0,
            last_runs: begun.into_iter().collect(),
        }
    }
}

impl From<SuspectReport> for EarlySuspectReport {
    fn from(report: SuspectReport) -> Self {
        let begun = report.last_runs.iter();
        EarlySuspectReport {
            suspect: report.suspect,
            begun_count: report.begun_count,
            begun_ago_ms: begun.map(|(_, ago_ms)| *ago_ms).min(),
        }
    }
}

impl From<EarlyCrashReport> for CrashReport {
    fn from(report: EarlyCrashReport) -> Self {
        CrashReport {
            server: report.server,
            content: report.content,
            events: 0,
            sent_ago_ms: report.sent_ago_ms,
            broke_ago_ms: report.broke_ago_ms,
            suspects: report.suspects.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<CrashReport> for EarlyCrashReport {
    fn from(report: CrashReport) -> Self {
        EarlyCrashReport {
            server: report.server,
            content: report.content,
            sent_ago_ms: report.sent_ago_ms,
            broke_ago_ms: report.broke_ago_ms,
            suspects: report.suspects.into_iter().map(Into::into).collect(),
        }
    }
}
