//! The clock of the daemon; nothing else reads the wall clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bamboo_types::Timestamp;

/// Wall-clock time that never goes backwards: read once at the start and advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall_at_start: Duration,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
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

    /// Converts a time of this clock to an `Instant`; a time before the start gives the start.
    pub fn instant_at(&self, now: Timestamp) -> Instant {
        self.started_at + now.saturating_sub(self.wall_at_start)
    }
}
