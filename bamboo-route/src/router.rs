//! The router of one host.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_config::Limits;
use bamboo_result::Code;
use bamboo_result::Refusal;
use bamboo_types::BackendServerId;
use bamboo_types::CallerId;
use bamboo_types::ModelId;
use bamboo_types::Now;
use bamboo_types::RequestId;

use crate::CallerLimits;
use crate::Candidate;
use crate::ChoiceOptions;
use crate::Ejection;
use crate::RetryBudget;
use crate::choose;

/// Load from which on a server takes no further request.
const OVERLOAD_SHARE: f64 = 1.5;
/// Most attempts of one request.
const ATTEMPTS_MAX: usize = 3;
/// When a caller should come back after an overload.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When a caller should come back if no server is usable.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(3);
/// How long an owner's count is believed.
const NOTICE_LIFETIME: Duration = Duration::from_secs(3);

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model on an engine.
    Model(ModelId),
    /// A plain service.
    Service(String),
}

/// A server as the router sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteServer {
    /// Name.
    pub server: BackendServerId,
    /// Address as `ip:port`.
    pub address: String,
    /// What it serves.
    pub targets: Vec<Target>,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Whether it gets new work.
    pub is_usable: bool,
}

/// One online request.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// Identity.
    pub request: RequestId,
    /// Who sent it.
    pub caller: CallerId,
    /// Serving resource or plain service whose limits apply.
    pub resource: String,
    /// Limits in force for the caller, if any.
    pub limits: Option<Limits>,
    /// What it is for.
    pub target: Target,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Expected tokens of prompt and answer.
    pub token_count: f64,
    /// Time by which the answer must have ended.
    pub deadline: Now,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnlineEnd {
    /// The whole answer was passed on.
    Whole,
    /// The server did not get a byte, or refused before work.
    NotRun {
        /// What happened.
        reason: String,
    },
    /// The server got the request and no whole answer came; nothing was passed on to the caller yet.
    Unknown {
        /// The code for the caller if the request is not repeated.
        code: Code,
        /// What happened.
        reason: String,
    },
    /// The answer broke after a part of it was passed on.
    Broken,
    /// The caller went away.
    CallerGone,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Server.
    pub server: BackendServerId,
    /// Its address.
    pub address: String,
    /// Number of the attempt, from 1.
    pub number: usize,
}

/// What to do with a request that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteStep {
    /// Send it.
    Send(Attempt),
    /// Answer at once.
    Refuse(Refusal),
}

/// What to do after an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndStep {
    /// Nothing; the caller has its answer or is gone.
    Done,
    /// Send again.
    Send(Attempt),
    /// Tell the caller.
    Refuse(Refusal),
}

#[derive(Debug)]
struct InFlight {
    request: OnlineRequest,
    tried: Vec<BackendServerId>,
}

#[derive(Debug, Clone, Copy)]
struct Notice {
    elsewhere_count: u32,
    batch_count: u32,
    at: Now,
}

/// Routing state of one host.
#[derive(Debug, Default)]
pub struct Router {
    options: ChoiceOptions,
    servers: BTreeMap<BackendServerId, RouteServer>,
    own_counts: BTreeMap<BackendServerId, u32>,
    notices: BTreeMap<BackendServerId, Notice>,
    in_flight: BTreeMap<RequestId, InFlight>,
    limits: BTreeMap<(String, CallerId), CallerLimits>,
    ejection: Ejection,
    retries: RetryBudget,
    host_count: usize,
}

impl Router {
    /// A router without servers.
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

    /// Replaces the table of servers. Requests in flight are not touched.
    pub fn set_servers(&mut self, servers: Vec<RouteServer>, host_count: usize) {
        self.servers = servers
            .into_iter()
            .map(|server| (server.server.clone(), server))
            .collect();
        self.host_count = host_count.max(1);
        self.notices
            .retain(|server, _| self.servers.contains_key(server));
    }

    /// Takes a server owner's count of all requests on a server.
    pub fn notice(&mut self, now: Now, server: &str, online_count: u32, batch_count: u32) {
        let own = self.own_count(server);
        let notice = Notice {
            elsewhere_count: online_count.saturating_sub(own),
            batch_count,
            at: now,
        };
        self.notices.insert(server.to_owned(), notice);
    }

    /// Routes a request that arrived.
    pub fn arrived(&mut self, now: Now, request: OnlineRequest, random: u64) -> RouteStep {
        if now >= request.deadline {
            return RouteStep::Refuse(Refusal::new(
                Code::DeadlinePassed,
                "the deadline has passed",
            ));
        }
        let server = match self.pick(now, &request, &[], random) {
            Ok(server) => server,
            Err(refusal) => return RouteStep::Refuse(refusal),
        };
        if let Some(limits) = request.limits
            && let Err(refusal) = self.take_limits(now, &request, limits)
        {
            return RouteStep::Refuse(refusal);
        }
        let id = request.request;
        self.in_flight.insert(
            id,
            InFlight {
                request,
                tried: Vec::new(),
            },
        );
        RouteStep::Send(self.begin(id, server))
    }

