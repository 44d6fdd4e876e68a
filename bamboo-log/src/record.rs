//! The records that streams hold.

use bamboo_types::BackendServerId;
use bamboo_types::CallerId;
use bamboo_types::Incarnation;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::ModelId;
use bamboo_types::Offset;
use bamboo_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::Writer;

/// Place of a record: the entry's offset in its stream and the record's slot within the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Offset of the entry.
    pub offset: Offset,
    /// Slot of the record within the entry, from 0.
    pub slot: u32,
}

/// Identity of a record, the same for every copy that a retried append stores.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Who wrote it.
    pub writer: Writer,
    /// Its number within the writer and stream.
    pub sequence: u64,
}

/// Identity of one upload of a job's items: the incarnation that took it and a number within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UploadId {
    /// Incarnation of the host that took the upload.
    pub incarnation: Incarnation,
    /// Number of the upload within the incarnation.
    pub number: u64,
}

/// One item of a job, as the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBody {
    /// The caller's own name for the item, unique within the job.
    pub custom_id: String,
    /// The request body, as JSON text.
    pub body_json: String,
}

/// What a job is, fixed at its submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier, derived from workspace and key.
    pub job: JobId,
    /// Workspace that owns the job.
    pub workspace: WorkspaceId,
    /// Caller that submitted it.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of all item lines, to tell a resend from other content under the same key.
    pub digest: u128,
    /// Serving resource that the job is queued against.
    pub serving: String,
    /// Model that its items need.
    pub model: ModelId,
    /// Upload that holds the items.
    pub upload: UploadId,
    /// Number of item chunks of the upload.
    pub chunk_count: u32,
    /// Number of items.
    pub item_count: u32,
    /// Submission time, milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Time by which all items should be done, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// How long results stay readable after the job ends, milliseconds.
    pub result_lifetime_ms: u64,
}

/// How one run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemRunResult {
    /// Done; the answer is the backend server's JSON text.
    Done {
        /// The answer as JSON text.
        answer_json: String,
    },
    /// The item's own content fails and always will.
    ItemFault {
        /// The backend server's reason.
        reason: String,
    },
    /// The run failed for a reason that lies with the server or the way to it.
    ServerFault {
        /// What failed.
        reason: String,
        /// Whether the server died or broke off while it ran the item.
        was_server_lost: bool,
    },
    /// The item's attempts are used up; final.
    AttemptsExhausted {
        /// The last failure.
        reason: String,
    },
}

impl ItemRunResult {
    /// Whether the item is not run again after this verdict.
    ///
    /// ```
    /// let result = bamboo_log::ItemRunResult::ItemFault { reason: "empty prompt".into() };
    /// assert!(result.is_final());
    /// ```
    pub fn is_final(&self) -> bool {
        !matches!(self, ItemRunResult::ServerFault { .. })
    }
}

/// One run of an item, reported by the server owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// Job of the item.
    pub job: JobId,
    /// Item within the job.
    pub item: ItemIndex,
    /// The caller's name for the item.
    pub custom_id: String,
    /// Server that ran it.
    pub server: BackendServerId,
    /// How the run ended.
    pub run_result: ItemRunResult,
}

/// Claim of a non-idempotent call with a caller's key, appended before the first byte is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: u128,
    /// Time of the claim, milliseconds since the Unix epoch.
    pub claimed_ms: u64,
}

/// How a keyed call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCallEnd {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: String,
    /// The call's claim; the end of any other claim does not count.
    pub claim: RecordId,
    /// HTTP status of the whole answer, or `None` if the call did not run and may be claimed again.
    pub status: Option<u16>,
    /// Body of the whole answer, for repeats of the key.
    pub body: Vec<u8>,
}

/// A change of one resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Kind of the resource.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Revision that the change was based on; 0 if the resource did not exist.
    pub based_on: u64,
    /// The new text as JSON, or `None` to delete the resource.
    pub resource_json: Option<String>,
}

/// One part of a snapshot of a stream's fold.
///
/// A fold is a function of the stream up to `last_offset`, so a snapshot needs no owner: whoever wrote it,
/// its content is the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Last offset that the snapshot covers.
    pub last_offset: Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub part_count: u32,
    /// Encoded piece of the fold.
    pub bytes: Vec<u8>,
}

/// A record's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// The writer claims the stream; the entry's offset becomes its epoch.
    Claim,
    /// The owner with this epoch gives the stream up.
    Release {
        /// Epoch that is given up.
        epoch: Offset,
    },
    /// Marks a place in the stream, to learn what was stored before it.
    Probe,
    /// Items of an upload.
    Chunk {
        /// Upload that they belong to.
        upload: UploadId,
        /// Index of the first item.
        first_item: ItemIndex,
        /// The items.
        items: Vec<ItemBody>,
    },
    /// A job; the first record of its identifier counts.
    Submit(JobSpec),
    /// Outcomes that a shard owner commits together.
    Outcomes {
        /// The owner's epoch.
        epoch: Offset,
        /// Time of the commit, milliseconds since the Unix epoch.
        at_ms: u64,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// Cancels a job; outcomes after it do not count.
    Cancel {
        /// The job.
        job: JobId,
        /// Time of the request, milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Forgets an ended job whose result lifetime is over.
    Expire {
        /// The owner's epoch.
        epoch: Offset,
        /// The job.
        job: JobId,
    },
    /// Outcomes carried forward by the owner before retention ends: they counted before.
    CarriedOutcomes {
        /// The owner's epoch.
        epoch: Offset,
        /// Job of the outcomes.
        job: JobId,
        /// Position of the record that they are copied from.
        from: Position,
        /// The outcomes of the job that counted there.
        outcomes: Vec<ItemOutcome>,
    },
    /// Items carried forward by the owner before retention ends.
    CarriedChunk {
        /// The owner's epoch.
        epoch: Offset,
        /// Job of the items.
        job: JobId,
        /// Index of the first item.
        first_item: ItemIndex,
        /// The items.
        items: Vec<ItemBody>,
    },
    /// Claim of a keyed call.
    KeyedCall(KeyedCall),
    /// End of a keyed call.
    KeyedCallEnd(KeyedCallEnd),
    /// A change of configuration.
    Config(ConfigChange),
    /// The writer claims a backend server for orders; the offset becomes the fencing number.
    ServerClaim {
        /// The backend server.
        server: BackendServerId,
    },
    /// A part of a snapshot.
    Snapshot(SnapshotPart),
}
