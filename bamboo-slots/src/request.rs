//! Slot requests that hosts send to the broker, and the broker's decisions.

use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;
use bamboo_types::HostId;
use bamboo_types::SoftwareVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::RequestTerms;

/// Identifier of a slot request, unique within one incarnation of a host.
pub type SlotRequestId = u64;

/// The work that needs a slot. All instants are on the broker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// An online request; a caller waits for the response.
    Online {
        /// Latest start at which the response is still on time.
        start_by: Duration,
        /// When the broker stops queueing the request and refuses it.
        expires_at: Duration,
    },
    /// A batch item of a job.
    Batch {
        /// When its result is due.
        due: Duration,
        /// Expected run time that remains.
        remaining: Duration,
    },
}

/// A request for one slot of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Host that sent the request.
    pub host: HostId,
    /// Identifier of the request.
    pub id: SlotRequestId,
    /// Service whose engines can run the work.
    pub service: String,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Work to run.
    pub work: Work,
    /// Servers whose slots must not be granted to this request.
    pub excluded: Vec<BackendServerId>,
    /// Version of the software that the server must have, for work that goes on from earlier output.
    pub version: Option<SoftwareVersion>,
    /// For whom it is, and how it competes with others.
    pub terms: RequestTerms,
}

/// A decision of the broker that has to be sent to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request holds a slot of the server until it is released.
    Grant {
        /// Host that sent the request.
        host: HostId,
        /// Slot request.
        request: SlotRequestId,
        /// Server whose slot is granted.
        server: BackendServerId,
    },
    /// The request is queued at the broker.
    Queue {
        /// Host that sent the request.
        host: HostId,
        /// Slot request.
        request: SlotRequestId,
    },
    /// The batch item must release its slot at once.
    Preempt {
        /// Host that sent the request.
        host: HostId,
        /// Slot request.
        request: SlotRequestId,
    },
    /// No slot will be free before the request expires.
    Refuse {
        /// Host that sent the request.
        host: HostId,
        /// Slot request.
        request: SlotRequestId,
        /// Estimated time until a slot is free.
        retry_after: Duration,
    },
    /// No ready server has the version that the request requires. The request is no longer queued.
    NoServer {
        /// Host that sent the request.
        host: HostId,
        /// Slot request.
        request: SlotRequestId,
    },
}

/// How a run on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The server sent a complete response.
    Done,
    /// The server responded with an error of its own.
    Failed,
    /// The host cancelled the run.
    Cancelled,
    /// The server rejected the request for lack of capacity without running it.
    Full,
    /// The connection could not be established.
    Unreachable,
    /// The server sent nothing for far longer than usual.
    Silent,
    /// The connection failed or the response was truncated during the run.
    Broken,
    /// The address now belongs to another server.
    Misdirected,
    /// The host reaches no server. Says nothing about this one, and is told to other hosts as [`RunOutcome::Cancelled`].
    NoPath,
}

impl RunOutcome {
    /// The outcome as another host is told of it.
    ///
    /// ```
    /// use bamboo_slots::RunOutcome;
    /// assert_eq!(RunOutcome::NoPath.told(), RunOutcome::Cancelled);
    /// ```
    pub fn told(self) -> RunOutcome {
        match self {
            RunOutcome::NoPath => RunOutcome::Cancelled,
            outcome => outcome,
        }
    }

    /// Whether the outcome counts against the health of the server.
    ///
    /// ```
    /// assert!(bamboo_slots::RunOutcome::Silent.is_failure());
    /// ```
    pub fn is_failure(self) -> bool {
        !matches!(
            self,
            RunOutcome::Done | RunOutcome::Cancelled | RunOutcome::Full | RunOutcome::NoPath
        )
    }
}
