//! Connections to backend servers, directly or through other hosts, and what their failures say of the servers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_relay::ConnectFailure;
use bamboo_relay::ReachedServers;
use bamboo_relay::ServerPath;
use bamboo_slots::RunOutcome;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::future::Shared;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio_util::either::Either;

use crate::gateway::Gateway;
use crate::mesh::TunnelStream;
use crate::net;
use crate::net::ConnectionUse;
use crate::traffic::Connection;

/// Number of other hosts that reach other servers and not this one, after which it is taken to be down without waiting for the
/// ways that are still tried.
const DOWN_REPORTS: usize = 2;
/// Interval at which it is checked whether a direct way is due for a probe.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the live hosts are listed, since the list is needed for each new connection.
const RELAYS_LISTED_FOR: Duration = Duration::from_millis(500);
/// Timeout for connecting to a server at which a run failed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a server that has sent bytes is not taken for silent.
const HEARD_LATELY: Duration = Duration::from_millis(100);
/// Timeout of a probe of a direct way.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for connecting to servers to tell one that is down from a cut.
const OTHER_SERVER_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of other servers that are tried then. Some may be down, too.
const OTHER_SERVERS_MAX: usize = 4;

/// A connection to a server, directly or through another host.
pub(crate) type ServerStream = Either<TcpStream, TunnelStream>;

/// What a check of a server found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerCheck {
    /// This host reaches it.
    Reached,
    /// Only other hosts reach it.
    ReachedByOthers,
    /// Hosts that reach other servers do not reach it.
    Down,
    /// No host is known that could tell.
    NoPath,
}

/// Checks in progress, by server. Runs that fail at the same time share one.
pub(super) type ServerChecks =
    HashMap<BackendServerId, Shared<LocalBoxFuture<'static, ServerCheck>>>;

/// How an attempt to connect ended.
enum StepEnd {
    Connected(ServerStream),
    /// The other host does not reach the server although it reaches others.
    ServerDown,
    /// The other host cannot tell.
    CutOffRelay(HostId),
    /// This host does not reach the server.
    NotReached,
}

impl Gateway {
    /// Connects to a server. The direct way and ways through other hosts are tried one after another, each beside those that
    /// have not failed yet.
    ///
    /// # Errors
    /// Fails if no way leads to the server in time. Nothing has been sent to it then, so a retry is safe.
    pub(crate) async fn connect_server(
        &self,
        server: &Server,
        timeout: Duration,
    ) -> Result<ServerStream, ConnectFailure> {
        let started = self.clock.now();
        let relays = self.relays_for_servers(started);
        let has_relays = !relays.is_empty();
        let steps = self.server_paths.borrow().steps(
            &server.id,
            &relays,
            rand::rng().random_range(0..usize::MAX),
            timeout,
            started,
        );
        let mut down_reports = 0;
        let mut steps = steps.into_iter().peekable();
        let mut attempts = FuturesUnordered::new();
        let deadline = self.clock.instant(started + timeout);
        loop {
            let next_at = match steps.peek() {
                Some(step) if !attempts.is_empty() => self.clock.instant(started + step.after),
                Some(_) => self.clock.instant(started),
                None if attempts.is_empty() => break,
                None => deadline,
            };
            let ended = tokio::select! {
                biased;
                Some(ended) = attempts.next() => ended,
                () = tokio::time::sleep_until(next_at.min(deadline)) => {
                    match steps.next() {
                        Some(step) if self.clock.now() < started + timeout => {
                            attempts.push(self.try_path(server, step.path, timeout));
                        }
                        _ => break,
                    }
                    continue;
                }
            };
            match ended {
                StepEnd::Connected(stream) => {
                    match &stream {
                        Either::Left(_) => self.record_direct_connection(server),
                        Either::Right(_) => self.record_relayed_connection(server),
                    }
                    return Ok(stream);
                }
                StepEnd::ServerDown => {
                    down_reports += 1;
                    if down_reports >= DOWN_REPORTS {
                        return Err(ConnectFailure::ServerDown);
                    }
                }
                StepEnd::CutOffRelay(host) => {
                    let now = self.clock.now();
                    self.server_paths
                        .borrow_mut()
                        .record_cut_off_relay(&host, now);
                }
                StepEnd::NotReached => {}
            }
        }
        if down_reports > 0 {
            return Err(ConnectFailure::ServerDown);
        }
        let reached = match has_relays {
            true => self.compare_servers(server).await,
            false => ReachedServers::None,
        };
        Err(self.server_paths.borrow().failure(has_relays, reached))
    }

