//! State of a request at the broker, queued or with a slot.

use std::time::Duration;

use bamboo_types::BackendServerId;
use slotmap::SlotMap;

use crate::SlotRequest;
use crate::Work;
use crate::batch_rank;

slotmap::new_key_type! {
    /// Key of a request at the broker.
    pub(crate) struct RequestKey;
}

/// All requests of a broker.
pub(crate) type RequestTable = SlotMap<RequestKey, RequestState>;

/// A request that is queued or holds a slot.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) request: SlotRequest,
    pub(crate) created_at: Duration,
    pub(crate) granted: Option<GrantedSlot>,
    pub(crate) is_deferred: bool,
}

impl RequestState {
    /// Expected run time of a batch item from `now` on, given what remained when the request was made.
    pub(crate) fn remaining_run_time(&self, remaining: Duration, now: Duration) -> Duration {
        let elapsed = self.granted.as_ref().map_or(Duration::ZERO, |granted| {
            now.saturating_sub(granted.granted_at)
        });
        remaining.saturating_sub(elapsed)
    }

    pub(crate) fn batch_rank(&self, now: Duration) -> (bool, Duration, Duration) {
        match self.request.work {
            Work::Batch { due, remaining } => batch_rank(
                due,
                self.remaining_run_time(remaining, now),
                self.is_deferred,
            ),
            Work::Online { .. } => (true, Duration::MAX, Duration::MAX),
        }
    }
}

/// The slot that a request holds.
#[derive(Debug, Clone)]
pub(crate) struct GrantedSlot {
    pub(crate) server: BackendServerId,
    pub(crate) granted_at: Duration,
}
