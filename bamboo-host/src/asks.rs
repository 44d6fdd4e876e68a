//! Questions to shard owners, wherever they are.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::HostId;
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_wire::PeerMessage;
use bamboo_wire::ShardQuery;
use bamboo_wire::ShardReply;

use crate::Answer;
use crate::HostCore;
use crate::KeyedRequest;

/// Time after which an unanswered question is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// When a caller should come back if a shard has no owner.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Questions that an owner keeps until its fold has passed their offset.
const WAITING_MAX: usize = 10_000;

/// What the answer is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// The answer goes to the asker as it is.
    Plain,
    /// A submitted job; its digest must be this one.
    Submitted {
        /// Digest of the items.
        digest: u128,
    },
    /// A keyed call that runs if its claim is the first.
    Keyed(Box<KeyedRequest>),
}

#[derive(Debug)]
struct Ask {
    shard: ShardId,
    question: ShardQuery,
    purpose: Purpose,
    deadline: Now,
    asked_at: Option<Now>,
}

#[derive(Debug)]
struct Waiting {
    from: HostId,
    request: RequestId,
    shard: ShardId,
    question: ShardQuery,
    until: Now,
}

/// Questions under way at one host.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    open: BTreeMap<RequestId, Ask>,
    holders: BTreeMap<ShardId, HostId>,
    waiting: Vec<Waiting>,
}

impl HostCore {
    pub(crate) fn ask(
        &mut self,
        now: Now,
        request: RequestId,
        shard: ShardId,
        question: ShardQuery,
        purpose: Purpose,
    ) {
        if shard >= self.options.shard_count {
            self.refuse(
                request,
                ApiError::new(Code::NotFound, format!("no shard {shard}")),
            );
            return;
        }
        let deadline = now + self.options.ask_wait;
        self.asks.open.insert(
            request,
            Ask {
                shard,
                question,
                purpose,
                deadline,
                asked_at: None,
            },
        );
        self.send_ask(now, request);
    }

