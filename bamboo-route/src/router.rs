//! The router of one host: server selection, retries and request accounting.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_config::Limits;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::BackendServerId;
use bamboo_types::CallerId;
use bamboo_types::ModelId;
use bamboo_types::RequestId;
use bamboo_types::Timestamp;
use bamboo_types::rendezvous_weight;
use slotmap::SlotMap;

use crate::CallerLimiter;
use crate::Candidate;
use crate::ChoiceOptions;
use crate::Ejection;
use crate::RetryBudget;
use crate::choose;

/// Load, as a multiple of the capacity, at which a server is no longer selected.
const OVERLOAD_THRESHOLD: f64 = 1.5;
/// Maximum number of attempts per request.
const ATTEMPTS_MAX: usize = 3;
/// Retry delay sent to callers when all servers are overloaded or the server refused the request.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay sent to callers when no server is usable.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(3);
/// How long a load report of a server owner stays valid.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(3);

/// Destination of a request: what a server must serve to receive it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model served by an engine.
    Model(ModelId),
    /// A plain service.
    Service(String),
}

/// An entry of the router's server table.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteServer {
    /// Server name.
    pub name: BackendServerId,
    /// Address as `ip:port`.
    pub address: String,
    /// Models or plain services that the server provides.
    pub targets: Vec<Target>,
    /// Requests that the server runs concurrently.
    pub capacity: u32,
    /// Whether the server may receive new requests.
    pub is_usable: bool,
}

/// One online request.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// Request id.
    pub id: RequestId,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Serving resource or plain service whose limits apply.
    pub resource: String,
    /// Limits that apply to the caller, if any.
    pub limits: Option<Limits>,
    /// Model or plain service that the request asks for.
    pub target: Target,
    /// Hash of the prompt's prefix, for prefix-aware policies.
    pub prefix: Option<u64>,
    /// Expected number of tokens in the prompt and the answer.
    pub token_count: f64,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
    /// Whether the request is idempotent and may be retried when its outcome is unknown.
    pub is_idempotent: bool,
}

/// Outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnlineEnd {
    /// The complete answer was forwarded to the caller.
    Whole,
    /// The server received no byte of the request, or refused it before running it.
    NotRun {
        /// What happened.
        reason: String,
    },
    /// The server received the request but returned no complete answer, and nothing was forwarded to the caller.
    Unknown {
        /// Code returned to the caller if the request is not retried.
        code: Code,
        /// What happened.
        reason: String,
    },
    /// The answer failed after part of it was forwarded to the caller.
    Broken,
    /// The caller disconnected.
    CallerGone,
}

/// One attempt to send a request to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Server that receives the request.
    pub server: BackendServerId,
    /// Address of the server.
    pub address: String,
    /// Number of the attempt, starting at 1.
    pub number: usize,
}

/// Routing decision for a new request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteStep {
    /// Send the request to a server.
    Send(Attempt),
    /// Refuse the request without sending it.
    Refuse(ApiError),
}

/// Decision after an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndStep {
    /// The request is finished: the caller has its answer or has disconnected.
    Done,
    /// Retry on another server.
    Send(Attempt),
    /// Return the error to the caller.
    Refuse(ApiError),
}

#[derive(Debug)]
struct InFlight {
    request: OnlineRequest,
    tried: Vec<BackendServerId>,
}

slotmap::new_key_type! {
    /// Key of a server in the router's table.
    struct ServerKey;
}

/// A server and its load as known to this host.
#[derive(Debug)]
struct ServerState {
    server: RouteServer,
    local_in_flight: u32,
    load_report: Option<LoadReport>,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    remote_in_flight: u32,
    batch_count: u32,
    reported_at: Timestamp,
}

/// Routing state of one host.
#[derive(Debug, Default)]
pub struct Router {
    options: ChoiceOptions,
    servers: SlotMap<ServerKey, ServerState>,
    by_name: BTreeMap<BackendServerId, ServerKey>,
    by_target: BTreeMap<Target, Vec<ServerKey>>,
    in_flight: BTreeMap<RequestId, InFlight>,
    limiters: BTreeMap<(String, CallerId), CallerLimiter>,
    ejection: Ejection,
    retry_budget: RetryBudget,
    host_count: usize,
}

impl Router {
    /// Creates a router without servers.
    ///
    /// ```
    /// let router = bamboo_route::Router::new(bamboo_route::ChoiceOptions::default());
    /// assert_eq!(router.in_flight_count(), 0);
    /// ```
    pub fn new(options: ChoiceOptions) -> Self {
        Router {
            options,
            host_count: 1,
            ..Router::default()
        }
    }

