//! Measures the time of one request and its release at a broker with many engines and long queues.

use std::time::Duration;
use std::time::Instant;

use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::Work;

const ENGINES: usize = 89;
const SLOTS: usize = 7;
const ROUNDS: u64 = 500;

fn request(number: u64, is_online: bool) -> SlotRequest {
    let work = match is_online {
        true => Work::Online {
            start_by: Duration::from_millis(900 + number),
            expires_at: Duration::from_secs(60),
        },
        false => Work::Batch {
            due: Duration::from_millis(18_000 + number),
            remaining: Duration::from_secs(5),
        },
    };
    SlotRequest {
        host: format!("10.1.0.{}:7480", number % 61),
        id: number,
        service: "model-service".to_owned(),
        data_centre: "a".to_owned(),
        work,
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
    }
}

fn main() {
    for (online_waiting, batch_waiting) in [(0, 0), (0, 1000), (300, 0), (300, 1000)] {
        let mut broker = Broker::default();
        for index in 0..ENGINES {
            let engine = Engine {
                server: format!("i-{index:010x}"),
                service: "model-service".to_owned(),
                data_centre: ["a", "b", "c", "d"][index % 4].to_owned(),
                slots: SLOTS,
                is_ready: true,
                version: "v1".to_owned(),
            };
            broker.put_engine(engine, false, Duration::ZERO);
        }
        let running = (ENGINES * SLOTS) as u64;
        let queued = running + online_waiting;
        for number in 0..queued {
            broker.request_slot(request(number, true), Duration::ZERO);
        }
        for number in 0..batch_waiting {
            broker.request_slot(request(1_000_000 + number, false), Duration::ZERO);
        }
        broker.take_actions();
        let started = Instant::now();
        for round in 0..ROUNDS {
            let now = Duration::from_millis(1 + round);
            broker.request_slot(request(queued + round, true), now);
            let old = request(round, true);
            broker.release(&old.host, old.id, None, RunOutcome::Done, now);
            broker.take_actions();
        }
        let each = started.elapsed() / ROUNDS as u32;
        println!(
            "{online_waiting} online and {batch_waiting} batch waiting: {each:?} for a request and a release"
        );
    }
}
