//! All jobs of one shard.

use std::collections::HashMap;
use std::rc::Rc;

use bamboo_types::ItemIndex;

use crate::Job;
use crate::Record;

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A job is new.
    Accepted(String),
    /// Items of a job have their results.
    Listed(String, Vec<ItemIndex>),
    /// A job was ended.
    Cancelled(String),
    /// The record repeats what is known.
    Nothing,
}

/// Jobs of one shard.
#[derive(Debug, Default)]
pub struct Shard {
    jobs: HashMap<String, Job>,
}

impl Shard {
    /// Applies the next record of the shard, in the order of the store.
    ///
    /// ```
    /// let mut shard = bamboo_shards::Shard::default();
    /// let record = bamboo_shards::Record::Cancelled { job: "j".into() };
    /// assert_eq!(shard.apply(record), bamboo_shards::Applied::Nothing);
    /// ```
    pub fn apply(&mut self, record: Record) -> Applied {
        match record {
            Record::Accepted(record) => {
                if self.jobs.contains_key(&record.id) {
                    return Applied::Nothing;
                }
                let id = record.id.clone();
                self.jobs.insert(id.clone(), Job::new(Rc::clone(&record)));
                Applied::Accepted(id)
            }
            Record::Results { job: id, results } => {
                let Some(job) = self.jobs.get_mut(&id) else {
                    return Applied::Nothing;
                };
                let listed: Vec<ItemIndex> = results
                    .into_iter()
                    .filter_map(|result| {
                        let item = result.item;
                        job.list(result).then_some(item)
                    })
                    .collect();
                match listed.is_empty() {
                    true => Applied::Nothing,
                    false => Applied::Listed(id, listed),
                }
            }
            Record::Cancelled { job: id } => match self.jobs.get_mut(&id) {
                Some(job) if !job.is_cancelled() => {
                    job.cancel();
                    Applied::Cancelled(id)
                }
                _ => Applied::Nothing,
            },
            Record::Progress(entries) => {
                for progress in entries {
                    if let Some(job) = self.jobs.get_mut(&progress.job) {
                        job.apply_progress(progress);
                    }
                }
                Applied::Nothing
            }
        }
    }

    /// A job by its identifier.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Tokens that wait, by route.
    pub fn waiting_tokens(&self) -> HashMap<String, u64> {
        let mut waiting = HashMap::new();
        for job in self.jobs.values() {
            let tokens = job.waiting_tokens();
            if tokens > 0 {
                *waiting.entry(job.record.route.clone()).or_default() += tokens;
            }
        }
        waiting
    }

    /// Forgets jobs whose results need not be kept any more: complete or ended, and older than `keep_ms`.
    pub fn expire(&mut self, now_ms: u64, keep_ms: u64) {
        self.jobs.retain(|_, job| {
            let age_ms = now_ms.saturating_sub(job.record.submitted_at_ms);
            let is_open = !job.is_cancelled() && !job.is_complete();
            is_open || age_ms <= keep_ms
        });
    }
}
