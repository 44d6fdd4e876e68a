//! Log entries: groups of records of one writer, and their encoding.

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::decode_bincode;
use serde::Deserialize;
use serde::Serialize;

use crate::RecordBody;

/// Version byte in front of every encoded entry; entries with another version are not read.
const FORMAT_VERSION: u8 = 1;

/// Records of one writer with consecutive sequence numbers, stored by one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Host that wrote the entry.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Creation time by the writer's clock, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Sequence number of the first record; those of the others are consecutive.
    pub first_sequence: u64,
    /// Contents of the records, in sequence order.
    pub bodies: Vec<RecordBody>,
}

/// An entry as the log service stores it: a version byte, then the bincode encoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedEntry {
    /// The encoded bytes.
    pub bytes: Vec<u8>,
}

/// Error when decoding an entry.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The format version is not supported by this build.
    #[error("entry has format version {found}; this build reads version {FORMAT_VERSION}")]
    Version {
        /// The version byte of the entry.
        found: u8,
    },
    /// There are no bytes at all.
    #[error("entry is empty")]
    Empty,
    /// The bytes after the version are not a valid bincode encoding.
    #[error("cannot decode entry: {0}")]
    Codec(#[from] bincode::error::DecodeError),
}

impl From<&Entry> for EncodedEntry {
    fn from(entry: &Entry) -> Self {
        let mut bytes = vec![FORMAT_VERSION];
        // Encoding plain data into a `Vec` cannot fail.
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
        Ok(decode_bincode(rest)?)
    }
}
