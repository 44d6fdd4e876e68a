//! API calls about jobs that have been submitted. Any host accepts them; the owner of the job's shard answers them.

use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::Job;
use bamboo_shards::JobAccess;
use bamboo_shards::JobCaller;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_types::WorkspaceId;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::JobCall;
use crate::gateway::Gateway;
use crate::jobs::JobShards;
use crate::jobs::shard::AppendOutcome;
use crate::jobs::shard::OwnedShard;
use crate::jobs::shard::has_latest_records;
use crate::jobs::stored::ContentsError;
use crate::jobs::stored::LoadedPage;
use crate::jobs::stored::item_body;
use crate::jobs::stored::load_results;
use crate::jobs::submit::submitted_again;
use crate::jobs::submitted::ReadOutcome;
use crate::jobs::submitted::read_submitted;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::REQUEST_TERMS_SINCE;
use crate::response_body::ResponseBody;
use crate::store::Partition;
use crate::store::ReadExtent;
use crate::traffic::counted_bytes;

/// Timeout of a request to the owner of a shard, on top of the time that the owner itself may wait.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of appending a record that a caller waits for.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Maximum time that a read waits for further results.
const RESULT_WAIT_MAX: Duration = Duration::from_millis(1000);
/// Maximum size of one page of results as it is sent.
const PAGE_MAX_BYTES: usize = 1_000_000;
/// Number of bytes of text in one page of results to begin with.
const PAGE_TEXT_BYTES: usize = 900_000;
/// Value of `Retry-After`, in seconds, if the owner of the shard does not answer or capacity is exhausted.
const RETRY_AFTER: &str = "0.3";

pub(super) fn http_reply(status: StatusCode, body: Vec<u8>) -> PeerReply {
    PeerReply::Http {
        status: status.as_u16(),
        body,
    }
}

/// Reply to a call that the caller may retry.
pub(super) fn unavailable() -> PeerReply {
    http_reply(StatusCode::SERVICE_UNAVAILABLE, Vec::new())
}

fn not_found() -> PeerReply {
    http_reply(StatusCode::NOT_FOUND, Vec::new())
}

/// Whether a caller may make calls about a job, by the current configuration.
pub(super) fn access(gateway: &Gateway, job: &JobRecord, caller: &JobCaller) -> JobAccess {
    let config = gateway.config();
    let has_workspaces = config.map(|config| config.workspaces.is_some());
    job.access(caller, has_workspaces)
}

/// Encodes the results from position `after` on, as many as fit into a page. How long their text is in a page depends on its
/// characters. A result that is larger than a page gets one of its own.
fn encode_page(
    gateway: &Gateway,
    job: &Job,
    after: usize,
    loaded: &LoadedPage,
) -> anyhow::Result<Vec<u8>> {
    let mut text_max_bytes = PAGE_TEXT_BYTES;
    loop {
        let page = job.page(after, text_max_bytes, &loaded.results);
        let body = (gateway.dialect.encode_results_page)(&job.record, &page)?;
        if body.len() <= PAGE_MAX_BYTES || page.results.len() <= 1 {
            return Ok(body);
        }
        text_max_bytes /= 2;
    }
}

/// Bodies of replies up to this size are not counted: there is at most one for each connection.
const UNCOUNTED_REPLY_BYTES: usize = 4 << 10;

