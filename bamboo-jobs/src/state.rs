//! State of one shard, derived from its stream. It is deterministic: every host that applies the same entries
//! has the same state.

use std::collections::BTreeMap;

use bamboo_log::Deduplicator;
use bamboo_log::Entry;
use bamboo_log::ItemOutcome;
use bamboo_log::ItemRunResult;
use bamboo_log::JobSpec;
use bamboo_log::KeyedCall;
use bamboo_log::KeyedCallEnd;
use bamboo_log::LatestSnapshot;
use bamboo_log::Position;
use bamboo_log::RecordBody;
use bamboo_log::RecordId;
use bamboo_log::UploadId;
use bamboo_log::Writer;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::ChunkRef;
use crate::Job;
use crate::JobState;
use crate::KeyClaim;
use crate::KeyClaimState;

/// Number of entries after which an upload is dropped if no submission refers to it.
const UPLOAD_LIFETIME_ENTRIES: u64 = 200_000;
/// Smallest time between two entries of the time index, milliseconds.
const TIME_INDEX_INTERVAL_MS: u64 = 1000;
/// Largest size of the time index; it is thinned out when full.
const TIME_INDEX_MAX_ENTRIES: usize = 4096;
/// How long a claim blocks other claims of its idempotency key, milliseconds.
const KEYED_LIFETIME_MS: u64 = 24 * 3600 * 1000;

/// Effect of a record on the state of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// A host claimed the stream; the newest claim owns it.
    Claimed {
        /// The claiming host.
        host: HostId,
        /// Incarnation of the claiming host.
        incarnation: Incarnation,
        /// Epoch of the claim.
        epoch: Offset,
    },
    /// The owner with this epoch released the stream.
    Released {
        /// Epoch of the released claim.
        epoch: Offset,
    },
    /// A job was accepted.
    JobAccepted(JobId),
    /// A submission of a job that was already accepted; ignored.
    JobDuplicate(JobId),
    /// A submission with items missing from the stream; ignored.
    JobIncomplete(JobId),
    /// The final outcome of an item was accepted.
    ItemEnded {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// Whether the item succeeded.
        is_done: bool,
    },
    /// A failed run was counted; the item is run again.
    ItemRetried {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
    },
    /// An outcome was ignored: the item already has one, the epoch is stale, or the job is not running.
    OutcomeIgnored {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// Final state of the job.
        state: JobState,
    },
    /// An ended job was deleted.
    JobExpired(JobId),
}

/// State of one shard: its owner, jobs, uploads and claims of idempotency keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    owner: Option<(Writer, Offset)>,
    next_offset: Offset,
    jobs: BTreeMap<JobId, Job>,
    uploads: BTreeMap<UploadId, Vec<ChunkRef>>,
    keyed: BTreeMap<(String, String), KeyClaim>,
    deduplicator: Deduplicator,
    time_index: Vec<TimeIndexEntry>,
    snapshot: LatestSnapshot,
}

/// Entry of the time index, which maps times to offsets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct TimeIndexEntry {
    at_ms: u64,
    offset: Offset,
}

impl ShardState {
    /// Applies one entry and returns its effects. An entry at an offset that was already applied is ignored.
    ///
    /// ```
    /// use bamboo_jobs::{ShardEvent, ShardState};
    /// use bamboo_log::{RecordBody, Entry};
    /// let entry = Entry { host: "h1".into(), incarnation: 1, at_ms: 0, first_sequence: 1, bodies: vec![RecordBody::Claim] };
    /// let mut state = ShardState::default();
    /// assert!(matches!(state.apply(0, &entry)[0], ShardEvent::Claimed { epoch: 0, .. }));
    /// assert!(state.apply(0, &entry).is_empty());
    /// ```
    pub fn apply(&mut self, offset: Offset, entry: &Entry) -> Vec<ShardEvent> {
        let mut events = Vec::new();
        if offset < self.next_offset {
            return events;
        }
        self.next_offset = offset + 1;
        self.update_time_index(offset, entry.at_ms);
        self.snapshot.observe(entry);
        let writer = Writer {
            host: entry.host.clone(),
            incarnation: entry.incarnation,
        };
        for (index, body) in entry.bodies.iter().enumerate() {
            let sequence = entry.first_sequence + index as u64;
            let is_new = self.deduplicator.insert(&writer, sequence);
            if is_new || cfg!(feature = "mutate-no-dedupe") {
                let id = RecordId {
                    writer: writer.clone(),
                    sequence,
                };
                self.apply_body(
                    Position {
                        offset,
                        index: index as u32,
                    },
                    id,
                    body,
                    &mut events,
                );
            }
        }
        events
    }

