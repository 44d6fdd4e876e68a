//! Batch routes of earlier configurations. Jobs that were accepted on them outlive them.

use std::time::Duration;

use crate::FleetConfig;

/// A batch route that a configuration had.
#[derive(Debug)]
struct FormerRoute {
    host: String,
    path_prefix: String,
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
}
