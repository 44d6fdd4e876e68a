//! Submission of jobs. Any host accepts them, through the owner of the job's shard or through the store.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::BufferReservation;
use bamboo_fleet::RouteKind;
use bamboo_shards::JobAccess;
use bamboo_shards::JobCaller;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::split_record;
use bamboo_types::WorkspaceId;
use bytes::Bytes;
use http::Response;
use http::StatusCode;

use crate::gateway::Gateway;
use crate::jobs::JobShards;
use crate::jobs::append::append_bytes;
use crate::jobs::calls::STORE_TIMEOUT;
use crate::jobs::calls::access;
use crate::jobs::calls::http_reply;
use crate::jobs::calls::to_response;
use crate::jobs::calls::unavailable;
use crate::jobs::shard::AppendOutcome;
use crate::jobs::submitted::SUBMITTED_TOPIC;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::REQUEST_TERMS_SINCE;
use crate::response_body::ResponseBody;
use crate::store::Partition;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Timeout of a submission to the owner of a shard. Callers wait for 4 s; the rest is left for the fallback to the
/// store.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long appends may have been failing before submissions are refused without an attempt.
const STORE_FAILURE_MAX: Duration = Duration::from_millis(400);
/// Copies of a submission that exist besides its body: the decoded items, and the records or the message made of them.
const SUBMISSION_COPIES: usize = 3;
/// Memory that a text of a submission takes once decoded, besides its characters.
const DECODED_TEXT_BYTES: usize = 96;
/// Timeout of a request to the coordinator to reserve queue capacity.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Reply to a call that may have taken effect.
fn outcome_unknown() -> PeerReply {
    http_reply(StatusCode::GATEWAY_TIMEOUT, Vec::new())
}

/// Reply to a submission for which there is no memory. Unlike 503, it does not have the host that passed the job on submit it to
/// the store.
fn no_memory(gateway: &Gateway, reason: &'static str) -> PeerReply {
    gateway.turn_away(reason);
    http_reply(StatusCode::TOO_MANY_REQUESTS, Vec::new())
}

/// Reserves memory for what a submission with this body is decoded to, and for its copies. Returns `None` if there is none.
pub(crate) fn reserve_submission(gateway: &Gateway, body: &[u8]) -> Option<BufferReservation> {
    let texts = body.iter().filter(|byte| **byte == b'"').count() / 2;
    let texts = texts.min(gateway.dialect.job_texts_max);
    let copies = body.len().saturating_mul(SUBMISSION_COPIES);
    let bytes = copies.saturating_add(texts.saturating_mul(DECODED_TEXT_BYTES));
    gateway.caller_bodies.reserve(bytes)
}

/// Whether the reply guarantees that the call had no effect and may be retried.
fn is_refusal(reply: &PeerReply) -> bool {
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    matches!(reply, PeerReply::Http { status, .. } if refusals.iter().any(|code| code.as_u16() == *status))
}

/// A job that a caller submits.
#[derive(Debug, Clone)]
pub(crate) struct JobSubmission {
    /// Identifier of the job.
    pub(crate) job: String,
    /// `Host` header.
    pub(crate) host: String,
    /// Path of the caller's request.
    pub(crate) path: String,
    /// Body of the caller's request.
    pub(crate) body: Bytes,
    /// Workspace of the caller, which the job then belongs to.
    pub(crate) workspace: Option<WorkspaceId>,
}

impl JobSubmission {
    /// The request for the owner of the job's shard.
    fn peer_request(&self) -> PeerRequest {
        let (job, host, path) = (self.job.clone(), self.host.clone(), self.path.clone());
        let body = self.body.to_vec();
        match self.workspace.clone() {
            Some(workspace) => PeerRequest::SubmitFor {
                workspace,
                job,
                host,
                path,
                body,
            },
            None => PeerRequest::Submit {
                job,
                host,
                path,
                body,
            },
        }
    }
}

