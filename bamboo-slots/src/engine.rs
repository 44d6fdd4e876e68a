//! Model engines as the broker sees them.

use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;

use crate::Health;
use crate::SlotRequest;
use crate::request_state::RequestKey;

/// Time that a slot is free before a batch item gets it. Within it the next online request of a wave takes the slot,
/// which spares an item's start and stop.
pub const BATCH_GRANT_DELAY: Duration = Duration::from_millis(40);

/// A model engine, as the broker needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Server.
    pub server: BackendServerId,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Whether it takes new requests.
    pub is_ready: bool,
}

/// A model engine with what runs there.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) engine: Engine,
    pub(crate) online: Vec<RequestKey>,
    pub(crate) batch: Vec<RequestKey>,
    pub(crate) freed_at: Vec<Duration>,
    pub(crate) health: Health,
}

impl EngineState {
    /// Free slots that have been free for a moment: online requests take the others at once in a wave.
    pub(crate) fn batch_slots(&self, now: Duration) -> usize {
        let recently_freed = self
            .freed_at
            .iter()
            .filter(|at| now.saturating_sub(**at) < BATCH_GRANT_DELAY)
            .count();
        self.engine
            .slots
            .saturating_sub(self.running_count() + recently_freed)
    }

    pub(crate) fn slot_freed(&mut self, now: Duration) {
        self.freed_at
            .retain(|at| now.saturating_sub(*at) < BATCH_GRANT_DELAY);
        self.freed_at.push(now);
    }

    pub(crate) fn running_count(&self) -> usize {
        self.online.len() + self.batch.len()
    }

    pub(crate) fn may_run(&self, request: &SlotRequest, now: Duration) -> bool {
        self.engine.is_ready
            && self.engine.service == request.service
            && !request.excluded.contains(&self.engine.server)
            && self.health.is_usable(self.running_count(), now)
    }
}
