//! Encoding of a shard's state as a snapshot.

use bamboo_log::RecordBody;
use bamboo_log::split_snapshot;
use bamboo_types::decode_bincode;

use crate::ShardState;

/// Error when writing or reading a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state cannot be encoded.
    #[error("cannot encode snapshot: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes cannot be decoded.
    #[error("cannot decode snapshot: {0}")]
    Decode(#[from] bincode::error::DecodeError),
}

/// Encodes a shard's state and splits it into snapshot records.
///
/// # Errors
/// Returns an error if the state cannot be encoded.
///
/// ```
/// let parts = bamboo_jobs::write_snapshot(&bamboo_jobs::ShardState::default()).unwrap();
/// assert_eq!(parts.len(), 1);
/// ```
pub fn write_snapshot(state: &ShardState) -> Result<Vec<RecordBody>, SnapshotError> {
    let bytes = bincode::serde::encode_to_vec(state, bincode::config::standard())?;
    Ok(split_snapshot(
        state.next_offset().saturating_sub(1),
        &bytes,
    ))
}

/// Decodes a shard's state from a snapshot.
///
/// # Errors
/// Returns an error if the bytes are not an encoded state.
pub fn read_snapshot(bytes: &[u8]) -> Result<ShardState, SnapshotError> {
    Ok(decode_bincode(bytes)?)
}
