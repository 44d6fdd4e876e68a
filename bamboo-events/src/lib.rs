//! Events of one process on a time line, kept in a bounded ring.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod event;
mod ring;

pub use event::Event;
pub use event::EventKind;
pub use ring::Ring;
