//! Calls about jobs, at any host: answered by the owner of the job's shard.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::RouteKind;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::split_record;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::JobCall;
use crate::gateway::Gateway;
use crate::jobs::JobShards;
use crate::jobs::part::OwnedPart;
use crate::jobs::part::Stored;
use crate::jobs::part::is_newest_known;
use crate::jobs::submitted::Reading;
use crate::jobs::submitted::SUBMITTED_TOPIC;
use crate::jobs::submitted::read_submitted;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::response_body::ResponseBody;
use crate::store::Partition;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Time for an answer of a shard's owner, beyond the time that it may wait.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for an answer of a shard's owner to a submission: leaves the store time within the 4 s that callers wait.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time for the store to take a record that a caller waits for.
const STORE_PATIENCE: Duration = Duration::from_millis(2200);
/// Failure of appends after which submissions are refused before they are tried.
const STORE_FAILING: Duration = Duration::from_millis(400);
/// Time for the coordinator to reserve room.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a result.
const RESULT_WAIT_MAX: Duration = Duration::from_millis(1000);
/// Bytes of text in one answer.
const PAGE_MAX_BYTES: usize = 900_000;
/// When to come back to a shard without an owner that answers.
const RETRY_AFTER: &str = "0.3";

fn http_reply(status: StatusCode, body: Vec<u8>) -> PeerReply {
    PeerReply::Http {
        status: status.as_u16(),
        body,
    }
}

/// The call may have taken effect.
fn unknown() -> PeerReply {
    http_reply(StatusCode::GATEWAY_TIMEOUT, Vec::new())
}

/// Whether the answer says that the call took no effect and may come again.
fn is_refusal(reply: &PeerReply) -> bool {
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    matches!(reply, PeerReply::Http { status, .. } if refusals.iter().any(|code| code.as_u16() == *status))
}

fn not_sure() -> PeerReply {
    http_reply(StatusCode::SERVICE_UNAVAILABLE, Vec::new())
}

fn not_found() -> PeerReply {
    http_reply(StatusCode::NOT_FOUND, Vec::new())
}

fn to_response(reply: Option<PeerReply>) -> Response<ResponseBody> {
    let (status, body) = match reply {
        Some(PeerReply::Http { status, body }) => (status, body),
        _ => (StatusCode::SERVICE_UNAVAILABLE.as_u16(), Vec::new()),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER));
    }
    response
}

impl JobShards {
    fn partition_of(&self, gateway: &Gateway, job: &str) -> Partition {
        (xxh3_64(job.as_bytes()) % u64::from(gateway.settings.store.shard_count)) as Partition
    }