impl JobShards {
    /// Submits a job for a caller. `copies` is the memory that is reserved for its copies.
    pub(crate) async fn submit(
        &self,
        gateway: &Rc<Gateway>,
        submission: JobSubmission,
        copies: Option<BufferReservation>,
    ) -> Response<ResponseBody> {
        let job = submission.job.clone();
        let partition = self.partition_of(gateway, &job);
        let started = gateway.clock.now();
        // A task of its own: a caller that leaves would otherwise end it while the job is being stored.
        let submission = {
            let gateway = Rc::clone(gateway);
            actix_rt::spawn(async move {
                let _copies = copies;
                let jobs = &gateway.jobs;
                jobs.route_submission(&gateway, partition, &submission)
                    .await
            })
        };
        let (reply, via) = submission.await.unwrap_or_else(|error| {
            log::error!(event = "task_failed", task = "submission", job; "the task of a submission failed: {error}");
            (outcome_unknown(), "failed")
        });
        let response = to_response(gateway, Some(reply));
        let took_ms = gateway.clock.now().saturating_sub(started).as_millis() as u64;
        log::info!(
            event = "job_submitted", job, partition, status = response.status().as_u16(), way = via, took_ms;
            "job submitted"
        );
        response
    }

    /// Submits a job to the owner of its shard or, if the owner cannot be reached or does not know workspaces, to the store.
    /// Also returns which of them handled it.
    async fn route_submission(
        &self,
        gateway: &Rc<Gateway>,
        partition: Partition,
        submission: &JobSubmission,
    ) -> (PeerReply, &'static str) {
        if self.is_owned_locally(partition) {
            let caller = JobCaller::from(submission.workspace.clone());
            let reply = self.submit_as_owner(gateway, submission, &caller).await;
            return (reply, "here");
        }
        let owner = gateway.coordination.borrow().owner_of(partition);
        let mut may_be_accepted = false;
        if let Some(owner) = owner.filter(|owner| *owner != gateway.local.host)
            && (submission.workspace.is_none()
                || gateway.ask_decodes_since(&owner, REQUEST_TERMS_SINCE).await)
        {
            let request = submission.peer_request();
            let now = gateway.clock.now();
            match gateway
                .mesh
                .call(&owner, request, SUBMIT_TIMEOUT, now)
                .await
            {
                Some(PeerReply::Http { status, body })
                    if status != StatusCode::SERVICE_UNAVAILABLE.as_u16() =>
                {
                    return (PeerReply::Http { status, body }, "owner");
                }
                Some(_) => {}
                None => may_be_accepted = true,
            }
        }
        let reply = self.submit_to_store(gateway, partition, submission).await;
        match may_be_accepted && is_refusal(&reply) {
            // The owner may have accepted the job, so a refusal would wrongly state that the job does not run.
            true => (outcome_unknown(), "store"),
            false => (reply, "store"),
        }
    }

    /// Appends a job to the topic of submitted jobs, from which the owner of its shard reads it.
    async fn submit_to_store(
        &self,
        gateway: &Rc<Gateway>,
        partition: Partition,
        submission: &JobSubmission,
    ) -> PeerReply {
        let record = match job_record(gateway, submission) {
            Ok(record) => Rc::new(record),
            Err(reply) => return reply,
        };
        let records = match accepted_fragments(gateway, &record) {
            Ok(records) => records,
            Err(reply) => return reply,
        };
        let now = gateway.clock.now();
        let index_bytes = record.index_bytes();
        if !self.store_submissions.admit(partition, index_bytes, now) {
            return no_memory(gateway, "store_submissions_full");
        }
        let tokens = record.items.iter().map(|item| item.tokens).sum();
        if let Err(reply) = self.reserve(gateway, &record, tokens).await {
            return reply;
        }
        let request = StoreRequest::Append {
            topic: SUBMITTED_TOPIC.to_owned(),
            partition,
            records,
            fence: None,
        };
        let stored = gateway.store_call(&request).await;
        self.remove_reserved(&record.queue(), tokens);
        match stored {
            Ok(StoreReply::Appended { .. }) => http_reply(StatusCode::ACCEPTED, Vec::new()),
            Err(StoreError::Refused(_) | StoreError::Unreachable(_)) => unavailable(),
            Ok(_) | Err(StoreError::Unknown(_)) => outcome_unknown(),
        }
    }

