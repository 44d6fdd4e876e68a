//! Status of a job, as shown to its caller and to operators.

use bamboo_types::JobId;
use serde::Deserialize;
use serde::Serialize;

use crate::Job;
use crate::JobState;

/// Status and progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifier of the job.
    pub job: JobId,
    /// Workspace that owns the job.
    pub workspace: String,
    /// Name of the serving resource that runs the job.
    pub serving: String,
    /// Model that runs the items.
    pub model: String,
    /// State of the job.
    pub state: JobState,
    /// Number of items.
    pub total_count: u32,
    /// Number of items that succeeded.
    pub done_count: u32,
    /// Number of items that failed and are not retried.
    pub failed_count: u32,
    /// Number of items assigned to servers at present.
    pub running_count: u32,
    /// Submission time, milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Deadline, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// End time, milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Whether the job is predicted to miss its deadline at its measured rate.
    pub is_at_risk: bool,
    /// Digest of the items; tells a retried submission from one with different content.
    pub digest: u128,
}

impl JobView {
    /// Creates the status of a job that has `running_count` items assigned.
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