    /// Replaces the server table. Requests in flight are unaffected: a removed server receives no new requests and
    /// stays in the table until its requests have ended.
    pub fn set_servers(&mut self, servers: Vec<RouteServer>, host_count: usize) {
        self.host_count = host_count.max(1);
        let names: BTreeSet<&str> = servers.iter().map(|server| server.name.as_str()).collect();
        for (_, state) in &mut self.servers {
            if !names.contains(state.server.name.as_str()) {
                state.server.is_usable = false;
                state.server.targets.clear();
            }
        }
        for server in servers {
            match self.by_name.get(&server.name) {
                Some(key) => {
                    if let Some(state) = self.servers.get_mut(*key) {
                        state.server = server;
                    }
                }
                None => {
                    let name = server.name.clone();
                    let key = self.servers.insert(ServerState {
                        server,
                        local_in_flight: 0,
                        load_report: None,
                    });
                    self.by_name.insert(name, key);
                }
            }
        }
        self.remove_drained();
        self.index_by_target();
    }

    /// Removes servers that left the table and have no requests in flight.
    fn remove_drained(&mut self) {
        let by_name = &mut self.by_name;
        self.servers.retain(|_, state| {
            let is_kept = state.server.is_usable
                || state.local_in_flight > 0
                || !state.server.targets.is_empty();
            if !is_kept {
                by_name.remove(&state.server.name);
            }
            is_kept
        });
    }

    /// Rebuilds the list of servers per target. The rendezvous order makes all hosts list the servers alike.
    fn index_by_target(&mut self) {
        self.by_target.clear();
        for (key, state) in &self.servers {
            for target in &state.server.targets {
                self.by_target.entry(target.clone()).or_default().push(key);
            }
        }
        let servers = &self.servers;
        for (target, keys) in &mut self.by_target {
            let name = target_name(target);
            keys.sort_by_cached_key(|key| {
                let server = servers
                    .get(*key)
                    .map_or("", |state| state.server.name.as_str());
                Reverse((rendezvous_weight(server, name), server.to_owned()))
            });
        }
    }

    /// Applies a load report of a server owner, which counts the requests of all hosts on the server.
    pub fn update_load(
        &mut self,
        now: Timestamp,
        server: &str,
        online_count: u32,
        batch_count: u32,
    ) {
        if let Some(state) = self.state_mut(server) {
            let remote_in_flight = online_count.saturating_sub(state.local_in_flight);
            state.load_report = Some(LoadReport {
                remote_in_flight,
                batch_count,
                reported_at: now,
            });
        }
    }

    /// Selects a server for a new request, or refuses the request.
    pub fn route(&mut self, now: Timestamp, request: OnlineRequest, random: u64) -> RouteStep {
        if now >= request.deadline {
            return RouteStep::Refuse(ApiError::new(
                Code::DeadlinePassed,
                "the deadline has passed",
            ));
        }
        let server = match self.select_server(now, &request, &[], random) {
            Ok(server) => server,
            Err(error) => return RouteStep::Refuse(error),
        };
        if let Some(limits) = request.limits
            && let Err(error) = self.acquire_limits(now, &request, limits)
        {
            return RouteStep::Refuse(error);
        }
        let id = request.id;
        self.in_flight.insert(
            id,
            InFlight {
                request,
                tried: Vec::new(),
            },
        );
        RouteStep::Send(self.start_attempt(id, server))
    }

