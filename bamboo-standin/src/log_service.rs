//! In-memory model of the append-only log service, with limited retention and a rate limit.
//!
//! The model does no I/O and reads no clock: the current time is an argument of its methods.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::Now;
use bamboo_types::TokenBucket;
use serde::Deserialize;
use serde::Serialize;

/// Limits of the log service.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Maximum rate of appends over all streams, per second.
    pub appends_per_s: f64,
    /// Time after which an entry is deleted.
    pub retention: Duration,
    /// Maximum size of an entry, in bytes.
    pub entry_max_bytes: usize,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions {
            appends_per_s: 400.0,
            retention: Duration::from_secs(24 * 3600),
            entry_max_bytes: 1 << 20,
        }
    }
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Offset of the oldest retained entry.
    pub oldest: u64,
    /// Offset of the next append.
    pub tail: u64,
    /// Entries with their offsets, from the requested offset on.
    pub entries: Vec<(u64, Vec<u8>)>,
}

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    entries: VecDeque<(Now, Vec<u8>)>,
}

/// The log service with all its streams.
#[derive(Debug)]
pub struct LogService {
    options: LogOptions,
    rate_limit: TokenBucket,
    streams: BTreeMap<String, Stream>,
    append_count: u64,
    append_bytes: u64,
}

impl LogService {
    /// Creates a log service without entries.
    ///
    /// ```
    /// use bamboo_standin::{LogOptions, LogService};
    /// use std::time::Duration;
    /// let mut log = LogService::new(LogOptions::default());
    /// assert_eq!(log.append(Duration::ZERO, "config", vec![1]), Ok(0));
    /// assert_eq!(log.read(Duration::ZERO, "config", 0, 1000).entries.len(), 1);
    /// ```
    pub fn new(options: LogOptions) -> Self {
        let rate_limit = TokenBucket::new(options.appends_per_s, options.appends_per_s);
        LogService {
            options,
            rate_limit,
            streams: BTreeMap::new(),
            append_count: 0,
            append_bytes: 0,
        }
    }

    /// Appends an entry and returns its offset.
    ///
    /// # Errors
    /// Returns the time to wait before a retry if the rate limit is exceeded.
    pub fn append(&mut self, now: Now, stream: &str, bytes: Vec<u8>) -> Result<u64, Duration> {
        if !self.rate_limit.try_take(now, 1.0) {
            return Err(self.rate_limit.time_until_available(now, 1.0));
        }
        self.append_count += 1;
        self.append_bytes += bytes.len() as u64;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.oldest + stream.entries.len() as u64;
        stream.entries.push_back((now, bytes));
        Ok(offset)
    }

    /// Returns whether an entry of this size is accepted.
    pub fn is_size_allowed(&self, size_bytes: usize) -> bool {
        size_bytes <= self.options.entry_max_bytes
    }

    /// Reads entries from an offset on, up to `max_bytes` but at least one entry if there is any.
    pub fn read(&mut self, now: Now, stream: &str, from: u64, max_bytes: usize) -> ReadPage {
        self.trim(now, stream);
        let Some(stream) = self.streams.get(stream) else {
            return ReadPage {
                oldest: 0,
                tail: 0,
                entries: Vec::new(),
            };
        };
        let tail = stream.oldest + stream.entries.len() as u64;
        let first = from.max(stream.oldest);
        let mut size = 0;
        let mut entries = Vec::new();
        for offset in first..tail {
            let bytes = &stream.entries[(offset - stream.oldest) as usize].1;
            size += bytes.len();
            if size > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push((offset, bytes.clone()));
        }
        ReadPage {
            oldest: stream.oldest,
            tail,
            entries,
        }
    }

    /// Returns the number of appends and of appended bytes since the start.
    pub fn totals(&self) -> (u64, u64) {
        (self.append_count, self.append_bytes)
    }

    fn trim(&mut self, now: Now, stream: &str) {
        let Some(stream) = self.streams.get_mut(stream) else {
            return;
        };
        while stream
            .entries
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > self.options.retention)
        {
            stream.entries.pop_front();
            stream.oldest += 1;
        }
    }
}
