//! What a host knows of its ways to the store.

use std::time::Duration;

use bamboo_types::HostId;

use crate::AttemptOutcome;
use crate::DirectTimeout;
use crate::call::RELAYS_MAX;

/// Interval between probes of the direct way while calls are relayed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a probe may take.
pub const PROBE_TIMEOUT: DirectTimeout = DirectTimeout::Short;

/// Consecutive relays without a path to the store after which an outage of the store is assumed, rather than a cut of some
/// hosts: as many as one call tries.
const OUTAGE_REFUSALS: u32 = RELAYS_MAX as u32;
/// Time for which an outage is assumed after the last relay without a path. Memberships are renewed, and thus the relays
/// asked, more often.
const OUTAGE_MEMORY: Duration = Duration::from_millis(700);

/// Whether the store responds to this host, and which other host relayed a call last.
#[derive(Debug)]
pub struct StorePath {
    is_direct_up: bool,
    next_probe_at: Duration,
    relay: Option<HostId>,
    /// Consecutive relays that could not reach the store either, and when the last one said so.
    refusals: u32,
    refused_at: Duration,
}

impl Default for StorePath {
    /// The path of a host that has not called the store yet.
    fn default() -> Self {
        StorePath {
            is_direct_up: true,
            next_probe_at: Duration::ZERO,
            relay: None,
            refusals: 0,
            refused_at: Duration::ZERO,
        }
    }
}

impl StorePath {
    /// Whether the last direct call got a response.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut path = bamboo_relay::StorePath::default();
    /// path.record_direct(false, Duration::ZERO);
    /// assert!(!path.is_direct_up());
    /// ```
    pub fn is_direct_up(&self) -> bool {
        self.is_direct_up
    }

    /// Records whether a direct call got a response. Returns whether that changed.
    pub fn record_direct(&mut self, is_ok: bool, now: Duration) -> bool {
        if !is_ok {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        let has_changed = self.is_direct_up != is_ok;
        self.is_direct_up = is_ok;
        has_changed
    }

    /// Records how a direct read ended: with a failure, or with a response. Returns whether the direct way changed. All
    /// hosts share the store's capacity for reads, so that a read which is refused or late says nothing about the way.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_relay::{AttemptOutcome, StorePath};
    /// let mut path = StorePath::default();
    /// path.record_direct_read(Some(AttemptOutcome::Refused), Duration::ZERO);
    /// assert!(path.is_direct_up());
    /// ```
    pub fn record_direct_read(&mut self, failure: Option<AttemptOutcome>, now: Duration) -> bool {
        match failure {
            None => self.record_direct(true, now),
            Some(AttemptOutcome::NoPath) => self.record_direct(false, now),
            Some(AttemptOutcome::Refused | AttemptOutcome::TimedOut) => {
                if !self.is_direct_up {
                    self.next_probe_at = now + PROBE_INTERVAL;
                }
                false
            }
        }
    }

    /// Records whether a host relayed a call.
    pub fn record_relay(&mut self, host: &HostId, is_ok: bool) {
        match is_ok {
            true => {
                self.relay = Some(host.clone());
                self.refusals = 0;
            }
            false => {
                self.relay.take_if(|relay| relay == host);
            }
        }
    }

    /// Records that a relay cannot reach the store either.
    pub fn record_relay_without_path(&mut self, now: Duration) {
        self.refusals = self.refusals.saturating_add(1);
        self.refused_at = now;
    }

    /// Number of relays that a call may try. In an outage of the store one relay shows whether it is over.
    pub(crate) fn relays_max(&self) -> usize {
        match self.refusals < OUTAGE_REFUSALS {
            true => RELAYS_MAX,
            false => 1,
        }
    }

    /// Whether the relays are known to be without a path to the store, too.
    pub(crate) fn is_outage(&self, now: Duration) -> bool {
        self.refusals >= OUTAGE_REFUSALS && now.saturating_sub(self.refused_at) < OUTAGE_MEMORY
    }

    /// Whether the direct way is due for a probe. Calls that are relayed do not show that the store responds again.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        !self.is_direct_up && now >= self.next_probe_at
    }

    /// The host that relayed a call last, unless a later call through it failed.
    pub(crate) fn relay(&self) -> Option<&HostId> {
        self.relay.as_ref()
    }
}
