//! Load pattern: every host returns at once, and until they agree on a coordinator each allocates all slots by itself.

use std::collections::HashMap;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::RequestTerms;
use bamboo_slots::SlotRequest;
use bamboo_slots::Work;
use test_case::test_case;

const SLOTS: usize = 7;
/// Requests that an engine queues beyond its slots are late: with slots for all, few may have to wait.
const WAITING_MAX_SHARE: f64 = 0.1;

fn data_centre(index: usize) -> String {
    format!("d{}", index % 6)
}

fn broker_of(host: &str, engines: usize) -> Broker {
    let mut broker = Broker::new(host.to_owned());
    for index in 0..engines {
        let engine = Engine {
            server: format!("s{index:03}"),
            service: "llm".to_owned(),
            data_centre: data_centre(index),
            slots: SLOTS,
            is_ready: true,
            version: "v1".to_owned(),
        };
        broker.put_engine(engine, false, Duration::ZERO);
    }
    broker
}

/// Runs by engine after each host has placed its requests by itself.
fn runs_by_engine(hosts: usize, engines: usize, requests_per_host: u64) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for index in 0..hosts {
        let host = format!("10.{}.0.{index}:7640", index % 6);
        let mut broker = broker_of(&host, engines);
        for id in 0..requests_per_host {
            let request = SlotRequest {
                host: host.clone(),
                id,
                service: "llm".to_owned(),
                data_centre: data_centre(index),
                work: Work::Online {
                    start_by: Duration::from_millis(300),
                    expires_at: Duration::from_secs(5),
                },
                excluded: Vec::new(),
                version: None,
                terms: RequestTerms::default(),
            };
            broker.request_slot(request, Duration::ZERO);
        }
        for action in broker.take_actions() {
            if let Action::Grant { server, .. } = action {
                *runs.entry(server).or_default() += 1;
            }
        }
    }
    runs
}

/// With one order for all hosts, the engines that come first in it got the requests of every host.
#[test_case(304, 192, 2; "a large fleet in a wave")]
#[test_case(60, 48, 2; "a fleet of sixty hosts")]
#[test_case(12, 9, 2; "a small fleet")]
fn hosts_that_place_alone_do_not_all_choose_the_same_engines(
    hosts: usize,
    engines: usize,
    requests_per_host: u64,
) {
    let runs = runs_by_engine(hosts, engines, requests_per_host);
    let total: usize = runs.values().sum();
    assert_eq!(total, hosts * requests_per_host as usize);
    let waiting: usize = runs.values().map(|runs| runs.saturating_sub(SLOTS)).sum();
    let share = waiting as f64 / total as f64;
    assert!(share <= WAITING_MAX_SHARE, "{waiting} of {total} wait");
}
