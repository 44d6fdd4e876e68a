//! Faults on demand, set over a stand-in's admin path.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Faults in force. All are off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request is refused before any effect.
    pub is_out: bool,
    /// Time added before each answer, milliseconds.
    pub slow_ms: u64,
    /// Every n-th write takes effect but its answer is lost; 0 for none.
    pub lose_answer_every: u64,
    /// Every n-th answer bears the identity of another request; 0 for none.
    pub cross_every: u64,
    /// Every n-th answer ends before its end mark; 0 for none.
    pub cut_every: u64,
    /// Requests are taken but nothing is answered.
    pub is_frozen: bool,
    /// Every n-th request is refused before work; 0 for none.
    pub refuse_every: u64,
}

/// Faults shared by the handlers of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultInjector {
    faults: Mutex<Faults>,
    request_count: std::sync::atomic::AtomicU64,
}

/// What a handler is to do with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultAction {
    /// As usual.
    Serve,
    /// Refuse before any effect.
    Reject,
    /// Take effect, then break off without an answer.
    DropResponse,
    /// Answer with another identity.
    MismatchId,
    /// Break the answer off.
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

    /// Waits as the faults say, then tells what to do.
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
