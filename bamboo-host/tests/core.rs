//! Several host cores with fakes at their interfaces, without faults.

mod support;

use std::time::Duration;

use bamboo_host::Answer;
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
    assert_eq!(refusal.code, bamboo_result::Code::KeyReused);
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