    async fn try_path(&self, server: &Server, path: ServerPath, timeout: Duration) -> StepEnd {
        match path {
            ServerPath::Direct => {
                match net::connect(server.address, timeout, ConnectionUse::Servers).await {
                    Ok(stream) => StepEnd::Connected(Either::Left(stream)),
                    Err(error) => {
                        log::debug!("cannot connect to server {}: {error:#}", server.id);
                        StepEnd::NotReached
                    }
                }
            }
            ServerPath::Through(host) => {
                let (authority, now) = (server.address.to_string(), self.clock.now());
                let opened = self.tunnels.open(&host, &server.id, &authority, now).await;
                match opened {
                    Ok(stream) => {
                        let now = self.clock.now();
                        self.server_paths
                            .borrow_mut()
                            .record_working_relay(&host, now);
                        StepEnd::Connected(Either::Right(stream))
                    }
                    Err(ConnectFailure::ServerDown) => StepEnd::ServerDown,
                    Err(ConnectFailure::NoPath) => StepEnd::CutOffRelay(host),
                }
            }
        }
    }

    /// Finds out who reaches a server, after a run at it has failed.
    pub(crate) async fn check_server(self: &Rc<Self>, server: &Rc<Server>) -> ServerCheck {
        let running = self.server_checks.borrow().get(&server.id).cloned();
        let check = running.unwrap_or_else(|| {
            let (gateway, checked) = (Rc::clone(self), Rc::clone(server));
            let check = async move {
                let connected = gateway.connect_server(&checked, CHECK_TIMEOUT).await;
                gateway.server_checks.borrow_mut().remove(&checked.id);
                match connected {
                    Ok(Either::Left(_)) => ServerCheck::Reached,
                    Ok(Either::Right(_)) => ServerCheck::ReachedByOthers,
                    Err(ConnectFailure::ServerDown) => ServerCheck::Down,
                    Err(ConnectFailure::NoPath) => ServerCheck::NoPath,
                }
            };
            let check = check.boxed_local().shared();
            self.server_checks
                .borrow_mut()
                .insert(server.id.clone(), check.clone());
            check
        });
        check.await
    }

    /// Whether a failure may be one of the way to the server rather than the server's own. What this host heard of other
    /// servers before tells nothing of a cut that has begun since.
    pub(crate) fn may_be_lost_path(&self, outcome: RunOutcome) -> bool {
        matches!(outcome, RunOutcome::Silent | RunOutcome::Broken)
    }

    /// Charges a failure that may be one of the way by `charge`, once it is known who reaches the server.
    pub(crate) fn charge_after_check<F>(
        self: &Rc<Self>,
        server: &Rc<Server>,
        outcome: RunOutcome,
        charge: F,
    ) where
        F: FnOnce(&Rc<Self>, RunOutcome) + 'static,
    {
        let (gateway, server) = (Rc::clone(self), Rc::clone(server));
        actix_rt::spawn(async move {
            let outcome = match gateway.check_server(&server).await {
                ServerCheck::Reached => outcome,
                ServerCheck::Down => RunOutcome::Unreachable,
                ServerCheck::ReachedByOthers | ServerCheck::NoPath => RunOutcome::NoPath,
            };
            charge(&gateway, outcome);
        });
    }

    /// Live hosts through which servers may be reached: those of the same data centre first, in an order of this host's own,
    /// so that the hosts that are cut off spread over the others.
    fn relays_for_servers(&self, now: Duration) -> Rc<[HostId]> {
        if let Some((listed_at, relays)) = &*self.server_relays.borrow()
            && now.saturating_sub(*listed_at) < RELAYS_LISTED_FOR
        {
            return Rc::clone(relays);
        }
        let coordination = self.coordination.borrow();
        let mut hosts = coordination.live_peer_infos(now);
        hosts.sort_by_cached_key(|info| {
            let is_remote = info.data_centre != self.local.data_centre;
            let weight = bamboo_types::rendezvous_weight(&info.host, &self.local.host);
            (is_remote, weight)
        });
        let relays: Rc<[HostId]> = hosts.into_iter().map(|info| info.host.clone()).collect();
        *self.server_relays.borrow_mut() = Some((now, Rc::clone(&relays)));
        relays
    }

    /// Records a direct connection to a server.
    pub(crate) fn record_direct_connection(&self, server: &Server) {
        let now = self.clock.now();
        let is_regained = self
            .server_paths
            .borrow_mut()
            .record_direct(&server.id, now);
        if is_regained {
            log::info!(event = "servers_regained", server = server.id.as_str(); "this host reaches servers itself again");
        }
    }

