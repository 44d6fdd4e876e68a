//! Queries to shard owners on this or other hosts, and the answers to queries of other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::HostId;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_wire::PeerMessage;
use bamboo_wire::ShardQuery;
use bamboo_wire::ShardReply;

use crate::Answer;
use crate::HostCore;
use crate::KeyedRequest;

/// Time after which an unanswered query is sent again.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Retry-after for callers if no owner of the shard answers.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of queries that an owner defers until its replayed state has passed their offset.
const DEFERRED_QUERIES_MAX: usize = 10_000;

/// Why a query was sent; decides what its reply leads to.
#[derive(Debug)]
pub(crate) enum QueryPurpose {
    /// The reply is passed on as the answer of the request.
    Forward,
    /// Confirms a submitted job, whose digest must be equal.
    ConfirmSubmit {
        /// Digest of the submitted items.
        digest: u128,
    },
    /// Confirms the claim of a keyed call, which runs only if its claim is the first of its key.
    ConfirmClaim(Box<KeyedRequest>),
}

#[derive(Debug)]
struct PendingQuery {
    shard: ShardId,
    query: ShardQuery,
    purpose: QueryPurpose,
    deadline: Timestamp,
    sent_at: Option<Timestamp>,
}

#[derive(Debug)]
struct DeferredQuery {
    from: HostId,
    request: RequestId,
    shard: ShardId,
    query: ShardQuery,
    deadline: Timestamp,
}

/// Queries of this host, and deferred queries of other hosts.
#[derive(Debug, Default)]
pub(crate) struct ShardQueries {
    pending: BTreeMap<RequestId, PendingQuery>,
    /// Owners named by other hosts, used until this host has read the streams itself.
    owner_hints: BTreeMap<ShardId, HostId>,
    /// Queries of other hosts whose offset the replayed state has not reached.
    deferred: Vec<DeferredQuery>,
}

impl HostCore {
    pub(crate) fn query_shard(
        &mut self,
        now: Timestamp,
        request: RequestId,
        shard: ShardId,
        query: ShardQuery,
        purpose: QueryPurpose,
    ) {
        if shard >= self.options.shard_count {
            self.refuse(
                request,
                ApiError::new(Code::NotFound, format!("no shard {shard}")),
            );
            return;
        }
        let deadline = now + self.options.query_timeout;
        self.queries.pending.insert(
            request,
            PendingQuery {
                shard,
                query,
                purpose,
                deadline,
                sent_at: None,
            },
        );
        self.send_query(now, request);
    }

