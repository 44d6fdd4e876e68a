//! How much batch work harms the online tail, and how much batch work each way gets done: policies side by side on
//! the same seeded load, over modelled engines in virtual time.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use bamboo_admit::AdmitOptions;
use bamboo_admit::AdmitStep;
use bamboo_admit::RunKey;
use bamboo_admit::ServerOwner;
use bamboo_admit::WorkItem;
use bamboo_engine::Engine;
use bamboo_engine::EngineOptions;
use bamboo_engine::Sequence;
use bamboo_log::Position;
use bamboo_route::Candidate;
use bamboo_route::ChoiceOptions;
use bamboo_route::Policy;
use bamboo_route::choose;
use hdrhistogram::Histogram;
use pico_args::Arguments;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::generate::gap;
use crate::run::RunOptions;

/// Sequences of an engine.
const CAPACITY: u32 = 64;
/// Virtual time of one run.
const RUN: Duration = Duration::from_secs(120);
/// Time until a router's notice reaches the owner, and until an owner's order reaches the engine.
const HOP: Duration = Duration::from_millis(2);
/// Online requests a second that one engine carries at full load, found by running it alone.
const ENGINE_ONLINE_RATE: f64 = 20.0;
/// Length of a burst and of the calm before it.
const BURST: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));
/// Rate within a burst as a multiple of the calm rate.
const BURST_FACTOR: f64 = 2.0;

/// Decode shares and prefills beside online requests that the sweep tries.
const SWEEP: [(f64, u32); 7] = [
    (0.0, 0),
    (0.03, 1),
    (0.06, 1),
    (0.125, 1),
    (0.25, 1),
    (0.25, 2),
    (0.4, 1),
];

/// How batch work is admitted.
#[derive(Debug, Clone, Copy)]
enum Admission {
    /// No batch at all: the measure of harm.
    None,
    /// As many as fit, whatever is online.
    Unlimited,
    /// A fixed number.
    Cap(u32),
    /// None while online requests are on the server.
    StopAll,
    /// The server owner with a weight.
    Weighed(f64),
    /// The server owner with figures of the sweep.
    Figures(Figures),
}

/// Figures that the sweep tries.
#[derive(Debug, Clone, Copy)]
struct Figures {
    decode_share: f64,
    prefill_beside_online: u32,
    hold_off: Duration,
}

struct Arm {
    name: String,
    policy: Policy,
    pack_share: f64,
    admission: Admission,
}

impl Arm {
    fn new(name: &str, policy: Policy, admission: Admission) -> Self {
        let pack_share = ChoiceOptions::default().pack_share;
        Arm {
            name: name.to_owned(),
            policy,
            pack_share,
            admission,
        }
    }
}

#[derive(Debug)]
struct Online {
    arrived_at: Duration,
    last_at: Option<Duration>,
}

struct Server {
    engine: Engine,
    owner: ServerOwner,
    admission: Admission,
    busy_until: Duration,
    online_count: u32,
    batch: BTreeMap<String, RunKey>,
    pending_tokens: Vec<bamboo_engine::Token>,
}

struct Outcome {
    first_token_us: Histogram<u64>,
    between_us: Histogram<u64>,
    batch_tokens: u64,
    idle_share: f64,
}

