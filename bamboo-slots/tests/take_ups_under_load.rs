//! Streams that callers take up again, beside more new streams than the servers can run.

use std::collections::HashMap;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use test_case::test_case;

/// Slots of each server.
const SLOTS: usize = 8;
/// Mean time that a stream takes.
const RUN_MS: u64 = 700;
/// Time after which a caller gives up a stream.
const PATIENCE_MS: u64 = 2_000;
/// Step of the simulated time.
const STEP_MS: u64 = 10;
/// Time between two bursts of take-ups.
const BURST_INTERVAL_MS: u64 = 3_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine(server: usize, version: &str) -> Engine {
    Engine {
        server: format!("{version}-{server}"),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        slots: SLOTS,
        is_ready: true,
        version: version.to_owned(),
    }
}

fn request(id: SlotRequestId, is_take_up: bool, now: u64) -> SlotRequest {
    SlotRequest {
        host: "h".to_owned(),
        id,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work: Work::Online {
            start_by: at(now + 300),
            expires_at: at(now + 5_000),
        },
        excluded: Vec::new(),
        version: is_take_up.then(|| "v1".to_owned()),
        terms: RequestTerms::default(),
    }
}

/// Shares of the new streams and of the take-ups that get a slot before their callers give up.
fn started_shares(v1: usize, v2: usize, load: f64, burst: usize) -> [f64; 2] {
    let mut broker = Broker::default();
    let engines = (0..v1).map(|server| engine(server, "v1"));
    for engine in engines.chain((0..v2).map(|server| engine(server, "v2"))) {
        broker.put_engine(engine, false, at(0));
    }
    let new_per_step = ((v1 + v2) * SLOTS) as f64 * load * STEP_MS as f64 / RUN_MS as f64;
    let (mut arrived, mut begun) = ([0_u32; 2], [0_u32; 2]);
    let mut requests: HashMap<SlotRequestId, (usize, u64)> = HashMap::new();
    let mut running: Vec<(u64, SlotRequestId, String)> = Vec::new();
    let mut new_due = 0.0;
    for now in (STEP_MS..30_000).step_by(STEP_MS as usize) {
        let (ended, rest): (Vec<_>, Vec<_>) = running.drain(..).partition(|run| run.0 <= now);
        running = rest;
        for (_, id, server) in ended {
            broker.release("h", id, Some(&server), RunOutcome::Done, at(now));
        }
        if now.is_multiple_of(250) {
            broker.tick(at(now));
        }
        new_due += new_per_step;
        let new = new_due as usize;
        new_due -= new as f64;
        let take_ups = match now.is_multiple_of(BURST_INTERVAL_MS) {
            true => burst,
            false => 0,
        };
        for is_take_up in (0..take_ups + new).map(|number| number < take_ups) {
            let id = requests.len() as SlotRequestId + 1;
            requests.insert(id, (usize::from(is_take_up), now));
            arrived[usize::from(is_take_up)] += 1;
            broker.request_slot(request(id, is_take_up, now), at(now));
        }
        for action in broker.take_actions() {
            if let Action::Grant {
                request, server, ..
            } = action
            {
                let (kind, arrived_at) = requests[&request];
                begun[kind] += u32::from(now - arrived_at <= PATIENCE_MS);
                let run_ms = RUN_MS / 2 + request * 97 % RUN_MS;
                running.push((now + run_ms, request, server));
            }
        }
    }
    [0, 1].map(|kind| f64::from(begun[kind]) / f64::from(arrived[kind]))
}

/// Guards against take-ups that fare worse than new streams, because only some servers can go on with them.
#[test_case(5, 5, 0.95)]
#[test_case(2, 8, 0.95)]
#[test_case(5, 5, 1.2)]
#[test_case(2, 8, 1.2)]
#[test_case(5, 5, 2.0)]
#[test_case(2, 8, 2.0)]
fn take_ups_go_on_as_often_as_new_streams_begin(v1: usize, v2: usize, load: f64) {
    for burst in [10, 40] {
        let [new, taken_up] = started_shares(v1, v2, load, burst);
        println!("{v1} + {v2} servers, load {load}, burst {burst}: new {new:.3}, {taken_up:.3}");
        assert!(taken_up >= new, "burst {burst}: {new} {taken_up}");
    }
}
