//! What a host knows of its ways to the backend servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::HostId;

/// Maximum number of hosts through which one connection is tried.
const RELAYS_MAX: usize = 4;
/// Part of the timeout of a connection after which the next way is tried beside those before.
const STEPS_PER_TIMEOUT: u32 = 5;
/// Number of servers in a row that only other hosts reach, after which this host is taken to be cut off from all.
const CUT_OFF_SERVERS: usize = 2;
/// Interval between probes of the direct way to one server.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a way that is not used is forgotten.
const MEMORY: Duration = Duration::from_secs(5);
/// Time for which a host that does not reach the servers either is not asked again.
const RELAY_BACKOFF: Duration = Duration::from_secs(2);

/// A way to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerPath {
    /// A connection of this host.
    Direct,
    /// A tunnel through another host.
    Through(HostId),
}

/// A way to try for a connection, unless an earlier one has led to the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectStep {
    /// The way.
    pub path: ServerPath,
    /// Time since the begin after which it is tried at the latest. If all ways before have failed it is tried at once.
    pub after: Duration,
}

/// Why a server was not reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Hosts that reach other servers do not reach this one.
    ServerDown,
    /// This host reaches no server, and no host is known that does. It says nothing about the server.
    NoPath,
}

/// Servers to which a host connected directly, of one that it had not reached and of others, all tried at the same moment.
/// Connections that were made before say nothing of a cut that has begun since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachedServers {
    /// The server itself, perhaps with others.
    Itself,
    /// Others and not the server.
    Others,
    /// None of them.
    None,
}

impl ReachedServers {
    /// Classifies the connections.
    pub fn of(is_reached: bool, is_other_reached: bool) -> Self {
        match (is_reached, is_other_reached) {
            (true, _) => ReachedServers::Itself,
            (false, true) => ReachedServers::Others,
            (false, false) => ReachedServers::None,
        }
    }
}

/// A direct way that did not lead to its server, although another host reached it.
#[derive(Debug)]
struct LostPath {
    next_probe_at: Duration,
    used_at: Duration,
}

/// Which servers this host reaches directly, and which hosts reach servers for it.
///
/// That a server is not reached is a fact about the way, until a host that reaches others does not reach it either.
#[derive(Debug, Default)]
pub struct ServerPaths {
    lost: HashMap<BackendServerId, LostPath>,
    /// Servers reached through other hosts since the last direct connection to any.
    relayed_in_a_row: HashSet<BackendServerId>,
    /// When bytes of a server last arrived over a direct connection.
    heard_at: Option<Duration>,
    /// When a server was last found to be silent on a direct connection.
    silent_at: Option<Duration>,
    /// Hosts that do not reach the servers either, and until when they are not asked.
    cut_off_relays: HashMap<HostId, Duration>,
    /// Hosts that have lately led to a server, with the time of that.
    working_relays: HashMap<HostId, Duration>,
    /// Whether this host tried several servers for another one and reached none.
    has_reached_none: bool,
}

impl ServerPaths {
    /// Ways to try for a connection, through these hosts in the order of preference. `spread` is a random number, by which
    /// the first few of them share the connections.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_relay::{ServerPath, ServerPaths};
    /// let steps = ServerPaths::default().steps("s1", &["h2".into()], 7, Duration::from_millis(250), Duration::ZERO);
    /// assert_eq!(steps[0].path, ServerPath::Direct);
    /// assert_eq!(steps[1].path, ServerPath::Through("h2".into()));
    /// assert_eq!(steps[1].after, Duration::from_millis(50));
    /// ```
    pub fn steps(
        &self,
        server: &str,
        relays: &[HostId],
        spread: usize,
        timeout: Duration,
        now: Duration,
    ) -> Vec<ConnectStep> {
        let is_asked = |host: &&HostId| {
            self.cut_off_relays
                .get(*host)
                .is_none_or(|until| now >= *until)
        };
        let is_working = |host: &&HostId| self.working_relays.contains_key(*host);
        let asked = || relays.iter().filter(is_asked);
        // Those that work come first.
        let working: Vec<&HostId> = asked().filter(is_working).take(RELAYS_MAX).collect();
        let others = asked().filter(|host| !is_working(host));
        let others = others.take(RELAYS_MAX - working.len());
        let working_count = working.len();
        let mut relays: Vec<HostId> = working.into_iter().chain(others).cloned().collect();
        let shared = match working_count {
            0 => relays.len(),
            count => count,
        };
        if shared > 0 {
            relays[..shared].rotate_left(spread % shared);
        }
        let mut paths: Vec<ServerPath> = relays.into_iter().map(ServerPath::Through).collect();
        match self.is_direct_up(server) {
            true => paths.insert(0, ServerPath::Direct),
            false => paths.push(ServerPath::Direct),
        }
        let interval = timeout / STEPS_PER_TIMEOUT;
        let steps = paths.into_iter().zip(0..);
        steps
            .map(|(path, index)| ConnectStep {
                path,
                after: interval * index,
            })
            .collect()
    }

    /// Whether the direct way to a server is tried first.
    pub fn is_direct_up(&self, server: &str) -> bool {
        !self.is_cut_off() && !self.lost.contains_key(server)
    }

