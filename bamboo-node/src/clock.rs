//! The only clock of the daemon.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bamboo_types::Timestamp;

/// Wall time read once, carried on by the monotonic clock, so that time never jumps back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall_at_start: Duration,
    started_at: Instant,
}

impl Clock {
    /// Reads the wall clock.
    ///
    /// ```
    /// let clock = bamboo_node::Clock::start();
    /// assert!(clock.now() >= clock.now() - std::time::Duration::from_secs(1));
    /// ```
    pub fn start() -> Self {
        let wall_at_start = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            wall_at_start,
            started_at: Instant::now(),
        }
    }

    /// Time since the Unix epoch.
    pub fn now(&self) -> Timestamp {
        self.wall_at_start + self.started_at.elapsed()
    }

    /// The moment at which the monotonic clock shows a time.
    pub fn instant_at(&self, now: Timestamp) -> Instant {
        self.started_at + now.saturating_sub(self.wall_at_start)
    }
}
