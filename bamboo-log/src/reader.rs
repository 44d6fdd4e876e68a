//! Reads one stream sequentially, with one read in flight.

use std::time::Duration;

use bamboo_types::Offset;
use bamboo_types::Timestamp;

use crate::Entry;
use crate::StreamId;

/// Upper bound of the delay after the first failed read; it doubles with every further failure.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Largest delay between retries of a failed read.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Response of the log service to one read.
#[derive(Debug, Clone)]
pub struct ReadAnswer {
    /// The requested offset.
    pub from: Offset,
    /// Entries from the requested offset on, in order; `None` stands for an entry that cannot be decoded.
    pub entries: Vec<(Offset, Option<Entry>)>,
    /// Oldest offset that retention has not trimmed.
    pub oldest: Offset,
    /// Offset of the next append.
    pub tail: Offset,
}

/// Next action that the reader asks of its driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Send a read request; the service may delay the response until there are entries (long polling).
    Read {
        /// The stream.
        stream: StreamId,
        /// First offset to read.
        from: Offset,
    },
    /// Call [`Reader::next`] again at this time.
    WaitUntil(Timestamp),
    /// A read is in flight.
    Idle,
}

/// Result of a read response.
#[derive(Debug)]
pub enum ReadOutcome {
    /// Entries that follow directly on those read before.
    Entries(Vec<(Offset, Option<Entry>)>),
    /// Entries after a gap: retention trimmed the ones between before they were read.
    Gap(Vec<(Offset, Option<Entry>)>),
    /// No new entries, or a response that does not belong to the read in flight.
    Nothing,
}

/// Sans-I/O state machine that reads one stream.
#[derive(Debug)]
pub struct Reader {
    stream: StreamId,
    next_offset: Offset,
    tail: Option<Offset>,
    is_reading: bool,
    consecutive_failures: u32,
    retry_at: Timestamp,
}

impl Reader {
    /// Creates a reader that starts at an offset.
    ///
    /// ```
    /// use bamboo_log::{NextRead, Reader, StreamId};
    /// let mut reader = Reader::new(StreamId::Config, 0);
    /// let read = NextRead::Read { stream: StreamId::Config, from: 0 };
    /// assert_eq!(reader.next(std::time::Duration::ZERO), read);
    /// ```
    pub fn new(stream: StreamId, from: Offset) -> Self {
        Reader {
            stream,
            next_offset: from,
            tail: None,
            is_reading: false,
            consecutive_failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Returns the next action.
    pub fn next(&mut self, now: Timestamp) -> NextRead {
        if self.is_reading {
            return NextRead::Idle;
        }
        if now < self.retry_at {
            return NextRead::WaitUntil(self.retry_at);
        }
        self.is_reading = true;
        NextRead::Read {
            stream: self.stream,
            from: self.next_offset,
        }
    }

    /// Handles the response to the read in flight.
    ///
    /// A response to a read of an earlier reader of the stream is ignored, as applying it would leave a gap.
    pub fn handle_answer(&mut self, answer: ReadAnswer) -> ReadOutcome {
        if !self.is_reading || answer.from != self.next_offset {
            return ReadOutcome::Nothing;
        }
        self.is_reading = false;
        self.consecutive_failures = 0;
        let was_trimmed = answer.oldest > self.next_offset;
        self.next_offset = self.next_offset.max(answer.oldest);
        let first_offset = self.next_offset;
        let entries: Vec<_> = answer
            .entries
            .into_iter()
            .filter(|(offset, _)| *offset >= first_offset)
            .collect();
        if let Some((offset, _)) = entries.last() {
            self.next_offset = offset + 1;
        }
        self.tail = Some(answer.tail);
        match (was_trimmed, entries.is_empty()) {
            (true, _) => ReadOutcome::Gap(entries),
            (false, true) => ReadOutcome::Nothing,
            (false, false) => ReadOutcome::Entries(entries),
        }
    }

    /// Schedules a retry of the read in flight after it failed. `random` adds jitter to the backoff.
    pub fn handle_failure(&mut self, now: Timestamp, random: u64) {
        self.is_reading = false;
        let max_wait = BACKOFF_INITIAL
            .saturating_mul(1 << self.consecutive_failures.min(6))
            .min(BACKOFF_MAX);
        self.consecutive_failures += 1;
        self.retry_at = now + max_wait / 2 + max_wait / 2 * (random % 1000) as u32 / 1000;
    }

    /// Whether everything that was in the stream at the last response has been read.
    pub fn is_at_tail(&self) -> bool {
        self.tail.is_some_and(|tail| self.next_offset >= tail)
    }

    /// The next offset to read.
    pub fn position(&self) -> Offset {
        self.next_offset
    }

    /// Whether the last two or more reads failed.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= 2
    }
}
