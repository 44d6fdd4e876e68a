//! Submissions that the owner of a shard is about to accept.

use std::cell::RefCell;
use std::collections::HashSet;

use tokio::sync::Notify;

/// Jobs whose submissions are in progress.
#[derive(Default)]
pub(super) struct Submissions {
    jobs: RefCell<HashSet<String>>,
    ended: Notify,
}

/// A submission in progress; it ends when this is dropped.
pub(super) struct Submission<'a> {
    submissions: &'a Submissions,
    job: String,
}

impl Submissions {
    /// Begins the submission of a job, once no other submission of that job is in progress. A copy that were decided beside it
    /// would find the queue full of the tokens that the first one reserved, and refuse a job that is accepted.
    pub(super) async fn begin(&self, job: &str) -> Submission<'_> {
        loop {
            let ended = self.ended.notified();
            if self.jobs.borrow_mut().insert(job.to_owned()) {
                return Submission {
                    submissions: self,
                    job: job.to_owned(),
                };
            }
            ended.await;
        }
    }
}

impl Drop for Submission<'_> {
    fn drop(&mut self) {
        self.submissions.jobs.borrow_mut().remove(&self.job);
        self.submissions.ended.notify_waiters();
    }
}
