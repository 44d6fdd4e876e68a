//! Simulates the broker under load in virtual time, with engines that have no priorities of their own.
//!
//! The bounds are the shares that a simulation with perfect knowledge reached for the same kinds of load, less 0.02 for
//! the spread of a single seed.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Engines of a small deployment, and slots of each.
const SERVERS: usize = 9;
const SLOTS: usize = 8;
/// Time that an online request occupies a slot.
const ONLINE_RUN_MS: u64 = 750;
/// Total run time of a batch item.
const BATCH_RUN_MS: u64 = 5_000;
/// Target time for the first event of an online answer.
const ONLINE_START_MS: u64 = 300;
/// Time from the arrival of a batch item to its due time.
const BATCH_DUE_MS: u64 = 18_000;
/// Duration of arrivals, followed by the time in which queued work may complete.
const TRAFFIC_MS: u64 = 34_000;
const FINISH_MS: u64 = 18_000;
/// Values of an online request on time, a late online request and a batch item on time.
const ONLINE_VALUE: f64 = 3.0;
const ONLINE_LATE_VALUE: f64 = 0.45;
const BATCH_VALUE: f64 = 18.0;

#[derive(Clone, Copy)]
struct Load {
    /// Mean rate of online requests per second.
    online_per_s: f64,
    /// Mean rate of batch items per second.
    batch_per_s: f64,
    /// Interval in which about a fifth of the engines is not ready.
    outage_ms: Option<(u64, u64)>,
    /// Number of batch items that arrive at once after 10 s.
    burst_items: u64,
}

#[derive(Clone, Copy)]
enum TaskKind {
    Online,
    Batch { remaining_ms: u64 },
}

struct Task {
    kind: TaskKind,
    arrived_ms: u64,
    run: Option<(String, u64)>,
}

struct LoadResult {
    online_share: f64,
    batch_share: f64,
    value_share: f64,
}

/// Square wave of the online rate: 3.4 s at 0.38 times the mean, then 2.4 s at 1.87 times the mean.
fn square_wave(ms: u64) -> f64 {
    if ms % 5_800 < 3_400 { 0.383 } else { 1.87 }
}

