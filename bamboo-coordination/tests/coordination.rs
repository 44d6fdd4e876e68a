//! Choice of the coordinator when hosts time out, stop, restart or lose connections.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_coordination::ClusterMap;
use bamboo_coordination::CoordinatorTracker;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use bamboo_coordination::ReservationOutcome;
use bamboo_slots::Broker;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(name: &str, size: u64) -> HostInfo {
    HostInfo {
        host: name.to_owned(),
        data_centre: "a".to_owned(),
        size,
        incarnation: 1,
        knows_servers: true,
    }
}

/// The tracker of a small host that has had contact with a large and a middle-sized host.
fn small_host_tracker() -> CoordinatorTracker {
    let mut tracker = CoordinatorTracker::new(host("small", 100));
    for (name, size) in [("large", 500), ("middle", 300)] {
        tracker.add_host(&host(name, size));
        tracker.record_contact(name, at(0));
    }
    tracker.update_coordinator(at(0));
    tracker
}

#[test]
fn the_largest_live_host_coordinates() {
    assert_eq!(small_host_tracker().coordinator(), "large");
}

#[test]
fn a_host_without_contact_is_probed_but_not_chosen() {
    let mut tracker = CoordinatorTracker::new(host("small", 100));
    tracker.add_host(&host("large", 500));
    assert!(!tracker.update_coordinator(at(0)));
    assert!(tracker.is_local());
    assert_eq!(tracker.due_probes(at(0)), ["large"]);
    assert!(tracker.due_probes(at(40)).is_empty());
    tracker.record_contact("large", at(120));
    assert!(tracker.update_coordinator(at(250)));
    assert_eq!(tracker.coordinator(), "large");
}

#[test]
fn a_silent_coordinator_is_replaced_and_restored_after_contact() {
    let mut tracker = small_host_tracker();
    tracker.record_contact("middle", at(600));
    assert!(tracker.update_coordinator(at(800)));
    assert_eq!(tracker.coordinator(), "middle");
    tracker.record_contact("large", at(1_000));
    assert!(!tracker.update_coordinator(at(1_000)));
    tracker.record_contact("middle", at(1_900));
    tracker.record_contact("large", at(1_900));
    assert!(tracker.update_coordinator(at(1_950)));
    assert_eq!(tracker.coordinator(), "large");
}

#[test]
fn two_consecutive_timeouts_replace_the_coordinator() {
    let mut tracker = small_host_tracker();
    tracker.record_timeout(at(0), at(10));
    assert!(!tracker.update_coordinator(at(10)));
    tracker.record_timeout(at(10), at(20));
    assert!(tracker.update_coordinator(at(20)));
    assert_eq!(tracker.coordinator(), "middle");
}

/// Guards against a false suspicion when all hosts start at once and their requests stall the coordinator briefly.
#[test]
fn one_stall_counts_as_one_timeout() {
    let mut tracker = small_host_tracker();
    tracker.record_timeout(at(0), at(60));
    for request in 1..40 {
        tracker.record_timeout(at(request), at(60 + request));
    }
    assert!(!tracker.update_coordinator(at(100)));
    assert_eq!(tracker.coordinator(), "large");
}

#[test]
fn a_lost_connection_replaces_the_coordinator_at_once() {
    let mut tracker = small_host_tracker();
    assert!(!tracker.connection_lost("middle", at(10)));
    assert!(tracker.connection_lost("large", at(10)));
    tracker.update_coordinator(at(10));
    assert!(tracker.is_local());
}

#[test]
fn a_leaving_host_cannot_coordinate_until_it_restarts() {
    let mut tracker = small_host_tracker();
    tracker.mark_leaving(&host("large", 500));
    assert!(tracker.update_coordinator(at(10)));
    assert_eq!(tracker.coordinator(), "middle");
    tracker.record_contact("large", at(20));
    assert!(!tracker.update_coordinator(at(20)));
    let restarted = HostInfo {
        incarnation: 2,
        ..host("large", 500)
    };
    tracker.add_host(&restarted);
    tracker.record_contact("large", at(30));
    assert!(tracker.update_coordinator(at(30)));
    assert_eq!(tracker.coordinator(), "large");
}

#[test]
fn hosts_in_the_cluster_map_can_coordinate_without_contact() {
    let mut tracker = CoordinatorTracker::new(host("small", 100));
    tracker.add_host(&host("large", 500));
    tracker.record_contact("large", at(0));
    tracker.update_coordinator(at(0));
    tracker.set_cluster_map(ClusterMap {
        hosts: vec![host("large", 500), host("middle", 300), host("small", 100)],
        owners: vec![(3, "middle".to_owned(), 7), (3, "large".to_owned(), 9)],
    });
    assert_eq!(tracker.owner_of(3).as_deref(), Some("large"));
    assert_eq!(tracker.owner_of(4), None);
    tracker.connection_lost("large", at(10));
    tracker.update_coordinator(at(10));
    assert_eq!(tracker.coordinator(), "middle");
}

fn heartbeat(partitions: &[(u32, u64)], waiting: u64, reservation: u64) -> Heartbeat {
    Heartbeat {
        partitions: partitions.to_vec(),
        waiting_tokens: vec![("r".to_owned(), waiting)],
        reservation,
        ..Heartbeat::default()
    }
}