    fn record_relayed_connection(&self, server: &Server) {
        let now = self.clock.now();
        self.metrics.count_run("relayed");
        let is_cut_off = self
            .server_paths
            .borrow_mut()
            .record_relayed(&server.id, now);
        if is_cut_off {
            log::warn!(event = "servers_lost", server = server.id.as_str(); "only other hosts reach the servers; connecting through them");
            if !self.server_paths.borrow().trusts_open_connections() {
                self.pool.clear();
            }
        }
    }

    /// Whether a server that this host did not reach is down rather than the host cut off.
    pub(crate) async fn reaches_only_others(&self, unreached: &Server) -> bool {
        self.compare_servers(unreached).await == ReachedServers::Others
    }

    /// Tries a server that was not reached and others at the same moment.
    async fn compare_servers(&self, unreached: &Server) -> ReachedServers {
        let others: Vec<Rc<Server>> = {
            let directory = self.directory.borrow();
            let others = directory.iter().filter(|server| server.id != unreached.id);
            others.cloned().sample(&mut rand::rng(), OTHER_SERVERS_MAX)
        };
        let (is_reached, is_other_reached) =
            tokio::join!(self.is_reached(unreached), self.is_any_reached(&others));
        let reached = ReachedServers::of(is_reached, is_other_reached);
        if reached == ReachedServers::None && !others.is_empty() {
            let now = self.clock.now();
            let mut paths = self.server_paths.borrow_mut();
            paths.record_reached_none(&unreached.id, now);
        }
        reached
    }

    async fn is_any_reached(&self, servers: &[Rc<Server>]) -> bool {
        let attempts: FuturesUnordered<_> = servers
            .iter()
            .map(|server| self.is_reached(server))
            .collect();
        let mut reached = attempts.filter(|is_reached| std::future::ready(*is_reached));
        reached.next().await.is_some()
    }

    /// Whether a direct connection to a server is established soon.
    async fn is_reached(&self, server: &Server) -> bool {
        let connected =
            net::connect(server.address, OTHER_SERVER_TIMEOUT, ConnectionUse::Servers).await;
        match &connected {
            Ok(_) => self.record_direct_connection(server),
            Err(error) => {
                log::debug!("server {} is not reached directly: {error:#}", server.id);
            }
        }
        connected.is_ok()
    }

    /// Whether this host reaches no server, as far as it knows.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.server_paths.borrow().is_cut_off()
    }

    /// Takes an idle connection to a server, if there is one and open connections are trusted.
    pub(crate) fn take_idle_connection(&self, server: &Server) -> Option<Connection> {
        if !self.server_paths.borrow().trusts_open_connections() {
            return None;
        }
        let now = self.clock.now();
        self.pool.take_idle(&server.id, server.address, now)
    }

    /// Records bytes that arrived from a server.
    pub(crate) fn record_heard(&self, connection: &Connection) {
        let now = self.clock.now();
        if connection.is_direct {
            self.server_paths.borrow_mut().record_heard(now);
        }
        let mut heard = self.servers_heard.borrow_mut();
        match heard.get_mut(&connection.server) {
            Some(heard_at) => *heard_at = now,
            None => {
                heard.retain(|_, heard_at| now.saturating_sub(*heard_at) <= HEARD_LATELY);
                heard.insert(connection.server.clone(), now);
            }
        }
    }

    /// Whether a server has sent bytes lately, on any connection of this host.
    pub(crate) fn has_heard_lately(&self, server: &str, now: Duration) -> bool {
        let heard = self.servers_heard.borrow();
        let heard_at = heard.get(server);
        heard_at.is_some_and(|heard_at| now.saturating_sub(*heard_at) <= HEARD_LATELY)
    }

    /// Records that a server was silent for far longer than usual, on a direct connection or not.
    pub(crate) fn record_silence(&self, is_direct: bool) {
        if is_direct {
            let now = self.clock.now();
            self.server_paths.borrow_mut().record_silence(now);
        }
    }

    /// Probes the direct ways while other hosts are used instead. Runs until the process ends.
    pub(crate) async fn probe_servers(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(PROBE_POLL_INTERVAL).await;
            let due: Option<BackendServerId> =
                self.server_paths.borrow_mut().due_probe(self.clock.now());
            let Some(server) = due.and_then(|id| self.directory.borrow().get(&id).cloned()) else {
                continue;
            };
            let gateway = Rc::clone(&self);
            actix_rt::spawn(async move {
                match net::connect(server.address, PROBE_TIMEOUT, ConnectionUse::Servers).await {
                    Ok(_) => gateway.record_direct_connection(&server),
                    Err(error) => {
                        log::debug!("server {} is not reached directly: {error:#}", server.id)
                    }
                }
            });
        }
    }
}
