//! Which body is evicted if there is no memory for all bodies that are being read.

use std::time::Duration;

/// Age below which a body is not evicted, so that one whose caller sends it at once is read whatever others do.
pub const EVICTION_GRACE: Duration = Duration::from_secs(1);

/// How far a body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// When its head arrived.
    pub began_at: Duration,
    /// Bytes that have arrived since.
    pub received_bytes: usize,
}

impl BodyProgress {
    /// Bytes per second, rounded down.
    fn bytes_per_s(&self, now: Duration) -> u128 {
        let age_ms = now.saturating_sub(self.began_at).as_millis().max(1);
        self.received_bytes as u128 * 1000 / age_ms
    }
}

/// Chooses the body to evict: the slowest one, and of equally slow ones the oldest. Returns `None` if all are younger than
/// [`EVICTION_GRACE`].
///
/// ```
/// use std::time::Duration;
/// use bamboo_fleet::{BodyProgress, slowest_body};
/// let body = |began_s, received_bytes| BodyProgress { began_at: Duration::from_secs(began_s), received_bytes };
/// let bodies = [("fast", body(0, 900_000)), ("stalled", body(1, 65_000)), ("young", body(9, 10))];
/// assert_eq!(slowest_body(bodies, Duration::from_millis(9_500)), Some("stalled"));
/// assert_eq!(slowest_body(bodies, Duration::from_millis(500)), None);
/// ```
pub fn slowest_body<K, I>(bodies: I, now: Duration) -> Option<K>
where
    I: IntoIterator<Item = (K, BodyProgress)>,
{
    bodies
        .into_iter()
        .filter(|(_, body)| now.saturating_sub(body.began_at) >= EVICTION_GRACE)
        .min_by_key(|(_, body)| (body.bytes_per_s(now), body.began_at))
        .map(|(key, _)| key)
}
