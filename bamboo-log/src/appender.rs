//! Group commit with one append in flight per stream, within a budget, with ambiguous answers retried
//! under the same identity.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::TokenBucket;
use bamboo_types::millis;

use crate::EncodedEntry;
use crate::Entry;
use crate::Position;
use crate::RecordBody;
use crate::StreamId;

/// Share of the budget under which groups wait to grow.
const LOW_BUDGET_SHARE: f64 = 0.25;
/// First wait after a failed append.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Longest wait after failed appends.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Limits of group commit.
#[derive(Debug, Clone)]
pub struct AppenderOptions {
    /// Appends a second that this host may make, over all streams.
    pub appends_per_s: f64,
    /// Appends that may be made at once after a quiet time.
    pub burst: f64,
    /// Largest group, bytes as estimated before encoding.
    pub group_max_bytes: usize,
    /// How long a group gathers once the budget runs low.
    pub group_delay: Duration,
    /// Largest number of records that wait per stream.
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

/// A record that was given to the appender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Stream of the record.
    pub stream: StreamId,
    /// Sequence number of the record within this writer and stream.
    pub sequence: u64,
}

/// The log service's answer to one append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendAnswer {
    /// Stored at this offset.
    Stored(Offset),
    /// Refused before any effect; come back after this time.
    Refused(Duration),
    /// The answer was lost or timed out: the entry may be stored.
    Unknown,
}

/// A record that the log service has confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stored {
    /// The record.
    pub ticket: Ticket,
    /// Where it is.
    pub position: Position,
}

/// What to do next for appends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextAppend {
    /// Append these bytes to the stream.
    Send {
        /// The stream.
        stream: StreamId,
        /// The encoded entry.
        bytes: Vec<u8>,
    },
    /// Nothing until then.
    WaitUntil(Now),
    /// Nothing to do until a record is given or an answer arrives.
    Idle,
}

/// What became of a record that its owner no longer wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It was never sent and never will be.
    NeverSent,
    /// It was sent at least once and may be stored.
    MaybeStored,
    /// It was confirmed before.
    Stored,
}

#[derive(Debug)]
struct QueuedRecord {
    sequence: u64,
    body: RecordBody,
    enqueued_at: Now,
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
    retry_at: Now,
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

/// Appends of one host to all streams.
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
    /// An appender with nothing to append.
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

    /// Gives a stream that this host owns a budget of its own, or takes it away.
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

    /// Number of records of a stream that are not confirmed yet.
    pub fn unconfirmed_of(&self, stream: StreamId) -> usize {
        self.queues.get(&stream).map_or(0, StreamQueue::unconfirmed)
    }

    /// Takes a record for a stream, or `None` if too many wait already.
    ///
    /// ```
    /// use bamboo_log::{Appender, AppenderOptions, RecordBody, StreamId};
    /// let mut appender = Appender::new("h1".into(), 1, AppenderOptions::default());
    /// let ticket = appender.enqueue(std::time::Duration::ZERO, StreamId::Config, RecordBody::Probe);
    /// assert_eq!(ticket.unwrap().sequence, 1);
    /// ```
    pub fn enqueue(&mut self, now: Now, stream: StreamId, body: RecordBody) -> Option<Ticket> {
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
        Some(Ticket { stream, sequence })
    }

    /// Chooses the next append. Call again after each `Send` until it says to wait.
    pub fn next(&mut self, now: Now) -> NextAppend {
        let mut earliest_wake: Option<Now> = None;
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

    fn next_for_stream(&mut self, now: Now, stream: StreamId) -> NextAppend {
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

    /// Takes the answer to the stream's append in flight and tells which records are stored.
    ///
    /// `random` spreads the retries of many hosts.
    pub fn handle_answer(
        &mut self,
        now: Now,
        stream: StreamId,
        answer: AppendAnswer,
        random: u64,
    ) -> Vec<Stored> {
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
                stored_records(stream, offset, &in_flight)
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

    /// Gives up a record, and tells whether it may be stored all the same.
    pub fn withdraw(&mut self, ticket: Ticket) -> Withdrawal {
        let Some(queue) = self.queues.get_mut(&ticket.stream) else {
            return Withdrawal::Stored;
        };
        if let Some(index) = queue
            .waiting
            .iter()
            .position(|record| record.sequence == ticket.sequence)
        {
            queue.waiting.remove(index);
            return Withdrawal::NeverSent;
        }
        let Some(in_flight) = queue.in_flight.as_ref() else {
            return Withdrawal::Stored;
        };
        let range = in_flight.first_sequence..in_flight.first_sequence + in_flight.count;
        if !range.contains(&ticket.sequence) {
            return Withdrawal::Stored;
        }
        // A group whose every send was refused has had no effect, so it can be dropped whole when it is alone.
        if !in_flight.is_sent && !in_flight.had_unknown_answer && in_flight.count == 1 {
            queue.in_flight = None;
            return Withdrawal::NeverSent;
        }
        Withdrawal::MaybeStored
    }

    /// Whether appends to the stream fail at present.
    ///
    /// Once the wait after a failure is over and nothing is left to try with, the next record may try.
    ///
    /// ```
    /// use bamboo_log::{Appender, AppenderOptions, StreamId};
    /// let appender = Appender::new("h1".into(), 1, AppenderOptions::default());
    /// assert!(!appender.is_failing(std::time::Duration::ZERO, StreamId::Config));
    /// ```
    pub fn is_failing(&self, now: Now, stream: StreamId) -> bool {
        self.queues.get(&stream).is_some_and(|queue| {
            queue.consecutive_failures >= 2 && (now < queue.retry_at || queue.unconfirmed() > 0)
        })
    }

    /// Time until the next try on a failing stream.
    pub fn retry_after(&self, now: Now, stream: StreamId) -> Duration {
        let retry_at = self
            .queues
            .get(&stream)
            .map_or(Duration::ZERO, |queue| queue.retry_at);
        retry_at.saturating_sub(now).max(Duration::from_secs(1))
    }

    /// Number of records that are not confirmed yet, over all streams.
    pub fn unconfirmed(&self) -> usize {
        self.queues.values().map(StreamQueue::unconfirmed).sum()
    }
}

fn form_group(
    now: Now,
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
        // A withdrawn record leaves a gap, and the records of one entry are consecutive.
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

fn stored_records(stream: StreamId, offset: Offset, in_flight: &InFlightGroup) -> Vec<Stored> {
    (0..in_flight.count)
        .map(|slot| Stored {
            ticket: Ticket {
                stream,
                sequence: in_flight.first_sequence + slot,
            },
            position: Position {
                offset,
                slot: slot as u32,
            },
        })
        .collect()
}

fn backoff(consecutive_failures: u32, random: u64) -> Duration {
    let max_wait = BACKOFF_FIRST
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
