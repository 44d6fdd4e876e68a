//! Decides when a host claims or releases the ownership of a stream.

use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Offset;
use bamboo_types::Timestamp;

/// Duration of ownership after which the count of lost claims is reset.
const LOST_CLAIMS_RESET_AFTER: Duration = Duration::from_secs(20);
/// Maximum number of times that the delay before a claim is doubled.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// Delays before a claim.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Minimum delay between becoming eligible to own a stream and claiming it.
    pub delay_min: Duration,
    /// Maximum random jitter added to the delay.
    pub jitter_max: Duration,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        ClaimOptions {
            delay_min: Duration::from_millis(300),
            jitter_max: Duration::from_millis(300),
        }
    }
}

/// Next action of a claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Stay off the stream: another host is its rendezvous owner, or this host may not own it.
    Standby,
    /// Keep reading the stream: this host is the rendezvous owner but defers to the current owner.
    Follow,
    /// Read the stream to its tail and wait for the claim delay to pass.
    Recover,
    /// Append a claim.
    Claim,
    /// Wait until the appended claim is read back from the stream.
    AwaitClaim,
    /// Act as the owner of the stream under this epoch.
    Own(Offset),
    /// Append a release of the claim with this epoch.
    Release(Offset),
}

/// The latest claim of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Owner {
    host: HostId,
    incarnation: Incarnation,
    epoch: Offset,
}

/// State of the host and of the stream on which a claim depends.
#[derive(Debug, Clone, Copy)]
pub struct ClaimContext {
    /// Whether the host is live and not draining.
    pub may_own: bool,
    /// Whether the host is the rendezvous owner of the stream among the live hosts.
    pub is_rendezvous_owner: bool,
    /// Whether the stream has been read to its tail.
    pub is_at_tail: bool,
}

#[derive(Debug, Clone, Copy)]
struct PendingClaim {
    since: Timestamp,
    delay: Duration,
}

/// State machine for the claim of one stream by one host.
#[derive(Debug)]
pub struct Claimant {
    host: HostId,
    incarnation: Incarnation,
    options: ClaimOptions,
    owner: Option<Owner>,
    pending_claim: Option<PendingClaim>,
    is_claim_sent: bool,
    is_confirmed: bool,
    superseded_by: Option<HostId>,
    owned_since: Option<Timestamp>,
    lost_claims: u32,
}

impl Claimant {
    /// Creates a claimant that has read no claim.
    ///
    /// ```
    /// use bamboo_member::{ClaimOptions, ClaimStep, ClaimContext, Claimant};
    /// let mut claimant = Claimant::new("h1".into(), 1, ClaimOptions::default());
    /// let context = ClaimContext { may_own: true, is_rendezvous_owner: false, is_at_tail: false };
    /// let step = claimant.step(std::time::Duration::ZERO, context, |_, _| true, 0);
    /// assert_eq!(step, ClaimStep::Standby);
    /// ```
    pub fn new(host: HostId, incarnation: Incarnation, options: ClaimOptions) -> Self {
        Claimant {
            host,
            incarnation,
            options,
            owner: None,
            pending_claim: None,
            is_claim_sent: false,
            is_confirmed: false,
            superseded_by: None,
            owned_since: None,
            lost_claims: 0,
        }
    }

    /// Applies a claim read from the stream. The latest claim in log order determines the owner.
    pub fn apply_claim(&mut self, host: &str, incarnation: Incarnation, epoch: Offset) {
        let was_owned = self.epoch().is_some();
        let is_own_claim = host == self.host && incarnation == self.incarnation;
        self.pending_claim = None;
        self.owner = Some(Owner {
            host: host.to_owned(),
            incarnation,
            epoch,
        });
        // When the stream is read again from an earlier offset, an earlier claim of this incarnation does not confirm
        // ownership, since later entries may supersede or release it.
        self.is_confirmed = is_own_claim && (self.is_claim_sent || was_owned);
        if self.is_confirmed {
            self.is_claim_sent = false;
            self.superseded_by = None;
        } else if was_owned {
            self.superseded_by = Some(host.to_owned());
            self.owned_since = None;
            self.lost_claims += 1;
        }
    }

