//! Servers that crashed recently, whatever ran there.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use bamboo_types::BackendServerId;

/// Maximum number of crashes that are kept.
const CRASHES_KEPT: usize = 512;
/// Time around a crash in which a run that breaks, or is sent, at the server belongs to it. A server takes longer to start
/// anew; hosts that were suspended, or sent a request to a silent server, notice late that their runs broke.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Time for which a server that takes no connections is down because of a crash that is known.
const STAYS_DOWN_FOR: Duration = Duration::from_secs(10);

/// Number of a crash. A server that is back under its identifier may crash again.
pub(crate) type CrashNumber = u64;

#[derive(Debug)]
struct LoggedCrash {
    number: CrashNumber,
    server: BackendServerId,
    /// When the first run broke there, as far as known.
    broke_at: Duration,
    /// Whether a suspect was found to be the cause.
    is_explained: bool,
}

impl LoggedCrash {
    /// Whether a run that was sent and broke at these instants broke with this crash.
    fn broke_run(&self, sent_at: Duration, broke_at: Duration) -> bool {
        sent_at <= self.broke_at + SAME_CRASH_TIME && broke_at + SAME_CRASH_TIME >= self.broke_at
    }
}

/// Recent crashes, the newest last.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    crashes: VecDeque<LoggedCrash>,
    next_number: CrashNumber,
}

impl CrashLog {
    /// Records that a run broke when its server crashed. Returns the number of the crash.
    pub(crate) fn record(
        &mut self,
        server: &BackendServerId,
        sent_at: Duration,
        broke_at: Duration,
    ) -> CrashNumber {
        let mut crashes = self.crashes.iter_mut();
        let known =
            crashes.find(|crash| crash.server == *server && crash.broke_run(sent_at, broke_at));
        if let Some(known) = known {
            known.broke_at = known.broke_at.min(broke_at);
            return known.number;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.pop_front();
        }
        self.next_number += 1;
        self.crashes.push_back(LoggedCrash {
            number: self.next_number,
            server: server.clone(),
            broke_at,
            is_explained: false,
        });
        self.next_number
    }

    /// Records that a server takes no connections, though no run is known to have broken there.
    pub(crate) fn record_down(&mut self, server: &BackendServerId, now: Duration) {
        let is_cause =
            |crash: &LoggedCrash| crash.server == *server && crash.broke_at + STAYS_DOWN_FOR >= now;
        if !self.crashes.iter().any(is_cause) {
            self.record(server, now, now);
        }
    }

    /// Records that the cause of a crash is known.
    pub(crate) fn record_explained(&mut self, number: CrashNumber) {
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|crash| crash.number == number) {
            known.is_explained = true;
        }
    }

    /// Whether the cause of a crash is known.
    pub(crate) fn is_explained(&self, number: CrashNumber) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.number == number && crash.is_explained)
    }

    /// Crashes in a span of time, without a known cause.
    pub(crate) fn unexplained_within(
        &self,
        time: RangeInclusive<Duration>,
    ) -> impl Iterator<Item = CrashNumber> + use<'_> {
        let is_within =
            move |crash: &&LoggedCrash| !crash.is_explained && time.contains(&crash.broke_at);
        let crashes = self.crashes.iter();
        crashes.filter(is_within).map(|crash| crash.number)
    }
}
