//! Non-idempotent calls with a caller's key: claimed in the log before the first byte is sent.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_jobs::KeyClaim;
use bamboo_jobs::KeyClaimState;
use bamboo_log::KeyedCall;
use bamboo_log::KeyedCallEnd;
use bamboo_log::RecordBody;
use bamboo_log::RecordId;
use bamboo_log::StreamId;
use bamboo_log::Ticket;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_route::OnlineEnd;
use bamboo_route::RouteStep;
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::millis;
use bamboo_types::shard_of_key;
use bamboo_wire::ShardQuery;
use bamboo_wire::ShardReply;

use crate::Answer;
use crate::HostCore;
use crate::KeyedRequest;
use crate::asks;
use crate::waiters::Purpose;

/// Largest answer that is kept for repeats of the key, bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024;
/// When a caller should ask again for the outcome of a call that may still run.
const STILL_RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Run {
    workspace: String,
    key: String,
    claim: RecordId,
    answer: Option<(u16, Vec<u8>)>,
}

/// Keyed calls that run from this host.
#[derive(Debug, Default)]
pub(crate) struct KeyedRuns {
    runs: BTreeMap<RequestId, Run>,
    claims: BTreeMap<RequestId, RecordId>,
}

impl KeyedRuns {
    /// Keeps the whole answer for repeats of the key, unless it is too large.
    pub(crate) fn answered(&mut self, request: RequestId, status: u16, body: Vec<u8>) {
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

/// What the owner answers about a claim.
pub(crate) fn reply_for(keyed: &KeyClaim, claim: &RecordId) -> ShardReply {
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
    pub(crate) fn keyed_arrived(&mut self, now: Now, keyed: KeyedRequest) {
        let request = keyed.online.id;
        if !self.is_accepting() {
            self.refuse_not_ready(request);
            return;
        }
        let shard = self.keyed_shard(&keyed);
        let call = KeyedCall {
            workspace: keyed.workspace.clone(),
            key: keyed.key.clone(),
            digest: keyed.digest,
            claimed_ms: millis(now),
        };
        let purpose = Purpose::Keyed(Box::new(keyed));
        self.enqueue(
            now,
            request,
            StreamId::Shard(shard),
            RecordBody::KeyedCall(call),
            purpose,
        );
    }

    /// The claim is stored; the shard owner knows whether it is the first.
    pub(crate) fn keyed_stored(
        &mut self,
        now: Now,
        ticket: Ticket,
        after: Offset,
        keyed: Box<KeyedRequest>,
    ) {
        let claim = self.record_id(ticket.sequence);
        let request = keyed.online.id;
        self.keyed.claims.insert(request, claim.clone());
        let question = ShardQuery::KeyClaim {
            workspace: keyed.workspace.clone(),
            key: keyed.key.clone(),
            claim,
            after,
        };
        let shard = self.keyed_shard(&keyed);
        self.ask(now, request, shard, question, asks::Purpose::Keyed(keyed));
    }

    pub(crate) fn keyed_replied(
        &mut self,
        now: Now,
        request: RequestId,
        keyed: KeyedRequest,
        reply: ShardReply,
    ) {
        match reply {
            ShardReply::KeyClaimGranted => self.run_keyed(now, request, keyed),
            ShardReply::KeyClaimReleased => {
                self.keyed.claims.remove(&request);
                self.keyed_arrived(now, keyed);
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

    /// Writes the end of a keyed call.
    pub(crate) fn keyed_ended(&mut self, now: Now, request: RequestId, end: &OnlineEnd) {
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

    /// Takes the claim of a call back that was not run.
    pub(crate) fn release_keyed(&mut self, now: Now, request: RequestId, keyed: &KeyedRequest) {
        let Some(claim) = self.keyed.claims.remove(&request) else {
            return;
        };
        let shard = self.keyed_shard(keyed);
        self.append_keyed_end(
            now,
            shard,
            keyed.workspace.clone(),
            keyed.key.clone(),
            claim,
            None,
        );
    }

    fn run_keyed(&mut self, now: Now, request: RequestId, keyed: KeyedRequest) {
        let random = self.random();
        // The router gives the call to a second server only if the first truly did not run it.
        match self.router.route(now, keyed.online.clone(), random) {
            RouteStep::Send(attempt) => {
                let Some(claim) = self.keyed.claims.remove(&request) else {
                    return;
                };
                let run = Run {
                    workspace: keyed.workspace,
                    key: keyed.key,
                    claim,
                    answer: None,
                };
                self.keyed.runs.insert(request, run);
                self.dispatch(request, attempt);
            }
            RouteStep::Refuse(refusal) => {
                self.release_keyed(now, request, &keyed);
                self.refuse(request, refusal);
            }
        }
    }

    fn append_keyed_end(
        &mut self,
        now: Now,
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

    fn keyed_shard(&self, keyed: &KeyedRequest) -> ShardId {
        shard_of_key(&keyed.workspace, &keyed.key, self.options.shard_count)
    }
}
