//! Bound for the jobs that this host accepts through the store while their shard has no owner to ask.
//!
//! Whoever owns the shard next holds all of them, so that they must not be more than a host can hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::store::Partition;

/// Time for which a submission counts: about as long as a job is likely to be open.
const COUNTED_FOR: Duration = Duration::from_secs(300);

/// Sizes of the submissions to each partition, with their times.
#[derive(Debug)]
pub(super) struct StoreSubmissions {
    max_bytes: usize,
    by_partition: RefCell<HashMap<Partition, VecDeque<(Duration, usize)>>>,
}

impl StoreSubmissions {
    /// Creates the bound for each partition.
    pub(super) fn new(max_bytes: usize) -> Self {
        StoreSubmissions {
            max_bytes,
            by_partition: RefCell::default(),
        }
    }

    /// Counts a submission. Returns `false`, and counts nothing, if there is no room for it.
    pub(super) fn admit(&self, partition: Partition, bytes: usize, now: Duration) -> bool {
        let mut by_partition = self.by_partition.borrow_mut();
        let counted = by_partition.entry(partition).or_default();
        while let Some((at, _)) = counted.front()
            && now.saturating_sub(*at) > COUNTED_FOR
        {
            counted.pop_front();
        }
        let used: usize = counted.iter().map(|(_, bytes)| bytes).sum();
        let is_admitted = used.saturating_add(bytes) <= self.max_bytes;
        if is_admitted {
            counted.push_back((now, bytes));
        }
        is_admitted
    }
}
