//! Group commit for log appends: at most one append in flight per stream, rate limited by token buckets.
//!
//! An append whose outcome is unknown is retried with the same bytes and sequence numbers, so that readers can
//! deduplicate its records.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Offset;
use bamboo_types::Timestamp;
use bamboo_types::TokenBucket;
use bamboo_types::millis;

use crate::EncodedEntry;
use crate::Entry;
use crate::Position;
use crate::RecordBody;
use crate::StreamId;

/// Share of the token bucket's capacity below which a group is delayed, so that more records share one append.
const LOW_BUDGET_SHARE: f64 = 0.25;
/// Upper bound of the delay after the first failed append; it doubles with every further failure.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Largest delay between retries of a failed append.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Rate, batching and queue limits of an [`Appender`].
#[derive(Debug, Clone)]
pub struct AppenderOptions {
    /// Appends per second for all streams of this host that have no budget of their own.
    pub appends_per_s: f64,
    /// Capacity of the token bucket: appends that may be sent back to back after an idle period.
    pub burst: f64,
    /// Largest size of a group of records, in bytes as estimated before encoding.
    pub group_max_bytes: usize,
    /// How long the oldest record waits for others to join its group while the budget is low.
    pub group_delay: Duration,
    /// Most records queued per stream; further ones are rejected.
    pub queue_max: usize,
}

impl Default for AppenderOptions {
    fn default() -> Self {
        AppenderOptions {
            appends_per_s: 30.0,
            burst: 30.0,
            group_max_bytes: 256 * 1024,
            group_delay: Duration::from_millis(100),
            queue_max: 20_000,
        }
    }
}

/// Identifies an enqueued record until it is confirmed or withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordHandle {
    /// Stream of the record.
    pub stream: StreamId,
    /// Sequence number of the record, unique for this writer and stream.
    pub sequence: u64,
}

/// Result of one append request to the log service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendAnswer {
    /// The entry is stored at this offset.
    Stored(Offset),
    /// Rejected without effect; retry after this delay at the earliest.
    Refused(Duration),
    /// The response was lost or timed out; the entry may or may not be stored.
    Unknown,
}

/// A record that the log service has confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedRecord {
    /// Identifies the record.
    pub handle: RecordHandle,
    /// Position of the record in the stream.
    pub position: Position,
}

/// Next action that the appender asks of its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextAppend {
    /// Send an append request with these bytes.
    Send {
        /// The stream.
        stream: StreamId,
        /// The encoded entry.
        bytes: Vec<u8>,
    },
    /// Call [`Appender::next`] again at this time.
    WaitUntil(Timestamp),
    /// Nothing to send until a record is enqueued or a response arrives.
    Idle,
}

/// State of a record at the time it was withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It was not sent, or every attempt was rejected; it will not be stored.
    NeverSent,
    /// It was sent at least once, and may be stored now or by a later retry.
    MaybeStored,
    /// It was already confirmed, or the appender does not know it.
    Stored,
}

#[derive(Debug)]
struct QueuedRecord {
    sequence: u64,
    body: RecordBody,
    enqueued_at: Timestamp,
}

#[derive(Debug)]
struct InFlightGroup {
    bytes: Vec<u8>,
    first_sequence: u64,
    count: u64,
    is_sent: bool,
    had_unknown_answer: bool,
}

#[derive(Debug, Default)]
struct StreamQueue {
    waiting: VecDeque<QueuedRecord>,
    in_flight: Option<InFlightGroup>,
    next_sequence: u64,
    consecutive_failures: u32,
    retry_at: Timestamp,
}

impl StreamQueue {
    fn unconfirmed(&self) -> usize {
        self.waiting.len()
            + self
                .in_flight
                .as_ref()
                .map_or(0, |group| group.count as usize)
    }
}

/// Sans-I/O state machine for the appends of one host to all streams.
///
/// The driver sends what [`Appender::next`] returns and reports each response to [`Appender::handle_answer`].
#[derive(Debug)]
pub struct Appender {
    host: HostId,
    incarnation: Incarnation,
    options: AppenderOptions,
    host_budget: TokenBucket,
    stream_budgets: BTreeMap<StreamId, TokenBucket>,
    queues: BTreeMap<StreamId, StreamQueue>,
}

