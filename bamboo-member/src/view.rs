//! The live hosts, from the platform's lagging list and from what peers say themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::DataCentreId;
use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Now;
use bamboo_types::weight;

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

/// Times by which a host is judged.
#[derive(Debug, Clone)]
pub struct MemberViewOptions {
    /// A host that was silent for this long is taken as lost, whatever the list says.
    pub suspect_after: Duration,
}

impl Default for MemberViewOptions {
    fn default() -> Self {
        MemberViewOptions {
            suspect_after: Duration::from_secs(2),
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
}

/// A host's view of all hosts.
#[derive(Debug)]
pub struct MemberView {
    me: HostId,
    options: MemberViewOptions,
    peers: BTreeMap<HostId, Peer>,
    is_draining: bool,
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
        }
    }

    /// Takes the platform's list.
    pub fn listed(&mut self, now: Now, entries: Vec<HostEntry>) {
        let names: std::collections::BTreeSet<HostId> =
            entries.iter().map(|entry| entry.host.clone()).collect();
        let suspect_after = self.options.suspect_after;
        // The list lags, so a host that still answers stays although it is not listed.
        self.peers
            .retain(|host, peer| names.contains(host) || is_heard(peer, now, suspect_after));
        for entry in entries {
            if entry.host == self.me {
                continue;
            }
            match self.peers.get_mut(&entry.host) {
                Some(peer) => peer.entry = entry,
                None => {
                    let peer = Peer {
                        entry,
                        listed_at: now,
                        heard_at: None,
                        incarnation: 0,
                        is_draining: false,
                    };
                    self.peers.insert(peer.entry.host.clone(), peer);
                }
            }
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
        let mut hosts: Vec<HostId> = self
            .peers
            .values()
            .filter(|peer| self.may_own(peer, now))
            .map(|peer| peer.entry.host.clone())
            .collect();
        if !self.is_draining {
            hosts.push(self.me.clone());
        }
        hosts.sort();
        hosts
    }

    /// Whether a peer answers, also one that is leaving.
    pub fn is_answering(&self, now: Now, host: &str) -> bool {
        host == self.me
            || self
                .peers
                .get(host)
                .is_some_and(|peer| is_heard(peer, now, self.options.suspect_after))
    }

    /// Whether this run of a host answers.
    pub fn is_running(&self, now: Now, host: &str, incarnation: Incarnation) -> bool {
        host == self.me
            || self.peers.get(host).is_some_and(|peer| {
                is_heard(peer, now, self.options.suspect_after) && peer.incarnation == incarnation
            })
    }

    /// Peers with their addresses, whatever their state.
    pub fn peers(&self) -> impl Iterator<Item = &HostEntry> {
        self.peers.values().map(|peer| &peer.entry)
    }

    /// Owner of a named thing by rendezvous over the live hosts.
    pub fn owner(&self, now: Now, thing: &str) -> Option<HostId> {
        first_in_order(&self.live(now), thing).map(str::to_owned)
    }

    fn may_own(&self, peer: &Peer, now: Now) -> bool {
        let newly_listed = peer.heard_at.is_none()
            && now.saturating_sub(peer.listed_at) < self.options.suspect_after;
        let answers = newly_listed || is_heard(peer, now, self.options.suspect_after);
        answers && !peer.is_draining && peer.entry.state == HostState::Live
    }
}

/// The first of some hosts in the rendezvous order of a named thing.
///
/// ```
/// let hosts = vec!["h1".to_string(), "h2".to_string()];
/// assert!(bamboo_member::first_in_order(&hosts, "shard-0").is_some());
/// ```
pub fn first_in_order<'hosts>(hosts: &'hosts [HostId], thing: &str) -> Option<&'hosts str> {
    hosts
        .iter()
        .map(String::as_str)
        .max_by_key(|host| (weight(host, thing), *host))
}

fn is_heard(peer: &Peer, now: Now, suspect_after: Duration) -> bool {
    peer.heard_at
        .is_some_and(|at| now.saturating_sub(at) < suspect_after)
}
