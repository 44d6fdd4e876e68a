//! Time as it is passed to the crates without I/O, which read no clock themselves.

use std::time::Duration;

/// Time since the Unix epoch. The wall clock is read once at start; from then on the monotonic clock advances it, so
/// that it never goes back.
pub type Timestamp = Duration;

/// Whole milliseconds of a duration, as used in messages between processes. Saturates at `u64::MAX`.
///
/// ```
/// assert_eq!(bamboo_types::millis(std::time::Duration::from_secs(2)), 2000);
/// ```
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The inverse of [`millis`].
///
/// ```
/// assert_eq!(bamboo_types::from_millis(2000).as_secs(), 2);
/// ```
pub fn from_millis(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}
