//! Non-idempotent calls with an idempotency key. Each call is claimed in the log before its first byte is sent to a
//! server, so that a call with the same key runs at most once.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_jobs::KeyClaim;
use bamboo_jobs::KeyClaimState;
use bamboo_log::KeyedCall;
use bamboo_log::KeyedCallEnd;
use bamboo_log::RecordBody;
use bamboo_log::RecordHandle;
use bamboo_log::RecordId;
use bamboo_log::StreamId;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_route::OnlineEnd;
use bamboo_route::RouteStep;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_types::millis;
use bamboo_types::shard_of_key;
use bamboo_wire::ShardQuery;
use bamboo_wire::ShardReply;

use crate::Answer;
use crate::HostCore;
use crate::KeyedRequest;
use crate::shard_queries::QueryPurpose;
use crate::waiters::AppendPurpose;

/// Largest answer, in bytes, that is stored to be replayed to repeated calls with the same key.
const ANSWER_MAX_BYTES: usize = 64 * 1024;
/// Retry-after for callers whose first call with the same key may still run.
const STILL_RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct KeyedRun {
    workspace: String,
    key: String,
    claim: RecordId,
    answer: Option<(u16, Vec<u8>)>,
}

/// Keyed calls that this host runs, and the claims of those that have not been routed yet.
#[derive(Debug, Default)]
pub(crate) struct KeyedRuns {
    runs: BTreeMap<RequestId, KeyedRun>,
    claims: BTreeMap<RequestId, RecordId>,
}

impl KeyedRuns {
    /// Keeps the whole answer to be replayed to repeated calls, unless it is too large.
    pub(crate) fn record_answer(&mut self, request: RequestId, status: u16, body: Vec<u8>) {
        if let Some(run) = self.runs.get_mut(&request)
            && body.len() <= ANSWER_MAX_BYTES
        {
            run.answer = Some((status, body));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.claims.is_empty()
    }
}

/// The shard owner's reply to a query about a claim.
pub(crate) fn claim_reply(keyed: &KeyClaim, claim: &RecordId) -> ShardReply {
    if keyed.claim == *claim {
        return ShardReply::KeyClaimGranted;
    }
    let response = match &keyed.state {
        KeyClaimState::Claimed => None,
        KeyClaimState::Ended { status, body } => Some((*status, body.clone())),
    };
    ShardReply::KeyClaimRejected {
        digest: keyed.digest,
        response,
    }
}

impl HostCore {
    pub(crate) fn handle_keyed_call(&mut self, now: Timestamp, keyed: KeyedRequest) {
        let request = keyed.online.id;
        if !self.is_accepting() {
            self.refuse_not_ready(request);
            return;
        }
        let shard = self.shard_of_keyed(&keyed);
        let call = KeyedCall {
            workspace: keyed.workspace.clone(),
            key: keyed.key.clone(),
            digest: keyed.digest,
            claimed_ms: millis(now),
        };
        let purpose = AppendPurpose::Keyed(Box::new(keyed));
        self.enqueue(
            now,
            request,
            StreamId::Shard(shard),
            RecordBody::KeyedCall(call),
            purpose,
        );
    }

    /// Asks the shard owner whether a stored claim is the first of its key.
    pub(crate) fn handle_stored_claim(
        &mut self,
        now: Timestamp,
        handle: RecordHandle,
        after: Offset,
        keyed: Box<KeyedRequest>,
    ) {
        let claim = self.record_id(handle.sequence);
        let request = keyed.online.id;
        self.keyed.claims.insert(request, claim.clone());
        let query = ShardQuery::KeyClaim {
            workspace: keyed.workspace.clone(),
            key: keyed.key.clone(),
            claim,
            after,
        };
        let shard = self.shard_of_keyed(&keyed);
        self.query_shard(
            now,
            request,
            shard,
            query,
            QueryPurpose::ConfirmClaim(keyed),
        );
    }

