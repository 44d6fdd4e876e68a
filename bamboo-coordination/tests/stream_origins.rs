//! Origins of streams: their limits, and the hosts that keep them.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_coordination::ORIGIN_HOLDERS;
use bamboo_coordination::ORIGIN_HOSTS_ASKED;
use bamboo_coordination::StreamOrigins;
use bamboo_coordination::origin_hosts;
use bamboo_coordination::stream_key;
use bamboo_types::StreamOrigin;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "llm".to_owned(),
        version: version.to_owned(),
    }
}

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// The hosts but for one.
fn without(hosts: &[String], left_out: &String) -> Vec<String> {
    let others = hosts.iter().filter(|host| *host != left_out);
    others.cloned().collect()
}

/// Guards against memory that grows with the age of the process, and against a stream that is forgotten while it goes on.
#[test]
fn an_origin_expires_unless_it_is_recorded_again() {
    let mut origins = StreamOrigins::default();
    origins.record(1, origin("v1"), at(0));
    origins.record(2, origin("v2"), at(0));
    origins.record(1, origin("v1"), at(20));
    assert_eq!(origins.find(2, at(29)), Some(&origin("v2")));
    assert_eq!(origins.find(2, at(30)), None);
    origins.expire(at(30));
    assert_eq!(origins.len(), 1);
    assert_eq!(origins.find(1, at(49)), Some(&origin("v1")));
    origins.expire(at(50));
    assert!(origins.is_empty());
}

/// Guards against memory that grows with the rate of requests, also of repeated ones.
#[test]
fn the_oldest_origins_are_dropped_beyond_the_limit() {
    let mut origins = StreamOrigins::default();
    for stream in 0..65_537 {
        origins.record(stream, origin("v1"), at(0));
    }
    assert_eq!(origins.len(), 65_536);
    assert_eq!(origins.find(0, at(1)), None);
    assert!(origins.find(1, at(1)).is_some());
    for repeat in 0..200_000 {
        let now = at(2) + Duration::from_micros(repeat / 2);
        origins.record(65_536, origin("v2"), now);
    }
    assert_eq!(origins.find(65_536, at(3)), Some(&origin("v2")));
    assert!(origins.len() <= 65_536);
}

/// Guards against hosts that ask others than those that were told, after a host has failed or joined.
#[test]
fn a_host_that_fails_or_joins_changes_the_rank_of_no_other() {
    let hosts: Vec<String> = (0..20).map(|index| format!("h{index}")).collect();
    for number in 0..200 {
        let request = format!("r{number}");
        let told = origin_hosts(hosts.clone(), &request, ORIGIN_HOLDERS);
        let asked = origin_hosts(without(&hosts, &told[0]), &request, ORIGIN_HOSTS_ASKED);
        assert_eq!(asked[0], told[1]);
        let mut with_new = hosts.clone();
        with_new.push("new".to_owned());
        let asked = origin_hosts(with_new, &request, ORIGIN_HOSTS_ASKED);
        assert!(told.iter().all(|host| asked.contains(host)));
    }
}

/// Guards against links from each host to all others of a large fleet, and against holders that change with one host.
#[test]
fn the_hosts_that_keep_origins_are_few_in_a_large_fleet() {
    let hosts: Vec<String> = (0..810).map(|index| format!("h{index}")).collect();
    let mut holders = BTreeSet::new();
    for number in 0..2_000 {
        let request = format!("r{number}");
        let told = origin_hosts(hosts.clone(), &request, ORIGIN_HOLDERS);
        let asked = origin_hosts(without(&hosts, &told[0]), &request, ORIGIN_HOSTS_ASKED);
        assert!(asked.contains(&told[1]), "{request}");
        holders.extend(told);
    }
    assert!(holders.len() <= 64, "{}", holders.len());
}

/// Guards against streams that share a key, and against keys that differ between hosts.
#[test]
fn keys_depend_on_the_identifier_alone() {
    assert_eq!(
        stream_key("9c41d07be2a35f68"),
        stream_key("9c41d07be2a35f68")
    );
    assert_ne!(
        stream_key("9c41d07be2a35f68"),
        stream_key("9c41d07be2a35f69")
    );
}
