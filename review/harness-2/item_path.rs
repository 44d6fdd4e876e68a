//! A batch job whose items are requests to a path of their servers that is not below the prefix of the batch route.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::base64;
use crate::deployment::Failure;
use crate::deployment::HOST;
use crate::deployment::Record;
use crate::deployment::Server;
use crate::deployment::free_port;
use crate::deployment::manifest;
use crate::deployment::own_address;
use crate::deployment::start_gateways;
use crate::has_trouble;
use crate::http;
use crate::json::Json;
use crate::server::Kind;
use crate::store::Store;

const ITEMS: usize = 4;
const JOB: &str = "7c41e09b52d6a3f8";
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(18);

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    store.put("keyed.op", "config", manifest(1).as_bytes());
    let ip = own_address(2);
    let mut servers = Vec::new();
    for number in 1..=3 {
        let address = SocketAddr::from((ip, free_port(&[ip])?));
        let id = format!("i-llm-{number}");
        servers.push(Server::start(
            &store,
            record,
            "llm",
            &id,
            address,
            Kind::Model,
        )?);
    }
    let gateways = start_gateways(&store, 3)?;
    std::thread::sleep(Duration::from_millis(1500));
    let path = match has_trouble() {
        true => "/v1/generate",
        false => "/batch/generate",
    };
    let items: Vec<String> = (0..ITEMS)
        .map(|number| {
            let id = format!("e5b2907c14da{number:04x}");
            format!(
                r#"{{"id":"{id}","path":"{path}","headers":{{"X-Bambooroute-Model":"m","X-Bambooroute-Token-Usage":"540,400","X-Bambooroute-Prompt-Prefix":"9c2e41:300,{id}:240"}},"body":"{}","tokens":940}}"#,
                base64::encode(b"prompt")
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let headers = [
        ("Host", HOST),
        ("X-Bambooroute-Request-Id", JOB),
        ("Content-Type", "application/json"),
    ];
    let answer = http::call(
        gateways[0].front,
        "POST",
        "/batch/7c41e0",
        &headers,
        body.as_bytes(),
        Duration::from_secs(4),
    )?;
    record.write(&format!(
        "client: batch job {JOB} with {ITEMS} items of path {path}: {}",
        answer.status
    ));
    if answer.status != 202 {
        return Ok(Verdict::Held);
    }
    let deadline = Instant::now() + FINISH + Duration::from_secs(6);
    loop {
        std::thread::sleep(Duration::from_millis(500));
        let target = format!("/lots/{JOB}?after=0");
        let called = http::call(
            gateways[1].front,
            "GET",
            &target,
            &[("Host", HOST)],
            b"",
            Duration::from_secs(3),
        );
        let page = called
            .ok()
            .and_then(|answer| Json::parse(&answer.body).filter(|_| answer.status == 200));
        let results = page
            .as_ref()
            .and_then(|page| page.get("results"))
            .map_or(&[][..], Json::list);
        if results.len() < ITEMS && Instant::now() < deadline {
            continue;
        }
        let states = results
            .iter()
            .filter_map(|result| result.get("state")?.text());
        let states: Vec<&str> = states.collect();
        record.write(&format!(
            "client: {} of {ITEMS} items are listed: {states:?}",
            results.len()
        ));
        let runs: usize = servers
            .iter()
            .map(|server| {
                server
                    .lines
                    .try_iter()
                    .filter(|said| said.starts_with("run"))
                    .count()
            })
            .sum();
        record.write(&format!(
            "servers: {runs} runs, and no answer of 422 or 500"
        ));
        if states.contains(&"dead_letter") {
            record.write("MIXED: a result is dead_letter without a 422, answers of 500, or the end of its time, batch job or route");
            return Ok(Verdict::Broken);
        }
        if results.len() < ITEMS {
            record.write("LOST: items are not listed");
            return Ok(Verdict::Broken);
        }
        return Ok(Verdict::Held);
    }
}
