//! Loads that the broker answers, played in virtual time against slots that know no priorities.
//!
//! The bounds are the shares that a simulation with perfect knowledge gave for the same kinds of load, less the
//! precision of a single seed (two hundredths).

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Engines and slots of a small deployment.
const SERVERS: usize = 9;
const SLOTS: usize = 8;
/// Time that an online request holds a slot.
const ONLINE_RUN_MS: u64 = 750;
/// Time that a batch item runs in all.
const BATCH_RUN_MS: u64 = 5_000;
/// Time for the first event.
const START_MS: u64 = 300;
/// Time until a batch item is due.
const DUE_MS: u64 = 18_000;
/// Arrivals last so long, then the rest may finish.
const TRAFFIC_MS: u64 = 34_000;
const FINISH_MS: u64 = 18_000;
/// What an online request and an item are worth.
const ONLINE_WORTH: f64 = 3.0;
const ONLINE_LATE_WORTH: f64 = 0.45;
const BATCH_WORTH: f64 = 18.0;

#[derive(Clone, Copy)]
struct Load {
    /// Online requests a second, mean.
    online_per_s: f64,
    /// Batch items a second, mean.
    batch_per_s: f64,
    /// A fifth of the slots is silent in this time.
    dark_ms: Option<(u64, u64)>,
    /// Items that arrive at once after 10 s.
    burst_items: u64,
}

#[derive(Clone, Copy)]
enum Kind {
    Online,
    Batch { left_ms: u64 },
}

struct Job {
    kind: Kind,
    arrived_ms: u64,
    run: Option<(String, u64)>,
}

struct Played {
    online_share: f64,
    batch_share: f64,
    payoff_share: f64,
}

/// Square waves: 3.4 s at 0.38, 2.4 s at 1.87 times the mean.
fn wave(ms: u64) -> f64 {
    if ms % 5_800 < 3_400 { 0.383 } else { 1.87 }
}

fn play(load: Load, seed: u64) -> Played {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut broker = Broker::default();
    let put = |broker: &mut Broker, index: usize, is_ready: bool, now: Duration| {
        let engine = Engine {
            server: format!("s{index}"),
            service: "llm".to_owned(),
            data_centre: format!("d{}", index % 4),
            slots: SLOTS,
            is_ready,
        };
        broker.put_engine(engine, false, now);
    };
    (0..SERVERS).for_each(|index| put(&mut broker, index, true, Duration::ZERO));
    let mut jobs: BTreeMap<SlotRequestId, Job> = BTreeMap::new();
    let mut next: SlotRequestId = 0;
    let (mut owed, mut earned) = (0.0, 0.0);
    let (mut online_owed, mut online_on_time) = (0u32, 0u32);
    let (mut batch_owed, mut batch_on_time) = (0u32, 0u32);
    for ms in 0..TRAFFIC_MS + FINISH_MS {
        let now = Duration::from_millis(ms);
        if let Some((from, until)) = load.dark_ms {
            for index in 0..SERVERS / 5 + 1 {
                if ms == from || ms == until {
                    put(&mut broker, index, ms == until, now);
                }
            }
        }
        let mut arrivals = Vec::new();
        if ms < TRAFFIC_MS {
            if random.random_bool(load.online_per_s * wave(ms) / 1_000.0) {
                arrivals.push(Kind::Online);
            }
            if random.random_bool(load.batch_per_s / 1_000.0) {
                arrivals.push(Kind::Batch {
                    left_ms: BATCH_RUN_MS,
                });
            }
            if ms == 10_000 {
                let burst = Kind::Batch {
                    left_ms: BATCH_RUN_MS,
                };
                arrivals.extend((0..load.burst_items).map(|_| burst));
            }
        }
        for kind in arrivals {
            match kind {
                Kind::Online => (owed, online_owed) = (owed + ONLINE_WORTH, online_owed + 1),
                Kind::Batch { .. } => (owed, batch_owed) = (owed + BATCH_WORTH, batch_owed + 1),
            }
            next += 1;
            let job = Job {
                kind,
                arrived_ms: ms,
                run: None,
            };
            request(&mut broker, next, &job, now);
            jobs.insert(next, job);
        }
        let ended: Vec<SlotRequestId> = jobs
            .iter()
            .filter(|(_, job)| job.run.as_ref().is_some_and(|(_, until)| *until == ms))
            .map(|(number, _)| *number)
            .collect();
        for number in ended {
            let Some(job) = jobs.remove(&number) else {
                continue;
            };
            if matches!(job.kind, Kind::Batch { .. }) && ms <= job.arrived_ms + DUE_MS {
                (earned, batch_on_time) = (earned + BATCH_WORTH, batch_on_time + 1);
            }
            let server = job.run.map(|(server, _)| server);
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
                        let Some(job) = jobs.get_mut(&request) else {
                            continue;
                        };
                        let run_ms = match job.kind {
                            Kind::Online if ms + 35 <= job.arrived_ms + START_MS => {
                                (earned, online_on_time) =
                                    (earned + ONLINE_WORTH, online_on_time + 1);
                                ONLINE_RUN_MS
                            }
                            Kind::Online => {
                                earned += ONLINE_LATE_WORTH;
                                ONLINE_RUN_MS
                            }
                            Kind::Batch { left_ms } => left_ms,
                        };
                        job.run = Some((server, ms + run_ms));
                    }
                    Action::Preempt {
                        request: number, ..
                    } => {
                        let Some(mut job) = jobs.remove(&number) else {
                            continue;
                        };
                        if let (Some((_, until)), Kind::Batch { .. }) = (job.run.take(), job.kind) {
                            job.kind = Kind::Batch {
                                left_ms: until - ms + 20,
                            };
                        }
                        next += 1;
                        request(&mut broker, next, &job, now);
                        jobs.insert(next, job);
                    }
                    Action::Refuse { request, .. } => {
                        jobs.remove(&request);
                    }
                    Action::Queue { .. } => {}
                }
            }
        }
    }
    Played {
        online_share: f64::from(online_on_time) / f64::from(online_owed),
        batch_share: f64::from(batch_on_time) / f64::from(batch_owed),
        payoff_share: earned / owed,
    }
}

