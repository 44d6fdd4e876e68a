//! One shard that this host owns: its fold, and the appends that wait.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use bamboo_shards::FragmentAssembler;
use bamboo_shards::ItemProgress;
use bamboo_shards::ItemRun;
use bamboo_shards::Record;
use bamboo_shards::Shard;
use bamboo_types::ItemIndex;
use bamboo_types::Offset;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::jobs::append::append;
use crate::jobs::append::append_forever;
use crate::jobs::items;
use crate::jobs::submitted::Reading;
use crate::jobs::submitted::Submitted;
use crate::jobs::submitted::follow_submitted;
use crate::jobs::submitted::read_submitted;
use crate::store::Partition;
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
/// Time for learning whether a record that is taken back is stored: one call of the store.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(1200);

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

/// A record that waits for its append.
pub(super) struct Pending {
    pub(super) number: u64,
    pub(super) record: Record,
    pub(super) waiter: Option<oneshot::Sender<Stored>>,
}

/// A shard of this host.
pub(super) struct OwnedPart {
    pub(super) partition: Partition,
    pub(super) epoch: u64,
    pub(super) shard: RefCell<Shard>,
    is_open: Cell<bool>,
    pub(super) is_lost: Cell<bool>,
    pub(super) queue: RefCell<VecDeque<Pending>>,
    next_number: Cell<u64>,
    /// Offset after the last record that this owner has folded or stored.
    pub(super) end: Cell<Offset>,
    pub(super) is_appending: Cell<bool>,
    pub(super) has_begun: Cell<bool>,
    pub(super) wake: Notify,
    pub(super) failing_since: Cell<Option<Duration>>,
    /// Told when results are listed or a job ends.
    pub(super) listed: Notify,
    tasks: RefCell<Vec<OwnedTask>>,
    runs: RefCell<BTreeMap<(String, ItemIndex), SharedRun>>,
    pub(super) submitted: Submitted,
    pub(super) withdrawn: RefCell<BTreeSet<u64>>,
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
            .filter_map(|((job, item), run)| run.borrow_mut().take_progress(job, *item))
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
        let pause = PROGRESS_INTERVAL.max(gateway.recent_store_latency() * PROGRESS_PACE);
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
    let mut joiner = FragmentAssembler::default();
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
                joiner = FragmentAssembler::default();
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
