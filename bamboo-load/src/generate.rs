//! Prompts, items and arrival times, all from a seed.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Words of a prompt beyond its common prefix.
const SUFFIX_WORDS: std::ops::Range<usize> = 20..200;
/// Words of the prefix that requests of one kind share.
const PREFIX_WORDS: usize = 160;
/// Kinds of requests, each with a prefix of its own.
const PREFIX_COUNT: u32 = 12;

/// A prompt of one of a few kinds.
pub(crate) fn prompt(rng: &mut ChaCha8Rng) -> String {
    let kind = rng.random_range(0..PREFIX_COUNT);
    let prefix = (0..PREFIX_WORDS).map(|word| format!("p{kind}-{word}"));
    let suffix_word_count = rng.random_range(SUFFIX_WORDS);
    let suffix = (0..suffix_word_count)
        .map(|_| format!("w{}", rng.random_range(0..100_000u32)))
        .collect::<Vec<_>>();
    prefix.chain(suffix).collect::<Vec<String>>().join(" ")
}

/// The JSONL text of a job.
pub(crate) fn items_jsonl(
    rng: &mut ChaCha8Rng,
    model: &str,
    count: usize,
    max_tokens: usize,
) -> String {
    let mut text = String::new();
    for index in 0..count {
        let body = json!({ "model": model, "prompt": prompt(rng), "max_tokens": max_tokens });
        let line = json!({ "custom_id": format!("item-{index}"), "body": body });
        text.push_str(&line.to_string());
        text.push('\n');
    }
    text
}

/// Time to the next arrival of a Poisson process.
pub(crate) fn interarrival_time(rng: &mut ChaCha8Rng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    Duration::from_secs_f64((-uniform.ln() / rate_per_s).min(60.0))
}
