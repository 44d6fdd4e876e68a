//! Limits that servers name for the requests they get.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_types::BackendServerId;
use bamboo_types::TokenBucket;
use bamboo_types::millis;
use serde::Deserialize;
use serde::Serialize;

/// Requests that a server with a limit may get at once, as the time over which its limit allows them.
const BURST_TIME: Duration = Duration::from_millis(1500);
/// Requests per 1,000 s that a server gets at least. A server that gets none could not say that its limit has ended.
const RATE_MIN_PER_1000_S: u64 = 250;
/// Time after which a statement is renewed, so that a response which is older than it does not end the limit.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which it is remembered that the limit of a server has ended.
const ENDED_KEPT_FOR: Duration = Duration::from_secs(10);

/// Rate of requests per 1,000 s.
pub type RatePer1000S = u64;

/// Parses a limit in requests per second. `None` if it is no number, or negative.
///
/// ```
/// assert_eq!(bamboo_slots::parse_limit(" 2.5 "), Some(2_500));
/// assert_eq!(bamboo_slots::parse_limit("-1"), None);
/// assert_eq!(bamboo_slots::parse_limit("NaN"), None);
/// ```
pub fn parse_limit(text: &str) -> Option<RatePer1000S> {
    let per_s: f64 = text.trim().parse().ok()?;
    // The cast saturates.
    (per_s >= 0.0).then_some((per_s * 1000.0).round() as RatePer1000S)
}

/// What a server said of its limit, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Server.
    pub server: BackendServerId,
    /// Limit for all hosts together; `None` if it has ended.
    pub limit: Option<RatePer1000S>,
    /// Time since the server said so, in milliseconds.
    pub said_ago_ms: u64,
}

/// Whether a host learned something new from a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit began, changed or ended.
    Changed,
    /// The server repeated its limit, of which the other hosts should hear from time to time.
    Renewed,
    /// Nothing that the other hosts need to know.
    None,
}

#[derive(Debug)]
struct ServerLimit {
    limit: Option<RatePer1000S>,
    said_at: Duration,
    bucket: TokenBucket,
}

impl ServerLimit {
    fn new(limit: Option<RatePer1000S>, said_at: Duration) -> Self {
        let (per_s, burst) = rate_and_burst(limit);
        ServerLimit {
            limit,
            said_at,
            bucket: TokenBucket::new_empty(said_at, per_s, burst),
        }
    }
}

/// Tokens per second, and at once.
fn rate_and_burst(limit: Option<RatePer1000S>) -> (f64, f64) {
    let per_s = limit.unwrap_or(0).max(RATE_MIN_PER_1000_S) as f64 / 1000.0;
    (per_s, (per_s * BURST_TIME.as_secs_f64()).max(1.0))
}

/// Whether a request may be sent to a server with a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// It may be sent to this server, after a wait.
    Granted {
        /// Server.
        server: BackendServerId,
        /// Time to wait before sending.
        wait: Duration,
    },
    /// No server takes it in time.
    Denied {
        /// Time until the first server would take it.
        retry_after: Duration,
    },
}

/// The limits of servers, as the newest statement of each says. A token is available for each request that a limit allows.
#[derive(Debug, Default)]
pub struct RequestLimits {
    servers: BTreeMap<BackendServerId, ServerLimit>,
}

impl RequestLimits {
    /// Records what a response to a request that was sent at `sent_at` says of the server's limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_slots::{LimitChange, RequestLimits};
    /// let mut limits = RequestLimits::default();
    /// let at = Duration::from_secs;
    /// assert_eq!(limits.observe("s", Some(2_000), at(1), at(2)), LimitChange::Changed);
    /// // The response to an earlier request does not end the limit.
    /// assert_eq!(limits.observe("s", None, at(1), at(3)), LimitChange::None);
    /// assert!(limits.is_limited("s"));
    /// assert_eq!(limits.observe("s", None, at(4), at(5)), LimitChange::Changed);
    /// assert!(!limits.is_limited("s"));
    /// ```
    pub fn observe(
        &mut self,
        server: &str,
        limit: Option<RatePer1000S>,
        sent_at: Duration,
        now: Duration,
    ) -> LimitChange {
        let Some(known) = self.servers.get_mut(server) else {
            if limit.is_some() {
                self.insert(server, limit, now);
                return LimitChange::Changed;
            }
            return LimitChange::None;
        };
        if known.limit == limit {
            let is_renewal =
                limit.is_some() && now.saturating_sub(known.said_at) >= RENEWAL_INTERVAL;
            if is_renewal {
                known.said_at = now;
                return LimitChange::Renewed;
            }
            return LimitChange::None;
        }
        let said_at = if limit.is_some() { now } else { sent_at };
        if said_at <= known.said_at {
            return LimitChange::None;
        }
        self.insert(server, limit, said_at);
        LimitChange::Changed
    }

    /// Takes over the statements of another host that are newer. Returns whether a limit has changed.
    pub fn merge(&mut self, reports: &[LimitReport], now: Duration) -> bool {
        let mut has_changed = false;
        for report in reports {
            let said_at = now.saturating_sub(Duration::from_millis(report.said_ago_ms));
            match self.servers.get_mut(&report.server) {
                Some(known) if said_at <= known.said_at => {}
                Some(known) if known.limit == report.limit => known.said_at = said_at,
                None if report.limit.is_none() => {}
                _ => {
                    self.insert(&report.server, report.limit, said_at);
                    has_changed = true;
                }
            }
        }
        has_changed
    }

