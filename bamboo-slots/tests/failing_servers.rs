//! Load pattern: servers that answer each request with an error of their own at once. They always have free slots, so that
//! they attract requests.

use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::Work;
use test_case::test_case;

const SERVERS: usize = 8;
const SLOTS: usize = 4;
/// Time that a request occupies a slot of a server that works.
const RUN_MS: u64 = 500;
/// Requests arrive at this interval, at half of what the servers can do.
const ARRIVAL_MS: u64 = 32;
const END_MS: u64 = 6_000;

/// Plays requests and returns the share that gets an error.
fn error_share<F>(fails: F) -> f64
where
    F: Fn(usize, u64) -> bool,
{
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
    let mut runs: Vec<(u64, u64, String, RunOutcome)> = Vec::new();
    let (mut count, mut errors) = (0u64, 0u64);
    for ms in 0..END_MS {
        let now = Duration::from_millis(ms);
        let ended: Vec<_> = runs
            .extract_if(.., |(until_ms, _, _, _)| *until_ms <= ms)
            .collect();
        for (_, id, server, outcome) in ended {
            broker.release("h", id, Some(&server), outcome, now);
        }
        if ms % ARRIVAL_MS == 0 {
            count += 1;
            let request = SlotRequest {
                host: "h".to_owned(),
                id: count,
                service: "llm".to_owned(),
                data_centre: "a".to_owned(),
                work: Work::Online {
                    start_by: now + Duration::from_millis(300),
                    expires_at: now + Duration::from_millis(5_000),
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
            let Action::Grant {
                request, server, ..
            } = action
            else {
                continue;
            };
            let index: usize = server[1..].parse().unwrap();
            let is_error = fails(index, request);
            errors += u64::from(is_error);
            let (took_ms, outcome) = match is_error {
                true => (2, RunOutcome::Failed),
                false => (RUN_MS, RunOutcome::Done),
            };
            runs.push((ms + took_ms, request, server, outcome));
        }
    }
    errors as f64 / count as f64
}

/// Four errors eject a server for good while others have slots.
#[test_case(1)]
#[test_case(2)]
fn failing_servers_do_not_attract_requests(failing: usize) {
    let share = error_share(|server, _| server < failing);
    let allowed = (failing as u64 * 4) as f64 / (END_MS / ARRIVAL_MS) as f64;
    assert!(share <= allowed, "{share} of {allowed}");
}

/// The last attempt of the item failed at the only server of its service.
#[test]
fn a_request_that_excludes_the_only_server_is_granted_it_again() {
    let mut broker = Broker::default();
    let engine = Engine {
        server: "s0".to_owned(),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        is_ready: true,
        version: "v1".to_owned(),
    };
    broker.put_engine(engine, false, Duration::ZERO);
    let request = SlotRequest {
        host: "h".to_owned(),
        id: 1,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work: Work::Batch {
            due: Duration::from_secs(18),
            remaining: Duration::from_secs(3),
        },
        excluded: vec!["s0".to_owned()],
        version: None,
        terms: RequestTerms::default(),
    };
    broker.request_slot(request, Duration::ZERO);
    assert!(broker.take_actions().is_empty());
    broker.tick(Duration::from_millis(250));
    assert!(matches!(
        broker.take_actions()[..],
        [Action::Grant { request: 1, .. }]
    ));
}

/// A caller whose requests always fail must not cost the others their servers.
#[test]
fn requests_that_fail_everywhere_do_not_eject_most_servers() {
    let share = error_share(|_, request| request % 2 == 0);
    assert!((0.45..=0.55).contains(&share), "{share}");
}

/// Guards against free slots beside items that wait: each has failed once at the only server that is not ejected.
#[test]
fn an_item_goes_back_to_the_only_server_that_is_not_ejected() {
    let mut broker = Broker::default();
    for server in ["s0", "s1"] {
        let engine = Engine {
            server: server.to_owned(),
            service: "llm".to_owned(),
            data_centre: "a".to_owned(),
            slots: SLOTS,
            is_ready: true,
            version: "v1".to_owned(),
        };
        broker.put_engine(engine, false, Duration::ZERO);
    }
    let now = Duration::from_secs(1);
    broker.release("h", 1, Some("s0"), RunOutcome::Unreachable, now);
    let request = SlotRequest {
        host: "h".to_owned(),
        id: 2,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work: Work::Batch {
            due: Duration::from_secs(9),
            remaining: Duration::from_secs(1),
        },
        excluded: vec!["s1".to_owned()],
        version: None,
        terms: RequestTerms::default(),
    };
    broker.request_slot(request, now);
    broker.tick(now + Duration::from_millis(50));
    let actions = broker.take_actions();
    let is_granted =
        |action: &Action| matches!(action, Action::Grant { server, .. } if server == "s1");
    assert!(actions.iter().any(is_granted), "{actions:?}");
}
