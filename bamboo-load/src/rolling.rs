//! Rolling restart: stops and restarts each host in turn while online requests and a job run. No request may be cut
//! off.

use std::cell::RefCell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bamboo_client::Api;
use bamboo_client::JobSubmission;
use pico_args::Arguments;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::generate::items_jsonl;
use crate::online::run_online;
use crate::report::print_headings;
use crate::report::print_phase;
use crate::run::RunOptions;
use crate::run::online_load;

/// Interval of the load balancer's readiness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Duration of the load per restarted host.
const TIME_PER_HOST: Duration = Duration::from_secs(9);
/// Timeout for the graceful shutdown of a host, and for the job after the last restart.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum length of an item's answer, in tokens.
const MAX_TOKENS: usize = 48;

/// `bamboo-load rolling`.
///
/// # Errors
/// Fails if the fleet does not start or a host does not stop.
pub(crate) async fn rolling(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    let options = RunOptions::read(&mut arguments)?;
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see bamboo-load --help"
    );
    let mut fleet = Fleet::start(options.deployment.clone(), options.shows_logs).await?;
    let mut load = online_load(&fleet, &options);
    load.duration = TIME_PER_HOST * fleet.hosts.len() as u32;
    let duration = load.duration;
    let balancer = actix_rt::spawn(probe_readiness(
        fleet.caller_addresses(),
        Rc::clone(&load.addresses),
        duration,
    ));
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let body = items_jsonl(
        &mut rng,
        fleet.deployment.model,
        options.item_count,
        MAX_TOKENS,
    );
    let submission = JobSubmission {
        body: body.into(),
        idempotency_key: Some("rolling".into()),
        query: String::new(),
    };
    let job = fleet.caller(0).submit(submission).await?;
    let online = actix_rt::spawn(run_online(load));
    for index in 0..fleet.hosts.len() {
        restart_host(&mut fleet, index).await?;
    }
    let online = online.await??;
    balancer.await?;
    print_headings();
    print_phase("rolling", Some(&online), duration.as_secs_f64(), None);
    let id = job["id"].as_str().unwrap_or_default();
    let is_job_complete = wait_for_complete_job(&fleet, id, options.item_count).await;
    println!(
        "cut off or broken {}, job whole: {is_job_complete}",
        online.failed_count
    );
    Ok(if online.failed_count == 0 && is_job_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn restart_host(fleet: &mut Fleet, index: usize) -> anyhow::Result<()> {
    let started_at = Instant::now();
    let host = &mut fleet.hosts[index];
    if let Some(process) = &host.process {
        process.signal("TERM")?;
    }
    while host
        .process
        .as_mut()
        .is_some_and(|process| !process.has_ended())
    {
        anyhow::ensure!(
            started_at.elapsed() < STOP_TIMEOUT,
            "{} is still running {STOP_TIMEOUT:?} after SIGTERM",
            host.name
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    println!(
        "  {} stopped after {:.1} s",
        host.name,
        started_at.elapsed().as_secs_f64()
    );
    fleet.start_host(index)?;
    fleet.wait_until_ready().await
}

/// Probes all hosts periodically and updates the list of ready ones, like the platform's load balancer. Keeps the last
/// list while no host is ready.
async fn probe_readiness(
    addresses: Vec<String>,
    ready_addresses: Rc<RefCell<Vec<String>>>,
    duration: Duration,
) {
    let deadline = Instant::now() + duration;
    while Instant::now() < deadline {
        let mut ready = Vec::new();
        for address in &addresses {
            if Api::new(address, "").get_text("/readyz").await.is_ok() {
                ready.push(address.clone());
            }
        }
        if !ready.is_empty() {
            *ready_addresses.borrow_mut() = ready;
        }
        actix_rt::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn wait_for_complete_job(fleet: &Fleet, id: &str, item_count: usize) -> bool {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline {
        let view = fleet
            .caller(0)
            .get(&format!("/v1/batches/{id}"))
            .await
            .unwrap_or_default();
        if view["status"] == "completed" {
            return view["request_counts"]["completed"] == item_count;
        }
        actix_rt::time::sleep(PROBE_INTERVAL).await;
    }
    false
}
