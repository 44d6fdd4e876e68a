//! Messages between hosts and their encoding on the wire.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod frame;
mod message;

pub use frame::EncodedFrame;
pub use frame::Frame;
pub use frame::FrameError;
pub use message::AssignedItem;
pub use message::PeerMessage;
pub use message::ServerLoad;
pub use message::ShardQuery;
pub use message::ShardReply;
