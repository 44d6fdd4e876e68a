//! One job shard at one host: claiming, replaying the stream, assigning items and committing outcomes.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_jobs::ItemDispatcher;
use bamboo_jobs::ShardEvent;
use bamboo_jobs::StreamReplay;
use bamboo_jobs::entries_to_carry;
use bamboo_log::ItemOutcome;
use bamboo_log::ItemRunResult;
use bamboo_log::Reader;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_member::Claimant;
use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_types::millis;

/// How long outcomes are collected into one record before it is appended.
const COMMIT_DELAY: Duration = Duration::from_millis(40);
/// Interval between checks for jobs whose result lifetime has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a carried record that has not been read back is copied again.
const CARRY_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after which a snapshot that has not been read back is written again.
const SNAPSHOT_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of entries being copied forward at a time; the appender groups their records.
const CARRIES_MAX: usize = 32;
/// Maximum number of outcomes in one record.
const OUTCOMES_PER_RECORD_MAX: usize = 2000;

/// Role of a host in one shard: standby, follower, claimant or owner.
#[derive(Debug)]
pub(crate) struct ShardRole {
    pub(crate) shard: ShardId,
    pub(crate) claimant: Claimant,
    pub(crate) reader: Option<Reader>,
    pub(crate) replay: StreamReplay,
    pub(crate) dispatcher: ItemDispatcher,
    /// Epoch of the ownership, if this host owns the shard.
    pub(crate) owned_epoch: Option<Offset>,
    pub(crate) has_sent_release: bool,
    queued_outcomes: Vec<ItemOutcome>,
    first_queued_at: Timestamp,
    /// The reporter of each outcome that is queued, or appended and not yet read back.
    committing: BTreeMap<(JobId, ItemIndex), HostId>,
    expiry_checked_at: Timestamp,
    snapshot_sent_at: Option<Timestamp>,
    /// When each entry that is being copied forward was last requested.
    carrying: BTreeMap<Offset, Timestamp>,
}

impl ShardRole {
    pub(crate) fn new(shard: ShardId, claimant: Claimant) -> Self {
        ShardRole {
            shard,
            claimant,
            reader: None,
            replay: StreamReplay::default(),
            dispatcher: ItemDispatcher::default(),
            owned_epoch: None,
            has_sent_release: false,
            queued_outcomes: Vec::new(),
            first_queued_at: Duration::ZERO,
            committing: BTreeMap::new(),
            expiry_checked_at: Duration::ZERO,
            snapshot_sent_at: None,
            carrying: BTreeMap::new(),
        }
    }

    pub(crate) fn stream_id(&self) -> StreamId {
        StreamId::Shard(self.shard)
    }

    /// Whether the stream has been read to its tail without a gap.
    pub(crate) fn is_current(&self) -> bool {
        self.replay.is_complete() && self.reader.as_ref().is_some_and(Reader::is_at_tail)
    }

    /// Starts to replay the stream from its start, unless it is being read.
    pub(crate) fn start_reading(&mut self) {
        if self.reader.is_none() {
            self.replay = StreamReplay::default();
            self.claimant.reset();
            self.reader = Some(Reader::new(self.stream_id(), 0));
        }
    }

    /// Stops reading and discards the replayed state.
    pub(crate) fn stop_reading(&mut self) {
        if self.reader.take().is_some() {
            self.replay = StreamReplay::default();
            self.claimant.reset();
        }
    }

    /// Starts ownership with this epoch.
    pub(crate) fn become_owner(&mut self, epoch: Offset) {
        self.owned_epoch = Some(epoch);
        self.has_sent_release = false;
        self.dispatcher = ItemDispatcher::default();
        self.queued_outcomes.clear();
        self.committing.clear();
        self.snapshot_sent_at = None;
        self.carrying.clear();
    }

    /// Ends ownership and discards what only the owner keeps.
    pub(crate) fn lose_ownership(&mut self) {
        self.owned_epoch = None;
        self.dispatcher = ItemDispatcher::default();
        self.queued_outcomes.clear();
        self.committing.clear();
    }

    /// Queues reported outcomes to be committed. Returns the items that need no commit, since they or their jobs have
    /// already ended.
    pub(crate) fn accept_outcomes(
        &mut self,
        now: Timestamp,
        from: &str,
        outcomes: Vec<ItemOutcome>,
    ) -> Vec<(JobId, ItemIndex)> {
        let mut acknowledged = Vec::new();
        for outcome in outcomes {
            let key = (outcome.job, outcome.item);
            let is_open = self
                .replay
                .state()
                .job(outcome.job)
                .is_some_and(|job| job.is_running() && !job.ended_items.is_set(outcome.item));
            if !is_open {
                acknowledged.push(key);
                continue;
            }
            if self.committing.contains_key(&key) {
                continue;
            }
            if self.queued_outcomes.is_empty() {
                self.first_queued_at = now;
            }
            self.committing.insert(key, from.to_owned());
            let outcome = self.finalize_last_attempt(outcome);
            self.queued_outcomes.push(outcome);
        }
        acknowledged
    }

