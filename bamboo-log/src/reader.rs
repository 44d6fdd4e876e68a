//! Reads one stream in order, one read at a time.

use std::time::Duration;

use bamboo_types::Now;
use bamboo_types::Offset;

use crate::Entry;
use crate::StreamId;

/// First wait after a failed read.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Longest wait after failed reads.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The log service's answer to one read.
#[derive(Debug, Clone)]
pub struct ReadAnswer {
    /// The offset that was asked for.
    pub from: Offset,
    /// Entries from the asked offset on, in order; entries that do not decode are `None`.
    pub entries: Vec<(Offset, Option<Entry>)>,
    /// Oldest offset that is still kept.
    pub oldest: Offset,
    /// Offset that the next append will get.
    pub tail: Offset,
}

/// What to do next for reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Read from this offset; the service may hold the answer until there is something.
    Read {
        /// The stream.
        stream: StreamId,
        /// First offset wanted.
        from: Offset,
    },
    /// Nothing until then.
    WaitUntil(Now),
    /// A read is in flight.
    Idle,
}

/// What a read brought.
#[derive(Debug)]
pub enum ReadOutcome {
    /// Entries that follow on what was read before.
    Entries(Vec<(Offset, Option<Entry>)>),
    /// Entries between the expected offset and these were trimmed before they were read.
    Gap(Vec<(Offset, Option<Entry>)>),
    /// Nothing new.
    Nothing,
}

/// Position and state of one stream's reading.
#[derive(Debug)]
pub struct Reader {
    stream: StreamId,
    next_offset: Offset,
    tail: Option<Offset>,
    is_reading: bool,
    consecutive_failures: u32,
    retry_at: Now,
}

impl Reader {
    /// A reader that starts at an offset.
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

    /// Chooses the next read.
    pub fn next(&mut self, now: Now) -> NextRead {
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

    /// Takes the answer to the read in flight.
    ///
    /// An answer to an earlier reader's read, which would leave a gap, changes nothing.
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

    /// Notes that the read in flight failed.
    pub fn handle_failure(&mut self, now: Now, random: u64) {
        self.is_reading = false;
        let max_wait = BACKOFF_FIRST
            .saturating_mul(1 << self.consecutive_failures.min(6))
            .min(BACKOFF_MAX);
        self.consecutive_failures += 1;
        self.retry_at = now + max_wait / 2 + max_wait / 2 * (random % 1000) as u32 / 1000;
    }

    /// Whether everything that was in the stream at the last answer has been read.
    pub fn is_at_tail(&self) -> bool {
        self.tail.is_some_and(|tail| self.next_offset >= tail)
    }

    /// The next offset that will be read.
    pub fn position(&self) -> Offset {
        self.next_offset
    }

    /// Whether reads fail at present.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= 2
    }
}
