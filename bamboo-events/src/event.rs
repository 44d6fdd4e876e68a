//! One event.

use bamboo_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// An online request arrived.
    OnlineArrived,
    /// An online request was sent to a server.
    OnlineSent,
    /// An online request ended.
    OnlineEnded,
    /// A request was refused.
    Refused,
    /// A job was accepted.
    JobAccepted,
    /// A job ended.
    JobEnded,
    /// An item was handed to a server owner.
    ItemHandedOut,
    /// An item started at a server.
    ItemStarted,
    /// An item was stopped to make room.
    ItemStopped,
    /// An item's run ended at its server.
    ItemRan,
    /// An item's outcome counted in the log.
    ItemCommitted,
    /// An item's outcome did not count.
    OutcomeIgnored,
    /// This host owns a shard.
    ShardOwned,
    /// This host no longer owns a shard.
    ShardLost,
    /// This host owns a server.
    ServerOwned,
    /// This host no longer owns a server.
    ServerLost,
    /// A configuration change is in force or was refused.
    ConfigChanged,
    /// The host became ready or not ready.
    Readiness,
    /// The log fails or answers again.
    LogState,
}

/// An event with what it is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time, microseconds since the Unix epoch.
    pub at_us: u64,
    /// Process that saw it.
    pub host: HostId,
    /// Number within the process, to keep the order of events of one microsecond.
    pub number: u64,
    /// What happened.
    pub kind: EventKind,
    /// Request, job, or job and item, that it is about.
    pub subject: String,
    /// Server, code or state, where it helps.
    pub detail: String,
}
