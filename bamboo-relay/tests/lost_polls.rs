//! Pattern: the store accepts calls and does not respond, for milliseconds or for many seconds. Calls that it got meanwhile,
//! and polls that it held open before, are lost without a sign. Records are appended right after its return.

use std::ops::RangeInclusive;
use std::time::Duration;

use bamboo_relay::DirectTimeout;
use bamboo_relay::LONG_POLL_MAX;
use bamboo_relay::PROBE_TIMEOUT;
use bamboo_relay::PollStep;
use bamboo_relay::PollWatch;
use bamboo_relay::StorePath;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const TICK: Duration = Duration::from_millis(4);
/// Time after which a read without a response fails.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a read has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval of calls that are not reads, such as the renewal of a membership.
const CALL_INTERVAL: Duration = Duration::from_millis(300);
/// Timeouts of the attempts of a call.
const SHORT_TIMEOUTS_MS: [u64; 1] = [120];
const FULL_TIMEOUTS_MS: [u64; 4] = [120, 240, 480, 660];
/// Silence after which every host has noticed that the store does not respond.
const NOTICED_AFTER_MS: u64 = 500;
/// Time after the return of the store within which hosts that noticed its silence know all records.
const RETURN_TARGET: Duration = Duration::from_millis(500);
/// Time after its acknowledgement within which a record must be known, while the store responds.
const APPLY_TARGET: Duration = Duration::from_millis(2000);
/// Time after its return from which the store counts as stable.
const STABLE_TIME: Duration = Duration::from_millis(3000);

/// A store that is silent from time to time.
struct Store {
    /// Begin and end of each silence, in order.
    silences: Vec<(Duration, Duration)>,
    /// When each record was appended, in order.
    records: Vec<Duration>,
}

impl Store {
    fn is_silent(&self, at: Duration) -> bool {
        let silences = &self.silences;
        silences
            .iter()
            .any(|(begin, end)| (*begin..*end).contains(&at))
    }

    /// Whether a read is lost that was sent and is answered at these times.
    fn is_lost(&self, sent_at: Duration, answered_at: Duration) -> bool {
        let silences = &self.silences;
        silences
            .iter()
            .any(|(begin, end)| sent_at < *end && *begin <= answered_at)
    }

    /// Number of records at a time.
    fn end(&self, at: Duration) -> usize {
        self.records
            .partition_point(|appended_at| *appended_at <= at)
    }
}

/// A call that is not a read, with the times at which its attempts begin and the last of them fails.
struct Call {
    attempts: Vec<Duration>,
    fails_at: Duration,
}

impl Call {
    fn begin(timeout: DirectTimeout, now: Duration) -> Self {
        let timeouts_ms: &[u64] = match timeout {
            DirectTimeout::Short => &SHORT_TIMEOUTS_MS,
            DirectTimeout::Full => &FULL_TIMEOUTS_MS,
        };
        let mut fails_at = now;
        let attempts = timeouts_ms.iter().map(|timeout_ms| {
            let begun_at = fails_at;
            fails_at += Duration::from_millis(*timeout_ms);
            begun_at
        });
        Call {
            attempts: attempts.collect(),
            fails_at,
        }
    }

    /// Whether the call has a response now, if it has ended.
    fn result(&self, store: &Store, now: Duration) -> Option<bool> {
        let mut attempts = self.attempts.iter();
        let is_answered =
            attempts.any(|attempt| *attempt < now && !store.is_lost(*attempt, *attempt + TICK));
        match is_answered {
            true => Some(true),
            false => (now >= self.fails_at).then_some(false),
        }
    }
}

/// A host that follows the records of the store, without other hosts that could tell it of them.
struct Host {
    path: StorePath,
    watch: PollWatch,
    /// When the reads in progress were sent.
    reads: Vec<Duration>,
    read_at: Duration,
    /// Number of records that it knows.
    known: usize,
    call: Option<Call>,
    call_at: Duration,
    probe: Option<Call>,
}

impl Host {
    fn start() -> Self {
        Host {
            path: StorePath::default(),
            watch: PollWatch::default(),
            reads: Vec::new(),
            read_at: Duration::ZERO,
            known: 0,
            call: None,
            call_at: Duration::ZERO,
            probe: None,
        }
    }

    fn step(&mut self, store: &Store, now: Duration) {
        self.step_call(store, now);
        self.step_probe(store, now);
        self.step_reads(store, now);
    }

    fn record_direct(&mut self, is_ok: bool, now: Duration) {
        if !is_ok {
            self.watch.record_timeout(now);
        }
        if self.path.record_direct(is_ok, now) && is_ok {
            self.watch.record_return(now);
        }
    }

    fn step_call(&mut self, store: &Store, now: Duration) {
        if let Some(is_ok) = self.call.as_ref().and_then(|call| call.result(store, now)) {
            self.call = None;
            self.call_at = now + CALL_INTERVAL;
            self.record_direct(is_ok, now);
        }
        // While the direct way is down, another host relays the calls, which do not show that it is up again.
        if self.call.is_none() && self.path.is_direct_up() && now >= self.call_at {
            self.call = Some(Call::begin(DirectTimeout::Short, now));
        }
    }

