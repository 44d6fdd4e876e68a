//! Route lookup, the server directory, the SSE decoder and the grace period after a store outage.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Directory;
use bamboo_fleet::DirectoryChange;
use bamboo_fleet::FleetConfig;
use bamboo_fleet::OutageGracePeriod;
use bamboo_fleet::Route;
use bamboo_fleet::RouteKind;
use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_fleet::SseDecoder;
use test_case::test_case;

fn route(name: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: None,
        target_latency: Duration::from_millis(300),
        priority: 0,
        targets: Vec::new(),
        attempts_max: 2,
        is_public: false,
    })
}

fn server(id: &str, state: ServerState, started_at_ms: u64) -> Server {
    Server {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 8,
        state,
        started_at_ms,
        version: "v1".to_owned(),
    }
}

#[test_case("h.example", "/a/b/c", Some("long"))]
#[test_case("h.example", "/a/c", Some("short"))]
#[test_case("h.example", "/b", None)]
#[test_case("other.example", "/a/b/c", None)]
fn the_longest_matching_prefix_wins(host: &str, path: &str, expected: Option<&str>) {
    let config = FleetConfig {
        version: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        ..FleetConfig::default()
    };
    let found = config
        .find_route(host, path)
        .map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

fn batch_route(name: &str, path_prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        kind: RouteKind::Batch {
            waiting_max_tokens: 0,
            completion_target: Duration::ZERO,
            retention: Duration::ZERO,
        },
        ..Route::clone(&route(name, path_prefix))
    })
}

/// Guards against items that are given up, or run by the service of another route, because their path is not below the prefix of
/// the route that their job was accepted on.
#[test_case("h.example", "jobs", "/v1/generate", Some("jobs"); "a path of no route")]
#[test_case("h.example", "jobs", "/online/1", Some("jobs"); "a path of a route for online requests")]
#[test_case("h.example", "jobs", "/other/1", Some("jobs"); "a path of another batch route")]
#[test_case("h.example", "removed", "/online/1", None; "a removed route whose items have a path of a route for online requests")]
#[test_case("h.example", "renamed", "/other/1", Some("other"); "a renamed route")]
#[test_case("other.example", "jobs", "/jobs/1", None; "a route of another host")]
fn items_belong_to_the_route_of_their_job(
    host: &str,
    name: &str,
    item_path: &str,
    expected: Option<&str>,
) {
    let config = FleetConfig {
        version: 1,
        routes: vec![
            route("online", "/online/"),
            batch_route("other", "/other/"),
            batch_route("jobs", "/jobs/"),
        ],
        ..FleetConfig::default()
    };
    let found = config.find_job_route(host, name, item_path);
    assert_eq!(found.map(|route| route.name.as_str()), expected);
}

#[test]
fn a_draining_server_is_not_ready_and_a_repeated_entry_changes_nothing() {
    let mut directory = Directory::default();
    directory.put(server("s", ServerState::Ready, 1), Duration::ZERO);
    assert_eq!(
        directory.put(server("s", ServerState::Ready, 1), Duration::ZERO),
        DirectoryChange::Unchanged
    );
    assert_eq!(directory.ready("llm", Duration::ZERO).len(), 1);
    directory.put(server("s", ServerState::Draining, 1), Duration::ZERO);
    assert!(directory.ready("llm", Duration::ZERO).is_empty());
}

#[test]
fn another_start_under_the_same_identifier_is_reported_as_a_restart() {
    let mut directory = Directory::default();
    directory.put(server("s", ServerState::Ready, 1), Duration::ZERO);
    let change = directory.put(server("s", ServerState::Ready, 2), Duration::ZERO);
    assert!(matches!(change, DirectoryChange::Restarted(_)));
}

/// Guards against a new process at the address of one that crashed, which is not noticed while the entry of the crashed one is
/// there, and against the entry of an earlier process that is taken for a new one.
#[test]
fn a_server_has_restarted_if_another_entry_has_appeared_at_its_address() {
    let at = Duration::from_secs;
    let mut directory = Directory::default();
    directory.put(server("earlier", ServerState::Ready, 1), at(1));
    directory.put(server("s", ServerState::Ready, 1), at(2));
    let running = server("s", ServerState::Ready, 1);
    assert!(!directory.has_restarted(&running, at(3)));
    directory.put(server("later", ServerState::Ready, 1), at(4));
    assert!(directory.has_restarted(&running, at(3)));
    assert!(!directory.has_restarted(&running, at(5)));
}

#[test]
fn recently_removed_servers_are_a_fallback_for_a_limited_time() {
    let mut directory = Directory::default();
    directory.put(server("s1", ServerState::Ready, 1), Duration::ZERO);
    directory.put(server("s2", ServerState::Ready, 1), Duration::ZERO);
    directory.remove("s1", Duration::from_secs(10));
    let ids = |directory: &Directory, ms: u64| -> Vec<String> {
        let ready = directory.ready("llm", Duration::from_millis(ms));
        ready.iter().map(|server| server.id.clone()).collect()
    };
    assert_eq!(ids(&directory, 10_100), ["s2"]);
    directory.remove("s2", Duration::from_secs(11));
    assert_eq!(ids(&directory, 11_100), ["s1", "s2"]);
    // A server that has left must not receive requests any more after 2 s.
    assert!(ids(&directory, 13_000).is_empty());
}

