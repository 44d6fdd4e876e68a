//! The backend servers that are known, from the entries that they keep in the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::DataCentreId;

use crate::ServiceId;

/// How long a server whose entry lapsed stays in use as a last resort, while no other of its service is left. Below
/// the 2 s after which a server that left must get no more requests.
const REMOVED_FALLBACK_WINDOW: Duration = Duration::from_millis(1200);

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Is about to leave and takes no new requests.
    Draining,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Identifier of the server.
    pub id: BackendServerId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: ServerState,
    /// Start of the process in milliseconds since 1970; another start knows nothing of before.
    pub started_at_ms: u64,
}

/// A change of the directory that users of servers must hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server was added, or its entry changed.
    Updated(Rc<Server>),
    /// A server started again under its identifier.
    Restarted(Rc<Server>),
    /// A server is gone.
    Removed(BackendServerId),
    /// Nothing changed.
    Unchanged,
}

/// Known servers.
#[derive(Debug, Default)]
pub struct Directory {
    servers: HashMap<BackendServerId, Rc<Server>>,
    recently_removed: Vec<(Duration, Rc<Server>)>,
}

impl Directory {
    /// Takes the newest entry of a server.
    ///
    /// ```
    /// let mut directory = bamboo_fleet::Directory::default();
    /// assert_eq!(directory.remove("s1", std::time::Duration::ZERO), bamboo_fleet::DirectoryChange::Unchanged);
    /// ```
    pub fn put(&mut self, server: Server) -> DirectoryChange {
        self.recently_removed
            .retain(|(_, removed)| removed.id != server.id);
        let previous = self.servers.get(&server.id);
        if previous.is_some_and(|previous| **previous == server) {
            return DirectoryChange::Unchanged;
        }
        let is_restart =
            previous.is_some_and(|previous| previous.started_at_ms != server.started_at_ms);
        let server = Rc::new(server);
        self.servers.insert(server.id.clone(), Rc::clone(&server));
        match is_restart {
            true => DirectoryChange::Restarted(server),
            false => DirectoryChange::Updated(server),
        }
    }

    /// Removes a server whose entry is gone or names no server any more.
    pub fn remove(&mut self, id: &str, now: Duration) -> DirectoryChange {
        match self.servers.remove(id) {
            Some(server) => {
                self.recently_removed.push((now, server));
                DirectoryChange::Removed(id.to_owned())
            }
            None => DirectoryChange::Unchanged,
        }
    }

    /// The server of an identifier.
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

    /// The ready servers of a service; where there is none, those whose entries lapsed a moment ago.
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

    /// Forgets servers that lapsed long ago.
    pub fn expire(&mut self, now: Duration) {
        self.recently_removed
            .retain(|(removed_at, _)| now.saturating_sub(*removed_at) < REMOVED_FALLBACK_WINDOW);
    }
}
