//! A retry budget: retries are a share of successes, so they cannot multiply an overload.

/// Retries that one success earns.
const EARNED_PER_SUCCESS: f64 = 0.1;
/// Retries that may be saved up.
const SAVED_MAX: f64 = 10.0;

/// Saved-up retries of one host.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + EARNED_PER_SUCCESS).min(SAVED_MAX);
    }

    /// Takes one retry if there is one.
    ///
    /// ```
    /// let mut budget = bamboo_route::RetryBudget::default();
    /// let taken = (0..20).filter(|_| budget.try_take()).count();
    /// assert_eq!(taken, 10);
    /// ```
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
