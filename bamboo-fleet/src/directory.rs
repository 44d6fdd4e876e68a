//! Directory of backend servers, built from the entries that the servers renew in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;
use bamboo_types::SoftwareVersion;
use bamboo_types::millis;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceId;

/// How long a removed server may still be used while its service has no ready server. Shorter than the 2 s after which
/// a server that has left must not receive any more requests.
const REMOVED_FALLBACK_WINDOW: Duration = Duration::from_millis(1200);
/// How long the version of a server that has left is remembered. A caller returns to a stream of that server within
/// this time.
pub const VERSION_MEMORY: Duration = Duration::from_secs(10);

/// How long it is remembered that a server without an entry said that it leaves. Its entry may return meanwhile.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);
/// How long other hosts are told of a server without an entry that said that it leaves. They may read later that it has none.
const LEAVING_TOLD_FOR: Duration = Duration::from_secs(10);

/// State that a server reports in its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Shuts down soon and accepts no new requests.
    Draining,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identifier of the server.
    pub id: BackendServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Data centre that the server runs in.
    pub data_centre: DataCentreId,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// State that the server reports.
    pub state: ServerState,
    /// Start time of the process in milliseconds since the Unix epoch. A different value means a restart, in which
    /// the server has lost its earlier requests.
    pub started_at_ms: u64,
    /// Version of the server's software. A stream may be resumed only at a server of the version that began it.
    pub version: SoftwareVersion,
}

/// A process of a server that said that it leaves, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Server.
    pub server: BackendServerId,
    /// Start time of the process.
    pub started_at_ms: u64,
    /// Time since the server said so, in milliseconds.
    pub said_ago_ms: u64,
}

/// What a host learned from the statement that a server leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeavingChange {
    /// The server gets no more requests.
    Updated(Rc<Server>),
    /// The directory has no such process, or not yet.
    Remembered,
    /// The statement was known.
    Known,
}

/// Change of the directory, for the components that hold state per server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server was added, or its entry changed.
    Updated(Rc<Server>),
    /// A server was restarted under the same identifier.
    Restarted(Rc<Server>),
    /// A server was removed.
    Removed(BackendServerId),
    /// The directory did not change.
    Unchanged,
}

/// The servers that have an entry, and those that were removed recently.
#[derive(Debug, Default)]
pub struct Directory {
    servers: HashMap<BackendServerId, Rc<Server>>,
    /// When the entry of each server was seen first.
    seen_since: HashMap<BackendServerId, Duration>,
    recently_removed: Vec<(Duration, Rc<Server>)>,
    /// Services and versions of servers that were removed or came back with another version, with the time of that.
    former_versions: Vec<(Duration, ServiceId, SoftwareVersion)>,
    /// Processes of servers, by start time, that said that they leave, with the time of that.
    leaving: HashMap<BackendServerId, BTreeMap<u64, Duration>>,
}

impl Directory {
    /// Adds a server or replaces its entry.
    ///
    /// ```
    /// let mut directory = bamboo_fleet::Directory::default();
    /// assert_eq!(directory.remove("s1", std::time::Duration::ZERO), bamboo_fleet::DirectoryChange::Unchanged);
    /// ```
    pub fn put(&mut self, mut server: Server, now: Duration) -> DirectoryChange {
        if self.is_leaving(&server) {
            server.state = ServerState::Draining;
        }
        self.recently_removed
            .retain(|(_, removed)| removed.id != server.id);
        let previous = self.servers.get(&server.id);
        if previous.is_some_and(|previous| **previous == server) {
            return DirectoryChange::Unchanged;
        }
        let is_restart =
            previous.is_some_and(|previous| previous.started_at_ms != server.started_at_ms);
        let former = previous.filter(|previous| {
            previous.version != server.version || previous.service != server.service
        });
        if let Some(former) = former.cloned() {
            self.remember_version(former.service.clone(), former.version.clone(), now);
        }
        let server = Rc::new(server);
        self.servers.insert(server.id.clone(), Rc::clone(&server));
        self.seen_since.entry(server.id.clone()).or_insert(now);
        match is_restart {
            true => DirectoryChange::Restarted(server),
            false => DirectoryChange::Updated(server),
        }
    }

