//! A token bucket for rate limiting. The caller passes the current time.

use crate::Timestamp;

/// A token bucket: it refills at a constant rate and holds at most `burst` tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Option<Timestamp>,
}

impl TokenBucket {
    /// Creates a full bucket.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut bucket = bamboo_types::TokenBucket::new(10.0, 1.0);
    /// assert!(bucket.try_take(Duration::ZERO, 1.0));
    /// assert!(!bucket.try_take(Duration::ZERO, 1.0));
    /// assert!(bucket.try_take(Duration::from_millis(100), 1.0));
    /// ```
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        TokenBucket {
            rate_per_s,
            burst,
            tokens: burst,
            updated_at: None,
        }
    }

    /// Creates a bucket that is empty now.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut bucket = bamboo_types::TokenBucket::new_empty(Duration::ZERO, 10.0, 1.0);
    /// assert!(!bucket.try_take(Duration::ZERO, 1.0));
    /// assert!(bucket.try_take(Duration::from_millis(100), 1.0));
    /// ```
    pub fn new_empty(now: Timestamp, rate_per_s: f64, burst: f64) -> Self {
        TokenBucket {
            tokens: 0.0,
            updated_at: Some(now),
            ..TokenBucket::new(rate_per_s, burst)
        }
    }

    /// Takes `amount` tokens and returns `true` if the bucket holds as many.
    pub fn try_take(&mut self, now: Timestamp, amount: f64) -> bool {
        self.refill(now);
        // The tolerance keeps rounding errors of the refill from delaying a token that is due.
        if self.tokens + 1e-9 < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }

    /// Changes the rate and the burst. The tokens in the bucket remain, up to the new burst.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut bucket = bamboo_types::TokenBucket::new(1.0, 4.0);
    /// bucket.set_rate(Duration::ZERO, 10.0, 2.0);
    /// assert!(bucket.try_take(Duration::ZERO, 2.0) && !bucket.try_take(Duration::ZERO, 1.0));
    /// ```
    pub fn set_rate(&mut self, now: Timestamp, rate_per_s: f64, burst: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Tokens that the bucket holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bucket = bamboo_types::TokenBucket::new_empty(Duration::ZERO, 10.0, 1.0);
    /// assert_eq!(bucket.available(Duration::from_millis(50)), 0.5);
    /// ```
    pub fn available(&self, now: Timestamp) -> f64 {
        (self.tokens + self.refilled_since_update(now)).min(self.burst)
    }

    /// Takes `amount` tokens that will be available within `max_wait`, and returns the time until then. The bucket may owe
    /// tokens afterwards.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut bucket = bamboo_types::TokenBucket::new(10.0, 1.0);
    /// let mut reserve = || bucket.reserve(Duration::ZERO, 1.0, Duration::from_millis(150));
    /// assert_eq!(reserve(), Some(Duration::ZERO));
    /// assert_eq!(reserve(), Some(Duration::from_millis(100)));
    /// assert_eq!(reserve(), None);
    /// ```
    pub fn reserve(
        &mut self,
        now: Timestamp,
        amount: f64,
        max_wait: std::time::Duration,
    ) -> Option<std::time::Duration> {
        let wait = self.time_until_available(now, amount);
        if wait > max_wait {
            return None;
        }
        self.tokens -= amount;
        Some(wait)
    }

    /// Returns unused tokens to the bucket, up to the burst.
    pub fn refund(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount).min(self.burst);
    }

    /// Available tokens as a fraction of the burst, 0 to 1.
    pub fn fill_ratio(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        if self.burst > 0.0 {
            self.tokens / self.burst
        } else {
            0.0
        }
    }

    /// Time until `amount` tokens will be available.
    pub fn time_until_available(&mut self, now: Timestamp, amount: f64) -> std::time::Duration {
        self.refill(now);
        let missing = (amount - self.tokens).max(0.0);
        std::time::Duration::from_secs_f64(missing / self.rate_per_s.max(1e-6))
    }

    fn refill(&mut self, now: Timestamp) {
        self.tokens = self.available(now);
        self.updated_at = self.updated_at.max(Some(now));
    }

    fn refilled_since_update(&self, now: Timestamp) -> f64 {
        let elapsed = self.updated_at.map(|at| now.saturating_sub(at));
        elapsed.unwrap_or_default().as_secs_f64() * self.rate_per_s
    }
}
