//! Rate limits of workspaces: the coordinator decides for all hosts, and a host without its decision for itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bamboo_rates::Rate;
use bamboo_rates::RateDecision;
use bamboo_rates::RateLimiter;
use bamboo_slots::SlotRequestId;
use bamboo_types::HostId;
use bamboo_types::WorkspaceId;

use crate::gateway::Gateway;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::REQUEST_TERMS_SINCE;
use crate::slot_requests::DECISION_TIMEOUT;
use crate::traffic::CallerRequest;

/// Workspaces that have a series of their own in the metrics, by the number of their refused requests.
const LISTED_WORKSPACES: usize = 10;
/// Interval at which these series are chosen anew.
const LISTING_INTERVAL: Duration = Duration::from_secs(5);
/// Number of hosts from which on the cluster map of an older coordinator does not list all of them.
const LISTED_HOSTS_MAX: usize = 96;

/// Rate limiter of this host, and what it has to know of the requests that it admitted.
pub(super) struct Rates {
    limiter: RefCell<RateLimiter>,
    /// Requests that took a token of this coordinator, and hold no slot yet.
    not_granted: RefCell<HashMap<(HostId, SlotRequestId), WorkspaceId>>,
    /// Whether a workspace of the configuration has a rate.
    has_rates: Cell<bool>,
    refusals: RefCell<HashMap<WorkspaceId, u64>>,
    listed_at: Cell<Duration>,
}

impl Rates {
    pub(super) fn new(local: HostId, boot_time: Duration) -> Self {
        Rates {
            limiter: RefCell::new(RateLimiter::new(local, boot_time)),
            not_granted: RefCell::default(),
            has_rates: Cell::new(false),
            refusals: RefCell::default(),
            listed_at: Cell::default(),
        }
    }
}

impl Gateway {
    /// Rate of a workspace in the current configuration.
    fn workspace_rate(&self, workspace: &str) -> Option<Rate> {
        let config = self.config.borrow();
        let workspaces = config.as_ref()?.workspaces.as_ref()?;
        let rate = workspaces.get(workspace)?.rate?;
        Some(Rate {
            per_s: rate.per_s,
            burst: rate.burst,
        })
    }

    /// Adapts to a new configuration.
    pub(super) fn update_rates(&self) {
        let config = self.config();
        let workspaces = config
            .as_ref()
            .and_then(|config| config.workspaces.as_ref());
        let has_rates = workspaces
            .is_some_and(|workspaces| workspaces.iter().any(|workspace| workspace.rate.is_some()));
        self.rates.has_rates.set(has_rates);
        let is_known = |name: &str| workspaces.is_some_and(|known| known.get(name).is_some());
        self.rates
            .refusals
            .borrow_mut()
            .retain(|name, _| is_known(name));
    }

    /// Tells the rate limiter which role this host has.
    pub(super) fn update_rate_role(&self) {
        let is_coordinator = self.is_coordinator(&self.local.host);
        let mut limiter = self.rates.limiter.borrow_mut();
        limiter.set_coordinator(is_coordinator, self.clock.boot_time());
        if !is_coordinator {
            self.rates.not_granted.borrow_mut().clear();
        }
    }

    /// Periodic work of the rate limiter.
    pub(super) fn tick_rates(&self) {
        self.update_rate_role();
        let now = self.clock.boot_time();
        let coordinator = self.coordination.borrow().coordinator().clone();
        let mut limiter = self.rates.limiter.borrow_mut();
        if !self.decodes_since(&coordinator, REQUEST_TERMS_SINCE) {
            // An older coordinator does not say how many hosts there are.
            let peers = self.coordination.borrow().live_peers(self.clock.now());
            if peers.len() + 1 < LISTED_HOSTS_MAX {
                limiter.record_host_count(peers.len() + 1, now);
            }
        }
        limiter.tick(now);
        // Of requests whose release was lost.
        let broker = self.broker.borrow();
        let mut not_granted = self.rates.not_granted.borrow_mut();
        not_granted.retain(|(host, request), _| broker.knows(host, *request));
        drop((broker, not_granted));
        if !self.rates.has_rates.get() {
            return;
        }
        let share = limiter.share(now);
        let fraction = share.map_or(0.0, |share| share.fraction());
        self.metrics.rate_share.set(fraction);
        let hosts = share.map_or(0, |share| share.hosts);
        self.metrics.rate_hosts.set(hosts as i64);
        drop(limiter);
        self.list_refusals(now);
    }

