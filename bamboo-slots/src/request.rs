//! What hosts request of the broker, and what it answers.

use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;
use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Number of a request, unique within one run of a host.
pub type SlotRequestId = u64;

/// The kind of work that wants a slot. Times are on the clock of the broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// A caller waits.
    Online {
        /// Latest start for an answer that is on time.
        start_by: Duration,
        /// When waiting is of no more use.
        expires_at: Duration,
    },
    /// An item of a job.
    Batch {
        /// When its result is due.
        due: Duration,
        /// Time that it still has to run.
        remaining: Duration,
    },
}

/// A wish for one slot of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Host that requests.
    pub host: HostId,
    /// Number of the request.
    pub id: SlotRequestId,
    /// Service.
    pub service: String,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Kind of work.
    pub work: Work,
    /// Servers that must not be granted.
    pub excluded: Vec<BackendServerId>,
}

/// What the broker wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request holds a slot of the server from now on.
    Grant {
        /// Host.
        host: HostId,
        /// SlotRequest.
        request: SlotRequestId,
        /// Server.
        server: BackendServerId,
    },
    /// The request waits at the broker.
    Queue {
        /// Host.
        host: HostId,
        /// SlotRequest.
        request: SlotRequestId,
    },
    /// The batch item must leave its slot at once.
    Preempt {
        /// Host.
        host: HostId,
        /// SlotRequest.
        request: SlotRequestId,
    },
    /// The request cannot be met in time.
    Refuse {
        /// Host.
        host: HostId,
        /// SlotRequest.
        request: SlotRequestId,
        /// When a slot is likely to be free.
        retry_after: Duration,
    },
}

/// How a run at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The server answered in full, or with a failure of its own.
    Done,
    /// The host ended it.
    Cancelled,
    /// The server had no room and did not run it.
    Full,
    /// No connection came about.
    Unreachable,
    /// Nothing arrived for far longer than usual.
    Silent,
    /// The connection or the answer broke.
    Broken,
    /// Another server has the address.
    Misdirected,
}
