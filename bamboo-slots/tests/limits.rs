//! Servers that name a limit for the requests that they get from all hosts together.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RatePer1000S;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Window in which the requests to a server are counted.
const WINDOW_MS: u64 = 4_000;
/// Duration of a run.
const RUN_MS: u64 = 700;
/// Interval at which the broker grants what only time makes possible.
const GRANT_INTERVAL_MS: u64 = 40;
const SLOTS: usize = 8;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Requests that a server may get in a window: one and a half times what its limit allows, and five.
fn window_requests_max(limit: RatePer1000S) -> usize {
    (1.5 * limit as f64 / 1000.0 * WINDOW_MS as f64 / 1000.0 + 5.0) as usize
}

fn engine(server: &str) -> Engine {
    Engine {
        server: server.to_owned(),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        is_ready: true,
        version: "v1".to_owned(),
    }
}

fn slot_request(id: u64, work: Work) -> SlotRequest {
    SlotRequest {
        host: "h".to_owned(),
        id,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work,
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
    }
}

fn online(now_ms: u64) -> Work {
    Work::Online {
        start_by: at(now_ms + 300),
        expires_at: at(now_ms + 5_000),
    }
}

fn batch(now_ms: u64) -> Work {
    Work::Batch {
        due: at(now_ms + 18_000),
        remaining: at(5_000),
    }
}

/// Servers and requests of a run in virtual time.
struct Load {
    broker: Broker,
    next_id: u64,
    /// Runs with their ends.
    runs: Vec<(u64, u64, String)>,
    /// Times of grants, with the request and the server.
    granted: Vec<(u64, u64, String)>,
    /// Times of refusals, with the request.
    refused: Vec<(u64, u64)>,
}

