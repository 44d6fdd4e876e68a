//! Grace period for servers whose entries expired during a store outage.

use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;

/// Length of the grace period. Running servers renew their entries within 2 s after the store has recovered; the rest
/// is the time until the next read returns them.
const RENEWAL_GRACE: Duration = Duration::from_millis(2200);

/// Defers the removal of servers whose entries are missing after a store outage, until the servers have had time to
/// renew them: entries expire during an outage although the servers are running.
#[derive(Debug, Default)]
pub struct OutageGracePeriod {
    is_store_down: bool,
    grace_until: Duration,
    pending_removals: HashSet<BackendServerId>,
}

impl OutageGracePeriod {
    /// Records whether a read of the store succeeded. The first success after a failure starts the grace period.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut grace = bamboo_fleet::OutageGracePeriod::default();
    /// grace.record_store_read(false, Duration::from_secs(1));
    /// grace.record_store_read(true, Duration::from_secs(5));
    /// assert!(grace.defer_removal("s1", Duration::from_secs(6)));
    /// ```
    pub fn record_store_read(&mut self, is_ok: bool, now: Duration) {
        if is_ok && self.is_store_down {
            self.grace_until = now + RENEWAL_GRACE;
        }
        self.is_store_down = !is_ok;
    }

    /// Cancels the deferred removal of a server that renewed its entry.
    pub fn entry_renewed(&mut self, id: &str) {
        self.pending_removals.remove(id);
    }

    /// Defers the removal of a server without an entry. Returns `false` outside the grace period: the server is to be
    /// removed at once.
    pub fn defer_removal(&mut self, id: &str, now: Duration) -> bool {
        let is_deferred = now < self.grace_until;
        if is_deferred {
            self.pending_removals.insert(id.to_owned());
        }
        is_deferred
    }

    /// When servers whose removal is deferred are to be removed; `None` if there are none.
    pub fn removals_due_at(&self) -> Option<Duration> {
        (!self.pending_removals.is_empty()).then_some(self.grace_until)
    }

    /// Removes and returns the servers that did not renew their entries within the grace period.
    pub fn take_expired(&mut self, now: Duration) -> HashSet<BackendServerId> {
        match now < self.grace_until {
            true => HashSet::new(),
            false => std::mem::take(&mut self.pending_removals),
        }
    }
}
