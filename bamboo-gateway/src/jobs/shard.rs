//! A shard that this host owns: its state, its running items and its queue of appends.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::IndexReservation;
use bamboo_shards::ItemProgress;
use bamboo_shards::ItemRun;
use bamboo_shards::JobMemory;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::RecordTopic;
use bamboo_shards::Shard;
use bamboo_types::ItemIndex;
use bamboo_types::Offset;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::jobs::append::append;
use crate::jobs::append::run_appends;
use crate::jobs::append::storable_record_max_bytes;
use crate::jobs::items;
use crate::jobs::items::run_waiting_items;
use crate::jobs::stored::RecordReader;
use crate::jobs::submitted::ReadOutcome;
use crate::jobs::submitted::SubmittedCursor;
use crate::jobs::submitted::follow_submitted;
use crate::jobs::submitted::read_submitted;
use crate::jobs::waiting_items::WaitingItems;
use crate::settings::StoreSettings;
use crate::store::Partition;
use crate::store::ReadExtent;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::task::OwnedTask;

/// Topic of the job shards.
pub(super) const JOBS_TOPIC: &str = "bamboo-jobs";
/// Delay after a call that the store refused or did not answer.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Interval of recording the progress of items. It bounds the progress of each item that is lost with a host.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum interval between progress records, as a multiple of the store's latency, because submissions wait for the
/// append in flight.
const PROGRESS_LATENCY_FACTOR: u32 = 20;
/// How long to wait until it is known whether a withdrawn record was stored: the duration of one call of the store.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(1200);

/// Progress of an item, shared between the task that runs it and the one that records it.
pub(super) type SharedRun = Rc<RefCell<ItemRun>>;

/// Result of an append for the task that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AppendOutcome {
    /// The record is stored.
    Stored,
    /// The record is not stored and will not be appended.
    NotStored,
    /// The record may be stored.
    Unknown,
}

/// A record that is queued for an append.
pub(super) struct PendingRecord {
    pub(super) record_id: u64,
    pub(super) record: Record,
    /// Room for the index of the job that it accepts, if any.
    pub(super) index: Option<IndexReservation>,
    /// Number of its fragments, known once it is part of an append.
    pub(super) fragments: usize,
    pub(super) waiter: Option<oneshot::Sender<AppendOutcome>>,
}

/// A shard that is owned by this host.
pub(super) struct OwnedShard {
    pub(super) partition: Partition,
    /// Epoch of the appends. It rises when the host claims a shard anew that it has kept.
    pub(super) epoch: Cell<u64>,
    /// Epoch with which to claim the shard anew, because another host may have owned it meanwhile.
    claim_epoch: Cell<Option<u64>>,
    pub(super) state: RefCell<Shard>,
    is_open: Cell<bool>,
    pub(super) is_lost: Cell<bool>,
    pub(super) queue: RefCell<VecDeque<PendingRecord>>,
    last_record_id: Cell<u64>,
    /// Offset after the last record that this owner has replayed or appended.
    pub(super) end_offset: Cell<Offset>,
    pub(super) is_appending: Cell<bool>,
    pub(super) has_appended: Cell<bool>,
    pub(super) queue_changed: Notify,
    pub(super) failing_since: Cell<Option<Duration>>,
    /// Notified when stored records have been applied or the shard is closed.
    pub(super) state_changed: Notify,
    tasks: RefCell<Vec<OwnedTask>>,
    runs: RefCell<BTreeMap<(String, ItemIndex), SharedRun>>,
    /// Items that do not run yet.
    pub(super) waiting: WaitingItems,
    pub(super) submitted: SubmittedCursor,
    /// Identifiers of records whose waiters timed out after the records had entered an append.
    pub(super) withdrawn: RefCell<BTreeSet<u64>>,
}

impl OwnedShard {
    pub(super) fn new(partition: Partition, epoch: u64, memory: JobMemory) -> Rc<Self> {
        Rc::new(OwnedShard {
            partition,
            epoch: Cell::new(epoch),
            claim_epoch: Cell::new(None),
            state: RefCell::new(Shard::new(memory)),
            is_open: Cell::new(false),
            is_lost: Cell::new(false),
            queue: RefCell::new(VecDeque::new()),
            last_record_id: Cell::new(0),
            end_offset: Cell::new(0),
            is_appending: Cell::new(false),
            has_appended: Cell::new(false),
            queue_changed: Notify::new(),
            failing_since: Cell::new(None),
            state_changed: Notify::new(),
            tasks: RefCell::new(Vec::new()),
            runs: RefCell::new(BTreeMap::new()),
            waiting: WaitingItems::default(),
            submitted: SubmittedCursor::default(),
            withdrawn: RefCell::default(),
        })
    }

