//! Splits encoded records into fragments that fit the store, and joins them again.

use thiserror::Error;

/// First byte of a fragment that others follow.
const MORE_FRAGMENTS: u8 = 1;
/// First byte of the last fragment of a record.
const LAST_FRAGMENT: u8 = 0;

/// Why fragments do not form a record.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FragmentError {
    /// A fragment without its first byte.
    #[error("fragment is empty")]
    Empty,
    /// A first byte of another layout.
    #[error("fragment has the unknown flag {0}")]
    UnknownFlag(u8),
}

/// Splits a record into fragments of at most `fragment_max_bytes`.
///
/// ```
/// let fragments = bamboo_shards::split_record(b"abcdef", 4);
/// assert_eq!(fragments.len(), 2);
/// let mut assembler = bamboo_shards::FragmentAssembler::default();
/// assert_eq!(assembler.push(&fragments[0]).unwrap(), None);
/// assert_eq!(assembler.push(&fragments[1]).unwrap().unwrap(), b"abcdef");
/// ```
pub fn split_record(record: &[u8], fragment_max_bytes: usize) -> Vec<Vec<u8>> {
    let chunk_size = fragment_max_bytes.saturating_sub(1).max(1);
    let chunk_count = record.len().div_ceil(chunk_size).max(1);
    (0..chunk_count)
        .map(|index| {
            let chunk = &record[index * chunk_size..((index + 1) * chunk_size).min(record.len())];
            let flag = if index + 1 == chunk_count {
                LAST_FRAGMENT
            } else {
                MORE_FRAGMENTS
            };
            let mut fragment = Vec::with_capacity(chunk.len() + 1);
            fragment.push(flag);
            fragment.extend_from_slice(chunk);
            fragment
        })
        .collect()
}

/// Joins fragments in the order of the store.
#[derive(Debug, Default)]
pub struct FragmentAssembler {
    buffer: Vec<u8>,
}

impl FragmentAssembler {
    /// Takes the next fragment; returns the record that it completes.
    ///
    /// # Errors
    /// Fails on bytes that are no fragment.
    pub fn push(&mut self, fragment: &[u8]) -> Result<Option<Vec<u8>>, FragmentError> {
        let (flag, chunk) = fragment.split_first().ok_or(FragmentError::Empty)?;
        self.buffer.extend_from_slice(chunk);
        match *flag {
            MORE_FRAGMENTS => Ok(None),
            LAST_FRAGMENT => Ok(Some(std::mem::take(&mut self.buffer))),
            other => Err(FragmentError::UnknownFlag(other)),
        }
    }
}