    /// Applies a release read from the stream. A release of an epoch that is no longer held has no effect.
    pub fn apply_release(&mut self, epoch: Offset) {
        if self
            .owner
            .as_ref()
            .is_some_and(|owner| owner.epoch == epoch)
        {
            self.owner = None;
        }
    }

    /// Discards the state read from the stream, before it is read again from another offset.
    pub fn reset(&mut self) {
        self.owner = None;
        self.is_claim_sent = false;
        self.is_confirmed = false;
    }

    /// Returns the owner of the stream as of the last entry read.
    ///
    /// ```
    /// # use bamboo_member::{ClaimOptions, Claimant};
    /// let mut claimant = Claimant::new("h1".into(), 1, ClaimOptions::default());
    /// claimant.apply_claim("h2", 4, 17);
    /// assert_eq!(claimant.owner(), Some("h2"));
    /// ```
    pub fn owner(&self) -> Option<&str> {
        self.owner.as_ref().map(|owner| owner.host.as_str())
    }

    /// Returns the epoch under which this host owns the stream, if it does.
    pub fn epoch(&self) -> Option<Offset> {
        let owner = self.owner.as_ref().filter(|_| self.is_confirmed)?;
        Some(owner.epoch)
    }

    /// Returns the next action.
    ///
    /// `is_running` reports whether an incarnation of another host is responsive.
    pub fn step<F>(
        &mut self,
        now: Timestamp,
        context: ClaimContext,
        is_running: F,
        random: u64,
    ) -> ClaimStep
    where
        F: Fn(&str, Incarnation) -> bool,
    {
        if let Some(epoch) = self.epoch() {
            self.pending_claim = None;
            let owned_since = *self.owned_since.get_or_insert(now);
            if now.saturating_sub(owned_since) >= LOST_CLAIMS_RESET_AFTER {
                self.lost_claims = 0;
            }
            return if context.may_own {
                ClaimStep::Own(epoch)
            } else {
                ClaimStep::Release(epoch)
            };
        }
        if self.is_claim_sent {
            // The claim may still be stored at any time. If this host stopped reading, no host would notice that it
            // owns the stream.
            return ClaimStep::AwaitClaim;
        }
        if !context.may_own || !context.is_rendezvous_owner {
            self.pending_claim = None;
            return ClaimStep::Standby;
        }
        if self.defers_to_owner(&is_running) {
            self.pending_claim = None;
            return ClaimStep::Follow;
        }
        if !self.is_delay_over(now, random) || !context.is_at_tail {
            return ClaimStep::Recover;
        }
        self.is_claim_sent = true;
        ClaimStep::Claim
    }

    /// Whether to leave the stream to its owner. A host whose claim was superseded does not claim the stream again
    /// while that incarnation of its successor is running, so two hosts with different membership views do not take
    /// the stream from each other repeatedly.
    fn defers_to_owner<F>(&self, is_running: &F) -> bool
    where
        F: Fn(&str, Incarnation) -> bool,
    {
        match (&self.superseded_by, &self.owner) {
            (Some(_), Some(owner)) => {
                owner.host != self.host && is_running(&owner.host, owner.incarnation)
            }
            _ => false,
        }
    }

    fn is_delay_over(&mut self, now: Timestamp, random: u64) -> bool {
        let options = &self.options;
        let lost_claims = self.lost_claims;
        let pending_claim = self.pending_claim.get_or_insert_with(|| {
            let jitter = options.jitter_max * (random % 1000) as u32 / 1000;
            // Each lost claim doubles the delay, so two hosts that cannot reach each other compete for the stream less
            // and less often.
            let backoff = options.delay_min * (1 << lost_claims.min(BACKOFF_DOUBLINGS_MAX));
            PendingClaim {
                since: now,
                delay: backoff + jitter,
            }
        });
        now.saturating_sub(pending_claim.since) >= pending_claim.delay
    }
}