impl Appender {
    /// Creates an appender with empty queues.
    ///
    /// ```
    /// use bamboo_log::{Appender, AppenderOptions, NextAppend};
    /// let mut appender = Appender::new("h1".into(), 1, AppenderOptions::default());
    /// assert_eq!(appender.next(std::time::Duration::ZERO), NextAppend::Idle);
    /// ```
    pub fn new(host: HostId, incarnation: Incarnation, options: AppenderOptions) -> Self {
        let host_budget = TokenBucket::new(options.appends_per_s, options.burst);
        Appender {
            host,
            incarnation,
            options,
            host_budget,
            stream_budgets: BTreeMap::new(),
            queues: BTreeMap::new(),
        }
    }

    /// Sets a separate append budget for a stream that this host owns, or removes it with `None`.
    ///
    /// The rate of a budget that is already set is not changed.
    pub fn set_stream_budget(&mut self, stream: StreamId, appends_per_s: Option<f64>) {
        match appends_per_s {
            None => {
                self.stream_budgets.remove(&stream);
            }
            Some(rate) => {
                self.stream_budgets
                    .entry(stream)
                    .or_insert_with(|| TokenBucket::new(rate, rate.max(1.0)));
            }
        }
    }

    /// Number of records of one stream that are queued or in flight.
    pub fn unconfirmed_of(&self, stream: StreamId) -> usize {
        self.queues.get(&stream).map_or(0, StreamQueue::unconfirmed)
    }

