//! Pattern: requests arrive at a host throughout its graceful shutdown.

use std::time::Duration;

use bamboo_coordination::Admission;
use bamboo_coordination::ArrivingRequest;
use bamboo_coordination::RunTimes;
use bamboo_coordination::admit_request;
use bamboo_coordination::last_run_start;
use bamboo_coordination::requests_end_at;
use test_case::test_case;

/// Interval between the requests of a shutdown.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);
/// Time until the load balancer sends new connections elsewhere: two readiness checks, one a second.
const OUT_OF_ROTATION_AFTER: Duration = Duration::from_secs(2);
/// Time after the signal until which a request may be sent whose run is cut at the end of the grace period.
const CUT_IF_SENT_BY: Duration = Duration::from_secs(3);
/// A time limit that no grace period leaves.
const LONG: Duration = Duration::from_secs(600);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Times of arrival throughout a grace period.
fn arrivals(grace: Duration) -> impl Iterator<Item = Duration> {
    let count = grace.as_millis() / ARRIVAL_INTERVAL.as_millis();
    (0..=count as u32).map(|index| ARRIVAL_INTERVAL * index)
}

fn is_served(request: &ArrivingRequest) -> bool {
    admit_request(request) == Admission::Serve
}

/// Guards against a stopping host that takes a request whose run it cuts off, though it knows how long such runs take.
#[test_case(1)]
#[test_case(4)]
#[test_case(8)]
#[test_case(30)]
fn no_run_is_cut_whose_length_is_known(grace_s: u64) {
    let grace = Duration::from_secs(grace_s);
    for run_time_ms in (0..=10_000).step_by(50) {
        for elapsed in arrivals(grace) {
            let run_time = millis(run_time_ms);
            let request = ArrivingRequest {
                elapsed,
                grace,
                time_limit: LONG,
                run_time: Some(run_time),
            };
            if is_served(&request) {
                assert!(elapsed + run_time <= requests_end_at(grace), "{request:?}");
                assert!(
                    elapsed <= last_run_start(grace, request.run_time),
                    "{request:?}"
                );
            }
        }
    }
}

/// Guards against a stopping host that rejects a request which ends before the host does, whatever happens.
#[test_case(4)]
#[test_case(8)]
fn a_request_that_ends_in_time_is_always_served(grace_s: u64) {
    let grace = Duration::from_secs(grace_s);
    for time_limit_ms in (0..=10_000).step_by(100) {
        for elapsed in arrivals(grace) {
            let time_limit = millis(time_limit_ms);
            let is_certain = elapsed + time_limit <= requests_end_at(grace);
            for run_time in [None, Some(millis(300)), Some(LONG)] {
                let request = ArrivingRequest {
                    elapsed,
                    grace,
                    time_limit,
                    run_time,
                };
                assert!(!is_certain || is_served(&request), "{request:?}");
            }
        }
    }
}

/// Guards against a stopping host that takes a request late whose run may outlast it: nothing excuses that it is cut.
#[test]
fn a_run_of_unknown_length_does_not_begin_late() {
    let grace = Duration::from_secs(8);
    for elapsed in arrivals(grace) {
        let request = ArrivingRequest {
            elapsed,
            grace,
            time_limit: LONG,
            run_time: None,
        };
        assert!(
            !is_served(&request) || elapsed < CUT_IF_SENT_BY,
            "{request:?}"
        );
    }
}

/// Guards against a stopping host that takes a request late since earlier ones were short, and cuts it off as it is longer.
#[test_case(4)]
#[test_case(8)]
#[test_case(30)]
fn only_requests_that_are_certain_to_end_are_taken_late(grace_s: u64) {
    let grace = Duration::from_secs(grace_s);
    let late = arrivals(grace).filter(|elapsed| *elapsed >= CUT_IF_SENT_BY);
    for elapsed in late {
        for run_time in [millis(1), millis(100), millis(500)] {
            for time_limit_ms in (100..=10_000).step_by(100) {
                let time_limit = millis(time_limit_ms);
                let request = ArrivingRequest {
                    elapsed,
                    grace,
                    time_limit,
                    run_time: Some(run_time),
                };
                let is_certain = elapsed + time_limit <= requests_end_at(grace);
                assert!(is_certain || !is_served(&request), "{request:?}");
            }
        }
    }
}

/// Guards against a stopping host that rejects what it could serve while callers still reach it.
#[test_case(None; "runs of unknown length")]
#[test_case(Some(300); "runs of 300 ms")]
#[test_case(Some(3_900); "runs of 3900 ms")]
fn requests_are_served_until_the_load_balancer_sends_them_elsewhere(run_time_ms: Option<u64>) {
    let grace = Duration::from_secs(8);
    let run_time = run_time_ms.map(millis);
    for elapsed in arrivals(grace).filter(|elapsed| *elapsed <= OUT_OF_ROTATION_AFTER) {
        let request = ArrivingRequest {
            elapsed,
            grace,
            time_limit: LONG,
            run_time,
        };
        assert!(is_served(&request), "{request:?}");
    }
}

/// Guards against a stopping host that has a request wait which cannot end in time: it is rejected at once.
#[test]
fn a_run_that_outlasts_the_grace_period_is_rejected_at_once() {
    let grace = Duration::from_secs(8);
    for elapsed in arrivals(grace) {
        let request = ArrivingRequest {
            elapsed,
            grace,
            time_limit: LONG,
            run_time: Some(grace),
        };
        assert!(!is_served(&request), "{request:?}");
    }
}

/// Guards against a stopping host that rejects a request and takes a later one like it.
#[test]
fn a_host_that_has_rejected_a_request_rejects_later_ones_like_it() {
    let grace = Duration::from_secs(8);
    for run_time in [
        None,
        Some(millis(300)),
        Some(millis(1_900)),
        Some(millis(5_000)),
    ] {
        for time_limit in [millis(1_000), millis(4_000), LONG] {
            let is_served = |elapsed| {
                is_served(&ArrivingRequest {
                    elapsed,
                    grace,
                    time_limit,
                    run_time,
                })
            };
            let answers: Vec<bool> = arrivals(grace).map(is_served).collect();
            assert!(
                answers.is_sorted_by(|earlier, later| earlier >= later),
                "{run_time:?} {time_limit:?}"
            );
        }
    }
}

/// Guards against one long run of the past that keeps requests away for good.
#[test]
fn run_times_are_forgotten_once_there_are_enough_later_ones() {
    let mut run_times = RunTimes::default();
    run_times.record(LONG);
    for _ in 0..100 {
        run_times.record(millis(300));
    }
    assert_eq!(run_times.longest(), Some(millis(300)));
}
