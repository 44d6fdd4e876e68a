//! One shard that this host owns: its fold, and the appends that wait.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use bamboo_shards::Applied;
use bamboo_shards::ItemProgress;
use bamboo_shards::ItemRun;
use bamboo_shards::Joiner;
use bamboo_shards::Record;
use bamboo_shards::Shard;
use bamboo_shards::split;
use bamboo_types::ItemIndex;
use bamboo_types::Offset;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::jobs::items;
use crate::jobs::submitted::Reading;
use crate::jobs::submitted::Submitted;
use crate::jobs::submitted::follow_submitted;
use crate::jobs::submitted::read_submitted;
use crate::settings::StoreSettings;
use crate::store::Fence;
use crate::store::Partition;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::task::OwnedTask;

/// Topic of the job shards.
pub(super) const TOPIC: &str = "bamboo-jobs";
/// Pause after a call that the store refused or did not answer.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Interval of recording the progress of items: what a lost host costs at most of each.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1000);
/// Shortest pause between records of progress, as a multiple of the time that the store takes: submissions wait for
/// the append that is under way.
const PROGRESS_PACE: u32 = 20;
/// Appends under way at once. The store knows the last five of a writer again.
const APPENDS_MAX: usize = 4;
/// Pause before an append that came to the store before its predecessor is repeated.
const ORDER_PAUSE: Duration = Duration::from_millis(10);
/// Repeats after which an append that is out of sequence will never be in it, and the shard is opened anew.
const ORDER_REPEATS_MAX: u32 = 150;
/// Time for learning whether a record that is taken back is stored: one call of the store.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(1200);
/// Bytes that each record costs in an append beside its own.
const RECORD_OVERHEAD_BYTES: usize = 8;

/// Progress of an item, shared by its run and by those who record it.
pub(super) type SharedRun = Rc<RefCell<ItemRun>>;

/// How an append ended for the one who waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stored {
    /// The store holds it.
    Yes,
    /// It never left this host.
    No,
    /// The store may hold it.
    Unknown,
}

struct Pending {
    number: u64,
    record: Record,
    waiter: Option<oneshot::Sender<Stored>>,
}

/// A shard of this host.
pub(super) struct OwnedPart {
    pub(super) partition: Partition,
    pub(super) epoch: u64,
    pub(super) shard: RefCell<Shard>,
    is_open: Cell<bool>,
    is_lost: Cell<bool>,
    queue: RefCell<VecDeque<Pending>>,
    next_number: Cell<u64>,
    /// Offset after the last record that this owner has folded or stored.
    end: Cell<Offset>,
    is_appending: Cell<bool>,
    has_begun: Cell<bool>,
    wake: Notify,
    failing_since: Cell<Option<Duration>>,
    /// Told when results are listed or a job ends.
    pub(super) listed: Notify,
    tasks: RefCell<Vec<OwnedTask>>,
    runs: RefCell<BTreeMap<(String, ItemIndex), SharedRun>>,
    pub(super) submitted: Submitted,
    withdrawn: RefCell<BTreeSet<u64>>,
}

impl OwnedPart {
    pub(super) fn new(partition: Partition, epoch: u64) -> Rc<Self> {
        Rc::new(OwnedPart {
            partition,
            epoch,
            shard: RefCell::new(Shard::default()),
            is_open: Cell::new(false),
            is_lost: Cell::new(false),
            queue: RefCell::new(VecDeque::new()),
            next_number: Cell::new(0),
            end: Cell::new(0),
            is_appending: Cell::new(false),
            has_begun: Cell::new(false),
            wake: Notify::new(),
            failing_since: Cell::new(None),
            listed: Notify::new(),
            tasks: RefCell::new(Vec::new()),
            runs: RefCell::new(BTreeMap::new()),
            submitted: Submitted::default(),
            withdrawn: RefCell::default(),
        })
    }

