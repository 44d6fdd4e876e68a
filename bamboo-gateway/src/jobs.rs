//! Jobs: the shards that this host owns, the API calls about jobs, and the execution of their items.

mod append;
mod calls;
mod item_trials;
mod item_waits;
mod items;
mod ownership;
mod shard;
mod store_submissions;
mod stored;
mod submissions;
mod submit;
mod submitted;
mod waiting_items;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bamboo_shards::JobMemory;
use bamboo_types::QueueKey;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::resource_limits::ResourceLimits;
use crate::store::Partition;

use item_trials::ItemTrials;
use items::RunTimeEstimator;
pub(crate) use ownership::release_shards;
pub(crate) use ownership::run_group_membership;
pub(crate) use ownership::sync_host_list;
use shard::OwnedShard;
use store_submissions::StoreSubmissions;
use submissions::Submissions;
pub(crate) use submit::JobSubmission;
pub(crate) use submit::reserve_submission;

/// Number of epochs within one generation: how often one host can open shards before its epochs reach those of the next
/// generation.
const EPOCHS_PER_GENERATION: u64 = 1 << 20;
/// Time after which a shard is opened again for whose jobs there was no memory.
const DEFERRAL: Duration = Duration::from_secs(5);

/// The shards that this host owns and the tokens that it has reserved for submissions.
pub(crate) struct JobShards {
    /// Memory of the jobs of all shards.
    pub(crate) memory: JobMemory,
    /// Places for items that run or compete for slots.
    item_places: Arc<Semaphore>,
    /// Reads of many records, which take memory of their own.
    bulk_reads: Arc<Semaphore>,
    store_submissions: StoreSubmissions,
    /// Shards for whose jobs there is no memory, and until when.
    deferred: RefCell<BTreeMap<Partition, Duration>>,
    shards: RefCell<BTreeMap<Partition, Rc<OwnedShard>>>,
    has_joined: Cell<bool>,
    /// By the clock that also counts the time for which the machine is suspended.
    membership_expires_at: Cell<Duration>,
    last_reservation: Cell<u64>,
    reserved_tokens: RefCell<HashMap<QueueKey, u64>>,
    submissions: Submissions,
    run_time_estimator: RunTimeEstimator,
    item_trials: ItemTrials,
    last_epoch: Cell<u64>,
    config_changes: Notify,
}

impl JobShards {
    pub(crate) fn new(limits: &ResourceLimits) -> Self {
        JobShards {
            memory: JobMemory::new(limits.job_index_bytes, limits.job_contents_bytes),
            item_places: Arc::new(Semaphore::new(limits.items_at_once)),
            bulk_reads: Arc::new(Semaphore::new(limits.bulk_reads)),
            store_submissions: StoreSubmissions::new(limits.store_submission_bytes),
            deferred: RefCell::default(),
            shards: RefCell::default(),
            has_joined: Cell::default(),
            membership_expires_at: Cell::default(),
            last_reservation: Cell::default(),
            reserved_tokens: RefCell::default(),
            submissions: Submissions::default(),
            run_time_estimator: RunTimeEstimator::default(),
            item_trials: ItemTrials::default(),
            last_epoch: Cell::default(),
            config_changes: Notify::default(),
        }
    }

    /// Waits until another read of many records may begin. Returns `None` if that is not limited any more.
    async fn begin_bulk_read(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.bulk_reads).acquire_owned().await.ok()
    }

    /// Whether items wait for a place.
    fn has_waiting_items(&self) -> bool {
        let shards = self.shards.borrow();
        shards.values().any(|shard| shard.waiting.has_any())
    }

    /// Has a shard opened later.
    fn defer(&self, partition: Partition, now: Duration) {
        self.deferred.borrow_mut().insert(partition, now + DEFERRAL);
    }

    fn is_deferred(&self, partition: Partition, now: Duration) -> bool {
        let deferred = self.deferred.borrow();
        deferred.get(&partition).is_some_and(|until| now < *until)
    }

    /// Whether this host has joined the store's group since it started.
    pub(crate) fn has_joined(&self) -> bool {
        self.has_joined.get()
    }

    /// Partitions whose shards are replayed and served here, with their epochs.
    pub(crate) fn owned_partitions(&self) -> Vec<(Partition, u64)> {
        let shards = self.shards.borrow();
        shards
            .values()
            .filter(|shard| shard.is_open())
            .map(|shard| (shard.partition, shard.epoch.get()))
            .collect()
    }

    /// Waiting tokens of the owned shards per queue, by its text, including reserved ones.
    pub(crate) fn waiting_tokens(&self) -> Vec<(String, u64)> {
        let mut waiting: HashMap<QueueKey, u64> = self.reserved_tokens.borrow().clone();
        for shard in self.shards.borrow().values() {
            for (queue, tokens) in shard.state.borrow().waiting_tokens() {
                *waiting.entry(queue).or_default() += tokens;
            }
        }
        waiting
            .into_iter()
            .filter(|(_, tokens)| *tokens > 0)
            .map(|(queue, tokens)| (String::from(&queue), tokens))
            .collect()
    }

    /// Highest reservation number that the current coordinator has granted to this host.
    pub(crate) fn last_reservation(&self) -> u64 {
        self.last_reservation.get()
    }

    /// Resets the reservation number after a change of coordinator: the new one starts its own numbering.
    pub(crate) fn reset_reservation(&self) {
        self.last_reservation.set(0);
    }

    /// Wakes tasks that wait for a change of the configuration.
    pub(crate) fn config_changed(&self) {
        self.config_changes.notify_waiters();
    }

    /// Allocates the epoch of a shard that is being opened. It is higher than the epochs of all earlier generations and
    /// of all shards that this host has opened before.
    fn next_epoch(&self, generation: u64) -> u64 {
        let epoch = (generation * EPOCHS_PER_GENERATION).max(self.last_epoch.get() + 1);
        self.last_epoch.set(epoch);
        epoch
    }

    fn shard(&self, partition: Partition) -> Option<Rc<OwnedShard>> {
        self.shards.borrow().get(&partition).cloned()
    }

    fn add_reserved(&self, queue: QueueKey, tokens: u64) {
        *self.reserved_tokens.borrow_mut().entry(queue).or_default() += tokens;
    }

    fn remove_reserved(&self, queue: &QueueKey, tokens: u64) {
        if let Some(reserved) = self.reserved_tokens.borrow_mut().get_mut(queue) {
            *reserved = reserved.saturating_sub(tokens);
        }
    }
}
