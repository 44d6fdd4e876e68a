//! Load pattern: all hosts of a large fleet start seconds before the first configuration is published. Until then no host
//! knows the backend servers, so that every host is still looking for one that does.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_coordination::CoordinatorTracker;
use bamboo_coordination::HostInfo;
use test_case::test_case;

/// Interval at which a starting host looks for hosts to probe.
const JOIN_POLL_MS: u64 = 25;
/// Time for which it does so.
const JOIN_MS: u64 = 3_000;
/// Connections of a middle host: each costs memory and a descriptor at both ends.
const LINKS_MAX: usize = 32;

fn info(index: usize) -> HostInfo {
    HostInfo {
        host: format!("10.{}.0.{index}:7640", index % 6),
        data_centre: format!("centre-{}", index % 6),
        size: [120, 120, 120, 500][index % 4],
        incarnation: 1,
        knows_servers: false,
    }
}

/// Hosts with which each host has a connection after the time for joining.
fn play(host_count: usize) -> Vec<BTreeSet<usize>> {
    let infos: Vec<HostInfo> = (0..host_count).map(info).collect();
    let mut trackers: Vec<CoordinatorTracker> = infos
        .iter()
        .map(|local| {
            let mut tracker = CoordinatorTracker::new(local.clone());
            let others = infos.iter().filter(|info| *info != local);
            others.for_each(|info| tracker.add_host(info));
            tracker
        })
        .collect();
    let mut links = vec![BTreeSet::new(); host_count];
    for now_ms in (0..JOIN_MS).step_by(JOIN_POLL_MS as usize) {
        let now = Duration::from_millis(now_ms);
        for prober in 0..host_count {
            for host in trackers[prober].due_probes(now) {
                let Some(probed) = infos.iter().position(|info| info.host == host) else {
                    continue;
                };
                trackers[probed].record_contact(&infos[prober].host, now);
                trackers[prober].record_contact(&host, now);
                links[prober].insert(probed);
                links[probed].insert(prober);
            }
            trackers[prober].update_coordinator(now);
        }
    }
    links
}

#[test_case(60)]
#[test_case(200)]
fn hosts_do_not_connect_to_all_others_while_none_knows_the_servers(host_count: usize) {
    let mut counts: Vec<usize> = play(host_count).iter().map(BTreeSet::len).collect();
    counts.sort_unstable();
    let middle = counts[host_count / 2];
    assert!(middle <= LINKS_MAX, "{middle} links of a middle host");
}
