//! Detects servers whose event stream has stalled.

use std::time::Duration;

/// A timer that fires later than this shows that the host itself was stalled.
pub const STALL_TOLERANCE: Duration = Duration::from_millis(40);
/// Stalls of the host that extend the wait for one event. The bound ends the wait on a host that is stalled again and again.
const EXTENSIONS_MAX: u32 = 3;

/// What to do about a stream that has delivered no event yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCheck {
    /// Read on, for this time at most.
    Wait(Duration),
    /// The server is silent, or the deadline has passed.
    Silent,
}

/// Measures the wait for the next event of a stream. Bytes that complete no event do not extend it.
///
/// ```
/// use std::time::Duration;
/// use bamboo_fleet::{SilenceCheck, SilenceTimer};
/// let at = Duration::from_millis;
/// let mut timer = SilenceTimer::start(at(0), at(130), at(5_000));
/// assert_eq!(timer.check(at(100)), SilenceCheck::Wait(at(30)));
/// assert_eq!(timer.check(at(130)), SilenceCheck::Silent);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct SilenceTimer {
    waiting_since: Duration,
    idle_timeout: Duration,
    deadline: Duration,
    extensions: u32,
}

impl SilenceTimer {
    /// Starts to wait for an event. The wait ends after `idle_timeout`, and at the deadline in any case.
    pub fn start(now: Duration, idle_timeout: Duration, deadline: Duration) -> Self {
        SilenceTimer {
            waiting_since: now,
            idle_timeout,
            deadline,
            extensions: 0,
        }
    }

    /// Decides whether to read on. A check far behind its time shows that this host was stalled: the event may have arrived
    /// meanwhile, so the wait is extended.
    pub fn check(&mut self, now: Duration) -> SilenceCheck {
        if now >= self.deadline {
            return SilenceCheck::Silent;
        }
        let silent_at = self.waiting_since.saturating_add(self.idle_timeout);
        if now < silent_at {
            return SilenceCheck::Wait(silent_at.min(self.deadline) - now);
        }
        if now <= silent_at.saturating_add(STALL_TOLERANCE) || self.extensions >= EXTENSIONS_MAX {
            return SilenceCheck::Silent;
        }
        self.extensions += 1;
        self.waiting_since = now;
        self.check(now)
    }
}
