//! The live hosts, from the platform's lagging list and from what peers say themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_types::DataCentreId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Now;
use bamboo_types::rendezvous_weight;

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// The platform counts the host as live.
    Live,
    /// The host is to leave.
    Leaving,
}

/// One host of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its peers reach it, as `address:port`.
    pub peer_address: String,
    /// What the platform says of it.
    pub state: HostState,
}

/// Interval of asking a host that was reported lost whether it is.
const ASK_LOST_INTERVAL: Duration = Duration::from_secs(5);

/// Times by which a host is judged.
#[derive(Debug, Clone)]
pub struct MemberViewOptions {
    /// A host that was silent for this long is taken as lost, whatever the list says.
    pub suspect_after: Duration,
    /// Number of hosts up to which all watch each other.
    pub mesh_max: usize,
    /// Number of hosts that watch a host in larger fleets.
    pub watcher_count: usize,
}

impl Default for MemberViewOptions {
    fn default() -> Self {
        MemberViewOptions {
            suspect_after: Duration::from_secs(2),
            mesh_max: 16,
            watcher_count: 6,
        }
    }
}

#[derive(Debug, Clone)]
struct Peer {
    entry: HostEntry,
    listed_at: Now,
    heard_at: Option<Now>,
    incarnation: Incarnation,
    is_draining: bool,
    is_watched: bool,
    is_watcher: bool,
    is_reported_lost: bool,
    has_announced_loss: bool,
    asked_at: Option<Now>,
}

/// A run of a host that its watchers no longer hear.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Host.
    pub host: HostId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// A host's view of all hosts.
#[derive(Debug)]
pub struct MemberView {
    me: HostId,
    options: MemberViewOptions,
    peers: BTreeMap<HostId, Peer>,
    is_draining: bool,
    is_mesh: bool,
}

impl MemberView {
    /// A view that knows only its own host.
    ///
    /// ```
    /// use bamboo_member::{MemberView, MemberViewOptions};
    /// let view = MemberView::new("h1".into(), MemberViewOptions::default());
    /// assert_eq!(view.live(std::time::Duration::ZERO), vec!["h1".to_string()]);
    /// ```
    pub fn new(me: HostId, options: MemberViewOptions) -> Self {
        MemberView {
            me,
            options,
            peers: BTreeMap::new(),
            is_draining: false,
            is_mesh: true,
        }
    }

    /// Takes the platform's list.
    pub fn listed(&mut self, now: Now, entries: Vec<HostEntry>) {
        let names: BTreeSet<HostId> = entries.iter().map(|entry| entry.host.clone()).collect();
        let before: Vec<HostId> = self.peers.keys().cloned().collect();
        let suspect_after = self.options.suspect_after;
        // The list lags, so a host that still answers stays although it is not listed.
        self.peers
            .retain(|host, peer| names.contains(host) || was_heard(peer, now, suspect_after));
        for entry in entries {
            if entry.host == self.me {
                continue;
            }
            match self.peers.get_mut(&entry.host) {
                Some(peer) => peer.entry = entry,
                None => {
                    self.peers.insert(entry.host.clone(), Peer::new(entry, now));
                }
            }
        }
        if !self.peers.keys().eq(before.iter()) {
            self.assign_watchers();
        }
    }

    /// In a large fleet a host is watched by the next few in a ring of all hosts, so that what a host hears and
    /// sends does not grow with the fleet.
    fn assign_watchers(&mut self) {
        self.is_mesh = self.peers.len() < self.options.mesh_max;
        let mut ring: Vec<HostId> = self.peers.keys().cloned().collect();
        ring.push(self.me.clone());
        ring.sort_by_cached_key(|host| (rendezvous_weight(host, "ring"), host.clone()));
        let size = ring.len();
        let count = self.options.watcher_count.min(size - 1);
        let place = ring.iter().position(|host| *host == self.me).unwrap_or(0);
        let watchers: BTreeSet<&HostId> = (1..=count)
            .map(|step| &ring[(place + step) % size])
            .collect();
        let watched: BTreeSet<&HostId> = (1..=count)
            .map(|step| &ring[(place + size - step) % size])
            .collect();
        for (host, peer) in &mut self.peers {
            peer.is_watcher = self.is_mesh || watchers.contains(host);
            peer.is_watched = self.is_mesh || watched.contains(host);
        }
    }

