//! Passive health checks: ejects servers by the outcomes of real requests.

use std::time::Duration;

use crate::RunOutcome;

/// Accumulated penalty at which a server is ejected.
const EJECTION_THRESHOLD: f64 = 1.0;
/// Penalty of a failed connection. A single one ejects the server.
const UNREACHABLE_PENALTY: f64 = 1.0;
/// Penalty of a run that timed out. Two in a row eject the server; one does not, because a single response may be
/// lost on the way.
const SILENT_PENALTY: f64 = 0.5;
/// Penalty of a broken run. It is low, because a server may truncate single responses for a while and still be
/// usable.
const BROKEN_PENALTY: f64 = 0.25;
/// Penalty of an error response. It is low, because the request itself may be the cause.
const FAILED_PENALTY: f64 = 0.25;
/// Factor by which a completed run reduces the penalty.
const PENALTY_DECAY: f64 = 0.4;
/// Duration of the first ejection. It doubles with each further ejection until a run completes.
const EJECTION_INITIAL: Duration = Duration::from_millis(500);
/// Upper bound for the duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// Time without new requests after a server rejected one for lack of capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Health of one server, kept as a circuit breaker: closed, ejected (open), or half-open after an ejection.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    penalty: f64,
    ejections: u32,
    ejected_until: Duration,
    is_half_open: bool,
    full_until: Duration,
}

impl Health {
    /// Records the outcome of a run that began at `started_at`. Runs that began before the end of the last ejection say
    /// nothing about the server since, so that their outcomes neither end the ejection nor extend it.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut health = bamboo_slots::Health::default();
    /// health.record(bamboo_slots::RunOutcome::Unreachable, Duration::ZERO, Duration::ZERO);
    /// assert!(!health.is_usable(0, Duration::ZERO));
    /// assert!(health.is_usable(0, Duration::from_secs(1)));
    /// ```
    pub fn record(&mut self, outcome: RunOutcome, started_at: Duration, now: Duration) {
        if outcome == RunOutcome::Full {
            self.full_until = self.full_until.max(now + FULL_BACKOFF);
        }
        if !self.is_since_ejection(started_at) {
            return;
        }
        match outcome {
            RunOutcome::Done => {
                self.penalty *= PENALTY_DECAY;
                self.ejections = 0;
                self.is_half_open = false;
            }
            RunOutcome::Cancelled | RunOutcome::Full | RunOutcome::NoPath => {}
            RunOutcome::Unreachable | RunOutcome::Misdirected => {
                self.add_penalty(UNREACHABLE_PENALTY, now)
            }
            RunOutcome::Silent => self.add_penalty(SILENT_PENALTY, now),
            RunOutcome::Broken => self.add_penalty(BROKEN_PENALTY, now),
            RunOutcome::Failed => self.add_penalty(FAILED_PENALTY, now),
        }
    }

    fn add_penalty(&mut self, penalty: f64, now: Duration) {
        self.penalty += penalty;
        if self.penalty < EJECTION_THRESHOLD && !self.is_half_open {
            return;
        }
        let duration = EJECTION_INITIAL * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + duration.min(EJECTION_MAX);
        self.ejections += 1;
        self.penalty = 0.0;
        self.is_half_open = true;
    }

    /// Whether a run that began at `started_at` began after the last ejection had ended.
    pub fn is_since_ejection(&self, started_at: Duration) -> bool {
        started_at >= self.ejected_until
    }

    /// Whether the next run is a probe, which decides whether the server is ejected again.
    pub fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    /// Whether the server is ejected or half-open.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.is_half_open || now < self.ejected_until
    }

    /// Whether the server may get another run. A half-open server gets one run at a time until one succeeds;
    /// `probe_count` is the number of its current runs that began after the ejection.
    pub fn is_usable(&self, probe_count: usize, now: Duration) -> bool {
        now >= self.ejected_until
            && now >= self.full_until
            && (!self.is_half_open || probe_count == 0)
    }
}
