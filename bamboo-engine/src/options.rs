//! Costs and memory of the modelled engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Costs and memory of one engine.
///
/// One iteration takes `step_base` plus `step_per_sequence` for each decoding sequence plus `prefill_per_token`
/// for each prompt token computed in it, of which there are at most `prefill_chunk_tokens`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineOptions {
    /// Sequences that run at once.
    pub max_sequences: usize,
    /// Requests that wait beyond those; more are refused.
    pub queue_max: usize,
    /// Tokens of key-value memory for running sequences.
    pub memory_tokens: usize,
    /// Time of an iteration without any sequence.
    pub step_base: Duration,
    /// Time that a decoding sequence adds.
    pub step_per_sequence: Duration,
    /// Time that a prompt token adds.
    pub prefill_per_token: Duration,
    /// Prompt tokens computed in one iteration.
    pub prefill_chunk_tokens: usize,
    /// Tokens of a prefix block.
    pub block_tokens: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            max_sequences: 64,
            queue_max: 256,
            memory_tokens: 200_000,
            step_base: Duration::from_micros(6_000),
            step_per_sequence: Duration::from_micros(120),
            prefill_per_token: Duration::from_micros(40),
            prefill_chunk_tokens: 512,
            block_tokens: 32,
            cache_blocks: 2_000,
        }
    }
}
