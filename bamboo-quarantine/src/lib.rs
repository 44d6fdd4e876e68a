//! Finds the requests, and the parts of prompts, that crash backend servers, and keeps them away from the servers.
//!
//! A request that comes again has the same content ([`RequestContent`]); different ones may have parts of their prompts in
//! common. Both are suspects ([`SuspectId`]). Each host remembers with which suspects its runs ended whole ([`RunHistory`]).
//! Of each run that its server crashed under, a host reports the suspects ([`CrashReport`]). The
//! coordinator, and every host for its own runs, weighs the reports ([`CrashInquiry`]). A suspect that is found to crash
//! servers is put into the [`Quarantine`], which all hosts share.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod crash_log;
mod early;
mod evidence;
mod history;
mod inquiry;
mod quarantine;
mod suspect;
mod suspicion;

pub use early::EarlyCrashReport;
pub use early::EarlySuspectReport;
pub use evidence::CrashEvidence;
pub use evidence::CrashReport;
pub use evidence::SuspectEvidence;
pub use evidence::SuspectReport;
pub use history::ALL_RUNS;
pub use history::RunHistory;
pub use history::RunLength;
pub use history::SoundRun;
pub use history::SuspectHistory;
pub use inquiry::CrashInquiry;
pub use inquiry::Finding;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineReply;
pub use quarantine::QuarantinedSuspect;
pub use quarantine::digest;
pub use suspect::RequestContent;
pub use suspect::SuspectId;
pub use suspect::SuspectKind;
pub use suspect::part_suspect;
pub use suspect::suspect_kind;
