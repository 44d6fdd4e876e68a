//! Merges the events of all hosts and prints them in chronological order.

use std::process::ExitCode;

use anyhow::Context;
use bamboo_client::Api;
use bamboo_events::Event;
use pico_args::Arguments;

const HELP: &str = "\
Merges the events of all hosts into one timeline.

USAGE: bamboo-timeline --hosts IP:PORT[,IP:PORT…] [OPTIONS]

  --hosts LIST       operator addresses of the hosts
  --key KEY          operator key [BAMBOO_KEY]
  --about SUBJECT    only events whose subject starts with SUBJECT: a request id, a job, or JOB/ITEM
  --output FORM      text or json [text]
Prints the error of each host that fails to respond to standard error, and then exits with 6.
";

fn main() -> anyhow::Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let hosts: String = arguments.value_from_str("--hosts")?;
    let key: Option<String> = arguments.opt_value_from_str("--key")?;
    let key = key
        .or_else(|| std::env::var("BAMBOO_KEY").ok())
        .unwrap_or_default();
    let about: String = arguments.opt_value_from_str("--about")?.unwrap_or_default();
    let format: String = arguments
        .opt_value_from_str("--output")?
        .unwrap_or_else(|| "text".to_owned());
    anyhow::ensure!(
        format == "text" || format == "json",
        "--output {format}: expected text or json"
    );
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see bamboo-timeline --help"
    );
    actix_rt::System::new().block_on(run(&hosts, &key, &about, format == "json"))
}

async fn run(hosts: &str, key: &str, about: &str, is_json: bool) -> anyhow::Result<ExitCode> {
    let mut events: Vec<Event> = Vec::new();
    let mut failed_host_count = 0;
    for address in hosts.split(',') {
        match Api::new(address, key)
            .get(&format!("/api/v1/events?about={about}"))
            .await
        {
            Ok(response) => {
                let host_events: Vec<Event> =
                    serde_json::from_value(response).context("cannot decode the events")?;
                events.extend(host_events);
            }
            Err(error) => {
                eprintln!("{address}: {error}");
                failed_host_count += 1;
            }
        }
    }
    events.sort_by(|a, b| (a.at_us, &a.host, a.number).cmp(&(b.at_us, &b.host, b.number)));
    if is_json {
        println!("{}", serde_json::to_string_pretty(&events)?);
    } else {
        print_text(&events);
    }
    Ok(if failed_host_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(6)
    })
}

fn print_text(events: &[Event]) {
    let start_us = events.first().map_or(0, |event| event.at_us);
    for event in events {
        let elapsed_ms = (event.at_us - start_us) as f64 / 1000.0;
        let kind = format!("{:?}", event.kind);
        println!(
            "{elapsed_ms:>12.3} ms  {:<12} {kind:<16} {}  {}",
            event.host, event.subject, event.detail
        );
    }
}
