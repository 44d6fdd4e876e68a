//! Records of a job shard and their encoding: a byte for the format version, then bincode.
//!
//! Format 1 had no origin in the progress of items. Such progress is read without its output, so that the item starts
//! anew: which servers can go on with it is not known.
//!
//! Format 3 is that of an accepted job of a workspace: the workspace, then the record as in format 2. All other records are
//! written in format 2, which hosts of the former release can read.

use std::rc::Rc;

use bamboo_types::ItemIndex;
use bamboo_types::QueueKey;
use bamboo_types::StreamOrigin;
use bamboo_types::WorkspaceId;
use bamboo_types::decode_bincode;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::FragmentAssembler;
use crate::FragmentError;
use crate::ITEM_TEXT_MAX_BYTES;

/// Version of the format of a job that belongs to a workspace, written as the first byte.
const FORMAT_VERSION_3: u8 = 3;
/// Version of the format of all other records.
const FORMAT_VERSION_2: u8 = 2;
/// Oldest format version that can be read.
const FORMAT_VERSION_1: u8 = 1;

/// One item of a job: a request that is sent later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Identifier, unique within the job.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub tokens: u64,
}

/// A job as it was submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Identifier of the job.
    pub id: String,
    /// `Host` header of its requests.
    pub host: String,
    /// Name of the route. Waiting tokens are counted per route and workspace.
    pub route: String,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// Time from acceptance until its results are due, milliseconds.
    pub completion_target_ms: u64,
    /// Time from acceptance after which an item without a result becomes a dead letter, milliseconds.
    pub retention_ms: u64,
    /// Number of failed attempts after which an item becomes a dead letter.
    pub attempts_max: u32,
    /// Items in the order in which they were submitted.
    pub items: Vec<ItemRecord>,
    /// Workspace that the job belongs to; `None` if its caller had none. Format 3 of a record holds it outside of the job.
    #[serde(skip)]
    pub workspace: Option<WorkspaceId>,
}

/// Final state of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultState {
    /// The output is complete.
    Done,
    /// The item was given up.
    DeadLetter,
}

/// Incremental progress of an item since its previous progress record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// Identifier of the job.
    pub job: String,
    /// Index of the item within its job.
    pub item: ItemIndex,
    /// Byte offset of `text` in the output so far; any earlier output from there on is replaced.
    pub text_offset: u64,
    /// Output from that offset on.
    pub text: Vec<u8>,
    /// Identifier of the last event that had one.
    pub last_event_id: Option<u64>,
    /// Number of events with data so far.
    pub event_count: u32,
    /// Number of attempts that failed at a server.
    pub failed_attempts: u32,
    /// Service and software version of the servers that sent the output; `None` without output.
    pub origin: Option<StreamOrigin>,
}

/// Final result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item within its job.
    pub item: ItemIndex,
    /// Whether the item is done or was given up.
    pub state: ResultState,
    /// Data of all events, joined by line feeds.
    pub text: String,
}

/// One record of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted. Repeats with the same job identifier are ignored.
    Accepted(Rc<JobRecord>),
    /// Items of a job have their final results. The first result of an item wins; later ones are ignored.
    Results {
        /// Identifier of the job.
        job: String,
        /// Results, in the order in which callers read them.
        results: Vec<ItemResult>,
    },
    /// A job was cancelled by its caller.
    Cancelled {
        /// Identifier of the job.
        job: String,
    },
    /// Progress of items that are still running, from which a new owner of the shard resumes them.
    Progress(Vec<ItemProgress>),
}