    fn step_probe(&mut self, store: &Store, now: Duration) {
        if let Some(is_ok) = self
            .probe
            .as_ref()
            .and_then(|probe| probe.result(store, now))
        {
            self.probe = None;
            self.record_direct(is_ok, now);
        }
        if self.probe.is_none() && self.path.is_probe_due(now) {
            self.probe = Some(Call::begin(PROBE_TIMEOUT, now));
        }
    }

    fn step_reads(&mut self, store: &Store, now: Duration) {
        let end = store.end(now);
        let known = self.known;
        let is_answered = |sent_at: &Duration| {
            let is_due = end > known || now >= *sent_at + LONG_POLL_MAX;
            is_due && now > *sent_at && !store.is_lost(*sent_at, now)
        };
        if self.reads.iter().any(is_answered) {
            self.known = end;
            self.reads.clear();
            self.read_at = now;
        }
        let in_progress = self.reads.len();
        self.reads.retain(|sent_at| now < *sent_at + READ_TIMEOUT);
        if in_progress > 0 && self.reads.is_empty() {
            self.read_at = now + RETRY_PAUSE;
        }
        let is_due = match self.reads.is_empty() {
            true => now >= self.read_at,
            false => self.watch.step(now) == PollStep::SendAgain,
        };
        if is_due {
            if self.reads.len() > 1 {
                self.reads.clear();
            }
            self.reads.push(now);
            self.watch.record_sent(LONG_POLL_MAX, now);
        }
    }
}

/// Draws silences, and records that are appended while the store responds.
fn draw_store(seed: u64, silence_ms: RangeInclusive<u64>) -> Store {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut silences = Vec::new();
    let mut begin_ms = 5000;
    for _ in 0..3 {
        begin_ms += random.random_range(0..5000);
        let end_ms = begin_ms + random.random_range(silence_ms.clone());
        silences.push((
            Duration::from_millis(begin_ms),
            Duration::from_millis(end_ms),
        ));
        begin_ms = end_ms + 8000;
    }
    let mut store = Store {
        silences,
        records: Vec::new(),
    };
    let end = Duration::from_millis(begin_ms);
    let mut at = Duration::from_millis(100);
    while at < end {
        if !store.is_silent(at) {
            store.records.push(at);
        }
        at += Duration::from_millis(random.random_range(200..2500));
    }
    store
}

/// Plays a host and asserts that each record is known within `target`, but not before `settling` after a silence.
fn check_records_are_known(store: &Store, target: Duration, settling: Duration) {
    let mut host = Host::start();
    let mut now = Duration::ZERO;
    let last = store.silences.last().unwrap().1 + Duration::from_secs(8);
    while now < last {
        host.step(store, now);
        if let Some(appended_at) = store.records.get(host.known) {
            let returned = store.silences.iter().rev().find(|(begin, _)| *begin <= now);
            let settled_at = returned.map_or(Duration::ZERO, |(_, end)| *end + settling);
            let due_at = (*appended_at + target).max(settled_at);
            assert!(
                now <= due_at,
                "record {} of {appended_at:?} is unknown at {now:?}; silent {:?}",
                host.known,
                store.silences
            );
        }
        now += TICK;
    }
}

/// Guards against records that stay unknown while a host waits for the response to a poll that was lost.
#[test_case(300; "connections are silent for a moment")]
#[test_case(3000; "the store is silent for up to 3 s")]
#[test_case(9000; "the store is silent for up to 9 s")]
fn records_are_known_soon_after_the_store_was_silent(longest_ms: u64) {
    for seed in 0..300 {
        let store = draw_store(seed, 50..=longest_ms);
        check_records_are_known(&store, APPLY_TARGET, STABLE_TIME);
    }
}

/// Guards against hosts that notice late that the store responds again, since an attempt from before its return has a long
/// timeout.
#[test]
fn records_are_known_within_half_a_second_after_a_silence_that_was_noticed() {
    for seed in 0..300 {
        let store = draw_store(seed, NOTICED_AFTER_MS..=9000);
        check_records_are_known(&store, RETURN_TARGET, RETURN_TARGET);
    }
}

/// Guards against a second copy of a large read that is late because the store queues it.
#[test]
fn a_read_that_is_no_long_poll_is_sent_again_only_when_the_store_returns() {
    let mut watch = PollWatch::default();
    watch.record_sent(Duration::ZERO, Duration::ZERO);
    watch.record_timeout(Duration::from_secs(1));
    assert_eq!(watch.step(Duration::from_secs(60)), PollStep::Wait(None));
    watch.record_return(Duration::from_secs(60));
    assert_eq!(watch.step(Duration::from_secs(60)), PollStep::SendAgain);
}

/// Guards against polls that load a slow store further with each call that times out.
#[test]
fn timeouts_of_other_calls_repeat_a_poll_every_two_seconds_at_most() {
    let mut watch = PollWatch::default();
    let mut sent = 0;
    for tick in 0..1000 {
        let now = TICK * tick;
        if sent == 0 || watch.step(now) == PollStep::SendAgain {
            sent += 1;
            watch.record_sent(LONG_POLL_MAX, now);
        }
        watch.record_timeout(now);
    }
    assert_eq!(sent, 3, "polls in 4 s");
}
