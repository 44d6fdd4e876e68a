//! Finds the parts of prompts that crash backend servers, and keeps requests with such parts away from the servers.
//!
//! Each host remembers which parts its runs have begun with ([`PromptHistory`]). Of each run that its server crashed under
//! before it had begun, a host reports the parts ([`CrashReport`]). The coordinator, and every host for its own runs,
//! weighs the reports ([`CrashInquiry`]). A part that is found to crash servers is put into the [`Quarantine`], which all
//! hosts share.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod evidence;
mod history;
mod inquiry;
mod quarantine;

pub use evidence::CrashEvidence;
pub use evidence::CrashReport;
pub use evidence::PartEvidence;
pub use evidence::PartReport;
pub use evidence::RequestKey;
pub use evidence::request_key;
pub use history::PartHistory;
pub use history::PromptHistory;
pub use inquiry::CrashInquiry;
pub use inquiry::Finding;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineReply;
pub use quarantine::QuarantinedPart;
pub use quarantine::digest;
