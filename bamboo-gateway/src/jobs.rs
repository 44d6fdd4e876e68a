//! Jobs: shards of this host, calls about jobs, and the runs of their items.

mod append;
mod calls;
mod items;
mod ownership;
mod shard;
mod submitted;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::store::Partition;

use items::RunTimeEstimator;
pub(crate) use ownership::release_shards;
pub(crate) use ownership::run_group_membership;
pub(crate) use ownership::sync_host_list;
use shard::OwnedShard;

/// Openings of shards by one host that have epochs of their own within one generation.
const EPOCHS_PER_GENERATION: u64 = 1 << 20;

/// Shards of this host and what it has reserved for them.
#[derive(Default)]
pub(crate) struct JobShards {
    shards: RefCell<BTreeMap<Partition, Rc<OwnedShard>>>,
    has_joined: Cell<bool>,
    membership_expires_at: Cell<Duration>,
    last_reservation: Cell<u64>,
    reserved_tokens: RefCell<HashMap<String, u64>>,
    run_time_estimator: RunTimeEstimator,
    last_epoch: Cell<u64>,
    config_changes: Notify,
}

impl JobShards {
    /// Whether the store has answered this host's wish to own shards.
    pub(crate) fn has_joined(&self) -> bool {
        self.has_joined.get()
    }

    /// Partitions that are folded and served here, with their epochs.
    pub(crate) fn owned_partitions(&self) -> Vec<(Partition, u64)> {
        let shards = self.shards.borrow();
        shards
            .values()
            .filter(|shard| shard.is_open())
            .map(|shard| (shard.partition, shard.epoch))
            .collect()
    }

    /// Tokens that wait here, by route, with those that are reserved.
    pub(crate) fn waiting_tokens(&self) -> Vec<(String, u64)> {
        let mut waiting: HashMap<String, u64> = self.reserved_tokens.borrow().clone();
        for shard in self.shards.borrow().values() {
            for (route, tokens) in shard.state.borrow().waiting_tokens() {
                *waiting.entry(route).or_default() += tokens;
            }
        }
        waiting
            .into_iter()
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Number of the last reservation of the current coordinator.
    pub(crate) fn last_reservation(&self) -> u64 {
        self.last_reservation.get()
    }

    /// Another host coordinates, and numbers reservations anew.
    pub(crate) fn reset_reservation(&self) {
        self.last_reservation.set(0);
    }

    /// Items look at their routes again.
    pub(crate) fn config_changed(&self) {
        self.config_changes.notify_waiters();
    }

    /// Epoch for a shard that is opened now: above that of every earlier generation and every earlier opening here.
    fn next_epoch(&self, generation: u64) -> u64 {
        let epoch = (generation * EPOCHS_PER_GENERATION).max(self.last_epoch.get() + 1);
        self.last_epoch.set(epoch);
        epoch
    }

    fn shard(&self, partition: Partition) -> Option<Rc<OwnedShard>> {
        self.shards.borrow().get(&partition).cloned()
    }

    fn add_reserved(&self, route: &str, tokens: u64) {
        *self
            .reserved_tokens
            .borrow_mut()
            .entry(route.to_owned())
            .or_default() += tokens;
    }

    fn remove_reserved(&self, route: &str, tokens: u64) {
        if let Some(reserved) = self.reserved_tokens.borrow_mut().get_mut(route) {
            *reserved = reserved.saturating_sub(tokens);
        }
    }
}