    /// Hosts that watch this one: they get its heartbeats.
    pub fn watchers(&self) -> impl Iterator<Item = &HostId> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_watcher)
            .map(|(host, _)| host)
    }

    /// Runs of watched hosts that have fallen silent and are not announced yet. In a small fleet, where all watch
    /// each other, there is nothing to announce.
    pub fn new_losses(&mut self, now: Now) -> Vec<Loss> {
        let suspect_after = self.options.suspect_after;
        if self.is_mesh {
            return Vec::new();
        }
        let mut losses = Vec::new();
        for (host, peer) in &mut self.peers {
            let is_silent = peer.heard_at.is_some() && !was_heard(peer, now, suspect_after);
            if peer.is_watched && is_silent && !peer.has_announced_loss {
                peer.has_announced_loss = true;
                losses.push(Loss {
                    host: host.clone(),
                    incarnation: peer.incarnation,
                });
            }
        }
        losses
    }

    /// Runs that were reported lost although the platform still lists their hosts as live. They are asked now and
    /// then, since a report may be wrong and its denial may have been missed.
    pub fn doubted_losses(&mut self, now: Now) -> Vec<Loss> {
        let mut doubted = Vec::new();
        for (host, peer) in &mut self.peers {
            let is_due = peer
                .asked_at
                .is_none_or(|at| now.saturating_sub(at) >= ASK_LOST_INTERVAL);
            if peer.is_reported_lost && peer.entry.state == HostState::Live && is_due {
                peer.asked_at = Some(now);
                doubted.push(Loss {
                    host: host.clone(),
                    incarnation: peer.incarnation,
                });
            }
        }
        doubted
    }

    /// Takes a watcher's announcement of a loss. Tells whether it is this host that is taken as lost.
    pub fn loss_heard(&mut self, loss: &Loss) -> bool {
        if loss.host == self.me {
            return true;
        }
        if let Some(peer) = self.peers.get_mut(&loss.host)
            && peer.incarnation <= loss.incarnation
        {
            peer.is_reported_lost = true;
        }
        false
    }

    /// Whether a host that was just heard was announced as lost before: it is to be told, so that it speaks to all.
    pub fn take_back_loss(&mut self, host: &str) -> bool {
        match self.peers.get_mut(host) {
            Some(peer) => std::mem::take(&mut peer.has_announced_loss),
            None => false,
        }
    }

    /// Notes that a peer spoke. A message of an older incarnation is not counted, and `false` is returned.
    pub fn heard(&mut self, now: Now, host: &str, incarnation: Incarnation) -> bool {
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
        peer.heard_at = Some(now);
        peer.is_reported_lost = false;
        true
    }

    /// Notes what a peer says of its own planned stop.
    pub fn draining_heard(&mut self, host: &str, is_draining: bool) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.is_draining = is_draining;
        }
    }

    /// Marks the own host as stopping: it owns nothing from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether the own host is stopping.
    ///
    /// ```
    /// # use bamboo_member::{MemberView, MemberViewOptions};
    /// assert!(!MemberView::new("h1".into(), MemberViewOptions::default()).is_draining());
    /// ```
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Hosts that may own something, in name order.
    pub fn live(&self, now: Now) -> Vec<HostId> {
        self.live_names(now).cloned().collect()
    }

    /// Whether these are the hosts that may own something; nothing is built for the answer.
    pub fn is_live_list(&self, now: Now, hosts: &[HostId]) -> bool {
        self.live_names(now).eq(hosts.iter())
    }

    fn live_names(&self, now: Now) -> impl Iterator<Item = &HostId> {
        let is_before = move |peer: &&Peer| peer.entry.host < self.me;
        let others = move |peer: &&Peer| self.may_own(peer, now);
        let before = self.peers.values().take_while(is_before).filter(others);
        let after = self.peers.values().skip_while(is_before).filter(others);
        let own = (!self.is_draining).then_some(&self.me);
        before
            .map(|peer| &peer.entry.host)
            .chain(own)
            .chain(after.map(|peer| &peer.entry.host))
    }

    /// Whether a peer answers, also one that is leaving.
    pub fn is_answering(&self, now: Now, host: &str) -> bool {
        host == self.me
            || self
                .peers
                .get(host)
                .is_some_and(|peer| self.is_up(peer, now))
    }

    /// Whether this run of a host answers.
    pub fn is_running(&self, now: Now, host: &str, incarnation: Incarnation) -> bool {
        host == self.me
            || self
                .peers
                .get(host)
                .is_some_and(|peer| self.is_up(peer, now) && peer.incarnation == incarnation)
    }

    /// Peers with their addresses, whatever their state.
    pub fn peers(&self) -> impl Iterator<Item = &HostEntry> {
        self.peers.values().map(|peer| &peer.entry)
    }

    fn may_own(&self, peer: &Peer, now: Now) -> bool {
        let newly_listed = peer.heard_at.is_none()
            && now.saturating_sub(peer.listed_at) < self.options.suspect_after;
        let answers = newly_listed || self.is_up(peer, now);
        answers && !peer.is_draining && peer.entry.state == HostState::Live
    }

    /// A watched host is up while it is heard; of the others, the watchers would tell.
    fn is_up(&self, peer: &Peer, now: Now) -> bool {
        match peer.is_watched {
            true => was_heard(peer, now, self.options.suspect_after),
            false => !peer.is_reported_lost,
        }
    }
}

impl Peer {
    fn new(entry: HostEntry, now: Now) -> Self {
        Peer {
            entry,
            listed_at: now,
            heard_at: None,
            incarnation: 0,
            is_draining: false,
            is_watched: true,
            is_watcher: true,
            is_reported_lost: false,
            has_announced_loss: false,
            asked_at: None,
        }
    }
}

/// The first of some hosts in the rendezvous order of a named key.
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

fn was_heard(peer: &Peer, now: Now, suspect_after: Duration) -> bool {
    peer.heard_at
        .is_some_and(|at| now.saturating_sub(at) < suspect_after)
}
