//! Compares routing and admission policies by the tail latency of online requests and the throughput of batch work.
//! All variants run the same seeded load on simulated engines in virtual time.

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

use crate::generate::interarrival_time;
use crate::run::RunOptions;

/// Maximum concurrent sequences of an engine.
const ENGINE_CAPACITY: u32 = 64;
/// Duration of a simulation in virtual time.
const RUN_DURATION: Duration = Duration::from_secs(120);
/// Delay until a router's change of the online count reaches the server owner.
const NOTIFICATION_DELAY: Duration = Duration::from_millis(2);
/// Online requests per second that one engine sustains at full load, measured on a single engine.
const ENGINE_ONLINE_RATE: f64 = 20.0;
/// Duration of a burst, and of the calm period before it.
const BURST_AND_CALM: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));
/// Arrival rate during a burst as a multiple of the calm rate.
const BURST_FACTOR: f64 = 2.0;

/// Pairs of `decode_share_online` and `prefill_limit_online` that the sweep tries.
const SWEEP_POINTS: [(f64, u32); 7] = [
    (0.0, 0),
    (0.03, 1),
    (0.06, 1),
    (0.125, 1),
    (0.25, 1),
    (0.25, 2),
    (0.4, 1),
];

/// Policy for admitting batch work to an engine.
#[derive(Debug, Clone, Copy)]
enum Admission {
    /// No batch work: the baseline for online latency.
    None,
    /// As many items as fit, regardless of online requests.
    Unlimited,
    /// At most this many items, regardless of online requests.
    Cap(u32),
    /// No items while the server has online requests.
    StopAll,
    /// The limits that the server owner derives from this batch weight.
    Weighted(f64),
    /// The limits of a point of the sweep.
    Swept(SweepPoint),
}

/// Admission limits that the sweep tries.
#[derive(Debug, Clone, Copy)]
struct SweepPoint {
    decode_share: f64,
    prefill_limit: u32,
    hold_off: Duration,
}

struct Variant {
    name: String,
    policy: Policy,
    pack_share: f64,
    admission: Admission,
}

impl Variant {
    fn new(name: &str, policy: Policy, admission: Admission) -> Self {
        let pack_share = ChoiceOptions::default().pack_share;
        Variant {
            name: name.to_owned(),
            policy,
            pack_share,
            admission,
        }
    }
}

