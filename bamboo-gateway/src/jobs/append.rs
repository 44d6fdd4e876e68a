//! Appends the records of a shard to the store, in order and with its fence.

use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::JobAge;
use bamboo_shards::Record;
use bamboo_shards::RecordLocation;
use bamboo_shards::RecordTopic;
use bamboo_shards::ShardChange;
use bamboo_shards::StoredRecord;
use bamboo_shards::record_max_bytes;
use bamboo_shards::split_record;
use bamboo_types::Offset;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;

use crate::gateway::Gateway;
use crate::jobs::items;
use crate::jobs::shard::AppendOutcome;
use crate::jobs::shard::JOBS_TOPIC;
use crate::jobs::shard::OwnedShard;
use crate::jobs::shard::PendingRecord;
use crate::jobs::shard::RETRY_PAUSE;
use crate::settings::StoreSettings;
use crate::store::Fence;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Maximum number of concurrent appends. The store deduplicates only the last five appends of a producer.
const CONCURRENT_APPENDS_MAX: usize = 4;
/// Delay before retrying an append that reached the store before its predecessor.
const OUT_OF_SEQUENCE_PAUSE: Duration = Duration::from_millis(10);
/// Retries of an out-of-sequence append, after which its predecessor is taken to be missing for good and the shard is
/// reopened.
const OUT_OF_SEQUENCE_RETRIES_MAX: u32 = 150;
/// Encoding overhead of each record in an append.
const RECORD_OVERHEAD_BYTES: usize = 8;

/// Size of fragments in an append.
pub(super) fn append_bytes(fragments: &[Vec<u8>]) -> usize {
    fragments
        .iter()
        .map(|fragment| fragment.len() + RECORD_OVERHEAD_BYTES)
        .sum()
}

/// Size of the largest encoded record that fits into an append.
pub(super) fn storable_record_max_bytes(store: &StoreSettings) -> usize {
    record_max_bytes(
        store.append_max_bytes,
        store.record_max_bytes,
        RECORD_OVERHEAD_BYTES,
    )
}

impl OwnedShard {
    /// Whether another append may start while `in_flight` appends are running. Appends run one at a time unless a
    /// caller waits for a queued record.
    fn can_start_append(&self, in_flight: usize) -> bool {
        let has_waiter = || {
            self.queue
                .borrow()
                .iter()
                .any(|pending| pending.waiter.is_some())
        };
        // The store accepts any sequence number in the first append of an epoch, so that append runs alone.
        in_flight == 0
            || (self.has_appended.get() && in_flight < CONCURRENT_APPENDS_MAX && has_waiter())
    }

    /// Removes the records of the next append from the queue, up to the size limit of an append. A record that exceeds the
    /// limit alone is dropped, as the store would reject it and all appends behind it for good; the shard is opened anew.
    fn next_batch(&self, store: &StoreSettings) -> Vec<PendingRecord> {
        let mut queue = self.queue.borrow_mut();
        let mut batch = Vec::new();
        let mut size_bytes = 0;
        while let Some(pending) = queue.front_mut() {
            let fragments = self.fragments(pending, store);
            pending.fragments = fragments.len();
            let needed_bytes = append_bytes(&fragments);
            if needed_bytes > store.append_max_bytes {
                log::error!(
                    event = "record_too_large", partition = self.partition, bytes = needed_bytes;
                    "dropped a record that does not fit into an append; opening the shard anew"
                );
                self.is_lost.set(true);
                if let Some(waiter) = queue.pop_front().and_then(|pending| pending.waiter) {
                    // The receiver may have been dropped.
                    let _ = waiter.send(AppendOutcome::NotStored);
                }
                break;
            }
            if size_bytes + needed_bytes > store.append_max_bytes {
                break;
            }
            size_bytes += needed_bytes;
            batch.extend(queue.pop_front());
        }
        batch
    }

    /// An encoded record that does not change the shard.
    fn no_op_record(&self, store: &StoreSettings) -> Vec<Vec<u8>> {
        self.encode_fragments(&Record::Progress(Vec::new()), store)
    }

    fn fragments(&self, pending: &PendingRecord, store: &StoreSettings) -> Vec<Vec<u8>> {
        self.encode_fragments(&pending.record, store)
    }

    /// Encodes a record and splits it into fragments. Returns no fragments if encoding fails.
    fn encode_fragments(&self, record: &Record, store: &StoreSettings) -> Vec<Vec<u8>> {
        match record.to_bytes() {
            Ok(bytes) => split_record(&bytes, store.record_max_bytes),
            Err(error) => {
                log::error!(event = "record_lost", partition = self.partition; "cannot encode record: {error}");
                Vec::new()
            }
        }
    }

    /// Removes withdrawn records from a batch and notifies their waiters. Must be called only if the batch is certainly
    /// not stored.
    fn drop_withdrawn(&self, batch: &mut Vec<PendingRecord>) {
        let withdrawn = self.withdrawn.borrow();
        let (dropped, kept) = std::mem::take(batch)
            .into_iter()
            .partition(|pending| withdrawn.contains(&pending.record_id));
        *batch = kept;
        let dropped: Vec<PendingRecord> = dropped;
        for waiter in dropped.into_iter().filter_map(|pending| pending.waiter) {
            // The receiver may have been dropped.
            let _ = waiter.send(AppendOutcome::NotStored);
        }
    }
}

