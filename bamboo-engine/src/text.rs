//! Tokenization and completions of the model.
//!
//! The text of a completion is a function of the prompt, so a test can verify the output of any run.

use xxhash_rust::xxh3::xxh3_64;

/// Vocabulary of completions.
const WORDS: [&str; 16] = [
    "nozzle", "load", "span", "support", "athlete", "ranking", "heat", "record", "stress",
    "thermal", "growth", "entry", "code", "note", "meet", "line",
];

/// Returns the number of tokens in a text, one per word.
///
/// ```
/// assert_eq!(bamboo_engine::count_tokens("check nozzle N1"), 3);
/// ```
pub fn count_tokens(text: &str) -> usize {
    text.split_whitespace().count()
}

/// Returns the hashes of the full prefix blocks of a text.
///
/// Each hash covers its block and all blocks before it.
///
/// ```
/// let blocks = bamboo_engine::prefix_blocks("a b c d", 2);
/// assert_eq!(blocks.len(), 2);
/// assert_eq!(bamboo_engine::prefix_blocks("a b x y", 2)[0], blocks[0]);
/// ```
pub fn prefix_blocks(text: &str, block_tokens: usize) -> Vec<u64> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let mut hash = 0;
    let full_blocks = words.chunks_exact(block_tokens.max(1));
    full_blocks
        .map(|block| {
            hash = xxh3_64(format!("{hash:x}/{}", block.join(" ")).as_bytes());
            hash
        })
        .collect()
}

/// Returns the length of the completion of a prompt, in tokens: at least 1 and at most `max_tokens`.
///
/// ```
/// assert!(bamboo_engine::completion_length("check", 16) <= 16);
/// ```
pub fn completion_length(prompt: &str, max_tokens: usize) -> usize {
    let length = max_tokens / 2 + (xxh3_64(prompt.as_bytes()) as usize) % (max_tokens / 2 + 1);
    length.clamp(1, max_tokens.max(1))
}

/// Returns the text of the completion token at `index`.
///
/// ```
/// assert_eq!(bamboo_engine::token_text("check", 3), bamboo_engine::token_text("check", 3));
/// ```
pub fn token_text(prompt: &str, index: usize) -> String {
    let hash = xxh3_64(format!("{index}/{prompt}").as_bytes());
    format!("{}{} ", WORDS[(hash % 16) as usize], index)
}
