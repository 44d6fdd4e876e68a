//! Inputs of a host core.

use bamboo_log::AppendAnswer;
use bamboo_log::ConfigChange;
use bamboo_log::Entry;
use bamboo_log::ItemBody;
use bamboo_log::ItemRunResult;
use bamboo_log::JobSpec;
use bamboo_log::ReadAnswer;
use bamboo_log::StreamId;
use bamboo_log::UploadId;
use bamboo_member::HostEntry;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_types::BackendServerId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::WorkspaceId;
use bamboo_wire::Frame;
use bamboo_wire::ShardQuery;

use crate::RunRef;

/// A non-idempotent call with an idempotency key.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    /// The call in the form that the router takes.
    pub online: OnlineRequest,
    /// Workspace of the caller; keys are unique within it.
    pub workspace: WorkspaceId,
    /// The idempotency key.
    pub key: String,
    /// Digest of method, path and body, to detect a key that is reused for another call.
    pub digest: u128,
}

/// How a run of an item ended at its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// The run finished with a result.
    Finished {
        /// The caller's identifier of the item.
        custom_id: String,
        /// The result of the run.
        run_result: ItemRunResult,
    },
    /// The stream was stopped; the item stays with its server owner and resumes later.
    Stopped,
    /// The item did not run on this server and is returned to its shard.
    Returned,
}

/// An event that the core reacts to.
#[derive(Debug, Clone)]
pub enum Input {
    /// Timer tick.
    Tick,
    /// A new host list from the platform.
    HostList {
        /// Hosts of the fleet.
        hosts: Vec<HostEntry>,
        /// Backend servers that the platform is about to remove.
        leaving_servers: Vec<BackendServerId>,
    },
    /// A frame of messages from another host.
    Frame(Frame),
    /// The log answered an [`Output::Append`](crate::Output::Append).
    AppendAnswered {
        /// Stream that was appended to.
        stream: StreamId,
        /// Whether and where the entry was stored.
        answer: AppendAnswer,
    },
    /// The log answered an [`Output::Read`](crate::Output::Read).
    ReadAnswered {
        /// Stream that was read.
        stream: StreamId,
        /// Entries, and the range that the log holds.
        answer: ReadAnswer,
    },
    /// An [`Output::ReadEntry`](crate::Output::ReadEntry) ended.
    EntryRead {
        /// Stream that was read.
        stream: StreamId,
        /// Offset of the entry.
        offset: Offset,
        /// The entry; `None` if it was trimmed or the read failed.
        entry: Option<Entry>,
    },
    /// An [`Output::Read`](crate::Output::Read) failed.
    ReadFailed {
        /// Stream that was read.
        stream: StreamId,
    },
    /// An online request arrived.
    Online(OnlineRequest),
    /// A non-idempotent call with an idempotency key arrived.
    Keyed(KeyedRequest),
    /// The whole answer of a keyed call. It comes before the [`OnlineEnded`](Input::OnlineEnded) of the call.
    KeyedAnswer {
        /// Identifier of the request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// An attempt of an online request ended.
    OnlineEnded {
        /// Identifier of the request.
        request: RequestId,
        /// How it ended.
        end: OnlineEnd,
    },
    /// A chunk of items for a job that is submitted later.
    Upload {
        /// Identifier of the request.
        request: RequestId,
        /// Shard that the job belongs to.
        shard: ShardId,
        /// The upload that the chunk belongs to.
        upload: UploadId,
        /// Index of the first item.
        first_item: ItemIndex,
        /// Items.
        items: Vec<ItemBody>,
    },
    /// A job is submitted; all its items have been uploaded.
    Submit {
        /// Identifier of the request.
        request: RequestId,
        /// The job.
        spec: JobSpec,
    },
    /// A caller cancels a job.
    Cancel {
        /// Identifier of the request.
        request: RequestId,
        /// Job.
        job: JobId,
    },
    /// A query to a shard owner.
    Query {
        /// Identifier of the request.
        request: RequestId,
        /// Shard.
        shard: ShardId,
        /// The query.
        query: ShardQuery,
    },
    /// A change of the configuration is proposed.
    Propose {
        /// Identifier of the request.
        request: RequestId,
        /// The change.
        change: ConfigChange,
    },
    /// The first token of an item arrived.
    ItemFirstToken(RunRef),
    /// A run of an item ended.
    ItemEnded {
        /// The run.
        run: RunRef,
        /// How it ended.
        end: ItemEnd,
    },
    /// All runs that earlier owners left on a server have been cancelled.
    OrphanedRunsCancelled {
        /// Server.
        server: BackendServerId,
    },
    /// Start a graceful shutdown.
    Drain,
}
