//! Workspaces and ranks that compete for the slots of a full fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_slots::Action;
use bamboo_slots::Broker;
use bamboo_slots::Engine;
use bamboo_slots::Rank;
use bamboo_slots::RequestTerms;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequest;
use bamboo_slots::SlotRequestId;
use bamboo_slots::Work;
use bamboo_slots::fair_share;
use test_case::test_case;

const SERVERS: usize = 10;
const SLOTS: usize = 8;
const RUN_MS: u64 = 700;
const STEP_MS: u64 = 5;
const TRAFFIC_MS: u64 = 20_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Callers of one kind: their workspace, their rank and their load relative to all slots.
struct Callers {
    workspace: String,
    rank: Rank,
    load: f64,
}

/// Shares of the requests of each kind that begin before their callers leave.
fn begun_shares(kinds: &[Callers]) -> Vec<f64> {
    let mut broker = Broker::default();
    for server in 0..SERVERS {
        let engine = Engine {
            server: format!("s{server}"),
            service: "llm".to_owned(),
            data_centre: "a".to_owned(),
            slots: SLOTS,
            is_ready: true,
            version: "v1".to_owned(),
        };
        broker.put_engine(engine, false, at(0));
    }
    let per_step = (SERVERS * SLOTS) as f64 * STEP_MS as f64 / RUN_MS as f64;
    let mut running: Vec<(u64, SlotRequestId, String)> = Vec::new();
    let mut kind_of: BTreeMap<SlotRequestId, usize> = BTreeMap::new();
    let mut due: Vec<f64> = (0..kinds.len()).map(|kind| kind as f64 / 20.0).collect();
    let (mut arrived, mut begun) = (vec![0_u32; kinds.len()], vec![0_u32; kinds.len()]);
    for now in (STEP_MS..TRAFFIC_MS).step_by(STEP_MS as usize) {
        let (ended, rest): (Vec<_>, Vec<_>) = running.drain(..).partition(|run| run.0 <= now);
        running = rest;
        for (_, id, server) in ended {
            broker.release("h", id, Some(&server), RunOutcome::Done, at(now));
        }
        if now.is_multiple_of(250) {
            broker.tick(at(now));
        }
        for (kind, callers) in kinds.iter().enumerate() {
            due[kind] += per_step * callers.load;
            while due[kind] >= 1.0 {
                due[kind] -= 1.0;
                arrived[kind] += 1;
                let id = kind_of.len() as SlotRequestId + 1;
                kind_of.insert(id, kind);
                let request = SlotRequest {
                    host: "h".to_owned(),
                    id,
                    service: "llm".to_owned(),
                    data_centre: "a".to_owned(),
                    work: Work::Online {
                        start_by: at(now + 300),
                        expires_at: at(now + 5_000),
                    },
                    excluded: Vec::new(),
                    version: None,
                    terms: RequestTerms {
                        workspace: Some(callers.workspace.clone()),
                        rank: callers.rank,
                        is_counted: true,
                        begin_by: Some(at(now + 2_000)),
                    },
                };
                broker.request_slot(request, at(now));
            }
        }
        for action in broker.take_actions() {
            if let Action::Grant {
                request, server, ..
            } = action
            {
                begun[kind_of[&request]] += 1;
                running.push((now + RUN_MS / 2 + request * 97 % RUN_MS, request, server));
            }
        }
    }
    let shares = begun.iter().zip(&arrived);
    shares
        .map(|(begun, arrived)| f64::from(*begun) / f64::from(*arrived))
        .collect()
}

/// Guards against quiet workspaces that lose as large a part of their requests as hot ones, as in the order by time alone.
#[test_case(3.0)]
#[test_case(5.0)]
#[test_case(8.0)]
fn quiet_workspaces_keep_what_they_ask_beside_hot_ones(hot_factor: f64) {
    let callers = |workspace: usize| Callers {
        workspace: format!("w{workspace}"),
        rank: Rank::default(),
        load: if workspace < 3 {
            hot_factor / 10.0
        } else {
            0.1
        },
    };
    let kinds: Vec<Callers> = (0..9).map(callers).collect();
    let shares = begun_shares(&kinds);
    println!("hot by {hot_factor}: {shares:.3?}");
    for share in &shares[3..] {
        assert!(*share >= 0.9, "{shares:?}");
    }
}

/// Guards against urgent requests that wait behind less urgent ones that arrived before.
#[test_case(Rank { workspace: 0, route: 1 })]
#[test_case(Rank { workspace: 1, route: 0 })]
fn urgent_requests_are_served_before_less_urgent_ones(less_urgent: Rank) {
    let callers = |rank: Rank, load: f64| Callers {
        workspace: "w".to_owned(),
        rank,
        load,
    };
    let kinds = [callers(Rank::default(), 0.8), callers(less_urgent, 0.8)];
    let shares = begun_shares(&kinds);
    println!("{less_urgent:?}: {shares:.3?}");
    assert!(shares[0] >= 0.98, "{shares:?}");
    assert!(shares[1] <= shares[0], "{shares:?}");
}

/// Guards against a share that leaves slots unused, or that gives a workspace more than it asks for.
#[test]
fn a_fair_share_divides_what_the_others_leave() {
    assert_eq!(fair_share(&[], 8), None);
    assert_eq!(fair_share(&[3, 3], 8), None);
    assert_eq!(fair_share(&[8, 8], 8), Some(4.0));
    assert_eq!(fair_share(&[9, 1, 9, 2], 9), Some(3.0));
    assert_eq!(fair_share(&[4, 4], 0), Some(0.0));
}
