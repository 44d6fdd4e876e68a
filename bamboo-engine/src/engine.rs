//! The engine: admission of sequences and iterations over the running batch.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::CacheEvent;
use crate::EngineOptions;
use crate::PrefixCache;

/// Error of adding a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddError {
    /// The queue of waiting sequences is full.
    QueueFull,
    /// A sequence with the same identifier is running or waiting.
    Duplicate,
    /// The sequence does not fit into the key-value cache even when it runs alone.
    TooLarge,
}

/// A request to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sequence {
    /// Identifier.
    pub id: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: usize,
    /// Hashes of the prompt's prefix blocks.
    pub blocks: Vec<u64>,
    /// Length of the whole completion, in tokens.
    pub completion_tokens: usize,
    /// Number of completion tokens that were generated before this request.
    pub resume_from: usize,
}

/// A token that an iteration generated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Identifier of the sequence.
    pub id: String,
    /// Index in the completion, from 0.
    pub index: usize,
    /// Whether it is the last token of the completion.
    pub is_last: bool,
}

/// Result of one iteration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Duration of the iteration.
    pub duration: Duration,
    /// Tokens that become available at the end of the iteration.
    pub tokens: Vec<Token>,
}

/// Load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of running sequences.
    pub running_count: usize,
    /// Number of waiting sequences.
    pub waiting_count: usize,
    /// Reserved part of the key-value cache, in tokens.
    pub memory_used_tokens: usize,
}

#[derive(Debug)]
struct RunningSequence {
    sequence: Sequence,
    prefill_remaining: usize,
    generated_count: usize,
    reserved_tokens: usize,
}

/// The modelled engine.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    waiting: VecDeque<Sequence>,
    running: Vec<RunningSequence>,
    memory_used_tokens: usize,
    cache: PrefixCache,
    cache_events: Vec<CacheEvent>,
}

impl Engine {
    /// Creates an idle engine.
    ///
    /// ```
    /// let mut engine = bamboo_engine::Engine::new(bamboo_engine::EngineOptions::default());
    /// assert!(engine.step().is_none());
    /// ```
    pub fn new(options: EngineOptions) -> Self {
        let cache = PrefixCache::new(options.cache_blocks);
        Engine {
            options,
            waiting: VecDeque::new(),
            running: Vec::new(),
            memory_used_tokens: 0,
            cache,
            cache_events: Vec::new(),
        }
    }

    /// Adds a sequence to the queue.
    ///
    /// # Errors
    /// Fails if the sequence is a duplicate, is too large for the key-value cache, or the queue is full.
    pub fn add(&mut self, sequence: Sequence) -> Result<(), AddError> {
        if self.ids().any(|id| id == sequence.id) {
            return Err(AddError::Duplicate);
        }
        if sequence.prompt_tokens + sequence.completion_tokens > self.options.memory_tokens {
            return Err(AddError::TooLarge);
        }
        if self.waiting.len() >= self.options.queue_max {
            return Err(AddError::QueueFull);
        }
        self.waiting.push_back(sequence);
        Ok(())
    }

    /// Removes a waiting or running sequence and returns whether it existed.
    pub fn cancel(&mut self, id: &str) -> bool {
        if let Some(index) = self.waiting.iter().position(|sequence| sequence.id == id) {
            self.waiting.remove(index);
            return true;
        }
        let Some(index) = self
            .running
            .iter()
            .position(|running| running.sequence.id == id)
        else {
            return false;
        };
        let running = self.running.remove(index);
        self.memory_used_tokens -= running.reserved_tokens;
        true
    }

    /// Returns the identifiers of all running and waiting sequences.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        let running = self
            .running
            .iter()
            .map(|running| running.sequence.id.as_str());
        running.chain(self.waiting.iter().map(|sequence| sequence.id.as_str()))
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running_count: self.running.len(),
            waiting_count: self.waiting.len(),
            memory_used_tokens: self.memory_used_tokens,
        }
    }

    /// Returns the changes of the prefix cache since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.cache_events)
    }

    /// Runs one iteration, or returns `None` if there are no sequences to run.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let decoding: Vec<bool> = self
            .running
            .iter()
            .map(|running| running.prefill_remaining == 0)
            .collect();
        let prefilled_tokens = self.prefill();
        let decoding_count = decoding.iter().filter(|is_decoding| **is_decoding).count() as u32;
        let duration = self.options.step_base
            + self.options.step_per_sequence * decoding_count
            + self.options.prefill_per_token * prefilled_tokens as u32;
        let tokens = self.decode();
        Some(Step { duration, tokens })
    }

    fn admit(&mut self) {
        while self.running.len() < self.options.max_sequences {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let reserved_tokens = next.prompt_tokens + next.completion_tokens;
            if self.memory_used_tokens + reserved_tokens > self.options.memory_tokens {
                return;
            }
            if let Some(sequence) = self.waiting.pop_front() {
                self.start(sequence, reserved_tokens);
            }
        }
    }

    fn start(&mut self, sequence: Sequence, reserved_tokens: usize) {
        let cached_tokens = self.cache.hit_count(&sequence.blocks) * self.options.block_tokens;
        let context_tokens = sequence.prompt_tokens + sequence.resume_from;
        self.memory_used_tokens += reserved_tokens;
        // At least one token is always prefilled: the first completion token is sampled from its output.
        let prefill_remaining = context_tokens.saturating_sub(cached_tokens).max(1);
        let generated_count = sequence.resume_from;
        self.running.push(RunningSequence {
            sequence,
            prefill_remaining,
            generated_count,
            reserved_tokens,
        });
    }

    fn prefill(&mut self) -> usize {
        let mut budget = self.options.prefill_chunk_tokens;
        for running in &mut self.running {
            let computed = running.prefill_remaining.min(budget);
            if computed == 0 {
                continue;
            }
            running.prefill_remaining -= computed;
            budget -= computed;
            if running.prefill_remaining == 0 {
                self.cache_events
                    .extend(self.cache.insert(&running.sequence.blocks));
            }
        }
        self.options.prefill_chunk_tokens - budget
    }

    fn decode(&mut self) -> Vec<Token> {
        let mut tokens = Vec::new();
        for running in &mut self.running {
            if running.prefill_remaining > 0 {
                continue;
            }
            let index = running.generated_count;
            running.generated_count += 1;
            let is_last = running.generated_count >= running.sequence.completion_tokens;
            tokens.push(Token {
                id: running.sequence.id.clone(),
                index,
                is_last,
            });
        }
        let freed: usize = self
            .running
            .iter()
            .filter(|running| is_finished(running))
            .map(|running| running.reserved_tokens)
            .sum();
        self.memory_used_tokens -= freed;
        self.running.retain(|running| !is_finished(running));
        tokens
    }
}

fn is_finished(running: &RunningSequence) -> bool {
    running.prefill_remaining == 0 && running.generated_count >= running.sequence.completion_tokens
}
