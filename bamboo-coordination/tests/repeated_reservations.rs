//! Reservations of jobs that are submitted again, and of several workspaces on a route.

use std::time::Duration;

use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use bamboo_coordination::ReservationOutcome;
use bamboo_coordination::ReservationRequest;
use bamboo_types::QueueKey;
use test_case::test_case;

const MAX_TOKENS: u64 = 1_000;
/// Tokens of a job that takes more than half of the capacity.
const LARGE: u64 = 750;

fn host(name: &str) -> HostInfo {
    HostInfo {
        host: name.to_owned(),
        data_centre: "a".to_owned(),
        size: 500,
        incarnation: 1,
        knows_servers: true,
    }
}

fn queue(workspace: Option<&str>) -> QueueKey {
    QueueKey {
        route: "r".to_owned(),
        workspace: workspace.map(str::to_owned),
    }
}

fn heartbeat(partition: u32, waiting: &[(&QueueKey, u64)], reservation: u64) -> Heartbeat {
    let waiting = waiting.iter();
    Heartbeat {
        partitions: vec![(partition, 1)],
        waiting_tokens: waiting
            .map(|(queue, tokens)| (String::from(*queue), *tokens))
            .collect(),
        reservation,
        ..Heartbeat::default()
    }
}

/// A coordinator to which hosts "a" and "b" report that nothing waits.
fn reports() -> Reports {
    let mut reports = Reports::default();
    reports.record_heartbeat(&host("a"), heartbeat(0, &[], 0), Duration::ZERO);
    reports.record_heartbeat(&host("b"), heartbeat(1, &[], 0), Duration::ZERO);
    reports
}

fn reserve(
    reports: &mut Reports,
    host: &str,
    queue: &QueueKey,
    job: Option<&str>,
    now: Duration,
) -> ReservationOutcome {
    let request = ReservationRequest {
        queue,
        job,
        tokens: LARGE,
        max_tokens: MAX_TOKENS,
    };
    reports.reserve_for_job(host, &request, 2, now)
}

/// Guards against a job that is refused for the room which its own first submission reserved: the first one ended without
/// an answer, and the host that made the reservation has not reported since.
#[test_case("a"; "through the same host")]
#[test_case("b"; "through another host")]
fn a_job_that_is_submitted_again_does_not_count_against_its_reservation(second: &str) {
    let (mut reports, now) = (reports(), Duration::ZERO);
    let queue = queue(None);
    let first = reserve(&mut reports, "a", &queue, Some("j"), now);
    assert_eq!(first, ReservationOutcome::Reserved(1));
    let again = reserve(&mut reports, second, &queue, Some("j"), now);
    assert_eq!(again, ReservationOutcome::Reserved(2));
    // Both are shared by the one job, and others still find the room taken.
    let other = reserve(&mut reports, "b", &queue, Some("k"), now);
    assert_eq!(other, ReservationOutcome::Full);
}

/// Guards against room that is given away when one of two reservations of a job ends.
#[test]
fn a_reservation_of_a_job_holds_until_its_last_copy_ends() {
    let (mut reports, queue) = (reports(), queue(None));
    reserve(&mut reports, "a", &queue, Some("j"), Duration::ZERO);
    reserve(&mut reports, "b", &queue, Some("j"), Duration::ZERO);
    reports.record_heartbeat(&host("a"), heartbeat(0, &[], 1), HEARTBEAT_INTERVAL);
    let other = reserve(&mut reports, "a", &queue, Some("k"), HEARTBEAT_INTERVAL);
    assert_eq!(other, ReservationOutcome::Full);
}

/// Guards against a job that is refused for its own tokens while its first submission is being stored: its host has
/// reported the reservation.
#[test]
fn a_job_whose_first_submission_is_being_stored_is_not_refused() {
    let (mut reports, queue) = (reports(), queue(None));
    reserve(&mut reports, "a", &queue, Some("j"), Duration::ZERO);
    let reported = heartbeat(0, &[(&queue, LARGE)], 1);
    reports.record_heartbeat(&host("a"), reported, HEARTBEAT_INTERVAL);
    let again = reserve(&mut reports, "b", &queue, Some("j"), HEARTBEAT_INTERVAL);
    // It may be among the tokens that wait: the caller is to come again, and then reaches the owner.
    assert_eq!(again, ReservationOutcome::MayBeAccepted);
    let other = reserve(&mut reports, "b", &queue, Some("k"), HEARTBEAT_INTERVAL);
    assert_eq!(other, ReservationOutcome::Full);
}

/// Guards against a workspace that is refused for the tokens of another one.
#[test]
fn workspaces_share_no_room() {
    let (mut reports, now) = (reports(), Duration::ZERO);
    for workspace in [Some("a"), Some("b"), None] {
        let queue = queue(workspace);
        let first = reserve(&mut reports, "a", &queue, Some("j"), now);
        assert!(matches!(first, ReservationOutcome::Reserved(_)));
        let second = reserve(&mut reports, "b", &queue, Some("k"), now);
        assert_eq!(second, ReservationOutcome::Full);
    }
}

/// Guards against a new coordinator that gives away the room its predecessor reserved beyond the stated bound: what hosts
/// reserved and have not stored yet is in their first heartbeat to it, so that it decides nothing near the limit before
/// the owners of all partitions have reported, and then counts all of it.
#[test]
fn a_new_coordinator_counts_what_its_predecessor_reserved() {
    let queue = queue(Some("w"));
    let mut successor = Reports::default();
    let reserve = |reports: &mut Reports| reserve(reports, "b", &queue, Some("k"), Duration::ZERO);
    assert_eq!(reserve(&mut successor), ReservationOutcome::Undecided);
    let reported = heartbeat(0, &[(&queue, LARGE)], 0);
    successor.record_heartbeat(&host("a"), reported, Duration::ZERO);
    assert_eq!(reserve(&mut successor), ReservationOutcome::Undecided);
    successor.record_heartbeat(&host("b"), heartbeat(1, &[], 0), Duration::ZERO);
    assert_eq!(reserve(&mut successor), ReservationOutcome::Full);
}
