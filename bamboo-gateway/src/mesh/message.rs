//! What hosts say to each other.

use std::time::Duration;

use bamboo_coordination::ClusterMap;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequestId;
use bamboo_types::BackendServerId;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::JobCall;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// A wish for a slot, or a run under way, with times relative to its sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotRequestInfo {
    /// Number of the ask.
    pub id: SlotRequestId,
    /// Service.
    pub service: String,
    /// Whether a caller waits; otherwise it is a batch item.
    pub is_online: bool,
    /// Online: time left for a start that is on time; batch: time until the result is due. Milliseconds, negative
    /// once it has passed.
    pub due_in_ms: i64,
    /// Online: time left until waiting is of no use; batch: time that the item still runs. Milliseconds.
    pub left_ms: u64,
    /// Servers that must not be granted.
    pub excluded: Vec<BackendServerId>,
    /// Server where it runs already.
    pub server: Option<BackendServerId>,
}

/// A call that wants an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Submit a job to the owner of its partition.
    Submit {
        /// Identifier of the job.
        job: String,
        /// `Host` header.
        host: String,
        /// Path.
        path: String,
        /// Body as the caller sent it.
        body: Vec<u8>,
    },
    /// A call about a job, to the owner of its partition.
    Job(JobCall),
    /// Reserve room for tokens that will wait.
    Reserve {
        /// Route.
        route: String,
        /// Tokens.
        tokens: u64,
        /// Most tokens that may wait.
        max_tokens: u64,
    },
    /// Make a call of the store for a host that cannot reach it.
    Store(StoreRequest),
    /// The configuration as the store holds it.
    Config,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// Answer to a call about a job, for the caller.
    Http {
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Number of the reservation; `None` if there is no room.
    Reserved(Option<u64>),
    /// Room cannot be judged now.
    NotSure,
    /// Answer of the store.
    Store(Result<StoreReply, StoreError>),
    /// Configuration, as the store holds it.
    Config(Vec<u8>),
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// First message of a connection.
    Hello(HostInfo),
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// Answer to a sign of life; the board if the sender has another.
    HeartbeatAck {
        /// Board.
        cluster_map: Option<ClusterMap>,
        /// Version of the configuration that the coordinator has.
        config_version: u64,
        /// Whether the coordinator is about to stop.
        is_leaving: bool,
        /// Whether the coordinator lacks asks that the host named.
        wants_sync: bool,
        /// Host that the sender itself takes for the coordinator.
        coordinator: HostInfo,
    },
    /// All asks of a host that has a new coordinator.
    Sync(Vec<SlotRequestInfo>),
    /// Wish for a slot, or a run that began without one.
    RequestSlot(SlotRequestInfo),
    /// An ask has ended.
    Release {
        /// Ask.
        request: SlotRequestId,
        /// Server where it ran.
        server: Option<BackendServerId>,
        /// How it ended there.
        outcome: RunOutcome,
    },
    /// A slot is granted.
    Grant {
        /// Ask.
        request: SlotRequestId,
        /// Server.
        server: BackendServerId,
    },
    /// The ask waits.
    Queued {
        /// Ask.
        request: SlotRequestId,
    },
    /// A batch item must leave its slot.
    Preempt {
        /// Ask.
        request: SlotRequestId,
    },
    /// The ask cannot be met in time.
    Refused {
        /// Ask.
        request: SlotRequestId,
        /// When a slot is likely to be free.
        retry_after: Duration,
    },
    /// A call.
    Request {
        /// Number of the call.
        call: u64,
        /// Call.
        request: PeerRequest,
    },
    /// Answer to a call.
    Reply {
        /// Number of the call.
        call: u64,
        /// Answer.
        reply: PeerReply,
    },
}