    /// Publishes which workspaces are refused most often.
    fn list_refusals(&self, now: Duration) {
        if now.saturating_sub(self.rates.listed_at.get()) < LISTING_INTERVAL {
            return;
        }
        self.rates.listed_at.set(now);
        let refusals = self.rates.refusals.borrow();
        let mut refusals: Vec<(&WorkspaceId, u64)> = refusals
            .iter()
            .map(|(name, count)| (name, *count))
            .collect();
        refusals.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        self.metrics
            .list_rate_refusals(refusals.into_iter(), LISTED_WORKSPACES);
    }

    /// Records a heartbeat to this coordinator, and tells the host how many hosts there are.
    pub(super) fn record_rate_heartbeat(&self, host: &str) {
        let now = self.clock.boot_time();
        let mut limiter = self.rates.limiter.borrow_mut();
        limiter.record_heartbeat(host, now);
        let count = limiter.host_count(now);
        drop(limiter);
        if let Some(count) = count
            && self.rates.has_rates.get()
            && host != self.local.host
            && self.is_coordinator(&self.local.host)
            && self.decodes_since(host, REQUEST_TERMS_SINCE)
        {
            let message = PeerMessage::HostCount(u32::try_from(count).unwrap_or(u32::MAX));
            self.mesh.send(host, message, self.clock.now());
        }
    }

    /// Tells a new coordinator how many hosts there are. One that has restarted does not know it.
    pub(super) fn announce_host_count(&self, coordinator: &str) {
        let now = self.clock.boot_time();
        let count = self.rates.limiter.borrow().host_count(now);
        if let Some(count) = count
            && self.rates.has_rates.get()
            && coordinator != self.local.host
            && self.decodes_since(coordinator, REQUEST_TERMS_SINCE)
        {
            let message = PeerMessage::HostCount(u32::try_from(count).unwrap_or(u32::MAX));
            self.mesh.send(coordinator, message, self.clock.now());
        }
    }

    /// Records the number of hosts by the coordinator, or by a host that follows this one.
    pub(super) fn record_host_count(&self, hosts: u32) {
        let now = self.clock.boot_time();
        let mut limiter = self.rates.limiter.borrow_mut();
        limiter.record_host_count(hosts as usize, now);
    }

    /// Records the number of hosts by their list in the store, if no coordinator has said it yet. After a restart of all hosts
    /// nobody else knows it, and requests of limited workspaces would be refused until the hosts have found each other.
    pub(crate) fn record_listed_hosts(&self) {
        let now = self.clock.boot_time();
        let listed = self.coordination.borrow().known_host_count();
        let mut limiter = self.rates.limiter.borrow_mut();
        if limiter.host_count(now).is_none() && listed > 1 {
            limiter.record_host_count(listed, now);
        }
    }

    /// Takes a token for a request of a workspace, if it has a rate.
    ///
    /// # Errors
    /// Over the rate: the time after which to retry.
    pub(super) fn admit(&self, workspace: &str) -> Result<(), Duration> {
        let Some(rate) = self.workspace_rate(workspace) else {
            return Ok(());
        };
        let now = self.clock.boot_time();
        let decision = self.rates.limiter.borrow_mut().admit(workspace, rate, now);
        match decision {
            RateDecision::Admit => {
                self.metrics.count_rate_decision("admitted");
                Ok(())
            }
            RateDecision::Refuse { retry_after } => {
                self.metrics.count_rate_decision("refused");
                let mut refusals = self.rates.refusals.borrow_mut();
                *refusals.entry(workspace.to_owned()).or_default() += 1;
                Err(retry_after)
            }
        }
    }

    /// Takes a token for a request of this host on which the coordinator has not decided.
    ///
    /// # Errors
    /// Over the share of this host: the time after which to retry.
    pub(crate) fn admit_alone(&self, workspace: &str) -> Result<(), Duration> {
        let is_limited = self.workspace_rate(workspace).is_some();
        self.admit(workspace)?;
        if is_limited {
            self.metrics.count_rate_decision("admitted_alone");
        }
        Ok(())
    }