    pub(crate) fn tick_queries(&mut self, now: Timestamp) {
        let due: Vec<RequestId> = self
            .queries
            .pending
            .iter()
            .filter(|(_, pending)| {
                pending
                    .sent_at
                    .is_none_or(|at| now.saturating_sub(at) >= QUERY_RETRY_INTERVAL)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in due {
            if self
                .queries
                .pending
                .get(&request)
                .is_some_and(|pending| now >= pending.deadline)
            {
                self.time_out_query(now, request);
            } else {
                // The hinted owner did not answer: drop the hint and fall back to the rendezvous owner.
                if let Some(pending) = self.queries.pending.get(&request) {
                    self.queries.owner_hints.remove(&pending.shard);
                }
                self.send_query(now, request);
            }
        }
        self.answer_deferred_queries(now);
    }

    pub(crate) fn handle_query(
        &mut self,
        now: Timestamp,
        from: &str,
        request: RequestId,
        shard: ShardId,
        query: ShardQuery,
    ) {
        if !self.can_serve_shard(shard) {
            let reply = ShardReply::NotOwner {
                owner: self.known_other_owner(shard),
            };
            self.send(from, PeerMessage::Reply { request, reply });
            return;
        }
        match self.reply_to(now, shard, &query) {
            Some(reply) => self.send(from, PeerMessage::Reply { request, reply }),
            None if self.queries.deferred.len() < DEFERRED_QUERIES_MAX => {
                let deadline = now + self.options.query_timeout;
                self.queries.deferred.push(DeferredQuery {
                    from: from.to_owned(),
                    request,
                    shard,
                    query,
                    deadline,
                });
            }
            None => {}
        }
    }

    pub(crate) fn handle_reply(&mut self, now: Timestamp, request: RequestId, reply: ShardReply) {
        if let ShardReply::NotOwner { owner } = reply {
            self.handle_not_owner(now, request, owner);
            return;
        }
        let Some(pending) = self.queries.pending.remove(&request) else {
            return;
        };
        match pending.purpose {
            QueryPurpose::Forward => self.forward_reply(request, reply),
            QueryPurpose::ConfirmSubmit { digest } => self.answer_submit(request, digest, reply),
            QueryPurpose::ConfirmClaim(keyed) => {
                self.handle_claim_reply(now, request, *keyed, reply)
            }
        }
    }

    /// Answers deferred queries whose offset the replayed state has passed by now.
    pub(crate) fn answer_deferred_queries(&mut self, now: Timestamp) {
        for deferred in std::mem::take(&mut self.queries.deferred) {
            if now >= deferred.deadline {
                continue;
            }
            self.handle_query(
                now,
                &deferred.from,
                deferred.request,
                deferred.shard,
                deferred.query,
            );
        }
    }

    fn send_query(&mut self, now: Timestamp, request: RequestId) {
        let Some(pending) = self.queries.pending.get_mut(&request) else {
            return;
        };
        pending.sent_at = Some(now);
        let (shard, query) = (pending.shard, pending.query.clone());
        if let Some(owner) = self.shard_owner(now, shard) {
            self.send(
                &owner,
                PeerMessage::Query {
                    request,
                    shard,
                    query,
                },
            );
        }
    }

    /// The host to address as owner of a shard: the owner as read from the stream, else the last hint, else the
    /// rendezvous owner.
    pub(crate) fn shard_owner(&self, now: Timestamp, shard: ShardId) -> Option<HostId> {
        if self.owns(shard) {
            return Some(self.options.host.clone());
        }
        let named = self
            .known_other_owner(shard)
            .or_else(|| self.queries.owner_hints.get(&shard).cloned());
        let named = named.filter(|host| self.members.is_answering(now, host));
        named.or_else(|| self.rendezvous_owner_of(shard).cloned())
    }

    /// The rendezvous owner of a shard among the live hosts.
    pub(crate) fn rendezvous_owner_of(&self, shard: ShardId) -> Option<&HostId> {
        self.rendezvous_owners.get(usize::from(shard))?.as_ref()
    }

    /// Replies to a host that mistook this one for the owner of a shard, with the owner known here.
    pub(crate) fn redirect(&mut self, to: &str, shard: ShardId) {
        let owner = self.known_other_owner(shard);
        self.send(to, PeerMessage::ShardOwner { shard, owner });
    }

    pub(crate) fn handle_owner_hint(&mut self, shard: ShardId, owner: Option<HostId>) {
        match owner {
            Some(owner) => self.queries.owner_hints.insert(shard, owner),
            None => self.queries.owner_hints.remove(&shard),
        };
    }

    /// The owner of a shard if it is another host, as far as this host has read the stream.
    fn known_other_owner(&self, shard: ShardId) -> Option<HostId> {
        let owner = self.shards.get(usize::from(shard))?.claimant.owner()?;
        (owner != self.options.host).then(|| owner.to_owned())
    }

    fn handle_not_owner(&mut self, now: Timestamp, request: RequestId, owner: Option<HostId>) {
        let Some(pending) = self.queries.pending.get(&request) else {
            return;
        };
        let shard = pending.shard;
        match owner {
            Some(owner) if self.queries.owner_hints.get(&shard) != Some(&owner) => {
                self.queries.owner_hints.insert(shard, owner);
                self.send_query(now, request);
            }
            _ => {
                self.queries.owner_hints.remove(&shard);
            }
        }
    }

    fn time_out_query(&mut self, now: Timestamp, request: RequestId) {
        let Some(pending) = self.queries.pending.remove(&request) else {
            return;
        };
        match pending.purpose {
            QueryPurpose::Forward => {
                let message = format!("shard {} has no owner that answers", pending.shard);
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::NoOwner, message, NO_OWNER_RETRY_AFTER),
                );
            }
            QueryPurpose::ConfirmSubmit { .. } => {
                let message =
                    "the submit is stored but not confirmed yet; resend it with the same key";
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::AppendUnknown, message, NO_OWNER_RETRY_AFTER),
                );
            }
            QueryPurpose::ConfirmClaim(keyed) => {
                // The call has not run, so its claim is released.
                self.release_claim(now, request, &keyed);
                let message = format!(
                    "shard {} has no owner that answers; the call did not run",
                    pending.shard
                );
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::NoOwner, message, NO_OWNER_RETRY_AFTER),
                );
            }
        }
    }

    fn forward_reply(&mut self, request: RequestId, reply: ShardReply) {
        let answer = match reply {
            ShardReply::Job(Some(view)) => Answer::Job(view),
            ShardReply::Jobs(views) => Answer::Jobs(views),
            ShardReply::Results {
                view: Some(view),
                positions,
            } => Answer::Results { view, positions },
            _ => Answer::Refused(ApiError::new(Code::NotFound, "no such job")),
        };
        self.answer(request, answer);
    }

    fn answer_submit(&mut self, request: RequestId, digest: u128, reply: ShardReply) {
        match reply {
            ShardReply::Job(Some(view)) if view.digest == digest => {
                self.answer(request, Answer::Job(view))
            }
            ShardReply::Job(Some(_)) => {
                let message = "the key was used before with other items";
                self.refuse(request, ApiError::new(Code::KeyReused, message));
            }
            _ => {
                let message = "items of the upload are missing in the log; nothing was accepted";
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::LogUnavailable, message, NO_OWNER_RETRY_AFTER),
                );
            }
        }
    }

    fn reply_to(&self, now: Timestamp, shard: ShardId, query: &ShardQuery) -> Option<ShardReply> {
        let role = self.shards.get(usize::from(shard))?;
        let state = role.replay.state();
        let has_passed = |offset: Offset| state.next_offset() > offset;
        match query {
            ShardQuery::Job { job, after } => {
                if !after.is_none_or(has_passed) {
                    return None;
                }
                Some(ShardReply::Job(
                    state
                        .job(*job)
                        .map(|found| role.dispatcher.view(now, found)),
                ))
            }
            ShardQuery::Jobs { workspace } => {
                let is_wanted =
                    |name: &str| workspace.as_deref().is_none_or(|wanted| wanted == name);
                let jobs = state.jobs().filter(|job| is_wanted(&job.spec.workspace));
                Some(ShardReply::Jobs(
                    jobs.map(|job| role.dispatcher.view(now, job)).collect(),
                ))
            }
            ShardQuery::Results { job } => {
                let found = state.job(*job);
                let view = found.map(|found| role.dispatcher.view(now, found));
                let positions = found
                    .map(|found| found.outcome_positions.clone())
                    .unwrap_or_default();
                Some(ShardReply::Results { view, positions })
            }
            ShardQuery::KeyClaim {
                workspace,
                key,
                claim,
                after,
            } => {
                if !has_passed(*after) {
                    return None;
                }
                Some(match state.keyed(workspace, key) {
                    Some(keyed) => crate::keyed::claim_reply(keyed, claim),
                    None => ShardReply::KeyClaimReleased,
                })
            }
        }
    }
}

/// Key of a shard for rendezvous hashing, and its name in events.
pub(crate) fn shard_name(shard: ShardId) -> String {
    format!("shard-{shard}")
}
