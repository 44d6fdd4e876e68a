//! Figures of batch admission.

use std::time::Duration;

/// How batch work yields to online work on one server.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitOptions {
    /// Sequences that the server runs at once.
    pub capacity: u32,
    /// Batch sequences that may run while online requests are present, as a share of the capacity.
    pub decode_share_online: f64,
    /// Batch sequences that may start while online requests are present, at a time.
    pub prefill_limit_online: u32,
    /// Time without online requests after which batch prefill starts again.
    pub hold_off: Duration,
    /// Items held ready beyond those that run.
    pub prefetch: u32,
    /// Starts at once while the server is free of online requests.
    pub prefill_limit_idle: u32,
}

/// Share of the capacity that runs batch beside online requests, at growing weights. Up to 0.8 the share stays where
/// the tail of the first token hardly feels it; beyond, batch is bought with tail.
const DECODE_SHARES_ONLINE: [(f64, f64); 3] = [(0.0, 0.02), (0.8, 0.06), (1.0, 0.4)];

impl AdmitOptions {
    /// Options for a server of this capacity, with batch weighed from 0 (guard online most) to 1.
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