    /// Queues a record for a stream. Returns `None` if the stream's queue is full.
    ///
    /// ```
    /// use bamboo_log::{Appender, AppenderOptions, RecordBody, StreamId};
    /// let mut appender = Appender::new("h1".into(), 1, AppenderOptions::default());
    /// let handle = appender.enqueue(std::time::Duration::ZERO, StreamId::Config, RecordBody::Probe);
    /// assert_eq!(handle.unwrap().sequence, 1);
    /// ```
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        body: RecordBody,
    ) -> Option<RecordHandle> {
        let queue = self.queues.entry(stream).or_default();
        if queue.waiting.len() >= self.options.queue_max {
            return None;
        }
        queue.next_sequence += 1;
        let sequence = queue.next_sequence;
        queue.waiting.push_back(QueuedRecord {
            sequence,
            body,
            enqueued_at: now,
        });
        Some(RecordHandle { stream, sequence })
    }

    /// Returns the next action. Call again after each `Send`, until it returns `WaitUntil` or `Idle`.
    pub fn next(&mut self, now: Timestamp) -> NextAppend {
        let mut earliest_wake: Option<Timestamp> = None;
        let streams: Vec<StreamId> = self.queues.keys().copied().collect();
        for stream in streams {
            match self.next_for_stream(now, stream) {
                NextAppend::Idle => {}
                NextAppend::WaitUntil(at) => {
                    earliest_wake = Some(earliest_wake.map_or(at, |earlier| earlier.min(at)))
                }
                send @ NextAppend::Send { .. } => return send,
            }
        }
        earliest_wake.map_or(NextAppend::Idle, NextAppend::WaitUntil)
    }

    fn next_for_stream(&mut self, now: Timestamp, stream: StreamId) -> NextAppend {
        let budget = self
            .stream_budgets
            .get_mut(&stream)
            .unwrap_or(&mut self.host_budget);
        let is_budget_low = budget.fill_ratio(now) < LOW_BUDGET_SHARE;
        let Some(queue) = self.queues.get_mut(&stream) else {
            return NextAppend::Idle;
        };
        if queue
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.is_sent)
        {
            return NextAppend::Idle;
        }
        if queue.in_flight.is_none() && queue.waiting.is_empty() {
            return NextAppend::Idle;
        }
        if now < queue.retry_at {
            return NextAppend::WaitUntil(queue.retry_at);
        }
        if is_budget_low && queue.in_flight.is_none() {
            let due = queue
                .waiting
                .front()
                .map_or(now, |first| first.enqueued_at + self.options.group_delay);
            let size: usize = queue
                .waiting
                .iter()
                .map(|record| estimated_bytes(&record.body))
                .sum();
            if now < due && size < self.options.group_max_bytes {
                return NextAppend::WaitUntil(due);
            }
        }
        if !budget.try_take(now, 1.0) {
            return NextAppend::WaitUntil(
                now + budget
                    .time_until_available(now, 1.0)
                    .max(Duration::from_millis(1)),
            );
        }
        if queue.in_flight.is_none() {
            queue.in_flight = Some(form_group(
                now,
                &self.host,
                self.incarnation,
                queue,
                self.options.group_max_bytes,
            ));
        }
        match queue.in_flight.as_mut() {
            Some(in_flight) => {
                in_flight.is_sent = true;
                NextAppend::Send {
                    stream,
                    bytes: in_flight.bytes.clone(),
                }
            }
            None => NextAppend::Idle,
        }
    }

    /// Handles the response to the append in flight on a stream. Returns the records that are now confirmed.
    ///
    /// `random` adds jitter to the backoff, so that many hosts do not retry at the same time.
    pub fn handle_answer(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        answer: AppendAnswer,
        random: u64,
    ) -> Vec<ConfirmedRecord> {
        let Some(queue) = self.queues.get_mut(&stream) else {
            return Vec::new();
        };
        let Some(mut in_flight) = queue.in_flight.take() else {
            return Vec::new();
        };
        match answer {
            AppendAnswer::Stored(offset) => {
                queue.consecutive_failures = 0;
                queue.retry_at = Duration::ZERO;
                confirmed_records(stream, offset, &in_flight)
            }
            AppendAnswer::Refused(retry_after) => {
                in_flight.is_sent = false;
                queue.in_flight = Some(in_flight);
                let wait = retry_after.max(backoff(queue.consecutive_failures, random));
                queue.retry_at = now + wait;
                queue.consecutive_failures += 1;
                Vec::new()
            }
            AppendAnswer::Unknown => {
                in_flight.is_sent = false;
                in_flight.had_unknown_answer = true;
                queue.in_flight = Some(in_flight);
                queue.retry_at = now + backoff(queue.consecutive_failures, random);
                queue.consecutive_failures += 1;
                Vec::new()
            }
        }
    }

    /// Withdraws a record if it can still be kept from the log, and returns whether it may be stored.
    pub fn withdraw(&mut self, handle: RecordHandle) -> Withdrawal {
        let Some(queue) = self.queues.get_mut(&handle.stream) else {
            return Withdrawal::Stored;
        };
        if let Some(index) = queue
            .waiting
            .iter()
            .position(|record| record.sequence == handle.sequence)
        {
            queue.waiting.remove(index);
            return Withdrawal::NeverSent;
        }
        let Some(in_flight) = queue.in_flight.as_ref() else {
            return Withdrawal::Stored;
        };
        let range = in_flight.first_sequence..in_flight.first_sequence + in_flight.count;
        if !range.contains(&handle.sequence) {
            return Withdrawal::Stored;
        }
        // Every attempt to send this group was rejected without effect, so it can be dropped if it holds only this
        // record.
        if !in_flight.is_sent && !in_flight.had_unknown_answer && in_flight.count == 1 {
            queue.in_flight = None;
            return Withdrawal::NeverSent;
        }
        Withdrawal::MaybeStored
    }

    /// Whether the last two or more appends to the stream failed and a retry is pending.
    ///
    /// Returns `false` once the backoff is over and no record is left to retry, so that a new record is accepted
    /// and probes the stream.
    ///
    /// ```
    /// use bamboo_log::{Appender, AppenderOptions, StreamId};
    /// let appender = Appender::new("h1".into(), 1, AppenderOptions::default());
    /// assert!(!appender.is_failing(std::time::Duration::ZERO, StreamId::Config));
    /// ```
    pub fn is_failing(&self, now: Timestamp, stream: StreamId) -> bool {
        self.queues.get(&stream).is_some_and(|queue| {
            queue.consecutive_failures >= 2 && (now < queue.retry_at || queue.unconfirmed() > 0)
        })
    }

    /// Time until the next attempt on a failing stream, at least one second.
    pub fn retry_after(&self, now: Timestamp, stream: StreamId) -> Duration {
        let retry_at = self
            .queues
            .get(&stream)
            .map_or(Duration::ZERO, |queue| queue.retry_at);
        retry_at.saturating_sub(now).max(Duration::from_secs(1))
    }

    /// Number of records that are queued or in flight, over all streams.
    pub fn unconfirmed(&self) -> usize {
        self.queues.values().map(StreamQueue::unconfirmed).sum()
    }
}

