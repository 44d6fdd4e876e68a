//! A job as its caller and operators see it.

use bamboo_types::JobId;
use serde::Deserialize;
use serde::Serialize;

use crate::Job;
use crate::JobState;

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifier.
    pub job: JobId,
    /// Workspace.
    pub workspace: String,
    /// Serving resource that the job is queued against.
    pub serving: String,
    /// Model.
    pub model: String,
    /// State.
    pub state: JobState,
    /// Number of items.
    pub total_count: u32,
    /// Items done.
    pub done_count: u32,
    /// Items that failed for good.
    pub failed_count: u32,
    /// Items handed out now.
    pub running_count: u32,
    /// Submission time, milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Deadline, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// End, milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Whether the job will miss its deadline at its measured rate.
    pub is_at_risk: bool,
    /// Digest of the items, to tell a resend from other content.
    pub digest: u128,
}

impl JobView {
    /// The view of a job with `running_count` items handed out.
    pub fn new(job: &Job, running_count: u32, is_at_risk: bool) -> Self {
        JobView {
            job: job.spec.job,
            workspace: job.spec.workspace.clone(),
            serving: job.spec.serving.clone(),
            model: job.spec.model.clone(),
            state: job.state,
            total_count: job.spec.item_count,
            done_count: job.ended_items.count() - job.failed_count,
            failed_count: job.failed_count,
            running_count,
            created_ms: job.spec.created_ms,
            deadline_ms: job.spec.deadline_ms,
            ended_ms: job.ended_ms,
            is_at_risk: job.is_running() && is_at_risk,
            digest: job.spec.digest,
        }
    }
}
