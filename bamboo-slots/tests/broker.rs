//! Broker decisions on single requests, runs and failures.

use std::collections::HashSet;
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

fn engine(server: &str, data_centre: &str, slots: usize) -> Engine {
    Engine {
        server: server.to_owned(),
        service: "llm".to_owned(),
        data_centre: data_centre.to_owned(),
        slots,
        is_ready: true,
        version: "v1".to_owned(),
    }
}

fn request(number: SlotRequestId, work: Work) -> SlotRequest {
    SlotRequest {
        host: "h1".to_owned(),
        id: number,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work,
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
    }
}

fn online(start_by_ms: u64) -> Work {
    Work::Online {
        start_by: at(start_by_ms),
        expires_at: at(start_by_ms + 4700),
    }
}

fn batch(due_ms: u64, remaining_ms: u64) -> Work {
    Work::Batch {
        due: at(due_ms),
        remaining: at(remaining_ms),
    }
}

fn granted(actions: &[Action], number: SlotRequestId) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Grant {
            request, server, ..
        } if *request == number => Some(server.clone()),
        _ => None,
    })
}

fn preempted(actions: &[Action]) -> Vec<SlotRequestId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Preempt { request, .. } => Some(*request),
            _ => None,
        })
        .collect()
}

fn broker(engines: &[Engine]) -> Broker {
    let mut broker = Broker::default();
    for engine in engines {
        broker.put_engine(engine.clone(), false, at(0));
    }
    broker
}

#[test]
fn online_preempts_the_item_with_the_most_slack() {
    let mut broker = broker(&[engine("s1", "a", 2)]);
    broker.request_slot(request(1, batch(9_000, 4_000)), at(0));
    broker.request_slot(request(2, batch(18_000, 4_000)), at(0));
    broker.take_actions();
    broker.request_slot(request(3, online(300)), at(0));
    let actions = broker.take_actions();
    assert_eq!(preempted(&actions), [2]);
    assert_eq!(granted(&actions, 3).as_deref(), Some("s1"));
}

#[test]
fn a_free_slot_elsewhere_is_preferred_to_preemption() {
    let mut broker = broker(&[engine("s1", "a", 1), engine("s2", "b", 1)]);
    broker.request_slot(request(1, batch(9_000, 4_000)), at(0));
    broker.take_actions();
    broker.request_slot(request(2, online(300)), at(0));
    let actions = broker.take_actions();
    assert!(preempted(&actions).is_empty());
    assert_eq!(granted(&actions, 2).as_deref(), Some("s2"));
}

#[test]
fn online_that_can_still_be_on_time_precedes_late_online() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    broker.request_slot(request(1, online(300)), at(0));
    broker.request_slot(request(2, online(400)), at(100));
    broker.request_slot(request(3, online(1_300)), at(1_000));
    broker.take_actions();
    broker.release("h1", 1, Some("s1"), RunOutcome::Done, at(1_010));
    let actions = broker.take_actions();
    assert_eq!(granted(&actions, 3).as_deref(), Some("s1"));
    assert_eq!(granted(&actions, 2), None);
}

#[test]
fn a_request_that_would_expire_in_the_queue_is_refused_at_once() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    for number in 0..20 {
        broker.request_slot(request(number, online(300)), at(0));
    }
    let actions = broker.take_actions();
    assert!(actions.iter().any(|action| matches!(
        action,
        Action::Refuse { retry_after, .. } if *retry_after > Duration::ZERO
    )));
}

#[test]
fn a_queued_request_is_refused_when_it_expires() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    broker.request_slot(request(1, online(300)), at(0));
    broker.request_slot(request(2, online(300)), at(0));
    broker.take_actions();
    broker.tick(at(6_000));
    let actions = broker.take_actions();
    assert!(matches!(actions[..], [Action::Refuse { request: 2, .. }]));
}

#[test]
fn an_unreachable_server_is_ejected_and_probed_by_one_run() {
    let mut broker = broker(&[engine("s1", "a", 4)]);
    broker.request_slot(request(1, online(300)), at(0));
    broker.take_actions();
    broker.release("h1", 1, Some("s1"), RunOutcome::Unreachable, at(10));
    broker.request_slot(request(2, online(310)), at(10));
    broker.request_slot(request(3, online(310)), at(10));
    assert_eq!(granted(&broker.take_actions(), 2), None);
    broker.tick(at(600));
    let actions = broker.take_actions();
    let grants = [2, 3].map(|number| granted(&actions, number).is_some());
    assert_eq!(grants.iter().filter(|grant| **grant).count(), 1);
}

