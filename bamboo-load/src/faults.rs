//! Injects faults into a fleet of processes under load, and then checks the outcomes reported to callers against the
//! calls that the plain service recorded.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use bamboo_client::Api;
use bamboo_client::JobSubmission;
use pico_args::Arguments;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::deployment::CALLER_KEY;
use crate::fleet::Fleet;
use crate::generate::items_jsonl;
use crate::run::RunOptions;

/// Number of items of each job.
const JOB_ITEMS: usize = 120;
/// Maximum length of an item's answer, in tokens.
const MAX_TOKENS: usize = 24;
/// Timeout for all jobs to complete after the last fault.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which a host is stopped with SIGSTOP. Longer than the lease, so that its ownership expires.
const FREEZE_DURATION: Duration = Duration::from_secs(12);
/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Requests that callers sent, and the outcomes reported to them.
#[derive(Debug, Default)]
struct CallerObservations {
    accepted_jobs: BTreeMap<String, String>,
    submitted_count: usize,
    not_run_paths: BTreeSet<String>,
    call_count: usize,
    complete_count: usize,
    unknown_count: usize,
    keys: BTreeSet<String>,
}

/// `bamboo-load faults`.
///
/// # Errors
/// Fails if the fleet does not start.
pub(crate) async fn faults(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    let mut options = RunOptions::read(&mut arguments)?;
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see bamboo-load --help"
    );
    options.deployment.host_count = options.deployment.host_count.max(4);
    let mut fleet = Fleet::start(options.deployment.clone(), options.shows_logs).await?;
    println!(
        "{} hosts, {} engines, faults for {:?}, seed {}",
        fleet.hosts.len(),
        fleet.engines.len(),
        options.duration,
        options.seed
    );
    let observations = Rc::new(RefCell::new(CallerObservations::default()));
    let addresses: Vec<String> = fleet
        .hosts
        .iter()
        .map(|host| host.caller_address.clone())
        .collect();
    let deadline = Instant::now() + options.duration;
    let jobs = actix_rt::spawn(submit_jobs(
        options.clone(),
        addresses.clone(),
        deadline,
        Rc::clone(&observations),
    ));
    let calls = actix_rt::spawn(send_calls(
        options.clone(),
        addresses,
        deadline,
        Rc::clone(&observations),
    ));
    inject_faults(&mut fleet, &options, deadline).await?;
    fleet.wait_until_ready().await?;
    jobs.await?;
    calls.await?;
    let observations = observations.take();
    let is_consistent = verify(&fleet, &observations).await?;
    Ok(if is_consistent {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn inject_faults(
    fleet: &mut Fleet,
    options: &RunOptions,
    deadline: Instant,
) -> anyhow::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    while Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(500..3000))).await;
        let host = rng.random_range(0..fleet.hosts.len());
        let fault_duration = Duration::from_millis(rng.random_range(500..5000));
        match rng.random_range(0..6) {
            0 | 1 => {
                println!("  kill {} for {fault_duration:?}", fleet.hosts[host].name);
                fleet.hosts[host].process = None;
                actix_rt::time::sleep(fault_duration).await;
                fleet.start_host(host)?;
            }
            2 => {
                let engine = rng.random_range(0..fleet.engines.len());
                println!(
                    "  kill {} for {fault_duration:?}",
                    fleet.engines[engine].name
                );
                fleet.engines[engine].process = None;
                actix_rt::time::sleep(fault_duration).await;
                fleet.start_engine(engine)?;
            }
            3 => {
                println!(
                    "  freeze {} for {FREEZE_DURATION:?}",
                    fleet.hosts[host].name
                );
                signal_host(fleet, host, "STOP")?;
                actix_rt::time::sleep(FREEZE_DURATION).await;
                signal_host(fleet, host, "CONT")?;
            }
            4 => {
                println!("  make the log unavailable for {fault_duration:?}");
                fleet
                    .set_platform_faults(json!({ "log": { "is_out": true } }))
                    .await?;
                actix_rt::time::sleep(fault_duration).await;
            }
            _ => {
                println!("  drop every third log response for {fault_duration:?}");
                fleet
                    .set_platform_faults(json!({ "log": { "lose_answer_every": 3 } }))
                    .await?;
                actix_rt::time::sleep(fault_duration).await;
            }
        }
        fleet.set_platform_faults(json!({})).await?;
    }
    Ok(())
}

fn signal_host(fleet: &Fleet, host: usize, signal: &str) -> anyhow::Result<()> {
    match &fleet.hosts[host].process {
        Some(process) => process.signal(signal),
        None => Ok(()),
    }
}

/// Submits jobs sequentially, and retries each with the same idempotency key until it is accepted.
async fn submit_jobs(
    options: RunOptions,
    addresses: Vec<String>,
    deadline: Instant,
    observations: Rc<RefCell<CallerObservations>>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ 1);
    for number in 0.. {
        if Instant::now() >= deadline {
            return;
        }
        let key = format!("job-{number}");
        let body = items_jsonl(&mut rng, options.deployment.model, JOB_ITEMS, MAX_TOKENS);
        observations.borrow_mut().submitted_count += 1;
        loop {
            let address = &addresses[rng.random_range(0..addresses.len())];
            let submission = JobSubmission {
                body: body.clone().into(),
                idempotency_key: Some(key.clone()),
                query: String::new(),
            };
            let api = Api::new(address, CALLER_KEY);
            let response = tokio::time::timeout(CALL_TIMEOUT, api.submit(submission)).await;
            if let Ok(Ok(job)) = response {
                let id = job["id"].as_str().unwrap_or_default().to_owned();
                observations.borrow_mut().accepted_jobs.insert(key, id);
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(300)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(200..1500))).await;
    }
}

