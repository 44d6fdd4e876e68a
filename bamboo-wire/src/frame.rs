//! One request body between two daemons: messages of one host.

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::PeerMessage;

/// Version of the wire form that this build speaks.
const WIRE_VERSION: u8 = 1;

/// Messages that a host sends together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: HostId,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// The bytes of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedFrame {
    /// Version and encoded frame.
    pub bytes: Vec<u8>,
}

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The sender speaks another version.
    #[error("frame has wire version {found:?}, this build speaks {WIRE_VERSION}")]
    Version {
        /// The version found, if any.
        found: Option<u8>,
    },
    /// The codec refuses the bytes.
    #[error("frame does not decode: {0}")]
    Codec(#[from] bincode::error::DecodeError),
}

impl From<&Frame> for EncodedFrame {
    fn from(frame: &Frame) -> Self {
        let mut bytes = vec![WIRE_VERSION];
        // Encoding plain data into a growing vector has no way to fail.
        if let Ok(encoded) = bincode::serde::encode_to_vec(frame, bincode::config::standard()) {
            bytes.extend_from_slice(&encoded);
        }
        EncodedFrame { bytes }
    }
}

impl TryFrom<&[u8]> for Frame {
    type Error = FrameError;

    fn try_from(bytes: &[u8]) -> Result<Self, FrameError> {
        match bytes.split_first() {
            Some((&WIRE_VERSION, rest)) => {
                let (frame, _) =
                    bincode::serde::decode_from_slice(rest, bincode::config::standard())?;
                Ok(frame)
            }
            other => Err(FrameError::Version {
                found: other.map(|(version, _)| *version),
            }),
        }
    }
}