/// Appends a batch with the shard's fence. Retries until the store replies.
pub(super) async fn append(
    gateway: &Gateway,
    shard: &OwnedShard,
    sequence: u64,
    batch: &mut Vec<PendingRecord>,
) -> StoreReply {
    let store = &gateway.settings.store;
    let fence = Fence {
        producer: format!("shard-{}", shard.partition),
        epoch: shard.epoch.get(),
        sequence,
    };
    let mut out_of_sequence_retries = 0;
    let mut may_be_stored = false;
    loop {
        let mut records: Vec<Vec<u8>> = batch
            .iter()
            .flat_map(|pending| shard.fragments(pending, store))
            .collect();
        if records.is_empty() && sequence > 0 {
            // Only an append with at least one record is certain to use up its sequence number.
            records = shard.no_op_record(store);
        }
        let request = StoreRequest::Append {
            topic: JOBS_TOPIC.to_owned(),
            partition: shard.partition,
            records,
            fence: Some(fence.clone()),
        };
        match gateway.store_call(&request).await {
            Ok(StoreReply::OutOfSequence { expected })
                if out_of_sequence_retries < OUT_OF_SEQUENCE_RETRIES_MAX =>
            {
                if out_of_sequence_retries == 0 {
                    log::info!(
                        event = "append_early", partition = shard.partition, sequence, expected;
                        "append arrived before its predecessor; retrying"
                    );
                }
                out_of_sequence_retries += 1;
                actix_rt::time::sleep(OUT_OF_SEQUENCE_PAUSE).await;
            }
            Ok(reply) => {
                shard.failing_since.set(None);
                return reply;
            }
            Err(error) => {
                may_be_stored |= matches!(error, StoreError::Unknown(_));
                let since = shard.failing_since.get();
                if since.is_none() {
                    log::info!(
                        event = "append_fails", partition = shard.partition, epoch = fence.epoch, sequence;
                        "an append failed; retrying: {error}"
                    );
                }
                shard
                    .failing_since
                    .set(Some(since.unwrap_or_else(|| gateway.clock.now())));
                if !may_be_stored {
                    shard.drop_withdrawn(batch);
                }
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Appends queued records until the shard is lost.
pub(super) async fn run_appends(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) {
    let store = &gateway.settings.store;
    let mut sequence = 0;
    let mut in_flight = FuturesOrdered::new();
    while !shard.is_lost() {
        // A claim begins a new sequence of appends, so that it runs alone.
        if in_flight.is_empty()
            && let Some(epoch) = shard.take_claim()
        {
            claim_shard(gateway, shard, epoch).await;
            sequence = 0;
            continue;
        }
        while !shard.has_claim() && shard.can_start_append(in_flight.len()) {
            let mut batch = shard.next_batch(store);
            if batch.is_empty() {
                break;
            }
            sequence += 1;
            let append_sequence = sequence;
            in_flight.push_back(async move {
                let reply = append(gateway, shard, append_sequence, &mut batch).await;
                (reply, batch)
            });
        }
        shard.is_appending.set(!in_flight.is_empty());
        tokio::select! {
            Some((reply, batch)) = in_flight.next(), if !in_flight.is_empty() => match reply {
                StoreReply::Appended { offset, end } => {
                    shard.has_appended.set(true);
                    shard.end_offset.set(shard.end_offset.get().max(end));
                    apply_batch(gateway, shard, offset, batch);
                }
                reply => {
                    lose_to_rejection(shard, &reply);
                    return;
                }
            },
            () = shard.queue_changed.notified() => {}
        }
    }
}

/// Fences off other owners of a shard that this host has kept. The shard is lost if another owner has appended records, or
/// has a higher epoch.
async fn claim_shard(gateway: &Gateway, shard: &OwnedShard, epoch: u64) {
    shard.epoch.set(epoch);
    shard.has_appended.set(false);
    match append(gateway, shard, 0, &mut Vec::new()).await {
        StoreReply::Appended { end, .. } if end == shard.end_offset.get() => {}
        StoreReply::Appended { end, .. } => shard.lose_to_other_owner(end),
        reply => lose_to_rejection(shard, &reply),
    }
}

/// Marks a shard as lost because the store rejected an append.
fn lose_to_rejection(shard: &OwnedShard, reply: &StoreReply) {
    log::warn!(
        event = "shard_lost", partition = shard.partition, epoch = shard.epoch.get(), reply:? = reply;
        "the store rejected an append; closing the shard"
    );
    shard.is_lost.set(true);
}

/// Applies stored records to the shard's state and notifies their waiters.
fn apply_batch(
    gateway: &Rc<Gateway>,
    shard: &Rc<OwnedShard>,
    mut offset: Offset,
    batch: Vec<PendingRecord>,
) {
    for pending in batch {
        let location = RecordLocation {
            topic: RecordTopic::Shard,
            first: offset,
            fragments: pending.fragments,
        };
        offset += pending.fragments as u64;
        let applied = shard.state.borrow_mut().apply_stored(StoredRecord {
            record: pending.record,
            location: Some(location),
            index: pending.index,
        });
        match &applied {
            ShardChange::JobAccepted(job) => {
                let age = JobAge::accepted(gateway.clock.now());
                items::start_job(gateway, shard, job, age);
            }
            ShardChange::ResultsAdded(_, items) => {
                items
                    .iter()
                    .for_each(|_| gateway.metrics.count_item("listed"));
            }
            ShardChange::JobCancelled(_) | ShardChange::Unchanged => {}
        }
        if let Some(waiter) = pending.waiter {
            // The receiver may have timed out.
            let _ = waiter.send(AppendOutcome::Stored);
        }
    }
    shard.state_changed.notify_waiters();
}
