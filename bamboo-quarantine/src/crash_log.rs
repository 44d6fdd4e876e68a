//! Servers that crashed recently, whatever ran there.

use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::BackendServerId;

/// Maximum number of crashes that are kept.
const CRASHES_KEPT: usize = 512;

#[derive(Debug)]
struct LoggedCrash {
    server: BackendServerId,
    /// When the first run broke there, as far as known.
    broke_at: Duration,
    /// Whether a suspect was found to be the cause.
    is_explained: bool,
}

/// Recent crashes, the newest last.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    crashes: VecDeque<LoggedCrash>,
}

impl CrashLog {
    /// Records that a run broke when its server crashed.
    pub(crate) fn record(&mut self, server: &BackendServerId, broke_at: Duration) {
        if let Some(known) = self.find_mut(server) {
            known.broke_at = known.broke_at.min(broke_at);
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.pop_front();
        }
        self.crashes.push_back(LoggedCrash {
            server: server.clone(),
            broke_at,
            is_explained: false,
        });
    }

    /// Records that the cause of a crash is known.
    pub(crate) fn record_explained(&mut self, server: &BackendServerId, broke_at: Duration) {
        self.record(server, broke_at);
        if let Some(known) = self.find_mut(server) {
            known.is_explained = true;
        }
    }

    /// Whether the cause of a crash is known.
    pub(crate) fn is_explained(&self, server: &BackendServerId) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.server == *server && crash.is_explained)
    }

    /// Servers that crashed within a time of an instant, without a known cause.
    pub(crate) fn unexplained_near(
        &self,
        at: Duration,
        within: Duration,
    ) -> impl Iterator<Item = &BackendServerId> {
        let is_near = move |crash: &&LoggedCrash| {
            !crash.is_explained && crash.broke_at.abs_diff(at) <= within
        };
        let crashes = self.crashes.iter();
        crashes.filter(is_near).map(|crash| &crash.server)
    }

    fn find_mut(&mut self, server: &BackendServerId) -> Option<&mut LoggedCrash> {
        let mut crashes = self.crashes.iter_mut();
        crashes.find(|crash| crash.server == *server)
    }
}
