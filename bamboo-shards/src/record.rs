//! Records of a job shard.

use std::rc::Rc;

use bamboo_types::ItemIndex;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Layout of encoded records.
const FORMAT_VERSION: u8 = 1;

/// One item of a job: a request that runs later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Identifier, unique within the job.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request.
    pub body: Vec<u8>,
    /// Tokens of the prompt and the longest answer together.
    pub tokens: u64,
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Identifier.
    pub id: String,
    /// `Host` header of its requests.
    pub host: String,
    /// Route, by which waiting tokens are counted.
    pub route: String,
    /// Time of acceptance in milliseconds since 1970.
    pub submitted_at_ms: u64,
    /// Time from acceptance until its results are due, milliseconds.
    pub completion_target_ms: u64,
    /// Time from acceptance until items may be given up, milliseconds.
    pub retention_ms: u64,
    /// Failed attempts after which an item is given up.
    pub attempts_max: u32,
    /// Items in order.
    pub items: Vec<ItemRecord>,
}

/// State of a listed item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultState {
    /// Its whole output is there.
    Done,
    /// It was given up.
    DeadLetter,
}

/// What an item gained since its progress was recorded last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// Job.
    pub job: String,
    /// Position of the item in its job.
    pub item: ItemIndex,
    /// Bytes of the text before `text`; what stood after them is replaced.
    pub text_offset: u64,
    /// Text that was added.
    pub text: Vec<u8>,
    /// Identifier of the last event.
    pub last_event_id: Option<u64>,
    /// Events so far.
    pub event_count: u32,
    /// Attempts on which servers failed.
    pub failed_attempts: u32,
}

/// Final result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Position of the item in its job.
    pub item: ItemIndex,
    /// State.
    pub state: ResultState,
    /// Data of all events, joined by line feeds.
    pub text: String,
}

/// One record of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted. The first record of an identifier counts.
    Accepted(Rc<JobRecord>),
    /// Items of a job are final. The first result of an item counts.
    Results {
        /// Job.
        job: String,
        /// Results in the order in which they are listed.
        results: Vec<ItemResult>,
    },
    /// A job was ended by its caller.
    Cancelled {
        /// Job.
        job: String,
    },
    /// How far items are that still run, so that another owner goes on from there.
    Progress(Vec<ItemProgress>),
}

/// Why bytes are no record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The layout is not known to this version.
    #[error("record layout {0} is unknown")]
    UnsupportedVersion(u8),
    /// There are no bytes.
    #[error("record is empty")]
    Empty,
    /// The bytes do not decode.
    #[error("record does not decode: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The record cannot be encoded.
    #[error("record does not encode: {0}")]
    Encode(#[from] bincode::error::EncodeError),
}

impl Record {
    /// Encodes the record.
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
        let mut bytes = vec![FORMAT_VERSION];
        bincode::serde::encode_into_std_write(self, &mut bytes, bincode::config::standard())?;
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Record {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let (version, rest) = bytes.split_first().ok_or(RecordError::Empty)?;
        if *version != FORMAT_VERSION {
            return Err(RecordError::UnsupportedVersion(*version));
        }
        let (record, _) = bincode::serde::decode_from_slice(rest, bincode::config::standard())?;
        Ok(record)
    }
}