#[test]
fn one_lost_answer_does_not_eject_a_server() {
    let mut broker = broker(&[engine("s1", "a", 4)]);
    broker.request_slot(request(1, online(300)), at(0));
    broker.release("h1", 1, Some("s1"), RunOutcome::Silent, at(140));
    broker.take_actions();
    broker.request_slot(request(2, online(500)), at(150));
    assert!(granted(&broker.take_actions(), 2).is_some());
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut broker = broker(&[engine("s1", "a", 4)]);
    let draining = Engine {
        is_ready: false,
        ..engine("s1", "a", 4)
    };
    broker.put_engine(draining, false, at(5));
    broker.request_slot(request(1, online(300)), at(10));
    assert_eq!(granted(&broker.take_actions(), 1), None);
}

#[test]
fn runs_reported_to_a_new_broker_keep_their_slots_and_excess_batch_is_preempted() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    broker.restore_run(request(1, batch(9_000, 4_000)), "s1", at(0));
    broker.restore_run(request(2, online(300)), "s1", at(0));
    assert_eq!(preempted(&broker.take_actions()), [1]);
    broker.request_slot(request(3, batch(9_000, 4_000)), at(10));
    assert_eq!(granted(&broker.take_actions(), 3), None);
}

#[test]
fn a_run_on_a_server_that_is_not_known_yet_keeps_its_slot() {
    let mut broker = Broker::default();
    broker.restore_run(request(1, online(300)), "s1", at(0));
    let reported = HashSet::from([1]);
    assert!(broker.unknown_requests("h1", &reported).is_empty());
    broker.put_engine(engine("s1", "a", 1), false, at(50));
    broker.request_slot(request(2, online(300)), at(60));
    assert_eq!(granted(&broker.take_actions(), 2), None);
    broker.release("h1", 1, Some("s1"), RunOutcome::Done, at(100));
    assert_eq!(granted(&broker.take_actions(), 2).as_deref(), Some("s1"));
}

#[test]
fn requests_of_a_lost_host_free_their_slots() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    broker.request_slot(request(1, online(300)), at(0));
    let other = SlotRequest {
        host: "h2".to_owned(),
        ..request(1, online(400))
    };
    broker.request_slot(other, at(10));
    broker.take_actions();
    broker.drop_host("h1", at(20));
    broker.tick(at(20));
    assert_eq!(granted(&broker.take_actions(), 1).as_deref(), Some("s1"));
}

#[test]
fn requests_lost_by_either_side_are_detected() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    broker.request_slot(request(1, online(300)), at(0));
    broker.take_actions();
    let reported = HashSet::from([7]);
    assert_eq!(broker.unknown_requests("h1", &reported), HashSet::from([7]));
    broker.reconcile("h1", &reported, None, at(500));
    assert_eq!(broker.load("llm").online_running, 1);
    broker.reconcile("h1", &reported, None, at(1_500));
    assert_eq!(broker.load("llm").online_running, 0);
}

#[test]
fn an_excluded_server_is_not_granted() {
    let mut broker = broker(&[engine("s1", "a", 1)]);
    let excluding = SlotRequest {
        excluded: vec!["s1".to_owned()],
        ..request(1, online(300))
    };
    broker.request_slot(excluding, at(0));
    assert_eq!(granted(&broker.take_actions(), 1), None);
}

/// Guards against head-of-line blocking: the first queued request excludes the only server with a free slot.
#[test_case(true; "online")]
#[test_case(false; "batch")]
fn a_request_that_excludes_a_server_does_not_block_the_queue(is_online: bool) {
    let mut broker = broker(&[engine("s1", "a", 1), engine("s2", "a", 1)]);
    let work = |order: u64| match is_online {
        true => online(1_000 + order),
        false => batch(9_000 + order, 1_000),
    };
    broker.request_slot(request(1, online(500)), at(0));
    broker.request_slot(request(2, online(500)), at(0));
    let excluding = SlotRequest {
        excluded: vec!["s1".to_owned()],
        ..request(3, work(1))
    };
    broker.request_slot(excluding, at(10));
    broker.request_slot(request(4, work(2)), at(10));
    broker.request_slot(request(5, work(3)), at(10));
    let on_s1 = match granted(&broker.take_actions(), 1).as_deref() {
        Some("s1") => 1,
        _ => 2,
    };
    broker.release("h1", on_s1, Some("s1"), RunOutcome::Done, at(20));
    broker.grant_due(at(100));
    let actions = broker.take_actions();
    assert_eq!(granted(&actions, 4).as_deref(), Some("s1"));
    assert_eq!(granted(&actions, 3), None);
    assert_eq!(granted(&actions, 5), None);
}