    /// Records the outcome of an attempt and decides whether to retry.
    ///
    /// An attempt that did not run is always safe to retry; one with an unknown outcome is retried only if the
    /// request is idempotent.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        end: OnlineEnd,
        random: u64,
    ) -> EndStep {
        let Some(server) = self.release_attempt(request) else {
            return EndStep::Done;
        };
        match end {
            OnlineEnd::Whole => {
                self.ejection.record_success(&server);
                self.retry_budget.deposit();
                self.finish_request(request);
                EndStep::Done
            }
            OnlineEnd::CallerGone => {
                self.finish_request(request);
                EndStep::Done
            }
            OnlineEnd::Broken => {
                self.ejection.record_failure(now, &server);
                self.finish_request(request);
                EndStep::Done
            }
            OnlineEnd::NotRun { reason } => {
                self.ejection.record_failure(now, &server);
                let error =
                    ApiError::with_retry_after(Code::ServerRefused, reason, OVERLOAD_RETRY_AFTER);
                self.retry_or_refuse(now, request, error, random)
            }
            OnlineEnd::Unknown { code, reason } => {
                self.ejection.record_failure(now, &server);
                let error = ApiError::new(code, reason);
                let may_retry = self
                    .in_flight
                    .get(&request)
                    .is_some_and(|in_flight| in_flight.request.is_idempotent);
                if may_retry {
                    return self.retry_or_refuse(now, request, error, random);
                }
                self.finish_request(request);
                EndStep::Refuse(error)
            }
        }
    }

    /// Returns the number of requests that this host has in flight on a server.
    pub fn local_in_flight(&self, server: &str) -> u32 {
        let key = self.by_name.get(server);
        key.and_then(|key| self.servers.get(*key))
            .map_or(0, |state| state.local_in_flight)
    }

    /// Returns the servers on which this host has requests in flight, with their number.
    pub fn busy_servers(&self) -> impl Iterator<Item = (&BackendServerId, u32)> {
        let busy = self
            .servers
            .values()
            .filter(|state| state.local_in_flight > 0);
        busy.map(|state| (&state.server.name, state.local_in_flight))
    }

    /// Returns the number of requests that this host has in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the server of the request's current attempt.
    pub fn server_of(&self, request: RequestId) -> Option<&str> {
        self.in_flight
            .get(&request)?
            .tried
            .last()
            .map(String::as_str)
    }

    fn retry_or_refuse(
        &mut self,
        now: Timestamp,
        id: RequestId,
        error: ApiError,
        random: u64,
    ) -> EndStep {
        let Some(in_flight) = self.in_flight.get(&id) else {
            return EndStep::Refuse(error);
        };
        let request = in_flight.request.clone();
        let tried = in_flight.tried.clone();
        let may_retry = tried.len() < ATTEMPTS_MAX && now < request.deadline;
        if may_retry
            && let Ok(server) = self.select_server(now, &request, &tried, random)
            && self.retry_budget.try_withdraw()
        {
            return EndStep::Send(self.start_attempt(id, server));
        }
        self.finish_request(id);
        EndStep::Refuse(error)
    }

    fn select_server(
        &self,
        now: Timestamp,
        request: &OnlineRequest,
        tried: &[BackendServerId],
        random: u64,
    ) -> Result<BackendServerId, ApiError> {
        let keys = self
            .by_target
            .get(&request.target)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let usable: Vec<&ServerState> = keys
            .iter()
            .filter_map(|key| self.servers.get(*key))
            .filter(|state| state.server.is_usable && !tried.contains(&state.server.name))
            .collect();
        let usable = self
            .ejection
            .without_ejected(now, usable, |state| &state.server.name);
        if usable.is_empty() {
            let message = format!("no usable server for {}", target_name(&request.target));
            return Err(ApiError::with_retry_after(
                Code::NoServer,
                message,
                NO_SERVER_RETRY_AFTER,
            ));
        }
        let candidates: Vec<Candidate<'_>> = usable
            .into_iter()
            .map(|state| candidate(now, state))
            .filter(|candidate| candidate.load() < OVERLOAD_THRESHOLD)
            .collect();
        let scope = target_name(&request.target);
        match choose(&candidates, &self.options, scope, request.prefix, random) {
            Some(index) => Ok(candidates[index].name.to_owned()),
            None => Err(ApiError::with_retry_after(
                Code::Overloaded,
                "every server is full",
                OVERLOAD_RETRY_AFTER,
            )),
        }
    }

    fn start_attempt(&mut self, id: RequestId, server: BackendServerId) -> Attempt {
        let address = match self.state_mut(&server) {
            Some(state) => {
                state.local_in_flight += 1;
                state.server.address.clone()
            }
            None => String::new(),
        };
        let number = match self.in_flight.get_mut(&id) {
            Some(in_flight) => {
                in_flight.tried.push(server.clone());
                in_flight.tried.len()
            }
            None => 1,
        };
        Attempt {
            server,
            address,
            number,
        }
    }

    fn release_attempt(&mut self, id: RequestId) -> Option<BackendServerId> {
        let server = self.in_flight.get(&id)?.tried.last()?.clone();
        if let Some(state) = self.state_mut(&server) {
            state.local_in_flight = state.local_in_flight.saturating_sub(1);
        }
        Some(server)
    }

    fn state_mut(&mut self, server: &str) -> Option<&mut ServerState> {
        let key = self.by_name.get(server)?;
        self.servers.get_mut(*key)
    }

    fn finish_request(&mut self, id: RequestId) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        if let Some(limiter) = self
            .limiters
            .get_mut(&(in_flight.request.resource, in_flight.request.caller))
        {
            limiter.release();
        }
    }

    fn acquire_limits(
        &mut self,
        now: Timestamp,
        request: &OnlineRequest,
        limits: Limits,
    ) -> Result<(), ApiError> {
        let host_count = self.host_count;
        let limiter_key = (request.resource.clone(), request.caller.clone());
        let limiter = self
            .limiters
            .entry(limiter_key)
            .or_insert_with(|| CallerLimiter::new(limits, host_count));
        if !limiter.is_current(&limits, host_count) {
            let mut replacement = CallerLimiter::new(limits, host_count);
            replacement.carry_over_in_flight(limiter);
            *limiter = replacement;
        }
        limiter.acquire(now, request.token_count)
    }
}

fn candidate(now: Timestamp, state: &ServerState) -> Candidate<'_> {
    let load_report = state
        .load_report
        .filter(|report| now.saturating_sub(report.reported_at) < LOAD_REPORT_TTL);
    Candidate {
        name: &state.server.name,
        online_count: state.local_in_flight
            + load_report.map_or(0, |report| report.remote_in_flight),
        batch_count: load_report.map_or(0, |report| report.batch_count),
        capacity: state.server.capacity,
    }
}

fn target_name(target: &Target) -> &str {
    match target {
        Target::Model(name) | Target::Service(name) => name,
    }
}
