//! Servers whose entries lapsed while the store was away.

use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;

/// How long servers are kept whose entries lapsed while the store was away: living ones write them again within 2 s of
/// its return, and the next read shows them.
const LAPSED_KEPT: Duration = Duration::from_millis(2200);

/// Servers whose entries lapsed while the store was away. They are kept until they had time to write them again.
#[derive(Debug, Default)]
pub struct Lapsed {
    is_store_away: bool,
    kept_until: Duration,
    servers: HashSet<BackendServerId>,
}

impl Lapsed {
    /// Takes note of whether the store answered.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut lapsed = bamboo_fleet::Lapsed::default();
    /// lapsed.store_answered(false, Duration::from_secs(1));
    /// lapsed.store_answered(true, Duration::from_secs(5));
    /// assert!(lapsed.keeps("s1", Duration::from_secs(6)));
    /// ```
    pub fn store_answered(&mut self, has_answered: bool, now: Duration) {
        if has_answered && self.is_store_away {
            self.kept_until = now + LAPSED_KEPT;
        }
        self.is_store_away = !has_answered;
    }

    /// A server wrote its entry again.
    pub fn returned(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// Whether a server without an entry is kept for now.
    pub fn keeps(&mut self, id: &str, now: Duration) -> bool {
        let is_kept = now < self.kept_until;
        if is_kept {
            self.servers.insert(id.to_owned());
        }
        is_kept
    }

    /// Servers that did not write their entries again in time.
    pub fn take_expired(&mut self, now: Duration) -> HashSet<BackendServerId> {
        match now < self.kept_until {
            true => HashSet::new(),
            false => std::mem::take(&mut self.servers),
        }
    }
}
