//! When a host reads the list of hosts in the store, and when it enters itself.

use std::time::Duration;

/// Interval of reading the list. Hosts usually learn of each other much sooner, through their links.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of reading the list while no other live host is known, and delay after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// What to do next about the list of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostListStep {
    /// Read what has changed in the list.
    Read,
    /// Enter this host.
    Publish,
    /// Wait for this time, and ask again.
    Wait(Duration),
}

/// Progress of a host with the list of hosts.
///
/// A host reads before it enters itself: after a common start the store needs a second or so for the entries of a large
/// fleet, one after another, while the list of before names the hosts already.
///
/// ```
/// use std::time::Duration;
/// use bamboo_coordination::{HostListStep, HostListSync};
/// let now = Duration::ZERO;
/// let mut sync = HostListSync::default();
/// assert_eq!(sync.next_step(false, now), HostListStep::Read);
/// sync.record_read(true, now);
/// assert_eq!(sync.next_step(false, now), HostListStep::Publish);
/// sync.record_publication(true, now);
/// assert!(matches!(sync.next_step(false, now), HostListStep::Wait(_)));
/// ```
#[derive(Debug, Default)]
pub struct HostListSync {
    is_published: bool,
    publish_at: Duration,
    read_at: Duration,
    last_read_at: Option<Duration>,
    has_read_since_publication: bool,
}

impl HostListSync {
    /// Chooses the next step. `is_joining` says that no other live host is known yet.
    pub fn next_step(&self, is_joining: bool, now: Duration) -> HostListStep {
        let Some(last_read_at) = self.last_read_at else {
            return self.read_or_wait(self.read_at, now);
        };
        if !self.is_published && now >= self.publish_at {
            return HostListStep::Publish;
        }
        let read_at = match (is_joining, self.is_published) {
            // At a first start of all hosts the list fills while they enter themselves.
            (true, true) if !self.has_read_since_publication => now,
            (true, _) => last_read_at + RETRY_INTERVAL,
            (false, _) => self.read_at,
        };
        match self.is_published {
            true => self.read_or_wait(read_at, now),
            false => self.read_or_wait(read_at.min(self.publish_at), now),
        }
    }

    fn read_or_wait(&self, read_at: Duration, now: Duration) -> HostListStep {
        match read_at.checked_sub(now) {
            Some(wait) if !wait.is_zero() => HostListStep::Wait(wait.min(RETRY_INTERVAL)),
            _ => HostListStep::Read,
        }
    }

    /// Records a read of the list. After a failed first read the host enters itself nevertheless.
    pub fn record_read(&mut self, is_ok: bool, now: Duration) {
        self.last_read_at = Some(now);
        self.has_read_since_publication |= self.is_published && is_ok;
        self.read_at = now
            + match is_ok {
                true => READ_INTERVAL,
                false => RETRY_INTERVAL,
            };
    }

    /// Records an attempt to enter this host.
    pub fn record_publication(&mut self, is_ok: bool, now: Duration) {
        self.is_published = is_ok;
        self.publish_at = now + RETRY_INTERVAL;
    }
}
