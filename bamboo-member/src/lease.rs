//! A lease that each side checks against its own monotonic clock.

use std::time::Duration;

use bamboo_types::Timestamp;

/// Limits how long the owner of a stream or server may send to engines that do not check fencing tokens.
///
/// The owner counts from a time before it requested the claim, and a successor from the time it observed the claim.
/// The owner's lease therefore ends before the successor may send, by at least the margin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    started_at: Timestamp,
    duration: Duration,
    margin: Duration,
}

impl Lease {
    /// Creates a lease that starts at `started_at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let lease = bamboo_member::Lease::new(Duration::ZERO, Duration::from_secs(10), Duration::from_secs(1));
    /// assert!(lease.is_held(Duration::from_secs(8)));
    /// assert!(!lease.is_held(Duration::from_secs(9)));
    /// assert!(!lease.is_expired_for_successor(Duration::from_secs(10)));
    /// assert!(lease.is_expired_for_successor(Duration::from_secs(11)));
    /// ```
    pub fn new(started_at: Timestamp, duration: Duration, margin: Duration) -> Self {
        Lease {
            started_at,
            duration,
            margin,
        }
    }

    /// Whether the owner may still send.
    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.started_at + self.duration.saturating_sub(self.margin)
    }

    /// Whether a successor that observed the claim at `started_at` may send.
    pub fn is_expired_for_successor(&self, now: Timestamp) -> bool {
        now >= self.started_at + self.duration + self.margin
    }
}
