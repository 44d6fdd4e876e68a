//! Servers whose entries lapsed while the store was away.

use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;

/// How long servers are kept whose entries lapsed while the store was away: living ones write them again within 2 s of
/// its return, and the next read shows them.
const RENEWAL_GRACE: Duration = Duration::from_millis(2200);

/// Servers whose entries lapsed while the store was away. They are kept until they had time to write them again.
#[derive(Debug, Default)]
pub struct OutageGracePeriod {
    is_store_down: bool,
    grace_until: Duration,
    pending_removals: HashSet<BackendServerId>,
}

impl OutageGracePeriod {
    /// Takes note of whether the store answered.
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

    /// A server wrote its entry again.
    pub fn entry_renewed(&mut self, id: &str) {
        self.pending_removals.remove(id);
    }

    /// Whether a server without an entry is kept for now.
    pub fn defer_removal(&mut self, id: &str, now: Duration) -> bool {
        let is_deferred = now < self.grace_until;
        if is_deferred {
            self.pending_removals.insert(id.to_owned());
        }
        is_deferred
    }

    /// Servers that did not write their entries again in time.
    pub fn take_expired(&mut self, now: Duration) -> HashSet<BackendServerId> {
        match now < self.grace_until {
            true => HashSet::new(),
            false => std::mem::take(&mut self.pending_removals),
        }
    }
}
