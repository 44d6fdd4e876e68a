//! Parameters of batch admission.

use std::time::Duration;

/// Parameters that balance batch against online work on one server.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitOptions {
    /// Sequences that the server runs concurrently.
    pub capacity: u32,
    /// Maximum batch sequences while online requests are present, as a share of the capacity.
    pub decode_share_online: f64,
    /// Maximum concurrent batch prefills while online requests are present.
    pub prefill_limit_online: u32,
    /// Time without online requests after which the server counts as idle, which lifts the limits for online load.
    pub hold_off: Duration,
    /// Items queued at the owner in addition to those that may run.
    pub prefetch: u32,
    /// Maximum concurrent batch prefills while the server is idle of online requests.
    pub prefill_limit_idle: u32,
}

/// Points `(batch weight, decode share)` between which `decode_share_online` is interpolated linearly. Up to a weight
/// of 0.8 the share has little effect on the tail of the time to first token; above it, batch throughput is gained at
/// the cost of that tail.
const DECODE_SHARES_ONLINE: [(f64, f64); 3] = [(0.0, 0.02), (0.8, 0.06), (1.0, 0.4)];

impl AdmitOptions {
    /// Creates options for a server of this capacity. `batch_weight` ranges from 0, which protects online latency most,
    /// to 1, which favours batch throughput most; values outside are clamped.
    ///
    /// ```
    /// let guarded = bamboo_admit::AdmitOptions::with_batch_weight(64, 0.0);
    /// let filled = bamboo_admit::AdmitOptions::with_batch_weight(64, 1.0);
    /// assert!(guarded.decode_share_online < filled.decode_share_online);
    /// ```
    pub fn with_batch_weight(capacity: u32, batch_weight: f64) -> Self {
        let weight = batch_weight.clamp(0.0, 1.0);
        AdmitOptions {
            capacity,
            decode_share_online: interpolate_decode_share(weight),
            prefill_limit_online: 1,
            hold_off: Duration::from_millis(60).mul_f64(2.0 - weight),
            prefetch: (capacity / 4).max(2),
            prefill_limit_idle: (capacity / 2).max(1),
        }
    }
}

fn interpolate_decode_share(weight: f64) -> f64 {
    let [low, middle, high] = DECODE_SHARES_ONLINE;
    let (from, to) = if weight < middle.0 {
        (low, middle)
    } else {
        (middle, high)
    };
    from.1 + (to.1 - from.1) * (weight - from.0) / (to.0 - from.0)
}
