//! Finds the parts of prompts that crash backend servers, and keeps requests with such parts away from the servers.
//!
//! Each host remembers which parts its runs have begun with ([`RunHistory`]). Of each run that its server crashed under
//! before it had begun, a host reports the parts ([`CrashReport`]). The coordinator, and every host for its own runs,
//! weighs the reports ([`CrashInquiry`]). A part that is found to crash servers is put into the [`Quarantine`], which all
//! hosts share.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod evidence;
mod history;
mod inquiry;
mod quarantine;
mod suspect;

pub use evidence::CrashEvidence;
pub use evidence::CrashReport;
pub use evidence::RequestKey;
pub use evidence::SuspectEvidence;
pub use evidence::SuspectReport;
pub use evidence::request_key;
pub use history::RunHistory;
pub use history::SuspectHistory;
pub use inquiry::CrashInquiry;
pub use inquiry::Finding;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineReply;
pub use quarantine::QuarantinedSuspect;
pub use quarantine::digest;
pub use suspect::RequestContent;
pub use suspect::SuspectId;
pub use suspect::is_content;
pub use suspect::is_whole_content;
pub use suspect::part_suspect;
