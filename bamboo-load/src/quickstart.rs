//! Walks through every main feature once, on a local fleet of processes.

use std::process::Command;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use awc::Client;
use bamboo_client::JobSubmission;
use pico_args::Arguments;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::deployment::CALLER_KEY;
use crate::fleet::Fleet;
use crate::fleet::OPERATOR_KEY;
use crate::generate::items_jsonl;
use crate::online::run_online;
use crate::process::binary_path;
use crate::run::RunOptions;
use crate::run::online_load;

/// Number of items of the job.
const ITEM_COUNT: usize = 200;
/// Maximum length of an item's answer, in tokens.
const MAX_TOKENS: usize = 48;

/// `bamboo-load quickstart`.
///
/// # Errors
/// Fails if any step fails.
pub(crate) async fn quickstart(mut arguments: Arguments) -> anyhow::Result<ExitCode> {
    let options = RunOptions::read(&mut arguments)?;
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see bamboo-load --help"
    );
    println!("== starting the platform, the backend servers and the hosts");
    let fleet = Fleet::start(options.deployment.clone(), options.shows_logs).await?;
    for host in &fleet.hosts {
        println!(
            "{}: callers {}, operators {}",
            host.name, host.caller_address, host.operator_address
        );
    }
    println!("== one streamed online request");
    stream_completion(&fleet).await?;
    println!("== a call of a plain service");
    call_service(&fleet).await?;
    println!("== a batch job of {ITEM_COUNT} items, with concurrent online requests");
    let job = run_job(&fleet, &options).await?;
    println!("== the first three results of the job");
    let results = fleet
        .caller(1)
        .get_text(&format!("/v1/batches/{job}/results"))
        .await?;
    let lines: Vec<&str> = results.lines().collect();
    anyhow::ensure!(
        lines.len() == ITEM_COUNT,
        "expected {ITEM_COUNT} results, got {}",
        lines.len()
    );
    for line in lines.iter().take(3) {
        println!("{}…", line.chars().take(150).collect::<String>());
    }
    println!("== status");
    run_command(
        "bamboo",
        &[
            "--address",
            &fleet.hosts[0].operator_address,
            "--key",
            OPERATOR_KEY,
            "jobs",
            "list",
        ],
    )?;
    run_command(
        "bamboo",
        &[
            "--address",
            &fleet.hosts[0].operator_address,
            "--key",
            OPERATOR_KEY,
            "status",
        ],
    )?;
    println!("== the timeline of one item");
    let hosts: Vec<&str> = fleet
        .hosts
        .iter()
        .map(|host| host.operator_address.as_str())
        .collect();
    let about = format!("{job}/7");
    run_command(
        "bamboo-timeline",
        &[
            "--hosts",
            &hosts.join(","),
            "--key",
            OPERATOR_KEY,
            "--about",
            &about,
        ],
    )?;
    println!("== stopping everything");
    drop(fleet);
    println!("done");
    Ok(ExitCode::SUCCESS)
}

async fn stream_completion(fleet: &Fleet) -> anyhow::Result<()> {
    let body = json!({
        "model": fleet.deployment.model,
        "messages": [{ "role": "user", "content": "Summarise the season of athlete 4711" }],
        "max_tokens": 12,
        "stream": true,
    });
    let url = format!(
        "http://{}/v1/chat/completions",
        fleet.hosts[0].caller_address
    );
    let request = Client::default().post(url).bearer_auth(CALLER_KEY);
    let mut response = request
        .send_json(&body)
        .await
        .map_err(|error| anyhow::anyhow!("online request: {error}"))?;
    let text = String::from_utf8_lossy(&response.body().await?).into_owned();
    anyhow::ensure!(
        response.status().is_success(),
        "online request: {} {text}",
        response.status()
    );
    anyhow::ensure!(
        text.ends_with("data: [DONE]\n\n"),
        "the response stream ended without [DONE]"
    );
    let events: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    for event in events.iter().take(2).chain(events.last()) {
        println!("{event}");
    }
    Ok(())
}

async fn call_service(fleet: &Fleet) -> anyhow::Result<()> {
    let path = format!(
        "/services/{}/athletes/4711?fields=club",
        fleet.deployment.service
    );
    let response = fleet.caller(0).get(&path).await?;
    println!("{}", response["call"]);
    Ok(())
}

async fn run_job(fleet: &Fleet, options: &RunOptions) -> anyhow::Result<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let body = items_jsonl(&mut rng, fleet.deployment.model, ITEM_COUNT, MAX_TOKENS);
    let submission = JobSubmission {
        body: body.into(),
        idempotency_key: Some("quickstart".into()),
        query: "completion_window=1h".into(),
    };
    let job = fleet.caller(0).submit(submission).await?;
    let id = job["id"].as_str().context("job id")?.to_owned();
    println!("accepted {id}");
    let mut load = online_load(fleet, options);
    load.duration = Duration::from_secs(3);
    let online = actix_rt::spawn(run_online(load));
    loop {
        let view = fleet
            .caller(2 % fleet.hosts.len())
            .get(&format!("/v1/batches/{id}"))
            .await?;
        if view["status"] == "completed" {
            println!("completed {}", view["request_counts"]);
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let online_result = online.await??;
    println!(
        "online requests: {} sent, {} complete",
        online_result.sent_count, online_result.complete_count
    );
    anyhow::ensure!(
        online_result.complete_count == online_result.sent_count,
        "an online request did not complete"
    );
    Ok(id)
}

/// Prints a command line of one of the project's binaries and runs it with inherited output.
fn run_command(binary: &str, arguments: &[&str]) -> anyhow::Result<()> {
    println!("$ {binary} {}", arguments.join(" "));
    let status = Command::new(binary_path(binary)?)
        .args(arguments)
        .status()
        .context(binary.to_owned())?;
    anyhow::ensure!(status.success(), "{binary} exited with {status}");
    Ok(())
}