    /// Whether the shard's records have been replayed and it is still owned by this host.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.get() && !self.is_lost.get()
    }

    pub(super) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Has the shard claimed anew before its next append. A shard to which another host has appended records meanwhile is
    /// then lost, and the next renewal of the membership opens it with all of its records.
    pub(super) fn claim_again(&self, epoch: u64) {
        self.claim_epoch.set(Some(epoch));
        self.queue_changed.notify_one();
    }

    /// Whether the shard is to be claimed anew.
    pub(super) fn has_claim(&self) -> bool {
        self.claim_epoch.get().is_some()
    }

    /// Marks the shard as lost because another owner has appended records to it.
    pub(super) fn lose_to_other_owner(&self, end: Offset) {
        log::warn!(
            event = "shard_stale", partition = self.partition, epoch = self.epoch.get(),
            known_end = self.end_offset.get(), end;
            "another host has appended records to a shard that this host kept"
        );
        self.is_lost.set(true);
    }

    /// Takes the epoch with which to claim the shard anew.
    pub(super) fn take_claim(&self) -> Option<u64> {
        self.claim_epoch.take()
    }

    /// How long appends have been failing.
    pub(super) fn failing_for(&self, now: Duration) -> Duration {
        self.failing_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether no append is queued or in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty() && !self.is_appending.get()
    }

    /// Marks the shard as lost, stops its tasks and discards queued records.
    pub(super) fn close(&self) {
        self.is_lost.set(true);
        self.waiting.stop();
        self.tasks.borrow_mut().clear();
        self.queue.borrow_mut().clear();
        self.state_changed.notify_waiters();
        self.queue_changed.notify_waiters();
    }

    /// Stops the running items and records their progress. Appends continue.
    pub(super) fn stop_items(&self, store: &StoreSettings) {
        self.waiting.stop();
        // The first task runs `serve_shard`, which performs the appends.
        self.tasks.borrow_mut().truncate(1);
        self.record_progress(store);
    }

    /// Progress of an item, initialized from the recorded progress if the item is not running yet.
    pub(super) fn shared_run(&self, job: &str, item: ItemIndex) -> SharedRun {
        let recorded = || self.state.borrow().job(job).map(|found| found.run(item));
        let mut runs = self.runs.borrow_mut();
        let run = runs
            .entry((job.to_owned(), item))
            .or_insert_with(|| Rc::new(RefCell::new(recorded().unwrap_or_default())));
        Rc::clone(run)
    }

    /// Removes the progress of an item that needs no further attempts.
    pub(super) fn remove_run(&self, job: &str, item: ItemIndex) {
        self.runs.borrow_mut().remove(&(job.to_owned(), item));
    }

    /// Queues records of the progress that running items have made since the previous ones, each of which fits into an
    /// append.
    pub(super) fn record_progress(&self, store: &StoreSettings) {
        let entries: Vec<ItemProgress> = self
            .runs
            .borrow()
            .iter()
            .filter_map(|((job, item), run)| run.borrow_mut().take_progress(job, *item))
            .collect();
        for record in Record::progress(entries, storable_record_max_bytes(store)) {
            self.append(record);
        }
    }

    pub(super) fn add_task(&self, task: OwnedTask) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Queues a record without waiting until it is stored.
    pub(super) fn append(&self, record: Record) {
        self.enqueue(record, None, None);
    }

    /// Queues the acceptance of a job, for whose index there is room, like [`append_and_wait`](Self::append_and_wait).
    pub(super) async fn accept_and_wait(
        &self,
        job: Rc<JobRecord>,
        index: IndexReservation,
        timeout: Duration,
    ) -> AppendOutcome {
        let record = Record::Accepted(job);
        self.enqueue_and_wait(record, Some(index), timeout).await
    }

    /// Queues a record and waits until it is stored. After `timeout` the record is withdrawn, unless it may have been
    /// stored already.
    pub(super) async fn append_and_wait(&self, record: Record, timeout: Duration) -> AppendOutcome {
        self.enqueue_and_wait(record, None, timeout).await
    }

    async fn enqueue_and_wait(
        &self,
        record: Record,
        index: Option<IndexReservation>,
        timeout: Duration,
    ) -> AppendOutcome {
        let (waiter, mut stored) = oneshot::channel();
        let record_id = self.enqueue(record, index, Some(waiter));
        if let Ok(stored) = tokio::time::timeout(timeout, &mut stored).await {
            return stored.unwrap_or(AppendOutcome::Unknown);
        }
        if self.withdraw(record_id) {
            return AppendOutcome::NotStored;
        }
        self.withdrawn.borrow_mut().insert(record_id);
        let stored = tokio::time::timeout(WITHDRAW_TIMEOUT, stored).await;
        self.withdrawn.borrow_mut().remove(&record_id);
        match stored {
            Ok(stored) => stored.unwrap_or(AppendOutcome::Unknown),
            Err(_) => AppendOutcome::Unknown,
        }
    }

    fn enqueue(
        &self,
        record: Record,
        index: Option<IndexReservation>,
        waiter: Option<oneshot::Sender<AppendOutcome>>,
    ) -> u64 {
        let record_id = self.last_record_id.get() + 1;
        self.last_record_id.set(record_id);
        self.queue.borrow_mut().push_back(PendingRecord {
            record_id,
            record,
            index,
            fragments: 0,
            waiter,
        });
        self.queue_changed.notify_one();
        record_id
    }

    /// Removes a record from the queue. Returns `false` if an append already contains it.
    fn withdraw(&self, record_id: u64) -> bool {
        let mut queue = self.queue.borrow_mut();
        let before = queue.len();
        queue.retain(|pending| pending.record_id != record_id);
        queue.len() < before
    }
}