    /// Whether a server has started anew since a time, under its identifier or under another one at its address. The entry of a process
    /// that crashed stays for a while.
    ///
    /// ```
    /// # use bamboo_fleet::*;
    /// # use std::time::Duration;
    /// let server = Server {
    ///     id: "s1".to_owned(), service: "llm".to_owned(), address: "10.0.0.9:80".parse().unwrap(),
    ///     data_centre: "a".to_owned(), slots: 8, state: ServerState::Ready, started_at_ms: 1, version: String::new(),
    /// };
    /// let mut directory = Directory::default();
    /// directory.put(server.clone(), Duration::ZERO);
    /// assert!(!directory.has_restarted(&server, Duration::ZERO));
    /// directory.put(Server { started_at_ms: 2, ..server.clone() }, Duration::ZERO);
    /// assert!(directory.has_restarted(&server, Duration::ZERO));
    /// ```
    pub fn has_restarted(&self, server: &Server, since: Duration) -> bool {
        let known = self.servers.get(&server.id);
        if known.is_some_and(|known| known.started_at_ms != server.started_at_ms) {
            return true;
        }
        let is_new = |other: &Server| {
            let seen_since = self.seen_since.get(&other.id);
            known.is_none() || seen_since.is_some_and(|seen| *seen >= since)
        };
        self.servers.values().any(|other| {
            let is_at_address = other.address == server.address && other.service == server.service;
            other.id != server.id && is_at_address && is_new(other)
        })
    }

    /// Records that a server said that it leaves. Its current process counts as draining from then on, whatever its entry says.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::LeavingChange;
    /// let mut directory = bamboo_fleet::Directory::default();
    /// assert_eq!(directory.mark_leaving("s1", Duration::ZERO), LeavingChange::Known);
    /// ```
    pub fn mark_leaving(&mut self, id: &str, now: Duration) -> LeavingChange {
        let removed = || {
            let mut removed = self.recently_removed.iter().rev();
            removed.find(|(_, removed)| removed.id == id)
        };
        let known = self.servers.get(id);
        let Some(server) = known.or_else(|| removed().map(|(_, server)| server)) else {
            return LeavingChange::Known;
        };
        let report = LeavingReport {
            server: id.to_owned(),
            started_at_ms: server.started_at_ms,
            said_ago_ms: 0,
        };
        self.record_leaving(&report, now)
    }

    /// Records that a process of a server said that it leaves. Another process of that server is not concerned.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::{Directory, LeavingChange, LeavingReport};
    /// let mut directory = Directory::default();
    /// let report = LeavingReport { server: "s1".into(), started_at_ms: 1, said_ago_ms: 50 };
    /// assert_eq!(directory.record_leaving(&report, Duration::from_secs(1)), LeavingChange::Remembered);
    /// assert_eq!(directory.record_leaving(&report, Duration::from_secs(2)), LeavingChange::Known);
    /// ```
    pub fn record_leaving(&mut self, report: &LeavingReport, now: Duration) -> LeavingChange {
        let said_at = now.saturating_sub(Duration::from_millis(report.said_ago_ms));
        let processes = self.leaving.entry(report.server.clone()).or_default();
        if processes.contains_key(&report.started_at_ms) {
            return LeavingChange::Known;
        }
        processes.insert(report.started_at_ms, said_at);
        let is_reported = |server: &Server| {
            server.id == report.server && server.started_at_ms == report.started_at_ms
        };
        self.recently_removed
            .retain(|(_, removed)| !is_reported(removed));
        match self.servers.get_mut(&report.server) {
            Some(server) if is_reported(server) => {
                *server = Rc::new(Server {
                    state: ServerState::Draining,
                    ..Server::clone(server)
                });
                LeavingChange::Updated(Rc::clone(server))
            }
            _ => LeavingChange::Remembered,
        }
    }

    /// Servers that said that they leave, as other hosts need to know: not those that have started anew, or left long ago.
    pub fn leaving(&self, now: Duration) -> Vec<LeavingReport> {
        let is_needed = |id: &str, started_at_ms: u64, said_at: Duration| match self.servers.get(id)
        {
            Some(server) => server.started_at_ms == started_at_ms,
            None => now.saturating_sub(said_at) < LEAVING_TOLD_FOR,
        };
        let mut reports = Vec::new();
        for (id, processes) in &self.leaving {
            for (started_at_ms, said_at) in processes {
                if is_needed(id, *started_at_ms, *said_at) {
                    reports.push(LeavingReport {
                        server: id.clone(),
                        started_at_ms: *started_at_ms,
                        said_ago_ms: millis(now.saturating_sub(*said_at)),
                    });
                }
            }
        }
        reports.sort_by(|a, b| (&a.server, a.started_at_ms).cmp(&(&b.server, b.started_at_ms)));
        reports
    }

