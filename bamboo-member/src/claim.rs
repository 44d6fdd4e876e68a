//! When to claim a stream, and when to stand down.

use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::Incarnation;
use bamboo_types::Now;
use bamboo_types::Offset;

/// Time of ownership after which earlier losses are forgotten.
const LOST_CLAIMS_RESET_AFTER: Duration = Duration::from_secs(20);
/// Most doublings of the wait before a claim.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// Waits before a claim.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Shortest wait between the wish to own a stream and its claim.
    pub delay_min: Duration,
    /// Largest random wait on top.
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

/// What the claimant should do about its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Another host is the owner, or will be.
    Standby,
    /// Another host holds the stream that this host is first for: read on, so as to know when to claim.
    Follow,
    /// Read the stream to its tail, then claim.
    Recover,
    /// Append a claim.
    Claim,
    /// A claim is appended but not read back yet.
    AwaitClaim,
    /// Own the stream under this epoch.
    Own(Offset),
    /// Give the stream up by a release under this epoch.
    Release(Offset),
}

/// The newest claim of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    host: HostId,
    incarnation: Incarnation,
    epoch: Offset,
}

/// What a host may and should own, when the claimant is asked.
#[derive(Debug, Clone, Copy)]
pub struct ClaimContext {
    /// The host is live and not stopping.
    pub may_own: bool,
    /// The host is the first in the rendezvous order.
    pub is_rendezvous_owner: bool,
    /// The stream has been read to its tail.
    pub is_at_tail: bool,
}

#[derive(Debug, Clone, Copy)]
struct PendingClaim {
    since: Now,
    delay: Duration,
}

/// Decides about the claim of one stream at one host.
#[derive(Debug)]
pub struct Claimant {
    host: HostId,
    incarnation: Incarnation,
    options: ClaimOptions,
    holder: Option<Holder>,
    pending_claim: Option<PendingClaim>,
    is_claim_sent: bool,
    is_confirmed: bool,
    superseded_by: Option<HostId>,
    owned_since: Option<Now>,
    lost_claims: u32,
}

impl Claimant {
    /// A claimant that knows of no claim.
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
            holder: None,
            pending_claim: None,
            is_claim_sent: false,
            is_confirmed: false,
            superseded_by: None,
            owned_since: None,
            lost_claims: 0,
        }
    }

    /// Takes a claim read from the stream. The newest in log order holds.
    pub fn apply_claim(&mut self, host: &str, incarnation: Incarnation, epoch: Offset) {
        let was_owned = self.epoch().is_some();
        let is_own_claim = host == self.host && incarnation == self.incarnation;
        self.pending_claim = None;
        self.holder = Some(Holder {
            host: host.to_owned(),
            incarnation,
            epoch,
        });
        // A claim that this run made earlier and meets again while it reads the stream anew is history: later
        // entries may take it away.
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

    /// Takes a release read from the stream.
    pub fn apply_release(&mut self, epoch: Offset) {
        if self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.epoch == epoch)
        {
            self.holder = None;
        }
    }

    /// Forgets what was read, before the stream is read again from elsewhere.
    pub fn reset(&mut self) {
        self.holder = None;
        self.is_claim_sent = false;
        self.is_confirmed = false;
    }

    /// The host that holds the stream, as far as this host has read it.
    ///
    /// ```
    /// # use bamboo_member::{ClaimOptions, Claimant};
    /// let mut claimant = Claimant::new("h1".into(), 1, ClaimOptions::default());
    /// claimant.apply_claim("h2", 4, 17);
    /// assert_eq!(claimant.holder(), Some("h2"));
    /// ```
    pub fn holder(&self) -> Option<&str> {
        self.holder.as_ref().map(|holder| holder.host.as_str())
    }

    /// The epoch under which this host owns the stream.
    pub fn epoch(&self) -> Option<Offset> {
        let holder = self.holder.as_ref().filter(|_| self.is_confirmed)?;
        Some(holder.epoch)
    }

    /// Chooses the next step.
    ///
    /// `is_running` tells whether a run of another host answers.
    pub fn step<F>(
        &mut self,
        now: Now,
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
            // The claim may be stored at any time, and nobody else would know that this host then owns the stream.
            return ClaimStep::AwaitClaim;
        }
        if !context.may_own || !context.is_rendezvous_owner {
            self.pending_claim = None;
            return ClaimStep::Standby;
        }
        if self.defers_to_holder(&is_running) {
            self.pending_claim = None;
            return ClaimStep::Follow;
        }
        if !self.is_delay_over(now, random) || !context.is_at_tail {
            return ClaimStep::Recover;
        }
        self.is_claim_sent = true;
        ClaimStep::Claim
    }

    /// A host that stood down does not claim back while that run of its successor answers, so two hosts whose views differ
    /// do not take the stream from each other in turn.
    fn defers_to_holder<F>(&self, is_running: &F) -> bool
    where
        F: Fn(&str, Incarnation) -> bool,
    {
        match (&self.superseded_by, &self.holder) {
            (Some(_), Some(holder)) => {
                holder.host != self.host && is_running(&holder.host, holder.incarnation)
            }
            _ => false,
        }
    }

    fn is_delay_over(&mut self, now: Now, random: u64) -> bool {
        let options = &self.options;
        let lost_claims = self.lost_claims;
        let pending_claim = self.pending_claim.get_or_insert_with(|| {
            let jitter = options.jitter_max * (random % 1000) as u32 / 1000;
            // Each loss doubles the wait, so two hosts that do not hear each other claim ever more rarely.
            let backoff = options.delay_min * (1 << lost_claims.min(BACKOFF_DOUBLINGS_MAX));
            PendingClaim {
                since: now,
                delay: backoff + jitter,
            }
        });
        now.saturating_sub(pending_claim.since) >= pending_claim.delay
    }
}
