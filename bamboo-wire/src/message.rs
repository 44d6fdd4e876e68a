//! The messages.

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

/// An item that a shard owner hands to a server owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedItem {
    /// Server that it is for.
    pub server: BackendServerId,
    /// Job.
    pub job: JobId,
    /// Item.
    pub item: ItemIndex,
    /// Position of the chunk record that holds the item.
    pub chunk: Position,
    /// Index within the chunk.
    pub index_in_chunk: u32,
    /// Model that it needs.
    pub model: ModelId,
    /// Deadline of its job, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether no other batch item may run beside it.
    pub must_run_alone: bool,
}

/// Load of one server as its owner knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Server.
    pub server: BackendServerId,
    /// Online requests of all routers.
    pub online_count: u32,
    /// Batch sequences.
    pub batch_count: u32,
}

/// What one host asks a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardQuery {
    /// A job, once the fold has passed an offset.
    Job {
        /// The job.
        job: JobId,
        /// Offset that the fold must have passed.
        after: Option<Offset>,
    },
    /// Jobs of a workspace, or of all.
    Jobs {
        /// The workspace.
        workspace: Option<String>,
    },
    /// Where the outcomes of a job lie.
    Results {
        /// The job.
        job: JobId,
    },
    /// Whether a claim of a keyed call is the first of its key.
    KeyClaim {
        /// Workspace.
        workspace: String,
        /// Key.
        key: String,
        /// The asker's claim.
        claim: RecordId,
        /// Offset that the fold must have passed.
        after: Offset,
    },
}

/// A shard owner's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReply {
    /// A job, if it stands.
    Job(Option<JobView>),
    /// Jobs.
    Jobs(Vec<JobView>),
    /// A job with the positions of its outcome records.
    Results {
        /// The job, if it stands.
        view: Option<JobView>,
        /// Positions, ascending.
        positions: Vec<Position>,
    },
    /// The asker's claim is the first: it may run the call.
    KeyClaimGranted,
    /// Another claim came first.
    KeyClaimRejected {
        /// Digest of the first call.
        digest: u128,
        /// Status and body, if it ended.
        ended: Option<(u16, Vec<u8>)>,
    },
    /// The claim that came first was taken back, so nobody holds the key: claim again.
    KeyClaimReleased,
    /// The host does not own the shard.
    NotOwner {
        /// The owner, if it is known.
        owner: Option<HostId>,
    },
}

/// One message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender lives.
    Heartbeat {
        /// Whether the sender is stopping.
        is_draining: bool,
        /// Next offset of the sender's configuration.
        config_offset: Offset,
    },
    /// A run of a host that the sender watches is no longer heard.
    HostLost {
        /// Host.
        host: HostId,
        /// Its run.
        incarnation: Incarnation,
    },
    /// Online requests of the sender on a server that the receiver owns.
    OnlineCount {
        /// Server.
        server: BackendServerId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// Loads of servers that the sender owns.
    Loads(Vec<ServerLoad>),
    /// The sender wants items for a server.
    Demand {
        /// Shard that is asked.
        shard: ShardId,
        /// Server.
        server: BackendServerId,
        /// Models that it has loaded.
        models: Vec<ModelId>,
        /// Items wanted.
        want_count: u32,
        /// Items of the shard that the sender holds for the server.
        held_count: u32,
    },
    /// The sender of a demand is asked which items it holds.
    HeldItemsRequest {
        /// Shard.
        shard: ShardId,
        /// Server.
        server: BackendServerId,
    },
    /// Items of a shard that the sender holds for a server.
    HeldItems {
        /// Shard.
        shard: ShardId,
        /// Server.
        server: BackendServerId,
        /// Job and item of each.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Items handed out.
    AssignedItems {
        /// Shard that they come from.
        shard: ShardId,
        /// Epoch under which the sender owns it.
        epoch: Offset,
        /// The items.
        items: Vec<AssignedItem>,
    },
    /// Items given back without an outcome.
    ReturnedItems {
        /// Shard.
        shard: ShardId,
        /// Job and item of each.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// Outcomes to commit.
    Outcomes {
        /// Shard.
        shard: ShardId,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// Outcomes of these items are in the log, or never will count: the reporter can drop them.
    OutcomesAcknowledged {
        /// Shard.
        shard: ShardId,
        /// Job and item of each.
        items: Vec<(JobId, ItemIndex)>,
    },
    /// The sender does not own a shard that it was addressed for.
    ShardOwner {
        /// Shard.
        shard: ShardId,
        /// The owner, if it is known.
        owner: Option<HostId>,
    },
    /// A job ended early: its items are to stop.
    StopJob {
        /// Shard.
        shard: ShardId,
        /// Job.
        job: JobId,
    },
    /// A question to a shard owner.
    Query {
        /// Identity of the question.
        request: RequestId,
        /// Shard.
        shard: ShardId,
        /// The question.
        query: ShardQuery,
    },
    /// The answer to a question.
    Reply {
        /// Identity of the question.
        request: RequestId,
        /// The answer.
        reply: ShardReply,
    },
    /// The sender wants the receiver's configuration if it is newer.
    ConfigRequest {
        /// Next offset of the sender's configuration.
        next_offset: Offset,
    },
    /// A whole configuration.
    ConfigSnapshot(Vec<u8>),
}

impl PeerMessage {
    /// Name of the message's kind, for counters.
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
