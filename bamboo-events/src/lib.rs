//! Timeline of the events of one process, kept in a ring buffer of fixed capacity.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod event;
mod ring;

pub use event::Event;
pub use event::EventKind;
pub use ring::EventRing;