    /// Whether this process of a server said that it leaves.
    fn is_leaving(&self, server: &Server) -> bool {
        let processes = self.leaving.get(&server.id);
        processes.is_some_and(|processes| processes.contains_key(&server.started_at_ms))
    }

    /// Removes a server whose entry is missing, deleted or unreadable.
    pub fn remove(&mut self, id: &str, now: Duration) -> DirectoryChange {
        self.seen_since.remove(id);
        match self.servers.remove(id) {
            Some(server) => {
                self.remember_version(server.service.clone(), server.version.clone(), now);
                self.recently_removed.push((now, server));
                DirectoryChange::Removed(id.to_owned())
            }
            None => DirectoryChange::Unchanged,
        }
    }

    /// The server with an identifier.
    pub fn get(&self, id: &str) -> Option<&Rc<Server>> {
        self.servers.get(id)
    }

    /// Identifiers of all servers.
    pub fn ids(&self) -> Vec<BackendServerId> {
        self.servers.keys().cloned().collect()
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.values()
    }

    /// The ready servers of a service. If there are none, falls back to its recently removed servers.
    pub fn ready(&self, service: &str, now: Duration) -> Vec<Rc<Server>> {
        let is_usable =
            |server: &Rc<Server>| server.service == service && server.state == ServerState::Ready;
        let ready: Vec<Rc<Server>> = self
            .servers
            .values()
            .filter(|server| is_usable(server))
            .cloned()
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        let fallback = self.recently_removed.iter().filter(|(removed_at, server)| {
            now.saturating_sub(*removed_at) < REMOVED_FALLBACK_WINDOW && is_usable(server)
        });
        fallback.map(|(_, server)| Rc::clone(server)).collect()
    }

    /// The versions of a service's servers, ready or not, and of those that have left recently.
    ///
    /// ```
    /// let directory = bamboo_fleet::Directory::default();
    /// assert!(directory.versions("llm", std::time::Duration::ZERO).is_empty());
    /// ```
    pub fn versions(&self, service: &str, now: Duration) -> BTreeSet<SoftwareVersion> {
        let present = self.servers.values();
        let present = present
            .filter(|server| server.service == service)
            .map(|server| &server.version);
        let former = self.former_versions.iter();
        let former = former
            .filter(|(left_at, of, _)| {
                of == service && now.saturating_sub(*left_at) < VERSION_MEMORY
            })
            .map(|(_, _, version)| version);
        present.chain(former).cloned().collect()
    }

    /// Remembers that servers of a service have recently had a version.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut directory = bamboo_fleet::Directory::default();
    /// directory.remember_version("llm".into(), "v1".into(), Duration::ZERO);
    /// assert_eq!(directory.versions("llm", Duration::from_secs(1)).len(), 1);
    /// ```
    pub fn remember_version(
        &mut self,
        service: ServiceId,
        version: SoftwareVersion,
        now: Duration,
    ) {
        let is_known = |former: &(Duration, ServiceId, SoftwareVersion)| {
            former.0 == now && former.1 == service && former.2 == version
        };
        if !self.former_versions.iter().any(is_known) {
            self.former_versions.push((now, service, version));
        }
    }

    /// Drops removed servers that are too old to fall back to, and versions of servers that left too long ago.
    pub fn expire(&mut self, now: Duration) {
        self.recently_removed
            .retain(|(removed_at, _)| now.saturating_sub(*removed_at) < REMOVED_FALLBACK_WINDOW);
        self.former_versions
            .retain(|(left_at, _, _)| now.saturating_sub(*left_at) < VERSION_MEMORY);
        for (id, processes) in &mut self.leaving {
            let present = self.servers.get(id).map(|server| server.started_at_ms);
            processes.retain(|started_at_ms, said_at| {
                present == Some(*started_at_ms) || now.saturating_sub(*said_at) < LEAVING_MEMORY
            });
        }
        self.leaving.retain(|_, processes| !processes.is_empty());
    }
}