    /// Offset before which all entries are older than a time, to the resolution of the time index.
    pub fn offset_at(&self, at_ms: u64) -> Offset {
        // Entries between two index entries have the age of the first one, to the resolution of the index.
        let index = self
            .time_index
            .partition_point(|indexed| indexed.at_ms <= at_ms);
        match (index, self.time_index.get(index)) {
            (0, _) => 0,
            (_, Some(next)) => next.offset,
            (_, None) => self.next_offset,
        }
    }

    fn update_time_index(&mut self, offset: Offset, at_ms: u64) {
        let is_due = self
            .time_index
            .last()
            .is_none_or(|indexed| at_ms >= indexed.at_ms + TIME_INDEX_INTERVAL_MS);
        if is_due {
            if self.time_index.len() == TIME_INDEX_MAX_ENTRIES {
                // Drops every other entry, so that the index still covers the whole age of the stream at a coarser
                // resolution.
                let mut is_kept = false;
                self.time_index.retain(|_| {
                    is_kept = !is_kept;
                    is_kept
                });
            }
            self.time_index.push(TimeIndexEntry { at_ms, offset });
        }
    }

    /// Skips an offset whose entry cannot be decoded or was trimmed.
    pub fn skip(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// The next offset to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Epoch of the current owner.
    pub fn epoch(&self) -> Option<Offset> {
        self.owner.as_ref().map(|(_, epoch)| *epoch)
    }

    /// Offset and time of the newest snapshot in the stream.
    pub fn snapshot(&self) -> &LatestSnapshot {
        &self.snapshot
    }

    /// The writer of the newest claim and its epoch, or `None` once that claim is released.
    pub fn owner(&self) -> Option<&(Writer, Offset)> {
        self.owner.as_ref()
    }

    /// Looks up a job by its identifier.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Looks up the claim of an idempotency key.
    pub fn keyed(&self, workspace: &str, key: &str) -> Option<&KeyClaim> {
        self.keyed.get(&(workspace.to_owned(), key.to_owned()))
    }

    /// Ended jobs whose result lifetime is over.
    pub fn expired(&self, now_ms: u64) -> Vec<JobId> {
        self.jobs
            .values()
            .filter(|job| {
                job.ended_ms
                    .is_some_and(|ended| ended + job.spec.result_lifetime_ms <= now_ms)
            })
            .map(|job| job.spec.job)
            .collect()
    }

    fn apply_body(
        &mut self,
        position: Position,
        id: RecordId,
        body: &RecordBody,
        events: &mut Vec<ShardEvent>,
    ) {
        match body {
            RecordBody::Claim => self.apply_claim(position.offset, id.writer, events),
            RecordBody::Release { epoch } => self.apply_release(*epoch, events),
            RecordBody::Chunk {
                upload,
                first_item,
                items,
            } => self.apply_chunk(position, *upload, *first_item, items.len()),
            RecordBody::Submit(spec) => self.apply_submit(spec, events),
            RecordBody::Outcomes {
                epoch,
                at_ms,
                outcomes,
            } => {
                self.apply_outcomes(position, *epoch, *at_ms, outcomes, events);
            }
            RecordBody::Cancel { job, at_ms } => self.apply_cancel(*job, *at_ms, events),
            RecordBody::Expire { epoch, job } => self.apply_expire(*epoch, *job, events),
            RecordBody::CarriedOutcomes {
                epoch, job, from, ..
            } => self.apply_carried_outcomes(position, *epoch, *job, *from),
            RecordBody::CarriedChunk {
                epoch,
                job,
                first_item,
                ..
            } => {
                self.apply_carried_chunk(position, *epoch, *job, *first_item);
            }
            RecordBody::KeyedCall(call) => self.apply_keyed_call(id, call),
            RecordBody::KeyedCallEnd(end) => self.apply_keyed_end(end),
            RecordBody::Probe
            | RecordBody::Config(_)
            | RecordBody::ServerClaim { .. }
            | RecordBody::Snapshot(_) => {}
        }
    }

    fn apply_claim(&mut self, offset: Offset, writer: Writer, events: &mut Vec<ShardEvent>) {
        self.owner = Some((writer.clone(), offset));
        events.push(ShardEvent::Claimed {
            host: writer.host,
            incarnation: writer.incarnation,
            epoch: offset,
        });
    }

    fn apply_release(&mut self, epoch: Offset, events: &mut Vec<ShardEvent>) {
        if self.epoch() == Some(epoch) {
            self.owner = None;
            events.push(ShardEvent::Released { epoch });
        }
    }

    fn apply_chunk(
        &mut self,
        position: Position,
        upload: UploadId,
        first_item: ItemIndex,
        item_count: usize,
    ) {
        let chunk = ChunkRef {
            position,
            first_item,
            item_count: item_count as u32,
        };
        self.uploads.entry(upload).or_default().push(chunk);
        let oldest = position.offset.saturating_sub(UPLOAD_LIFETIME_ENTRIES);
        self.uploads.retain(|_, chunks| {
            chunks
                .last()
                .is_some_and(|chunk| chunk.position.offset >= oldest)
        });
    }

    fn apply_submit(&mut self, spec: &JobSpec, events: &mut Vec<ShardEvent>) {
        let chunks = self.uploads.remove(&spec.upload).unwrap_or_default();
        if self.jobs.contains_key(&spec.job) {
            events.push(ShardEvent::JobDuplicate(spec.job));
            return;
        }
        let item_count: u32 = chunks.iter().map(|chunk| chunk.item_count).sum();
        if chunks.len() != spec.chunk_count as usize || item_count != spec.item_count {
            events.push(ShardEvent::JobIncomplete(spec.job));
            return;
        }
        self.jobs.insert(spec.job, Job::new(spec.clone(), chunks));
        events.push(ShardEvent::JobAccepted(spec.job));
    }

    fn apply_outcomes(
        &mut self,
        position: Position,
        epoch: Offset,
        at_ms: u64,
        outcomes: &[ItemOutcome],
        events: &mut Vec<ShardEvent>,
    ) {
        let is_current = self.is_current_epoch(epoch);
        for outcome in outcomes {
            let counted = is_current.then(|| self.apply_outcome(position, at_ms, outcome, events));
            if counted != Some(true) {
                events.push(ShardEvent::OutcomeIgnored {
                    job: outcome.job,
                    item: outcome.item,
                });
            }
        }
    }

    fn apply_outcome(
        &mut self,
        position: Position,
        at_ms: u64,
        outcome: &ItemOutcome,
        events: &mut Vec<ShardEvent>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&outcome.job) else {
            return false;
        };
        if !job.is_running()
            || outcome.item >= job.spec.item_count
            || job.ended_items.is_set(outcome.item)
        {
            return false;
        }
        if let ItemRunResult::ServerFault {
            was_server_lost, ..
        } = outcome.run_result
        {
            let attempts = job.attempts.entry(outcome.item).or_default();
            attempts.runs = attempts.runs.saturating_add(1);
            attempts.server_losses = attempts
                .server_losses
                .saturating_add(u8::from(was_server_lost));
            events.push(ShardEvent::ItemRetried {
                job: outcome.job,
                item: outcome.item,
            });
            return true;
        }
        let is_done = matches!(outcome.run_result, ItemRunResult::Done { .. });
        job.ended_items.set(outcome.item);
        job.failed_count += u32::from(!is_done);
        job.attempts.remove(&outcome.item);
        if job.outcome_positions.last() != Some(&position) {
            job.outcome_positions.push(position);
        }
        events.push(ShardEvent::ItemEnded {
            job: outcome.job,
            item: outcome.item,
            is_done,
        });
        if job.remaining_count() == 0 {
            job.end(JobState::Completed, at_ms);
            events.push(ShardEvent::JobEnded {
                job: outcome.job,
                state: JobState::Completed,
            });
        }
        true
    }

