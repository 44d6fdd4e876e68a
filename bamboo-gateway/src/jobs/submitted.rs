//! Jobs that other hosts accepted while they could not reach the owner of the shard.

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
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Topic of jobs that other hosts accepted while they could not reach the owner of the shard.
pub(super) const SUBMITTED_TOPIC: &str = "bamboo-submitted";
/// How long the store holds a read of such jobs.
const SUBMITTED_WAIT: Duration = Duration::from_millis(2000);

/// Place in the topic of jobs that other hosts accepted for the shard.
#[derive(Default)]
pub(super) struct Submitted {
    next: Cell<Offset>,
    joiner: RefCell<FragmentAssembler>,
}

/// Follows jobs that other hosts accept until the shard is lost.
pub(super) async fn follow_submitted(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>) {
    while !shard.is_lost() {
        if read_submitted(gateway, shard, SUBMITTED_WAIT).await == Reading::Failed {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// How far a read came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reading {
    /// Everything is known.
    AtEnd,
    /// There is more.
    HasMore,
    /// The store gave no answer.
    Failed,
}

/// Takes jobs that other hosts accepted. The store keeps them as long as results are kept, so they need no record in
/// the shard itself.
pub(super) async fn read_submitted(
    gateway: &Rc<Gateway>,
    shard: &Rc<OwnedShard>,
    wait: Duration,
) -> Reading {
    let from = shard.submitted.next.get();
    let request = StoreRequest::Read {
        topic: SUBMITTED_TOPIC.to_owned(),
        partition: shard.partition,
        from,
        wait,
    };
    match gateway.store_call(&request).await {
        Ok(StoreReply::Records { records, end }) => {
            // Another read may have come further meanwhile.
            let known = shard.submitted.next.get().saturating_sub(from) as usize;
            for fragment in records.into_iter().skip(known) {
                shard.submitted.next.set(shard.submitted.next.get() + 1);
                take_submitted(gateway, shard, &fragment);
            }
            match shard.submitted.next.get() >= end {
                true => Reading::AtEnd,
                false => Reading::HasMore,
            }
        }
        Ok(StoreReply::Trimmed { first }) => {
            shard.submitted.next.set(first);
            shard.submitted.joiner.replace(FragmentAssembler::default());
            Reading::HasMore
        }
        Ok(_) | Err(_) => Reading::Failed,
    }
}

fn take_submitted(gateway: &Rc<Gateway>, shard: &Rc<OwnedShard>, fragment: &[u8]) {
    let joined = shard.submitted.joiner.borrow_mut().push(fragment);
    let record = match joined {
        Ok(None) => return,
        Ok(Some(bytes)) => Record::try_from(bytes.as_slice()).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match record {
        Ok(Record::Accepted(job)) => {
            let age_ms = gateway.clock.unix_ms().saturating_sub(job.submitted_at_ms);
            if age_ms > gateway.results_kept_ms() {
                return;
            }
            let applied = shard.state.borrow_mut().apply(Record::Accepted(job));
            if let ShardChange::JobAccepted(job) = applied
                && shard.is_open()
            {
                items::start_job(gateway, shard, &job);
            }
        }
        Ok(_) => {}
        Err(error) => log::error!(
            event = "record_unreadable", partition = shard.partition;
            "a submitted job is passed over: {error}"
        ),
    }
}
