//! Broker decisions on requests that only a server of one software version can run.

use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use test_case::test_case;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine(server: &str, version: &str, slots: usize) -> Engine {
    Engine {
        server: server.to_owned(),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        slots,
        is_ready: true,
        version: version.to_owned(),
    }
}

fn request(number: SlotRequestId, work: Work, version: Option<&str>) -> SlotRequest {
    SlotRequest {
        host: "h1".to_owned(),
        id: number,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work,
        excluded: Vec::new(),
        version: version.map(str::to_owned),
        terms: RequestTerms::default(),
    }
}

fn work(is_online: bool) -> Work {
    match is_online {
        true => Work::Online {
            start_by: at(300),
            expires_at: at(5_000),
        },
        false => Work::Batch {
            due: at(9_000),
            remaining: at(1_000),
        },
    }
}

fn broker(engines: &[Engine]) -> Broker {
    let mut broker = Broker::default();
    for engine in engines {
        broker.put_engine(engine.clone(), false, at(0));
    }
    broker
}

fn granted(actions: &[Action], number: SlotRequestId) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        Action::Grant {
            request, server, ..
        } if *request == number => Some(server.as_str()),
        _ => None,
    })
}

fn without_server(actions: &[Action]) -> Vec<SlotRequestId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::NoServer { request, .. } => Some(*request),
            _ => None,
        })
        .collect()
}

/// Guards against a grant of a server of another version, although it is free and the right one is not.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn only_a_server_of_the_required_version_is_granted(is_online: bool) {
    let mut broker = broker(&[engine("s1", "v1", 4), engine("s2", "v2", 1)]);
    broker.request_slot(request(1, work(is_online), Some("v2")), at(0));
    broker.request_slot(request(2, work(is_online), Some("v2")), at(0));
    let actions = broker.take_actions();
    assert_eq!(granted(&actions, 1), Some("s2"));
    assert_eq!(granted(&actions, 2), None);
    broker.release("h1", 1, Some("s2"), RunOutcome::Done, at(100));
    broker.grant_due(at(200));
    assert_eq!(granted(&broker.take_actions(), 2), Some("s2"));
}

/// Guards against a request that waits in vain for a version that no ready server has.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn a_request_is_rejected_at_once_if_its_version_is_gone(is_online: bool) {
    let draining = Engine {
        is_ready: false,
        ..engine("s2", "v2", 4)
    };
    let mut broker = broker(&[engine("s1", "v1", 4), draining]);
    broker.request_slot(request(1, work(is_online), Some("v2")), at(0));
    assert_eq!(without_server(&broker.take_actions()), [1]);
    assert_eq!(broker.load("llm").online_waiting, 0);
    assert_eq!(broker.load("llm").batch_waiting, 0);
}

/// Guards against a queued request that is forgotten when the last server of its version leaves.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn a_queued_request_is_rejected_when_its_version_leaves(is_online: bool) {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    broker.request_slot(request(1, work(is_online), Some("v2")), at(0));
    broker.request_slot(request(2, work(is_online), Some("v2")), at(0));
    broker.tick(at(10));
    assert_eq!(without_server(&broker.take_actions()), []);
    broker.remove_engine("s2");
    broker.tick(at(20));
    assert_eq!(without_server(&broker.take_actions()), [2]);
}

/// Guards against work that is given up because a new coordinator has not read the servers' entries yet.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn a_request_waits_while_its_service_has_no_server(is_online: bool) {
    let mut broker = Broker::default();
    broker.request_slot(request(1, work(is_online), Some("v1")), at(0));
    broker.tick(at(10));
    assert_eq!(without_server(&broker.take_actions()), []);
    broker.put_engine(engine("s1", "v1", 1), false, at(20));
    broker.grant_due(at(100));
    assert_eq!(granted(&broker.take_actions(), 1), Some("s1"));
}

/// Guards against items that throw their output away although no other server could start them anew.
#[test]
fn an_item_waits_while_no_server_is_ready() {
    let draining = Engine {
        is_ready: false,
        ..engine("s2", "v2", 4)
    };
    let mut broker = broker(&[draining]);
    broker.request_slot(request(1, work(false), Some("v1")), at(0));
    broker.tick(at(10));
    assert_eq!(without_server(&broker.take_actions()), []);
}

/// Guards against head-of-line blocking by requests that wait for a version whose servers are full.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn a_request_that_waits_for_its_version_does_not_block_others(is_online: bool) {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    broker.request_slot(request(1, work(true), Some("v1")), at(0));
    broker.request_slot(request(2, work(true), Some("v2")), at(0));
    broker.request_slot(request(3, work(is_online), Some("v1")), at(0));
    broker.request_slot(request(4, work(is_online), Some("v1")), at(0));
    broker.request_slot(request(5, work(is_online), None), at(0));
    broker.take_actions();
    broker.release("h1", 2, Some("s2"), RunOutcome::Done, at(100));
    broker.grant_due(at(200));
    let actions = broker.take_actions();
    assert_eq!(granted(&actions, 5), Some("s2"));
    assert_eq!(granted(&actions, 3), None);
}