fn simulate(load: Load, seed: u64) -> LoadResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut broker = Broker::default();
    let put_engine = |broker: &mut Broker, index: usize, is_ready: bool, now: Duration| {
        let engine = Engine {
            server: format!("s{index}"),
            service: "llm".to_owned(),
            data_centre: format!("d{}", index % 4),
            slots: SLOTS,
            is_ready,
            version: "v1".to_owned(),
        };
        broker.put_engine(engine, false, now);
    };
    (0..SERVERS).for_each(|index| put_engine(&mut broker, index, true, Duration::ZERO));
    let mut tasks: BTreeMap<SlotRequestId, Task> = BTreeMap::new();
    let mut next_id: SlotRequestId = 0;
    let (mut offered, mut earned) = (0.0, 0.0);
    let (mut online_offered, mut online_on_time) = (0u32, 0u32);
    let (mut batch_offered, mut batch_on_time) = (0u32, 0u32);
    for ms in 0..TRAFFIC_MS + FINISH_MS {
        let now = Duration::from_millis(ms);
        if let Some((from, until)) = load.outage_ms {
            for index in 0..SERVERS / 5 + 1 {
                if ms == from || ms == until {
                    put_engine(&mut broker, index, ms == until, now);
                }
            }
        }
        let mut arrivals = Vec::new();
        if ms < TRAFFIC_MS {
            if random.random_bool(load.online_per_s * square_wave(ms) / 1_000.0) {
                arrivals.push(TaskKind::Online);
            }
            if random.random_bool(load.batch_per_s / 1_000.0) {
                arrivals.push(TaskKind::Batch {
                    remaining_ms: BATCH_RUN_MS,
                });
            }
            if ms == 10_000 {
                let burst = TaskKind::Batch {
                    remaining_ms: BATCH_RUN_MS,
                };
                arrivals.extend((0..load.burst_items).map(|_| burst));
            }
        }
        for kind in arrivals {
            match kind {
                TaskKind::Online => {
                    (offered, online_offered) = (offered + ONLINE_VALUE, online_offered + 1)
                }
                TaskKind::Batch { .. } => {
                    (offered, batch_offered) = (offered + BATCH_VALUE, batch_offered + 1)
                }
            }
            next_id += 1;
            let task = Task {
                kind,
                arrived_ms: ms,
                run: None,
            };
            request_slot(&mut broker, next_id, &task, now);
            tasks.insert(next_id, task);
        }
        let ended: Vec<SlotRequestId> = tasks
            .iter()
            .filter(|(_, task)| task.run.as_ref().is_some_and(|(_, until)| *until == ms))
            .map(|(number, _)| *number)
            .collect();
        for number in ended {
            let Some(task) = tasks.remove(&number) else {
                continue;
            };
            if matches!(task.kind, TaskKind::Batch { .. }) && ms <= task.arrived_ms + BATCH_DUE_MS {
                (earned, batch_on_time) = (earned + BATCH_VALUE, batch_on_time + 1);
            }
            let server = task.run.map(|(server, _)| server);
            broker.release("h", number, server.as_deref(), RunOutcome::Done, now);
        }
        if ms % 250 == 0 {
            broker.tick(now);
        }
        loop {
            let actions = broker.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Grant {
                        request, server, ..
                    } => {
                        let Some(task) = tasks.get_mut(&request) else {
                            continue;
                        };
                        let run_ms = match task.kind {
                            TaskKind::Online if ms + 35 <= task.arrived_ms + ONLINE_START_MS => {
                                (earned, online_on_time) =
                                    (earned + ONLINE_VALUE, online_on_time + 1);
                                ONLINE_RUN_MS
                            }
                            TaskKind::Online => {
                                earned += ONLINE_LATE_VALUE;
                                ONLINE_RUN_MS
                            }
                            TaskKind::Batch { remaining_ms } => remaining_ms,
                        };
                        task.run = Some((server, ms + run_ms));
                    }
                    Action::Preempt {
                        request: number, ..
                    } => {
                        let Some(mut task) = tasks.remove(&number) else {
                            continue;
                        };
                        if let (Some((_, until)), TaskKind::Batch { .. }) =
                            (task.run.take(), task.kind)
                        {
                            task.kind = TaskKind::Batch {
                                remaining_ms: until - ms + 20,
                            };
                        }
                        next_id += 1;
                        request_slot(&mut broker, next_id, &task, now);
                        tasks.insert(next_id, task);
                    }
                    Action::Refuse { request, .. } => {
                        tasks.remove(&request);
                    }
                    Action::Queue { .. } => {}
                    Action::NoServer { .. } => panic!("no request requires a version"),
                }
            }
        }
    }
    LoadResult {
        online_share: f64::from(online_on_time) / f64::from(online_offered),
        batch_share: f64::from(batch_on_time) / f64::from(batch_offered),
        value_share: earned / offered,
    }
}

fn request_slot(broker: &mut Broker, number: SlotRequestId, task: &Task, now: Duration) {
    let arrived = Duration::from_millis(task.arrived_ms);
    let work = match task.kind {
        TaskKind::Online => Work::Online {
            start_by: arrived + Duration::from_millis(ONLINE_START_MS),
            expires_at: arrived + Duration::from_millis(5_000),
        },
        TaskKind::Batch { remaining_ms } => Work::Batch {
            due: arrived + Duration::from_millis(BATCH_DUE_MS),
            remaining: Duration::from_millis(remaining_ms),
        },
    };
    let request = SlotRequest {
        host: "h".to_owned(),
        id: number,
        service: "llm".to_owned(),
        data_centre: "d0".to_owned(),
        work,
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
    };
    broker.request_slot(request, now);
}

const NORMAL_LOAD: Load = Load {
    online_per_s: 41.0,
    batch_per_s: 5.1,
    outage_ms: None,
    burst_items: 0,
};

#[test]
fn a_square_wave_load_is_served_on_time() {
    let result = simulate(NORMAL_LOAD, 1);
    assert!(result.online_share >= 0.98, "{}", result.online_share);
    assert!(result.batch_share >= 0.98, "{}", result.batch_share);
}

#[test]
fn an_outage_of_a_fifth_of_the_slots_keeps_the_value_share() {
    let load = Load {
        online_per_s: 41.0 * 1.25,
        batch_per_s: 5.1 * 1.25,
        outage_ms: Some((12_000, 22_000)),
        ..NORMAL_LOAD
    };
    let result = simulate(load, 2);
    assert!(result.value_share >= 0.90 - 0.02, "{}", result.value_share);
}

#[test]
fn a_burst_of_batch_items_does_not_delay_online_requests() {
    let load = Load {
        burst_items: 90,
        ..NORMAL_LOAD
    };
    let result = simulate(load, 3);
    assert!(result.online_share >= 0.98, "{}", result.online_share);
    assert!(result.batch_share >= 0.90, "{}", result.batch_share);
}