/// Opens a shard, then runs its items and appends until the shard is lost.
pub(super) async fn serve_shard(gateway: Rc<Gateway>, shard: Rc<OwnedShard>) {
    let started = gateway.clock.now();
    match open_shard(&gateway, &shard).await {
        Ok(OpenOutcome::Open) => {}
        Ok(OpenOutcome::Lost) => {
            shard.is_lost.set(true);
            return;
        }
        Ok(OpenOutcome::NoMemory) => {
            log::warn!(
                event = "shard_deferred", partition = shard.partition,
                index_bytes = gateway.jobs.memory.index_bytes();
                "there is no memory for the jobs of a shard; it is opened later"
            );
            gateway.jobs.defer(shard.partition, gateway.clock.now());
            shard.is_lost.set(true);
            return;
        }
        Err(error) => {
            log::error!(
                event = "shard_unreadable", partition = shard.partition;
                "cannot replay the records of a shard: {error:#}"
            );
            shard.is_lost.set(true);
            return;
        }
    }
    shard.is_open.set(true);
    log::info!(
        event = "shard_opened", partition = shard.partition, epoch = shard.epoch.get(),
        jobs = shard.state.borrow().jobs().count(),
        took_ms = gateway.clock.now().saturating_sub(started).as_millis() as u64; "shard opened"
    );
    items::start_open_items(&gateway, &shard);
    tokio::join!(
        run_appends(&gateway, &shard),
        record_progress_periodically(&gateway, &shard),
        follow_submitted(&gateway, &shard),
        run_waiting_items(&gateway, &shard),
    );
}

/// Records the progress of running items until the shard is lost.
async fn record_progress_periodically(gateway: &Gateway, shard: &OwnedShard) {
    while !shard.is_lost() {
        let pause = PROGRESS_INTERVAL.max(gateway.recent_store_latency() * PROGRESS_LATENCY_FACTOR);
        actix_rt::time::sleep(pause).await;
        // While an append is pending, further progress records would only lengthen the queue.
        if shard.is_idle() {
            shard.record_progress(&gateway.settings.store);
        }
    }
}

/// What came of opening a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpenOutcome {
    /// All of its records have been replayed.
    Open,
    /// Another host owns it.
    Lost,
    /// There is no memory for its jobs.
    NoMemory,
}