/// Guards against a constrained request that is skipped because the queue before it found no slot of another version.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn a_full_version_does_not_block_requests_for_another(is_online: bool) {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    broker.request_slot(request(1, work(true), Some("v1")), at(0));
    broker.request_slot(request(2, work(true), Some("v2")), at(0));
    broker.request_slot(request(3, work(is_online), Some("v1")), at(0));
    broker.request_slot(request(4, work(is_online), Some("v2")), at(0));
    broker.take_actions();
    broker.release("h1", 2, Some("s2"), RunOutcome::Done, at(100));
    broker.grant_due(at(200));
    assert_eq!(granted(&broker.take_actions(), 4), Some("s2"));
}

/// Guards against new requests that are refused for a queue which only servers of another version can clear.
#[test]
fn a_queue_for_one_version_does_not_refuse_requests_for_others() {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    for number in 0..30 {
        broker.request_slot(request(number, work(true), Some("v1")), at(0));
    }
    let is_refused = |actions: &[Action], number: SlotRequestId| {
        actions
            .iter()
            .any(|action| matches!(action, Action::Refuse { request, .. } if *request == number))
    };
    assert!(is_refused(&broker.take_actions(), 29));
    broker.request_slot(request(30, work(true), None), at(0));
    broker.request_slot(request(31, work(true), None), at(0));
    broker.request_slot(request(32, work(true), Some("v2")), at(0));
    let actions = broker.take_actions();
    assert_eq!(granted(&actions, 30), Some("s2"));
    assert!([31, 32].iter().all(|number| !is_refused(&actions, *number)));
}

/// Guards against a batch item that loses its slot to an online request which cannot use it.
#[test]
fn an_item_is_preempted_only_on_a_server_of_the_required_version() {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    broker.request_slot(request(1, work(false), Some("v1")), at(0));
    broker.request_slot(request(2, work(false), Some("v2")), at(0));
    broker.take_actions();
    broker.request_slot(request(3, work(true), Some("v2")), at(10));
    let actions = broker.take_actions();
    assert!(actions.contains(&Action::Preempt {
        host: "h1".to_owned(),
        request: 2
    }));
    assert_eq!(granted(&actions, 3), Some("s2"));
    broker.request_slot(request(4, work(true), Some("v2")), at(20));
    let actions = broker.take_actions();
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Preempt { .. }))
    );
    assert_eq!(granted(&actions, 4), None);
}

/// Guards against a request that waits for ever because it excludes the only server of its version.
#[test]
fn the_only_server_of_a_version_is_not_excluded_for_ever() {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    let excluding = SlotRequest {
        excluded: vec!["s2".to_owned()],
        ..request(1, work(false), Some("v2"))
    };
    broker.request_slot(excluding, at(0));
    assert_eq!(granted(&broker.take_actions(), 1), None);
    broker.tick(at(100));
    assert_eq!(granted(&broker.take_actions(), 1), Some("s2"));
}

/// Guards against items that wait one by one for probes of a server that answers nothing, while other servers are free.
#[test_case(true, true => vec![2, 3]; "ejected")]
#[test_case(true, false => Vec::<SlotRequestId>::new(); "no other server is healthy")]
#[test_case(false, true => Vec::<SlotRequestId>::new(); "full")]
fn items_do_not_wait_for_ejected_servers_for_ever(
    is_ejected: bool,
    is_other_healthy: bool,
) -> Vec<SlotRequestId> {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    broker.request_slot(request(1, work(false), Some("v1")), at(0));
    broker.request_slot(request(2, work(false), Some("v1")), at(0));
    broker.request_slot(request(3, work(false), Some("v1")), at(0));
    if !is_other_healthy {
        broker.release("h2", 9, Some("s2"), RunOutcome::Unreachable, at(0));
    }
    if is_ejected {
        broker.release("h1", 1, Some("s1"), RunOutcome::Unreachable, at(100));
        broker.request_slot(request(4, work(true), Some("v1")), at(700));
    }
    broker.tick(at(4_000));
    assert_eq!(without_server(&broker.take_actions()), []);
    broker.tick(at(5_000));
    without_server(&broker.take_actions())
}

/// Guards against streams that cannot go on under load, because new ones take each slot that their servers free.
#[test]
fn a_stream_that_has_begun_comes_before_new_ones() {
    let mut broker = broker(&[engine("s1", "v1", 1), engine("s2", "v2", 1)]);
    for number in 1..=4 {
        broker.request_slot(request(number, work(true), None), at(0));
    }
    let begun = Work::Online {
        start_by: at(350),
        expires_at: at(5_000),
    };
    broker.request_slot(request(5, begun, Some("v1")), at(50));
    let actions = broker.take_actions();
    let first = (1..=2).find(|number| granted(&actions, *number) == Some("s1"));
    let first = first.unwrap();
    broker.release("h1", 3 - first, Some("s2"), RunOutcome::Done, at(100));
    let actions = broker.take_actions();
    assert!((3..=4).any(|number| granted(&actions, number) == Some("s2")));
    // Also when it is late, and a new one is not.
    let new = Work::Online {
        start_by: at(900),
        expires_at: at(5_600),
    };
    broker.request_slot(request(6, new, None), at(600));
    broker.release("h1", first, Some("s1"), RunOutcome::Done, at(700));
    assert_eq!(granted(&broker.take_actions(), 5), Some("s1"));
}