    /// Whether its records are folded and it is still owned.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.get() && !self.is_lost.get()
    }

    pub(super) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// How long the store has not taken appends.
    pub(super) fn failing_for(&self, now: Duration) -> Duration {
        self.failing_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether no append waits or is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty() && !self.is_appending.get()
    }

    /// Ends everything that runs for the shard.
    pub(super) fn close(&self) {
        self.is_lost.set(true);
        self.tasks.borrow_mut().clear();
        self.queue.borrow_mut().clear();
        self.listed.notify_waiters();
        self.wake.notify_waiters();
    }

    /// Stops the runs of items and records how far they are; appends go on.
    pub(super) fn stop_items(&self) {
        // The first task is the one that appends.
        self.tasks.borrow_mut().truncate(1);
        self.record_progress();
    }

    /// Progress of an item, from what is recorded if it does not run yet.
    pub(super) fn shared_run(&self, job: &str, item: ItemIndex) -> SharedRun {
        let recorded = || self.shard.borrow().job(job).map(|found| found.run(item));
        let mut runs = self.runs.borrow_mut();
        let run = runs
            .entry((job.to_owned(), item))
            .or_insert_with(|| Rc::new(RefCell::new(recorded().unwrap_or_default())));
        Rc::clone(run)
    }

    /// Forgets the progress of an item that needs no more runs.
    pub(super) fn forget_run(&self, job: &str, item: ItemIndex) {
        self.runs.borrow_mut().remove(&(job.to_owned(), item));
    }

    /// Queues a record of what running items gained.
    pub(super) fn record_progress(&self) {
        let entries: Vec<ItemProgress> = self
            .runs
            .borrow()
            .iter()
            .filter_map(|((job, item), run)| run.borrow_mut().take_unrecorded(job, *item))
            .collect();
        if !entries.is_empty() {
            self.append(Record::Progress(entries));
        }
    }

    pub(super) fn own_task(&self, task: OwnedTask) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Queues a record without waiting for it.
    pub(super) fn append(&self, record: Record) {
        self.push(record, None);
    }

    /// Queues a record and waits until it is stored. After `patience` it is taken back, if it surely is not stored.
    pub(super) async fn append_and_wait(&self, record: Record, patience: Duration) -> Stored {
        let (waiter, mut stored) = oneshot::channel();
        let number = self.push(record, Some(waiter));
        if let Ok(stored) = tokio::time::timeout(patience, &mut stored).await {
            return stored.unwrap_or(Stored::Unknown);
        }
        if self.withdraw(number) {
            return Stored::No;
        }
        self.withdrawn.borrow_mut().insert(number);
        let stored = tokio::time::timeout(WITHDRAW_TIMEOUT, stored).await;
        self.withdrawn.borrow_mut().remove(&number);
        match stored {
            Ok(stored) => stored.unwrap_or(Stored::Unknown),
            Err(_) => Stored::Unknown,
        }
    }

    fn push(&self, record: Record, waiter: Option<oneshot::Sender<Stored>>) -> u64 {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        self.queue.borrow_mut().push_back(Pending {
            number,
            record,
            waiter,
        });
        self.wake.notify_one();
        number
    }

    /// Takes a record back that no append has contained yet.
    fn withdraw(&self, number: u64) -> bool {
        let mut queue = self.queue.borrow_mut();
        let before = queue.len();
        queue.retain(|pending| pending.number != number);
        queue.len() < before
    }

    /// Whether another append may start beside those under way: one at a time, but that nobody who waits is held up.
    fn wants_append(&self, under_way: usize) -> bool {
        let has_waiter = || {
            self.queue
                .borrow()
                .iter()
                .any(|pending| pending.waiter.is_some())
        };
        // The store takes any number for the first append of an epoch, so that one goes alone.
        under_way == 0 || (self.has_begun.get() && under_way < APPENDS_MAX && has_waiter())
    }

    /// Records for the next append.
    fn next_batch(&self, store: &StoreSettings) -> Vec<Pending> {
        let mut queue = self.queue.borrow_mut();
        let mut batch = Vec::new();
        let mut size_bytes = 0;
        while let Some(pending) = queue.front() {
            let needed_bytes: usize = self
                .fragments(pending, store)
                .iter()
                .map(|piece| piece.len() + RECORD_OVERHEAD_BYTES)
                .sum();
            if !batch.is_empty() && size_bytes + needed_bytes > store.append_max_bytes {
                break;
            }
            size_bytes += needed_bytes;
            batch.extend(queue.pop_front());
        }
        batch
    }

    /// A record that changes nothing.
    fn filler(&self, store: &StoreSettings) -> Vec<Vec<u8>> {
        self.encoded(&Record::Progress(Vec::new()), store)
    }

    fn fragments(&self, pending: &Pending, store: &StoreSettings) -> Vec<Vec<u8>> {
        self.encoded(&pending.record, store)
    }

    /// A record as the store keeps it; nothing if it cannot be encoded.
    fn encoded(&self, record: &Record, store: &StoreSettings) -> Vec<Vec<u8>> {
        match record.to_bytes() {
            Ok(bytes) => split(&bytes, store.record_max_bytes),
            Err(error) => {
                log::error!(event = "record_lost", partition = self.partition; "a record cannot be encoded: {error}");
                Vec::new()
            }
        }
    }

    /// Takes records out of a batch that surely is not stored, if those who wait for them have given up.
    fn drop_withdrawn(&self, batch: &mut Vec<Pending>) {
        let withdrawn = self.withdrawn.borrow();
        let (dropped, kept) = std::mem::take(batch)
            .into_iter()
            .partition(|pending| withdrawn.contains(&pending.number));
        *batch = kept;
        let dropped: Vec<Pending> = dropped;
        for waiter in dropped.into_iter().filter_map(|pending| pending.waiter) {
            // The one who waits may be gone.
            let _ = waiter.send(Stored::No);
        }
    }
}

