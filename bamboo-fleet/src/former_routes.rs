//! Batch routes of earlier configurations. Jobs that were accepted on them outlive them.

use std::time::Duration;

use crate::FleetConfig;

/// A batch route that a configuration had.
#[derive(Debug)]
struct FormerRoute {
    host: String,
    path_prefix: String,
    is_public: bool,
    replaced_at: Duration,
}

/// The batch routes of configurations that have been replaced.
#[derive(Debug, Default)]
pub struct FormerBatchRoutes {
    routes: Vec<FormerRoute>,
}

impl FormerBatchRoutes {
    /// Adds the batch routes of a configuration that is being replaced, and forgets those that were replaced more than `kept`
    /// ago. `now` is monotonic time.
    pub fn record_replaced(&mut self, config: &FleetConfig, now: Duration, kept: Duration) {
        for route in config.routes.iter().filter(|route| route.is_batch()) {
            self.routes.retain(|known| {
                (&known.host, &known.path_prefix) != (&route.host, &route.path_prefix)
            });
            self.routes.push(FormerRoute {
                host: route.host.clone(),
                path_prefix: route.path_prefix.clone(),
                is_public: route.is_public,
                replaced_at: now,
            });
        }
        self.routes
            .retain(|route| now.saturating_sub(route.replaced_at) <= kept);
    }

    /// Whether a configuration that was replaced had a batch route for this `Host`.
    ///
    /// ```
    /// assert!(!bamboo_fleet::FormerBatchRoutes::default().has_host("host"));
    /// ```
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| route.host == host)
    }

    /// Whether a configuration that was replaced had a batch route for a request.
    ///
    /// ```
    /// let former = bamboo_fleet::FormerBatchRoutes::default();
    /// assert!(!former.matches("host", "/jobs/1"));
    /// ```
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.routes
            .iter()
            .any(|route| route.host == host && path.starts_with(&route.path_prefix))
    }

    /// Whether a request on a batch route that a configuration had needs no key: all such routes of the request are public.
    ///
    /// ```
    /// let former = bamboo_fleet::FormerBatchRoutes::default();
    /// assert!(!former.is_public("host", "/jobs/1"));
    /// ```
    pub fn is_public(&self, host: &str, path: &str) -> bool {
        let routes = self.routes.iter();
        let matching =
            routes.filter(|route| route.host == host && path.starts_with(&route.path_prefix));
        are_all_public(matching.map(|route| route.is_public))
    }

    /// Whether a call about a job for this `Host` needs no key: its batch routes are public, or if a configuration has none,
    /// those that were replaced.
    ///
    /// ```
    /// let former = bamboo_fleet::FormerBatchRoutes::default();
    /// assert!(!former.job_calls_are_public(&bamboo_fleet::FleetConfig::default(), "host"));
    /// ```
    pub fn job_calls_are_public(&self, config: &FleetConfig, host: &str) -> bool {
        let routes = config.routes.iter();
        let mut present = routes
            .filter(|route| route.host == host && route.is_batch())
            .peekable();
        match present.peek() {
            Some(_) => are_all_public(present.map(|route| route.is_public)),
            None => {
                let former = self.routes.iter().filter(|route| route.host == host);
                are_all_public(former.map(|route| route.is_public))
            }
        }
    }
}

/// Whether there are routes and all of them are public.
fn are_all_public<I>(routes: I) -> bool
where
    I: Iterator<Item = bool>,
{
    let mut routes = routes.peekable();
    routes.peek().is_some() && routes.all(|is_public| is_public)
}
