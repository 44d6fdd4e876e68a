//! Calls to the store, directly or through other hosts.

use std::rc::Rc;
use std::time::Duration;

use bamboo_relay::AttemptOutcome;
use bamboo_relay::DirectTimeout;
use bamboo_relay::NextStep;
use bamboo_relay::PROBE_TIMEOUT;
use bamboo_relay::PollStep;
use bamboo_relay::PollWatch;
use bamboo_relay::StoreCall;
use bamboo_types::HostId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;

use crate::gateway::Gateway;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Timeout for a request that is relayed through another host, not counting the time for which the store is asked to wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout for a bulk read that is relayed through another host, not counting that time either.
const BULK_RELAY_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which it is checked whether the store is due for a probe.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of copies of a read that wait for a response.
const READ_COPIES_MAX: usize = 2;

fn attempt_outcome(error: &StoreError) -> AttemptOutcome {
    match error {
        StoreError::Refused(_) => AttemptOutcome::Refused,
        StoreError::Unknown(_) => AttemptOutcome::TimedOut,
        StoreError::Unreachable(_) => AttemptOutcome::NoPath,
    }
}

impl Gateway {
    /// Sends a request to the store, through other hosts while the store does not respond to this one.
    ///
    /// # Errors
    /// Fails if no way yields a response. Unless the error is [`StoreError::Unknown`], the request was not executed.
    pub(crate) async fn store_call(
        &self,
        request: &StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        let started = self.clock.now();
        let mut peers = self.coordination.borrow().live_peers(started);
        peers.shuffle(&mut rand::rng());
        let mut call = self.begin_store_call(request, peers, started);
        let mut last_error = None;
        loop {
            let result = match call.step() {
                NextStep::Direct(timeout) => self.call_store_directly(request, *timeout).await,
                NextStep::Relay(host) => self.call_store_through(host, request).await,
                NextStep::GiveUp => {
                    return Err(last_error
                        .unwrap_or_else(|| StoreError::Unreachable("no attempt".to_owned())));
                }
            };
            let error = match result {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let outcome = attempt_outcome(&error);
            if !matches!(last_error, Some(StoreError::Unknown(_))) {
                last_error = Some(error);
            }
            let elapsed = self.clock.now().saturating_sub(started);
            // The time that the store was asked to wait does not count.
            call.advance(outcome, elapsed.saturating_sub(request.wait()));
        }
    }

    /// Sends a read to the store, and again while its response may have been lost. Returns the first response.
    ///
    /// # Errors
    /// Fails if all reads in progress have failed.
    pub(crate) async fn watched_read(
        &self,
        request: &StoreRequest,
        poll_watch: &mut PollWatch,
    ) -> Result<StoreReply, StoreError> {
        let mut returns = self.store_returns.subscribe();
        let mut timeouts = self.store.timeouts();
        let mut reads = FuturesUnordered::new();
        loop {
            let now = self.clock.now();
            let until = match poll_watch.step(now) {
                PollStep::Wait(until) if !reads.is_empty() => until,
                PollStep::Wait(_) | PollStep::SendAgain => {
                    if reads.len() >= READ_COPIES_MAX {
                        reads.clear();
                    }
                    reads.push(self.store_call(request));
                    poll_watch.record_sent(request.wait(), now);
                    continue;
                }
            };
            tokio::select! {
                result = reads.select_next_some() => match result {
                    Err(_) if !reads.is_empty() => {}
                    result => return result,
                },
                () = self.sleep_until(until) => {}
                Ok(()) = returns.changed() => poll_watch.record_return(self.clock.now()),
                Ok(()) = timeouts.changed() => poll_watch.record_timeout(self.clock.now()),
            }
        }
    }

    /// Sleeps until a time, or for ever without one.
    pub(crate) async fn sleep_until(&self, until: Option<Duration>) {
        match until {
            Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
            None => std::future::pending().await,
        }
    }

    fn begin_store_call(
        &self,
        request: &StoreRequest,
        peers: Vec<HostId>,
        now: Duration,
    ) -> StoreCall {
        let path = self.store_path.borrow();
        match request {
            StoreRequest::Append { .. } => StoreCall::begin_append(&path, peers, now),
            _ if request.is_read() => StoreCall::begin_read(&path, peers),
            _ => StoreCall::begin(&path, peers),
        }
    }

    async fn call_store_directly(
        &self,
        request: &StoreRequest,
        timeout: DirectTimeout,
    ) -> Result<StoreReply, StoreError> {
        let result = self.store.call(request, timeout).await;
        let now = self.clock.now();
        let mut path = self.store_path.borrow_mut();
        let has_changed = match request.is_read() {
            true => path.record_direct_read(result.as_ref().err().map(attempt_outcome), now),
            false => path.record_direct(result.is_ok(), now),
        };
        drop(path);
        match &result {
            Ok(_) if has_changed => {
                log::info!(event = "store_regained"; "the store responds again");
                self.store_returns.send_replace(());
            }
            Err(error) if has_changed => {
                log::warn!(event = "store_lost"; "no response from the store; relaying through other hosts: {error}")
            }
            Ok(_) | Err(_) => {}
        }
        result
    }

    async fn call_store_through(
        &self,
        host: &HostId,
        request: &StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        let relayed = PeerRequest::Store(request.for_relay());
        let timeout = match request.is_bulk() {
            true => BULK_RELAY_TIMEOUT,
            false => RELAY_TIMEOUT,
        } + request.wait();
        let now = self.clock.now();
        let reply = self.mesh.call(host, relayed, timeout, now).await;
        let is_ok = matches!(reply, Some(PeerReply::Store(Ok(_))));
        let has_no_path = matches!(
            reply,
            Some(PeerReply::Store(Err(StoreError::Unreachable(_))))
        );
        let mut path = self.store_path.borrow_mut();
        path.record_relay(host, is_ok);
        if has_no_path {
            path.record_relay_without_path(self.clock.now());
        }
        drop(path);
        match reply {
            Some(PeerReply::Store(result)) => result,
            _ => Err(StoreError::Unknown("no response from the relay".to_owned())),
        }
    }

    /// Executes a store request for another host, at once or not at all.
    pub(crate) async fn relay_store_call(
        &self,
        request: &StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        if !self.store_path.borrow().is_direct_up() {
            return Err(StoreError::Unreachable(
                "the store does not respond to the relay either".to_owned(),
            ));
        }
        self.call_store_directly(request, DirectTimeout::Full).await
    }

    /// Probes the store until it responds to this host again, whenever calls are relayed. Runs until the process ends.
    pub(crate) async fn probe_store(self: Rc<Self>) {
        let probe = StoreRequest::End {
            topic: self.dialect.config_topic.to_owned(),
        };
        loop {
            actix_rt::time::sleep(PROBE_POLL_INTERVAL).await;
            let is_due = self.store_path.borrow().is_probe_due(self.clock.now());
            if is_due {
                // The outcome is recorded by the call.
                let _ = self.call_store_directly(&probe, PROBE_TIMEOUT).await;
            }
        }
    }

    /// Number of requests sent to the store, and of those that failed.
    pub(crate) fn store_counts(&self) -> (u64, u64) {
        self.store.counts()
    }

    /// Recent latency of the store.
    pub(crate) fn recent_store_latency(&self) -> Duration {
        self.store.recent_latency()
    }
}
