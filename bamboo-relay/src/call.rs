//! The attempts of one call to the store.

use std::collections::VecDeque;
use std::time::Duration;

use bamboo_types::HostId;

use crate::StorePath;

/// Time after which no further attempt of a call begins.
const CALL_TIMEOUT: Duration = Duration::from_millis(1600);
/// Maximum number of hosts that are asked to relay one call.
pub(crate) const RELAYS_MAX: usize = 6;

/// How long a direct attempt may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectTimeout {
    /// As long as the store usually takes, since there is another way.
    Short,
    /// As long as a call may take.
    Full,
}

/// What to do next for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Call the store.
    Direct(DirectTimeout),
    /// Have this host relay the call.
    Relay(HostId),
    /// No way is left to try.
    GiveUp,
}

/// How an attempt without a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The store refused the call, which was not executed.
    Refused,
    /// There was no response in time.
    TimedOut,
    /// The relay cannot reach the store either. The call was not executed.
    NoPath,
}

/// The attempts of one call.
#[derive(Debug)]
pub struct StoreCall {
    steps: VecDeque<NextStep>,
    is_refusal_final: bool,
}

impl StoreCall {
    /// Begins a call of a host with these live peers, which are tried in their order after the relay that worked last.
    ///
    /// ```
    /// use bamboo_relay::{DirectTimeout, NextStep, StoreCall, StorePath};
    /// let call = StoreCall::begin(&StorePath::default(), vec!["h2".into()]);
    /// assert_eq!(call.step(), &NextStep::Direct(DirectTimeout::Short));
    /// ```
    pub fn begin(path: &StorePath, mut peers: Vec<HostId>) -> Self {
        if let Some(index) = peers.iter().position(|host| Some(host) == path.relay()) {
            peers.swap(0, index);
        }
        peers.truncate(path.relays_max());
        let has_relays = !peers.is_empty();
        let mut steps: VecDeque<NextStep> = peers.into_iter().map(NextStep::Relay).collect();
        match path.is_direct_up() || !has_relays {
            true => {
                if has_relays {
                    steps.push_front(NextStep::Direct(DirectTimeout::Short));
                }
                steps.push_back(NextStep::Direct(DirectTimeout::Full));
            }
            // The next call may find a relay before the store responds to this host again.
            false => steps.push_back(NextStep::Direct(DirectTimeout::Short)),
        }
        StoreCall {
            steps,
            is_refusal_final: false,
        }
    }

    /// Begins an append, whose records may be many. In an outage of the store they are not sent to other hosts: the smaller
    /// calls of this host show when one of them can relay again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_relay::{DirectTimeout, NextStep, StoreCall, StorePath};
    /// let mut path = StorePath::default();
    /// path.record_direct(false, Duration::ZERO);
    /// (0..6).for_each(|_| path.record_relay_without_path(Duration::ZERO));
    /// let call = StoreCall::begin_append(&path, vec!["h2".into()], Duration::ZERO);
    /// assert_eq!(call.step(), &NextStep::Direct(DirectTimeout::Short));
    /// ```
    pub fn begin_append(path: &StorePath, peers: Vec<HostId>, now: Duration) -> Self {
        let mut call = StoreCall::begin(path, peers);
        if path.is_outage(now) {
            call.steps
                .retain(|step| !matches!(step, NextStep::Relay(_)));
        }
        call
    }

    /// Begins a read. If the direct way is up, a read that the store refuses is not sent through other hosts: all hosts
    /// share the store's capacity for reads.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bamboo_relay::{AttemptOutcome, NextStep, StoreCall, StorePath};
    /// let mut read = StoreCall::begin_read(&StorePath::default(), vec!["h2".into()]);
    /// read.advance(AttemptOutcome::Refused, Duration::ZERO);
    /// assert_eq!(read.step(), &NextStep::GiveUp);
    /// ```
    pub fn begin_read(path: &StorePath, peers: Vec<HostId>) -> Self {
        StoreCall {
            is_refusal_final: path.is_direct_up(),
            ..StoreCall::begin(path, peers)
        }
    }

    /// The current step.
    pub fn step(&self) -> &NextStep {
        self.steps.front().unwrap_or(&NextStep::GiveUp)
    }

    /// Chooses the next step after one that got no response, `elapsed` after the begin of the call.
    pub fn advance(&mut self, outcome: AttemptOutcome, elapsed: Duration) {
        let step = self.steps.pop_front();
        match (step, outcome) {
            // The store refuses the call at two hosts.
            (Some(NextStep::Relay(_)), AttemptOutcome::Refused) => self.steps.clear(),
            (Some(NextStep::Direct(_)), AttemptOutcome::Refused) if self.is_refusal_final => {
                self.steps.clear();
            }
            (Some(NextStep::Direct(_)), AttemptOutcome::Refused) => {
                self.steps
                    .retain(|step| !matches!(step, NextStep::Direct(_)));
            }
            _ => {}
        }
        if elapsed >= CALL_TIMEOUT {
            self.steps.clear();
        }
    }
}
