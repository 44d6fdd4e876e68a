//! What this host knows of the backend servers, and how it learns of them from other hosts.

use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_fleet::VERSION_MEMORY;
use rand::seq::IndexedRandom;

use crate::gateway::Gateway;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;

/// Timeout for fetching the directory of backend servers from another host.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the last read of the directory from which on servers may have come that a host does not know.
const SERVERS_FRESH: Duration = Duration::from_secs(3);

/// When the directory of backend servers was read, from the store or from another host.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServersRead {
    first: Duration,
    last: Duration,
}

impl Gateway {
    /// Records that the directory of backend servers has been read. `last` is the time from which on servers may have come
    /// unnoticed: the begin of a read of the store, whose response may be late.
    pub(crate) fn servers_read(&self, last: Duration) {
        let now = self.clock.now();
        let first = self.servers_read.get().map_or(now, |read| read.first);
        self.servers_read.set(Some(ServersRead { first, last }));
        self.update_knows_servers();
    }

    /// Records that the newest entries of all servers have been read, rather than each change. Which versions came and left
    /// before is not known from these: the memory of versions begins anew, as does what the store's records told.
    pub(crate) async fn servers_read_anew(&self, last: Duration) {
        self.servers_read.set(None);
        *self.versions_recalled.lock().await = None;
        self.servers_read(last);
    }

    /// Whether the directory of backend servers has been read, from the store or from another host.
    pub(crate) fn has_read_servers(&self) -> bool {
        self.servers_read.get().is_some()
    }

    /// Whether this host has followed the directory for long enough, and up to now, to know every version that a caller
    /// may return to.
    pub(super) fn remembers_versions(&self) -> bool {
        let now = self.clock.now();
        let read = self.servers_read.get();
        read.is_some_and(|read| now.saturating_sub(read.first) >= VERSION_MEMORY)
            && self.are_servers_fresh()
    }

    /// Whether the directory has been read so lately that no servers have come unnoticed.
    pub(super) fn are_servers_fresh(&self) -> bool {
        let now = self.clock.now();
        let read = self.servers_read.get();
        read.is_some_and(|read| now.saturating_sub(read.last) < SERVERS_FRESH)
    }

    /// Lets this host coordinate once it has read both the configuration and the directory.
    pub(super) fn update_knows_servers(&self) {
        let is_complete = self.has_read_servers() && self.config.borrow().is_some();
        if !is_complete || self.coordination.borrow().knows_servers() {
            return;
        }
        self.coordination.borrow_mut().set_knows_servers();
        self.servers_known.notify_waiters();
        self.choose_coordinator();
    }

    /// All backend servers; `None` if this host does not know them.
    pub(crate) fn known_servers(&self) -> Option<Vec<Server>> {
        if !self.coordination.borrow().knows_servers() {
            return None;
        }
        let directory = self.directory.borrow();
        Some(
            directory
                .iter()
                .map(|server| Server::clone(server))
                .collect(),
        )
    }

    /// Fetches the directory of backend servers from a random live host. Returns `None` if there is no such host, or it
    /// does not know them.
    pub(crate) async fn fetch_servers(&self) -> Option<Vec<Server>> {
        let now = self.clock.now();
        let peers = self.coordination.borrow().live_peers(now);
        let peer = peers.choose(&mut rand::rng())?;
        let reply = self
            .mesh
            .call(peer, PeerRequest::Servers, FETCH_TIMEOUT, now);
        match reply.await {
            Some(PeerReply::Servers(servers)) => servers,
            _ => None,
        }
    }
}
