//! Cost model and capacity of the modelled engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Cost model and capacity of one engine.
///
/// One iteration takes `step_base` plus `step_per_sequence` for each decoding sequence plus `prefill_per_token`
/// for each prompt token computed in it, of which there are at most `prefill_chunk_tokens`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineOptions {
    /// Maximum number of sequences that run concurrently.
    pub max_sequences: usize,
    /// Maximum number of waiting sequences; further ones are rejected.
    pub queue_max: usize,
    /// Capacity of the key-value cache for running sequences, in tokens.
    pub memory_tokens: usize,
    /// Fixed time of an iteration.
    pub step_base: Duration,
    /// Time that each decoding sequence adds to an iteration.
    pub step_per_sequence: Duration,
    /// Time that each prefilled token adds to an iteration.
    pub prefill_per_token: Duration,
    /// Maximum number of tokens prefilled in one iteration, over all sequences.
    pub prefill_chunk_tokens: usize,
    /// Number of tokens in a prefix block.
    pub block_tokens: usize,
    /// Capacity of the prefix cache, in blocks.
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
