//! A model server crashes in the middle of the answer to an item, which has no length, and starts again, while the gateway that
//! runs the item stands still.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::base64;
use crate::deployment::Failure;
use crate::deployment::Gateway;
use crate::deployment::HOST;
use crate::deployment::Record;
use crate::deployment::SIGCONT;
use crate::deployment::SIGSTOP;
use crate::deployment::Server;
use crate::deployment::free_port;
use crate::deployment::manifest;
use crate::deployment::own_address;
use crate::deployment::signal;
use crate::deployment::start_gateways;
use crate::has_trouble;
use crate::http;
use crate::json::Json;
use crate::server::Kind;
use crate::server::whole_text;
use crate::store::Store;

const ROUNDS: usize = 3;
/// One of them crashes at a time: the share of a crash is 0.17 at most.
const SERVERS: usize = 7;
/// One of them freezes at a time: the share of a freeze is 0.11 at most.
const GATEWAYS: u8 = 10;
/// Part of the answer that has been sent when the gateway freezes: `for_s` of a freeze is 3.5 at most.
const SENT_FOR: Duration = Duration::from_millis(120);
/// Time from there until the server crashes.
const CRASH_AFTER: Duration = Duration::from_millis(60);
/// Time for which the server is down: `for_s` of a crash is 4.5 at most.
const DOWN_FOR: Duration = Duration::from_millis(400);
/// Time from its start until the gateway goes on.
const WAKE_AFTER: Duration = Duration::from_millis(300);

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    store.put("keyed.op", "config", manifest(1).as_bytes());
    let ip = own_address(2);
    let (mut servers, mut addresses) = (Vec::new(), Vec::new());
    for number in 1..=SERVERS {
        let address = SocketAddr::from((ip, free_port(&[ip])?));
        addresses.push(address);
        servers.push(Server::start(
            &store,
            record,
            "llm",
            &format!("i-llm-{number}"),
            address,
            Kind::UnframedModel,
        )?);
    }
    let gateways = start_gateways(&store, GATEWAYS)?;
    std::thread::sleep(Duration::from_millis(1500));
    let mut verdict = Verdict::Held;
    for round in 1..=ROUNDS {
        let (job, item) = (
            format!("7c41e09b52d6{round:04x}"),
            format!("e5b2907c14da{round:04x}"),
        );
        submit(record, &gateways[0], &job, &item)?;
        let holder = store
            .holder_of_newest()
            .ok_or("nobody holds the partition of the batch job")?;
        let owner = gateways
            .iter()
            .find(|gateway| holder.starts_with(&format!("{}:", gateway.front.ip())));
        let owner = owner.ok_or("no gateway holds the partition of the batch job")?;
        let runner = wait_for_run(&servers, &item)?;
        std::thread::sleep(SENT_FOR);
        if has_trouble() {
            record.write(&format!(
                "freeze: {} stands still; it holds the partition of {job}",
                owner.name
            ));
            signal(&owner.child, SIGSTOP);
            std::thread::sleep(CRASH_AFTER);
            record.write(&format!(
                "crash: {} is killed in the middle of its answer to {item}",
                servers[runner].id
            ));
            servers[runner].crash();
            std::thread::sleep(DOWN_FOR);
            let new_id = format!("i-llm-{}-{round}", runner + 1);
            servers[runner] = Server::start(
                &store,
                record,
                "llm",
                &new_id,
                addresses[runner],
                Kind::UnframedModel,
            )?;
            record.write(&format!("{new_id} has started at the same address"));
            std::thread::sleep(WAKE_AFTER);
            record.write(&format!("freeze: {} goes on", owner.name));
            signal(&owner.child, SIGCONT);
        }
        let (state, text) = read_result(&gateways, &job)?;
        let is_whole = text == whole_text(&item);
        record.write(&format!(
            "client: {item} is listed as {state} with {} bytes of {}: {}",
            text.len(),
            whole_text(&item).len(),
            text.replace('\n', " | ")
        ));
        if state == "done" && !is_whole {
            record.write("MIXED: a result is done and its text is not the item's whole output");
            verdict = Verdict::Broken;
        }
        std::thread::sleep(Duration::from_secs(5));
        servers
            .iter()
            .for_each(|server| server.lines.try_iter().for_each(drop));
    }
    Ok(verdict)
}

fn submit(record: &Record, gateway: &Gateway, job: &str, item: &str) -> Result<(), Failure> {
    let body = format!(
        r#"{{"items":[{{"id":"{item}","path":"/batch/3/{item}","headers":{{"X-Bambooroute-Model":"m","X-Bambooroute-Token-Usage":"540,400","X-Bambooroute-Prompt-Prefix":"9c2e41:300,{item}:240"}},"body":"{}","tokens":940}}]}}"#,
        base64::encode(b"prompt")
    );
    let headers = [
        ("Host", HOST),
        ("X-Bambooroute-Request-Id", job),
        ("Content-Type", "application/json"),
    ];
    let answer = http::call(
        gateway.front,
        "POST",
        "/batch/7c41e0",
        &headers,
        body.as_bytes(),
        Duration::from_secs(4),
    )?;
    record.write(&format!(
        "client: batch job {job} with item {item} to {}: {}",
        gateway.name, answer.status
    ));
    match answer.status {
        202 => Ok(()),
        status => Err(format!("the batch job gets {status}").into()),
    }
}

/// Waits until a server runs an item, and says which.
fn wait_for_run(servers: &[Server], item: &str) -> Result<usize, Failure> {
    let line = format!("run {item}");
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        let runner = servers
            .iter()
            .position(|server| server.lines.try_iter().any(|said| said == line));
        if let Some(runner) = runner {
            return Ok(runner);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Err("no server runs the item".into())
}

/// Reads the result of the only item of a batch job.
fn read_result(gateways: &[Gateway], job: &str) -> Result<(String, String), Failure> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        for gateway in gateways {
            let target = format!("/lots/{job}?after=0");
            let called = http::call(
                gateway.front,
                "GET",
                &target,
                &[("Host", HOST)],
                b"",
                Duration::from_secs(3),
            );
            let Ok(answer) = called else { continue };
            let page = Json::parse(&answer.body).filter(|_| answer.status == 200);
            let Some(result) = page
                .as_ref()
                .and_then(|page| page.get("results")?.list().first())
            else {
                continue;
            };
            let field = |name: &str| {
                result
                    .get(name)
                    .and_then(Json::text)
                    .unwrap_or_default()
                    .to_owned()
            };
            return Ok((field("state"), field("text")));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Err("the item is not listed".into())
}
