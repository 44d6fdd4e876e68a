//! Entries of another writer are larger than a page of the newest entries, and their keys hold an ampersand.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::base64;
use crate::deployment::Failure;
use crate::deployment::Gateway;
use crate::deployment::HOST;
use crate::deployment::MEMORY_MAX_MB;
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

const ITEMS: usize = 6;
/// Entries of the other writer. Together they are larger than a page of 1 MB, each is smaller than `record_bytes`.
const ENTRIES: usize = 6;
const ENTRY_BYTES: usize = 250_000;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(18);

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    store.put("keyed.op", "config", manifest(1).as_bytes());
    if has_trouble() {
        for number in 1..=ENTRIES {
            store.put(
                "keyed.servers",
                &format!("R&D-{number}"),
                &[0xff; ENTRY_BYTES],
            );
        }
        record.write(&format!(
            "another writer: {ENTRIES} entries, 'R&D-1' and so on, of {ENTRY_BYTES} bytes that cannot be read"
        ));
    }
    let ip = own_address(2);
    let mut servers = Vec::new();
    for number in 1..=3 {
        let address = SocketAddr::from((ip, free_port(&[ip])?));
        servers.push(Server::start(
            &store,
            record,
            "llm",
            &format!("i-llm-{number}"),
            address,
            Kind::Model,
        )?);
    }
    let address = SocketAddr::from((ip, free_port(&[ip])?));
    servers.push(Server::start(
        &store,
        record,
        "records",
        "i-records-1",
        address,
        Kind::Framed,
    )?);
    let mut gateways = start_gateways(&store, 3)?;
    std::thread::sleep(Duration::from_millis(1500));
    let job = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..ITEMS)
        .map(|number| {
            format!(
                r#"{{"id":"e5b2907c14da{number:04x}","path":"/batch/3/{number}","headers":{{"X-Bambooroute-Model":"m","X-Bambooroute-Token-Usage":"540,400","X-Bambooroute-Prompt-Prefix":"9c2e41:300,5d07b8{number}:240"}},"body":"{}","tokens":940}}"#,
                base64::encode(b"prompt")
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let mut is_accepted = false;
    for attempt in 0..6 {
        let gateway = &gateways[attempt % gateways.len()];
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
        );
        record.write(&format!(
            "client: batch job {job} at {}: {:?}",
            gateway.name,
            answer.as_ref().map(|answer| answer.status)
        ));
        if answer.is_ok_and(|answer| answer.status == 202) {
            is_accepted = true;
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    if !is_accepted {
        record.write("the batch job was not accepted");
        return Ok(Verdict::Held);
    }
    for attempt in 0..4 {
        let gateway = &gateways[attempt % gateways.len()];
        let id = format!("aa00{attempt}");
        let headers = [
            ("Host", HOST),
            ("X-Bambooroute-Request-Id", id.as_str()),
            ("X-Bambooroute-Deadline-Ms", "1500"),
        ];
        let answer = http::call(
            gateway.front,
            "POST",
            "/sheet/1",
            &headers,
            b"which",
            Duration::from_millis(1500),
        );
        record.write(&format!(
            "client: POST /sheet/1 at {}: {:?}",
            gateway.name,
            answer.map(|answer| answer.status)
        ));
    }
    let deadline = Instant::now() + FINISH + Duration::from_secs(6);
    let (mut listed, mut kills) = (0, 0);
    while Instant::now() < deadline && listed < ITEMS {
        std::thread::sleep(Duration::from_millis(200));
        for gateway in &mut gateways {
            let memory_mb = gateway.memory_mb();
            if memory_mb > MEMORY_MAX_MB {
                record.write(&format!(
                    "platform: {} is killed, as it takes {memory_mb} MB; it starts again",
                    gateway.name
                ));
                gateway.crash();
                std::thread::sleep(Duration::from_millis(300));
                gateway.restart()?;
                kills += 1;
            }
        }
        for gateway in &gateways {
            let count = read_count(gateway, job);
            if count > listed {
                listed = count;
                record.write(&format!(
                    "client: {} lists {count} of {ITEMS} items",
                    gateway.name
                ));
            }
        }
    }
    record.write(&format!(
        "{listed} of {ITEMS} items are listed, the servers are sound and idle, and gateways were killed {kills} times"
    ));
    match listed < ITEMS {
        true => {
            record.write("LOST: items of an accepted batch job are listed neither as done nor as dead_letter");
            Ok(Verdict::Broken)
        }
        false => Ok(Verdict::Held),
    }
}

/// Number of results of a batch job that a gateway lists; 0 if it does not answer.
fn read_count(gateway: &Gateway, job: &str) -> usize {
    let target = format!("/lots/{job}?after=0");
    let called = http::call(
        gateway.front,
        "GET",
        &target,
        &[("Host", HOST)],
        b"",
        Duration::from_secs(1),
    );
    let page = called
        .ok()
        .filter(|answer| answer.status == 200)
        .and_then(|answer| Json::parse(&answer.body));
    let results = page.as_ref().and_then(|page| page.get("results"));
    results.map_or(0, |results| results.list().len())
}
