//! The broker's view of model engines.

use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;
use bamboo_types::SoftwareVersion;

use crate::Health;
use crate::SlotRequest;
use crate::request_state::RequestKey;
use crate::request_state::RequestTable;

/// Time that a slot has to be free before a batch item gets it. During a burst the next online request takes the slot
/// within this delay, which avoids starting an item only to preempt it.
pub const BATCH_GRANT_DELAY: Duration = Duration::from_millis(40);

/// Properties of a model engine that the broker needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Backend server that hosts the engine.
    pub server: BackendServerId,
    /// Service that the engine belongs to.
    pub service: String,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Number of requests that the engine runs concurrently.
    pub slots: usize,
    /// Whether the engine accepts new requests.
    pub is_ready: bool,
    /// Version of the server's software.
    pub version: SoftwareVersion,
}

impl Engine {
    /// Whether the engine is of the version that a request requires, if any.
    pub(crate) fn is_of_version(&self, version: Option<&SoftwareVersion>) -> bool {
        version.is_none_or(|version| *version == self.version)
    }
}

/// A model engine with the requests that hold its slots.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) engine: Engine,
    pub(crate) online: Vec<RequestKey>,
    pub(crate) batch: Vec<RequestKey>,
    /// When slots were freed. Grants to online requests remove the newest entry.
    pub(crate) freed_at: Vec<Duration>,
    pub(crate) health: Health,
    /// Order among engines that are equally suitable.
    pub(crate) tie_break: u64,
}

impl EngineState {
    /// Number of slots that batch items may take: free slots, less those freed within [`BATCH_GRANT_DELAY`], which are
    /// kept for the next online request of a burst.
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

    pub(crate) fn record_freed_slot(&mut self, now: Duration) {
        self.freed_at
            .retain(|at| now.saturating_sub(*at) < BATCH_GRANT_DELAY);
        self.freed_at.push(now);
    }

    pub(crate) fn running_count(&self) -> usize {
        self.online.len() + self.batch.len()
    }

    /// Whether the health of the server permits another run.
    pub(crate) fn is_usable(&self, requests: &RequestTable, now: Duration) -> bool {
        let is_probe = |key: &&RequestKey| {
            let granted = requests.get(**key).and_then(|state| state.granted.as_ref());
            granted.is_some_and(|granted| self.health.is_since_ejection(granted.granted_at))
        };
        let probe_count = match self.health.is_half_open() {
            true => self
                .online
                .iter()
                .chain(&self.batch)
                .filter(is_probe)
                .count(),
            false => 0,
        };
        self.health.is_usable(probe_count, now)
    }

    pub(crate) fn may_run(
        &self,
        request: &SlotRequest,
        requests: &RequestTable,
        now: Duration,
    ) -> bool {
        self.engine.is_ready
            && self.engine.service == request.service
            && self.engine.is_of_version(request.version.as_ref())
            && !request.excluded.contains(&self.engine.server)
            && self.is_usable(requests, now)
    }
}
