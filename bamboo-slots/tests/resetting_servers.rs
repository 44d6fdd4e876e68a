//! Load pattern: a few servers accept every request and reset it at once, while the runs that they began before go on.
//! Such servers always have free slots, so that they attract requests.

use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;

/// Failed runs without a completed one in between that eject a server.
const BROKEN_RUNS: u64 = 4;
/// Duration of the first ejection.
const EJECTION_MS: u64 = 500;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn broker(servers: &[&str], slots: usize) -> Broker {
    let mut broker = Broker::default();
    for server in servers {
        let engine = Engine {
            server: (*server).to_owned(),
            service: "llm".to_owned(),
            data_centre: "a".to_owned(),
            slots,
            is_ready: true,
            version: "v1".to_owned(),
        };
        broker.put_engine(engine, false, at(0));
    }
    broker
}

fn request(broker: &mut Broker, id: SlotRequestId, work: Work, now_ms: u64) {
    let request = SlotRequest {
        host: "h1".to_owned(),
        id,
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        work,
        excluded: Vec::new(),
        version: None,
        terms: RequestTerms::default(),
    };
    broker.request_slot(request, at(now_ms));
}

fn online(now_ms: u64) -> Work {
    Work::Online {
        start_by: at(now_ms + 300),
        expires_at: at(now_ms + 5_000),
    }
}

fn batch(now_ms: u64) -> Work {
    Work::Batch {
        due: at(now_ms + 18_000),
        remaining: at(3_000),
    }
}

/// Servers of the granted requests, by request.
fn grants(broker: &mut Broker) -> Vec<(SlotRequestId, String)> {
    let grant = |action| match action {
        Action::Grant {
            request, server, ..
        } => Some((request, server)),
        _ => None,
    };
    broker
        .take_actions()
        .into_iter()
        .filter_map(grant)
        .collect()
}

/// Ejects the only server, on which request 1 has been running since before.
fn broker_with_ejected_server() -> Broker {
    let mut broker = broker(&["s1"], 8);
    request(&mut broker, 1, online(0), 0);
    for id in 2..2 + BROKEN_RUNS {
        request(&mut broker, id, online(100), 100);
        broker.release("h1", id, Some("s1"), RunOutcome::Broken, at(101));
    }
    grants(&mut broker);
    request(&mut broker, 10, online(102), 102);
    assert!(grants(&mut broker).is_empty());
    broker
}

#[test]
fn a_run_from_before_the_ejection_does_not_end_it() {
    let mut broker = broker_with_ejected_server();
    broker.release("h1", 1, Some("s1"), RunOutcome::Done, at(300));
    for id in 11..15 {
        request(&mut broker, id, online(310), 310);
    }
    assert!(grants(&mut broker).is_empty());
    broker.tick(at(102 + EJECTION_MS));
    assert_eq!(grants(&mut broker).len(), 1, "one probe");
}

#[test]
fn a_failure_from_before_the_ejection_does_not_extend_it() {
    let mut broker = broker_with_ejected_server();
    broker.tick(at(102 + EJECTION_MS));
    let probe = grants(&mut broker)[0].0;
    broker.release("h1", 1, Some("s1"), RunOutcome::Broken, at(650));
    broker.release("h1", probe, Some("s1"), RunOutcome::Done, at(700));
    request(&mut broker, 20, online(700), 700);
    assert_eq!(grants(&mut broker).len(), 1);
}

#[test]
fn a_run_from_before_the_ejection_does_not_delay_the_probe() {
    let mut broker = broker_with_ejected_server();
    broker.tick(at(102 + EJECTION_MS));
    assert_eq!(grants(&mut broker).len(), 1, "request 1 still runs");
}

/// A batch item resumes elsewhere if the probe fails. An online request may be lost.
#[test]
fn an_online_request_does_not_probe_a_server_while_another_one_has_a_slot() {
    let mut broker = broker(&["s1", "s2"], 2);
    for id in 1..=BROKEN_RUNS {
        request(&mut broker, id, online(0), 0);
        let server = grants(&mut broker)[0].1.clone();
        assert_eq!(server, "s1");
        broker.release("h1", id, Some("s1"), RunOutcome::Broken, at(1));
    }
    let after = 10 + EJECTION_MS;
    request(&mut broker, 10, online(after), after);
    assert_eq!(grants(&mut broker), [(10, "s2".to_owned())]);
    request(&mut broker, 11, batch(after), after);
    broker.grant_due(at(after + 100));
    assert_eq!(grants(&mut broker), [(11, "s1".to_owned())]);
}
