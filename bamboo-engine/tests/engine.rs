//! Scheduling, prefill, caching and admission of the modelled engine.

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
fn every_token_is_generated_once_and_in_order() {
    let mut engine = Engine::new(EngineOptions::default());
    engine
        .add(sequence("a", 1000, 5))
        .expect("sequence is accepted");
    let indexes: Vec<usize> = run(&mut engine)
        .into_iter()
        .map(|(_, index)| index)
        .collect();
    assert_eq!(indexes, vec![0, 1, 2, 3, 4]);
    assert_eq!(engine.load().memory_used_tokens, 0);
}

#[test]
fn a_resumed_sequence_generates_only_the_remaining_tokens() {
    let mut engine = Engine::new(EngineOptions::default());
    engine
        .add(Sequence {
            resume_from: 3,
            ..sequence("a", 10, 5)
        })
        .expect("sequence is accepted");
    let indexes: Vec<usize> = run(&mut engine)
        .into_iter()
        .map(|(_, index)| index)
        .collect();
    assert_eq!(indexes, vec![3, 4]);
}

#[test]
fn a_prefill_extends_the_iteration_of_all_sequences() {
    let mut engine = Engine::new(EngineOptions::default());
    engine
        .add(sequence("a", 1, 50))
        .expect("sequence is accepted");
    engine.step();
    let decode_only = engine.step().expect("a step").duration;
    engine
        .add(sequence("b", 512, 50))
        .expect("sequence is accepted");
    let with_prefill = engine.step().expect("a step").duration;
    assert!(
        with_prefill > decode_only * 2,
        "{decode_only:?} {with_prefill:?}"
    );
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
            .expect("sequence is accepted");
        engine.step().expect("a step").duration
    };
    let uncached = first_step("a");
    let cached = first_step("b");
    assert!(cached < uncached, "{uncached:?} {cached:?}");
}

#[test]
fn cancelling_a_running_sequence_admits_the_next() {
    let mut engine = Engine::new(EngineOptions {
        max_sequences: 1,
        ..EngineOptions::default()
    });
    engine
        .add(sequence("a", 1, 50))
        .expect("sequence is accepted");
    engine
        .add(sequence("b", 1, 1))
        .expect("sequence is accepted");
    engine.step();
    assert!(engine.cancel("a"));
    assert!(!engine.cancel("a"));
    assert_eq!(run(&mut engine), vec![("b".to_owned(), 0)]);
}

#[test]
fn oversized_duplicate_and_excess_sequences_are_rejected() {
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
    engine
        .add(sequence("a", 1, 1))
        .expect("sequence is accepted");
    assert_eq!(engine.add(sequence("a", 1, 1)), Err(AddError::Duplicate));
    assert_eq!(engine.add(sequence("b", 1, 1)), Err(AddError::QueueFull));
}
