//! What a host core is told.

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

/// A non-idempotent call with a caller's key.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    /// The call as the router sees it.
    pub online: OnlineRequest,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: u128,
}

/// How one run of an item ended at its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// The run has a verdict.
    Verdict {
        /// The caller's name for the item.
        custom_id: String,
        /// The verdict.
        verdict: ItemRunResult,
    },
    /// The stream was stopped; the item resumes later.
    Stopped,
    /// The item did not run here and goes back to its shard.
    Returned,
}

/// One thing that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The platform's list of hosts, and the backend servers that it says are leaving.
    HostList {
        /// Hosts.
        hosts: Vec<HostEntry>,
        /// Backend servers that are leaving.
        leaving_servers: Vec<BackendServerId>,
    },
    /// Messages of another host.
    Frame(Frame),
    /// The answer to an append.
    AppendAnswered {
        /// Stream.
        stream: StreamId,
        /// Answer.
        answer: AppendAnswer,
    },
    /// The answer to a read.
    ReadAnswered {
        /// Stream.
        stream: StreamId,
        /// Answer.
        answer: ReadAnswer,
    },
    /// A single entry was read; `None` if it is no longer kept or the read failed.
    EntryRead {
        /// Stream.
        stream: StreamId,
        /// Offset.
        offset: Offset,
        /// The entry.
        entry: Option<Entry>,
    },
    /// A read failed.
    ReadFailed {
        /// Stream.
        stream: StreamId,
    },
    /// An online request arrived.
    Online(OnlineRequest),
    /// A non-idempotent call with a key arrived.
    Keyed(KeyedRequest),
    /// The whole answer of a keyed call, given before its end.
    KeyedAnswer {
        /// Request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// An attempt of an online request ended.
    OnlineEnded {
        /// Request.
        request: RequestId,
        /// How.
        end: OnlineEnd,
    },
    /// Items of a job that is being uploaded.
    Upload {
        /// Request.
        request: RequestId,
        /// Shard of the job.
        shard: ShardId,
        /// Upload.
        upload: UploadId,
        /// Index of the first item.
        first_item: ItemIndex,
        /// Items.
        items: Vec<ItemBody>,
    },
    /// A job whose items are all stored.
    Submit {
        /// Request.
        request: RequestId,
        /// The job.
        spec: JobSpec,
    },
    /// A job is to be cancelled.
    Cancel {
        /// Request.
        request: RequestId,
        /// Job.
        job: JobId,
    },
    /// A question to a shard owner.
    Ask {
        /// Request.
        request: RequestId,
        /// Shard.
        shard: ShardId,
        /// Question.
        question: ShardQuery,
    },
    /// A change of configuration.
    Propose {
        /// Request.
        request: RequestId,
        /// The change.
        change: ConfigChange,
    },
    /// The first token of an item arrived.
    ItemFirstToken(RunRef),
    /// An item's run ended.
    ItemEnded {
        /// The run.
        run: RunRef,
        /// How.
        end: ItemEnd,
    },
    /// What ran at a server under earlier owners has been cancelled.
    StraysCancelled {
        /// Server.
        server: BackendServerId,
    },
    /// The host is to stop.
    Drain,
}
