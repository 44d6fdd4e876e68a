//! Messages between hosts.

use bamboo_jobs::JobView;
use bamboo_log::ItemOutcome;
use bamboo_log::Position;
use bamboo_log::RecordId;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use serde::Deserialize;
use serde::Serialize;

/// A batch item that a shard owner assigns to the owner of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedItem {
    /// Backend server that runs the item.
    pub server: BackendServerId,
    /// Job of the item.
    pub job: JobId,
    /// Index of the item in its job.
    pub item: ItemIndex,
    /// Position of the log record of the chunk that contains the item.
    pub chunk: Position,
    /// Index of the item in the chunk.
    pub index_in_chunk: u32,
    /// Model that runs the item.
    pub model: ModelId,
    /// Deadline of the job, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether no other batch item may run on the server at the same time.
    pub must_run_alone: bool,
}

/// Load of one backend server as seen by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Backend server.
    pub server: BackendServerId,
    /// Online requests in flight from all hosts.
    pub online_count: u32,
    /// Batch items that run on the backend server.
    pub batch_count: u32,
}

/// A query to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardQuery {
    /// State of a job, answered once the owner has applied the shard's stream up to an offset.
    Job {
        /// The job.
        job: JobId,
        /// Offset that the owner must have applied before it answers.
        after: Option<Offset>,
    },
    /// Jobs of one workspace or of all workspaces.
    Jobs {
        /// The workspace, or `None` for all.
        workspace: Option<String>,
    },
    /// Positions of a job's outcome records in the log.
    Results {
        /// The job.
        job: JobId,
    },
    /// Whether a claim is the first for its idempotency key.
    KeyClaim {
        /// Workspace that the key belongs to.
        workspace: String,
        /// Idempotency key.
        key: String,
        /// Record of the sender's claim.
        claim: RecordId,
        /// Offset that the owner must have applied before it answers.
        after: Offset,
    },
}

/// Reply of a shard owner to a [`ShardQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReply {
    /// The job, or `None` if it does not exist.
    Job(Option<JobView>),
    /// The jobs that match.
    Jobs(Vec<JobView>),
    /// The job and the positions of its outcome records.
    Results {
        /// The job, or `None` if it does not exist.
        view: Option<JobView>,
        /// Positions in ascending order.
        positions: Vec<Position>,
    },
    /// The sender's claim is the first for its key, so the sender may run the call.
    KeyClaimGranted,
    /// Another claim is the first for the key.
    KeyClaimRejected {
        /// Digest of the call that claimed the key.
        digest: u128,
        /// HTTP status and body of the response to that call, if the call has ended.
        response: Option<(u16, Vec<u8>)>,
    },
    /// The first claim was withdrawn and the key is unclaimed; the sender may claim it again.
    KeyClaimReleased,
    /// The receiver of the query does not own the shard.
    NotOwner {
        /// The owner, if the sender knows it.
        owner: Option<HostId>,
    },
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat {
        /// Whether the sender drains its work before it stops.
        is_draining: bool,
        /// Next offset of the configuration stream that the sender reads.
        config_offset: Offset,
    },
    /// The sender monitors a host and no longer receives heartbeats from this incarnation of it.
    HostLost {
        /// The lost host.
        host: HostId,
        /// Incarnation of the host that was lost.
        incarnation: Incarnation,
    },
    /// Number of the sender's online requests on a backend server that the receiver owns.
    OnlineCount {
        /// Backend server.
        server: BackendServerId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// Loads of backend servers that the sender owns.
    Loads(Vec<ServerLoad>),
    /// The sender requests items of a shard for a backend server.
    Demand {
        /// Shard to assign items from.
        shard: ShardId,
        /// Backend server.
        server: BackendServerId,
        /// Models that the server has loaded.
        models: Vec<ModelId>,
        /// Number of items requested.
        want_count: u32,
        /// Number of the shard's items that the sender already holds for the server.
        held_count: u32,
    },
    /// Requests the list of a shard's items that the receiver holds for a backend server.
    HeldItemsRequest {
        /// Shard.
        shard: ShardId,
        /// Backend server.
        server: BackendServerId,
    },
    /// Items of a shard that the sender holds for a backend server.
    HeldItems {
        /// Shard.
        shard: ShardId,
        /// Backend server.
        server: BackendServerId,
        /// Job and index of each item.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Items assigned to backend servers that the receiver owns.
    AssignedItems {
        /// Shard of the items.
        shard: ShardId,
        /// Epoch under which the sender owns it.
        epoch: Offset,
        /// The items.
        items: Vec<AssignedItem>,
    },
    /// Items that the sender returns without an outcome.
    ReturnedItems {
        /// Shard.
        shard: ShardId,
        /// Job and index of each item.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Item outcomes that the shard owner is to commit to the log.
    Outcomes {
        /// Shard.
        shard: ShardId,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// Outcomes of these items are committed to the log or will never be accepted, so the receiver can discard
    /// them.
    OutcomesAcknowledged {
        /// Shard.
        shard: ShardId,
        /// Job and index of each item.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// The sender does not own the shard that an earlier message of the receiver was addressed to.
    ShardOwner {
        /// Shard.
        shard: ShardId,
        /// The owner, if the sender knows it.
        owner: Option<HostId>,
    },
    /// A job ended early; the receiver stops its items.
    StopJob {
        /// Shard.
        shard: ShardId,
        /// Job.
        job: JobId,
    },
    /// A query to a shard owner.
    Query {
        /// Identifier of the query.
        request: RequestId,
        /// Shard.
        shard: ShardId,
        /// The query.
        query: ShardQuery,
    },
    /// The reply to a query.
    Reply {
        /// Identifier of the query.
        request: RequestId,
        /// The reply.
        reply: ShardReply,
    },
    /// Requests a configuration snapshot if the receiver's configuration is newer than the sender's.
    ConfigRequest {
        /// Next offset of the configuration stream that the sender reads.
        next_offset: Offset,
    },
    /// An encoded snapshot of the whole configuration.
    ConfigSnapshot(Vec<u8>),
}

impl PeerMessage {
    /// Kind of the message, used as a metric label.
    ///
    /// ```
    /// assert_eq!(bamboo_wire::PeerMessage::ConfigRequest { next_offset: 0 }.kind(), "config_ask");
    /// ```
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Heartbeat { .. } => "heartbeat",
            PeerMessage::HostLost { .. } => "lost",
            PeerMessage::OnlineCount { .. } => "online_count",
            PeerMessage::Loads(_) => "loads",
            PeerMessage::Demand { .. } => "demand",
            PeerMessage::HeldItemsRequest { .. } => "recount",
            PeerMessage::HeldItems { .. } => "holding",
            PeerMessage::AssignedItems { .. } => "items",
            PeerMessage::ReturnedItems { .. } => "return",
            PeerMessage::Outcomes { .. } => "outcomes",
            PeerMessage::OutcomesAcknowledged { .. } => "settled",
            PeerMessage::ShardOwner { .. } => "shard_holder",
            PeerMessage::StopJob { .. } => "stop_job",
            PeerMessage::Query { .. } => "ask",
            PeerMessage::Reply { .. } => "answer",
            PeerMessage::ConfigRequest { .. } => "config_ask",
            PeerMessage::ConfigSnapshot(_) => "config_image",
        }
    }
}
