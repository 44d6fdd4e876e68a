//! A server crashes in the middle of an answer without a length, and starts again, while the gateway stands still.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Failure;
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
use crate::server::Kind;
use crate::server::whole_body;
use crate::store::Store;

const ROUNDS: usize = 5;
/// One of them crashes at a time: the share of a crash is 0.17 at most.
const SERVERS: usize = 7;
/// One of them freezes at a time: the share of a freeze is 0.11 at most.
const GATEWAYS: u8 = 10;
/// Part of the answer that has been sent when the gateway freezes: `for_s` of a freeze is 3.5 at most.
const SENT_FOR: Duration = Duration::from_millis(110);
/// Time from there until the server crashes.
const CRASH_AFTER: Duration = Duration::from_millis(50);
/// Time for which the server is down: `for_s` of a crash is 4.5 at most.
const DOWN_FOR: Duration = Duration::from_millis(400);
/// Time from its start until the gateway goes on.
const WAKE_AFTER: Duration = Duration::from_millis(300);

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    store.put("keyed.op", "config", manifest(1).as_bytes());
    let ip = own_address(2);
    let mut servers = Vec::new();
    let mut ports = Vec::new();
    for number in 1..=SERVERS {
        let address = SocketAddr::from((ip, free_port(&[ip])?));
        ports.push(address);
        servers.push(Server::start(
            &store,
            record,
            "records",
            &format!("i-records-{number}"),
            address,
            Kind::Unframed,
        )?);
    }
    let model = SocketAddr::from((ip, free_port(&[ip])?));
    let _model = Server::start(&store, record, "llm", "i-llm-1", model, Kind::Model)?;
    let gateways = start_gateways(&store, GATEWAYS)?;
    std::thread::sleep(Duration::from_millis(1500));
    let mut verdict = Verdict::Held;
    for round in 1..=ROUNDS {
        let gateway = &gateways[round % gateways.len()];
        let id = format!("9c41d07be2a3{round:04x}");
        record.write(&format!(
            "client: POST /sheet/1 with id {id} to {}",
            gateway.name
        ));
        let (address, request_id) = (gateway.front, id.clone());
        let caller = std::thread::spawn(move || {
            let headers = [
                ("Host", HOST),
                ("X-Bambooroute-Request-Id", request_id.as_str()),
                ("X-Bambooroute-Deadline-Ms", "1500"),
            ];
            http::call(
                address,
                "POST",
                "/sheet/1",
                &headers,
                b"which sheet",
                Duration::from_millis(1500),
            )
            .map_err(|error| error.to_string())
        });
        std::thread::sleep(SENT_FOR);
        if has_trouble() {
            let line = format!("run {id}");
            let runner = servers
                .iter()
                .position(|server| server.lines.try_iter().any(|said| said == line));
            let runner = runner.ok_or("no server runs the request")?;
            record.write(&format!("freeze: {} stands still", gateway.name));
            signal(&gateway.child, SIGSTOP);
            std::thread::sleep(CRASH_AFTER);
            record.write(&format!(
                "crash: {} is killed in the middle of its answer",
                servers[runner].id
            ));
            servers[runner].crash();
            std::thread::sleep(DOWN_FOR);
            let new_id = format!("{}-{round}", servers[runner].id);
            servers[runner] = Server::start(
                &store,
                record,
                "records",
                &new_id,
                ports[runner],
                Kind::Unframed,
            )?;
            record.write(&format!("{new_id} has started at the same address"));
            std::thread::sleep(WAKE_AFTER);
            record.write(&format!("freeze: {} goes on", gateway.name));
            signal(&gateway.child, SIGCONT);
        }
        match caller.join().map_err(|_| "the client failed")? {
            Ok(response) => {
                let is_server_body = response.body == whole_body(&id).as_bytes();
                let length = response.body.len();
                record.write(&format!(
                    "client: {id} gets {} with {length} bytes of {}; the answer looks complete: {}; it is the server's whole body: {is_server_body}",
                    response.status, whole_body(&id).len(), response.is_whole
                ));
                if response.status == 200 && response.is_whole && !is_server_body {
                    record
                        .write("MIXED: a success with a body that is not the server's whole body");
                    verdict = Verdict::Broken;
                }
                if !has_trouble() && !is_server_body {
                    return Err("a request fails without the disruption".into());
                }
            }
            Err(error) => record.write(&format!("client: {id} gets no answer: {error}")),
        }
        std::thread::sleep(Duration::from_secs(4));
        servers
            .iter()
            .for_each(|server| server.lines.try_iter().for_each(drop));
    }
    Ok(verdict)
}