/// Fences off earlier owners and replays the shard's records.
async fn open_shard(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) -> anyhow::Result<OpenOutcome> {
    let StoreReply::Appended { mut end, .. } = append(gateway, shard, 0, &mut Vec::new()).await
    else {
        return Ok(OpenOutcome::Lost);
    };
    // Jobs that other hosts accepted are read first, because the shard's own records may contain their results.
    loop {
        let permit = gateway.jobs.begin_bulk_read().await;
        let read = read_submitted(gateway, shard, Duration::ZERO, ReadExtent::Backlog).await;
        drop(permit);
        match read {
            ReadOutcome::AtEnd => break,
            ReadOutcome::HasMore => {}
            ReadOutcome::NoMemory => return Ok(OpenOutcome::NoMemory),
            ReadOutcome::Failed => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
    let mut from = 0;
    let mut is_waiting = false;
    let mut reader = RecordReader::new(RecordTopic::Shard);
    while from < end {
        let request = StoreRequest::Read {
            topic: JOBS_TOPIC.to_owned(),
            partition: shard.partition,
            from,
            wait: Duration::ZERO,
            extent: ReadExtent::Backlog,
        };
        let permit = gateway.jobs.begin_bulk_read().await;
        match gateway.store_call(&request).await {
            Ok(StoreReply::Records {
                records,
                end: current_end,
            }) => {
                end = end.max(current_end);
                if records.is_empty() {
                    // The shard must not be opened without the rest: its jobs would be unknown.
                    drop(permit);
                    log_replay_wait(shard, &mut is_waiting, from, end, "the read returned none");
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
                is_waiting = false;
                let offsets = from..;
                from += records.len() as u64;
                for (offset, fragment) in offsets.zip(records) {
                    if !apply_fragment(shard, &mut reader, offset, &fragment) {
                        return Ok(OpenOutcome::NoMemory);
                    }
                }
            }
            Ok(StoreReply::Trimmed { first }) => {
                // Trimmed records belong to jobs whose retention has expired.
                from = first;
                reader = RecordReader::new(RecordTopic::Shard);
            }
            Ok(other) => anyhow::bail!("unexpected reply from the store: {other:?}"),
            Err(error) => {
                drop(permit);
                log_replay_wait(shard, &mut is_waiting, from, end, &error.to_string());
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    shard.end_offset.set(end);
    Ok(OpenOutcome::Open)
}

/// Logs that the records of a shard cannot be read yet, once until the next ones arrive.
fn log_replay_wait(
    shard: &OwnedShard,
    is_waiting: &mut bool,
    from: Offset,
    end: Offset,
    reason: &str,
) {
    if !std::mem::replace(is_waiting, true) {
        log::info!(
            event = "replay_waits", partition = shard.partition, epoch = shard.epoch.get(), from, end;
            "cannot read the records of a shard yet: {reason}"
        );
    }
}

/// Applies the record that a replayed fragment completes, if any. A record that cannot be read is skipped, so that the
/// other jobs of the shard stay readable. Returns `false` if there is no memory for the job that it accepts.
fn apply_fragment(
    shard: &OwnedShard,
    reader: &mut RecordReader,
    offset: Offset,
    fragment: &[u8],
) -> bool {
    let (record, location) = match reader.push(offset, fragment) {
        Ok(Some(read)) => read,
        Ok(None) => return true,
        Err(error) => {
            log::error!(
                event = "record_unreadable", partition = shard.partition, offset;
                "skipping a record that cannot be read: {error}"
            );
            return true;
        }
    };
    let mut state = shard.state.borrow_mut();
    state.apply_read(record, location).is_some()
}

/// Whether this owner knows all stored records of the shard. The store may have assigned the shard to another host
/// without notice, and that host may have accepted jobs since. A shard with records of another owner is lost, and the next
/// renewal of the membership opens it with all of its records.
pub(super) async fn has_latest_records(gateway: &Gateway, shard: &OwnedShard) -> bool {
    let request = StoreRequest::Read {
        topic: JOBS_TOPIC.to_owned(),
        partition: shard.partition,
        from: shard.end_offset.get(),
        wait: Duration::ZERO,
        extent: ReadExtent::Tail,
    };
    match gateway.store_call(&request).await {
        // Appends of this owner that completed during the call have advanced `end_offset`.
        Ok(StoreReply::Records { end, .. }) if end <= shard.end_offset.get() => true,
        Ok(StoreReply::Records { end, .. }) => {
            // While an append of this host is under way, the record may be its own.
            if !shard.is_appending.get() {
                shard.lose_to_other_owner(end);
            }
            false
        }
        Ok(_) | Err(_) => false,
    }
}