    fn is_here(&self, partition: Partition) -> bool {
        self.part(partition).is_some_and(|part| part.is_open())
    }

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
        let (reply, way) = self
            .submit_somewhere(gateway, partition, job, host, path, &body)
            .await;
        let response = to_response(Some(reply));
        let took_ms = gateway.clock.now().saturating_sub(started).as_millis() as u64;
        log::info!(
            event = "job_submitted", job, partition, status = response.status().as_u16(), way, took_ms;
            "job submitted"
        );
        response
    }

    /// Submits a job to the owner of its shard or, where that cannot be reached, to the store.
    async fn submit_somewhere(
        &self,
        gateway: &Rc<Gateway>,
        partition: Partition,
        job: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> (PeerReply, &'static str) {
        if self.is_here(partition) {
            let reply = self.submit_here(gateway, job, host, path, body).await;
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
            // The owner may have accepted it: that is no promise that it does not run.
            true => (unknown(), "store"),
            false => (reply, "store"),
        }
    }

    /// Leaves a job in the store for the next owner of its shard.
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
        let records = match Record::Accepted(Rc::clone(&record)).to_bytes() {
            Ok(bytes) => split_record(&bytes, gateway.settings.store.record_max_bytes),
            Err(error) => {
                log::error!(event = "job_malformed", job; "a job cannot be encoded: {error}");
                return not_sure();
            }
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
            Err(StoreError::Refused(_)) => not_sure(),
            Ok(_) | Err(StoreError::Unknown(_)) => unknown(),
        }
    }

    /// Answers a call about a job for a caller.
    pub(crate) async fn call(
        &self,
        gateway: &Rc<Gateway>,
        call: JobCall,
    ) -> Response<ResponseBody> {
        let partition = self.partition_of(gateway, call.job());
        if self.is_here(partition) {
            return to_response(Some(self.call_here(gateway, call).await));
        }
        let owner = gateway.coordination.borrow().owner_of(partition);
        let reply = match owner {
            Some(owner) if owner != gateway.local.host => {
                let timeout = OWNER_TIMEOUT
                    + match call {
                        JobCall::Read { wait, .. } => wait.min(RESULT_WAIT_MAX),
                        JobCall::Cancel { .. } => STORE_PATIENCE,
                        JobCall::ItemBody { .. } => Duration::ZERO,
                    };
                let now = gateway.clock.now();
                gateway
                    .mesh
                    .call(&owner, PeerRequest::Job(call), timeout, now)
                    .await
            }
            _ => None,
        };
        to_response(reply)
    }

    /// Submits a job as the owner of its shard.
    pub(crate) async fn submit_here(
        &self,
        gateway: &Rc<Gateway>,
        job: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> PeerReply {
        let partition = self.partition_of(gateway, job);
        let Some(part) = self.part(partition).filter(|part| part.is_open()) else {
            return not_sure();
        };
        if part.shard.borrow().job(job).is_some() {
            return http_reply(StatusCode::ACCEPTED, Vec::new());
        }
        let record = match job_record(gateway, job, host, path, body) {
            Ok(record) => Rc::new(record),
            Err(reply) => return reply,
        };
        if part.failing_for(gateway.clock.now()) > STORE_FAILING {
            return not_sure();
        }
        let tokens = record.items.iter().map(|item| item.tokens).sum();
        if let Err(reply) = self.reserve(gateway, &record, tokens).await {
            return reply;
        }
        let route = record.route.clone();
        let stored = part
            .append_and_wait(Record::Accepted(record), STORE_PATIENCE)
            .await;
        self.remove_reserved(&route, tokens);
        match stored {
            Stored::Yes => http_reply(StatusCode::ACCEPTED, Vec::new()),
            Stored::No => not_sure(),
            Stored::Unknown => unknown(),
        }
    }

    /// Reserves room for the tokens of a job on its route.
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
            _ => return Err(not_sure()),
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
                self.reservation.set(self.reservation.get().max(number));
                self.add_reserved(&record.route, tokens);
                Ok(())
            }
            Some(PeerReply::Reserved(None)) => {
                Err(http_reply(StatusCode::TOO_MANY_REQUESTS, Vec::new()))
            }
            _ => Err(not_sure()),
        }
    }

    /// Answers a call as the owner of the job's shard.
    pub(crate) async fn call_here(&self, gateway: &Rc<Gateway>, call: JobCall) -> PeerReply {
        let partition = self.partition_of(gateway, call.job());
        let Some(part) = self.part(partition).filter(|part| part.is_open()) else {
            return not_sure();
        };
        if !self.is_known_or_absent(gateway, &part, call.job()).await {
            return not_sure();
        }
        match call {
            JobCall::Read { job, after, wait } => {
                self.read(gateway, &part, &job, after, wait).await
            }
            JobCall::ItemBody { job, item } => self.item_body(&part, &job, &item),
            JobCall::Cancel { job } => self.end(&part, &job).await,
        }
    }

    /// Whether this host surely is still the owner of what the store dealt to it.
    fn is_member(&self, gateway: &Gateway) -> bool {
        gateway.clock.now() < self.member_until.get()
    }

    /// Whether a job is in the shard, or surely was accepted nowhere: neither by another host for this shard, nor by a
    /// later owner.
    async fn is_known_or_absent(
        &self,
        gateway: &Rc<Gateway>,
        part: &Rc<OwnedPart>,
        job: &str,
    ) -> bool {
        let is_known = || part.shard.borrow().job(job).is_some();
        is_known()
            || (read_submitted(gateway, part, Duration::ZERO).await == Reading::AtEnd
                && (is_known() || is_newest_known(gateway, part).await))
    }

    async fn read(
        &self,
        gateway: &Rc<Gateway>,
        part: &OwnedPart,
        job: &str,
        after: usize,
        wait: Duration,
    ) -> PeerReply {
        let until = gateway.clock.now() + wait.min(RESULT_WAIT_MAX);
        loop {
            let changed = part.listed.notified();
            let answer = {
                let shard = part.shard.borrow();
                let Some(found) = shard.job(job) else {
                    return not_found();
                };
                let page = found.page(after, PAGE_MAX_BYTES);
                let is_final = !page.results.is_empty()
                    || found.is_complete()
                    || found.is_cancelled()
                    || gateway.clock.now() >= until;
                if is_final && page.results.is_empty() && !self.is_member(gateway) {
                    return not_sure();
                }
                is_final.then(|| (gateway.dialect.write_results_page)(&found.record, &page))
            };
            match answer {
                Some(Ok(body)) => return http_reply(StatusCode::OK, body),
                Some(Err(error)) => {
                    log::error!(event = "page_failed", job; "results cannot be written: {error:#}");
                    return http_reply(StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
                }
                None if part.is_lost() => return not_sure(),
                None => {
                    let left = until.saturating_sub(gateway.clock.now());
                    // Without a change the loop answers with what there is.
                    let _ = tokio::time::timeout(left, changed).await;
                }
            }
        }
    }

    fn item_body(&self, part: &OwnedPart, job: &str, item: &str) -> PeerReply {
        let shard = part.shard.borrow();
        let Some(found) = shard.job(job) else {
            return not_found();
        };
        match found.find_item(item) {
            Some(index) if !found.has_result(index) && !found.is_cancelled() => http_reply(
                StatusCode::OK,
                found.record.items[index as usize].body.clone(),
            ),
            _ => not_found(),
        }
    }

    async fn end(&self, part: &OwnedPart, job: &str) -> PeerReply {
        let is_ended = match part.shard.borrow().job(job) {
            Some(found) => found.is_cancelled(),
            None => return not_found(),
        };
        if is_ended {
            return http_reply(StatusCode::OK, Vec::new());
        }
        let record = Record::Cancelled {
            job: job.to_owned(),
        };
        match part.append_and_wait(record, STORE_PATIENCE).await {
            Stored::Yes => http_reply(StatusCode::OK, Vec::new()),
            Stored::No | Stored::Unknown => not_sure(),
        }
    }
}

fn job_record(
    gateway: &Gateway,
    job: &str,
    host: &str,
    path: &str,
    body: &[u8],
) -> Result<JobRecord, PeerReply> {
    let items = (gateway.dialect.read_job_items)(body).map_err(|error| {
        log::info!(event = "job_malformed", job; "a submitted job cannot be read: {error:#}");
        http_reply(StatusCode::BAD_REQUEST, Vec::new())
    })?;
    let config = gateway.config().ok_or_else(not_sure)?;
    let route = config.find_route(host, path).ok_or_else(not_sure)?;
    let RouteKind::Batch {
        completion_target,
        retention,
        ..
    } = route.kind
    else {
        return Err(not_sure());
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
