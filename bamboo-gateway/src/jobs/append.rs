//! Appends of a shard's records to the store, in order and under its fence.

use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::Record;
use bamboo_shards::ShardChange;
use bamboo_shards::split_record;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;

use crate::gateway::Gateway;
use crate::jobs::items;
use crate::jobs::part::OwnedPart;
use crate::jobs::part::Pending;
use crate::jobs::part::RETRY_PAUSE;
use crate::jobs::part::Stored;
use crate::jobs::part::TOPIC;
use crate::settings::StoreSettings;
use crate::store::Fence;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Appends under way at once. The store knows the last five of a writer again.
const APPENDS_MAX: usize = 4;
/// Pause before an append that came to the store before its predecessor is repeated.
const ORDER_PAUSE: Duration = Duration::from_millis(10);
/// Repeats after which an append that is out of sequence will never be in it, and the shard is opened anew.
const ORDER_REPEATS_MAX: u32 = 150;
/// Bytes that each record costs in an append beside its own.
const RECORD_OVERHEAD_BYTES: usize = 8;

impl OwnedPart {
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
            Ok(bytes) => split_record(&bytes, store.record_max_bytes),
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

/// Appends a batch under the shard's fence until there is an answer.
pub(super) async fn append(
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

pub(super) async fn append_forever(gateway: &Rc<Gateway>, part: &Rc<OwnedPart>) {
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
            ShardChange::JobAccepted(job) => items::start_job(gateway, part, job),
            ShardChange::ResultsAdded(_, items) => {
                items
                    .iter()
                    .for_each(|_| gateway.metrics.count_item("listed"));
            }
            ShardChange::JobCancelled(_) | ShardChange::Unchanged => {}
        }
        if let Some(waiter) = pending.waiter {
            // The one who waits may have given up.
            let _ = waiter.send(Stored::Yes);
        }
    }
    part.listed.notify_waiters();
}