#[test]
fn waiting_tokens_are_bounded_over_all_hosts() {
    let mut reports = Reports::default();
    reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 600, 0), at(0));
    reports.record_heartbeat(&host("b", 1), heartbeat(&[(1, 1)], 300, 0), at(0));
    assert_eq!(
        reports.reserve("a", "r", 100, 1_000, 2, at(0)),
        ReservationOutcome::Reserved(1)
    );
    assert_eq!(
        reports.reserve("b", "r", 100, 1_000, 2, at(0)),
        ReservationOutcome::Full
    );
    // From this heartbeat on the reported tokens include the reservation.
    reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 700, 1), at(250));
    assert_eq!(
        reports.reserve("b", "r", 1, 1_000, 2, at(250)),
        ReservationOutcome::Full
    );
    reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 500, 1), at(500));
    assert_eq!(
        reports.reserve("b", "r", 100, 1_000, 2, at(500)),
        ReservationOutcome::Reserved(2)
    );
}

#[test]
fn reservations_near_the_limit_are_undecided_while_owners_are_unknown() {
    let mut reports = Reports::default();
    reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 100, 0), at(0));
    assert_eq!(
        reports.reserve("a", "r", 100, 1_000, 4, at(0)),
        ReservationOutcome::Undecided
    );
    assert_eq!(
        reports.reserve("a", "r", 100, 10_000, 4, at(0)),
        ReservationOutcome::Reserved(1)
    );
}

#[test]
fn silent_and_leaving_hosts_are_not_in_the_cluster_map() {
    let mut reports = Reports::default();
    assert!(reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 0, 0), at(0)));
    assert!(!reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 0, 0), at(250)));
    let leaving = Heartbeat {
        is_leaving: true,
        ..heartbeat(&[(0, 2)], 0, 0)
    };
    reports.record_heartbeat(&host("b", 1), leaving, at(1_000));
    let names: BTreeSet<String> = reports
        .cluster_map()
        .0
        .hosts
        .iter()
        .map(|info| info.host.clone())
        .collect();
    assert_eq!(names, BTreeSet::from(["a".to_owned()]));
    assert_eq!(reports.cluster_map().0.owners, [(0, "b".to_owned(), 2)]);
    assert_eq!(reports.remove_silent(at(2_000)), ["a"]);
}

#[test]
fn the_hint_of_a_former_coordinator_is_followed() {
    let mut tracker = CoordinatorTracker::new(host("small", 100));
    tracker.add_host(&host("middle", 300));
    tracker.record_contact("middle", at(0));
    tracker.update_coordinator(at(0));
    assert_eq!(tracker.coordinator(), "middle");
    let restarted = HostInfo {
        incarnation: 2,
        ..host("large", 500)
    };
    tracker.record_coordinator_hint(&restarted, at(250));
    assert!(tracker.update_coordinator(at(260)));
    assert_eq!(tracker.coordinator(), "large");
    assert_eq!(tracker.coordinator_info(), restarted);
}

/// 810 hosts are the fleet size that the users plan for.
#[test]
fn the_cluster_map_of_a_large_fleet_is_bounded_and_changes_little() {
    let mut reports = Reports::default();
    for number in 0..810 {
        let info = host(&format!("h{number}"), 100 + number % 3);
        reports.record_heartbeat(&info, heartbeat(&[], 0, 0), at(0));
    }
    let (before, digest) = reports.cluster_map().clone();
    assert_eq!(before.hosts.len(), 96);
    // The next coordinator is among the largest hosts, so they have to be listed.
    assert!(before.hosts.iter().filter(|info| info.size == 102).count() >= 48);
    reports.record_heartbeat(&host("h0", 100), heartbeat(&[], 7, 1), at(250));
    assert_eq!(reports.cluster_map().1, digest);
    reports.record_heartbeat(&host("new", 100), heartbeat(&[], 0, 0), at(250));
    let after = reports.cluster_map().0.clone();
    let kept = after
        .hosts
        .iter()
        .filter(|info| before.hosts.contains(info));
    assert!(kept.count() >= 95);
}

#[test]
fn reservations_of_a_lost_host_are_released() {
    let mut reports = Reports::default();
    reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1)], 0, 0), at(0));
    reports.record_heartbeat(&host("b", 1), heartbeat(&[(1, 1)], 0, 0), at(0));
    let reserved = reports.reserve("b", "r", 900, 1_000, 2, at(0));
    assert_eq!(reserved, ReservationOutcome::Reserved(1));
    reports.record_heartbeat(&host("a", 1), heartbeat(&[(0, 1), (1, 2)], 0, 0), at(2_000));
    assert_eq!(reports.remove_silent(at(2_000)), ["b"]);
    let reserved = reports.reserve("a", "r", 900, 1_000, 2, at(2_000));
    assert!(matches!(reserved, ReservationOutcome::Reserved(_)));
}

/// Hosts send their requests to a new coordinator at once, and their heartbeat up to 250 ms later.
#[test]
fn a_host_that_is_lost_before_its_first_heartbeat_is_noticed() {
    let mut reports = Reports::default();
    reports.record_requests(&host("a", 100), &mut Broker::default(), at(0));
    reports.record_requests(&host("b", 100), &mut Broker::default(), at(0));
    reports.record_heartbeat(&host("b", 1), heartbeat(&[], 0, 0), at(200));
    assert!(reports.remove_silent(at(1_400)).is_empty());
    assert_eq!(reports.remove_silent(at(1_600)), ["a"]);
    assert!(reports.remove_silent(at(1_600)).is_empty());
}
