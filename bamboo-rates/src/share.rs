//! The share of a rate that a host may give out.

use std::time::Duration;

use bamboo_types::rendezvous_weight;

use crate::Rate;

/// Window in which the bound on admitted requests holds.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Part of the rate, per member as a fraction of all hosts, for a group that may coexist with one that gives out the whole rate.
/// The former have up to a third of the hosts, thus a tenth of the rate together: the excess that the bound leaves.
const SMALL_GROUP_PART: f64 = 0.3;
/// Part of the burst that all small groups together may hold.
const SMALL_GROUPS_BURST_PART: f64 = 0.1;
/// Requests that all small groups together may hold beyond that. The bound leaves 20; the rest allows for the chance of the
/// hash, and for the token to which larger groups round up.
const SMALL_GROUPS_TOKENS: f64 = 8.0;

/// A group of hosts that agree on a coordinator, among all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Hosts of the group.
    pub members: usize,
    /// All hosts.
    pub hosts: usize,
    /// Whether one host decides for itself since the coordinator does not reply.
    pub is_alone: bool,
}

impl Share {
    /// Whether another group may give out the whole rate at the same time.
    fn is_small(&self) -> bool {
        self.is_alone || self.members * 3 <= self.hosts
    }

    /// Fraction of the rate that the group gives out.
    ///
    /// ```
    /// use bamboo_rates::Share;
    /// let fraction = |members| Share { members, hosts: 12, is_alone: false }.fraction();
    /// assert_eq!(fraction(8), 1.0);
    /// assert_eq!(fraction(6), 0.5);
    /// assert!((fraction(4) - 0.1).abs() < 1e-9);
    /// ```
    pub fn fraction(&self) -> f64 {
        if cfg!(feature = "mutate-no-shares")
            || cfg!(feature = "mutate-whole-alone") && self.is_alone
        {
            return 1.0;
        }
        let part = self.members as f64 / self.hosts.max(1) as f64;
        if self.is_small() {
            SMALL_GROUP_PART * part
        } else if self.members * 3 >= self.hosts * 2 {
            1.0
        } else {
            part
        }
    }

    /// Rate and burst that a host of the group gives out for a workspace. Of the groups that are too small to hold a whole
    /// token, only so many hold one that all of them together stay within the excess, chosen by hash of host and workspace.
    pub(crate) fn apply(&self, rate: Rate, host: &str, workspace: &str) -> Rate {
        let per_s = rate.per_s * self.fraction();
        if !self.is_small() || cfg!(feature = "mutate-no-shares") {
            let burst = (rate.burst * self.fraction()).max(1.0);
            return Rate { per_s, burst };
        }
        let part = self.members as f64 / self.hosts.max(1) as f64;
        let tokens = part * (rate.burst * SMALL_GROUPS_BURST_PART + SMALL_GROUPS_TOKENS);
        let weight = rendezvous_weight(host, workspace) as f64 / u64::MAX as f64;
        let burst = match tokens < 1.0 && weight < tokens {
            true => 1.0,
            false => tokens,
        };
        Rate { per_s, burst }
    }
}
