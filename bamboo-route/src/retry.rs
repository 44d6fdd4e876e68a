//! Retry budget: limits retries to a fraction of successful requests, so that retries do not amplify an overload.

/// Retries added to the balance by one successful request.
const DEPOSIT_PER_SUCCESS: f64 = 0.1;
/// Upper bound on the balance, and its initial value.
const BALANCE_MAX: f64 = 10.0;

/// Balance of retries available to one host.
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
    /// Adds the deposit for one successful request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_SUCCESS).min(BALANCE_MAX);
    }

    /// Withdraws one retry if the balance allows it; returns whether it did.
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
