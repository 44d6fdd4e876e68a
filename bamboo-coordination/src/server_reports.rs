//! What hosts tell each other of servers.

use bamboo_fleet::LeavingReport;
use bamboo_slots::LimitReport;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// What servers said of themselves, as hosts tell each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReports {
    /// Servers that leave.
    pub leaving: Vec<LeavingReport>,
    /// Limits for the requests of servers.
    pub limits: Vec<LimitReport>,
}

impl ServerReports {
    /// Digest of the statements, without their age, by which hosts compare what they know. Limits that have ended do not count:
    /// a host may never have known them.
    ///
    /// ```
    /// use bamboo_coordination::ServerReports;
    /// use bamboo_fleet::LeavingReport;
    /// let report = |said_ago_ms| LeavingReport { server: "s1".into(), started_at_ms: 1, said_ago_ms };
    /// let reports = |said_ago_ms| ServerReports { leaving: vec![report(said_ago_ms)], limits: vec![] };
    /// assert_eq!(reports(0).digest(), reports(250).digest());
    /// assert_ne!(reports(0).digest(), ServerReports::default().digest());
    /// ```
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for report in &self.leaving {
            hasher.update(&(report.server.len() as u64).to_le_bytes());
            hasher.update(report.server.as_bytes());
            hasher.update(&report.started_at_ms.to_le_bytes());
        }
        hasher.update(&u64::MAX.to_le_bytes());
        for report in &self.limits {
            hasher.update(&(report.server.len() as u64).to_le_bytes());
            hasher.update(report.server.as_bytes());
            let limit = report
                .limit
                .map_or(u64::MAX, |limit| limit.min(u64::MAX - 1));
            hasher.update(&limit.to_le_bytes());
        }
        hasher.digest()
    }
}
