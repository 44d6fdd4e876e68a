//! Membership of live hosts, rendezvous ownership, stream claims and leases.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod claim;
mod lease;
mod view;

pub use claim::ClaimContext;
pub use claim::ClaimOptions;
pub use claim::ClaimStep;
pub use claim::Claimant;
pub use lease::Lease;
pub use view::HostEntry;
pub use view::HostLoss;
pub use view::HostState;
pub use view::MemberView;
pub use view::MemberViewOptions;
pub use view::rendezvous_owner;