    /// The next record of outcomes, once enough are queued or the first has waited long enough.
    pub(crate) fn next_commit(&mut self, now: Timestamp) -> Option<RecordBody> {
        let epoch = self.owned_epoch?;
        let is_due = now.saturating_sub(self.first_queued_at) >= COMMIT_DELAY
            || self.queued_outcomes.len() >= OUTCOMES_PER_RECORD_MAX;
        if self.queued_outcomes.is_empty() || !is_due {
            return None;
        }
        let rest = self
            .queued_outcomes
            .split_off(self.queued_outcomes.len().min(OUTCOMES_PER_RECORD_MAX));
        let outcomes = std::mem::replace(&mut self.queued_outcomes, rest);
        Some(RecordBody::Outcomes {
            epoch,
            at_ms: millis(now),
            outcomes,
        })
    }

    /// Removes and returns the reporter of an outcome that has now been replayed from the stream.
    pub(crate) fn take_reporter(&mut self, job: JobId, item: ItemIndex) -> Option<HostId> {
        self.committing.remove(&(job, item))
    }

    /// Whether outcomes have not yet been stored and read back.
    pub(crate) fn is_committing(&self) -> bool {
        !self.committing.is_empty()
    }

    /// Whether a check for expired jobs is due; restarts the interval if so.
    pub(crate) fn is_expiry_due(&mut self, now: Timestamp) -> bool {
        let is_due = now.saturating_sub(self.expiry_checked_at) >= EXPIRY_INTERVAL;
        if is_due {
            self.expiry_checked_at = now;
        }
        is_due
    }

    /// Whether a snapshot is due and none is being written; marks it as being written if so.
    pub(crate) fn is_snapshot_due(
        &mut self,
        now: Timestamp,
        interval_entries: u64,
        max_age: Duration,
    ) -> bool {
        let state = self.replay.state();
        let is_due = state
            .snapshot()
            .is_due(now, state.next_offset(), interval_entries, max_age);
        let is_under_way = self
            .snapshot_sent_at
            .is_some_and(|at| now.saturating_sub(at) < SNAPSHOT_RETRY_AFTER);
        if !is_due || is_under_way || !self.is_current() {
            return false;
        }
        self.snapshot_sent_at = Some(now);
        true
    }

    /// Offsets of the entries to copy forward now, without those already being copied.
    pub(crate) fn next_carries(&mut self, now: Timestamp, retention: Duration) -> Vec<Offset> {
        let horizon_ms = millis(now).saturating_sub(millis(retention / 2));
        let horizon = self.replay.state().offset_at(horizon_ms);
        let due = entries_to_carry(self.replay.state(), horizon, CARRIES_MAX);
        self.carrying.retain(|offset, since| {
            due.contains(offset) && now.saturating_sub(*since) < CARRY_RETRY_AFTER
        });
        let next: Vec<Offset> = due
            .into_iter()
            .filter(|offset| !self.carrying.contains_key(offset))
            .collect();
        self.carrying
            .extend(next.iter().map(|offset| (*offset, now)));
        next
    }

    /// Applies a claim or release to the claimant.
    pub(crate) fn apply_claim_event(&mut self, event: &ShardEvent) {
        match event {
            ShardEvent::Claimed {
                host,
                incarnation,
                epoch,
            } => self.claimant.apply_claim(host, *incarnation, *epoch),
            ShardEvent::Released { epoch } => self.claimant.apply_release(*epoch),
            _ => {}
        }
    }

    /// Turns a failure that exhausts the item's attempts into a final outcome.
    fn finalize_last_attempt(&self, outcome: ItemOutcome) -> ItemOutcome {
        let ItemRunResult::ServerFault {
            reason,
            was_server_lost,
        } = &outcome.run_result
        else {
            return outcome;
        };
        let job = self.replay.state().job(outcome.job);
        let attempts = job
            .and_then(|job| job.attempts.get(&outcome.item))
            .copied()
            .unwrap_or_default();
        if !attempts.is_last(*was_server_lost) {
            return outcome;
        }
        let run_result = ItemRunResult::AttemptsExhausted {
            reason: reason.clone(),
        };
        ItemOutcome {
            run_result,
            ..outcome
        }
    }
}
