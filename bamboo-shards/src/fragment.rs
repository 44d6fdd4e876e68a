//! Splits encoded records into fragments that fit the store, and joins them again.

use thiserror::Error;

/// First byte of a fragment that others follow.
const MORE: u8 = 1;
/// First byte of the last fragment of a record.
const LAST: u8 = 0;

/// Why fragments do not form a record.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FragmentError {
    /// A fragment without its first byte.
    #[error("fragment is empty")]
    Empty,
    /// A first byte of another layout.
    #[error("fragment has the unknown mark {0}")]
    Mark(u8),
}

/// Splits a record into fragments of at most `fragment_max_bytes`.
///
/// ```
/// let fragments = bamboo_shards::split(b"abcdef", 4);
/// assert_eq!(fragments.len(), 2);
/// let mut joiner = bamboo_shards::Joiner::default();
/// assert_eq!(joiner.push(&fragments[0]).unwrap(), None);
/// assert_eq!(joiner.push(&fragments[1]).unwrap().unwrap(), b"abcdef");
/// ```
pub fn split(record: &[u8], fragment_max_bytes: usize) -> Vec<Vec<u8>> {
    let size = fragment_max_bytes.saturating_sub(1).max(1);
    let count = record.len().div_ceil(size).max(1);
    (0..count)
        .map(|index| {
            let piece = &record[index * size..((index + 1) * size).min(record.len())];
            let mark = if index + 1 == count { LAST } else { MORE };
            let mut fragment = Vec::with_capacity(piece.len() + 1);
            fragment.push(mark);
            fragment.extend_from_slice(piece);
            fragment
        })
        .collect()
}

/// Joins fragments in the order of the store.
#[derive(Debug, Default)]
pub struct Joiner {
    bytes: Vec<u8>,
}

impl Joiner {
    /// Takes the next fragment; returns the record that it completes.
    ///
    /// # Errors
    /// Fails on bytes that are no fragment.
    pub fn push(&mut self, fragment: &[u8]) -> Result<Option<Vec<u8>>, FragmentError> {
        let (mark, piece) = fragment.split_first().ok_or(FragmentError::Empty)?;
        self.bytes.extend_from_slice(piece);
        match *mark {
            MORE => Ok(None),
            LAST => Ok(Some(std::mem::take(&mut self.bytes))),
            other => Err(FragmentError::Mark(other)),
        }
    }
}