    pub(crate) fn tick_asks(&mut self, now: Now) {
        let due: Vec<RequestId> = self
            .asks
            .open
            .iter()
            .filter(|(_, ask)| {
                ask.asked_at
                    .is_none_or(|at| now.saturating_sub(at) >= ASK_AGAIN)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in due {
            if self
                .asks
                .open
                .get(&request)
                .is_some_and(|ask| now >= ask.deadline)
            {
                self.give_up_ask(now, request);
            } else {
                // The holder that was named did not answer, so the order over live hosts decides again.
                if let Some(ask) = self.asks.open.get(&request) {
                    self.asks.holders.remove(&ask.shard);
                }
                self.send_ask(now, request);
            }
        }
        self.retry_waiting(now);
    }

    pub(crate) fn ask_heard(
        &mut self,
        now: Now,
        from: &str,
        request: RequestId,
        shard: ShardId,
        question: ShardQuery,
    ) {
        if !self.owns_currently(shard) {
            let reply = ShardReply::NotOwner {
                owner: self.known_holder(shard),
            };
            self.send(from, PeerMessage::Reply { request, reply });
            return;
        }
        match self.reply_to(now, shard, &question) {
            Some(reply) => self.send(from, PeerMessage::Reply { request, reply }),
            None if self.asks.waiting.len() < WAITING_MAX => {
                let until = now + self.options.ask_wait;
                self.asks.waiting.push(Waiting {
                    from: from.to_owned(),
                    request,
                    shard,
                    question,
                    until,
                });
            }
            None => {}
        }
    }

    pub(crate) fn reply_heard(&mut self, now: Now, request: RequestId, reply: ShardReply) {
        if let ShardReply::NotOwner { owner } = reply {
            self.not_owner_heard(now, request, owner);
            return;
        }
        let Some(ask) = self.asks.open.remove(&request) else {
            return;
        };
        match ask.purpose {
            Purpose::Plain => self.answer_plain(request, reply),
            Purpose::Submitted { digest } => self.answer_submitted(request, digest, reply),
            Purpose::Keyed(keyed) => self.keyed_replied(now, request, *keyed, reply),
        }
    }

    /// Answers questions whose offset the fold has passed by now.
    pub(crate) fn retry_waiting(&mut self, now: Now) {
        for waiting in std::mem::take(&mut self.asks.waiting) {
            if now >= waiting.until {
                continue;
            }
            self.ask_heard(
                now,
                &waiting.from,
                waiting.request,
                waiting.shard,
                waiting.question,
            );
        }
    }

    fn send_ask(&mut self, now: Now, request: RequestId) {
        let Some(ask) = self.asks.open.get_mut(&request) else {
            return;
        };
        ask.asked_at = Some(now);
        let (shard, question) = (ask.shard, ask.question.clone());
        if let Some(owner) = self.shard_owner(now, shard) {
            self.send(
                &owner,
                PeerMessage::Query {
                    request,
                    shard,
                    query: question,
                },
            );
        }
    }

    /// The host to turn to for a shard: the holder as read from the stream, the one last named, or the first in
    /// order.
    pub(crate) fn shard_owner(&self, now: Now, shard: ShardId) -> Option<HostId> {
        if self.owns(shard) {
            return Some(self.options.host.clone());
        }
        let named = self
            .known_holder(shard)
            .or_else(|| self.asks.holders.get(&shard).cloned());
        let named = named.filter(|host| self.members.is_answering(now, host));
        named.or_else(|| self.first_of(shard).cloned())
    }

    /// The first live host in the rendezvous order of a shard.
    pub(crate) fn first_of(&self, shard: ShardId) -> Option<&HostId> {
        self.firsts.get(usize::from(shard))?.as_ref()
    }

    /// Tells a host that addressed this one as a shard's owner who the owner is.
    pub(crate) fn redirect(&mut self, to: &str, shard: ShardId) {
        let owner = self.known_holder(shard);
        self.send(to, PeerMessage::ShardOwner { shard, owner });
    }

    pub(crate) fn holder_heard(&mut self, shard: ShardId, holder: Option<HostId>) {
        match holder {
            Some(holder) => self.asks.holders.insert(shard, holder),
            None => self.asks.holders.remove(&shard),
        };
    }

    /// Another host that holds a shard, as far as this host has read the stream.
    fn known_holder(&self, shard: ShardId) -> Option<HostId> {
        let holder = self.shards.get(usize::from(shard))?.claimant.holder()?;
        (holder != self.options.host).then(|| holder.to_owned())
    }

    fn not_owner_heard(&mut self, now: Now, request: RequestId, holder: Option<HostId>) {
        let Some(ask) = self.asks.open.get(&request) else {
            return;
        };
        let shard = ask.shard;
        match holder {
            Some(holder) if self.asks.holders.get(&shard) != Some(&holder) => {
                self.asks.holders.insert(shard, holder);
                self.send_ask(now, request);
            }
            _ => {
                self.asks.holders.remove(&shard);
            }
        }
    }

    fn give_up_ask(&mut self, now: Now, request: RequestId) {
        let Some(ask) = self.asks.open.remove(&request) else {
            return;
        };
        match ask.purpose {
            Purpose::Plain => {
                let message = format!("shard {} has no owner that answers", ask.shard);
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::NoOwner, message, NO_OWNER_RETRY_AFTER),
                );
            }
            Purpose::Submitted { .. } => {
                let message =
                    "the submit is stored but not confirmed yet; resend it with the same key";
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::AppendUnknown, message, NO_OWNER_RETRY_AFTER),
                );
            }
            Purpose::Keyed(keyed) => {
                // The call has not run and its claim is taken back.
                self.release_keyed(now, request, &keyed);
                let message = format!(
                    "shard {} has no owner that answers; the call did not run",
                    ask.shard
                );
                self.refuse(
                    request,
                    ApiError::with_retry_after(Code::NoOwner, message, NO_OWNER_RETRY_AFTER),
                );
            }
        }
    }

    fn answer_plain(&mut self, request: RequestId, reply: ShardReply) {
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

    fn answer_submitted(&mut self, request: RequestId, digest: u128, reply: ShardReply) {
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

    fn reply_to(&self, now: Now, shard: ShardId, question: &ShardQuery) -> Option<ShardReply> {
        let role = self.shards.get(usize::from(shard))?;
        let fold = role.stream.state();
        let has_passed = |offset: Offset| fold.next_offset() > offset;
        match question {
            ShardQuery::Job { job, after } => {
                if !after.is_none_or(has_passed) {
                    return None;
                }
                Some(ShardReply::Job(
                    fold.job(*job).map(|found| role.hand_out.view(now, found)),
                ))
            }
            ShardQuery::Jobs { workspace } => {
                let is_wanted =
                    |name: &str| workspace.as_deref().is_none_or(|wanted| wanted == name);
                let jobs = fold.jobs().filter(|job| is_wanted(&job.spec.workspace));
                Some(ShardReply::Jobs(
                    jobs.map(|job| role.hand_out.view(now, job)).collect(),
                ))
            }
            ShardQuery::Results { job } => {
                let found = fold.job(*job);
                let view = found.map(|found| role.hand_out.view(now, found));
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
                Some(match fold.keyed(workspace, key) {
                    Some(keyed) => crate::keyed::reply_for(keyed, claim),
                    None => ShardReply::KeyClaimReleased,
                })
            }
        }
    }
}

/// Name of a shard in the rendezvous order.
pub(crate) fn shard_name(shard: ShardId) -> String {
    format!("shard-{shard}")
}
