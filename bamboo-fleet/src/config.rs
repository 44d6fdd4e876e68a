//! The configuration in force: routes, services and limits of one version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Name of a service.
pub type ServiceId = String;

/// What a route carries, and what may be repeated.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    NonIdempotent,
    /// Answers that are event streams.
    Streaming {
        /// Whether another server can go on after the last event that arrived.
        is_resumable: bool,
        /// Longest pause between events of an answer that is on time.
        gap_target: Duration,
    },
    /// Jobs of many items that run later.
    Batch {
        /// Tokens that may wait on the route over all hosts; 0 for no limit.
        waiting_max_tokens: u64,
        /// Time from submission to the last result.
        completion_target: Duration,
        /// Time from submission after which an item may be given up.
        retention: Duration,
    },
}

/// A service that a route sends to, with its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share, relative to the other targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// `Host` header of its requests.
    pub host: String,
    /// Start of its paths.
    pub path_prefix: String,
    /// What it carries.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is on time.
    pub target_latency: Duration,
    /// Rank, 0 first.
    pub priority: u32,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Backend servers to which one request may be sent.
    pub attempts_max: u32,
}

impl Route {
    /// Picks the service of one request; `random` is any number, evenly distributed.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::{Route, RouteKind, Target};
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), path_prefix: "/".into(), kind: RouteKind::Idempotent,
    ///     timeout: None, target_latency: Duration::ZERO, priority: 0, attempts_max: 1,
    ///     targets: vec![Target { service: "a".into(), weight: 9 }, Target { service: "b".into(), weight: 1 }],
    /// };
    /// assert_eq!(route.pick_service(8).unwrap(), "a");
    /// assert_eq!(route.pick_service(9).unwrap(), "b");
    /// ```
    pub fn pick_service(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = random % total.max(1);
        for target in &self.targets {
            if remaining < u64::from(target.weight) {
                return Some(&target.service);
            }
            remaining -= u64::from(target.weight);
        }
        self.targets.first().map(|target| &target.service)
    }
}

/// What is known of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that one engine runs at once.
    pub slots: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one server accepts from all hosts together.
    pub connections_max: u32,
    /// Set if its servers are model engines.
    pub engine: Option<EngineProfile>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Size of the headers of a request.
    pub header_max_bytes: usize,
    /// Size of the body of a request.
    pub body_max_bytes: usize,
    /// Time for sending the headers.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds for the time before any configuration is known.
    fn default() -> Self {
        Limits {
            header_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Version; higher is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Bounds on callers.
    pub limits: Limits,
}

impl FleetConfig {
    /// The route of a request: of the routes of its host, the one with the longest prefix of its path.
    ///
    /// ```
    /// assert!(bamboo_fleet::FleetConfig::default().find_route("host", "/a").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Whether a service consists of model engines.
    ///
    /// ```
    /// assert!(!bamboo_fleet::FleetConfig::default().has_engines("ledger"));
    /// ```
    pub fn has_engines(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|service| service.engine.is_some())
    }
}
