//! Age of a job as its owner knows it.

use std::time::Duration;

/// Bound of the error of an age that was computed from the wall clocks of two hosts, each of which may step by seconds.
const WALL_CLOCK_ERROR_MAX: Duration = Duration::from_secs(10);

/// Age of a job, counted by the monotonic clock of its owner from when that owner first saw the job.
#[derive(Debug, Clone, Copy)]
pub struct JobAge {
    seen_at: Duration,
    estimate_when_seen: Duration,
    minimum_when_seen: Duration,
}

impl JobAge {
    /// Age of a job that is accepted at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let age = bamboo_shards::JobAge::accepted(Duration::from_secs(5));
    /// assert_eq!(age.minimum(Duration::from_secs(7)), Duration::from_secs(2));
    /// ```
    pub fn accepted(now: Duration) -> Self {
        JobAge {
            seen_at: now,
            estimate_when_seen: Duration::ZERO,
            minimum_when_seen: Duration::ZERO,
        }
    }

    /// Age of a job that is read from the store at `now`, from the wall-clock times of its acceptance and of `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let age = bamboo_shards::JobAge::replayed(1_000, 31_000, Duration::ZERO);
    /// assert_eq!(age.estimate(Duration::ZERO), Duration::from_secs(30));
    /// assert_eq!(age.minimum(Duration::ZERO), Duration::from_secs(20));
    /// ```
    pub fn replayed(submitted_at_ms: u64, unix_ms: u64, now: Duration) -> Self {
        let estimate = Duration::from_millis(unix_ms.saturating_sub(submitted_at_ms));
        JobAge {
            seen_at: now,
            estimate_when_seen: estimate,
            minimum_when_seen: estimate.saturating_sub(WALL_CLOCK_ERROR_MAX),
        }
    }

    /// The probable age. A step of a wall clock changes it by as much.
    pub fn estimate(&self, now: Duration) -> Duration {
        self.estimate_when_seen + now.saturating_sub(self.seen_at)
    }

    /// An age that the job has certainly reached, although wall clocks may step.
    pub fn minimum(&self, now: Duration) -> Duration {
        self.minimum_when_seen + now.saturating_sub(self.seen_at)
    }
}
