//! A deterministic model of an inference engine with continuous batching.
//!
//! The model does no I/O and reads no clock: [`Engine::step`] returns how long an iteration takes, and the code
//! that drives the engine advances time.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod cache;
mod engine;
mod options;
mod text;

pub use cache::CacheEvent;
pub use cache::PrefixCache;
pub use engine::AddError;
pub use engine::Engine;
pub use engine::EngineLoad;
pub use engine::Sequence;
pub use engine::Step;
pub use engine::Token;
pub use options::EngineOptions;
pub use text::completion_length;
pub use text::count_tokens;
pub use text::prefix_blocks;
pub use text::token_text;
