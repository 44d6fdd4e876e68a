//! The engine model.

use bamboo_engine::AddError;
use bamboo_engine::Engine;
use bamboo_engine::EngineOptions;
use bamboo_engine::Sequence;

fn sequence(id: &str, prompt_tokens: usize, completion_tokens: usize) -> Sequence {
    Sequence {
        id: id.into(),
        prompt_tokens,
        blocks: Vec::new(),
        completion_tokens,
        resume_from: 0,
    }
}

fn run(engine: &mut Engine) -> Vec<(String, usize)> {
    let mut tokens = Vec::new();
    while let Some(step) = engine.step() {
        tokens.extend(step.tokens.into_iter().map(|token| (token.id, token.index)));
    }
    tokens
}

#[test]
fn every_token_is_made_once_and_in_order() {
    let mut engine = Engine::new(EngineOptions::default());
    engine.add(sequence("a", 1000, 5)).expect("room");
    let indexes: Vec<usize> = run(&mut engine)
        .into_iter()
        .map(|(_, index)| index)
        .collect();
    assert_eq!(indexes, vec![0, 1, 2, 3, 4]);
    assert_eq!(engine.load().memory_used_tokens, 0);
}

#[test]
fn a_resumed_sequence_makes_only_what_is_missing() {
    let mut engine = Engine::new(EngineOptions::default());
    engine
        .add(Sequence {
            resume_from: 3,
            ..sequence("a", 10, 5)
        })
        .expect("room");
    let indexes: Vec<usize> = run(&mut engine)
        .into_iter()
        .map(|(_, index)| index)
        .collect();
    assert_eq!(indexes, vec![3, 4]);
}

#[test]
fn a_prefill_slows_the_iteration_for_all() {
    let mut engine = Engine::new(EngineOptions::default());
    engine.add(sequence("a", 1, 50)).expect("room");
    engine.step();
    let calm = engine.step().expect("a step").duration;
    engine.add(sequence("b", 512, 50)).expect("room");
    let busy = engine.step().expect("a step").duration;
    assert!(busy > calm * 2, "{calm:?} {busy:?}");
}

#[test]
fn a_cached_prefix_is_not_computed_again() {
    let options = EngineOptions::default();
    let blocks = vec![1, 2, 3, 4];
    let prompt_tokens = options.block_tokens * blocks.len();
    let mut engine = Engine::new(options);
    let mut first_step = |id: &str| {
        engine
            .add(Sequence {
                blocks: blocks.clone(),
                ..sequence(id, prompt_tokens, 1)
            })
            .expect("room");
        engine.step().expect("a step").duration
    };
    let cold = first_step("a");
    let warm = first_step("b");
    assert!(warm < cold, "{cold:?} {warm:?}");
}

#[test]
fn cancelling_frees_the_place() {
    let mut engine = Engine::new(EngineOptions {
        max_sequences: 1,
        ..EngineOptions::default()
    });
    engine.add(sequence("a", 1, 50)).expect("room");
    engine.add(sequence("b", 1, 1)).expect("room");
    engine.step();
    assert!(engine.cancel("a"));
    assert!(!engine.cancel("a"));
    assert_eq!(run(&mut engine), vec![("b".to_owned(), 0)]);
}

#[test]
fn what_cannot_be_taken_is_refused() {
    let options = EngineOptions {
        queue_max: 1,
        memory_tokens: 100,
        ..EngineOptions::default()
    };
    let mut engine = Engine::new(options);
    assert_eq!(
        engine.add(sequence("large", 100, 1)),
        Err(AddError::TooLarge)
    );
    engine.add(sequence("a", 1, 1)).expect("room");
    assert_eq!(engine.add(sequence("a", 1, 1)), Err(AddError::Duplicate));
    assert_eq!(engine.add(sequence("b", 1, 1)), Err(AddError::QueueFull));
}
