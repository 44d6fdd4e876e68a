//! Server selection, retries, limits and ejection in the router of one host.

use std::time::Duration;

use bamboo_config::Limits;
use bamboo_result::Code;
use bamboo_route::ChoiceOptions;
use bamboo_route::EndStep;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_route::RouteServer;
use bamboo_route::RouteStep;
use bamboo_route::Router;
use bamboo_route::Target;

const NOW: Duration = Duration::from_secs(100);

fn server(name: &str) -> RouteServer {
    RouteServer {
        name: name.into(),
        address: "127.0.0.1:9".into(),
        targets: vec![Target::Model("m".into())],
        capacity: 4,
        is_usable: true,
    }
}

fn router(names: &[&str]) -> Router {
    let mut router = Router::new(ChoiceOptions::default());
    router.set_servers(names.iter().map(|name| server(name)).collect(), 1);
    router
}

fn request(id: u128, is_idempotent: bool) -> OnlineRequest {
    OnlineRequest {
        id,
        caller: "c".into(),
        resource: "s".into(),
        limits: None,
        target: Target::Model("m".into()),
        prefix: None,
        token_count: 10.0,
        deadline: NOW + Duration::from_secs(10),
        is_idempotent,
    }
}

fn sent(step: RouteStep) -> String {
    match step {
        RouteStep::Send(attempt) => attempt.server,
        RouteStep::Refuse(error) => panic!("{error}"),
    }
}

fn refused(step: RouteStep) -> Code {
    match step {
        RouteStep::Refuse(error) => error.code,
        RouteStep::Send(attempt) => panic!("{attempt:?}"),
    }
}

fn not_run() -> OnlineEnd {
    OnlineEnd::NotRun {
        reason: "refused".into(),
    }
}

fn unknown() -> OnlineEnd {
    OnlineEnd::Unknown {
        code: Code::OutcomeUnknown,
        reason: "reset".into(),
    }
}

#[test]
fn requests_go_to_the_least_loaded_server() {
    let mut router = router(&["a", "b"]);
    let first = sent(router.route(NOW, request(1, true), 0));
    let second = sent(router.route(NOW, request(2, true), 0));
    assert_ne!(first, second);
}

#[test]
fn a_request_that_did_not_run_is_retried_on_another_server() {
    let mut router = router(&["a", "b"]);
    let first = sent(router.route(NOW, request(1, false), 0));
    let EndStep::Send(attempt) = router.attempt_ended(NOW, 1, not_run(), 0) else {
        panic!("not retried");
    };
    assert_ne!(attempt.server, first);
}

#[test]
fn a_non_idempotent_request_with_unknown_outcome_is_not_retried() {
    let mut router = router(&["a", "b"]);
    sent(router.route(NOW, request(1, false), 0));
    let EndStep::Refuse(error) = router.attempt_ended(NOW, 1, unknown(), 0) else {
        panic!("retried");
    };
    assert_eq!(error.code, Code::OutcomeUnknown);
    assert_eq!(router.in_flight_count(), 0);
}

#[test]
fn an_idempotent_request_with_unknown_outcome_is_retried() {
    let mut router = router(&["a", "b"]);
    sent(router.route(NOW, request(1, true), 0));
    assert!(matches!(
        router.attempt_ended(NOW, 1, unknown(), 0),
        EndStep::Send(_)
    ));
}

#[test]
fn the_retry_budget_bounds_sends_during_an_overload() {
    let mut router = router(&["a", "b", "c"]);
    let mut sends = 0;
    for id in 0..1000 {
        if let RouteStep::Send(_) = router.route(NOW, request(id, true), id as u64) {
            sends += 1;
            while let EndStep::Send(_) = router.attempt_ended(NOW, id, not_run(), id as u64) {
                sends += 1;
            }
        }
    }
    assert!(sends <= 1010, "{sends} sends for 1000 requests");
}

#[test]
fn requests_beyond_capacity_are_refused_with_a_retry_delay() {
    let mut router = router(&["a"]);
    for id in 0..6 {
        sent(router.route(NOW, request(id, true), 0));
    }
    let RouteStep::Refuse(error) = router.route(NOW, request(9, true), 0) else {
        panic!("not refused");
    };
    assert_eq!(
        (error.code, error.retry_after_s()),
        (Code::Overloaded, Some(1))
    );
}

#[test]
fn a_removed_server_gets_no_new_requests_and_counts_those_in_flight() {
    let mut router = router(&["a"]);
    sent(router.route(NOW, request(1, true), 0));
    router.set_servers(Vec::new(), 1);
    assert_eq!(
        refused(router.route(NOW, request(2, true), 0)),
        Code::NoServer
    );
    assert_eq!(router.local_in_flight("a"), 1);
    assert_eq!(
        router.attempt_ended(NOW, 1, OnlineEnd::Whole, 0),
        EndStep::Done
    );
    assert_eq!(router.local_in_flight("a"), 0);
}

#[test]
fn a_request_past_its_deadline_is_refused_without_selecting_a_server() {
    let mut router = router(&["a"]);
    let late = OnlineRequest {
        deadline: NOW,
        ..request(1, true)
    };
    assert_eq!(refused(router.route(NOW, late, 0)), Code::DeadlinePassed);
}

#[test]
fn caller_limits_are_enforced_and_refill() {
    let mut router = router(&["a", "b"]);
    let limits = Some(Limits {
        requests_per_s: 1.0,
        tokens_per_s: 1000.0,
        in_flight_max: 100,
    });
    let limited = |id| OnlineRequest {
        limits,
        ..request(id, true)
    };
    sent(router.route(NOW, limited(1), 0));
    sent(router.route(NOW, limited(2), 0));
    assert_eq!(
        refused(router.route(NOW, limited(3), 0)),
        Code::LimitReached
    );
    sent(router.route(NOW + Duration::from_secs(1), limited(4), 0));
}

#[test]
fn a_failing_server_is_ejected_while_most_servers_are_healthy() {
    let mut router = router(&["a", "b", "c"]);
    for id in 0..9 {
        let server = sent(router.route(NOW, request(id, true), id as u64));
        let end = if server == "a" {
            OnlineEnd::Broken
        } else {
            OnlineEnd::Whole
        };
        router.attempt_ended(NOW, id, end, 0);
    }
    let others: Vec<String> = (20..24)
        .map(|id| sent(router.route(NOW, request(id, true), id as u64)))
        .collect();
    assert!(
        others.iter().filter(|server| *server == "a").count() <= 1,
        "{others:?}"
    );
}
