//! Membership view: the live hosts, derived from the platform's host list, which lags, and from the messages of peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_types::DataCentreId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Timestamp;
use bamboo_types::rendezvous_weight;

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// The platform lists the host as live.
    Live,
    /// The host is about to leave the fleet.
    Leaving,
}

/// An entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Host id.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Address at which peers reach the host, as `address:port`.
    pub peer_address: String,
    /// State of the host as listed by the platform.
    pub state: HostState,
}

/// Minimum interval between probes of a host that was reported lost.
const LOSS_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Parameters of failure detection.
#[derive(Debug, Clone)]
pub struct MemberViewOptions {
    /// Time without messages after which a host is considered lost, regardless of the host list.
    pub suspect_after: Duration,
    /// Fleet size, in hosts, up to which all hosts watch each other.
    pub full_mesh_max: usize,
    /// Number of hosts that watch each host in larger fleets.
    pub watcher_count: usize,
}

impl Default for MemberViewOptions {
    fn default() -> Self {
        MemberViewOptions {
            suspect_after: Duration::from_secs(2),
            full_mesh_max: 16,
            watcher_count: 6,
        }
    }
}

#[derive(Debug, Clone)]
struct Peer {
    entry: HostEntry,
    listed_at: Timestamp,
    last_heard_at: Option<Timestamp>,
    incarnation: Incarnation,
    is_draining: bool,
    is_watched: bool,
    is_watcher: bool,
    is_reported_lost: bool,
    is_loss_announced: bool,
    last_probed_at: Option<Timestamp>,
}

/// An incarnation of a host from which a watcher no longer receives messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLoss {
    /// Host id.
    pub host: HostId,
    /// Incarnation of the host that is lost.
    pub incarnation: Incarnation,
}

/// Membership of the fleet as seen by one host.
#[derive(Debug)]
pub struct MemberView {
    local_host: HostId,
    options: MemberViewOptions,
    peers: BTreeMap<HostId, Peer>,
    is_draining: bool,
    is_full_mesh: bool,
}

impl MemberView {
    /// Creates a view that contains only the local host.
    ///
    /// ```
    /// use bamboo_member::{MemberView, MemberViewOptions};
    /// let view = MemberView::new("h1".into(), MemberViewOptions::default());
    /// assert_eq!(view.live_hosts(std::time::Duration::ZERO), vec!["h1".to_string()]);
    /// ```
    pub fn new(local_host: HostId, options: MemberViewOptions) -> Self {
        MemberView {
            local_host,
            options,
            peers: BTreeMap::new(),
            is_draining: false,
            is_full_mesh: true,
        }
    }

    /// Applies a new version of the platform's host list.
    pub fn apply_host_list(&mut self, now: Timestamp, entries: Vec<HostEntry>) {
        let listed_hosts: BTreeSet<HostId> =
            entries.iter().map(|entry| entry.host.clone()).collect();
        let previous_hosts: Vec<HostId> = self.peers.keys().cloned().collect();
        let suspect_after = self.options.suspect_after;
        // The list lags, so an unlisted host stays while its messages arrive.
        self.peers.retain(|host, peer| {
            listed_hosts.contains(host) || is_recently_heard(peer, now, suspect_after)
        });
        for entry in entries {
            if entry.host == self.local_host {
                continue;
            }
            match self.peers.get_mut(&entry.host) {
                Some(peer) => peer.entry = entry,
                None => {
                    self.peers.insert(entry.host.clone(), Peer::new(entry, now));
                }
            }
        }
        if !self.peers.keys().eq(previous_hosts.iter()) {
            self.assign_watchers();
        }
    }

