//! Items of a shard that wait for one of the places for items that run or compete for slots.
//!
//! An item without a place takes no more memory than its entry here.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::JobAge;
use bamboo_types::ItemIndex;
use tokio::sync::Notify;

/// An item that waits.
#[derive(Debug, Clone)]
pub(super) struct WaitingItem {
    /// Identifier of its job.
    pub(super) job: Rc<str>,
    /// Index within the job.
    pub(super) item: ItemIndex,
    /// Age of the job.
    pub(super) age: JobAge,
}

/// The items of a shard that wait, the one to run next first.
#[derive(Debug, Default)]
pub(super) struct WaitingItems {
    items: RefCell<BTreeMap<(Duration, u64), WaitingItem>>,
    last_number: Cell<u64>,
    is_stopped: Cell<bool>,
    changed: Notify,
}

impl WaitingItems {
    /// Adds an item, whose turn comes before those of items that are due later.
    pub(super) fn add(&self, due: Duration, item: WaitingItem) {
        if self.is_stopped.get() {
            return;
        }
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.items.borrow_mut().insert((due, number), item);
        self.changed.notify_one();
    }

    /// Whether items wait.
    pub(super) fn has_any(&self) -> bool {
        !self.items.borrow().is_empty()
    }

    /// Takes the item to run next.
    pub(super) fn take_next(&self) -> Option<WaitingItem> {
        let first = self.items.borrow_mut().pop_first();
        first.map(|(_, item)| item)
    }

    /// Returns once an item has been added, at once if that was after the previous call.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Drops all items, and those that are added from now on.
    pub(super) fn stop(&self) {
        self.is_stopped.set(true);
        self.items.borrow_mut().clear();
    }
}
