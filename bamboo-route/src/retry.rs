//! A retry budget: retries are a share of successes, so they cannot multiply an overload.

/// Retries that one success earns.
const DEPOSIT_PER_SUCCESS: f64 = 0.1;
/// Retries that may be saved up.
const BALANCE_MAX: f64 = 10.0;

/// Saved-up retries of one host.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: BALANCE_MAX,
        }
    }
}

impl RetryBudget {
    /// Notes a success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_SUCCESS).min(BALANCE_MAX);
    }

    /// Takes one retry if there is one.
    ///
    /// ```
    /// let mut budget = bamboo_route::RetryBudget::default();
    /// let withdrawn = (0..20).filter(|_| budget.try_withdraw()).count();
    /// assert_eq!(withdrawn, 10);
    /// ```
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
