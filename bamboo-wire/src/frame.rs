//! Frames: versioned batches of messages that one host sends to another in a request body.

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::decode_bincode;
use serde::Deserialize;
use serde::Serialize;

use crate::PeerMessage;

/// Version of the frame encoding that this build reads and writes.
const WIRE_VERSION: u8 = 1;

/// A batch of messages from one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Host that sent the frame.
    pub from: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<PeerMessage>,
}

/// A frame in its encoded form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedFrame {
    /// One byte of version, followed by the frame in the bincode encoding.
    pub bytes: Vec<u8>,
}

/// Error of decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is empty or has another version.
    #[error("frame has wire version {found:?}, expected {WIRE_VERSION}")]
    Version {
        /// Version of the frame, or `None` if the frame is empty.
        found: Option<u8>,
    },
    /// The bytes after the version are not an encoded frame.
    #[error("cannot decode frame: {0}")]
    Codec(#[from] bincode::error::DecodeError),
}

impl From<&Frame> for EncodedFrame {
    fn from(frame: &Frame) -> Self {
        let mut bytes = vec![WIRE_VERSION];
        // Encoding plain data into a growable vector cannot fail.
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
            Some((&WIRE_VERSION, rest)) => Ok(decode_bincode(rest)?),
            other => Err(FrameError::Version {
                found: other.map(|(version, _)| *version),
            }),
        }
    }
}
