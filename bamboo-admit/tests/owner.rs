//! Batch admission on one server under online load.

use std::time::Duration;

use bamboo_admit::AdmitOptions;
use bamboo_admit::AdmitStep;
use bamboo_admit::RunKey;
use bamboo_admit::ServerOwner;
use bamboo_admit::WorkItem;
use bamboo_log::Position;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(item: u32, must_run_alone: bool) -> WorkItem {
    WorkItem {
        shard: 0,
        assigned_by: "h1".into(),
        job: 1,
        item,
        chunk: Position {
            offset: 0,
            index: 0,
        },
        index_in_chunk: item,
        model: "m".into(),
        deadline_ms: 0,
        must_run_alone,
    }
}

/// An owner with a capacity of eight sequences, two of them available to batch under online load, and `count` items.
fn owner(count: u32) -> ServerOwner {
    let mut options = AdmitOptions::with_batch_weight(8, 0.5);
    options.decode_share_online = 0.25;
    options.prefill_limit_idle = 8;
    let mut owner = ServerOwner::new(options);
    for index in 0..count {
        owner.enqueue(at(0), item(index, false));
    }
    owner
}

fn steps(owner: &mut ServerOwner, now: Duration) -> (Vec<RunKey>, Vec<RunKey>) {
    let (mut started, mut stopped) = (Vec::new(), Vec::new());
    loop {
        match owner.step(now) {
            AdmitStep::Start(key) => started.push(key),
            AdmitStep::Stop(key) => stopped.push(key),
            AdmitStep::Idle => return (started, stopped),
        }
    }
}

#[test]
fn an_idle_server_is_filled_to_its_capacity() {
    let mut owner = owner(12);
    let (started, stopped) = steps(&mut owner, at(0));
    assert_eq!((started.len(), stopped.len()), (8, 0));
}

#[test]
fn an_online_request_stops_batch_down_to_the_decode_share_at_once() {
    let mut owner = owner(12);
    steps(&mut owner, at(0));
    owner.set_online_count(at(10), "r1", 1);
    let (started, stopped) = steps(&mut owner, at(10));
    assert_eq!((started.len(), stopped.len()), (0, 6));
}

#[test]
fn batch_restarts_only_after_the_hold_off() {
    let mut owner = owner(12);
    owner.set_online_count(at(0), "r1", 1);
    steps(&mut owner, at(0));
    owner.set_online_count(at(1000), "r1", 0);
    let running_under_online_load = owner.running_count();
    assert!(running_under_online_load <= 2);
    steps(&mut owner, at(1001));
    assert!(
        owner.running_count() <= 2,
        "batch restarted within the hold-off"
    );
    steps(&mut owner, at(1200));
    assert_eq!(owner.running_count(), 8);
}

#[test]
fn online_counts_of_routers_add_up_and_expire() {
    let mut owner = owner(0);
    owner.set_online_count(at(0), "r1", 2);
    owner.set_online_count(at(0), "r2", 3);
    assert_eq!(owner.online_count(at(1)), 5);
    owner.set_online_count(at(2500), "r2", 3);
    assert_eq!(
        owner.online_count(at(4000)),
        3,
        "the count of r1 has expired"
    );
}

#[test]
fn an_exclusive_item_runs_alone() {
    let mut owner = owner(0);
    owner.enqueue(at(0), item(0, true));
    owner.enqueue(at(0), item(1, false));
    let (started, _) = steps(&mut owner, at(0));
    assert_eq!(started.len(), 1);
    owner.remove(started[0]);
    assert_eq!(steps(&mut owner, at(1)).0.len(), 1);
}

#[test]
fn a_failing_server_starts_nothing_during_an_increasing_backoff() {
    let mut owner = owner(12);
    owner.record_failure(at(0));
    assert!(steps(&mut owner, at(100)).0.is_empty());
    assert_eq!(owner.want_count(at(100)), 0);
    owner.record_failure(at(100));
    assert!(
        !owner.is_backing_off(at(200)),
        "failures during the backoff count once"
    );
    owner.record_failure(at(300));
    assert!(owner.is_backing_off(at(600)));
}

#[test]
fn a_draining_server_starts_nothing() {
    let mut owner = owner(3);
    owner.set_draining(true);
    assert!(steps(&mut owner, at(0)).0.is_empty());
    assert_eq!(owner.want_count(at(0)), 0);
}