/// Takes a shard over and serves its appends until it is lost.
pub(super) async fn serve_part(gateway: Rc<Gateway>, part: Rc<OwnedPart>) {
    let started = gateway.clock.now();
    match open_part(&gateway, &part).await {
        Ok(true) => {}
        Ok(false) => {
            part.is_lost.set(true);
            return;
        }
        Err(error) => {
            log::error!(event = "shard_unreadable", partition = part.partition; "a shard cannot be folded: {error:#}");
            part.is_lost.set(true);
            return;
        }
    }
    part.is_open.set(true);
    log::info!(
        event = "shard_opened", partition = part.partition, epoch = part.epoch,
        jobs = part.shard.borrow().jobs().count(),
        took_ms = gateway.clock.now().saturating_sub(started).as_millis() as u64; "shard opened"
    );
    items::start_open_items(&gateway, &part);
    tokio::join!(
        append_forever(&gateway, &part),
        record_forever(&gateway, &part),
        follow_submitted(&gateway, &part),
    );
}

/// Records the progress of running items until the shard is lost.
async fn record_forever(gateway: &Gateway, part: &OwnedPart) {
    while !part.is_lost() {
        let pause = PROGRESS_INTERVAL.max(gateway.store_lately() * PROGRESS_PACE);
        actix_rt::time::sleep(pause).await;
        // While an append waits for the store, more progress would only grow the queue.
        if part.is_idle() {
            part.record_progress();
        }
    }
}

