//! Clients that retry their operations until the outcome is known.

use std::time::Duration;

use bamboo_config::ChangeOutcome;
use bamboo_host::Answer;
use bamboo_result::ExecutionStatus;
use bamboo_types::JobId;
use bamboo_types::RequestId;
use bamboo_types::Timestamp;
use bamboo_types::job_id;

use super::world::Simulation;

/// Time after which a client resends an unanswered request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(7);
/// Delay before a refused request is resent.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// An operation of a client.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Submit a job under an idempotency key.
    Job { key: String, item_count: u32 },
    /// Cancel a job, once it is accepted.
    Cancel { key: String },
    /// Change a model resource to a version, based on its active revision.
    Change { name: String, version: u64 },
    /// Run a non-idempotent call under an idempotency key.
    Call { key: String },
}

/// A client with one operation.
#[derive(Debug)]
pub struct Client {
    pub operation: Operation,
    start_at: Timestamp,
    next_host: usize,
    request: Option<RequestId>,
    sent_at: Timestamp,
    pub is_done: bool,
}

impl Client {
    pub fn new(operation: Operation, start_at: Timestamp, next_host: usize) -> Self {
        Client {
            operation,
            start_at,
            next_host,
            request: None,
            sent_at: Duration::ZERO,
            is_done: false,
        }
    }

    /// Handles an answer, and sends or resends the request when it is due.
    pub fn advance(&mut self, sim: &mut Simulation) {
        if self.is_done || sim.now < self.start_at {
            return;
        }
        if let Some(request) = self.request {
            match sim.answers.get(&request).cloned() {
                Some(answer) => self.handle_answer(sim, request, &answer),
                None if sim.now < self.sent_at + ANSWER_TIMEOUT => return,
                None => {}
            }
        }
        let may_send = self.request.is_none() || sim.now >= self.sent_at + RETRY_DELAY;
        if !self.is_done && may_send && !self.is_call_in_flight(sim) {
            self.send(sim);
        }
    }

    /// Sends the operation once more, whatever its outcome, and goes on waiting for the earlier request.
    pub fn resend(&mut self, sim: &mut Simulation) {
        let (request, sent_at) = (self.request, self.sent_at);
        self.send(sim);
        if request.is_some() {
            (self.request, self.sent_at) = (request, sent_at);
        }
    }

    /// Whether a call was dispatched to the service and may still be answered.
    fn is_call_in_flight(&self, sim: &Simulation) -> bool {
        let answer = self.request.and_then(|request| sim.answers.get(&request));
        matches!(answer, Some(Answer::Dispatch(_))) && sim.now < self.sent_at + ANSWER_TIMEOUT
    }

    fn handle_answer(&mut self, sim: &mut Simulation, request: RequestId, answer: &Answer) {
        match (&self.operation, answer) {
            (Operation::Job { .. }, Answer::Job(view)) => {
                sim.accepted.insert(view.job, view.total_count);
                self.is_done = true;
            }
            (Operation::Cancel { .. }, Answer::Job(view)) => {
                sim.cancelled.insert(view.job);
                sim.cancel_answered_at.entry(view.job).or_insert(sim.now);
                self.is_done = true;
            }
            (
                Operation::Change { name, .. },
                Answer::Config(ChangeOutcome::Applied { revision }),
            ) => {
                sim.applied_changes.push((name.clone(), *revision));
                self.is_done = true;
            }
            // The call is done once it was executed. If its host was killed before, the outcome is unknown.
            (Operation::Call { .. }, Answer::Dispatch(_)) => {
                self.is_done = sim.call_run_counts.contains_key(&request)
            }
            (Operation::Call { .. }, Answer::Replay { .. }) => self.is_done = true,
            (Operation::Call { .. }, Answer::Refused(refusal))
                if refusal.code.execution_status() == ExecutionStatus::Unknown =>
            {
                self.is_done = true
            }
            _ => {}
        }
    }

    fn send(&mut self, sim: &mut Simulation) {
        let names: Vec<String> = sim
            .host_names()
            .into_iter()
            .filter(|name| sim.is_up(name))
            .collect();
        if names.is_empty() {
            return;
        }
        let host = names[self.next_host % names.len()].clone();
        self.next_host += 1;
        self.sent_at = sim.now;
        self.request = Some(match &self.operation {
            Operation::Job { key, item_count } => sim.submit(&host, key, *item_count).0,
            Operation::Cancel { key } => {
                let job: JobId = job_id("workspace", key);
                if !sim.accepted.contains_key(&job) {
                    self.request = None;
                    return;
                }
                sim.cancel(&host, job)
            }
            Operation::Change { name, version } => {
                let core = sim.core(&host);
                let stored = core
                    .and_then(|core| core.config().get(bamboo_config::ResourceKind::Model, name));
                let based_on = stored.map_or(0, |stored| stored.revision);
                sim.propose(&host, name, based_on, *version)
            }
            Operation::Call { key } => sim.keyed_call(&host, key),
        });
    }
}

/// Lists calls that ran twice, or that ran although their caller was told that they did not.
pub fn call_violations(sim: &Simulation) -> Vec<String> {
    let mut found = Vec::new();
    let mut runs_of_key = std::collections::BTreeMap::new();
    for (request, count) in &sim.call_run_counts {
        *runs_of_key
            .entry(sim.call_keys.get(request).cloned())
            .or_insert(0) += count;
        if let Some(Answer::Refused(refusal)) = sim.answers.get(request)
            && refusal.code.execution_status() == ExecutionStatus::NotExecuted
        {
            found.push(format!(
                "call {request} ran and was answered with {refusal}"
            ));
        }
    }
    for (key, count) in runs_of_key {
        if count > 1 {
            found.push(format!("call {key:?} ran {count} times"));
        }
    }
    found
}
