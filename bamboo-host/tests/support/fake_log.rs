//! An in-memory log that is trimmed explicitly.

use std::collections::BTreeMap;

use bamboo_log::Entry;
use bamboo_log::ReadAnswer;
use bamboo_log::StreamId;
use bamboo_types::Now;

/// Maximum number of entries returned by one read.
const READ_ENTRIES_MAX: usize = 64;

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    entries: Vec<Vec<u8>>,
    stored_at: Vec<Now>,
}

/// All streams. Trimmed entries are hidden from reads but kept for the checks.
#[derive(Debug, Default)]
pub struct FakeLog {
    streams: BTreeMap<StreamId, Stream>,
    pub append_count: u64,
    pub append_bytes: u64,
}

impl FakeLog {
    pub fn append(&mut self, now: Now, stream: StreamId, bytes: Vec<u8>) -> u64 {
        self.append_count += 1;
        self.append_bytes += bytes.len() as u64;
        let stream = self.streams.entry(stream).or_default();
        stream.entries.push(bytes);
        stream.stored_at.push(now);
        stream.entries.len() as u64 - 1
    }

    pub fn read(&self, stream: StreamId, from: u64) -> ReadAnswer {
        let Some(stream) = self.streams.get(&stream) else {
            return ReadAnswer {
                from,
                entries: Vec::new(),
                oldest: 0,
                tail: 0,
            };
        };
        let tail = stream.entries.len() as u64;
        let first = from.max(stream.oldest);
        let offsets = first..tail.min(first + READ_ENTRIES_MAX as u64);
        let entries = offsets.map(|offset| (offset, decode(&stream.entries[offset as usize])));
        ReadAnswer {
            from,
            entries: entries.collect(),
            oldest: stream.oldest,
            tail,
        }
    }

    pub fn entry(&self, stream: StreamId, offset: u64) -> Option<Entry> {
        let stream = self
            .streams
            .get(&stream)
            .filter(|stream| offset >= stream.oldest)?;
        decode(stream.entries.get(offset as usize)?)
    }

    pub fn has_entries_from(&self, stream: StreamId, from: u64) -> bool {
        self.streams
            .get(&stream)
            .is_some_and(|stream| stream.entries.len() as u64 > from)
    }

    /// Every entry ever stored, including trimmed ones.
    pub fn all(&self, stream: StreamId) -> Vec<(u64, Entry)> {
        let entries = self
            .streams
            .get(&stream)
            .map(|stream| stream.entries.as_slice())
            .unwrap_or_default();
        let decoded = entries.iter().enumerate();
        decoded
            .filter_map(|(offset, bytes)| Some((offset as u64, decode(bytes)?)))
            .collect()
    }

    /// Trims entries that were stored before a time.
    pub fn trim_before(&mut self, time: Now) {
        for stream in self.streams.values_mut() {
            let oldest = stream.stored_at.partition_point(|at| *at < time) as u64;
            stream.oldest = stream.oldest.max(oldest);
        }
    }

    pub fn streams(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }
}

fn decode(bytes: &[u8]) -> Option<Entry> {
    Entry::try_from(bytes).ok()
}
