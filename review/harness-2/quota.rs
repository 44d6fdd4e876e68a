//! All gateways are killed at the same moment while as many tokens wait as may, and start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

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
use crate::server::Kind;
use crate::store::Store;

const TOKENS_MAX: u64 = 100_000;
const TOKENS: u64 = 1_000;
const CLIENTS: u64 = 40;
const ROUNDS: usize = 3;

/// Tokens of accepted batch jobs. No item ends during the case, and no batch job is ended.
#[derive(Default)]
struct Accepted {
    tokens: AtomicU64,
    most: AtomicU64,
    stops: AtomicBool,
}

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    let text = manifest(1).replace(
        "\"max_queued\":1900000",
        &format!("\"max_queued\":{TOKENS_MAX}"),
    );
    store.put("keyed.op", "config", text.as_bytes());
    let ip = own_address(2);
    let mut servers = Vec::new();
    for number in 1..=4 {
        let address = SocketAddr::from((ip, free_port(&[ip])?));
        servers.push(Server::start(
            &store,
            record,
            "llm",
            &format!("i-llm-{number}"),
            address,
            Kind::SlowModel,
        )?);
    }
    let mut gateways = start_gateways(&store, 3)?;
    std::thread::sleep(Duration::from_millis(1500));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let accepted = Arc::new(Accepted::default());
    let statuses = Arc::new(Mutex::new(std::collections::BTreeMap::<u16, u64>::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (accepted, fronts, statuses) =
            (Arc::clone(&accepted), fronts.clone(), Arc::clone(&statuses));
        clients.push(std::thread::spawn(move || {
            submit(client, &fronts, &accepted, &statuses)
        }));
    }
    let report = |what: &str| {
        record.write(&format!(
            "{what}: {} tokens of accepted items, of which none is finished; answers so far: {:?}",
            accepted.tokens.load(Ordering::Relaxed),
            statuses.lock().unwrap()
        ));
    };
    std::thread::sleep(Duration::from_secs(6));
    report("full");
    for _ in 0..ROUNDS {
        if has_trouble() {
            for gateway in &mut gateways {
                gateway.crash();
            }
            std::thread::sleep(Duration::from_millis(500));
            for gateway in &mut gateways {
                gateway.restart()?;
            }
            record.write("all gateways were killed, and have been started again after 0.5 s");
        }
        for _ in 0..8 {
            std::thread::sleep(Duration::from_secs(1));
            report("later");
        }
    }
    accepted.stops.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let most = accepted.most.load(Ordering::Relaxed);
    record.write(&format!(
        "at most {most} tokens of accepted items at a 202; {} may be",
        TOKENS_MAX * 11 / 10
    ));
    Ok(match most > TOKENS_MAX * 11 / 10 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn submit(
    client: u64,
    fronts: &[SocketAddr],
    accepted: &Accepted,
    statuses: &Mutex<std::collections::BTreeMap<u16, u64>>,
) {
    let mut number = client;
    while !accepted.stops.load(Ordering::Relaxed) {
        number += CLIENTS;
        let (job, item) = (
            format!("7c41e0{number:010x}"),
            format!("e5b290{number:010x}"),
        );
        let body = format!(
            r#"{{"items":[{{"id":"{item}","path":"/batch/3/{item}","headers":{{"X-Bambooroute-Model":"m","X-Bambooroute-Token-Usage":"600,400","X-Bambooroute-Prompt-Prefix":"9c2e41:300,{item}:300"}},"body":"{}","tokens":{TOKENS}}}]}}"#,
            base64::encode(b"prompt")
        );
        for attempt in 0..2 {
            let front =
                fronts[((number / CLIENTS + attempt + client) % fronts.len() as u64) as usize];
            let headers = [
                ("Host", HOST),
                ("X-Bambooroute-Request-Id", job.as_str()),
                ("Content-Type", "application/json"),
            ];
            let answer = http::call(
                front,
                "POST",
                "/batch/7c41e0",
                &headers,
                body.as_bytes(),
                Duration::from_secs(4),
            );
            let status = answer.map_or(0, |answer| answer.status);
            *statuses.lock().unwrap().entry(status).or_default() += 1;
            if status == 202 {
                let tokens = accepted.tokens.fetch_add(TOKENS, Ordering::Relaxed) + TOKENS;
                accepted.most.fetch_max(tokens, Ordering::Relaxed);
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}