/// The response to a caller. Its body counts towards the memory of callers until it has been sent.
pub(super) fn to_response(gateway: &Gateway, reply: Option<PeerReply>) -> Response<ResponseBody> {
    let (status, body) = match reply {
        Some(PeerReply::Http { status, body }) => (status, body),
        _ => (StatusCode::SERVICE_UNAVAILABLE.as_u16(), Vec::new()),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let (status, body) = match count_body(gateway, body) {
        Some(body) => (status, body),
        None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
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

/// Counts the body of a reply. Returns `None` if there is no memory for it.
fn count_body(gateway: &Gateway, body: Vec<u8>) -> Option<Bytes> {
    if body.len() <= UNCOUNTED_REPLY_BYTES {
        return Some(body.into());
    }
    let Some(room) = gateway.caller_bodies.reserve(body.capacity()) else {
        gateway.turn_away("reply_buffers_full");
        return None;
    };
    Some(counted_bytes(body, room))
}

/// Timeout of a call to the owner of a shard.
fn owner_timeout(call: &JobCall) -> Duration {
    OWNER_TIMEOUT
        + match call {
            JobCall::Read { wait, .. } => (*wait).min(RESULT_WAIT_MAX),
            JobCall::Cancel { .. } => STORE_TIMEOUT,
            JobCall::ItemBody { .. } => Duration::ZERO,
        }
}

impl JobShards {
    pub(super) fn partition_of(&self, gateway: &Gateway, job: &str) -> Partition {
        (xxh3_64(job.as_bytes()) % u64::from(gateway.settings.store.shard_count)) as Partition
    }

    pub(super) fn is_owned_locally(&self, partition: Partition) -> bool {
        self.shard(partition).is_some_and(|shard| shard.is_open())
    }

    /// Answers a call about a job for a caller of a workspace, if any.
    pub(crate) async fn call(
        &self,
        gateway: &Rc<Gateway>,
        call: JobCall,
        workspace: Option<WorkspaceId>,
    ) -> Response<ResponseBody> {
        let partition = self.partition_of(gateway, call.job());
        if self.is_owned_locally(partition) {
            let caller = JobCaller::from(workspace);
            return to_response(
                gateway,
                Some(self.call_as_owner(gateway, call, &caller).await),
            );
        }
        let timeout = owner_timeout(&call);
        let request = match workspace {
            Some(workspace) => PeerRequest::JobFor { workspace, call },
            None => PeerRequest::Job(call),
        };
        to_response(
            gateway,
            self.ask_owner(gateway, partition, request, timeout).await,
        )
    }

    /// Answers a submission whose route the configuration does not have any more: 202 if the job was accepted before, 404
    /// if not, 409 if it is one of another workspace.
    pub(crate) async fn find_submitted(
        &self,
        gateway: &Rc<Gateway>,
        job: String,
        workspace: Option<WorkspaceId>,
    ) -> Response<ResponseBody> {
        let partition = self.partition_of(gateway, &job);
        if self.is_owned_locally(partition) {
            let caller = JobCaller::from(workspace);
            return to_response(
                gateway,
                Some(self.find_as_owner(gateway, &job, &caller).await),
            );
        }
        if let Some(workspace) = workspace {
            let request = PeerRequest::FindSubmittedFor { workspace, job };
            let reply = self.ask_owner(gateway, partition, request, OWNER_TIMEOUT);
            return to_response(gateway, reply.await);
        }
        let read = JobCall::Read {
            job,
            after: usize::MAX,
            wait: Duration::ZERO,
        };
        let request = PeerRequest::Job(read);
        let reply = self.ask_owner(gateway, partition, request, OWNER_TIMEOUT);
        let mut response = to_response(gateway, reply.await);
        if response.status() == StatusCode::OK {
            response = to_response(gateway, Some(http_reply(StatusCode::ACCEPTED, Vec::new())));
        }
        response
    }

    /// Passes a request to the other host that owns a shard. Returns `None` if the owner is unknown, does not reply, or does not
    /// know workspaces although the request names one.
    async fn ask_owner(
        &self,
        gateway: &Rc<Gateway>,
        partition: Partition,
        request: PeerRequest,
        timeout: Duration,
    ) -> Option<PeerReply> {
        let owner = gateway.coordination.borrow().owner_of(partition);
        let owner = owner.filter(|owner| *owner != gateway.local.host)?;
        let names_workspace = !matches!(request, PeerRequest::Job(_));
        if names_workspace && !gateway.ask_decodes_since(&owner, REQUEST_TERMS_SINCE).await {
            return None;
        }
        let now = gateway.clock.now();
        gateway.mesh.call(&owner, request, timeout, now).await
    }

    /// Answers a call as the owner of the job's shard.
    pub(crate) async fn call_as_owner(
        &self,
        gateway: &Rc<Gateway>,
        call: JobCall,
        caller: &JobCaller,
    ) -> PeerReply {
        let partition = self.partition_of(gateway, call.job());
        let Some(shard) = self.shard(partition).filter(|shard| shard.is_open()) else {
            return unavailable();
        };
        if !self.is_lookup_conclusive(gateway, &shard, call.job()).await {
            return unavailable();
        }
        let access = shard.state.borrow().job(call.job()).map_or(
            // A call about an unknown job is answered as such below.
            JobAccess::Granted,
            |found| access(gateway, &found.record, caller),
        );
        match access {
            JobAccess::Granted => {}
            JobAccess::Denied => return not_found(),
            JobAccess::Undecided => return unavailable(),
        }
        match call {
            JobCall::Read { job, after, wait } => {
                self.read_results(gateway, &shard, &job, after, wait).await
            }
            JobCall::ItemBody { job, item } => self.item_body(gateway, &shard, &job, &item).await,
            JobCall::Cancel { job } => self.cancel(&shard, &job).await,
        }
    }

    /// Answers as the owner of a job's shard whether the job was accepted, for a caller that submits it again.
    pub(crate) async fn find_as_owner(
        &self,
        gateway: &Rc<Gateway>,
        job: &str,
        caller: &JobCaller,
    ) -> PeerReply {
        let partition = self.partition_of(gateway, job);
        let Some(shard) = self.shard(partition).filter(|shard| shard.is_open()) else {
            return unavailable();
        };
        if !self.is_lookup_conclusive(gateway, &shard, job).await {
            return unavailable();
        }
        match shard.state.borrow().job(job) {
            Some(found) => submitted_again(gateway, &found.record, caller),
            None if self.is_membership_valid(gateway) => not_found(),
            None => unavailable(),
        }
    }

    /// Whether the group membership has not expired, so that the shards are certainly still owned by this host. It also lapses
    /// while the machine is suspended.
    fn is_membership_valid(&self, gateway: &Gateway) -> bool {
        gateway.clock.boot_time() < self.membership_expires_at.get()
    }

    /// Whether a lookup of a job can be answered: the job is in the shard, or it certainly was not accepted by another
    /// host on behalf of this shard or by a later owner.
    async fn is_lookup_conclusive(
        &self,
        gateway: &Rc<Gateway>,
        shard: &Rc<OwnedShard>,
        job: &str,
    ) -> bool {
        let is_known = || shard.state.borrow().job(job).is_some();
        is_known()
            || (read_submitted(gateway, shard, Duration::ZERO, ReadExtent::Tail).await
                == ReadOutcome::AtEnd
                && (is_known() || has_latest_records(gateway, shard).await))
    }

    async fn read_results(
        &self,
        gateway: &Rc<Gateway>,
        shard: &OwnedShard,
        job: &str,
        after: usize,
        wait: Duration,
    ) -> PeerReply {
        let deadline = gateway.clock.now() + wait.min(RESULT_WAIT_MAX);
        let mut loaded = LoadedPage::default();
        loop {
            let changed = shard.state_changed.notified();
            let stored = match shard.state.borrow().job(job) {
                Some(found) if loaded.results.is_empty() => {
                    found.stored_results(after, PAGE_TEXT_BYTES)
                }
                _ => Vec::new(),
            };
            if !stored.is_empty() {
                loaded = load_results(gateway, shard, stored).await;
                if loaded.results.is_empty() {
                    return unavailable();
                }
                continue;
            }
            let encoded_page = {
                let state = shard.state.borrow();
                let Some(found) = state.job(job) else {
                    return not_found();
                };
                let is_ready = found.has_results_after(after)
                    || found.is_complete()
                    || found.is_cancelled()
                    || gateway.clock.now() >= deadline;
                if is_ready && !found.has_results_after(after) && !self.is_membership_valid(gateway)
                {
                    return unavailable();
                }
                is_ready.then(|| encode_page(gateway, found, after, &loaded))
            };
            match encoded_page {
                Some(Ok(body)) => return http_reply(StatusCode::OK, body),
                Some(Err(error)) => {
                    log::error!(event = "page_failed", job; "cannot encode page of results: {error:#}");
                    return http_reply(StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
                }
                None if shard.is_lost() => return unavailable(),
                None => {
                    let remaining = deadline.saturating_sub(gateway.clock.now());
                    // After a timeout the next iteration answers with the current state.
                    let _ = tokio::time::timeout(remaining, changed).await;
                }
            }
        }
    }

    async fn item_body(
        &self,
        gateway: &Gateway,
        shard: &OwnedShard,
        job: &str,
        item: &str,
    ) -> PeerReply {
        let index = shard.state.borrow().job(job).and_then(|found| {
            let index = found.find_item(item)?;
            (!found.has_result(index) && !found.is_cancelled()).then_some(index)
        });
        let Some(index) = index else {
            return not_found();
        };
        match item_body(gateway, shard, job, index).await {
            Ok(body) => http_reply(StatusCode::OK, body.to_vec()),
            Err(ContentsError::Unknown) => not_found(),
            Err(ContentsError::Unavailable) => unavailable(),
        }
    }

    async fn cancel(&self, shard: &OwnedShard, job: &str) -> PeerReply {
        let is_cancelled = match shard.state.borrow().job(job) {
            Some(found) => found.is_cancelled(),
            None => return not_found(),
        };
        if is_cancelled {
            return http_reply(StatusCode::OK, Vec::new());
        }
        let record = Record::Cancelled {
            job: job.to_owned(),
        };
        match shard.append_and_wait(record, STORE_TIMEOUT).await {
            AppendOutcome::Stored => http_reply(StatusCode::OK, Vec::new()),
            AppendOutcome::NotStored | AppendOutcome::Unknown => unavailable(),
        }
    }
}
