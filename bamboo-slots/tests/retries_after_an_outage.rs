//! Load pattern: all hosts return after an outage of a second. The callers that were waiting retry at once, together with
//! new ones. Retried requests are late already; served in the order of their arrival they would make the new ones late,
//! too.

use std::collections::VecDeque;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::DeadlineHistory;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const SERVERS: usize = 12;
const SLOTS: usize = 8;
/// Time that a request occupies a slot.
const RUN_MS: std::ops::Range<u64> = 450..1_050;
/// Target for the first event, counted from the first attempt of the caller.
const TARGET_MS: u64 = 300;
/// Deadline of callers.
const DEADLINE_MS: u64 = 5_000;
/// Interval after the return in which the callers of the outage retry.
const RETRY_SPREAD_MS: u64 = 800;
/// Duration of the outage.
const OUTAGE_MS: u64 = 1_000;
const ONLINE_PER_S: u64 = 120;
/// Requests of new callers after the return.
const NEW_REQUESTS: u64 = 480;

struct Request {
    first_attempt_ms: i64,
    start_by_ms: u64,
}

/// Share of the requests first made after the return that start on time.
fn share_on_time(estimates_waiting: bool, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut broker = Broker::default();
    for index in 0..SERVERS {
        let engine = Engine {
            server: format!("s{index}"),
            service: "llm".to_owned(),
            data_centre: "a".to_owned(),
            slots: SLOTS,
            is_ready: true,
            version: "v1".to_owned(),
        };
        broker.put_engine(engine, false, Duration::ZERO);
    }
    // Arrival and time of the first attempt, relative to the return.
    let mut arrivals: Vec<(u64, i64)> = (0..OUTAGE_MS * ONLINE_PER_S / 1_000)
        .map(|index| {
            let first_attempt_ms = -((index * 1_000 / ONLINE_PER_S) as i64);
            (random.random_range(0..RETRY_SPREAD_MS), first_attempt_ms)
        })
        .collect();
    arrivals.extend((0..NEW_REQUESTS).map(|index| {
        let ms = index * 1_000 / ONLINE_PER_S;
        (ms, ms as i64)
    }));
    arrivals.sort();
    let mut arrivals: VecDeque<(u64, i64)> = arrivals.into();
    let mut history = DeadlineHistory::default();
    let mut requests = Vec::new();
    let mut runs: Vec<(u64, u64, String)> = Vec::new();
    let (mut new_count, mut on_time) = (0, 0);
    for ms in 0..6_000 {
        let now = Duration::from_millis(ms);
        for (_, id, server) in runs.extract_if(.., |(until_ms, _, _)| *until_ms == ms) {
            broker.release("h", id, Some(&server), RunOutcome::Done, now);
        }
        while let Some((_, first_attempt_ms)) = arrivals.pop_front_if(|(at_ms, _)| *at_ms <= ms) {
            let waited_ms = ms as i64 - first_attempt_ms;
            let remaining = Duration::from_millis(DEADLINE_MS - waited_ms as u64);
            let estimate = history.record(remaining, now).as_millis() as u64;
            let estimate = if estimates_waiting { estimate } else { 0 };
            requests.push(Request {
                first_attempt_ms,
                start_by_ms: (ms + TARGET_MS).saturating_sub(estimate),
            });
            new_count += usize::from(first_attempt_ms > 0);
            let request = SlotRequest {
                host: "h".to_owned(),
                id: requests.len() as u64 - 1,
                service: "llm".to_owned(),
                data_centre: "a".to_owned(),
                work: Work::Online {
                    start_by: Duration::from_millis(requests[requests.len() - 1].start_by_ms),
                    expires_at: now + remaining,
                },
                excluded: Vec::new(),
                version: None,
                terms: RequestTerms::default(),
            };
            broker.request_slot(request, now);
        }
        if ms % 250 == 0 {
            broker.tick(now);
        }
        for action in broker.take_actions() {
            if let Action::Grant {
                request, server, ..
            } = action
            {
                let first_attempt_ms = requests[request as usize].first_attempt_ms;
                let is_new = first_attempt_ms > 0;
                on_time += usize::from(is_new && ms as i64 - first_attempt_ms <= TARGET_MS as i64);
                let run_ms = random.random_range(RUN_MS);
                runs.push((ms + run_ms, request, server));
            }
        }
    }
    on_time as f64 / new_count as f64
}

/// The bound is that of the other loads with as many slots as the requests need.
#[test_case(1)]
#[test_case(2)]
fn new_requests_are_on_time_beside_retried_ones(seed: u64) {
    let share = share_on_time(true, seed);
    assert!(share >= 0.98, "{share}");
    let share_in_order_of_arrival = share_on_time(false, seed);
    assert!(
        share_in_order_of_arrival < 0.98,
        "{share_in_order_of_arrival}"
    );
}

/// A caller that always sends a short deadline is not put behind the others once the host has been up for a while.
#[test]
fn callers_with_short_deadlines_are_not_taken_for_retries() {
    let second = Duration::from_secs(1);
    let mut history = DeadlineHistory::default();
    for _ in 0..3 {
        history.record(second * 5, second);
        history.record(second * 2, second);
    }
    assert_eq!(history.record(second * 2, second * 4), second * 3);
    assert!(history.record(second * 2, second * 6).is_zero());
}

#[test]
fn nothing_is_assumed_while_no_deadline_recurs() {
    let mut history = DeadlineHistory::default();
    for ms in 0..200 {
        let remaining = Duration::from_millis(5_000 - 7 * ms);
        assert!(history.record(remaining, Duration::from_secs(1)).is_zero());
    }
}