/// `bamboo-load experiment isolation`.
///
/// # Errors
/// Fails if a histogram cannot be made or a file cannot be written.
pub(crate) fn isolation(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    let options = RunOptions::read(&mut arguments)?;
    let is_sweep = arguments.contains("--sweep");
    let file: Option<String> = arguments.opt_value_from_str("--json")?;
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see --help"
    );
    let weight = options.deployment.batch_weight;
    let mut arms = vec![
        Arm::new(
            "online alone, least loaded",
            Policy::LeastInFlight,
            Admission::None,
        ),
        Arm::new("no isolation", Policy::LeastInFlight, Admission::Unlimited),
        Arm::new("fixed cap of 8", Policy::LeastInFlight, Admission::Cap(8)),
        Arm::new(
            "stop all, least loaded",
            Policy::LeastInFlight,
            Admission::StopAll,
        ),
        Arm::new("stop all, packed", Policy::Packed, Admission::StopAll),
        Arm::new(
            "weighed, least loaded",
            Policy::LeastInFlight,
            Admission::Weighed(weight),
        ),
        Arm::new(
            "weighed, gathered",
            Policy::LeastLoadedPacked,
            Admission::Weighed(weight),
        ),
        Arm::new(
            "weighed, packed",
            Policy::Packed,
            Admission::Weighed(weight),
        ),
    ];
    if is_sweep {
        arms.truncate(1);
        arms.extend(sweep_arms());
    }
    let servers = options.deployment.engine_count;
    println!(
        "{servers} engines, batch weight {weight}, {RUN:?} of virtual time, seed {}",
        options.seed
    );
    let mut rows = Vec::new();
    for share in [0.3, 0.6, 0.9] {
        println!(
            "-- online at {:.0}% of what the engines carry, with bursts",
            share * 100.0
        );
        println!(
            "{:<44} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>12} {:>7}",
            "way",
            "first p50",
            "first p95",
            "first p99",
            "next p95",
            "p99 ×",
            "next ×",
            "batch tok/s",
            "idle %"
        );
        let mut base: Option<(f64, f64)> = None;
        for arm in &arms {
            let outcome = simulate(arm, servers, share, options.seed)?;
            let ms =
                |histogram: &Histogram<u64>, at| histogram.value_at_quantile(at) as f64 / 1000.0;
            let (p99, next) = (
                ms(&outcome.first_token_us, 0.99),
                ms(&outcome.between_us, 0.95),
            );
            let (base_p99, base_next) = *base.get_or_insert((p99, next));
            let tokens_per_s = outcome.batch_tokens as f64 / RUN.as_secs_f64();
            println!(
                "{:<44} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>8.2} {:>8.2} {:>12.0} {:>7.1}",
                arm.name,
                ms(&outcome.first_token_us, 0.5),
                ms(&outcome.first_token_us, 0.95),
                p99,
                next,
                p99 / base_p99,
                next / base_next,
                tokens_per_s,
                outcome.idle_share * 100.0
            );
            rows.push(json!({
                "online_share": share, "way": arm.name, "first_p99_ms": p99, "next_p95_ms": next,
                "batch_tokens_per_s": tokens_per_s, "idle_share": outcome.idle_share,
            }));
        }
    }
    if let Some(file) = file {
        std::fs::write(file, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Figures of the owner for each way of routing, each with each.
fn sweep_arms() -> Vec<Arm> {
    let mut arms = Vec::new();
    for (policy, share) in [
        (Policy::LeastInFlight, 0.0),
        (Policy::Packed, 0.1),
        (Policy::Packed, 0.25),
    ] {
        for (decode_share, prefill_beside_online) in SWEEP {
            let hold_off = Duration::from_millis(100);
            let figures = Figures {
                decode_share,
                prefill_beside_online,
                hold_off,
            };
            let name =
                format!("{policy:?} {share} decode {decode_share} prefill {prefill_beside_online}");
            arms.push(Arm {
                pack_share: share,
                ..Arm::new(&name, policy, Admission::Figures(figures))
            });
        }
    }
    arms
}

fn simulate(arm: &Arm, server_count: usize, share: f64, seed: u64) -> anyhow::Result<Outcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut servers: Vec<Server> = (0..server_count)
        .map(|_| Server::new(arm.admission))
        .collect();
    let names: Vec<String> = (0..server_count)
        .map(|index| format!("server-{index}"))
        .collect();
    let arrivals = arrivals(&mut rng, server_count, share);
    let mut online: BTreeMap<String, Online> = BTreeMap::new();
    let mut outcome = Outcome {
        first_token_us: Histogram::new_with_max(600_000_000, 3)?,
        between_us: Histogram::new_with_max(600_000_000, 3)?,
        batch_tokens: 0,
        idle_share: 0.0,
    };
    let mut notices: Vec<(Duration, usize, u32)> = Vec::new();
    let mut next_arrival = 0;
    let mut next_item = 0;
    let mut idle = Duration::ZERO;
    let step = Duration::from_millis(1);
    let mut now = Duration::ZERO;
    while now < RUN {
        now += step;
        while arrivals
            .get(next_arrival)
            .is_some_and(|(at, _, _)| *at <= now)
        {
            let (at, prompt_tokens, answer_tokens) = arrivals[next_arrival];
            let index = route(arm, &servers, &names, &mut rng);
            let id = format!("o{next_arrival}");
            let sequence = Sequence {
                id: id.clone(),
                prompt_tokens,
                blocks: Vec::new(),
                completion_tokens: answer_tokens,
                resume_from: 0,
            };
            if servers[index].engine.add(sequence).is_ok() {
                servers[index].online_count += 1;
                notices.push((now + HOP, index, servers[index].online_count));
                online.insert(
                    id,
                    Online {
                        arrived_at: at,
                        last_at: None,
                    },
                );
            }
            next_arrival += 1;
        }
        for (_, index, count) in notices.extract_if(.., |(due, _, _)| *due <= now) {
            servers[index].online_heard(now, count);
        }
        for (index, server) in servers.iter_mut().enumerate() {
            if server.busy_until > now {
                continue;
            }
            for token in std::mem::take(&mut server.pending_tokens) {
                let is_online = online.contains_key(&token.id);
                if let Some(request) = online.get_mut(&token.id) {
                    match request.last_at {
                        None => outcome
                            .first_token_us
                            .saturating_record((now - request.arrived_at).as_micros() as u64),
                        Some(at) => outcome
                            .between_us
                            .saturating_record((now - at).as_micros() as u64),
                    }
                    request.last_at = Some(now);
                    if token.is_last {
                        online.remove(&token.id);
                        server.online_count -= 1;
                        notices.push((now + HOP, index, server.online_count));
                    }
                }
                if !is_online {
                    outcome.batch_tokens += 1;
                    server.batch_token(&token);
                }
            }
            server.admit(now, &mut next_item, &mut rng);
            match server.engine.step() {
                Some(iteration) => {
                    server.busy_until = now + iteration.duration;
                    server.pending_tokens = iteration.tokens;
                }
                None => idle += step,
            }
        }
    }
    outcome.idle_share = idle.as_secs_f64() / (RUN.as_secs_f64() * server_count as f64);
    Ok(outcome)
}

impl Server {
    fn new(admission: Admission) -> Self {
        let options = match admission {
            Admission::Weighed(weight) => AdmitOptions::with_batch_weight(CAPACITY, weight),
            Admission::StopAll => AdmitOptions {
                decode_share_online: 0.0,
                ..AdmitOptions::with_batch_weight(CAPACITY, 0.5)
            },
            Admission::Cap(cap) => AdmitOptions {
                capacity: cap,
                ..AdmitOptions::with_batch_weight(CAPACITY, 0.5)
            },
            Admission::Figures(figures) => AdmitOptions {
                decode_share_online: figures.decode_share,
                prefill_limit_online: figures.prefill_beside_online,
                hold_off: figures.hold_off,
                ..AdmitOptions::with_batch_weight(CAPACITY, 0.5)
            },
            Admission::None | Admission::Unlimited => {
                AdmitOptions::with_batch_weight(CAPACITY, 0.5)
            }
        };
        Server {
            engine: Engine::new(EngineOptions::default()),
            owner: ServerOwner::new(options),
            admission,
            busy_until: Duration::ZERO,
            online_count: 0,
            batch: BTreeMap::new(),
            pending_tokens: Vec::new(),
        }
    }

    /// A baseline that does not look at online requests is an owner that is never told of any.
    fn online_heard(&mut self, now: Duration, count: u32) {
        match self.admission {
            Admission::None | Admission::Unlimited | Admission::Cap(_) => {}
            Admission::StopAll | Admission::Weighed(_) | Admission::Figures(_) => {
                self.owner.set_online_count(now, "router", count);
            }
        }
    }

    fn batch_token(&mut self, token: &bamboo_engine::Token) {
        let Some(key) = self.batch.get(&token.id).copied() else {
            return;
        };
        self.owner.record_first_token(key);
        if token.is_last {
            self.batch.remove(&token.id);
            self.owner.remove(key);
        }
    }

    /// Gives the owner items without end, and carries out what it decides.
    fn admit(&mut self, now: Duration, next_item: &mut u32, rng: &mut ChaCha8Rng) {
        if matches!(self.admission, Admission::None) {
            return;
        }
        while self.owner.want_count(now) > 0 {
            *next_item += 1;
            self.owner.enqueue(now, work_item(*next_item));
        }
        loop {
            match self.owner.step(now) {
                AdmitStep::Idle => return,
                AdmitStep::Start(key) => self.start(key, rng),
                AdmitStep::Stop(key) => {
                    let id = batch_id(key);
                    self.engine.cancel(&id);
                    self.batch.remove(&id);
                    self.owner.requeue_stopped(key);
                }
            }
        }
    }

    fn start(&mut self, key: RunKey, rng: &mut ChaCha8Rng) {
        let id = batch_id(key);
        let sequence = Sequence {
            id: id.clone(),
            prompt_tokens: rng.random_range(200..800),
            blocks: Vec::new(),
            completion_tokens: rng.random_range(100..300),
            resume_from: 0,
        };
        if self.engine.add(sequence).is_ok() {
            self.batch.insert(id, key);
        }
    }
}

fn route(arm: &Arm, servers: &[Server], names: &[String], rng: &mut ChaCha8Rng) -> usize {
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .zip(names)
        .map(|(server, name)| Candidate {
            name,
            online_count: server.online_count,
            batch_count: server.batch.len() as u32,
            capacity: CAPACITY,
        })
        .collect();
    let options = ChoiceOptions {
        policy: arm.policy,
        pack_share: arm.pack_share,
        ..ChoiceOptions::default()
    };
    choose(&candidates, &options, "model", None, rng.random()).unwrap_or(0)
}

/// Arrival, prompt tokens and answer tokens of each online request: a Poisson process with bursts.
fn arrivals(
    rng: &mut ChaCha8Rng,
    server_count: usize,
    share: f64,
) -> Vec<(Duration, usize, usize)> {
    let (burst, calm) = BURST;
    let period = burst + calm;
    let mean_factor =
        (burst.as_secs_f64() * BURST_FACTOR + calm.as_secs_f64()) / period.as_secs_f64();
    let calm_rate = ENGINE_ONLINE_RATE * server_count as f64 * share / mean_factor;
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < RUN {
        let within = Duration::from_secs_f64(at.as_secs_f64() % period.as_secs_f64());
        let rate = if within >= calm {
            calm_rate * BURST_FACTOR
        } else {
            calm_rate
        };
        at += gap(rng, rate);
        arrivals.push((at, rng.random_range(100..500), rng.random_range(30..120)));
    }
    arrivals
}

fn work_item(item: u32) -> WorkItem {
    WorkItem {
        shard: 0,
        assigned_by: String::new(),
        job: 1,
        item,
        chunk: Position { offset: 0, slot: 0 },
        index_in_chunk: 0,
        model: String::new(),
        deadline_ms: 0,
        must_run_alone: false,
    }
}

fn batch_id(key: RunKey) -> String {
    format!("b{key:?}")
}
