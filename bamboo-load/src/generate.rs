//! Seeded random prompts, items and arrival times.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Number of words of a prompt after its shared prefix.
const SUFFIX_WORDS: std::ops::Range<usize> = 20..200;
/// Number of words of a shared prefix.
const PREFIX_WORDS: usize = 160;
/// Number of different shared prefixes.
const PREFIX_COUNT: u32 = 12;

/// Returns a prompt that starts with one of the shared prefixes.
pub(crate) fn prompt(rng: &mut ChaCha8Rng) -> String {
    let prefix_index = rng.random_range(0..PREFIX_COUNT);
    let prefix = (0..PREFIX_WORDS).map(|word| format!("p{prefix_index}-{word}"));
    let suffix_word_count = rng.random_range(SUFFIX_WORDS);
    let suffix = (0..suffix_word_count)
        .map(|_| format!("w{}", rng.random_range(0..100_000u32)))
        .collect::<Vec<_>>();
    prefix.chain(suffix).collect::<Vec<String>>().join(" ")
}

/// Returns the items of a job, one JSON object per line.
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

/// Returns the time until the next arrival of a Poisson process, at most one minute.
pub(crate) fn interarrival_time(rng: &mut ChaCha8Rng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    Duration::from_secs_f64((-uniform.ln() / rate_per_s).min(60.0))
}
