//! Time of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Steady time since the start of the process, and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at zero.
    ///
    /// ```
    /// let clock = bamboo_gateway::Clock::start();
    /// assert!(clock.now() < std::time::Duration::from_secs(60));
    /// ```
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Steady time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant of a steady time.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at)
    }

    /// Milliseconds since 1970 by the time of day, which may jump.
    pub fn unix_ms(&self) -> u64 {
        // A clock before 1970 counts as 1970: only differences of this figure are used.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }
}
