//! The jobs of one shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bamboo_fleet::BufferBudget;
use bamboo_types::ItemIndex;
use bamboo_types::QueueKey;

use crate::IndexReservation;
use crate::Job;
use crate::JobMemory;
use crate::JobRecord;
use crate::Record;
use crate::RecordLocation;

/// Effect of a record on the jobs of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardChange {
    /// A job was added.
    JobAccepted(String),
    /// These items of a job got their results.
    ResultsAdded(String, Vec<ItemIndex>),
    /// A job was cancelled.
    JobCancelled(String),
    /// No job was added or cancelled and no result was added: the record is a repeat, belongs to an unknown job or
    /// only holds progress.
    Unchanged,
}

/// A record that the store has.
#[derive(Debug)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// Where the store has it. Without it, what the record holds stays in memory.
    pub location: Option<RecordLocation>,
    /// Room for the index of the job that it accepts, if any.
    pub index: Option<IndexReservation>,
}

/// The jobs of one shard, by identifier.
#[derive(Debug)]
pub struct Shard {
    jobs: HashMap<String, Job>,
    memory: JobMemory,
    index_budget: Arc<BufferBudget>,
}

impl Default for Shard {
    fn default() -> Self {
        Shard::new(JobMemory::default())
    }
}

impl Shard {
    /// Creates a shard without jobs.
    ///
    /// ```
    /// let shard = bamboo_shards::Shard::new(bamboo_shards::JobMemory::new(1_000, 1_000));
    /// assert!(shard.reserve(&bamboo_shards::JobRecord::default()).is_none());
    /// ```
    pub fn new(memory: JobMemory) -> Self {
        Shard {
            jobs: HashMap::new(),
            index_budget: memory.shard_budget(),
            memory,
        }
    }

    /// Reserves room for the index of a job that is about to be accepted. Returns `None` if there is no room.
    pub fn reserve(&self, job: &JobRecord) -> Option<IndexReservation> {
        self.memory.reserve_index(job, Some(&self.index_budget))
    }

    /// Keeps the bodies of the items of a job that was read from the store, if there is room.
    pub fn keep_bodies(&mut self, job: &JobRecord) {
        if let Some(kept) = self.jobs.get_mut(&job.id) {
            kept.keep_bodies(job, &self.memory);
        }
    }

    /// Applies the next record of the shard, and keeps in memory what it holds.
    ///
    /// ```
    /// let mut shard = bamboo_shards::Shard::default();
    /// let record = bamboo_shards::Record::Cancelled { job: "j".into() };
    /// assert_eq!(shard.apply(record), bamboo_shards::ShardChange::Unchanged);
    /// ```
    pub fn apply(&mut self, record: Record) -> ShardChange {
        self.apply_stored(StoredRecord {
            record,
            location: None,
            index: None,
        })
    }

    /// Applies a record that was read from the store like [`apply_stored`](Self::apply_stored). A job that it accepts gets room
    /// whatever the other jobs of the shard take. Returns `None`, and applies nothing, if there is no room.
    ///
    /// ```
    /// use bamboo_shards::{JobMemory, JobRecord, Record, RecordLocation, RecordTopic, Shard};
    /// let location = RecordLocation { topic: RecordTopic::Shard, first: 0, fragments: 1 };
    /// let accepted = Record::Accepted(JobRecord::default().into());
    /// let mut shard = Shard::new(JobMemory::new(10, 10));
    /// assert_eq!(shard.apply_read(accepted, location), None);
    /// ```
    pub fn apply_read(&mut self, record: Record, location: RecordLocation) -> Option<ShardChange> {
        let index = match &record {
            Record::Accepted(job) if !self.jobs.contains_key(&job.id) => {
                Some(self.memory.reserve_index(job, None)?)
            }
            _ => None,
        };
        Some(self.apply_stored(StoredRecord {
            record,
            location: Some(location),
            index,
        }))
    }

    /// Applies the next record of the shard, in the order of the store. Repeated jobs, results and cancellations are
    /// ignored.
    pub fn apply_stored(&mut self, stored: StoredRecord) -> ShardChange {
        let StoredRecord {
            record,
            location,
            index,
        } = stored;
        let memory = &self.memory;
        match record {
            Record::Accepted(record) => {
                if self.jobs.contains_key(&record.id) {
                    return ShardChange::Unchanged;
                }
                let id = record.id.clone();
                let job = Job::new(record, index, memory, location);
                self.jobs.insert(id.clone(), job);
                ShardChange::JobAccepted(id)
            }
            Record::Results { job: id, results } => {
                let Some(job) = self.jobs.get_mut(&id) else {
                    return ShardChange::Unchanged;
                };
                let added: Vec<ItemIndex> = results
                    .into_iter()
                    .filter_map(|result| {
                        let item = result.item;
                        job.add_result(result, memory, location).then_some(item)
                    })
                    .collect();
                match added.is_empty() {
                    true => ShardChange::Unchanged,
                    false => ShardChange::ResultsAdded(id, added),
                }
            }
            Record::Cancelled { job: id } => match self.jobs.get_mut(&id) {
                Some(job) if !job.is_cancelled() => {
                    job.cancel();
                    ShardChange::JobCancelled(id)
                }
                _ => ShardChange::Unchanged,
            },
            Record::Progress(entries) => {
                for progress in entries {
                    if let Some(job) = self.jobs.get_mut(&progress.job) {
                        job.apply_progress(progress);
                    }
                }
                ShardChange::Unchanged
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

    /// Waiting tokens by queue. Queues without any are left out.
    pub fn waiting_tokens(&self) -> HashMap<QueueKey, u64> {
        let mut waiting = HashMap::new();
        for job in self.jobs.values() {
            let tokens = job.waiting_tokens();
            if tokens > 0 {
                *waiting.entry(job.record.queue()).or_default() += tokens;
            }
        }
        waiting
    }

    /// Drops jobs that have been complete or cancelled for more than `kept`. `now` is the monotonic time of the owner.
    /// A job counts as closed from the first call that finds it closed, so the records need no times, and a new owner
    /// counts from its first call.
    ///
    /// ```
    /// let mut shard = bamboo_shards::Shard::default();
    /// shard.expire(std::time::Duration::from_secs(1), std::time::Duration::from_secs(120));
    /// assert_eq!(shard.jobs().count(), 0);
    /// ```
    pub fn expire(&mut self, now: Duration, kept: Duration) {
        self.jobs.retain(|_, job| job.closed_for(now) <= kept);
    }
}
