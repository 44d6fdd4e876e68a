//! Submission of jobs. Any host accepts them, through the owner of the job's shard or through the store.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::RouteKind;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::split_record;
use bytes::Bytes;
use http::Response;
use http::StatusCode;

use crate::gateway::Gateway;
use crate::jobs::JobShards;
use crate::jobs::append::append_bytes;
use crate::jobs::calls::STORE_TIMEOUT;
use crate::jobs::calls::http_reply;
use crate::jobs::calls::to_response;
use crate::jobs::calls::unavailable;
use crate::jobs::shard::AppendOutcome;
use crate::jobs::submitted::SUBMITTED_TOPIC;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
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
/// Timeout of a request to the coordinator to reserve queue capacity.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Reply to a call that may have taken effect.
fn outcome_unknown() -> PeerReply {
    http_reply(StatusCode::GATEWAY_TIMEOUT, Vec::new())
}

/// Whether the reply guarantees that the call had no effect and may be retried.
fn is_refusal(reply: &PeerReply) -> bool {
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    matches!(reply, PeerReply::Http { status, .. } if refusals.iter().any(|code| code.as_u16() == *status))
}

impl JobShards {
    /// Submits a job for a caller.
    pub(crate) async fn submit(
        &self,
        gateway: &Rc<Gateway>,
        job: &str,
        host: &str,
        path: &str,
        body: Bytes,
    ) -> Response<ResponseBody> {
        let partition = self.partition_of(gateway, job);
        let started = gateway.clock.now();
        // A task of its own: a caller that leaves would otherwise end it while the job is being stored.
        let submission = {
            let gateway = Rc::clone(gateway);
            let (job, host, path) = (job.to_owned(), host.to_owned(), path.to_owned());
            actix_rt::spawn(async move {
                let jobs = &gateway.jobs;
                jobs.route_submission(&gateway, partition, &job, &host, &path, &body)
                    .await
            })
        };
        let (reply, via) = submission.await.unwrap_or_else(|error| {
            log::error!(event = "task_failed", task = "submission", job; "the task of a submission failed: {error}");
            (outcome_unknown(), "failed")
        });
        let response = to_response(Some(reply));
        let took_ms = gateway.clock.now().saturating_sub(started).as_millis() as u64;
        log::info!(
            event = "job_submitted", job, partition, status = response.status().as_u16(), way = via, took_ms;
            "job submitted"
        );
        response
    }

    /// Submits a job to the owner of its shard or, if the owner cannot be reached, to the store. Also returns which of
    /// them handled it.
    async fn route_submission(
        &self,
        gateway: &Rc<Gateway>,
        partition: Partition,
        job: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> (PeerReply, &'static str) {
        if self.is_owned_locally(partition) {
            let reply = self.submit_as_owner(gateway, job, host, path, body).await;
            return (reply, "here");
        }
        let owner = gateway.coordination.borrow().owner_of(partition);
        let owner = owner.filter(|owner| *owner != gateway.local.host);
        let mut may_be_accepted = false;
        if let Some(owner) = owner {
            let request = PeerRequest::Submit {
                job: job.to_owned(),
                host: host.to_owned(),
                path: path.to_owned(),
                body: body.to_vec(),
            };
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
        let reply = self
            .submit_to_store(gateway, partition, job, host, path, body)
            .await;
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
        job: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> PeerReply {
        let record = match job_record(gateway, job, host, path, body) {
            Ok(record) => Rc::new(record),
            Err(reply) => return reply,
        };
        let records = match accepted_fragments(gateway, &record) {
            Ok(records) => records,
            Err(reply) => return reply,
        };
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
        self.remove_reserved(&record.route, tokens);
        match stored {
            Ok(StoreReply::Appended { .. }) => http_reply(StatusCode::ACCEPTED, Vec::new()),
            Err(StoreError::Refused(_) | StoreError::Unreachable(_)) => unavailable(),
            Ok(_) | Err(StoreError::Unknown(_)) => outcome_unknown(),
        }
    }

    /// Submits a job as the owner of its shard.
    pub(crate) async fn submit_as_owner(
        &self,
        gateway: &Rc<Gateway>,
        job: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> PeerReply {
        let partition = self.partition_of(gateway, job);
        let Some(shard) = self.shard(partition).filter(|shard| shard.is_open()) else {
            return unavailable();
        };
        let _submission = self.submissions.begin(job).await;
        if shard.state.borrow().job(job).is_some() {
            return http_reply(StatusCode::ACCEPTED, Vec::new());
        }
        let record = match job_record(gateway, job, host, path, body) {
            Ok(record) => Rc::new(record),
            Err(reply) => return reply,
        };
        if let Err(reply) = accepted_fragments(gateway, &record) {
            return reply;
        }
        if shard.failing_for(gateway.clock.now()) > STORE_FAILURE_MAX {
            return unavailable();
        }
        let tokens = record.items.iter().map(|item| item.tokens).sum();
        if let Err(reply) = self.reserve(gateway, &record, tokens).await {
            return reply;
        }
        let route = record.route.clone();
        let stored = shard
            .append_and_wait(Record::Accepted(record), STORE_TIMEOUT)
            .await;
        self.remove_reserved(&route, tokens);
        match stored {
            AppendOutcome::Stored => http_reply(StatusCode::ACCEPTED, Vec::new()),
            AppendOutcome::NotStored => unavailable(),
            AppendOutcome::Unknown => outcome_unknown(),
        }
    }

    /// Reserves queue capacity on the route of a job for its tokens.
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
            self.add_reserved(&record.route, tokens);
            return Ok(());
        }
        let coordinator = gateway.coordination.borrow().coordinator().clone();
        let reply = if coordinator == gateway.local.host {
            Some(gateway.reserve(&gateway.local.host, &record.route, tokens, max_tokens))
        } else {
            let request = PeerRequest::Reserve {
                route: record.route.clone(),
                tokens,
                max_tokens,
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
                self.add_reserved(&record.route, tokens);
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

fn job_record(
    gateway: &Gateway,
    job: &str,
    host: &str,
    path: &str,
    body: &[u8],
) -> Result<JobRecord, PeerReply> {
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
        host: host.to_owned(),
        route: route.name.clone(),
        submitted_at_ms: gateway.clock.unix_ms(),
        completion_target_ms: completion_target.as_millis() as u64,
        retention_ms: retention.as_millis() as u64,
        attempts_max: route.attempts_max.max(1),
        items,
    })
}