    /// Whether this host reaches no server itself, as far as it knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut paths = bamboo_relay::ServerPaths::default();
    /// paths.record_relayed("s1", Duration::ZERO);
    /// assert!(!paths.is_cut_off());
    /// paths.record_relayed("s2", Duration::ZERO);
    /// assert!(paths.is_cut_off());
    /// paths.record_direct("s2", Duration::ZERO);
    /// assert!(!paths.is_cut_off());
    /// ```
    pub fn is_cut_off(&self) -> bool {
        self.has_reached_none || self.relayed_in_a_row.len() >= CUT_OFF_SERVERS
    }

    /// Records a direct connection to a server. Returns whether this host was cut off before.
    pub fn record_direct(&mut self, server: &str, now: Duration) -> bool {
        let was_cut_off = self.is_cut_off();
        self.lost.remove(server);
        self.relayed_in_a_row.clear();
        self.has_reached_none = false;
        self.heard_at = Some(now);
        if was_cut_off {
            // The other servers are reached again, too, as far as this host knows.
            self.lost.clear();
        }
        was_cut_off
    }

    /// Records that another host reached a server, and this one did not until then. Returns whether this host is cut off since
    /// then.
    pub fn record_relayed(&mut self, server: &str, now: Duration) -> bool {
        let was_cut_off = self.is_cut_off();
        self.record_lost(server, now);
        self.relayed_in_a_row.insert(server.to_owned());
        !was_cut_off && self.is_cut_off()
    }

    /// Records that this host reached neither a server that another host asked for nor a further one. It is cut off until a
    /// probe of the server succeeds.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut paths = bamboo_relay::ServerPaths::default();
    /// paths.record_reached_none("s1", Duration::ZERO);
    /// assert!(paths.is_cut_off());
    /// ```
    pub fn record_reached_none(&mut self, server: &str, now: Duration) {
        self.record_lost(server, now);
        self.has_reached_none = true;
    }

    fn record_lost(&mut self, server: &str, now: Duration) {
        let lost = self.lost.entry(server.to_owned()).or_insert(LostPath {
            next_probe_at: now + PROBE_INTERVAL,
            used_at: now,
        });
        lost.used_at = now;
    }

    /// Records that a host led to a server.
    pub fn record_working_relay(&mut self, host: &HostId, now: Duration) {
        self.cut_off_relays.remove(host);
        self.working_relays.insert(host.clone(), now);
    }

    /// Records that a host does not reach the servers either.
    pub fn record_cut_off_relay(&mut self, host: &HostId, now: Duration) {
        self.working_relays.remove(host);
        self.cut_off_relays
            .insert(host.clone(), now + RELAY_BACKOFF);
    }

    /// Records bytes of a server over a direct connection.
    pub fn record_heard(&mut self, now: Duration) {
        self.heard_at = Some(now);
    }

    /// Records that a server sent nothing over a direct connection for far longer than usual.
    pub fn record_silence(&mut self, now: Duration) {
        self.silent_at = Some(now);
    }

    /// Whether an open connection may be used for a further request. After a silence it may not, until any server has been
    /// heard: a cut is silent on all open connections, and a request that is sent into one is lost.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut paths = bamboo_relay::ServerPaths::default();
    /// paths.record_silence(Duration::from_millis(5));
    /// assert!(!paths.trusts_open_connections());
    /// paths.record_heard(Duration::from_millis(6));
    /// assert!(paths.trusts_open_connections());
    /// ```
    pub fn trusts_open_connections(&self) -> bool {
        self.silent_at.is_none() || self.heard_at > self.silent_at
    }

    /// What it means that no way led to a server, and no other host said that it is down. `has_relays` tells whether there are
    /// other hosts: one that has none takes its own view for the truth.
    ///
    /// ```
    /// use bamboo_relay::{ConnectFailure, ReachedServers, ServerPaths};
    /// let paths = ServerPaths::default();
    /// assert_eq!(paths.failure(true, ReachedServers::Others), ConnectFailure::ServerDown);
    /// assert_eq!(paths.failure(true, ReachedServers::None), ConnectFailure::NoPath);
    /// ```
    pub fn failure(&self, has_relays: bool, reached: ReachedServers) -> ConnectFailure {
        let is_down = !self.is_cut_off() && reached == ReachedServers::Others;
        match is_down || !has_relays {
            true => ConnectFailure::ServerDown,
            false => ConnectFailure::NoPath,
        }
    }

    /// A server whose direct way is due for a probe, if there is one. Ways that are no longer used are forgotten.
    pub fn due_probe(&mut self, now: Duration) -> Option<BackendServerId> {
        self.cut_off_relays.retain(|_, until| now < *until);
        self.lost
            .retain(|_, lost| now.saturating_sub(lost.used_at) < MEMORY);
        self.working_relays
            .retain(|_, worked_at| now.saturating_sub(*worked_at) < MEMORY);
        if self.lost.is_empty() {
            self.relayed_in_a_row.clear();
            self.has_reached_none = false;
        }
        let due = self
            .lost
            .iter_mut()
            .filter(|(_, lost)| now >= lost.next_probe_at)
            .min_by_key(|(_, lost)| lost.next_probe_at);
        let (server, lost) = due?;
        lost.next_probe_at = now + PROBE_INTERVAL;
        let server = server.clone();
        if self.is_cut_off() {
            // One probe shows for all servers whether the cut has ended.
            for lost in self.lost.values_mut() {
                lost.next_probe_at = lost.next_probe_at.max(now + PROBE_INTERVAL);
            }
        }
        Some(server)
    }
}
