//! Outputs of a host core.

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

/// Identifies a run of an item at a server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunRef {
    /// Server.
    pub server: BackendServerId,
    /// Ownership term of the server in which the run was started. Keys are unique only within one term.
    pub ownership_term: u64,
    /// Key of the run at the server owner.
    pub key: RunKey,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Send the online request to the server of this attempt.
    Dispatch(Attempt),
    /// The online request is over; its answer has already been passed to the caller.
    Done,
    /// The request is refused with this error.
    Refused(ApiError),
    /// The uploaded items are stored.
    Stored,
    /// State of a job.
    Job(JobView),
    /// States of jobs.
    Jobs(Vec<JobView>),
    /// State of a job and where its outcomes are stored.
    Results {
        /// State of the job.
        view: JobView,
        /// Positions of its outcome records, ascending.
        positions: Vec<Position>,
    },
    /// Outcome of a configuration change.
    Config(ChangeOutcome),
    /// The keyed call ended earlier; its stored answer is replayed.
    Replay {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
}

/// An effect that the caller of the core carries out.
#[derive(Debug, Clone)]
pub enum Output {
    /// Append an entry to a stream; answered by [`Input::AppendAnswered`](crate::Input::AppendAnswered).
    Append {
        /// Stream to append to.
        stream: StreamId,
        /// The encoded entry.
        bytes: Vec<u8>,
    },
    /// Long-poll a stream; answered by [`Input::ReadAnswered`](crate::Input::ReadAnswered) or
    /// [`Input::ReadFailed`](crate::Input::ReadFailed).
    Read {
        /// Stream to read.
        stream: StreamId,
        /// First offset to read.
        from: Offset,
    },
    /// Read a single entry; answered by [`Input::EntryRead`](crate::Input::EntryRead).
    ReadEntry {
        /// Stream to read.
        stream: StreamId,
        /// Offset of the entry.
        offset: Offset,
    },
    /// Send messages to another host.
    Send {
        /// Receiver.
        to: HostId,
        /// Address of the receiver as `ip:port`.
        address: String,
        /// Messages.
        messages: Vec<PeerMessage>,
    },
    /// Answer a request.
    Answer {
        /// Identifier of the request.
        request: RequestId,
        /// Answer.
        answer: Answer,
    },
    /// Start or resume an item; a resumed one continues after the tokens kept from its stopped run.
    StartItem {
        /// The run.
        run: RunRef,
        /// Address of the server.
        address: String,
        /// The item.
        item: WorkItem,
    },
    /// Stop an item's stream and keep its tokens, so that it can resume.
    StopItem {
        /// The run.
        run: RunRef,
    },
    /// Discard an item with its tokens, and stop its stream if it runs.
    DropItem {
        /// The run.
        run: RunRef,
    },
    /// Cancel all batch runs that earlier owners left on a server; answered by
    /// [`Input::OrphanedRunsCancelled`](crate::Input::OrphanedRunsCancelled).
    CancelOrphanedRuns {
        /// Server.
        server: BackendServerId,
        /// Address of the server.
        address: String,
    },
    /// The active configuration changed.
    PublishConfig(Arc<ConfigState>),
    /// The host became ready or stopped being ready for callers.
    Ready(bool),
    /// An event for the event log.
    Event {
        /// What happened.
        kind: EventKind,
        /// The request, item, job, shard, server or stream that the event is about.
        subject: String,
        /// Further detail, such as a server, a code or a state.
        detail: String,
    },
    /// The drain is complete and the process may exit.
    Drained,
}
