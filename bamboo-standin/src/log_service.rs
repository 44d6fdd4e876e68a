//! The append-only log service: a pure core with limited retention and a rate limit.

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
    /// Appends a second over all streams.
    pub appends_per_s: f64,
    /// How long an entry is kept.
    pub retention: Duration,
    /// Largest entry, bytes.
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

/// One read's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Oldest offset kept.
    pub oldest: u64,
    /// Offset of the next append.
    pub tail: u64,
    /// Entries from the asked offset on.
    pub entries: Vec<(u64, Vec<u8>)>,
}

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    entries: VecDeque<(Now, Vec<u8>)>,
}

/// All streams.
#[derive(Debug)]
pub struct LogService {
    options: LogOptions,
    rate_limit: TokenBucket,
    streams: BTreeMap<String, Stream>,
    append_count: u64,
    append_bytes: u64,
}

impl LogService {
    /// An empty service.
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
    /// Refuses with the time to come back when the rate limit is reached.
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

    /// Whether an entry of this size is taken.
    pub fn is_size_allowed(&self, size_bytes: usize) -> bool {
        size_bytes <= self.options.entry_max_bytes
    }

    /// Reads entries from an offset on, up to about `max_bytes`.
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

    /// Appends and bytes so far.
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
