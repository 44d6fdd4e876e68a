//! Several host cores with fakes at their interfaces, without faults.

mod support;

use std::time::Duration;

use bamboo_host::Answer;
use bamboo_result::Code;
use support::check::all_ended;
use support::check::note_answer;
use support::check::violations;
use support::world::World;

/// Time for a fleet to become ready.
const SETTLE: Duration = Duration::from_secs(4);

#[test]
fn a_job_completes_and_every_item_counts_once() {
    let mut world = World::new(1, 3, 2);
    world.run(SETTLE);
    let (request, job) = world.submit("h0", "first", 50);
    world.run(Duration::from_secs(1));
    let answer = world
        .answers
        .get(&request)
        .cloned()
        .expect("answer to the submit");
    assert!(
        matches!(&answer, Answer::Job(view) if view.job == job),
        "{answer:?}"
    );
    note_answer(&mut world, &answer);
    let limit = world.now + Duration::from_secs(30);
    assert!(world.run_until(limit, all_ended), "the job did not end");
    world.run(Duration::from_secs(1));
    assert_eq!(violations(&world), Vec::<String>::new());
}

#[test]
fn a_resent_job_is_the_same_job() {
    let mut world = World::new(2, 3, 2);
    world.run(SETTLE);
    let (first, job) = world.submit("h0", "same", 10);
    let (second, again) = world.submit("h1", "same", 10);
    assert_eq!(job, again);
    world.run(Duration::from_secs(2));
    for request in [first, second] {
        assert!(
            matches!(world.answers.get(&request), Some(Answer::Job(view)) if view.total_count == 10)
        );
    }
}

#[test]
fn other_items_under_a_used_key_are_refused() {
    let mut world = World::new(3, 3, 2);
    world.run(SETTLE);
    world.submit("h0", "same", 10);
    world.run(Duration::from_secs(2));
    let (request, _) = world.submit("h1", "same", 11);
    world.run(Duration::from_secs(2));
    let Some(Answer::Refused(refusal)) = world.answers.get(&request) else {
        panic!("{:?}", world.answers.get(&request));
    };
    assert_eq!(refusal.code, Code::KeyReused);
}

#[test]
fn a_cancelled_job_stops() {
    let mut world = World::new(4, 3, 2);
    world.run(SETTLE);
    let (_, job) = world.submit("h0", "long", 500);
    world.run(Duration::from_secs(3));
    let request = world.cancel("h2", job);
    world.run(Duration::from_secs(2));
    assert!(
        matches!(world.answers.get(&request), Some(Answer::Job(view)) if view.ended_ms.is_some())
    );
    let ran = world.ran_items.len();
    world.run(Duration::from_secs(5));
    assert_eq!(world.ran_items.len(), ran, "items ran after the cancel");
}

#[test]
fn the_loser_of_a_race_gets_the_newer_text() {
    let mut world = World::new(5, 3, 2);
    world.run(SETTLE);
    let first = world.propose("h0", "model-a", 0, 1);
    let second = world.propose("h1", "model-a", 0, 2);
    world.run(Duration::from_secs(2));
    let outcomes: Vec<String> = [first, second]
        .iter()
        .map(|request| format!("{:?}", world.answers.get(request)))
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

#[test]
fn a_call_whose_key_is_taken_back_meanwhile_is_answered_at_once() {
    for delay_ms in 0..60 {
        let mut world = World::new(6, 3, 1);
        world.run(SETTLE);
        // No server is there for the calls, so the first claim is taken back, before or after the second is judged.
        world.keyed_call("h0", "key");
        world.run(Duration::from_millis(delay_ms));
        let second = world.keyed_call("h1", "key");
        world.run(Duration::from_secs(1));
        let answer = world.answers.get(&second);
        let code = match answer {
            Some(Answer::Refused(refusal)) => refusal.code,
            other => panic!("{delay_ms} ms: {other:?}"),
        };
        let is_true = matches!(code, Code::NoServer | Code::OutcomeUnknown);
        assert!(is_true, "{delay_ms} ms: {code:?}");
    }
}
