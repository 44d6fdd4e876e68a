//! What this host knows of the backend servers, and how it learns of them from other hosts.

use std::time::Duration;

use bamboo_fleet::DirectoryReads;
use bamboo_fleet::Server;
use bamboo_types::Offset;
use rand::seq::IndexedRandom;

use crate::gateway::Gateway;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::request_log::LineClass;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Timeout for fetching the directory of backend servers from another host.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Time in which this host learns of all entries that the store has. A caller waits for it, who may return after as long.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// End of the entries of the servers, as the store named it.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntriesEnd {
    /// When the store was asked.
    asked_at: Duration,
    end: Offset,
}

impl Gateway {
    /// Records that all changes of the directory since the previous read have been read. `began_at` is the begin of the read,
    /// whose response may be late, by the clock that counts suspensions.
    pub(crate) fn server_changes_read(&self, began_at: Duration, end: Offset) {
        self.servers_read.send_modify(|reads| match reads {
            Some(reads) => reads.changes_read(began_at, end),
            None => {
                *reads = Some(DirectoryReads::newest(
                    began_at,
                    end,
                    self.clock.boot_time(),
                ))
            }
        });
        self.update_knows_servers();
    }

    /// Records that the newest entries of all servers have been read, rather than each change. Which versions came and left
    /// before is not known from these: the memory of versions begins anew, as does what the store's records told.
    pub(crate) async fn newest_servers_read(&self, began_at: Duration, end: Offset) {
        *self.versions_recalled.lock().await = None;
        let reads = DirectoryReads::newest(began_at, end, self.clock.boot_time());
        self.servers_read.send_replace(Some(reads));
        self.update_knows_servers();
    }

    /// Records that the directory was fetched from another host, which was asked at a time.
    pub(crate) fn servers_fetched(&self, asked_at: Duration) {
        let reads = DirectoryReads::of_another_host(asked_at);
        self.servers_read.send_replace(Some(reads));
        self.update_knows_servers();
    }

    /// Whether the directory of backend servers has been read, from the store or from another host.
    pub(crate) fn has_read_servers(&self) -> bool {
        self.servers_read.borrow().is_some()
    }

    /// Whether this host has followed the directory for long enough, and up to now, to know every version that a caller
    /// may return to.
    pub(super) fn remembers_versions(&self) -> bool {
        let now = self.clock.boot_time();
        let reads = self.servers_read.borrow();
        reads.is_some_and(|reads| reads.remembers_versions(now))
    }

    /// Waits until this host knows all entries that the store had after a question was asked. Returns the end of these entries;
    /// `None` if that takes too long.
    pub(super) async fn catch_up_with_servers(&self, asked_at: Duration) -> Option<Offset> {
        let caught_up = async {
            let end = self.servers_end(asked_at).await?;
            let mut reads = self.servers_read.subscribe();
            let reaches_end =
                |reads: &Option<DirectoryReads>| reads.is_some_and(|reads| reads.reaches(end));
            if !reaches_end(&reads.borrow()) {
                self.servers_behind.notify_one();
            }
            // The sender lives as long as this host.
            reads.wait_for(reaches_end).await.ok()?;
            Some(end)
        };
        let caught_up = tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
        let end = caught_up.ok().flatten();
        if end.is_none() && self.may_log(LineClass::Other) {
            log::info!(
                event = "servers_unconfirmed";
                "cannot tell whether all servers are known: the store does not respond in time, or its entries arrive late"
            );
        }
        end
    }

    /// The end of the servers' entries in the store, as named after a question was asked. One call answers all questions that
    /// were asked before it.
    async fn servers_end(&self, asked_at: Duration) -> Option<Offset> {
        let mut known = self.servers_end.lock().await;
        if let Some(known) = known.filter(|known| known.asked_at >= asked_at) {
            return Some(known.end);
        }
        let asked_at = self.clock.now();
        let request = StoreRequest::End {
            topic: self.dialect.servers_topic.to_owned(),
        };
        let end = match self.store_call(&request).await {
            Ok(StoreReply::Newest { end, .. }) => end,
            Ok(_) => return None,
            Err(error) => {
                log::debug!("cannot read the end of the servers' entries: {error}");
                return None;
            }
        };
        *known = Some(EntriesEnd { asked_at, end });
        Some(end)
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
