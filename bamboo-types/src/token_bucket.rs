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
        let elapsed = self
            .updated_at
            .map_or(std::time::Duration::ZERO, |at| now.saturating_sub(at));
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
        self.updated_at = Some(now);
    }
}