/// Fences earlier owners off and folds the records. Returns whether the shard is still this host's.
async fn open_part(gateway: &Rc<Gateway>, part: &Rc<OwnedPart>) -> anyhow::Result<bool> {
    let StoreReply::Appended { mut end, .. } = append(gateway, part, 0, &mut Vec::new()).await
    else {
        return Ok(false);
    };
    // Jobs of other hosts come first: the shard's own records hold their results.
    loop {
        match read_submitted(gateway, part, Duration::ZERO).await {
            Reading::AtEnd => break,
            Reading::HasMore => {}
            Reading::Failed => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
    let mut from = 0;
    let mut joiner = Joiner::default();
    while from < end {
        let request = StoreRequest::Read {
            topic: TOPIC.to_owned(),
            partition: part.partition,
            from,
            wait: Duration::ZERO,
        };
        match gateway.store_call(&request).await {
            Ok(StoreReply::Records {
                records,
                end: now_end,
            }) => {
                end = end.max(now_end);
                if records.is_empty() {
                    break;
                }
                from += records.len() as u64;
                for fragment in records {
                    let Some(bytes) = joiner.push(&fragment).context("fragment")? else {
                        continue;
                    };
                    match Record::try_from(bytes.as_slice()) {
                        Ok(record) => {
                            part.shard.borrow_mut().apply(record);
                        }
                        Err(error) => log::error!(
                            event = "record_unreadable", partition = part.partition, from;
                            "a record is passed over: {error}"
                        ),
                    }
                }
            }
            Ok(StoreReply::Trimmed { first }) => {
                // What is no longer kept belongs to jobs whose results need not be kept either.
                from = first;
                joiner = Joiner::default();
            }
            Ok(other) => anyhow::bail!("unexpected answer {other:?}"),
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
    part.end.set(end);
    Ok(true)
}

/// Whether the store holds no record of the shard that this owner does not know: another owner may have been dealt the
/// shard without a word, and have accepted jobs since.
pub(super) async fn is_newest_known(gateway: &Gateway, part: &OwnedPart) -> bool {
    let request = StoreRequest::Read {
        topic: TOPIC.to_owned(),
        partition: part.partition,
        from: part.end.get(),
        wait: Duration::ZERO,
    };
    match gateway.store_call(&request).await {
        // Own appends may have been answered meanwhile.
        Ok(StoreReply::Records { end, .. }) => end <= part.end.get(),
        Ok(_) | Err(_) => false,
    }
}

/// Appends a batch under the shard's fence until there is an answer.
async fn append(
    gateway: &Gateway,
    part: &OwnedPart,
    sequence: u64,
    batch: &mut Vec<Pending>,
) -> StoreReply {
    let store = &gateway.settings.store;
    let fence = Fence {
        producer: format!("shard-{}", part.partition),
        epoch: part.epoch,
        sequence,
    };
    let mut order_repeats = 0;
    let mut may_be_stored = false;
    loop {
        let mut records: Vec<Vec<u8>> = batch
            .iter()
            .flat_map(|pending| part.fragments(pending, store))
            .collect();
        if records.is_empty() && sequence > 0 {
            // Only an append with a record surely takes its place in the sequence.
            records = part.filler(store);
        }
        let request = StoreRequest::Append {
            topic: TOPIC.to_owned(),
            partition: part.partition,
            records,
            fence: Some(fence.clone()),
        };
        match gateway.store_call(&request).await {
            Ok(StoreReply::OutOfSequence { expected }) if order_repeats < ORDER_REPEATS_MAX => {
                if order_repeats == 0 {
                    log::info!(
                        event = "append_early", partition = part.partition, sequence, expected;
                        "an append is not the next of its epoch yet"
                    );
                }
                order_repeats += 1;
                actix_rt::time::sleep(ORDER_PAUSE).await;
            }
            Ok(reply) => {
                part.failing_since.set(None);
                return reply;
            }
            Err(error) => {
                may_be_stored |= matches!(error, StoreError::Unknown(_));
                let since = part.failing_since.get();
                part.failing_since
                    .set(Some(since.unwrap_or_else(|| gateway.clock.now())));
                if !may_be_stored {
                    part.drop_withdrawn(batch);
                }
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn append_forever(gateway: &Rc<Gateway>, part: &Rc<OwnedPart>) {
    let store = &gateway.settings.store;
    let mut sequence = 0;
    let mut under_way = FuturesOrdered::new();
    while !part.is_lost() {
        while part.wants_append(under_way.len()) {
            let mut batch = part.next_batch(store);
            if batch.is_empty() {
                break;
            }
            sequence += 1;
            let number = sequence;
            under_way.push_back(async move {
                let reply = append(gateway, part, number, &mut batch).await;
                (reply, batch)
            });
        }
        part.is_appending.set(!under_way.is_empty());
        tokio::select! {
            Some((reply, batch)) = under_way.next(), if !under_way.is_empty() => match reply {
                StoreReply::Appended { end, .. } => {
                    part.has_begun.set(true);
                    part.end.set(part.end.get().max(end));
                    apply_batch(gateway, part, batch);
                }
                reply => {
                    log::warn!(
                        event = "shard_lost", partition = part.partition, epoch = part.epoch, reply:? = reply;
                        "the store takes no more appends of this owner"
                    );
                    part.is_lost.set(true);
                    return;
                }
            },
            () = part.wake.notified() => {}
        }
    }
}

/// Folds records that the store holds, and tells those who wait for them.
fn apply_batch(gateway: &Rc<Gateway>, part: &Rc<OwnedPart>, batch: Vec<Pending>) {
    for pending in batch {
        let applied = part.shard.borrow_mut().apply(pending.record);
        match &applied {
            Applied::Accepted(job) => items::start_job(gateway, part, job),
            Applied::Listed(_, items) => {
                items.iter().for_each(|_| gateway.metrics.item("listed"));
            }
            Applied::Ended(_) | Applied::Nothing => {}
        }
        if let Some(waiter) = pending.waiter {
            // The one who waits may have given up.
            let _ = waiter.send(Stored::Yes);
        }
    }
    part.listed.notify_waiters();
}
