//! Reservations of queue capacity whose requests or replies are lost, doubled or late.

use std::time::Duration;

use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use bamboo_coordination::ReservationOutcome;
use test_case::test_case;

const MAX_TOKENS: u64 = 1_000;
/// Heartbeats after which a reservation that the host does not know must not count any more.
const HEARTBEATS: u32 = 8;

fn host(name: &str) -> HostInfo {
    HostInfo {
        host: name.to_owned(),
        data_centre: "a".to_owned(),
        size: 500,
        incarnation: 1,
        knows_servers: true,
    }
}

fn heartbeat(waiting_tokens: u64, reservation: u64) -> Heartbeat {
    Heartbeat {
        partitions: vec![(0, 1)],
        waiting_tokens: vec![("r".to_owned(), waiting_tokens)],
        reservation,
        ..Heartbeat::default()
    }
}

/// Guards against queue capacity that stays reserved because the reply was lost, or the request came twice.
#[test_case(1; "the reply is lost")]
#[test_case(2; "the request is doubled and both replies are lost")]
fn a_reservation_that_the_host_does_not_know_ends(copies: u32) {
    let mut reports = Reports::default();
    let mut now = Duration::ZERO;
    reports.record_heartbeat(&host("a"), heartbeat(0, 0), now);
    for _ in 0..copies {
        let outcome = reports.reserve("a", "r", MAX_TOKENS / 2, MAX_TOKENS, 1, now);
        assert!(matches!(outcome, ReservationOutcome::Reserved(_)));
    }
    for _ in 0..HEARTBEATS {
        now += HEARTBEAT_INTERVAL;
        reports.record_heartbeat(&host("a"), heartbeat(0, 0), now);
    }
    let outcome = reports.reserve("b", "r", MAX_TOKENS, MAX_TOKENS, 1, now);
    assert!(
        matches!(outcome, ReservationOutcome::Reserved(_)),
        "{outcome:?}: capacity stays reserved"
    );
}

/// Guards against capacity that is given away twice while the host has yet to report a reservation.
#[test]
fn a_reservation_counts_until_the_host_can_report_it() {
    /// Time for which a host waits for the reply, and the interval until the heartbeat after it.
    const REPORTED_WITHIN: Duration = Duration::from_millis(300 + 250);
    let mut reports = Reports::default();
    reports.record_heartbeat(&host("a"), heartbeat(0, 0), Duration::ZERO);
    let reserved = reports.reserve("a", "r", MAX_TOKENS, MAX_TOKENS, 1, Duration::ZERO);
    assert_eq!(reserved, ReservationOutcome::Reserved(1));
    for now in [HEARTBEAT_INTERVAL, 2 * HEARTBEAT_INTERVAL, REPORTED_WITHIN] {
        reports.record_heartbeat(&host("a"), heartbeat(0, 0), now);
        let outcome = reports.reserve("b", "r", 1, MAX_TOKENS, 1, now);
        assert_eq!(outcome, ReservationOutcome::Full, "at {now:?}");
    }
    let now = 3 * HEARTBEAT_INTERVAL;
    reports.record_heartbeat(&host("a"), heartbeat(MAX_TOKENS, 1), now);
    let outcome = reports.reserve("b", "r", 1, MAX_TOKENS, 1, now);
    assert_eq!(outcome, ReservationOutcome::Full);
}