    pub(crate) fn handle_claim_reply(
        &mut self,
        now: Timestamp,
        request: RequestId,
        keyed: KeyedRequest,
        reply: ShardReply,
    ) {
        match reply {
            ShardReply::KeyClaimGranted => self.route_keyed_call(now, request, keyed),
            ShardReply::KeyClaimReleased => {
                self.keyed.claims.remove(&request);
                self.handle_keyed_call(now, keyed);
            }
            ShardReply::KeyClaimRejected { digest, .. } if digest != keyed.digest => {
                self.keyed.claims.remove(&request);
                self.refuse(
                    request,
                    ApiError::new(Code::KeyReused, "the key was used before for another call"),
                );
            }
            ShardReply::KeyClaimRejected {
                response: Some((status, body)),
                ..
            } => {
                self.keyed.claims.remove(&request);
                self.answer(request, Answer::Replay { status, body });
            }
            _ => {
                self.keyed.claims.remove(&request);
                let message = "the first call with this key still runs, or its outcome is lost";
                self.refuse(
                    request,
                    ApiError::with_retry_after(
                        Code::OutcomeUnknown,
                        message,
                        STILL_RUNNING_RETRY_AFTER,
                    ),
                );
            }
        }
    }

    /// Records the end of a keyed call in the log: its kept answer, or the release of the claim if it did not run. A
    /// call whose outcome is unknown or whose answer was not kept stays claimed.
    pub(crate) fn record_keyed_end(&mut self, now: Timestamp, request: RequestId, end: &OnlineEnd) {
        let Some(run) = self.keyed.runs.remove(&request) else {
            return;
        };
        let answer = match end {
            OnlineEnd::NotRun { .. } => None,
            OnlineEnd::Whole => match run.answer {
                Some((status, body)) => Some((status, body)),
                None => return,
            },
            OnlineEnd::Unknown { .. } | OnlineEnd::Broken | OnlineEnd::CallerGone => return,
        };
        let shard = shard_of_key(&run.workspace, &run.key, self.options.shard_count);
        self.append_keyed_end(now, shard, run.workspace, run.key, run.claim, answer);
    }

    /// Releases the claim of a call that was not run.
    pub(crate) fn release_claim(
        &mut self,
        now: Timestamp,
        request: RequestId,
        keyed: &KeyedRequest,
    ) {
        let Some(claim) = self.keyed.claims.remove(&request) else {
            return;
        };
        let shard = self.shard_of_keyed(keyed);
        self.append_keyed_end(
            now,
            shard,
            keyed.workspace.clone(),
            keyed.key.clone(),
            claim,
            None,
        );
    }

    fn route_keyed_call(&mut self, now: Timestamp, request: RequestId, keyed: KeyedRequest) {
        let random = self.random();
        // The router retries the call on a second server only if the first is known not to have run it.
        match self.router.route(now, keyed.online.clone(), random) {
            RouteStep::Send(attempt) => {
                let Some(claim) = self.keyed.claims.remove(&request) else {
                    return;
                };
                let run = KeyedRun {
                    workspace: keyed.workspace,
                    key: keyed.key,
                    claim,
                    answer: None,
                };
                self.keyed.runs.insert(request, run);
                self.dispatch(request, attempt);
            }
            RouteStep::Refuse(refusal) => {
                self.release_claim(now, request, &keyed);
                self.refuse(request, refusal);
            }
        }
    }

    fn append_keyed_end(
        &mut self,
        now: Timestamp,
        shard: ShardId,
        workspace: String,
        key: String,
        claim: RecordId,
        answer: Option<(u16, Vec<u8>)>,
    ) {
        let (status, body) = match answer {
            Some((status, body)) => (Some(status), body),
            None => (None, Vec::new()),
        };
        let end = KeyedCallEnd {
            workspace,
            key,
            claim,
            status,
            body,
        };
        self.appender
            .enqueue(now, StreamId::Shard(shard), RecordBody::KeyedCallEnd(end));
    }

    fn shard_of_keyed(&self, keyed: &KeyedRequest) -> ShardId {
        shard_of_key(&keyed.workspace, &keyed.key, self.options.shard_count)
    }
}
