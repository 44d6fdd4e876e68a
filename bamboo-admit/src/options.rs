//! Figures of batch admission.

use std::time::Duration;

/// How batch work yields to online work on one server.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmitOptions {
    /// Sequences that the server runs at once.
    pub capacity: u32,
    /// Batch sequences that may go on decoding while online requests are present, as a share of the capacity.
    pub decode_share: f64,
    /// Batch sequences that may start while online requests are present, at a time.
    pub prefill_beside_online: u32,
    /// Time without online requests after which batch prefill starts again.
    pub hold_off: Duration,
    /// Items held ready beyond those that run.
    pub prefetch: u32,
    /// Starts at once while the server is free of online requests.
    pub start_burst: u32,
}

/// Share of the capacity that decodes beside online requests at weight 0 and 1.
const DECODE_SHARE_RANGE: (f64, f64) = (0.125, 0.5);
/// Weight from which on one batch prefill at a time may run beside online requests.
const PREFILL_WEIGHT: f64 = 0.75;

impl AdmitOptions {
    /// Options for a server of this capacity, with batch weighed from 0 (guard online most) to 1.
    ///
    /// ```
    /// let guarded = bamboo_admit::AdmitOptions::weighed(64, 0.0);
    /// let filled = bamboo_admit::AdmitOptions::weighed(64, 1.0);
    /// assert!(guarded.decode_share < filled.decode_share);
    /// ```
    pub fn weighed(capacity: u32, batch_weight: f64) -> Self {
        let weight = batch_weight.clamp(0.0, 1.0);
        let (low, high) = DECODE_SHARE_RANGE;
        AdmitOptions {
            capacity,
            decode_share: low + (high - low) * weight,
            prefill_beside_online: u32::from(weight >= PREFILL_WEIGHT),
            hold_off: Duration::from_millis(60).mul_f64(2.0 - weight),
            prefetch: (capacity / 4).max(2),
            start_burst: (capacity / 2).max(1),
        }
    }
}
