//! Pattern: the host that ranks first restarts while the store does not respond. It knows no backend server, so that it
//! would find no slot for any request.

use std::time::Duration;

use bamboo_coordination::CoordinatorTracker;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(name: &str, size: u64, knows_servers: bool) -> HostInfo {
    HostInfo {
        host: name.to_owned(),
        data_centre: "a".to_owned(),
        size,
        incarnation: 1,
        knows_servers,
    }
}

/// A host that knows the servers and considers the middle-sized host the coordinator.
fn small_host_tracker() -> CoordinatorTracker {
    let mut tracker = CoordinatorTracker::new(host("small", 100, false));
    tracker.set_knows_servers();
    tracker.add_host(&host("middle", 300, true));
    assert!(tracker.record_contact("middle", at(0)));
    tracker.update_coordinator(at(0));
    tracker
}

#[test]
fn a_larger_host_without_the_directory_does_not_coordinate() {
    let mut tracker = small_host_tracker();
    tracker.add_host(&host("large", 500, false));
    assert!(!tracker.record_contact("large", at(10)));
    assert!(!tracker.update_coordinator(at(10)));
    assert_eq!(tracker.coordinator(), "middle");
}

#[test]
fn it_coordinates_once_it_knows_the_servers() {
    let mut tracker = small_host_tracker();
    tracker.add_host(&host("large", 500, false));
    tracker.record_contact("large", at(10));
    tracker.record_knows_servers(&host("large", 500, false));
    assert!(tracker.record_contact("large", at(20)));
    assert!(tracker.update_coordinator(at(20)));
    assert_eq!(tracker.coordinator(), "large");
}

#[test]
fn a_new_connection_does_not_withdraw_what_a_host_is_known_to_know() {
    let mut tracker = small_host_tracker();
    tracker.add_host(&host("middle", 300, false));
    assert!(!tracker.update_coordinator(at(10)));
    let restarted = HostInfo {
        incarnation: 2,
        ..host("middle", 300, false)
    };
    tracker.add_host(&restarted);
    assert!(tracker.update_coordinator(at(20)));
    assert_eq!(tracker.coordinator(), "small");
}

#[test]
fn the_restarted_host_looks_for_any_host_that_knows_the_servers() {
    let mut tracker = CoordinatorTracker::new(host("large", 500, false));
    tracker.add_host(&host("middle", 300, false));
    assert!(tracker.is_joining(at(0)));
    assert_eq!(tracker.due_probes(at(0)), ["middle"]);
    tracker.record_knows_servers(&host("middle", 300, true));
    assert!(tracker.record_contact("middle", at(5)));
    tracker.update_coordinator(at(5));
    assert_eq!(tracker.coordinator(), "middle");
    assert!(!tracker.is_joining(at(5)));
}

#[test]
fn the_cluster_map_tells_which_hosts_know_the_servers() {
    let mut reports = Reports::default();
    for (name, knows_servers) in [("large", false), ("middle", true)] {
        let heartbeat = Heartbeat {
            knows_servers,
            ..Heartbeat::default()
        };
        reports.record_heartbeat(&host(name, 300, false), heartbeat, at(0));
    }
    let (cluster_map, _) = reports.cluster_map();
    let knows: Vec<bool> = cluster_map
        .hosts
        .iter()
        .map(|info| info.knows_servers)
        .collect();
    assert_eq!(knows, [false, true]);
}