/// Sends non-idempotent calls concurrently. Half of them have an idempotency key and are retried; the others have none
/// and are sent once.
async fn send_calls(
    options: RunOptions,
    addresses: Vec<String>,
    deadline: Instant,
    observations: Rc<RefCell<CallerObservations>>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ 2);
    let mut tasks = Vec::new();
    for number in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
        let key = (number % 2 == 0).then(|| format!("call-{number}"));
        let attempt_addresses = (0..4)
            .map(|_| addresses[rng.random_range(0..addresses.len())].clone())
            .collect();
        let service = options.deployment.service;
        tasks.push(actix_rt::spawn(send_call(
            service,
            number,
            key,
            attempt_addresses,
            Rc::clone(&observations),
        )));
    }
    for task in tasks {
        // A call that panicked is counted as sent, but has no outcome.
        let _ = task.await;
    }
}

async fn send_call(
    service: &'static str,
    number: usize,
    key: Option<String>,
    addresses: Vec<String>,
    observations: Rc<RefCell<CallerObservations>>,
) {
    let attempt_limit = if key.is_some() { addresses.len() } else { 1 };
    if let Some(key) = &key {
        observations.borrow_mut().keys.insert(key.clone());
    }
    for (attempt, address) in addresses.iter().take(attempt_limit).enumerate() {
        // All attempts of a keyed call must be the same request; the path of an unkeyed call is unique to the attempt.
        let path = match &key {
            Some(key) => format!("/entries/{key}"),
            None => format!("/unkeyed/{number}-{attempt}"),
        };
        observations.borrow_mut().call_count += 1;
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        let mut request = client
            .post(format!("http://{address}/services/{service}{path}"))
            .bearer_auth(CALLER_KEY);
        if let Some(key) = &key {
            request = request.insert_header(("idempotency-key", key.clone()));
        }
        let outcome = match request.send_body("entry").await {
            Ok(mut response) if response.status().is_success() => {
                let is_complete = response.body().await.is_ok();
                if is_complete {
                    CallOutcome::Complete
                } else {
                    CallOutcome::Unknown
                }
            }
            Ok(mut response) => match response.json::<Value>().await {
                Ok(body) if body["error"]["ran"] == "no" => CallOutcome::NotRun,
                _ => CallOutcome::Unknown,
            },
            Err(_) => CallOutcome::Unknown,
        };
        match outcome {
            CallOutcome::Complete => {
                observations.borrow_mut().complete_count += 1;
                return;
            }
            CallOutcome::NotRun if key.is_none() => {
                observations.borrow_mut().not_run_paths.insert(path);
            }
            CallOutcome::NotRun => {}
            CallOutcome::Unknown => observations.borrow_mut().unknown_count += 1,
        }
        actix_rt::time::sleep(Duration::from_millis(400)).await;
    }
}

enum CallOutcome {
    Complete,
    NotRun,
    Unknown,
}

/// Compares the outcomes reported to callers with the calls that ran. Returns whether they are consistent.
async fn verify(fleet: &Fleet, observations: &CallerObservations) -> anyhow::Result<bool> {
    let mut lost = 0;
    let mut duplicated = 0;
    let mut completed = 0;
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    for id in observations.accepted_jobs.values() {
        let ids = wait_for_result_ids(fleet, id, deadline).await?;
        completed += usize::from(ids.len() >= JOB_ITEMS);
        let distinct: BTreeSet<&String> = ids.iter().collect();
        lost += JOB_ITEMS.saturating_sub(distinct.len());
        duplicated += ids.len() - distinct.len();
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for plain in &fleet.plain_servers {
        let calls = Api::new(&plain.address, "").get("/admin/calls").await?;
        for call in calls.as_array().into_iter().flatten() {
            *runs
                .entry(call["path"].as_str().unwrap_or_default().to_owned())
                .or_default() += 1;
        }
    }
    let duplicate_runs = runs.values().filter(|count| **count > 1).count();
    let ran_but_reported_not_run = observations
        .not_run_paths
        .iter()
        .filter(|path| runs.contains_key(*path))
        .count();
    println!(
        "submitted {} jobs, accepted {}, completed {completed}",
        observations.submitted_count,
        observations.accepted_jobs.len()
    );
    println!(
        "calls {}, whole {}, unknown to their callers {}",
        observations.call_count, observations.complete_count, observations.unknown_count
    );
    println!("items lost                {lost}");
    println!("items doubled             {duplicated}");
    println!("ran but told 'not run'    {ran_but_reported_not_run}");
    println!("calls that ran twice      {duplicate_runs}");
    Ok(lost + duplicated + ran_but_reported_not_run + duplicate_runs == 0)
}

/// Waits until a job completes or the deadline passes, and returns the custom ids in its results.
async fn wait_for_result_ids(
    fleet: &Fleet,
    id: &str,
    deadline: Instant,
) -> anyhow::Result<Vec<String>> {
    loop {
        let view = fleet
            .caller(0)
            .get(&format!("/v1/batches/{id}"))
            .await
            .unwrap_or(Value::Null);
        if view["status"] == "completed" || Instant::now() >= deadline {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let text = fleet
        .caller(0)
        .get_text(&format!("/v1/batches/{id}/results"))
        .await
        .unwrap_or_default();
    let id_of = |line: &str| {
        let value: Value = serde_json::from_str(line).ok()?;
        Some(value["custom_id"].as_str()?.to_owned())
    };
    Ok(text.lines().filter_map(id_of).collect())
}
