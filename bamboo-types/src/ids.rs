//! Type aliases for identifiers, and the hashes that assign them to shards and hosts.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

/// Name of a host that runs the daemon.
pub type HostId = String;
/// Name of a backend server: a model engine or one copy of a plain service.
pub type BackendServerId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Version of the software of a backend server, not of its weights. Opaque; empty if the server names none.
pub type SoftwareVersion = String;
/// Identifier of a part of prompts, for example a system prompt, that many requests share.
pub type PromptPartId = u64;
/// Name of a model.
pub type ModelId = String;
/// Name of a caller, as declared in configuration.
pub type CallerId = String;
/// Name of a workspace. Jobs and idempotency keys are scoped to one.
pub type WorkspaceId = String;
/// Number of a process of a host. That of a daemon is higher after every restart; that of a gateway is random.
pub type Incarnation = u64;
/// Offset of an entry in a log stream.
pub type Offset = u64;
/// Number of a job shard, from 0.
pub type ShardId = u16;
/// Position of an item within its job, from 0.
pub type ItemIndex = u32;
/// Identifier of a job, derived from its workspace and the caller's idempotency key.
pub type JobId = u128;
/// Identifier of one request, unique over all hosts.
pub type RequestId = u128;

/// Derives the identifier of a job, so that retrying a submission refers to the same job.
///
/// ```
/// let first = bamboo_types::job_id("federation", "rankings-2026-12");
/// assert_eq!(first, bamboo_types::job_id("federation", "rankings-2026-12"));
/// assert_ne!(first, bamboo_types::job_id("coaches", "rankings-2026-12"));
/// ```
pub fn job_id(workspace: &str, key: &str) -> JobId {
    xxh3_128(format!("{}:{workspace}/{key}", workspace.len()).as_bytes())
}

/// Formats a job identifier as it is shown to callers.
///
/// ```
/// let text = bamboo_types::format_job_id(7);
/// assert_eq!(bamboo_types::parse_job_id(&text), Some(7));
/// ```
pub fn format_job_id(job: JobId) -> String {
    format!("job-{job:032x}")
}

/// Parses a job identifier as formatted by [`format_job_id`]; `None` if the text is malformed.
///
/// ```
/// assert_eq!(bamboo_types::parse_job_id("batch-1"), None);
/// ```
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix("job-")?;
    if digits.len() != 32 {
        return None;
    }
    JobId::from_str_radix(digits, 16).ok()
}

/// The shard that a job is assigned to.
///
/// ```
/// assert_eq!(bamboo_types::shard_of_job(9, 4), 1);
/// ```
pub fn shard_of_job(job: JobId, shard_count: u16) -> ShardId {
    (job % u128::from(shard_count.max(1))) as ShardId
}

/// The shard that an idempotency key of a workspace is assigned to.
///
/// ```
/// assert!(bamboo_types::shard_of_key("federation", "enter-athlete-12", 4) < 4);
/// ```
pub fn shard_of_key(workspace: &str, key: &str, shard_count: u16) -> ShardId {
    shard_of_job(job_id(workspace, key), shard_count)
}

/// Weight of a candidate, such as a host or a server, for a key in rendezvous hashing. The candidate with the highest
/// weight owns the key.
///
/// ```
/// assert_eq!(bamboo_types::rendezvous_weight("h1", "s1"), bamboo_types::rendezvous_weight("h1", "s1"));
/// ```
pub fn rendezvous_weight(candidate: &str, key: &str) -> u64 {
    xxh3_64(format!("{}:{candidate}/{key}", candidate.len()).as_bytes())
}
