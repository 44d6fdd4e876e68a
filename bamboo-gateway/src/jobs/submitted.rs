//! Reads jobs that other hosts accepted while they could not reach the owner of the shard.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::FragmentAssembler;
use bamboo_shards::Record;
use bamboo_shards::ShardChange;
use bamboo_types::Offset;

use crate::gateway::Gateway;
use crate::jobs::items;
use crate::jobs::shard::OwnedShard;
use crate::jobs::shard::RETRY_PAUSE;
use crate::store::ReadExtent;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Topic of jobs that other hosts accepted while they could not reach the owner of the shard.
pub(super) const SUBMITTED_TOPIC: &str = "bamboo-submitted";
/// How long the store may hold a read of this topic open until there are records (long polling).
const SUBMITTED_WAIT: Duration = Duration::from_millis(2000);

/// Position in the topic of submitted jobs, and the fragments of a record that is not complete yet.
#[derive(Default)]
pub(super) struct SubmittedCursor {
    next_offset: Cell<Offset>,
    assembler: RefCell<FragmentAssembler>,
}

/// Reads jobs that other hosts accept, until the shard is lost.
pub(super) async fn follow_submitted(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) {
    while !shard.is_lost() {
        if read_submitted(gateway, shard, SUBMITTED_WAIT, ReadExtent::Tail).await
            == ReadOutcome::Failed
        {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Outcome of a read of the topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// All records have been read.
    AtEnd,
    /// There may be further records.
    HasMore,
    /// The store refused the call, did not answer, or returned none of the records.
    Failed,
}

/// Reads and applies jobs that other hosts accepted. The store retains these records for as long as results, so the
/// jobs need no record in the shard's own topic.
pub(super) async fn read_submitted(
    gateway: &Rc<Gateway>,
    shard: &Rc<OwnedShard>,
    wait: Duration,
    extent: ReadExtent,
) -> ReadOutcome {
    let from = shard.submitted.next_offset.get();
    let request = StoreRequest::Read {
        topic: SUBMITTED_TOPIC.to_owned(),
        partition: shard.partition,
        from,
        wait,
        extent,
    };
    match gateway.store_call(&request).await {
        Ok(StoreReply::Records { records, end }) => {
            // A concurrent read may have applied some of these records already.
            let already_read = shard.submitted.next_offset.get().saturating_sub(from) as usize;
            for fragment in records.into_iter().skip(already_read) {
                shard
                    .submitted
                    .next_offset
                    .set(shard.submitted.next_offset.get() + 1);
                apply_submitted(gateway, shard, &fragment);
            }
            match shard.submitted.next_offset.get() {
                next if next >= end => ReadOutcome::AtEnd,
                next if next > from => ReadOutcome::HasMore,
                _ => ReadOutcome::Failed,
            }
        }
        Ok(StoreReply::Trimmed { first }) => {
            shard.submitted.next_offset.set(first);
            shard
                .submitted
                .assembler
                .replace(FragmentAssembler::default());
            ReadOutcome::HasMore
        }
        Ok(_) | Err(_) => ReadOutcome::Failed,
    }
}

fn apply_submitted(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>, fragment: &[u8]) {
    let mut assembler = shard.submitted.assembler.borrow_mut();
    match Record::from_fragment(&mut assembler, fragment) {
        Ok(Some(Record::Accepted(job))) => {
            let age = items::replayed_age(gateway, &job);
            let applied = shard.state.borrow_mut().apply(Record::Accepted(job));
            if let ShardChange::JobAccepted(job) = applied
                && shard.is_open()
            {
                items::start_job(gateway, shard, &job, age);
            }
        }
        Ok(_) => {}
        Err(error) => log::error!(
            event = "record_unreadable", partition = shard.partition;
            "skipping a submitted job that cannot be read: {error}"
        ),
    }
}