    /// Whether the coordinator applies the rates of workspaces.
    pub(crate) fn coordinator_applies_rates(&self) -> bool {
        let coordinator = self.coordination.borrow().coordinator().clone();
        self.decodes_since(&coordinator, REQUEST_TERMS_SINCE)
    }

    /// Takes a token for a run that a host began without a decision.
    pub(super) fn record_uncounted_run(&self, host: &str, workspace: &str) {
        // The host took a token itself, from the same buckets if it is this one.
        if host == self.local.host {
            return;
        }
        if let Some(rate) = self.workspace_rate(workspace) {
            let now = self.clock.boot_time();
            let mut limiter = self.rates.limiter.borrow_mut();
            limiter.record_run(workspace, rate, now);
        }
    }

    /// Takes a token for a slot request.
    ///
    /// # Errors
    /// Over the rate: the time after which to retry.
    pub(super) fn admit_slot_request(
        &self,
        host: &str,
        request: SlotRequestId,
        workspace: &str,
    ) -> Result<(), Duration> {
        let key = (host.to_owned(), request);
        // A request that is sent twice has its token.
        let has_token = self.rates.not_granted.borrow().contains_key(&key);
        if has_token || self.workspace_rate(workspace).is_none() {
            return Ok(());
        }
        self.admit(workspace)?;
        let mut not_granted = self.rates.not_granted.borrow_mut();
        not_granted.insert(key, workspace.to_owned());
        Ok(())
    }

    /// Records that a slot request that took a token has been granted a slot.
    pub(super) fn rate_granted(&self, host: &str, request: SlotRequestId) {
        let mut not_granted = self.rates.not_granted.borrow_mut();
        if !not_granted.is_empty() {
            not_granted.remove(&(host.to_owned(), request));
        }
    }

    /// Returns the token of a slot request that has ended without a slot.
    pub(super) fn refund_rate(&self, host: &str, request: SlotRequestId) {
        let mut not_granted = self.rates.not_granted.borrow_mut();
        if not_granted.is_empty() {
            return;
        }
        if let Some(workspace) = not_granted.remove(&(host.to_owned(), request)) {
            self.rates.limiter.borrow_mut().refund(&workspace);
        }
    }

    /// Forgets the slot requests of a host that is lost or has restarted. They may run.
    pub(super) fn forget_rated_requests(&self, host: &str) {
        let mut not_granted = self.rates.not_granted.borrow_mut();
        not_granted.retain(|(holder, _), _| holder != host);
    }

    /// Takes a token for a request to a plain service, from the coordinator if it replies in time.
    ///
    /// # Errors
    /// Over the rate: the time after which to retry.
    pub(crate) async fn count_plain_request(
        &self,
        request: &CallerRequest,
    ) -> Result<(), Duration> {
        let Some(workspace) = &request.workspace else {
            return Ok(());
        };
        if self.workspace_rate(&workspace.name).is_none() {
            return Ok(());
        }
        let coordinator = self.coordination.borrow().coordinator().clone();
        if coordinator == self.local.host {
            return self.admit(&workspace.name);
        }
        if !self.coordinator_applies_rates() {
            return self.admit_alone(&workspace.name);
        }
        let now = self.clock.now();
        let question = PeerRequest::CountRequest {
            workspace: workspace.name.clone(),
        };
        let reply = self
            .mesh
            .call(&coordinator, question, DECISION_TIMEOUT, now);
        match reply.await {
            Some(PeerReply::RateDecision { retry_after: None }) => Ok(()),
            Some(PeerReply::RateDecision {
                retry_after: Some(retry_after),
            }) => Err(retry_after),
            _ => {
                self.admit_alone(&workspace.name)?;
                self.send_to_coordinator(PeerMessage::UncountedRun {
                    workspace: workspace.name.clone(),
                });
                Ok(())
            }
        }
    }

    /// Answers a host that asks for a token, as the coordinator.
    pub(super) fn answer_count_request(&self, workspace: &str) -> PeerReply {
        if !self.is_coordinator(&self.local.host) {
            return PeerReply::Undecided;
        }
        PeerReply::RateDecision {
            retry_after: self.admit(workspace).err(),
        }
    }
}
