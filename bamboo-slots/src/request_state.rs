//! Asks that the broker knows, waiting or with a slot.

use std::time::Duration;

use bamboo_types::BackendServerId;

use crate::SlotRequest;
use crate::Work;
use crate::batch_rank;

slotmap::new_key_type! {
    /// Key of a state.
    pub(crate) struct RequestKey;
}

/// A request that waits or holds a slot.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) request: SlotRequest,
    pub(crate) since: Duration,
    pub(crate) granted: Option<GrantedSlot>,
    pub(crate) is_deferred: bool,
}

impl RequestState {
    /// Time that a batch item still runs.
    pub(crate) fn batch_left(&self, left: Duration, now: Duration) -> Duration {
        let run = self
            .granted
            .as_ref()
            .map_or(Duration::ZERO, |granted| now.saturating_sub(granted.since));
        left.saturating_sub(run)
    }

    pub(crate) fn batch_rank(&self, now: Duration) -> (bool, Duration, Duration) {
        match self.request.work {
            Work::Batch { due, left } => {
                batch_rank(due, self.batch_left(left, now), self.is_deferred)
            }
            Work::Online { .. } => (true, Duration::MAX, Duration::MAX),
        }
    }
}

/// A slot that a request holds.
#[derive(Debug, Clone)]
pub(crate) struct GrantedSlot {
    pub(crate) server: BackendServerId,
    pub(crate) since: Duration,
}