    fn apply_cancel(&mut self, job: JobId, at_ms: u64, events: &mut Vec<ShardEvent>) {
        let Some(found) = self.jobs.get_mut(&job) else {
            return;
        };
        if found.is_running() {
            found.end(JobState::Cancelled, at_ms);
            events.push(ShardEvent::JobEnded {
                job,
                state: JobState::Cancelled,
            });
        }
    }

    fn apply_expire(&mut self, epoch: Offset, job: JobId, events: &mut Vec<ShardEvent>) {
        let is_ended = self.jobs.get(&job).is_some_and(|found| !found.is_running());
        if self.is_current_epoch(epoch) && is_ended {
            self.jobs.remove(&job);
            events.push(ShardEvent::JobExpired(job));
        }
    }

    fn apply_carried_outcomes(
        &mut self,
        position: Position,
        epoch: Offset,
        job: JobId,
        from: Position,
    ) {
        if !self.is_current_epoch(epoch) {
            return;
        }
        let Some(found) = self.jobs.get_mut(&job) else {
            return;
        };
        // Ignores the copy unless the original record holds outcomes that were accepted.
        if let Ok(index) = found.outcome_positions.binary_search(&from) {
            found.outcome_positions.remove(index);
            found.outcome_positions.push(position);
        }
    }