    /// Records a new limit. The tokens of the one before remain, so that a limit that changes often is no burst, and no
    /// pause either.
    fn insert(&mut self, server: &str, limit: Option<RatePer1000S>, said_at: Duration) {
        let Some(known) = self.servers.get_mut(server) else {
            let limit = ServerLimit::new(limit, said_at);
            self.servers.insert(server.to_owned(), limit);
            return;
        };
        let (per_s, burst) = rate_and_burst(limit);
        known.bucket.set_rate(said_at, per_s, burst);
        known.limit = limit;
        known.said_at = said_at;
    }

    fn limited(&self, server: &str) -> Option<&ServerLimit> {
        let known = self.servers.get(server);
        known.filter(|known| known.limit.is_some())
    }

    /// The limit of a server in requests per second; `None` if it has none.
    pub fn rate_per_s(&self, server: &str) -> Option<f64> {
        Some(rate_and_burst(self.limited(server)?.limit).0)
    }

    /// Whether the limit of a server, if any, allows a request now.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut limits = bamboo_slots::RequestLimits::default();
    /// let at = Duration::from_millis;
    /// limits.observe("s", Some(2_000), at(0), at(0));
    /// assert!(!limits.allows("s", at(0)) && limits.allows("s", at(500)));
    /// limits.take("s", at(500));
    /// assert!(!limits.allows("s", at(500)) && limits.allows("other", at(500)));
    /// ```
    pub fn allows(&self, server: &str, now: Duration) -> bool {
        let limited = self.limited(server);
        // The tolerance keeps rounding errors of the refill from delaying a token that is due.
        limited.is_none_or(|known| known.bucket.available(now) > 1.0 - 1e-6)
    }

    /// Whether the limit of a server, if any, would soon go unused without a request.
    pub fn is_idle(&self, server: &str, now: Duration) -> bool {
        let limited = self.limited(server);
        limited.is_none_or(|known| {
            let (_, burst) = rate_and_burst(known.limit);
            let available = known.bucket.available(now);
            available > 1.0 - 1e-6 && available > burst - 1.0
        })
    }

    /// Counts a request to a server, also if its limit does not allow it.
    pub fn take(&mut self, server: &str, now: Duration) {
        if let Some(known) = self.servers.get_mut(server) {
            // A request counts as owed for as long as the limit takes to allow it.
            known.bucket.reserve(now, 1.0, Duration::MAX);
        }
    }

    /// Chooses the server that takes a request first, within `max_wait`, and counts the request there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_slots::{Permit, RequestLimits};
    /// let mut limits = RequestLimits::default();
    /// limits.observe("s", Some(1_000), Duration::ZERO, Duration::ZERO);
    /// let servers = ["s".to_owned()];
    /// let mut permit = || limits.permit(&servers, Duration::from_millis(1500), Duration::ZERO);
    /// assert!(matches!(permit(), Permit::Granted { wait, .. } if wait == Duration::from_secs(1)));
    /// assert_eq!(permit(), Permit::Denied { retry_after: Duration::from_secs(2) });
    /// ```
    pub fn permit(
        &mut self,
        servers: &[BackendServerId],
        max_wait: Duration,
        now: Duration,
    ) -> Permit {
        let mut first: Option<(Duration, &BackendServerId)> = None;
        for server in servers {
            let known = self.servers.get_mut(server);
            let known = known.filter(|known| known.limit.is_some());
            let wait = known.map_or(Duration::ZERO, |known| {
                known.bucket.time_until_available(now, 1.0)
            });
            if first.is_none_or(|(shortest, _)| wait < shortest) {
                first = Some((wait, server));
            }
        }
        match first {
            Some((wait, server)) if wait <= max_wait => {
                self.take(server, now);
                let server = server.clone();
                Permit::Granted { server, wait }
            }
            Some((retry_after, _)) => Permit::Denied { retry_after },
            None => Permit::Denied {
                retry_after: max_wait,
            },
        }
    }

    /// Whether any limit is in force.
    pub fn has_limited(&self) -> bool {
        self.servers.values().any(|known| known.limit.is_some())
    }

    /// Whether a limit is in force for a server.
    pub fn is_limited(&self, server: &str) -> bool {
        let known = self.servers.get(server);
        known.is_some_and(|known| known.limit.is_some())
    }

    /// What all servers said, for other hosts.
    pub fn reports(&self, now: Duration) -> Vec<LimitReport> {
        let servers = self.servers.iter();
        servers
            .map(|(server, known)| LimitReport {
                server: server.clone(),
                limit: known.limit,
                said_ago_ms: millis(now.saturating_sub(known.said_at)),
            })
            .collect()
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Forgets a server that has left.
    pub fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Forgets limits that ended long ago.
    pub fn expire(&mut self, now: Duration) {
        self.servers.retain(|_, known| {
            known.limit.is_some() || now.saturating_sub(known.said_at) < ENDED_KEPT_FOR
        });
    }
}
