//! Takes failing servers out for a while, but never too many.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::Now;

/// Consecutive failures that eject a server.
const FAILURES_TO_EJECT: u32 = 3;
/// First time out.
const EJECTION_MIN: Duration = Duration::from_secs(1);
/// Longest time out.
const EJECTION_MAX: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Now,
}

/// Health of servers as this host sees it.
#[derive(Debug, Default)]
pub struct Ejection {
    servers: BTreeMap<BackendServerId, Health>,
}

impl Ejection {
    /// Notes a whole answer.
    pub fn record_success(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Notes a failure of the server; tells whether it is out now.
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
    pub fn record_failure(&mut self, now: Now, server: &str) -> bool {
        let health = self.servers.entry(server.to_owned()).or_default();
        health.consecutive_failures += 1;
        if health.consecutive_failures < FAILURES_TO_EJECT {
            return false;
        }
        let duration = EJECTION_MIN
            .saturating_mul(1 << health.ejections.min(5))
            .min(EJECTION_MAX);
        health.ejected_until = now + duration;
        health.ejections += 1;
        // One further failure after the return ejects again.
        health.consecutive_failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Whether the server is out.
    pub fn is_ejected(&self, now: Now, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|health| now < health.ejected_until)
    }

    /// Keeps the servers that are in. If more than half would be out, the failures say nothing about single
    /// servers, and all are kept.
    pub fn without_ejected<T, F>(&self, now: Now, servers: Vec<T>, name: F) -> Vec<T>
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
