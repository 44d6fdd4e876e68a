//! Several host cores in the simulation, without faults.

mod support;

use std::time::Duration;

use bamboo_host::Answer;
use bamboo_result::Code;
use support::check::all_jobs_ended;
use support::check::record_accepted_job;
use support::check::violations;
use support::world::Simulation;

/// Time for a fleet to become ready.
const STARTUP_TIME: Duration = Duration::from_secs(4);

#[test]
fn a_job_completes_and_every_item_counts_once() {
    let mut sim = Simulation::new(1, 3, 2);
    sim.run(STARTUP_TIME);
    let (request, job) = sim.submit("h0", "first", 50);
    sim.run(Duration::from_secs(1));
    let answer = sim
        .answers
        .get(&request)
        .cloned()
        .expect("answer to the submit");
    assert!(
        matches!(&answer, Answer::Job(view) if view.job == job),
        "{answer:?}"
    );
    record_accepted_job(&mut sim, &answer);
    let limit = sim.now + Duration::from_secs(30);
    assert!(sim.run_until(limit, all_jobs_ended), "the job did not end");
    sim.run(Duration::from_secs(1));
    assert_eq!(violations(&sim), Vec::<String>::new());
}

#[test]
fn a_resent_submit_returns_the_same_job() {
    let mut sim = Simulation::new(2, 3, 2);
    sim.run(STARTUP_TIME);
    let (first, job) = sim.submit("h0", "same", 10);
    let (second, again) = sim.submit("h1", "same", 10);
    assert_eq!(job, again);
    sim.run(Duration::from_secs(2));
    for request in [first, second] {
        assert!(
            matches!(sim.answers.get(&request), Some(Answer::Job(view)) if view.total_count == 10)
        );
    }
}

#[test]
fn other_items_under_a_used_key_are_refused() {
    let mut sim = Simulation::new(3, 3, 2);
    sim.run(STARTUP_TIME);
    sim.submit("h0", "same", 10);
    sim.run(Duration::from_secs(2));
    let (request, _) = sim.submit("h1", "same", 11);
    sim.run(Duration::from_secs(2));
    let Some(Answer::Refused(refusal)) = sim.answers.get(&request) else {
        panic!("{:?}", sim.answers.get(&request));
    };
    assert_eq!(refusal.code, Code::KeyReused);
}

#[test]
fn a_cancelled_job_stops() {
    let mut sim = Simulation::new(4, 3, 2);
    sim.run(STARTUP_TIME);
    let (_, job) = sim.submit("h0", "long", 500);
    sim.run(Duration::from_secs(3));
    let request = sim.cancel("h2", job);
    sim.run(Duration::from_secs(2));
    assert!(
        matches!(sim.answers.get(&request), Some(Answer::Job(view)) if view.ended_ms.is_some())
    );
    let ran = sim.item_run_counts.len();
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.item_run_counts.len(), ran, "items ran after the cancel");
}

#[test]
fn of_two_concurrent_changes_one_applies_and_one_conflicts() {
    let mut sim = Simulation::new(5, 3, 2);
    sim.run(STARTUP_TIME);
    let first = sim.propose("h0", "model-a", 0, 1);
    let second = sim.propose("h1", "model-a", 0, 2);
    sim.run(Duration::from_secs(2));
    let outcomes: Vec<String> = [first, second]
        .iter()
        .map(|request| format!("{:?}", sim.answers.get(request)))
        .collect();
    assert_eq!(
        outcomes
            .iter()
            .filter(|text| text.contains("Applied"))
            .count(),
        1,
        "{outcomes:?}"
    );
    assert_eq!(
        outcomes
            .iter()
            .filter(|text| text.contains("Conflict"))
            .count(),
        1,
        "{outcomes:?}"
    );
}

/// Guards against an operator whose change is answered, and who does not find it among the changes or resources right after,
/// since the answer goes out before the configuration is published to the threads that serve operators.
#[test]
fn a_change_is_published_before_it_is_answered() {
    let mut sim = Simulation::new(7, 3, 2);
    sim.run(STARTUP_TIME);
    let requests = [
        sim.propose("h0", "model-a", 0, 1),
        sim.propose("h1", "model-a", 0, 2),
    ];
    sim.run(Duration::from_secs(2));
    let is_answered = |request: &&u128| matches!(sim.answers.get(request), Some(Answer::Config(_)));
    assert_eq!(requests.iter().filter(is_answered).count(), 2);
    assert_eq!(sim.unpublished_answers, Vec::<u128>::new());
}

#[test]
fn a_call_is_answered_when_the_earlier_claim_of_its_key_is_released() {
    for delay_ms in 0..60 {
        let mut sim = Simulation::new(6, 3, 1);
        sim.run(STARTUP_TIME);
        // There is no server for the calls, so the first claim is released, before or after the owner has replied
        // to the query about the second.
        sim.keyed_call("h0", "key");
        sim.run(Duration::from_millis(delay_ms));
        let second = sim.keyed_call("h1", "key");
        sim.run(Duration::from_secs(1));
        let answer = sim.answers.get(&second);
        let code = match answer {
            Some(Answer::Refused(refusal)) => refusal.code,
            other => panic!("{delay_ms} ms: {other:?}"),
        };
        let is_correct = matches!(code, Code::NoServer | Code::OutcomeUnknown);
        assert!(is_correct, "{delay_ms} ms: {code:?}");
    }
}
