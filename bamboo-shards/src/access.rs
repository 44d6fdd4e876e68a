//! Who may make calls about a job.

use bamboo_types::WorkspaceId;

use crate::JobRecord;

/// The workspace for which a call about a job is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCaller {
    /// A caller of this workspace.
    Workspace(WorkspaceId),
    /// A caller without a workspace.
    NoWorkspace,
    /// The host that took the call in does not identify workspaces, as hosts of the former release.
    Unidentified,
}

impl From<Option<WorkspaceId>> for JobCaller {
    fn from(workspace: Option<WorkspaceId>) -> Self {
        workspace.map_or(JobCaller::NoWorkspace, JobCaller::Workspace)
    }
}

/// Whether a caller may make calls about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAccess {
    /// It may.
    Granted,
    /// The job belongs to another workspace: the caller is treated as if the job were unknown to it.
    Denied,
    /// This host cannot tell.
    Undecided,
}

impl JobRecord {
    /// Decides whether a caller may make calls about the job. `has_workspaces` says whether the current configuration has
    /// workspaces; `None` if this host has no configuration yet. Without workspaces, nobody can show that a job is theirs, so
    /// that callers without a workspace have access to all jobs.
    ///
    /// ```
    /// use bamboo_shards::{JobAccess, JobCaller, JobRecord};
    /// let job = JobRecord { workspace: Some("a".into()), ..JobRecord::default() };
    /// assert_eq!(job.access(&JobCaller::Workspace("a".into()), Some(true)), JobAccess::Granted);
    /// assert_eq!(job.access(&JobCaller::Workspace("b".into()), Some(true)), JobAccess::Denied);
    /// ```
    pub fn access(&self, caller: &JobCaller, has_workspaces: Option<bool>) -> JobAccess {
        let Some(workspace) = &self.workspace else {
            return JobAccess::Granted;
        };
        match (caller, has_workspaces) {
            (JobCaller::Workspace(of_caller), _) if of_caller == workspace => JobAccess::Granted,
            (JobCaller::Workspace(_), _) => JobAccess::Denied,
            (JobCaller::NoWorkspace | JobCaller::Unidentified, Some(false)) => JobAccess::Granted,
            (JobCaller::NoWorkspace, Some(true)) => JobAccess::Denied,
            (JobCaller::NoWorkspace, None) | (JobCaller::Unidentified, _) => JobAccess::Undecided,
        }
    }
}