#[derive(Debug)]
struct OnlineSequence {
    arrived_at: Duration,
    last_token_at: Option<Duration>,
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
    inter_token_us: Histogram<u64>,
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
        "unknown arguments; see bamboo-load --help"
    );
    let weight = options.deployment.batch_weight;
    let mut variants = vec![
        Variant::new(
            "online alone, least loaded",
            Policy::LeastInFlight,
            Admission::None,
        ),
        Variant::new("no isolation", Policy::LeastInFlight, Admission::Unlimited),
        Variant::new("fixed cap of 8", Policy::LeastInFlight, Admission::Cap(8)),
        Variant::new(
            "stop all, least loaded",
            Policy::LeastInFlight,
            Admission::StopAll,
        ),
        Variant::new("stop all, packed", Policy::Packed, Admission::StopAll),
        Variant::new(
            "weighed, least loaded",
            Policy::LeastInFlight,
            Admission::Weighted(weight),
        ),
        Variant::new(
            "weighed, gathered",
            Policy::LeastLoadedPacked,
            Admission::Weighted(weight),
        ),
        Variant::new(
            "weighed, packed",
            Policy::Packed,
            Admission::Weighted(weight),
        ),
    ];
    if is_sweep {
        variants.truncate(1);
        variants.extend(sweep_variants());
    }
    let servers = options.deployment.engine_count;
    println!(
        "{servers} engines, batch weight {weight}, {RUN_DURATION:?} of virtual time, seed {}",
        options.seed
    );
    let mut rows = Vec::new();
    for online_share in [0.3, 0.6, 0.9] {
        println!(
            "-- online load at {:.0}% of engine capacity, with bursts",
            online_share * 100.0
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
        let mut baseline: Option<(f64, f64)> = None;
        for variant in &variants {
            let outcome = simulate(variant, servers, online_share, options.seed)?;
            let ms =
                |histogram: &Histogram<u64>, at| histogram.value_at_quantile(at) as f64 / 1000.0;
            let (p99, next) = (
                ms(&outcome.first_token_us, 0.99),
                ms(&outcome.inter_token_us, 0.95),
            );
            let (baseline_p99, baseline_next) = *baseline.get_or_insert((p99, next));
            let tokens_per_s = outcome.batch_tokens as f64 / RUN_DURATION.as_secs_f64();
            println!(
                "{:<44} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>8.2} {:>8.2} {:>12.0} {:>7.1}",
                variant.name,
                ms(&outcome.first_token_us, 0.5),
                ms(&outcome.first_token_us, 0.95),
                p99,
                next,
                p99 / baseline_p99,
                next / baseline_next,
                tokens_per_s,
                outcome.idle_share * 100.0
            );
            rows.push(json!({
                "online_share": online_share, "way": variant.name, "first_p99_ms": p99, "next_p95_ms": next,
                "batch_tokens_per_s": tokens_per_s, "idle_share": outcome.idle_share,
            }));
        }
    }
    if let Some(file) = file {
        std::fs::write(file, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns every combination of a routing policy and a sweep point.
fn sweep_variants() -> Vec<Variant> {
    let mut variants = Vec::new();
    for (policy, pack_share) in [
        (Policy::LeastInFlight, 0.0),
        (Policy::Packed, 0.1),
        (Policy::Packed, 0.25),
    ] {
        for (decode_share, prefill_limit) in SWEEP_POINTS {
            let hold_off = Duration::from_millis(100);
            let point = SweepPoint {
                decode_share,
                prefill_limit,
                hold_off,
            };
            let name =
                format!("{policy:?} {pack_share} decode {decode_share} prefill {prefill_limit}");
            variants.push(Variant {
                pack_share,
                ..Variant::new(&name, policy, Admission::Swept(point))
            });
        }
    }
    variants
}

fn simulate(
    variant: &Variant,
    server_count: usize,
    online_share: f64,
    seed: u64,
) -> anyhow::Result<Outcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut servers: Vec<Server> = (0..server_count)
        .map(|_| Server::new(variant.admission))
        .collect();
    let names: Vec<String> = (0..server_count)
        .map(|index| format!("server-{index}"))
        .collect();
    let arrivals = arrivals(&mut rng, server_count, online_share);
    let mut online: BTreeMap<String, OnlineSequence> = BTreeMap::new();
    let mut outcome = Outcome {
        first_token_us: Histogram::new_with_max(600_000_000, 3)?,
        inter_token_us: Histogram::new_with_max(600_000_000, 3)?,
        batch_tokens: 0,
        idle_share: 0.0,
    };
    let mut notifications: Vec<(Duration, usize, u32)> = Vec::new();
    let mut next_arrival = 0;
    let mut next_item = 0;
    let mut idle = Duration::ZERO;
    let step = Duration::from_millis(1);
    let mut now = Duration::ZERO;
    while now < RUN_DURATION {
        now += step;
        while arrivals
            .get(next_arrival)
            .is_some_and(|(at, _, _)| *at <= now)
        {
            let (at, prompt_tokens, completion_tokens) = arrivals[next_arrival];
            let index = route(variant, &servers, &names, &mut rng);
            let id = format!("o{next_arrival}");
            let sequence = Sequence {
                id: id.clone(),
                prompt_tokens,
                blocks: Vec::new(),
                completion_tokens,
                resume_from: 0,
            };
            if servers[index].engine.add(sequence).is_ok() {
                servers[index].online_count += 1;
                notifications.push((now + NOTIFICATION_DELAY, index, servers[index].online_count));
                online.insert(
                    id,
                    OnlineSequence {
                        arrived_at: at,
                        last_token_at: None,
                    },
                );
            }
            next_arrival += 1;
        }
        for (_, index, count) in notifications.extract_if(.., |(due, _, _)| *due <= now) {
            servers[index].notify_online_count(now, count);
        }
        for (index, server) in servers.iter_mut().enumerate() {
            if server.busy_until > now {
                continue;
            }
            for token in std::mem::take(&mut server.pending_tokens) {
                let is_online = online.contains_key(&token.id);
                if let Some(request) = online.get_mut(&token.id) {
                    match request.last_token_at {
                        None => outcome
                            .first_token_us
                            .saturating_record((now - request.arrived_at).as_micros() as u64),
                        Some(at) => outcome
                            .inter_token_us
                            .saturating_record((now - at).as_micros() as u64),
                    }
                    request.last_token_at = Some(now);
                    if token.is_last {
                        online.remove(&token.id);
                        server.online_count -= 1;
                        notifications.push((now + NOTIFICATION_DELAY, index, server.online_count));
                    }
                }
                if !is_online {
                    outcome.batch_tokens += 1;
                    server.record_batch_token(&token);
                }
            }
            server.admit_batch(now, &mut next_item, &mut rng);
            match server.engine.step() {
                Some(iteration) => {
                    server.busy_until = now + iteration.duration;
                    server.pending_tokens = iteration.tokens;
                }
                None => idle += step,
            }
        }
    }
    outcome.idle_share = idle.as_secs_f64() / (RUN_DURATION.as_secs_f64() * server_count as f64);
    Ok(outcome)
}

impl Server {
    fn new(admission: Admission) -> Self {
        let options = match admission {
            Admission::Weighted(weight) => AdmitOptions::with_batch_weight(ENGINE_CAPACITY, weight),
            Admission::StopAll => AdmitOptions {
                decode_share_online: 0.0,
                ..AdmitOptions::with_batch_weight(ENGINE_CAPACITY, 0.5)
            },
            Admission::Cap(cap) => AdmitOptions {
                capacity: cap,
                ..AdmitOptions::with_batch_weight(ENGINE_CAPACITY, 0.5)
            },
            Admission::Swept(point) => AdmitOptions {
                decode_share_online: point.decode_share,
                prefill_limit_online: point.prefill_limit,
                hold_off: point.hold_off,
                ..AdmitOptions::with_batch_weight(ENGINE_CAPACITY, 0.5)
            },
            Admission::None | Admission::Unlimited => {
                AdmitOptions::with_batch_weight(ENGINE_CAPACITY, 0.5)
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

    /// Tells the owner the online count, except under policies that ignore online requests.
    fn notify_online_count(&mut self, now: Duration, count: u32) {
        match self.admission {
            Admission::None | Admission::Unlimited | Admission::Cap(_) => {}
            Admission::StopAll | Admission::Weighted(_) | Admission::Swept(_) => {
                self.owner.set_online_count(now, "router", count);
            }
        }
    }

    fn record_batch_token(&mut self, token: &bamboo_engine::Token) {
        let Some(key) = self.batch.get(&token.id).copied() else {
            return;
        };
        self.owner.record_first_token(key);
        if token.is_last {
            self.batch.remove(&token.id);
            self.owner.remove(key);
        }
    }

    /// Offers the owner an endless supply of items and executes its decisions.
    fn admit_batch(&mut self, now: Duration, next_item: &mut u32, rng: &mut ChaCha8Rng) {
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
                AdmitStep::Start(key) => self.start_item(key, rng),
                AdmitStep::Stop(key) => {
                    let id = batch_id(key);
                    self.engine.cancel(&id);
                    self.batch.remove(&id);
                    self.owner.requeue_stopped(key);
                }
            }
        }
    }

    fn start_item(&mut self, key: RunKey, rng: &mut ChaCha8Rng) {
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

fn route(variant: &Variant, servers: &[Server], names: &[String], rng: &mut ChaCha8Rng) -> usize {
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .zip(names)
        .map(|(server, name)| Candidate {
            name,
            online_count: server.online_count,
            batch_count: server.batch.len() as u32,
            capacity: ENGINE_CAPACITY,
        })
        .collect();
    let options = ChoiceOptions {
        policy: variant.policy,
        pack_share: variant.pack_share,
        ..ChoiceOptions::default()
    };
    choose(&candidates, &options, "model", None, rng.random()).unwrap_or(0)
}

/// Returns the arrival time, prompt tokens and completion tokens of each online request. Arrivals are a Poisson process
/// with periodic bursts.
fn arrivals(
    rng: &mut ChaCha8Rng,
    server_count: usize,
    online_share: f64,
) -> Vec<(Duration, usize, usize)> {
    let (burst, calm) = BURST_AND_CALM;
    let period = burst + calm;
    let mean_factor =
        (burst.as_secs_f64() * BURST_FACTOR + calm.as_secs_f64()) / period.as_secs_f64();
    let calm_rate = ENGINE_ONLINE_RATE * server_count as f64 * online_share / mean_factor;
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < RUN_DURATION {
        let time_in_period = Duration::from_secs_f64(at.as_secs_f64() % period.as_secs_f64());
        let rate = if time_in_period >= calm {
            calm_rate * BURST_FACTOR
        } else {
            calm_rate
        };
        at += interarrival_time(rng, rate);
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
        chunk: Position {
            offset: 0,
            index: 0,
        },
        index_in_chunk: 0,
        model: String::new(),
        deadline_ms: 0,
        must_run_alone: false,
    }
}

fn batch_id(key: RunKey) -> String {
    format!("b{key:?}")
}
