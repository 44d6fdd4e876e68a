//! A server fails requests that it has begun to run, with status 503 and without saying that it has not run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Verdict;
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

/// One of them is grey: the share is 0.14 at most.
const SERVERS: usize = 8;
const CLIENTS: usize = 24;
/// Requests of each client.
const REQUESTS: usize = 12;

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    store.put("keyed.op", "config", manifest(1).as_bytes());
    let ip = own_address(2);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let address = SocketAddr::from((ip, free_port(&[ip])?));
        let kind = match number == 1 && has_trouble() {
            true => Kind::GreyModel,
            false => Kind::Model,
        };
        servers.push(Server::start(
            &store,
            record,
            "llm",
            &format!("i-llm-{number}"),
            address,
            kind,
        )?);
    }
    let gateways = start_gateways(&store, 3)?;
    std::thread::sleep(Duration::from_millis(1500));
    let fronts: Vec<(String, SocketAddr)> = gateways
        .iter()
        .map(|gateway| (gateway.name.clone(), gateway.front))
        .collect();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (fronts, answers, record) = (fronts.clone(), Arc::clone(&answers), record.clone());
        clients.push(std::thread::spawn(move || {
            for request in 0..REQUESTS {
                ask(client * REQUESTS + request, &fronts, &answers, &record);
            }
        }));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let runs = runs(&servers);
    let mut verdict = Verdict::Held;
    for (id, status) in answers.lock().unwrap().iter() {
        if matches!(status, 429 | 503 | 408 | 421) && runs.contains(id) {
            record.write(&format!("REFUSED: {id} is answered {status} and has run"));
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

/// Sends a request. A client repeats one that may run once only after a promise that it has not run.
fn ask(
    number: usize,
    fronts: &[(String, SocketAddr)],
    answers: &Mutex<Vec<(String, u16)>>,
    record: &Record,
) {
    for attempt in 0..2 {
        let (name, front) = &fronts[(number + attempt) % fronts.len()];
        let id = format!("9c41d07b{number:04x}{attempt:04x}");
        let prompt = format!("9c2e41:300,{number:x}:240");
        let headers = [
            ("Host", HOST),
            ("X-Bambooroute-Request-Id", id.as_str()),
            ("X-Bambooroute-Model", "m"),
            ("X-Bambooroute-Token-Usage", "540,80"),
            ("X-Bambooroute-Prompt-Prefix", prompt.as_str()),
            ("X-Bambooroute-Deadline-Ms", "5000"),
        ];
        let answer = http::call(
            *front,
            "POST",
            "/note/1",
            &headers,
            b"note",
            Duration::from_secs(5),
        );
        let status = answer.map_or(0, |answer| answer.status);
        record.write(&format!("client: {id} to {name} gets {status}"));
        answers.lock().unwrap().push((id, status));
        if !matches!(status, 429 | 503 | 408 | 421) {
            return;
        }
    }
}

/// Requests that servers have begun to run.
fn runs(servers: &[Server]) -> Vec<String> {
    let said = servers.iter().flat_map(|server| server.lines.try_iter());
    said.filter_map(|line| Some(line.strip_prefix("run ")?.to_owned()))
        .collect()
}
