//! One appended entry: a group of records of one writer, and its wire form.

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::RecordBody;

/// Version of the wire form that this build writes.
const FORMAT_VERSION: u8 = 1;

/// Records of one writer with consecutive sequence numbers, stored in one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Host that wrote the entry.
    pub host: HostId,
    /// The host's run.
    pub incarnation: Incarnation,
    /// The writer's time when it formed the entry, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Sequence number of the first record; the others follow.
    pub first_sequence: u64,
    /// The records' contents.
    pub bodies: Vec<RecordBody>,
}

/// The stored form of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedEntry {
    /// The bytes as the log service keeps them.
    pub bytes: Vec<u8>,
}

/// Why stored bytes are not an entry.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The first byte names a version that this build does not read.
    #[error("entry has wire version {found}, this build reads {FORMAT_VERSION}")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The bytes end early.
    #[error("entry is empty")]
    Empty,
    /// The codec refuses the bytes.
    #[error("entry does not decode: {0}")]
    Codec(#[from] bincode::error::DecodeError),
}

impl From<&Entry> for EncodedEntry {
    fn from(entry: &Entry) -> Self {
        let mut bytes = vec![FORMAT_VERSION];
        // Encoding plain data into a growing vector has no way to fail.
        if let Ok(encoded) = bincode::serde::encode_to_vec(entry, bincode::config::standard()) {
            bytes.extend_from_slice(&encoded);
        }
        EncodedEntry { bytes }
    }
}

impl TryFrom<&[u8]> for Entry {
    type Error = DecodeError;

    fn try_from(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
        if *version != FORMAT_VERSION {
            return Err(DecodeError::Version { found: *version });
        }
        let (entry, _) = bincode::serde::decode_from_slice(rest, bincode::config::standard())?;
        Ok(entry)
    }
}