fn request(broker: &mut Broker, number: SlotRequestId, job: &Job, now: Duration) {
    let arrived = Duration::from_millis(job.arrived_ms);
    let work = match job.kind {
        Kind::Online => Work::Online {
            start_by: arrived + Duration::from_millis(START_MS),
            expires_at: arrived + Duration::from_millis(5_000),
        },
        Kind::Batch { left_ms } => Work::Batch {
            due: arrived + Duration::from_millis(DUE_MS),
            remaining: Duration::from_millis(left_ms),
        },
    };
    let request = SlotRequest {
        host: "h".to_owned(),
        id: number,
        service: "llm".to_owned(),
        data_centre: "d0".to_owned(),
        work,
        excluded: Vec::new(),
    };
    broker.request_slot(request, now);
}

const ORDINARY: Load = Load {
    online_per_s: 41.0,
    batch_per_s: 5.1,
    dark_ms: None,
    burst_items: 0,
};

#[test]
fn square_waves_are_served_in_full() {
    let played = play(ORDINARY, 1);
    assert!(played.online_share >= 0.98, "{}", played.online_share);
    assert!(played.batch_share >= 0.98, "{}", played.batch_share);
}

#[test]
fn a_fifth_of_the_slots_dark_costs_no_more_than_the_simulation_says() {
    let load = Load {
        online_per_s: 41.0 * 1.25,
        batch_per_s: 5.1 * 1.25,
        dark_ms: Some((12_000, 22_000)),
        ..ORDINARY
    };
    let played = play(load, 2);
    assert!(
        played.payoff_share >= 0.90 - 0.02,
        "{}",
        played.payoff_share
    );
}

#[test]
fn a_burst_of_jobs_does_not_touch_online_requests() {
    let load = Load {
        burst_items: 90,
        ..ORDINARY
    };
    let played = play(load, 3);
    assert!(played.online_share >= 0.98, "{}", played.online_share);
    assert!(played.batch_share >= 0.90, "{}", played.batch_share);
}