    /// Assigns watchers. In a large fleet a host is watched by its successors in a hash ring of all hosts, so that
    /// the heartbeat traffic of a host does not grow with the fleet.
    fn assign_watchers(&mut self) {
        self.is_full_mesh = self.peers.len() < self.options.full_mesh_max;
        let mut ring: Vec<HostId> = self.peers.keys().cloned().collect();
        ring.push(self.local_host.clone());
        ring.sort_by_cached_key(|host| (rendezvous_weight(host, "ring"), host.clone()));
        let size = ring.len();
        let count = self.options.watcher_count.min(size - 1);
        let position = ring
            .iter()
            .position(|host| *host == self.local_host)
            .unwrap_or(0);
        let watchers: BTreeSet<&HostId> = (1..=count)
            .map(|step| &ring[(position + step) % size])
            .collect();
        let watched: BTreeSet<&HostId> = (1..=count)
            .map(|step| &ring[(position + size - step) % size])
            .collect();
        for (host, peer) in &mut self.peers {
            peer.is_watcher = self.is_full_mesh || watchers.contains(host);
            peer.is_watched = self.is_full_mesh || watched.contains(host);
        }
    }

    /// Returns the hosts that watch the local host and receive its heartbeats.
    pub fn watchers(&self) -> impl Iterator<Item = &HostId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_watcher)
            .map(|(host, _)| host)
    }

    /// Returns the watched hosts that have become silent and marks their loss as announced. Returns none in a small
    /// fleet, where all hosts watch each other.
    pub fn take_unannounced_losses(&mut self, now: Timestamp) -> Vec<HostLoss> {
        let suspect_after = self.options.suspect_after;
        if self.is_full_mesh {
            return Vec::new();
        }
        let mut losses = Vec::new();
        for (host, peer) in &mut self.peers {
            let is_silent =
                peer.last_heard_at.is_some() && !is_recently_heard(peer, now, suspect_after);
            if peer.is_watched && is_silent && !peer.is_loss_announced {
                peer.is_loss_announced = true;
                losses.push(HostLoss {
                    host: host.clone(),
                    incarnation: peer.incarnation,
                });
            }
        }
        losses
    }

    /// Returns the hosts to probe now: those that were reported lost but are still listed as live. They are probed at
    /// intervals, since a report may be wrong and its retraction may have been missed.
    pub fn take_losses_to_verify(&mut self, now: Timestamp) -> Vec<HostLoss> {
        let mut to_verify = Vec::new();
        for (host, peer) in &mut self.peers {
            let is_due = peer
                .last_probed_at
                .is_none_or(|at| now.saturating_sub(at) >= LOSS_PROBE_INTERVAL);
            if peer.is_reported_lost && peer.entry.state == HostState::Live && is_due {
                peer.last_probed_at = Some(now);
                to_verify.push(HostLoss {
                    host: host.clone(),
                    incarnation: peer.incarnation,
                });
            }
        }
        to_verify
    }

    /// Applies a loss announced by a watcher. Returns whether the local host is the one reported lost.
    pub fn apply_loss_report(&mut self, loss: &HostLoss) -> bool {
        if loss.host == self.local_host {
            return true;
        }
        if let Some(peer) = self.peers.get_mut(&loss.host)
            && peer.incarnation <= loss.incarnation
        {
            peer.is_reported_lost = true;
        }
        false
    }

    /// Clears the announced loss of a host that sent a message. Returns whether there was one: the host must then be
    /// told, so that it announces itself to all hosts.
    pub fn retract_loss(&mut self, host: &str) -> bool {
        match self.peers.get_mut(host) {
            Some(peer) => std::mem::take(&mut peer.is_loss_announced),
            None => false,
        }
    }

    /// Records that a peer sent a message. Returns `false` if the message is of an older incarnation and must be
    /// ignored.
    pub fn record_contact(&mut self, now: Timestamp, host: &str, incarnation: Incarnation) -> bool {
        let Some(peer) = self.peers.get_mut(host) else {
            return true;
        };
        if incarnation < peer.incarnation {
            return false;
        }
        if incarnation > peer.incarnation {
            peer.incarnation = incarnation;
            peer.is_draining = false;
        }
        peer.last_heard_at = Some(now);
        peer.is_reported_lost = false;
        true
    }

    /// Records whether a peer reports itself as draining.
    pub fn set_peer_draining(&mut self, host: &str, is_draining: bool) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.is_draining = is_draining;
        }
    }

    /// Marks the local host as draining: from now on it owns nothing.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Whether the local host is draining.
    ///
    /// ```
    /// # use bamboo_member::{MemberView, MemberViewOptions};
    /// assert!(!MemberView::new("h1".into(), MemberViewOptions::default()).is_draining());
    /// ```
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns the hosts that may own shards and servers, ordered by id.
    pub fn live_hosts(&self, now: Timestamp) -> Vec<HostId> {
        self.live_host_ids(now).cloned().collect()
    }

    /// Whether [`live_hosts`](Self::live_hosts) would return these hosts; compares without allocating.
    pub fn live_hosts_eq(&self, now: Timestamp, hosts: &[HostId]) -> bool {
        self.live_host_ids(now).eq(hosts.iter())
    }

    fn live_host_ids(&self, now: Timestamp) -> impl Iterator<Item = &HostId> {
        let is_before = move |peer: &&Peer| peer.entry.host < self.local_host;
        let others = move |peer: &&Peer| self.may_own(peer, now);
        let before = self.peers.values().take_while(is_before).filter(others);
        let after = self.peers.values().skip_while(is_before).filter(others);
        let own = (!self.is_draining).then_some(&self.local_host);
        before
            .map(|peer| &peer.entry.host)
            .chain(own)
            .chain(after.map(|peer| &peer.entry.host))
    }

    /// Whether a host is responsive, even if it is leaving.
    pub fn is_answering(&self, now: Timestamp, host: &str) -> bool {
        host == self.local_host
            || self
                .peers
                .get(host)
                .is_some_and(|peer| self.is_up(peer, now))
    }

    /// Whether this incarnation of a host is responsive.
    pub fn is_running(&self, now: Timestamp, host: &str, incarnation: Incarnation) -> bool {
        host == self.local_host
            || self
                .peers
                .get(host)
                .is_some_and(|peer| self.is_up(peer, now) && peer.incarnation == incarnation)
    }

    /// Returns the host list entries of all peers, regardless of their state.
    pub fn peers(&self) -> impl Iterator<Item = &HostEntry> {
        self.peers.values().map(|peer| &peer.entry)
    }

    fn may_own(&self, peer: &Peer, now: Timestamp) -> bool {
        let is_newly_listed = peer.last_heard_at.is_none()
            && now.saturating_sub(peer.listed_at) < self.options.suspect_after;
        let answers = is_newly_listed || self.is_up(peer, now);
        answers && !peer.is_draining && peer.entry.state == HostState::Live
    }

    /// Whether a peer is considered up: a watched peer while its messages arrive, any other until its loss is reported.
    fn is_up(&self, peer: &Peer, now: Timestamp) -> bool {
        match peer.is_watched {
            true => is_recently_heard(peer, now, self.options.suspect_after),
            false => !peer.is_reported_lost,
        }
    }
}

impl Peer {
    fn new(entry: HostEntry, now: Timestamp) -> Self {
        Peer {
            entry,
            listed_at: now,
            last_heard_at: None,
            incarnation: 0,
            is_draining: false,
            is_watched: true,
            is_watcher: true,
            is_reported_lost: false,
            is_loss_announced: false,
            last_probed_at: None,
        }
    }
}

/// Returns the host that ranks highest for a key in rendezvous hashing, or `None` if there are no hosts.
///
/// ```
/// let hosts = vec!["h1".to_string(), "h2".to_string()];
/// assert!(bamboo_member::rendezvous_owner(&hosts, "shard-0").is_some());
/// ```
pub fn rendezvous_owner<'hosts>(hosts: &'hosts [HostId], key: &str) -> Option<&'hosts str> {
    hosts
        .iter()
        .map(String::as_str)
        .max_by_key(|host| (rendezvous_weight(host, key), *host))
}

fn is_recently_heard(peer: &Peer, now: Timestamp, suspect_after: Duration) -> bool {
    peer.last_heard_at
        .is_some_and(|at| now.saturating_sub(at) < suspect_after)
}