/// Why a record cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The format version is not supported by this release.
    #[error("unsupported record format version {0}")]
    UnsupportedVersion(u8),
    /// The format version is missing.
    #[error("record is empty: the format version is missing")]
    Empty,
    /// A fragment of the record is invalid.
    #[error("invalid fragment: {0}")]
    Fragment(#[from] FragmentError),
    /// Decoding failed.
    #[error("cannot decode record: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// Encoding failed.
    #[error("cannot encode record: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

/// Size of the fields of a result, or of an entry of progress, besides its text, job and origin: an upper bound.
const ITEM_FIELDS_BYTES: usize = 64;

/// Maximum size of the output of an item, in bytes, so that its result and its progress each fit into a record of
/// `record_max_bytes`.
///
/// ```
/// use bamboo_shards::ITEM_TEXT_MAX_BYTES;
/// use bamboo_shards::item_text_max_bytes;
/// let origin = bamboo_types::StreamOrigin { service: "llm".into(), version: "v1".into() };
/// assert!(item_text_max_bytes(1_000, "job", &origin) < 1_000);
/// assert_eq!(item_text_max_bytes(usize::MAX, "job", &origin), ITEM_TEXT_MAX_BYTES);
/// ```
pub fn item_text_max_bytes(record_max_bytes: usize, job: &str, origin: &StreamOrigin) -> usize {
    ITEM_TEXT_MAX_BYTES.min(record_max_bytes.saturating_sub(item_bytes(job, Some(origin))))
}

/// Upper bound of the encoded size of a result, or of an entry of progress, without its text.
fn item_bytes(job: &str, origin: Option<&StreamOrigin>) -> usize {
    let origin_bytes = origin.map_or(0, |origin| origin.service.len() + origin.version.len());
    ITEM_FIELDS_BYTES + job.len() + origin_bytes
}

impl JobRecord {
    /// Queue in which the tokens of the job wait.
    ///
    /// ```
    /// use bamboo_shards::JobRecord;
    /// let job = JobRecord { route: "r".into(), workspace: Some("a".into()), ..JobRecord::default() };
    /// assert_eq!(job.queue().workspace.as_deref(), Some("a"));
    /// ```
    pub fn queue(&self) -> QueueKey {
        QueueKey {
            route: self.route.clone(),
            workspace: self.workspace.clone(),
        }
    }
}

impl ItemProgress {
    /// Upper bound of the encoded size.
    fn encoded_max_bytes(&self) -> usize {
        item_bytes(&self.job, self.origin.as_ref()) + self.text.len()
    }
}

impl Record {
    /// Groups the progress of items into records of at most `max_bytes`. An entry that is larger gets a record of its
    /// own.
    ///
    /// ```
    /// use bamboo_shards::Record;
    /// assert_eq!(Record::progress(Vec::new(), 1_000), []);
    /// ```
    pub fn progress(entries: Vec<ItemProgress>, max_bytes: usize) -> Vec<Record> {
        let mut groups: Vec<Vec<ItemProgress>> = Vec::new();
        let mut group_bytes = 0;
        for entry in entries {
            let entry_bytes = entry.encoded_max_bytes();
            match groups.last_mut() {
                Some(group) if group_bytes + entry_bytes <= max_bytes => group.push(entry),
                _ => {
                    groups.push(vec![entry]);
                    group_bytes = 0;
                }
            }
            group_bytes += entry_bytes;
        }
        groups.into_iter().map(Record::Progress).collect()
    }

    /// Encodes the record, with the format version in front.
    ///
    /// # Errors
    /// Fails if the encoder does.
    ///
    /// ```
    /// let record = bamboo_shards::Record::Cancelled { job: "j".into() };
    /// let bytes = record.to_bytes().unwrap();
    /// assert_eq!(bamboo_shards::Record::try_from(bytes.as_slice()).unwrap(), record);
    /// ```
    pub fn to_bytes(&self) -> Result<Vec<u8>, RecordError> {
        let config = bincode::config::standard();
        let mut bytes = Vec::new();
        match self.workspace() {
            Some(workspace) => {
                bytes.push(FORMAT_VERSION_3);
                bincode::serde::encode_into_std_write((workspace, self), &mut bytes, config)?;
            }
            None => {
                bytes.push(FORMAT_VERSION_2);
                bincode::serde::encode_into_std_write(self, &mut bytes, config)?;
            }
        }
        Ok(bytes)
    }

    /// Workspace of the job that the record accepts.
    fn workspace(&self) -> Option<&WorkspaceId> {
        match self {
            Record::Accepted(job) => job.workspace.as_ref(),
            _ => None,
        }
    }

    /// Decodes the record that the next fragment completes; `None` if it has further fragments. After an error the
    /// record is to be skipped: the assembler continues with the next one.
    ///
    /// # Errors
    /// Fails if the fragment is invalid or the record cannot be decoded.
    ///
    /// ```
    /// use bamboo_shards::{FragmentAssembler, Record, split_record};
    /// let record = Record::Cancelled { job: "j".into() };
    /// let fragments = split_record(&record.to_bytes().unwrap(), 100);
    /// let mut assembler = FragmentAssembler::default();
    /// assert!(Record::from_fragment(&mut assembler, &[]).is_err());
    /// assert_eq!(Record::from_fragment(&mut assembler, &fragments[0]).unwrap(), Some(record));
    /// ```
    pub fn from_fragment(
        assembler: &mut FragmentAssembler,
        fragment: &[u8],
    ) -> Result<Option<Record>, RecordError> {
        match assembler.push(fragment)? {
            Some(bytes) => Record::try_from(bytes.as_slice()).map(Some),
            None => Ok(None),
        }
    }
}

impl TryFrom<&[u8]> for Record {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let (version, rest) = bytes.split_first().ok_or(RecordError::Empty)?;
        match *version {
            FORMAT_VERSION_3 => Ok(decode_bincode::<RecordOfWorkspace>(rest)?.into()),
            FORMAT_VERSION_2 => Ok(decode_bincode(rest)?),
            FORMAT_VERSION_1 => Ok(Record::from(decode_bincode::<RecordV1>(rest)?)),
            other => Err(RecordError::UnsupportedVersion(other)),
        }
    }
}

/// A record in format 3.
#[derive(Deserialize)]
struct RecordOfWorkspace(WorkspaceId, Record);

impl From<RecordOfWorkspace> for Record {
    fn from(RecordOfWorkspace(workspace, mut record): RecordOfWorkspace) -> Self {
        if let Record::Accepted(job) = &mut record {
            Rc::make_mut(job).workspace = Some(workspace);
        }
        record
    }
}

/// A record in format 1.
#[derive(Deserialize)]
enum RecordV1 {
    Accepted(Rc<JobRecord>),
    Results {
        job: String,
        results: Vec<ItemResult>,
    },
    Cancelled {
        job: String,
    },
    Progress(Vec<ItemProgressV1>),
}

/// Progress of an item in format 1.
#[derive(Deserialize)]
struct ItemProgressV1 {
    job: String,
    item: ItemIndex,
    _text_offset: u64,
    _text: Vec<u8>,
    _last_event_id: Option<u64>,
    _event_count: u32,
    failed_attempts: u32,
}

impl From<RecordV1> for Record {
    fn from(record: RecordV1) -> Self {
        match record {
            RecordV1::Accepted(job) => Record::Accepted(job),
            RecordV1::Results { job, results } => Record::Results { job, results },
            RecordV1::Cancelled { job } => Record::Cancelled { job },
            RecordV1::Progress(entries) => {
                Record::Progress(entries.into_iter().map(ItemProgress::from).collect())
            }
        }
    }
}

impl From<ItemProgressV1> for ItemProgress {
    fn from(progress: ItemProgressV1) -> Self {
        ItemProgress {
            job: progress.job,
            item: progress.item,
            text_offset: 0,
            text: Vec::new(),
            last_event_id: None,
            event_count: 0,
            failed_attempts: progress.failed_attempts,
            origin: None,
        }
    }
}