fn form_group(
    now: Timestamp,
    host: &HostId,
    incarnation: Incarnation,
    queue: &mut StreamQueue,
    max_bytes: usize,
) -> InFlightGroup {
    let mut bodies = Vec::new();
    let mut size = 0;
    let mut first_sequence = 0;
    while let Some(record) = queue.waiting.front() {
        let bytes = estimated_bytes(&record.body);
        // The records of one entry have consecutive sequence numbers, so a withdrawn record ends the group.
        let is_consecutive =
            bodies.is_empty() || record.sequence == first_sequence + bodies.len() as u64;
        if !bodies.is_empty() && (size + bytes > max_bytes || !is_consecutive) {
            break;
        }
        if let Some(record) = queue.waiting.pop_front() {
            if bodies.is_empty() {
                first_sequence = record.sequence;
            }
            size += bytes;
            bodies.push(record.body);
        }
    }
    let count = bodies.len() as u64;
    let entry = Entry {
        host: host.clone(),
        incarnation,
        at_ms: millis(now),
        first_sequence,
        bodies,
    };
    let bytes = EncodedEntry::from(&entry).bytes;
    InFlightGroup {
        bytes,
        first_sequence,
        count,
        is_sent: false,
        had_unknown_answer: false,
    }
}

fn confirmed_records(
    stream: StreamId,
    offset: Offset,
    in_flight: &InFlightGroup,
) -> Vec<ConfirmedRecord> {
    (0..in_flight.count)
        .map(|index| ConfirmedRecord {
            handle: RecordHandle {
                stream,
                sequence: in_flight.first_sequence + index,
            },
            position: Position {
                offset,
                index: index as u32,
            },
        })
        .collect()
}

fn backoff(consecutive_failures: u32, random: u64) -> Duration {
    let max_wait = BACKOFF_INITIAL
        .saturating_mul(1 << consecutive_failures.min(7))
        .min(BACKOFF_MAX);
    let jitter_per_mille = (random % 1000) as u32;
    max_wait / 2 + max_wait / 2 * jitter_per_mille / 1000
}

fn estimated_bytes(body: &RecordBody) -> usize {
    const OVERHEAD_BYTES: usize = 64;
    OVERHEAD_BYTES
        + match body {
            RecordBody::Chunk { items, .. } | RecordBody::CarriedChunk { items, .. } => items
                .iter()
                .map(|item| item.custom_id.len() + item.body_json.len() + 8)
                .sum(),
            RecordBody::Outcomes { outcomes, .. }
            | RecordBody::CarriedOutcomes { outcomes, .. } => {
                outcomes.iter().map(outcome_bytes).sum()
            }
            RecordBody::KeyedCallEnd(end) => end.body.len(),
            RecordBody::Config(change) => change.resource_json.as_ref().map_or(0, String::len),
            RecordBody::Snapshot(part) => part.bytes.len(),
            _ => 0,
        }
}

fn outcome_bytes(outcome: &crate::ItemOutcome) -> usize {
    let result_bytes = match &outcome.run_result {
        crate::ItemRunResult::Done { answer_json } => answer_json.len(),
        crate::ItemRunResult::ItemFault { reason }
        | crate::ItemRunResult::ServerFault { reason, .. }
        | crate::ItemRunResult::AttemptsExhausted { reason } => reason.len(),
    };
    outcome.custom_id.len() + outcome.server.len() + result_bytes + 32
}
