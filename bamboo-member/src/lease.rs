//! A lease that its holder checks by the monotonic clock.

use std::time::Duration;

use bamboo_types::Now;

/// How long the holder of a claim may act on engines that ignore fencing numbers.
///
/// The holder counts from before it asked for the claim; a successor counts from when it saw the claim. The
/// successor's wait is therefore the longer one, by the margin at least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    started_at: Now,
    duration: Duration,
    margin: Duration,
}

impl Lease {
    /// A lease counted from `started_at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let lease = bamboo_member::Lease::new(Duration::ZERO, Duration::from_secs(10), Duration::from_secs(1));
    /// assert!(lease.is_held(Duration::from_secs(8)));
    /// assert!(!lease.is_held(Duration::from_secs(9)));
    /// assert!(!lease.is_expired_for_successor(Duration::from_secs(10)));
    /// assert!(lease.is_expired_for_successor(Duration::from_secs(11)));
    /// ```
    pub fn new(started_at: Now, duration: Duration, margin: Duration) -> Self {
        Lease {
            started_at,
            duration,
            margin,
        }
    }

    /// Whether the holder may still send.
    pub fn is_held(&self, now: Now) -> bool {
        now < self.started_at + self.duration.saturating_sub(self.margin)
    }

    /// Whether a successor that saw the claim at `started_at` may send.
    pub fn is_expired_for_successor(&self, now: Now) -> bool {
        now >= self.started_at + self.duration + self.margin
    }
}