    /// Submits a job for another host as the owner of its shard.
    pub(crate) async fn submit_for_host(
        &self,
        gateway: &Rc<Gateway>,
        submission: &JobSubmission,
        caller: &JobCaller,
    ) -> PeerReply {
        // One that was accepted before needs no copies.
        let copies = reserve_submission(gateway, &submission.body);
        if copies.is_none() && !self.has_accepted(gateway, &submission.job) {
            return no_memory(gateway, "job_buffers_full");
        }
        self.submit_as_owner(gateway, submission, caller).await
    }

    /// Whether this host owns the shard of a job and knows that it was accepted.
    pub(crate) fn has_accepted(&self, gateway: &Gateway, job: &str) -> bool {
        let shard = self.shard(self.partition_of(gateway, job));
        shard.is_some_and(|shard| shard.is_open() && shard.state.borrow().job(job).is_some())
    }

    /// Submits a job as the owner of its shard.
    async fn submit_as_owner(
        &self,
        gateway: &Rc<Gateway>,
        submission: &JobSubmission,
        caller: &JobCaller,
    ) -> PeerReply {
        let job = submission.job.as_str();
        let partition = self.partition_of(gateway, job);
        let Some(shard) = self.shard(partition).filter(|shard| shard.is_open()) else {
            return unavailable();
        };
        let _submission = self.submissions.begin(job).await;
        if let Some(found) = shard.state.borrow().job(job) {
            return submitted_again(gateway, &found.record, caller);
        }
        let record = match job_record(gateway, submission) {
            Ok(record) => Rc::new(record),
            Err(reply) => return reply,
        };
        if let Err(reply) = accepted_fragments(gateway, &record) {
            return reply;
        }
        if shard.failing_for(gateway.clock.now()) > STORE_FAILURE_MAX {
            return unavailable();
        }
        let Some(index) = shard.state.borrow().reserve(&record) else {
            return no_memory(gateway, "jobs_full");
        };
        let tokens = record.items.iter().map(|item| item.tokens).sum();
        if let Err(reply) = self.reserve(gateway, &record, tokens).await {
            return reply;
        }
        let queue = record.queue();
        let stored = shard.accept_and_wait(record, index, STORE_TIMEOUT).await;
        self.remove_reserved(&queue, tokens);
        match stored {
            // A job that came through the store meanwhile was accepted before this one.
            AppendOutcome::Stored => match shard.state.borrow().job(job) {
                Some(found) => submitted_again(gateway, &found.record, caller),
                None => http_reply(StatusCode::ACCEPTED, Vec::new()),
            },
            AppendOutcome::NotStored => unavailable(),
            AppendOutcome::Unknown => outcome_unknown(),
        }
    }