/// Guards against a version that is forgotten while callers still return to its streams, or never.
#[test]
fn versions_of_removed_servers_are_remembered_for_a_limited_time() {
    let at = Duration::from_millis;
    let of = |id: &str, version: &str| Server {
        version: version.to_owned(),
        ..server(id, ServerState::Draining, 1)
    };
    let versions = |directory: &Directory, ms: u64| -> Vec<String> {
        directory.versions("llm", at(ms)).into_iter().collect()
    };
    let mut directory = Directory::default();
    directory.put(of("s1", "v1"), at(0));
    directory.put(of("s2", "v2"), at(0));
    assert!(directory.versions("other", at(0)).is_empty());
    directory.remove("s1", at(1_000));
    directory.expire(at(5_000));
    assert_eq!(versions(&directory, 5_000), ["v1", "v2"]);
    // Another version under the same identifier.
    directory.put(of("s2", "v3"), at(6_000));
    assert_eq!(versions(&directory, 6_000), ["v1", "v2", "v3"]);
    assert_eq!(versions(&directory, 11_500), ["v2", "v3"]);
    directory.expire(at(16_500));
    assert_eq!(versions(&directory, 16_500), ["v3"]);
}

#[test]
fn events_are_decoded_however_the_bytes_are_split() {
    let bytes = b"id: 1\ndata: a\n\nid: 2\nx-versions: 3\ndata: b\ndata: c\n\nid: 3\nda";
    for split_at in 0..bytes.len() {
        let mut decoder = SseDecoder::default();
        let mut events = decoder.push(&bytes[..split_at]).unwrap();
        events.extend(decoder.push(&bytes[split_at..]).unwrap());
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2)]);
        assert_eq!(events[1].data().unwrap(), b"b\nc");
        assert!(decoder.has_partial());
    }
}

#[test]
fn crlf_line_ends_are_accepted() {
    let events = SseDecoder::default()
        .push(b"id: 4\r\ndata: a\r\n\r\n")
        .unwrap();
    assert_eq!(events[0].id, Some(4));
    assert_eq!(events[0].data().unwrap(), b"a");
}

#[test]
fn entries_that_expired_during_a_store_outage_may_be_renewed_within_the_grace_period() {
    let at = Duration::from_millis;
    let mut grace = OutageGracePeriod::default();
    grace.record_store_read(true, at(0));
    assert!(!grace.defer_removal("s0", at(100)));
    grace.record_store_read(false, at(1_000));
    grace.record_store_read(true, at(5_000));
    assert!(grace.defer_removal("s1", at(5_000)));
    assert!(grace.defer_removal("s2", at(6_000)));
    grace.entry_renewed("s1");
    assert!(grace.take_expired(at(7_000)).is_empty());
    assert_eq!(
        grace
            .take_expired(at(7_200))
            .into_iter()
            .collect::<Vec<_>>(),
        ["s2"]
    );
    assert!(!grace.defer_removal("s3", at(7_300)));
}

/// Guards against a server that has left during an outage of the store and gets requests until the next read returns, which
/// may take another second.
#[test]
fn a_deferred_removal_is_due_at_the_end_of_the_grace_period() {
    let at = Duration::from_millis;
    let mut grace = OutageGracePeriod::default();
    assert_eq!(grace.removals_due_at(), None);
    grace.record_store_read(false, at(1_000));
    grace.record_store_read(true, at(5_000));
    assert_eq!(grace.removals_due_at(), None, "no removal is deferred");
    assert!(grace.defer_removal("s1", at(5_000)));
    let due_at = grace.removals_due_at().unwrap();
    assert!(grace.take_expired(due_at - at(1)).is_empty());
    assert_eq!(grace.take_expired(due_at).len(), 1);
    assert_eq!(grace.removals_due_at(), None);
}

/// Guards against a server that said that it leaves and gets requests again when its entry is renewed, or lapses and returns.
#[test]
fn a_server_that_said_that_it_leaves_stays_out_whatever_its_entry_says() {
    let at = Duration::from_secs;
    let mut directory = Directory::default();
    let ready = |directory: &Directory, now| directory.ready("llm", now).len();
    directory.put(server("a", ServerState::Ready, 1), at(0));
    directory.mark_leaving("a", at(1));
    assert_eq!(ready(&directory, at(1)), 0);
    directory.put(server("a", ServerState::Ready, 1), at(2));
    assert_eq!(ready(&directory, at(2)), 0);
    directory.remove("a", at(3));
    assert_eq!(
        ready(&directory, at(3)),
        0,
        "no fallback to a server that leaves"
    );
    directory.put(server("a", ServerState::Ready, 1), at(60));
    directory.expire(at(4_000));
    assert_eq!(ready(&directory, at(4_000)), 0);
    // Another process under the same identifier has said nothing.
    directory.put(server("a", ServerState::Ready, 2), at(4_001));
    assert_eq!(ready(&directory, at(4_001)), 1);
    directory.mark_leaving("a", at(4_002));
    assert_eq!(ready(&directory, at(4_002)), 0);
}

/// Guards against a server that is used for want of others just after its entry has gone, although it says that it leaves.
#[test]
fn a_server_without_an_entry_that_says_that_it_leaves_is_no_fallback() {
    let at = Duration::from_millis;
    let mut directory = Directory::default();
    directory.put(server("a", ServerState::Ready, 1), at(0));
    directory.remove("a", at(10));
    assert_eq!(directory.ready("llm", at(20)).len(), 1);
    directory.mark_leaving("a", at(30));
    assert_eq!(directory.ready("llm", at(40)).len(), 0);
}
