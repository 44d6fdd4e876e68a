//! Runs online load alone, a batch job alone, and then both at once on a fleet of processes.

use std::cell::RefCell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bamboo_client::JobSubmission;
use pico_args::Arguments;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::generate::items_jsonl;
use crate::online::OnlineLoad;
use crate::online::run_online;
use crate::report::print_headings;
use crate::report::print_phase;

/// Maximum length of an online answer, in tokens.
const ONLINE_MAX_TOKENS: usize = 64;
/// Maximum length of a batch item's answer, in tokens.
const BATCH_MAX_TOKENS: usize = 96;
/// Interval of progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Command-line options of a fleet and its load.
#[derive(Debug, Clone)]
pub(crate) struct RunOptions {
    pub(crate) deployment: Deployment,
    pub(crate) duration: Duration,
    pub(crate) rate_per_s: f64,
    pub(crate) item_count: usize,
    pub(crate) seed: u64,
    pub(crate) shows_logs: bool,
}

impl RunOptions {
    /// Parses the options that most commands share.
    ///
    /// # Errors
    /// Fails for invalid values.
    pub(crate) fn read(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let name: Option<String> = arguments.opt_value_from_str("--deployment")?;
        let mut deployment = Deployment::by_name(name.as_deref().unwrap_or("small"))?;
        if let Some(hosts) = arguments.opt_value_from_str("--hosts")? {
            deployment.host_count = hosts;
        }
        Ok(RunOptions {
            deployment,
            duration: Duration::from_secs(arguments.opt_value_from_str("--seconds")?.unwrap_or(10)),
            rate_per_s: arguments.opt_value_from_str("--rate")?.unwrap_or(20.0),
            item_count: arguments.opt_value_from_str("--items")?.unwrap_or(2000),
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
            shows_logs: arguments.contains("--logs"),
        })
    }
}

/// `bamboo-load fleet`.
///
/// # Errors
/// Fails if the fleet does not start.
pub(crate) async fn run_fleet(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    let options = RunOptions::read(&mut arguments)?;
    let fleet = Fleet::start(options.deployment, options.shows_logs).await?;
    println!("platform {}", fleet.platform_address);
    for host in &fleet.hosts {
        println!(
            "{} callers {} operators {}",
            host.name, host.caller_address, host.operator_address
        );
    }
    for server in fleet.engines.iter().chain(&fleet.plain_servers) {
        println!("{} {}", server.name, server.address);
    }
    println!(
        "operators' key {}  caller's key {}",
        crate::fleet::OPERATOR_KEY,
        crate::deployment::CALLER_KEY
    );
    println!("running until interrupted");
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}

/// `bamboo-load run`.
///
/// # Errors
/// Fails if the fleet does not start or a job is not accepted.
pub(crate) async fn run(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    let options = RunOptions::read(&mut arguments)?;
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see bamboo-load --help"
    );
    let fleet = Fleet::start(options.deployment.clone(), options.shows_logs).await?;
    println!(
        "{} hosts, {} engines, online {} requests/s for {:?} a part, seed {}",
        fleet.hosts.len(),
        fleet.engines.len(),
        options.rate_per_s,
        options.duration,
        options.seed
    );
    print_headings();
    let seconds = options.duration.as_secs_f64();
    let load = online_load(&fleet, &options);
    let online_alone = run_online(load.clone()).await?;
    print_phase("online alone", Some(&online_alone), seconds, None);
    let body = job_body(&fleet, &options, 2);
    let items_per_s = run_batch_for(&fleet, &options, body).await?;
    print_phase("batch alone", None, seconds, Some(items_per_s));
    let body = job_body(&fleet, &options, 3);
    let (online_beside_batch, items_per_s) =
        tokio::join!(run_online(load), run_batch_for(&fleet, &options, body));
    print_phase(
        "both",
        Some(&online_beside_batch?),
        seconds,
        Some(items_per_s?),
    );
    Ok(ExitCode::SUCCESS)
}

/// Returns the online load for a fleet, sent to all running hosts.
pub(crate) fn online_load(fleet: &Fleet, options: &RunOptions) -> OnlineLoad {
    OnlineLoad {
        addresses: Rc::new(RefCell::new(fleet.caller_addresses())),
        model: fleet.deployment.model,
        rate_per_s: options.rate_per_s,
        duration: options.duration,
        max_tokens: ONLINE_MAX_TOKENS,
        seed: options.seed,
    }
}

/// Returns the items of the job of a phase. Generated before the phase starts, because it takes long enough to distort
/// the measurement.
fn job_body(fleet: &Fleet, options: &RunOptions, phase: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ (phase << 32));
    items_jsonl(
        &mut rng,
        fleet.deployment.model,
        options.item_count,
        BATCH_MAX_TOKENS,
    )
}

/// Submits a job, polls it until it ends or the duration passes, and cancels it. Returns the completed items per
/// second.
async fn run_batch_for(fleet: &Fleet, options: &RunOptions, body: String) -> anyhow::Result<f64> {
    let duration = options.duration;
    let api = fleet.caller(0);
    let job = api
        .submit(JobSubmission {
            body: body.into(),
            idempotency_key: None,
            query: String::new(),
        })
        .await?;
    let id = job["id"].as_str().unwrap_or_default().to_owned();
    let started_at = Instant::now();
    let mut progress_at = started_at;
    loop {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let view = api.get(&format!("/v1/batches/{id}")).await?;
        let completed = view["request_counts"]["completed"].as_u64().unwrap_or(0);
        if progress_at.elapsed() >= PROGRESS_INTERVAL {
            progress_at = Instant::now();
            eprintln!("  batch: {completed} of {} items", options.item_count);
        }
        if view["status"] != "in_progress" && view["status"] != "queued"
            || started_at.elapsed() >= duration
        {
            let rate = completed as f64 / started_at.elapsed().as_secs_f64();
            let _: Value = api
                .post(&format!("/v1/batches/{id}/cancel"), String::new())
                .await?;
            return Ok(rate);
        }
    }
}
