//! Time as the pure cores see it.

use std::time::Duration;

/// Time since the Unix epoch, read once at start and carried on by the monotonic clock.
pub type Now = Duration;

/// Whole milliseconds of a duration, for wire types.
///
/// ```
/// assert_eq!(bamboo_types::millis(std::time::Duration::from_secs(2)), 2000);
/// ```
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A duration of whole milliseconds.
///
/// ```
/// assert_eq!(bamboo_types::from_millis(2000).as_secs(), 2);
/// ```
pub fn from_millis(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}
