//! Requests to the platform's store, and its responses.

use std::time::Duration;

use bamboo_types::Offset;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Number of a partition of a topic.
pub type Partition = u32;

/// Makes an append idempotent, and rejects it once another writer has used a higher epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Name shared by the writers that fence each other off.
    pub producer: String,
    /// Epoch of this writer.
    pub epoch: u64,
    /// Sequence number of the append within the epoch.
    pub sequence: u64,
}

/// How much a read is expected to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadExtent {
    /// Small records that were appended since the previous read, if any.
    Tail,
    /// All retained records from an offset on, in several reads, or records that are large by themselves.
    Backlog,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Appends records atomically. Without records, only the epoch is advanced.
    Append {
        /// Topic.
        topic: String,
        /// Partition.
        partition: Partition,
        /// Records.
        records: Vec<Vec<u8>>,
        /// Fence of the writer; `None` for an append that is neither fenced nor idempotent.
        fence: Option<Fence>,
    },
    /// Reads records from an offset on.
    Read {
        /// Topic.
        topic: String,
        /// Partition.
        partition: Partition,
        /// First offset.
        from: Offset,
        /// Maximum time to wait for a record if there is none (long polling).
        wait: Duration,
        /// How much the read is expected to return.
        extent: ReadExtent,
    },
    /// Reads the end of a compacted topic without its records.
    End {
        /// Topic.
        topic: String,
    },
    /// Reads the newest record of each key, in pages.
    Newest {
        /// Topic.
        topic: String,
        /// Last key of the previous page.
        after: Option<String>,
    },
    /// Joins a group, or renews the membership.
    Join {
        /// Group.
        group: String,
        /// Member.
        member: String,
        /// Topic whose partitions are assigned to the members.
        topic: String,
        /// Time after which the membership expires unless it is renewed.
        lifetime: Duration,
        /// Generation that was received last.
        generation: u64,
    },
    /// Leaves a group.
    Leave {
        /// Group.
        group: String,
        /// Member.
        member: String,
        /// Generation that was received last.
        generation: u64,
    },
    /// Reads records from an offset on that are known to exist, at most as many as have this size. Hosts of earlier releases do not
    /// decode it.
    ReadPart {
        /// Topic.
        topic: String,
        /// Partition.
        partition: Partition,
        /// First offset.
        from: Offset,
        /// Size of the records in KiB at most.
        max_kb: usize,
    },
}

impl StoreRequest {
    /// The request as hosts of all releases decode it. A part is then read with whatever follows it.
    pub(crate) fn for_relay(&self) -> Self {
        match self {
            StoreRequest::ReadPart {
                topic,
                partition,
                from,
                ..
            } => StoreRequest::Read {
                topic: topic.clone(),
                partition: *partition,
                from: *from,
                wait: Duration::ZERO,
                extent: ReadExtent::Backlog,
            },
            request => request.clone(),
        }
    }

    /// Whether a retry has no further effect: the store deduplicates it, or the request changes nothing.
    pub(super) fn is_idempotent(&self) -> bool {
        match self {
            StoreRequest::Append { fence, .. } => fence.is_some(),
            StoreRequest::Read { .. }
            | StoreRequest::ReadPart { .. }
            | StoreRequest::End { .. }
            | StoreRequest::Newest { .. }
            | StoreRequest::Join { .. }
            | StoreRequest::Leave { .. } => true,
        }
    }

    /// How long the store may hold the request open.
    pub(crate) fn wait(&self) -> Duration {
        match self {
            StoreRequest::Read { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }

    /// Whether the request reads records.
    pub(crate) fn is_read(&self) -> bool {
        matches!(
            self,
            StoreRequest::Read { .. } | StoreRequest::ReadPart { .. } | StoreRequest::Newest { .. }
        )
    }

    /// Whether the response may be large. The store queues large reads, whose responses therefore begin late, and a
    /// retry queues another one behind them.
    pub(crate) fn is_bulk(&self) -> bool {
        match self {
            StoreRequest::Newest { .. } | StoreRequest::ReadPart { .. } => true,
            StoreRequest::Read { extent, .. } => *extent == ReadExtent::Backlog,
            StoreRequest::Append { .. }
            | StoreRequest::End { .. }
            | StoreRequest::Join { .. }
            | StoreRequest::Leave { .. } => false,
        }
    }

    /// Name of the kind of call, for metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            StoreRequest::Append { .. } => "append",
            StoreRequest::Read { .. } | StoreRequest::ReadPart { .. } => "read",
            StoreRequest::End { .. } => "end",
            StoreRequest::Newest { .. } => "newest",
            StoreRequest::Join { .. } => "join",
            StoreRequest::Leave { .. } => "leave",
        }
    }

    /// Topic that the call concerns; empty for a call that concerns a group.
    pub(super) fn topic(&self) -> &str {
        match self {
            StoreRequest::Append { topic, .. }
            | StoreRequest::Read { topic, .. }
            | StoreRequest::ReadPart { topic, .. }
            | StoreRequest::End { topic }
            | StoreRequest::Newest { topic, .. } => topic,
            StoreRequest::Join { .. } | StoreRequest::Leave { .. } => "",
        }
    }
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Offset.
    pub offset: Offset,
}

/// A response of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The records are stored.
    Appended {
        /// Offset of the first record.
        offset: Offset,
        /// Offset after the last record of the partition.
        end: Offset,
    },
    /// Another writer has used a higher epoch. Nothing was stored.
    Fenced,
    /// The sequence number is not the next one of its epoch. Nothing was stored.
    OutOfSequence {
        /// Sequence number that the store expects, if it reports it.
        expected: Option<u64>,
    },
    /// Records from the requested offset on.
    Records {
        /// Offset after the last record of the partition.
        end: Offset,
        /// Records in the order of their offsets.
        records: Vec<Vec<u8>>,
    },
    /// The requested offset is no longer retained.
    Trimmed {
        /// First offset that is retained.
        first: Offset,
    },
    /// A page of the newest records by key.
    Newest {
        /// Records.
        records: Vec<KeyedRecord>,
        /// Whether there is another page after the last key.
        has_more: bool,
        /// Offset after the last record of the partition.
        end: Offset,
    },
    /// The member is in the group.
    Joined {
        /// Generation of the group.
        generation: u64,
        /// Partitions assigned to the member.
        partitions: Vec<Partition>,
    },
    /// The request was carried out; there is nothing to return.
    Done,
}

/// Why a request has no response.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreError {
    /// The store did not execute the request.
    #[error("store refused: {0}")]
    Refused(String),
    /// The request was not sent, because there is no connection to the store.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The request may have been executed, or may still be.
    #[error("store gave no answer: {0}")]
    Unknown(String),
}
