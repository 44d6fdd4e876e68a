//! Splits encoded records into fragments below the store's record size limit, and reassembles them.
//!
//! A fragment is a flag byte followed by a part of the record.

use thiserror::Error;

/// Flag of a fragment that is followed by another one of the same record.
const MORE_FRAGMENTS: u8 = 1;
/// Flag of the last fragment of a record.
const LAST_FRAGMENT: u8 = 0;

/// Why a fragment cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FragmentError {
    /// The fragment has no flag byte.
    #[error("fragment is empty: the flag byte is missing")]
    Empty,
    /// The flag byte has an undefined value.
    #[error("fragment has unknown flag {0}")]
    UnknownFlag(u8),
}

/// Splits a record into fragments of at most `fragment_max_bytes`, the flag byte included. A limit below 2 counts as 2.
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

/// Size of the largest record whose fragments fit into `append_max_bytes`, if each of them has at most
/// `fragment_max_bytes` and takes `overhead_bytes` besides.
///
/// ```
/// use bamboo_shards::record_max_bytes;
/// use bamboo_shards::split_record;
/// let largest = record_max_bytes(100, 40, 8);
/// let bytes: usize = split_record(&vec![0; largest], 40).iter().map(|fragment| fragment.len() + 8).sum();
/// assert!(bytes <= 100);
/// ```
pub fn record_max_bytes(
    append_max_bytes: usize,
    fragment_max_bytes: usize,
    overhead_bytes: usize,
) -> usize {
    let fragment_bytes = fragment_max_bytes.max(2);
    let needed_bytes = fragment_bytes + overhead_bytes;
    let rest = append_max_bytes % needed_bytes;
    append_max_bytes / needed_bytes * (fragment_bytes - 1) + rest.saturating_sub(overhead_bytes + 1)
}

/// Reassembles records from fragments that are pushed in the order of the store.
#[derive(Debug, Default)]
pub struct FragmentAssembler {
    buffer: Vec<u8>,
}

impl FragmentAssembler {
    /// Adds the next fragment. Returns the encoded record once its last fragment has been added.
    ///
    /// # Errors
    /// Fails if the flag byte is missing or unknown. The fragments of that record so far are discarded.
    pub fn push(&mut self, fragment: &[u8]) -> Result<Option<Vec<u8>>, FragmentError> {
        let mut record = std::mem::take(&mut self.buffer);
        let (flag, chunk) = fragment.split_first().ok_or(FragmentError::Empty)?;
        record.extend_from_slice(chunk);
        match *flag {
            MORE_FRAGMENTS => {
                self.buffer = record;
                Ok(None)
            }
            LAST_FRAGMENT => Ok(Some(record)),
            other => Err(FragmentError::UnknownFlag(other)),
        }
    }
}