    /// Takes the end of an attempt and decides what the caller gets.
    pub fn ended(&mut self, now: Now, request: RequestId, end: OnlineEnd, random: u64) -> EndStep {
        let Some(server) = self.end_attempt(request) else {
            return EndStep::Done;
        };
        match end {
            OnlineEnd::Whole => {
                self.ejection.succeeded(&server);
                self.retries.succeeded();
                self.finish(request);
                EndStep::Done
            }
            OnlineEnd::CallerGone => {
                self.finish(request);
                EndStep::Done
            }
            OnlineEnd::Broken => {
                self.ejection.failed(now, &server);
                self.finish(request);
                EndStep::Done
            }
            OnlineEnd::NotRun { reason } => {
                self.ejection.failed(now, &server);
                let refusal = Refusal::retry(Code::ServerRefused, reason, OVERLOAD_RETRY_AFTER);
                self.retry_or(now, request, refusal, random)
            }
            OnlineEnd::Unknown { code, reason } => {
                self.ejection.failed(now, &server);
                let refusal = Refusal::new(code, reason);
                let may_repeat = self
                    .in_flight
                    .get(&request)
                    .is_some_and(|found| found.request.is_idempotent);
                if may_repeat {
                    return self.retry_or(now, request, refusal, random);
                }
                self.finish(request);
                EndStep::Refuse(refusal)
            }
        }
    }

    /// Online requests of this host on a server.
    pub fn own_count(&self, server: &str) -> u32 {
        self.own_counts.get(server).copied().unwrap_or(0)
    }

    /// Servers with requests of this host.
    pub fn busy_servers(&self) -> impl Iterator<Item = (&BackendServerId, u32)> {
        self.own_counts
            .iter()
            .map(|(server, count)| (server, *count))
    }

    /// Online requests of this host.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Server that a request is on.
    pub fn server_of(&self, request: RequestId) -> Option<&str> {
        self.in_flight
            .get(&request)?
            .tried
            .last()
            .map(String::as_str)
    }

    /// Whether any server is known for a target.
    pub fn has_target(&self, target: &Target) -> bool {
        self.servers
            .values()
            .any(|server| server.targets.contains(target))
    }

    fn retry_or(&mut self, now: Now, id: RequestId, refusal: Refusal, random: u64) -> EndStep {
        let Some(found) = self.in_flight.get(&id) else {
            return EndStep::Refuse(refusal);
        };
        let request = found.request.clone();
        let tried = found.tried.clone();
        let is_worth_it = tried.len() < ATTEMPTS_MAX && now < request.deadline;
        if is_worth_it
            && let Ok(server) = self.pick(now, &request, &tried, random)
            && self.retries.try_take()
        {
            return EndStep::Send(self.begin(id, server));
        }
        self.finish(id);
        EndStep::Refuse(refusal)
    }

    fn pick(
        &self,
        now: Now,
        request: &OnlineRequest,
        tried: &[BackendServerId],
        random: u64,
    ) -> Result<BackendServerId, Refusal> {
        let usable: Vec<&RouteServer> = self
            .servers
            .values()
            .filter(|server| server.is_usable && server.targets.contains(&request.target))
            .filter(|server| !tried.contains(&server.server))
            .collect();
        let usable = self.ejection.filter(now, usable, |server| &server.server);
        if usable.is_empty() {
            let message = format!("no usable server for {}", target_name(&request.target));
            return Err(Refusal::retry(
                Code::NoServer,
                message,
                NO_SERVER_RETRY_AFTER,
            ));
        }
        let candidates: Vec<Candidate<'_>> = usable
            .iter()
            .map(|server| self.candidate(now, server))
            .filter(|candidate| candidate.load() < OVERLOAD_SHARE)
            .collect();
        let scope = target_name(&request.target);
        match choose(&candidates, &self.options, scope, request.prefix, random) {
            Some(index) => Ok(candidates[index].server.to_owned()),
            None => Err(Refusal::retry(
                Code::Overloaded,
                "every server is full",
                OVERLOAD_RETRY_AFTER,
            )),
        }
    }

    fn candidate<'server>(&self, now: Now, server: &'server RouteServer) -> Candidate<'server> {
        let notice = self
            .notices
            .get(&server.server)
            .filter(|notice| now.saturating_sub(notice.at) < NOTICE_LIFETIME);
        Candidate {
            server: &server.server,
            online_count: self.own_count(&server.server)
                + notice.map_or(0, |notice| notice.elsewhere_count),
            batch_count: notice.map_or(0, |notice| notice.batch_count),
            capacity: server.capacity,
        }
    }

    fn begin(&mut self, id: RequestId, server: BackendServerId) -> Attempt {
        *self.own_counts.entry(server.clone()).or_default() += 1;
        let address = self
            .servers
            .get(&server)
            .map(|found| found.address.clone())
            .unwrap_or_default();
        let number = match self.in_flight.get_mut(&id) {
            Some(found) => {
                found.tried.push(server.clone());
                found.tried.len()
            }
            None => 1,
        };
        Attempt {
            server,
            address,
            number,
        }
    }

    fn end_attempt(&mut self, id: RequestId) -> Option<BackendServerId> {
        let server = self.in_flight.get(&id)?.tried.last()?.clone();
        if let Some(count) = self.own_counts.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.own_counts.remove(&server);
            }
        }
        Some(server)
    }

    fn finish(&mut self, id: RequestId) {
        let Some(found) = self.in_flight.remove(&id) else {
            return;
        };
        if let Some(limits) = self
            .limits
            .get_mut(&(found.request.resource, found.request.caller))
        {
            limits.ended();
        }
    }

    fn take_limits(
        &mut self,
        now: Now,
        request: &OnlineRequest,
        limits: Limits,
    ) -> Result<(), Refusal> {
        let host_count = self.host_count;
        let name = (request.resource.clone(), request.caller.clone());
        let used = self
            .limits
            .entry(name)
            .or_insert_with(|| CallerLimits::new(limits, host_count));
        if !used.is_current(&limits, host_count) {
            let mut renewed = CallerLimits::new(limits, host_count);
            renewed.carry_over(used);
            *used = renewed;
        }
        used.take(now, request.token_count)
    }
}

fn target_name(target: &Target) -> &str {
    match target {
        Target::Model(name) | Target::Service(name) => name,
    }
}
