//! Event types.

use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Type of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// An online request arrived.
    OnlineArrived,
    /// An online request was sent to a server.
    OnlineSent,
    /// An online request ended.
    OnlineEnded,
    /// A request was rejected.
    Refused,
    /// A job was accepted.
    JobAccepted,
    /// A job ended.
    JobEnded,
    /// An item was assigned to a server owner.
    ItemHandedOut,
    /// An item started on a server.
    ItemStarted,
    /// An item was preempted to free capacity.
    ItemStopped,
    /// An attempt of an item ended on its server.
    ItemRan,
    /// The outcome of an item attempt was committed to the log.
    ItemCommitted,
    /// The outcome of an item was ignored: a duplicate, from a stale owner, or after the job was cancelled.
    OutcomeIgnored,
    /// This host became the owner of a shard.
    ShardOwned,
    /// This host lost the ownership of a shard.
    ShardLost,
    /// This host became the owner of a server.
    ServerOwned,
    /// This host lost the ownership of a server.
    ServerLost,
    /// A configuration change was applied or rejected.
    ConfigChanged,
    /// The host became ready or not ready.
    Readiness,
    /// The log became unavailable or available again.
    LogState,
}

/// An event and its subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Host whose process recorded the event.
    pub host: HostId,
    /// Sequence number within the process, which orders events of the same microsecond.
    pub number: u64,
    /// Type of the event.
    pub kind: EventKind,
    /// Id of the request, the job, or the job and item (`job/item`) that the event concerns.
    pub subject: String,
    /// Server, result code or state, if the event has one.
    pub detail: String,
}
