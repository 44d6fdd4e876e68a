//! Outlier ejection: excludes failing servers from selection for a limited time, unless most servers are failing.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::Timestamp;

/// Consecutive failures after which a server is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection; each further ejection doubles it.
const EJECTION_INITIAL: Duration = Duration::from_secs(1);
/// Upper bound on the duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
}

/// Server health as observed by this host.
#[derive(Debug, Default)]
pub struct Ejection {
    servers: BTreeMap<BackendServerId, Health>,
}

impl Ejection {
    /// Records a complete answer, which resets the server's failures and its ejection backoff.
    pub fn record_success(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Records a failure of the server and returns whether it ejects the server.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut ejection = bamboo_route::Ejection::default();
    /// assert!(!ejection.record_failure(Duration::ZERO, "s1"));
    /// assert!(!ejection.record_failure(Duration::ZERO, "s1"));
    /// assert!(ejection.record_failure(Duration::ZERO, "s1"));
    /// assert!(ejection.is_ejected(Duration::ZERO, "s1"));
    /// assert!(!ejection.is_ejected(Duration::from_secs(1), "s1"));
    /// ```
    pub fn record_failure(&mut self, now: Timestamp, server: &str) -> bool {
        let health = self.servers.entry(server.to_owned()).or_default();
        health.consecutive_failures += 1;
        if health.consecutive_failures < EJECTION_THRESHOLD {
            return false;
        }
        let duration = EJECTION_INITIAL
            .saturating_mul(1 << health.ejections.min(5))
            .min(EJECTION_MAX);
        health.ejected_until = now + duration;
        health.ejections += 1;
        // After the ejection ends, a single further failure ejects the server again.
        health.consecutive_failures = EJECTION_THRESHOLD - 1;
        true
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: Timestamp, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|health| now < health.ejected_until)
    }

    /// Removes ejected servers from the list. If more than half of the listed servers are ejected, the cause is
    /// unlikely to be a single server, and the list is returned unchanged.
    pub fn without_ejected<T, F>(&self, now: Timestamp, servers: Vec<T>, name: F) -> Vec<T>
    where
        F: Fn(&T) -> &str,
    {
        if self.servers.is_empty() {
            return servers;
        }
        let ejected_count = servers
            .iter()
            .filter(|server| self.is_ejected(now, name(server)))
            .count();
        if ejected_count * 2 > servers.len() {
            return servers;
        }
        servers
            .into_iter()
            .filter(|server| !self.is_ejected(now, name(server)))
            .collect()
    }
}
