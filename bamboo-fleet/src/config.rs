//! Routing configuration: the routes, services and limits of one version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::Workspaces;

/// Name of a service.
pub type ServiceId = String;

/// Time without an event that every caller of a stream waits at least.
const EVENT_WAIT_MIN: Duration = Duration::from_secs(2);

/// Type of the traffic on a route, which decides whether requests may be retried.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteKind {
    /// Requests that may be executed more than once.
    Idempotent,
    /// Requests that must be executed at most once.
    NonIdempotent,
    /// Requests whose responses are event streams.
    Streaming {
        /// Whether another server can resume a stream after the last event that was received.
        is_resumable: bool,
        /// Target for the longest gap between two events of a response.
        gap_target: Duration,
    },
    /// Jobs of many items that are processed asynchronously.
    Batch {
        /// Limit on the waiting tokens of the route, summed over all hosts; 0 for no limit.
        waiting_max_tokens: u64,
        /// Target for the time from submission to the last result.
        completion_target: Duration,
        /// Time from submission after which an item without a result is given up.
        retention: Duration,
    },
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// `Host` header of its requests.
    pub host: String,
    /// Prefix of the paths that it matches.
    pub path_prefix: String,
    /// Type of its traffic.
    pub kind: RouteKind,
    /// Maximum time for a request; `None` if the route sets no limit of its own.
    pub timeout: Option<Duration>,
    /// Target for the latency of a response.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that its requests are distributed over.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that one request is sent to, the first attempt included.
    pub attempts_max: u32,
    /// Whether its requests need no key of a workspace.
    pub is_public: bool,
}

impl Route {
    /// Picks the service of one request by weight. `random` must be uniformly distributed.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::{Route, RouteKind, Target};
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), path_prefix: "/".into(), kind: RouteKind::Idempotent,
    ///     timeout: None, target_latency: Duration::ZERO, priority: 0, attempts_max: 1, is_public: false,
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

    /// Whether requests may go to a service.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::{Route, RouteKind, Target};
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), path_prefix: "/".into(), kind: RouteKind::Idempotent,
    ///     timeout: None, target_latency: Duration::ZERO, priority: 0, attempts_max: 1, is_public: false,
    ///     targets: vec![Target { service: "a".into(), weight: 9 }, Target { service: "b".into(), weight: 0 }],
    /// };
    /// assert!(route.leads_to("a"));
    /// assert!(!route.leads_to("b"));
    /// ```
    pub fn leads_to(&self, service: &str) -> bool {
        let has_weights = self.targets.iter().any(|target| target.weight > 0);
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == service && (target.weight > 0 || !has_weights))
    }

    /// Longest time without an event that callers wait for a stream; `None` if the route's responses are no streams.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::{Route, RouteKind};
    /// let (target_latency, gap_target) = (Duration::from_millis(300), Duration::from_millis(400));
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), path_prefix: "/".into(),
    ///     kind: RouteKind::Streaming { is_resumable: true, gap_target },
    ///     timeout: None, target_latency, priority: 0, attempts_max: 1, is_public: false, targets: Vec::new(),
    /// };
    /// assert_eq!(route.event_wait_max(), Some(Duration::from_millis(3_200)));
    /// ```
    pub fn event_wait_max(&self) -> Option<Duration> {
        let RouteKind::Streaming { gap_target, .. } = self.kind else {
            return None;
        };
        let wait_max = self.target_latency.saturating_mul(4);
        Some(
            EVENT_WAIT_MIN
                .max(wait_max)
                .max(gap_target.saturating_mul(8)),
        )
    }

    /// Whether jobs are submitted on the route.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use bamboo_fleet::{Route, RouteKind};
    /// let route = Route {
    ///     name: "r".into(), host: "h".into(), path_prefix: "/".into(), kind: RouteKind::Idempotent,
    ///     timeout: None, target_latency: Duration::ZERO, priority: 0, attempts_max: 1, is_public: false, targets: Vec::new(),
    /// };
    /// assert!(!route.is_batch());
    /// ```
    pub fn is_batch(&self) -> bool {
        matches!(self.kind, RouteKind::Batch { .. })
    }
}

/// Properties of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
}

/// A service and the limits of its servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections to one server, summed over all hosts.
    pub connections_max: u32,
    /// Properties of its engines; `None` if its servers are not model engines.
    pub engine: Option<EngineProfile>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of the headers of a request.
    pub header_max_bytes: usize,
    /// Maximum size of the body of a request.
    pub body_max_bytes: usize,
    /// Time within which a caller must have sent the headers.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until a configuration has been received.
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
    /// Version number; higher is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Workspaces of callers; `None` if callers need no key.
    pub workspaces: Option<Workspaces>,
}

impl FleetConfig {
    /// Finds the route of a request: of those for its host, the one with the longest prefix of its path.
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

    /// Finds the route of an accepted job by the name that the route had then. The paths of its items are those of its servers, so
    /// that a route for online requests may match them, or none. A batch route that matches the path of an item stands in for one
    /// that was renamed.
    ///
    /// ```
    /// let config = bamboo_fleet::FleetConfig::default();
    /// assert!(config.find_job_route("host", "batch", "/v1/generate").is_none());
    /// ```
    pub fn find_job_route(&self, host: &str, name: &str, item_path: &str) -> Option<&Rc<Route>> {
        let mut routes = self.routes.iter();
        let named = routes.find(|route| route.host == host && route.name == name);
        named.or_else(|| {
            let matching = self.find_route(host, item_path);
            matching.filter(|route| route.is_batch())
        })
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
