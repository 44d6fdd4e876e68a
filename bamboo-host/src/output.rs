//! What a host core wants done.

use std::sync::Arc;

use bamboo_admit::RunKey;
use bamboo_admit::WorkItem;
use bamboo_config::ChangeOutcome;
use bamboo_config::ConfigState;
use bamboo_events::EventKind;
use bamboo_jobs::JobView;
use bamboo_log::Position;
use bamboo_log::StreamId;
use bamboo_result::ApiError;
use bamboo_route::Attempt;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_wire::PeerMessage;

/// An item's run at a server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunRef {
    /// Server.
    pub server: BackendServerId,
    /// Number of the time of ownership in which it was started; keys are unique within one.
    pub ownership_term: u64,
    /// Key at its owner.
    pub key: RunKey,
}

/// The answer to a request that was put in.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Send the online request.
    Dispatch(Attempt),
    /// Nothing more to do for the online request.
    Done,
    /// Tell the caller at once.
    Refused(ApiError),
    /// The uploaded items are stored.
    Stored,
    /// A job.
    Job(JobView),
    /// Jobs.
    Jobs(Vec<JobView>),
    /// A job and the positions of its outcome records.
    Results {
        /// The job.
        view: JobView,
        /// Positions, ascending.
        positions: Vec<Position>,
    },
    /// What became of a configuration change.
    Config(ChangeOutcome),
    /// The keyed call ended before: its answer again.
    Replay {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
}

/// One thing to do.
#[derive(Debug, Clone)]
pub enum Output {
    /// Append bytes to a stream and put in the answer.
    Append {
        /// Stream.
        stream: StreamId,
        /// The encoded entry.
        bytes: Vec<u8>,
    },
    /// Read a stream, waiting a while for something new, and put in the answer.
    Read {
        /// Stream.
        stream: StreamId,
        /// First offset wanted.
        from: Offset,
    },
    /// Read a single entry and put in the answer.
    ReadEntry {
        /// Stream.
        stream: StreamId,
        /// Offset.
        offset: Offset,
    },
    /// Send messages to a host.
    Send {
        /// Receiver.
        to: HostId,
        /// Its address as `ip:port`.
        address: String,
        /// Messages.
        messages: Vec<PeerMessage>,
    },
    /// Answer a request.
    Answer {
        /// Request.
        request: RequestId,
        /// Answer.
        answer: Answer,
    },
    /// Run an item, from the tokens it has.
    StartItem {
        /// The run.
        run: RunRef,
        /// Address of the server.
        address: String,
        /// The item.
        item: WorkItem,
    },
    /// Stop an item's stream and keep its tokens.
    StopItem {
        /// The run.
        run: RunRef,
    },
    /// Forget an item with its tokens; stop its stream if it runs.
    DropItem {
        /// The run.
        run: RunRef,
    },
    /// Cancel what runs at a server under batch identities of earlier owners.
    CancelOrphanedRuns {
        /// Server.
        server: BackendServerId,
        /// Its address.
        address: String,
    },
    /// The configuration in force changed.
    PublishConfig(Arc<ConfigState>),
    /// The host is ready for callers, or not.
    Ready(bool),
    /// Something for the time line.
    Event {
        /// What happened.
        kind: EventKind,
        /// What it is about.
        subject: String,
        /// Server, code or state.
        detail: String,
    },
    /// The planned stop is complete.
    Drained,
}
