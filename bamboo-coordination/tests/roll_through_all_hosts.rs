//! Load pattern: the hosts of a large fleet restart one after another, so that the cluster map changes several times a
//! second while every host reports four times a second.

use std::time::Duration;

use bamboo_coordination::ClusterMapUpdate;
use bamboo_coordination::CoordinatorTracker;
use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Reports;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const PARTITIONS: u32 = 24;
/// Interval between the restarts of two hosts.
const RESTART_GAP_MS: usize = 130;
/// Bound for what control may send to a host: 4 KB a second.
const BYTES_PER_HOST_S_MAX: usize = 4_000;

struct Host {
    info: HostInfo,
    tracker: CoordinatorTracker,
    partitions: Vec<(u32, u64)>,
}

fn host(index: usize, incarnation: u64) -> Host {
    let info = HostInfo {
        host: format!("10.{}.0.{}:7640", index % 6, index),
        data_centre: format!("centre-{}", index % 6),
        size: 120,
        incarnation,
        knows_servers: true,
    };
    Host {
        tracker: CoordinatorTracker::new(info.clone()),
        info,
        partitions: Vec::new(),
    }
}

fn encoded_len(update: &ClusterMapUpdate) -> usize {
    bincode::serde::encode_to_vec(update, bincode::config::standard())
        .unwrap()
        .len()
}

/// Plays a roll through all hosts, in which a share of the replies is lost. Returns the bytes of map updates per host and
/// second. Every host has the coordinator's map at the end.
fn play(host_count: usize, lost_share: f64, seed: u64) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut reports = Reports::default();
    let mut hosts: Vec<Host> = (0..host_count).map(|index| host(index, 1)).collect();
    for partition in 0..PARTITIONS {
        let owner = random.random_range(0..host_count);
        hosts[owner].partitions.push((partition, 1));
    }
    let interval_ms = HEARTBEAT_INTERVAL.as_millis() as usize;
    let roll_ms = host_count * RESTART_GAP_MS;
    let mut sent_bytes = 0;
    for now_ms in 0..roll_ms + 8 * interval_ms {
        let now = Duration::from_millis(now_ms as u64);
        if now_ms % RESTART_GAP_MS == 0 && now_ms < roll_ms {
            let index = now_ms / RESTART_GAP_MS;
            let partitions = std::mem::take(&mut hosts[index].partitions);
            hosts[index] = host(index, 2);
            let next_owner = random.random_range(0..host_count);
            let owned = partitions
                .into_iter()
                .map(|(partition, epoch)| (partition, epoch + 1));
            hosts[next_owner].partitions.extend(owned);
        }
        let is_settling = now_ms >= roll_ms;
        for host in hosts
            .iter_mut()
            .skip(now_ms % interval_ms)
            .step_by(interval_ms)
        {
            let heartbeat = Heartbeat {
                partitions: host.partitions.clone(),
                cluster_map_digest: host.tracker.cluster_map_digest(),
                knows_servers: true,
                ..Heartbeat::default()
            };
            reports.record_heartbeat(&host.info, heartbeat, now);
            let known_digest = host.tracker.cluster_map_digest();
            let Some(update) = reports.cluster_map_update(known_digest) else {
                continue;
            };
            sent_bytes += encoded_len(&update);
            if is_settling || !random.random_bool(lost_share) {
                host.tracker.apply_cluster_map(update);
            }
        }
    }
    let (map, digest) = reports.cluster_map().clone();
    for host in &hosts {
        assert_eq!(host.tracker.cluster_map_digest(), digest);
        for (partition, owner, _) in &map.owners {
            assert_eq!(host.tracker.owner_of(*partition).as_ref(), Some(owner));
        }
    }
    sent_bytes * 1_000 / (roll_ms + 8 * interval_ms) / host_count
}

/// Whole maps of 4 kB at each heartbeat would send several times the bound, to every host at once.
#[test_case(304, 0.0, 1; "a large fleet")]
#[test_case(304, 0.1, 2; "a large fleet that loses replies")]
#[test_case(60, 0.0, 3; "sixty hosts")]
fn a_roll_sends_each_host_no_more_than_control_may(host_count: usize, lost_share: f64, seed: u64) {
    let bytes_per_host_s = play(host_count, lost_share, seed);
    assert!(
        bytes_per_host_s <= BYTES_PER_HOST_S_MAX,
        "{bytes_per_host_s} bytes a second per host"
    );
}

/// A host that suspects the coordinator drops it from its map. A change on top of that map must not hide the difference.
#[test]
fn a_host_whose_map_differs_from_the_announced_one_gets_the_whole_map() {
    let mut reports = Reports::default();
    let coordinator = host(0, 1);
    let mut other = host(1, 1);
    let report = |reports: &mut Reports, host: &Host| {
        reports.record_heartbeat(&host.info, Heartbeat::default(), Duration::ZERO);
    };
    report(&mut reports, &coordinator);
    report(&mut reports, &other);
    let update = reports.cluster_map_update(0).unwrap();
    other.tracker.apply_cluster_map(update);
    other.tracker.add_host(&coordinator.info);
    other
        .tracker
        .record_contact(&coordinator.info.host, Duration::ZERO);
    other.tracker.update_coordinator(Duration::ZERO);
    other
        .tracker
        .connection_lost(&coordinator.info.host, Duration::ZERO);
    let known_digest = other.tracker.cluster_map_digest();
    report(&mut reports, &host(2, 1));
    let update = reports.cluster_map_update(known_digest).unwrap();
    assert!(matches!(update, ClusterMapUpdate::Change(_)));
    other.tracker.apply_cluster_map(update);
    let known_digest = other.tracker.cluster_map_digest();
    let update = reports.cluster_map_update(known_digest).unwrap();
    assert!(matches!(update, ClusterMapUpdate::Whole(_)));
    other.tracker.apply_cluster_map(update);
    assert_eq!(
        reports.cluster_map_update(other.tracker.cluster_map_digest()),
        None
    );
}
