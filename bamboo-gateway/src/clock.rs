//! Clock of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Monotonic time since the start of the process, and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
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

    /// Monotonic time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Time since the start of the machine, including the time for which it was suspended. Knowledge ages by this clock: the
    /// monotonic one stands still while the machine is suspended.
    ///
    /// ```
    /// let clock = bamboo_gateway::Clock::start();
    /// assert!(clock.boot_time() >= clock.now());
    /// ```
    pub fn boot_time(&self) -> Duration {
        // Neither part of this clock is negative.
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        )
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at)
    }

    /// Milliseconds since the Unix epoch by the wall clock, which may jump.
    pub fn unix_ms(&self) -> u64 {
        // A wall clock before the epoch yields 0. Only differences between these values are used.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }
}