impl Load {
    fn new(servers: &[&str]) -> Self {
        let mut broker = Broker::default();
        for server in servers {
            broker.put_engine(engine(server), false, Duration::ZERO);
        }
        Load {
            broker,
            next_id: 0,
            runs: Vec::new(),
            granted: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Sends a request and returns its identifier.
    fn send(&mut self, work: Work, now_ms: u64) -> u64 {
        self.next_id += 1;
        self.broker
            .request_slot(slot_request(self.next_id, work), at(now_ms));
        self.take_actions(now_ms);
        self.next_id
    }

    fn step(&mut self, now_ms: u64) {
        let ended: Vec<_> = self
            .runs
            .extract_if(.., |(end_ms, ..)| *end_ms <= now_ms)
            .collect();
        for (_, id, server) in ended {
            self.broker
                .release("h", id, Some(&server), RunOutcome::Done, at(now_ms));
        }
        if now_ms.is_multiple_of(GRANT_INTERVAL_MS) {
            self.broker.grant_due(at(now_ms));
        }
        if now_ms.is_multiple_of(250) {
            self.broker.tick(at(now_ms));
        }
        self.take_actions(now_ms);
    }

    fn take_actions(&mut self, now_ms: u64) {
        for action in self.broker.take_actions() {
            match action {
                Action::Grant {
                    request, server, ..
                } => {
                    self.runs.push((now_ms + RUN_MS, request, server.clone()));
                    self.granted.push((now_ms, request, server));
                }
                Action::Refuse { request, .. } => self.refused.push((now_ms, request)),
                _ => {}
            }
        }
    }

    /// Largest number of grants of a server within a window.
    fn most_in_window(&self, server: &str) -> usize {
        let times: Vec<u64> = self
            .granted
            .iter()
            .filter(|(_, _, granted)| granted == server)
            .map(|(at_ms, ..)| *at_ms)
            .collect();
        let counts = times.iter().map(|begin| {
            let in_window = |at_ms: &&u64| **at_ms >= *begin && **at_ms < begin + WINDOW_MS;
            times.iter().filter(in_window).count()
        });
        counts.max().unwrap_or(0)
    }

    fn count(&self, server: &str) -> usize {
        self.granted
            .iter()
            .filter(|(_, _, granted)| granted == server)
            .count()
    }
}

/// Guards against a server that gets more than its limit allows within some window, and against one that gets far less
/// although requests wait.
#[test_case(200; "less than one a second")]
#[test_case(2_500; "a few a second")]
#[test_case(9_000; "nearly what its slots allow")]
#[test_case(0; "none")]
fn a_limit_is_kept_and_used(limit: RatePer1000S) {
    for seed in 0..5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut load = Load::new(&["limited"]);
        let limits = load.broker.limits_mut();
        limits.observe("limited", Some(limit), Duration::ZERO, Duration::ZERO);
        for now_ms in 1..40_000 {
            if rng.random_bool(0.03) {
                load.send(online(now_ms), now_ms);
            }
            load.step(now_ms);
        }
        let most = load.most_in_window("limited");
        assert!(
            most <= window_requests_max(limit),
            "{most} requests in a window"
        );
        let allowed = limit as f64 / 1000.0 * 40.0;
        let count = load.count("limited");
        assert!(
            count as f64 >= 0.9 * allowed - 1.0,
            "{count} of {allowed} requests"
        );
    }
}

/// Guards against a burst whenever a server names another limit, which each of its responses may do.
#[test]
fn a_limit_that_changes_with_each_response_is_no_burst() {
    let mut load = Load::new(&["limited"]);
    for now_ms in 1..20_000 {
        if now_ms % 20 == 0 {
            let limit = 2_000 + now_ms % 500;
            let limits = load.broker.limits_mut();
            limits.observe("limited", Some(limit), at(now_ms), at(now_ms));
            load.send(online(now_ms), now_ms);
        }
        load.step(now_ms);
    }
    let most = load.most_in_window("limited");
    assert!(
        most <= window_requests_max(2_000),
        "{most} requests in a window"
    );
    let count = load.count("limited");
    assert!(count >= 36, "{count} requests");
}

/// Guards against a burst at each change of the coordinator, whose broker knows the limit from the hosts.
#[test]
fn a_limit_is_kept_while_coordinators_change() {
    let limit = 2_500;
    let mut load = Load::new(&["limited"]);
    let limits = load.broker.limits_mut();
    limits.observe("limited", Some(limit), Duration::ZERO, Duration::ZERO);
    for now_ms in 1..40_000 {
        if now_ms % 3_000 == 0 {
            let reports = load.broker.limits().reports(at(now_ms));
            load.broker = Broker::default();
            load.broker.put_engine(engine("limited"), false, at(now_ms));
            load.broker.limits_mut().merge(&reports, at(now_ms));
        }
        if now_ms % 20 == 0 {
            load.send(online(now_ms), now_ms);
        }
        if now_ms % 1_000 == 0 {
            let limits = load.broker.limits_mut();
            limits.observe("limited", Some(limit), at(now_ms), at(now_ms));
        }
        load.step(now_ms);
    }
    let most = load.most_in_window("limited");
    assert!(
        most <= window_requests_max(limit),
        "{most} requests in a window"
    );
}

/// Guards against limits that are spent while other servers have free slots.
#[test]
fn online_requests_go_to_servers_without_a_limit_first() {
    let mut load = Load::new(&["limited", "open"]);
    let limits = load.broker.limits_mut();
    limits.observe("limited", Some(5_000), Duration::ZERO, Duration::ZERO);
    for _ in 0..SLOTS {
        load.send(online(2_000), 2_000);
    }
    assert_eq!((load.count("open"), load.count("limited")), (SLOTS, 0));
    load.send(online(2_000), 2_000);
    assert_eq!(load.count("limited"), 1);
}

/// Guards against items that spend a limit while online requests are queued for it.
#[test]
fn items_leave_a_limit_to_online_requests_that_wait() {
    let mut load = Load::new(&["limited"]);
    let limits = load.broker.limits_mut();
    limits.observe("limited", Some(1_000), Duration::ZERO, Duration::ZERO);
    for _ in 0..4 {
        load.send(batch(10), 10);
        load.send(online(10), 10);
    }
    for now_ms in 11..4_500 {
        load.step(now_ms);
    }
    let granted = load.granted.iter().map(|(_, id, _)| *id);
    let (online, items): (Vec<u64>, Vec<u64>) = granted.partition(|id| id % 2 == 0);
    assert!(items.is_empty(), "items {items:?} run, beside {online:?}");
    for now_ms in 4_500..9_000 {
        load.step(now_ms);
    }
    assert!(
        load.count("limited") > 4,
        "no item gets what is left of the limit"
    );
}

/// Guards against requests that wait for a limit until they expire, although it cannot be that they are served.
#[test]
fn a_request_that_a_limit_cannot_serve_in_time_is_refused_at_once() {
    let mut load = Load::new(&["limited"]);
    let limits = load.broker.limits_mut();
    limits.observe("limited", Some(1_000), Duration::ZERO, Duration::ZERO);
    for _ in 0..40 {
        load.send(online(10), 10);
    }
    // In 5 s the limit allows 5 of them.
    let refused = load.refused.len();
    assert!(refused >= 30, "{refused} refused at once");
}

/// Guards against queued requests that wait until their deadlines although newer ones, which can still be on time, leave
/// nothing for them.
#[test_case(None; "more than the slots")]
#[test_case(Some(4_000); "more than the limit")]
fn a_queued_request_that_becomes_hopeless_is_refused_before_its_deadline(
    limit: Option<RatePer1000S>,
) {
    const DEADLINE_MS: u64 = 5_000;
    let mut load = Load::new(&["server"]);
    let limits = load.broker.limits_mut();
    limits.observe("server", limit, Duration::ZERO, Duration::ZERO);
    let mut sent_ms = BTreeMap::new();
    for now_ms in 1..30_000 {
        if now_ms % 50 == 0 {
            let id = load.send(online(now_ms), now_ms);
            sent_ms.insert(id, now_ms);
        }
        load.step(now_ms);
    }
    let refused = load.refused.iter();
    let refused_after_ms: Vec<u64> = refused.map(|(at_ms, id)| at_ms - sent_ms[id]).collect();
    assert!(
        refused_after_ms.len() > 50,
        "{} refused",
        refused_after_ms.len()
    );
    let latest = refused_after_ms.into_iter().max().unwrap();
    assert!(latest <= DEADLINE_MS - RUN_MS, "refused after {latest} ms");
}
