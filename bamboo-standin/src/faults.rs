//! Fault injection, configured over the admin path of a stand-in.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Faults to inject. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request is rejected before it has any effect.
    pub is_out: bool,
    /// Delay before each request is processed, in milliseconds.
    pub slow_ms: u64,
    /// Every n-th write takes effect but its response is dropped; 0 for none.
    pub lose_answer_every: u64,
    /// Every n-th response carries the identifier of another request; 0 for none.
    pub cross_every: u64,
    /// Every n-th response is truncated before its end; 0 for none.
    pub cut_every: u64,
    /// Requests are accepted but not answered until the fault is cleared.
    pub is_frozen: bool,
    /// Every n-th request is rejected before it has any effect; 0 for none.
    pub refuse_every: u64,
}

/// Injects the configured faults into the handlers of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultInjector {
    faults: Mutex<Faults>,
    request_count: std::sync::atomic::AtomicU64,
}

/// How a handler processes one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultAction {
    /// Process the request normally.
    Serve,
    /// Reject the request before it has any effect.
    Reject,
    /// Apply the request, but do not deliver a complete response.
    DropResponse,
    /// Respond with the identifier of another request.
    MismatchId,
    /// Truncate the response.
    Truncate,
}

impl FaultInjector {
    pub(crate) fn set(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    pub(crate) fn get(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies the delays of the configured faults, then selects the action for the next request.
    pub(crate) async fn next_action(&self) -> FaultAction {
        let request_number = self
            .request_count
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
            + 1;
        while self.get().is_frozen {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let faults = self.get();
        if faults.slow_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let is_due = |every: u64| every > 0 && request_number.is_multiple_of(every);
        if faults.is_out || is_due(faults.refuse_every) {
            FaultAction::Reject
        } else if is_due(faults.lose_answer_every) {
            FaultAction::DropResponse
        } else if is_due(faults.cross_every) {
            FaultAction::MismatchId
        } else if is_due(faults.cut_every) {
            FaultAction::Truncate
        } else {
            FaultAction::Serve
        }
    }
}
