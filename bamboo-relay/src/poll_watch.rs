//! Decides when a long poll is sent a second time because its response may have been lost.

use std::time::Duration;

/// Longest time of a long poll that a host may rely on. A lost one is noticed before its host counts as stable, 3 s after
/// a fault.
pub const LONG_POLL_MAX: Duration = Duration::from_secs(2);
/// Time beyond that of the long poll after which its response is overdue.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);
/// Minimum time between two polls that are sent again because other calls timed out.
const TIMEOUT_INTERVAL: Duration = Duration::from_secs(2);

/// What to do while a read is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollStep {
    /// Wait for its response, at most until this time if there is one.
    Wait(Option<Duration>),
    /// Send it again. The response to the former one may still arrive.
    SendAgain,
}

/// Watches over the reads of one topic, of which one is in progress at a time.
///
/// A response that was lost cannot be told from one that is not due. All hosts wait in step, because each record ends all
/// of their polls, so that no host can rely on another one for records that it misses.
#[derive(Debug, Default)]
pub struct PollWatch {
    again_at: Option<Duration>,
    last_timeout_at: Option<Duration>,
    is_long_poll: bool,
}

impl PollWatch {
    /// Records that a read was sent, which the store may hold open for `wait`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_relay::{PollStep, PollWatch};
    /// let mut watch = PollWatch::default();
    /// watch.record_sent(Duration::from_secs(3), Duration::ZERO);
    /// assert!(matches!(watch.step(Duration::from_secs(3)), PollStep::Wait(Some(_))));
    /// assert_eq!(watch.step(Duration::from_secs(4)), PollStep::SendAgain);
    /// ```
    pub fn record_sent(&mut self, wait: Duration, now: Duration) {
        self.is_long_poll = !wait.is_zero();
        // A read that is not a long poll may be large and take long; only a return of the store shows that it was lost.
        self.again_at = self.is_long_poll.then(|| now + wait + OVERDUE_AFTER);
    }

    /// Records that another call, which is not a read, had no response in time. Open connections may be dead.
    pub fn record_timeout(&mut self, now: Duration) {
        if !self.is_long_poll {
            return;
        }
        let earliest = self
            .last_timeout_at
            .map_or(now, |last| now.max(last + TIMEOUT_INTERVAL));
        self.again_at = Some(self.again_at.map_or(earliest, |at| at.min(earliest)));
        self.last_timeout_at = Some(earliest);
    }

    /// Records that the store responds again. Responses to reads from before may have been lost.
    pub fn record_return(&mut self, now: Duration) {
        self.again_at = Some(now);
    }

    /// What to do now.
    pub fn step(&self, now: Duration) -> PollStep {
        match self.again_at {
            Some(at) if now >= at => PollStep::SendAgain,
            at => PollStep::Wait(at),
        }
    }
}
