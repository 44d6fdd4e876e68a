//! Reads jobs that other hosts accepted while they could not reach the owner of the shard.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::Record;
use bamboo_shards::RecordTopic;
use bamboo_shards::ShardChange;
use bamboo_types::Offset;

use crate::gateway::Gateway;
use crate::jobs::items;
use crate::jobs::shard::OwnedShard;
use crate::jobs::shard::RETRY_PAUSE;
use crate::jobs::stored::RecordReader;
use crate::store::ReadExtent;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Topic of jobs that other hosts accepted while they could not reach the owner of the shard.
pub(super) const SUBMITTED_TOPIC: &str = "bamboo-submitted";
/// How long the store may hold a read of this topic open until there are records (long polling).
const SUBMITTED_WAIT: Duration = Duration::from_millis(2000);
/// Pause before jobs are read again for which there was no memory.
const NO_MEMORY_PAUSE: Duration = Duration::from_secs(1);

/// Position in the topic of submitted jobs, and the fragments of a record that is not complete yet.
pub(super) struct SubmittedCursor {
    next_offset: Cell<Offset>,
    reader: RefCell<RecordReader>,
}

impl Default for SubmittedCursor {
    fn default() -> Self {
        SubmittedCursor {
            next_offset: Cell::new(0),
            reader: RefCell::new(RecordReader::new(RecordTopic::Submitted)),
        }
    }
}

impl SubmittedCursor {
    /// Goes on with the record that begins at an offset.
    fn move_to(&self, offset: Offset) {
        self.next_offset.set(offset);
        self.reader
            .replace(RecordReader::new(RecordTopic::Submitted));
    }
}

/// Reads jobs that other hosts accept, until the shard is lost.
pub(super) async fn follow_submitted(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) {
    while !shard.is_lost() {
        match read_submitted(gateway, shard, SUBMITTED_WAIT, ReadExtent::Tail).await {
            ReadOutcome::AtEnd | ReadOutcome::HasMore => {}
            ReadOutcome::Failed => actix_rt::time::sleep(RETRY_PAUSE).await,
            ReadOutcome::NoMemory => actix_rt::time::sleep(NO_MEMORY_PAUSE).await,
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
    /// There is no memory for the next job.
    NoMemory,
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
            if shard.submitted.next_offset.get() < from {
                // A concurrent read went back to a job for which there was no memory.
                return ReadOutcome::NoMemory;
            }
            // A concurrent read may have applied some of these records already.
            let already_read = shard.submitted.next_offset.get().saturating_sub(from) as usize;
            for fragment in records.into_iter().skip(already_read) {
                let offset = shard.submitted.next_offset.get();
                shard.submitted.next_offset.set(offset + 1);
                if apply_submitted(gateway, shard, offset, &fragment) == Applied::NoMemory {
                    return ReadOutcome::NoMemory;
                }
            }
            match shard.submitted.next_offset.get() {
                next if next >= end => ReadOutcome::AtEnd,
                next if next > from => ReadOutcome::HasMore,
                _ => ReadOutcome::Failed,
            }
        }
        Ok(StoreReply::Trimmed { first }) => {
            shard.submitted.move_to(first);
            ReadOutcome::HasMore
        }
        Ok(_) | Err(_) => ReadOutcome::Failed,
    }
}

/// What became of a fragment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// It was read.
    Read,
    /// It completes a job for which there is no memory. The job is to be read again.
    NoMemory,
}

fn apply_submitted(
    gateway: &Rc<Gateway>,
    shard: &Rc<OwnedShard>,
    offset: Offset,
    fragment: &[u8],
) -> Applied {
    let read = shard.submitted.reader.borrow_mut().push(offset, fragment);
    let (job, location) = match read {
        Ok(Some((Record::Accepted(job), location))) => (job, location),
        Ok(_) => return Applied::Read,
        Err(error) => {
            log::error!(
                event = "record_unreadable", partition = shard.partition;
                "skipping a submitted job that cannot be read: {error}"
            );
            return Applied::Read;
        }
    };
    let age = items::replayed_age(gateway, &job);
    let record = Record::Accepted(job);
    let applied = shard.state.borrow_mut().apply_read(record, location);
    let Some(applied) = applied else {
        shard.submitted.move_to(location.first);
        return Applied::NoMemory;
    };
    if let ShardChange::JobAccepted(job) = applied
        && shard.is_open()
    {
        items::start_job(gateway, shard, &job, age);
    }
    Applied::Read
}