    fn apply_carried_chunk(
        &mut self,
        position: Position,
        epoch: Offset,
        job: JobId,
        first_item: ItemIndex,
    ) {
        if !self.is_current_epoch(epoch) {
            return;
        }
        let chunk = self.jobs.get_mut(&job).and_then(|found| {
            found
                .chunks
                .iter_mut()
                .find(|chunk| chunk.first_item == first_item)
        });
        if let Some(chunk) = chunk {
            chunk.position = position;
        }
    }

    fn apply_keyed_call(&mut self, id: RecordId, call: &KeyedCall) {
        let oldest_ms = call.claimed_ms.saturating_sub(KEYED_LIFETIME_MS);
        let claim_key = (call.workspace.clone(), call.key.clone());
        let is_claimed = self
            .keyed
            .get(&claim_key)
            .is_some_and(|keyed| keyed.claimed_ms >= oldest_ms);
        if !is_claimed {
            let state = KeyClaimState::Claimed;
            let keyed = KeyClaim {
                claim: id,
                digest: call.digest,
                claimed_ms: call.claimed_ms,
                state,
            };
            self.keyed.insert(claim_key, keyed);
        }
    }

    fn apply_keyed_end(&mut self, end: &KeyedCallEnd) {
        let claim_key = (end.workspace.clone(), end.key.clone());
        let Some(keyed) = self.keyed.get_mut(&claim_key) else {
            return;
        };
        if keyed.claim != end.claim || keyed.state != KeyClaimState::Claimed {
            return;
        }
        match end.status {
            Some(status) => {
                keyed.state = KeyClaimState::Ended {
                    status,
                    body: end.body.clone(),
                }
            }
            None => {
                self.keyed.remove(&claim_key);
            }
        }
    }

    /// Whether `epoch` is that of the current owner. Records that require ownership are ignored otherwise.
    fn is_current_epoch(&self, epoch: Offset) -> bool {
        self.epoch() == Some(epoch) || cfg!(feature = "mutate-no-epoch")
    }
}
