//! The route of a batch job is removed, a gateway is stopped and started again, and the batch job comes again there.

use std::net::SocketAddr;
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

const JOB: &str = "7c41e09b52d6a3f8";
const ITEM: &str = "e5b2907c14da0001";
/// `config_apply_ms` of the settings.
const CONFIG_APPLIED: Duration = Duration::from_millis(2000);
/// `stable_ms` of the settings, and a little more.
const STABLE: Duration = Duration::from_millis(3200);
/// Attempts that the rule allows to be turned away.
const TURNED_AWAY_MAX: usize = 2;

pub fn run(record: &Record) -> Result<Verdict, Failure> {
    let store = Store::start(own_address(1))?;
    store.put("keyed.op", "config", manifest(1).as_bytes());
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
    let mut gateways = start_gateways(&store, 3)?;
    std::thread::sleep(Duration::from_millis(1500));
    let body = format!(
        r#"{{"items":[{{"id":"{ITEM}","path":"/batch/3/1","headers":{{"X-Bambooroute-Model":"m","X-Bambooroute-Token-Usage":"600,400","X-Bambooroute-Prompt-Prefix":"9c2e41:300,{ITEM}:300"}},"body":"{}","tokens":1000}}]}}"#,
        base64::encode(b"prompt")
    );
    let send = |front: SocketAddr| {
        let headers = [
            ("Host", HOST),
            ("X-Bambooroute-Request-Id", JOB),
            ("Content-Type", "application/json"),
        ];
        let timeout = Duration::from_secs(4);
        http::call(
            front,
            "POST",
            "/batch/7c41e0",
            &headers,
            body.as_bytes(),
            timeout,
        )
        .map_or(0, |answer| answer.status)
    };
    let status = send(gateways[0].front);
    record.write(&format!("client: batch job {JOB} to front-1: {status}"));
    if status != 202 {
        return Err("the batch job was not accepted".into());
    }
    if has_trouble() {
        let all = manifest(2);
        let other_routes: Vec<&str> = all
            .lines()
            .filter(|line| !line.contains("r-batch"))
            .collect();
        let changed = other_routes
            .join("\n")
            .replace("},\n\"services", "}],\n\"services");
        store.put("keyed.op", "config", changed.as_bytes());
        record.write("operator: a manifest without the batch route");
    }
    std::thread::sleep(CONFIG_APPLIED);
    gateways[1].stop(Duration::from_secs(8))?;
    gateways[1].restart()?;
    gateways[1].wait_ready()?;
    record.write("platform: front-2 was stopped by SIGTERM, and is ready again");
    std::thread::sleep(STABLE);
    let mut turned_away = 0;
    for _ in 0..=TURNED_AWAY_MAX {
        let status = send(gateways[1].front);
        record.write(&format!("client: the same batch job to front-2: {status}"));
        turned_away += usize::from((400..500).contains(&status));
        std::thread::sleep(Duration::from_millis(300));
    }
    let target = format!("/lots/{JOB}?after=0");
    let read = http::call(
        gateways[1].front,
        "GET",
        &target,
        &[("Host", HOST)],
        b"",
        Duration::from_secs(3),
    )?;
    record.write(&format!(
        "client: a read of the batch job at front-2: {} {}",
        read.status,
        String::from_utf8_lossy(&read.body)
    ));
    if turned_away <= TURNED_AWAY_MAX {
        return Ok(Verdict::Held);
    }
    record.write("LOST: an accepted batch job that comes again is turned away three times");
    Ok(Verdict::Broken)
}
