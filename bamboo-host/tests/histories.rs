//! Randomized histories: clients and faults are generated from fixed seeds, and the invariants checked at the end.

mod support;

use std::time::Duration;

use bamboo_member::MemberViewOptions;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::check::all_jobs_ended;
use support::check::violations;
use support::clients::Client;
use support::clients::Operation;
use support::clients::call_violations;
use support::matrix::advance;
use support::trace;
use support::world::AppendFault;
use support::world::Simulation;

/// Seeds that are always run.
const SEEDS: std::ops::Range<u64> = 0..200;
/// Further seeds, each of which failed before a bug was fixed.
const REGRESSIONS: [u64; 20] = [
    310, 332, 494, 500, 637, 789, 903, 973, 1126, 1148, 1300, 1452, 1527, 1705, 1790, 1909, 2248,
    2527, 2558, 2984,
];
/// Minimum number of steps of a history.
const STEPS_MIN: u64 = 10_000;
/// Time in which clients start and faults are injected.
const ACTIVE_TIME: Duration = Duration::from_secs(40);
/// Time limit for all operations to end after the last fault.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);

struct History {
    steps: u64,
    violations: Vec<String>,
}

fn run_history(seed: u64) -> History {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let host_count = rng.random_range(2..5);
    let mut sim = Simulation::new(seed, host_count, rng.random_range(1..4));
    sim.declare_plain_server();
    if seed % 2 == 1 {
        // Failure detection of a large fleet: only two hosts watch each host, and announce its loss to the others.
        sim.members = MemberViewOptions {
            full_mesh_max: 0,
            watcher_count: 2,
            ..MemberViewOptions::default()
        };
    }
    sim.set_retention(Duration::from_secs(rng.random_range(40..80)));
    sim.run(Duration::from_secs(3));
    let mut clients = random_clients(&sim, &mut rng);
    let active_until = sim.now + ACTIVE_TIME;
    let limit = active_until + ACTIVE_TIME + COMPLETION_TIMEOUT;
    let mut next_fault = sim.now + Duration::from_millis(rng.random_range(200..3000));
    while sim.now < limit {
        sim.run(Duration::from_millis(200));
        advance(&mut sim, &mut clients);
        let is_active = sim.now < active_until || sim.steps < STEPS_MIN;
        if sim.now >= next_fault && is_active {
            random_fault(&mut sim, &mut rng);
            next_fault = sim.now + Duration::from_millis(rng.random_range(300..6000));
        }
        if !is_active {
            sim.cut_links.clear();
            sim.read_delay = Duration::ZERO;
            let is_over = clients.iter().all(|client| client.is_done) && all_jobs_ended(&sim);
            if is_over && sim.host_names().iter().all(|name| sim.is_up(name)) {
                break;
            }
        }
    }
    sim.run(Duration::from_secs(5));
    if trace::is_enabled() {
        trace::print_log(&sim);
        trace::print_hosts(&sim);
    }
    let mut found = violations(&sim);
    found.extend(call_violations(&sim));
    let unfinished = clients.iter().filter(|client| !client.is_done);
    found.extend(unfinished.map(|client| format!("not done: {:?}", client.operation)));
    History {
        steps: sim.steps,
        violations: found,
    }
}

fn random_clients(sim: &Simulation, rng: &mut ChaCha8Rng) -> Vec<Client> {
    let mut clients = Vec::new();
    for number in 0..rng.random_range(6..16) {
        let key = format!("key-{}", rng.random_range(0..6));
        let operation = match rng.random_range(0..4) {
            0 => Operation::Job {
                item_count: 10 + key.len() as u32 * 7,
                key,
            },
            1 => Operation::Change {
                name: format!("model-{}", rng.random_range(0..3)),
                version: number,
            },
            2 => Operation::Call { key },
            _ => Operation::Job {
                item_count: 10 + key.len() as u32 * 7,
                key: format!("{key}-long"),
            },
        };
        let start_at =
            sim.now + Duration::from_millis(rng.random_range(0..ACTIVE_TIME.as_millis() as u64));
        if let Operation::Job { key, .. } = &operation
            && rng.random_bool(0.3)
        {
            let later = start_at + Duration::from_millis(rng.random_range(0..4000));
            clients.push(Client::new(
                Operation::Cancel { key: key.clone() },
                later,
                rng.random_range(0..8),
            ));
        }
        clients.push(Client::new(operation, start_at, rng.random_range(0..8)));
    }
    clients
}

fn random_fault(sim: &mut Simulation, rng: &mut ChaCha8Rng) {
    let names = sim.host_names();
    let name = names[rng.random_range(0..names.len())].clone();
    let time = Duration::from_millis(rng.random_range(100..8000));
    let fault = rng.random_range(0..9);
    if trace::is_enabled() {
        println!("{:?} fault {fault} at {name} for {time:?}", sim.now);
    }
    match fault {
        0 | 1 if sim.is_up(&name) => sim.kill_for(&name, time),
        2 if sim.is_up(&name) => sim.freeze(&name, time),
        3 => sim.isolate(&name, true),
        4 => sim.cut_links.clear(),
        5 => {
            let faults = [
                AppendFault::LoseAnswer,
                AppendFault::Late,
                AppendFault::Refuse,
            ];
            sim.append_fault = faults[rng.random_range(0..3)];
            sim.append_fault_until = sim.now + time;
        }
        6 => sim.read_delay = Duration::from_millis(rng.random_range(0..1500)),
        7 if sim.is_up(&name) => sim.send_input(&name, bamboo_host::Input::Drain),
        _ => sim.must_resend = true,
    }
}

#[test]
fn random_histories_violate_no_invariant() {
    let seeds: Vec<u64> = match std::env::var("HISTORY_SEED") {
        Ok(seed) => vec![seed.parse().expect("HISTORY_SEED is a number")],
        Err(_) => SEEDS.chain(REGRESSIONS).collect(),
    };
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let results: Vec<(u64, History)> = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads)
            .map(|part| {
                let assigned_seeds: Vec<u64> =
                    seeds.iter().copied().skip(part).step_by(threads).collect();
                scope.spawn(move || {
                    assigned_seeds
                        .into_iter()
                        .map(|seed| (seed, run_history(seed)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("a history panicked"))
            .collect()
    });
    let steps: u64 = results.iter().map(|(_, history)| history.steps).sum();
    let fewest = results
        .iter()
        .map(|(_, history)| history.steps)
        .min()
        .unwrap_or(0);
    println!(
        "{} histories, {steps} steps, at least {fewest} in each",
        results.len()
    );
    let mut broken: Vec<&(u64, History)> = results
        .iter()
        .filter(|(_, history)| !history.violations.is_empty())
        .collect();
    broken.sort_by_key(|(seed, _)| *seed);
    for (seed, history) in &broken {
        println!("seed {seed}: {}", history.violations.join("; "));
    }
    assert!(
        broken.is_empty(),
        "{} histories violate invariants",
        broken.len()
    );
    assert!(fewest >= STEPS_MIN, "a history has only {fewest} steps");
}