    /// Reserves queue capacity for the tokens of a job.
    async fn reserve(
        &self,
        gateway: &Rc<Gateway>,
        record: &JobRecord,
        tokens: u64,
    ) -> Result<(), PeerReply> {
        let max_tokens = match gateway.config().and_then(|config| {
            config
                .routes
                .iter()
                .find(|route| route.name == record.route)
                .map(|route| route.kind.clone())
        }) {
            Some(RouteKind::Batch {
                waiting_max_tokens, ..
            }) => waiting_max_tokens,
            _ => return Err(unavailable()),
        };
        if max_tokens == 0 {
            self.add_reserved(record.queue(), tokens);
            return Ok(());
        }
        let queue = record.queue();
        let coordinator = gateway.coordination.borrow().coordinator().clone();
        let reply = if coordinator == gateway.local.host {
            let host = &gateway.local.host;
            Some(gateway.reserve(host, &queue, Some(&record.id), tokens, max_tokens))
        } else {
            let request = match gateway.decodes_since(&coordinator, REQUEST_TERMS_SINCE) {
                true => PeerRequest::ReserveFor {
                    job: record.id.clone(),
                    queue: String::from(&queue),
                    tokens,
                    max_tokens,
                },
                false => PeerRequest::Reserve {
                    route: String::from(&queue),
                    tokens,
                    max_tokens,
                },
            };
            let now = gateway.clock.now();
            gateway
                .mesh
                .call(&coordinator, request, RESERVE_TIMEOUT, now)
                .await
        };
        match reply {
            Some(PeerReply::Reserved(Some(number))) => {
                // Each coordinator numbers its own reservations.
                if gateway.is_coordinator(&coordinator) {
                    self.last_reservation
                        .set(self.last_reservation.get().max(number));
                }
                self.add_reserved(record.queue(), tokens);
                Ok(())
            }
            Some(PeerReply::Reserved(None)) => {
                Err(http_reply(StatusCode::TOO_MANY_REQUESTS, Vec::new()))
            }
            _ => Err(unavailable()),
        }
    }
}

/// Encodes the record of an accepted job as fragments for one append. A job that does not fit into an append is
/// rejected, since the store would refuse it, and all records after it, for good.
fn accepted_fragments(
    gateway: &Gateway,
    record: &Rc<JobRecord>,
) -> Result<Vec<Vec<u8>>, PeerReply> {
    let job = record.id.as_str();
    let store = &gateway.settings.store;
    let bytes = Record::Accepted(Rc::clone(record))
        .to_bytes()
        .map_err(|error| {
            log::error!(event = "job_malformed", job; "cannot encode submitted job: {error}");
            unavailable()
        })?;
    let fragments = split_record(&bytes, store.record_max_bytes);
    if append_bytes(&fragments) > store.append_max_bytes {
        log::info!(event = "job_too_large", job, bytes = bytes.len(); "rejected a job that does not fit into an append");
        return Err(http_reply(StatusCode::PAYLOAD_TOO_LARGE, Vec::new()));
    }
    Ok(fragments)
}

/// Reply to the submission of a job that has been accepted before.
pub(super) fn submitted_again(gateway: &Gateway, job: &JobRecord, caller: &JobCaller) -> PeerReply {
    match access(gateway, job, caller) {
        JobAccess::Granted => http_reply(StatusCode::ACCEPTED, Vec::new()),
        JobAccess::Denied => http_reply(StatusCode::CONFLICT, Vec::new()),
        JobAccess::Undecided => unavailable(),
    }
}

fn job_record(gateway: &Gateway, submission: &JobSubmission) -> Result<JobRecord, PeerReply> {
    let JobSubmission {
        job,
        host,
        path,
        body,
        workspace,
    } = submission;
    let job = job.as_str();
    let items = (gateway.dialect.decode_job_items)(body).map_err(|error| {
        log::info!(event = "job_malformed", job; "cannot parse submitted job: {error:#}");
        http_reply(StatusCode::BAD_REQUEST, Vec::new())
    })?;
    let config = gateway.config().ok_or_else(unavailable)?;
    let route = config.find_route(host, path).ok_or_else(unavailable)?;
    let RouteKind::Batch {
        completion_target,
        retention,
        ..
    } = route.kind
    else {
        return Err(unavailable());
    };
    Ok(JobRecord {
        id: job.to_owned(),
        host: host.clone(),
        route: route.name.clone(),
        submitted_at_ms: gateway.clock.unix_ms(),
        completion_target_ms: completion_target.as_millis() as u64,
        retention_ms: retention.as_millis() as u64,
        attempts_max: route.attempts_max.max(1),
        items,
        workspace: workspace.clone(),
    })
}
