//! Callers that are refused in an overload and return at the time that they were told.

use std::collections::BTreeMap;
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

const SLOTS: usize = 80;
const RUN_MS: u64 = 700;
const STEP_MS: u64 = 5;
/// Interval for which returns are counted, and how many times the slots' rate may return in it.
const HERD_MS: usize = 50;
const HERD_MAX: f64 = 2.0;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(id: SlotRequestId, now: u64) -> SlotRequest {
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
        version: None,
        terms: RequestTerms {
            begin_by: Some(at(now + 2_000)),
            ..RequestTerms::default()
        },
    }
}

/// Guards against callers that come back before there is room, or all at once: a `Retry-After` of the time that the queue
/// took at the refusal named the same time, at which no slot was free, to all that were refused together. The load is 1.5
/// times the slots' rate for a while and `base` times before and after.
#[test_case(0.5, 2_000)]
#[test_case(0.6, 4_000)]
#[test_case(0.7, 3_000)]
fn callers_that_return_when_told_are_served(base: f64, overload_ms: u64) {
    let mut broker = Broker::default();
    let engine = |server: usize| Engine {
        server: format!("s{server}"),
        service: "llm".to_owned(),
        data_centre: "a".to_owned(),
        slots: 8,
        is_ready: true,
        version: "v1".to_owned(),
    };
    (0..SLOTS / 8).for_each(|server| broker.put_engine(engine(server), false, at(0)));
    let per_step = SLOTS as f64 * STEP_MS as f64 / RUN_MS as f64;
    let mut running: Vec<(u64, SlotRequestId, String)> = Vec::new();
    let mut returns_at: BTreeMap<u64, usize> = BTreeMap::new();
    let mut is_return: Vec<bool> = vec![false];
    let mut due = 0.0;
    let (mut returned, mut served_on_return) = (0, 0);
    for now in (STEP_MS..30_000).step_by(STEP_MS as usize) {
        let (ended, rest): (Vec<_>, Vec<_>) = running.drain(..).partition(|run| run.0 <= now);
        running = rest;
        for (_, id, server) in ended {
            broker.release("h", id, Some(&server), RunOutcome::Done, at(now));
        }
        if now.is_multiple_of(250) {
            broker.tick(at(now));
        }
        let is_overloaded = (5_000..5_000 + overload_ms).contains(&now);
        due += per_step * if is_overloaded { 1.5 } else { base };
        let new = due as usize;
        due -= new as f64;
        let back = returns_at.get(&now).copied().unwrap_or(0);
        returned += back;
        for number in 0..back + new {
            is_return.push(number < back);
            broker.request_slot(request(is_return.len() as u64 - 1, now), at(now));
        }
        for action in broker.take_actions() {
            match action {
                Action::Grant {
                    request, server, ..
                } => {
                    served_on_return += usize::from(is_return[request as usize]);
                    running.push((now + RUN_MS / 2 + request * 97 % RUN_MS, request, server));
                }
                // A second refusal is a return that was in vain.
                Action::Refuse {
                    request,
                    retry_after,
                    ..
                } if !is_return[request as usize] => {
                    let at_ms = now + retry_after.as_millis() as u64;
                    *returns_at
                        .entry(at_ms / STEP_MS * STEP_MS + STEP_MS)
                        .or_default() += 1;
                }
                _ => {}
            }
        }
    }
    let steps = HERD_MS / STEP_MS as usize;
    let in_step = |ms: u64| returns_at.get(&ms).copied().unwrap_or(0);
    let starts = returns_at.keys();
    let herd = starts.map(|start| {
        (0..steps as u64)
            .map(|step| in_step(start + step * STEP_MS))
            .sum()
    });
    let herd: usize = herd.max().unwrap_or(0);
    let herd_max = (per_step * steps as f64 * HERD_MAX).ceil() as usize;
    println!(
        "{returned} returned, {served_on_return} served, {herd} of {herd_max} in {HERD_MS} ms"
    );
    assert!(returned > 50, "{returned}");
    assert!(served_on_return as f64 >= returned as f64 * 0.95);
    assert!(herd <= herd_max, "{herd}");
}
