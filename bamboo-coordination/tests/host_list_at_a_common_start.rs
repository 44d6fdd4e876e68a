//! Load pattern: all hosts of a large fleet start at once. The store appends their entries to the list of hosts one after
//! another, so that a host which enters itself before it reads the list waits for all others.

use std::time::Duration;

use bamboo_coordination::HostListStep;
use bamboo_coordination::HostListSync;
use test_case::test_case;

/// Time that the store takes for an append to a partition.
const APPEND_MS: u64 = 2;
/// Time that the store takes for a read.
const READ_MS: u64 = 4;
/// A fifth of the 300 ms target for the first event of an online response.
const KNOWN_WITHIN_MS: u64 = 60;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A host of the fleet, and the call that it waits for.
#[derive(Default)]
struct Host {
    sync: HostListSync,
    busy_until_ms: u64,
    pending: Option<HostListStep>,
    known: usize,
    known_at_ms: Option<u64>,
    reads: u32,
}

/// Plays a common start. Returns for each host when it knew at least three others, and the number of its reads.
fn play(host_count: usize, listed_before: usize, store_down_ms: u64) -> Vec<(u64, u32)> {
    let mut hosts: Vec<Host> = (0..host_count).map(|_| Host::default()).collect();
    let mut append_free_at_ms = 0;
    let mut published = 0;
    for now_ms in 0..20_000 {
        let is_down = now_ms < store_down_ms;
        for host in &mut hosts {
            if now_ms < host.busy_until_ms {
                continue;
            }
            match host.pending.take() {
                Some(HostListStep::Read) => {
                    if !is_down {
                        host.known = listed_before.max(published);
                    }
                    if host.known > 3 {
                        host.known_at_ms.get_or_insert(now_ms);
                    }
                    host.sync.record_read(!is_down, at(now_ms));
                }
                Some(HostListStep::Publish) => {
                    published += usize::from(!is_down);
                    host.sync.record_publication(!is_down, at(now_ms));
                }
                _ => {}
            }
            let step = host.sync.next_step(host.known <= 3, at(now_ms));
            host.pending = Some(step);
            host.busy_until_ms = match step {
                HostListStep::Read => {
                    host.reads += 1;
                    now_ms + READ_MS
                }
                HostListStep::Publish => {
                    append_free_at_ms = append_free_at_ms.max(now_ms) + APPEND_MS;
                    append_free_at_ms
                }
                HostListStep::Wait(wait) => now_ms + wait.as_millis().max(1) as u64,
            };
        }
    }
    assert!(
        published >= host_count,
        "{published} of {host_count} hosts entered themselves"
    );
    let outcome = hosts.iter().map(|host| {
        let known_at_ms = host.known_at_ms.expect("the host knows others");
        (known_at_ms, host.reads)
    });
    outcome.collect()
}

/// After a power failure the list still names the hosts: nobody waits for the entries of all others.
#[test_case(12)]
#[test_case(304)]
#[test_case(810)]
fn hosts_that_start_again_know_each_other_at_once(host_count: usize) {
    for (known_at_ms, reads) in play(host_count, host_count, 0) {
        assert!(
            known_at_ms <= KNOWN_WITHIN_MS,
            "known after {known_at_ms} ms"
        );
        assert!(reads <= 3, "{reads} reads in 20 s");
    }
}

/// At the first start of a deployment the list is empty. Hosts read it again until it names others, but not all the time.
#[test]
fn hosts_that_start_for_the_first_time_learn_of_others_as_they_enter_themselves() {
    for (known_at_ms, reads) in play(304, 0, 0) {
        assert!(known_at_ms <= 304 * APPEND_MS + 2 * READ_MS);
        assert!(reads <= 8, "{reads} reads in 20 s");
    }
}

/// A host that starts while the store is down enters itself and reads the list once it is back.
#[test]
fn an_outage_of_the_store_delays_the_list_by_no_more_than_a_retry() {
    let (store_down_ms, retry_ms) = (4_000, 300);
    for (known_at_ms, _) in play(40, 40, store_down_ms) {
        assert!(known_at_ms <= store_down_ms + retry_ms + 40 * APPEND_MS + 2 * READ_MS);
    }
}
