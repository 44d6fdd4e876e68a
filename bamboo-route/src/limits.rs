//! Rate and concurrency limits of one caller on one serving resource at one host.

use bamboo_config::Limits;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::Timestamp;
use bamboo_types::TokenBucket;

/// Burst size of the token buckets, in seconds of the configured rate.
const BURST_S: f64 = 2.0;

/// Enforces one caller's limits at this host. Each live host enforces an equal share of the limits of the fleet.
#[derive(Debug)]
pub struct CallerLimiter {
    limits: Limits,
    host_count: usize,
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u32,
}

impl CallerLimiter {
    /// Creates a limiter with full token buckets for one of `host_count` hosts.
    pub fn new(limits: Limits, host_count: usize) -> Self {
        let host_share = 1.0 / host_count.max(1) as f64;
        let requests_per_s = limits.requests_per_s * host_share;
        let tokens_per_s = limits.tokens_per_s * host_share;
        CallerLimiter {
            limits,
            host_count,
            requests: TokenBucket::new(requests_per_s, (requests_per_s * BURST_S).max(1.0)),
            tokens: TokenBucket::new(tokens_per_s, tokens_per_s * BURST_S),
            in_flight: 0,
        }
    }

    /// Whether this limiter was created with these limits and this number of hosts.
    pub fn is_current(&self, limits: &Limits, host_count: usize) -> bool {
        self.limits == *limits && self.host_count == host_count
    }

    /// Copies the number of requests in flight from the limiter that this one replaces.
    pub fn carry_over_in_flight(&mut self, previous: &CallerLimiter) {
        self.in_flight = previous.in_flight;
    }

    /// Admits one request of about `token_count` tokens, or refuses it.
    ///
    /// # Errors
    /// Returns an error with a retry delay if a limit is reached.
    ///
    /// ```
    /// use bamboo_config::Limits;
    /// use std::time::Duration;
    /// let limits = Limits { requests_per_s: 1.0, tokens_per_s: 1000.0, in_flight_max: 1 };
    /// let mut limiter = bamboo_route::CallerLimiter::new(limits, 1);
    /// assert!(limiter.acquire(Duration::ZERO, 100.0).is_ok());
    /// assert!(limiter.acquire(Duration::ZERO, 100.0).is_err());
    /// ```
    pub fn acquire(&mut self, now: Timestamp, token_count: f64) -> Result<(), ApiError> {
        let in_flight_max = self
            .limits
            .in_flight_max
            .div_ceil(self.host_count.max(1) as u32)
            .max(1);
        if self.in_flight >= in_flight_max {
            let message = format!("{} requests in flight at this host", self.in_flight);
            return Err(ApiError::with_retry_after(
                Code::LimitReached,
                message,
                std::time::Duration::from_secs(1),
            ));
        }
        if !self.requests.try_take(now, 1.0) {
            let wait = self.requests.time_until_available(now, 1.0);
            return Err(ApiError::with_retry_after(
                Code::LimitReached,
                "requests a second are used up",
                wait,
            ));
        }
        // A request larger than the burst size is charged the burst size; otherwise it could never be admitted.
        let charged_tokens =
            token_count.min(self.limits.tokens_per_s * BURST_S / self.host_count.max(1) as f64);
        if !self.tokens.try_take(now, charged_tokens) {
            self.requests.refund(1.0);
            let wait = self.tokens.time_until_available(now, charged_tokens);
            return Err(ApiError::with_retry_after(
                Code::LimitReached,
                "tokens a second are used up",
                wait,
            ));
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Releases the concurrency slot of a request that ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
