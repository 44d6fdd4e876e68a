//! Records stored in the log streams.

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

/// Position of a record: the offset of its entry in the stream, and its index within the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Offset of the entry.
    pub offset: Offset,
    /// Index of the record within the entry, from 0.
    pub index: u32,
}

/// Identity of a record; duplicates stored by a retried append have the same one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The writer.
    pub writer: Writer,
    /// Sequence number, unique for the writer and stream.
    pub sequence: u64,
}

/// Identity of one upload of a job's items.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UploadId {
    /// Incarnation of the host that received the upload.
    pub incarnation: Incarnation,
    /// Number of the upload within the incarnation.
    pub number: u64,
}

/// One item of a job, as the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemBody {
    /// Identifier chosen by the caller, unique within the job.
    pub custom_id: String,
    /// The request body, as JSON text.
    pub body_json: String,
}

/// Definition of a job, immutable after submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier, derived from the workspace and the idempotency key.
    pub job: JobId,
    /// Workspace that owns the job.
    pub workspace: WorkspaceId,
    /// Caller that submitted it.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of all item lines; tells a retried submission from different content under the same key.
    pub digest: u128,
    /// Name of the serving resource that runs the job.
    pub serving: String,
    /// Model that runs the items.
    pub model: ModelId,
    /// Upload that holds the items.
    pub upload: UploadId,
    /// Number of item chunks of the upload.
    pub chunk_count: u32,
    /// Number of items.
    pub item_count: u32,
    /// Submission time, milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Deadline for all items, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// How long results stay readable after the job ends, milliseconds.
    pub result_lifetime_ms: u64,
}

/// How one run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemRunResult {
    /// The backend server completed the item.
    Done {
        /// Response of the backend server, as JSON text.
        answer_json: String,
    },
    /// The item itself is at fault, so another run would fail as well.
    ItemFault {
        /// Reason given by the backend server.
        reason: String,
    },
    /// The server or the connection to it failed; the item can be retried.
    ServerFault {
        /// Description of the failure.
        reason: String,
        /// Whether the server crashed or dropped the connection while it ran the item.
        was_server_lost: bool,
    },
    /// The retry limit is reached; the item is not run again.
    AttemptsExhausted {
        /// The last failure.
        reason: String,
    },
}

impl ItemRunResult {
    /// Whether this result is final, so that the item is not run again.
    ///
    /// ```
    /// let result = bamboo_log::ItemRunResult::ItemFault { reason: "empty prompt".into() };
    /// assert!(result.is_final());
    /// ```
    pub fn is_final(&self) -> bool {
        !matches!(self, ItemRunResult::ServerFault { .. })
    }
}

/// Outcome of one run of an item, reported by the owner of the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// Job of the item.
    pub job: JobId,
    /// Item within the job.
    pub item: ItemIndex,
    /// Identifier chosen by the caller.
    pub custom_id: String,
    /// Server that ran it.
    pub server: BackendServerId,
    /// How the run ended.
    pub run_result: ItemRunResult,
}

/// Claim of an idempotency key for a non-idempotent call.
///
/// It is appended before the first byte of the call is sent, so that no other host runs a call with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCall {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: String,
    /// Digest of method, path and body; tells a retry from a different call under the same key.
    pub digest: u128,
    /// Time of the claim, milliseconds since the Unix epoch.
    pub claimed_ms: u64,
}

/// End of a call with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCallEnd {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: String,
    /// The claim that the call ran under; the record is ignored if the key has another claim.
    pub claim: RecordId,
    /// HTTP status of the complete response, or `None` if the call did not run and its key may be claimed again.
    pub status: Option<u16>,
    /// Body of the complete response, replayed to retries with the same key.
    pub body: Vec<u8>,
}

/// A change to one configuration resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Kind of the resource.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Revision that the change is based on; 0 if the resource did not exist. Used for optimistic concurrency control.
    pub based_on: u64,
    /// The new resource as JSON text, or `None` to delete it.
    pub resource_json: Option<String>,
}

/// One part of a snapshot of the state derived from a stream.
///
/// The state is a deterministic function of the stream up to `last_offset`, so any host may write the snapshot and
/// readers need not check that its writer owned the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Last offset that the snapshot covers.
    pub last_offset: Offset,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub part_count: u32,
    /// This part of the encoded state.
    pub bytes: Vec<u8>,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// Claims ownership of the stream; the offset of the entry becomes the writer's epoch.
    Claim,
    /// Releases ownership of the stream.
    Release {
        /// Epoch of the ownership that ends.
        epoch: Offset,
    },
    /// Has no content; appended to learn which earlier appends were stored.
    Probe,
    /// A chunk of the items of an upload.
    Chunk {
        /// Upload that the items belong to.
        upload: UploadId,
        /// Index of the first item.
        first_item: ItemIndex,
        /// The items.
        items: Vec<ItemBody>,
    },
    /// Submits a job; only the first record with the job's identifier takes effect.
    Submit(JobSpec),
    /// Item outcomes that the shard owner commits together.
    Outcomes {
        /// The owner's epoch.
        epoch: Offset,
        /// Time of the commit, milliseconds since the Unix epoch.
        at_ms: u64,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// Cancels a job; later outcomes of its items are ignored.
    Cancel {
        /// The job.
        job: JobId,
        /// Time of the request, milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Deletes an ended job whose result lifetime is over.
    Expire {
        /// The owner's epoch.
        epoch: Offset,
        /// The job.
        job: JobId,
    },
    /// Outcomes that the owner copied to the end of the stream before retention trims the original record.
    CarriedOutcomes {
        /// The owner's epoch.
        epoch: Offset,
        /// Job of the outcomes.
        job: JobId,
        /// Position of the original record.
        from: Position,
        /// The final outcomes of the job in the original record.
        outcomes: Vec<ItemOutcome>,
    },
    /// Items that the owner copied to the end of the stream before retention trims the original chunk.
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
    /// Claims an idempotency key.
    KeyedCall(KeyedCall),
    /// Ends a call with an idempotency key.
    KeyedCallEnd(KeyedCallEnd),
    /// Changes a configuration resource.
    Config(ConfigChange),
    /// Claims the right to send orders to a backend server; the offset of the entry becomes the fencing token.
    ServerClaim {
        /// The backend server.
        server: BackendServerId,
    },
    /// One part of a snapshot.
    Snapshot(SnapshotPart),
}
