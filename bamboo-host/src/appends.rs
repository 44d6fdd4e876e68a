//! Records on their way to the log, and the requests that wait for them.

use std::time::Duration;

use bamboo_events::EventKind;
use bamboo_jobs::Job;
use bamboo_jobs::JobView;
use bamboo_log::AppendAnswer;
use bamboo_log::ConfirmedRecord;
use bamboo_log::ItemBody;
use bamboo_log::JobSpec;
use bamboo_log::KeyedCallEnd;
use bamboo_log::ReadAnswer;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_log::Ticket;
use bamboo_log::UploadId;
use bamboo_log::Withdrawal;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::Now;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::millis;
use bamboo_types::shard_of_job;
use bamboo_wire::ShardQuery;

use crate::Answer;
use crate::HostCore;
use crate::asks;
use crate::waiters::Purpose;
use crate::waiters::Waiter;

/// When a caller should come back to a host that is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl HostCore {
    /// Gives a record to the log for a request, or refuses at once while the log fails.
    pub(crate) fn enqueue(
        &mut self,
        now: Now,
        request: RequestId,
        stream: StreamId,
        body: RecordBody,
        purpose: Purpose,
    ) {
        if self.appender.is_failing(now, stream) {
            self.refuse_log_unavailable(now, request, stream);
            return;
        }
        let deadline = now + self.options.append_wait;
        match self.appender.enqueue(now, stream, body) {
            Some(ticket) => self.waiters.insert(
                ticket,
                Waiter {
                    request,
                    purpose,
                    deadline,
                },
            ),
            None => self.refuse_log_unavailable(now, request, stream),
        }
    }

    pub(crate) fn upload_arrived(
        &mut self,
        now: Now,
        request: RequestId,
        shard: ShardId,
        upload: UploadId,
        first_item: ItemIndex,
        items: Vec<ItemBody>,
    ) {
        if !self.is_accepting() {
            self.refuse_not_ready(request);
            return;
        }
        let body = RecordBody::Chunk {
            upload,
            first_item,
            items,
        };
        self.enqueue(now, request, StreamId::Shard(shard), body, Purpose::Upload);
    }

    pub(crate) fn submit_arrived(&mut self, now: Now, request: RequestId, spec: JobSpec) {
        if spec.deadline_ms <= millis(now) {
            self.refuse(
                request,
                ApiError::new(Code::BadDeadline, "the deadline lies in the past"),
            );
            return;
        }
        let stream = StreamId::Shard(shard_of_job(spec.job, self.options.shard_count));
        if cfg!(feature = "mutate-no-read-back") {
            let job = Job::new(spec.clone(), Vec::new());
            self.answer(request, Answer::Job(JobView::new(&job, 0, false)));
        }
        let purpose = Purpose::Submit {
            job: spec.job,
            digest: spec.digest,
        };
        self.enqueue(now, request, stream, RecordBody::Submit(spec), purpose);
    }

    pub(crate) fn cancel_arrived(&mut self, now: Now, request: RequestId, job: JobId) {
        let stream = StreamId::Shard(shard_of_job(job, self.options.shard_count));
        let body = RecordBody::Cancel {
            job,
            at_ms: millis(now),
        };
        self.enqueue(now, request, stream, body, Purpose::Cancel(job));
    }

    pub(crate) fn append_answered(&mut self, now: Now, stream: StreamId, answer: AppendAnswer) {
        let was_failing = self.appender.is_failing(now, stream);
        let random = self.random();
        for stored in self.appender.handle_answer(now, stream, answer, random) {
            self.record_stored(now, stored);
        }
        let is_failing = self.appender.is_failing(now, stream);
        if was_failing != is_failing {
            let detail = if is_failing {
                "appends fail"
            } else {
                "appends succeed"
            };
            self.event(EventKind::LogState, stream.to_string(), detail.to_owned());
        }
    }

    pub(crate) fn read_answered(&mut self, now: Now, stream: StreamId, answer: ReadAnswer) {
        match stream {
            StreamId::Config => self.config_read(now, answer),
            StreamId::Shard(shard) => self.shard_read(now, shard, answer),
            StreamId::Claims => {}
        }
    }

    pub(crate) fn read_failed(&mut self, now: Now, stream: StreamId) {
        match stream {
            StreamId::Config => self.config_read_failed(now),
            StreamId::Shard(shard) => self.shard_read_failed(now, shard),
            StreamId::Claims => {}
        }
    }

    /// Answers requests whose records the log does not take: at once if the record was never sent.
    pub(crate) fn tick_waiters(&mut self, now: Now) {
        let appender = &self.appender;
        let stuck = self.waiters.tickets_where(|ticket, waiter| {
            now >= waiter.deadline || appender.is_failing(now, ticket.stream)
        });
        for ticket in stuck {
            let is_overdue = self
                .waiters
                .deadline(ticket)
                .is_some_and(|deadline| now >= deadline);
            match self.appender.withdraw(ticket) {
                Withdrawal::NeverSent => self.give_up_unsent(now, ticket),
                Withdrawal::MaybeStored | Withdrawal::Stored if is_overdue => {
                    self.give_up_sent(now, ticket)
                }
                Withdrawal::MaybeStored | Withdrawal::Stored => {}
            }
        }
    }

    pub(crate) fn refuse_not_ready(&mut self, request: RequestId) {
        let message = "this host is stopping or not ready yet";
        self.refuse(
            request,
            ApiError::with_retry_after(Code::NotReady, message, NOT_READY_RETRY_AFTER),
        );
    }

    fn record_stored(&mut self, now: Now, stored: ConfirmedRecord) {
        // A change of configuration is answered when it is read back, since only the fold knows its outcome.
        if self.waiters.is_propose(stored.ticket) {
            return;
        }
        let Some(Waiter {
            request, purpose, ..
        }) = self.waiters.remove(stored.ticket)
        else {
            return;
        };
        let offset = stored.position.offset;
        match purpose {
            Purpose::Upload => self.answer(request, Answer::Stored),
            Purpose::Submit { job, digest } => {
                self.ask_job(
                    now,
                    request,
                    job,
                    offset,
                    asks::Purpose::Submitted { digest },
                );
            }
            Purpose::Cancel(job) => self.ask_job(now, request, job, offset, asks::Purpose::Plain),
            Purpose::Keyed(keyed) => self.keyed_stored(now, stored.ticket, offset, keyed),
            Purpose::Propose => {}
        }
    }

    fn ask_job(
        &mut self,
        now: Now,
        request: RequestId,
        job: JobId,
        offset: u64,
        purpose: asks::Purpose,
    ) {
        let shard = shard_of_job(job, self.options.shard_count);
        self.ask(
            now,
            request,
            shard,
            ShardQuery::Job {
                job,
                after: Some(offset),
            },
            purpose,
        );
    }

    fn give_up_unsent(&mut self, now: Now, ticket: Ticket) {
        if let Some(waiter) = self.waiters.remove(ticket) {
            self.refuse_log_unavailable(now, waiter.request, ticket.stream);
        }
    }

    fn give_up_sent(&mut self, now: Now, ticket: Ticket) {
        let Some(waiter) = self.waiters.remove(ticket) else {
            return;
        };
        let retry_after = self.appender.retry_after(now, ticket.stream);
        match waiter.purpose {
            // Items without a submit are no job, whether they are stored or not.
            Purpose::Upload => self.refuse_log_unavailable(now, waiter.request, ticket.stream),
            Purpose::Keyed(keyed) => {
                // The call has not run. Its claim may be stored, so it is taken back behind it.
                let claim = self.record_id(ticket.sequence);
                let end = KeyedCallEnd {
                    workspace: keyed.workspace,
                    key: keyed.key,
                    claim,
                    status: None,
                    body: Vec::new(),
                };
                self.appender
                    .enqueue(now, ticket.stream, RecordBody::KeyedCallEnd(end));
                self.refuse_log_unavailable(now, waiter.request, ticket.stream);
            }
            Purpose::Submit { .. } | Purpose::Cancel(_) | Purpose::Propose => {
                let message =
                    "the record was sent to the log and is not confirmed; send the request again";
                self.refuse(
                    waiter.request,
                    ApiError::with_retry_after(Code::AppendUnknown, message, retry_after),
                );
            }
        }
    }

    fn refuse_log_unavailable(&mut self, now: Now, request: RequestId, stream: StreamId) {
        let retry_after = self.appender.retry_after(now, stream);
        let message = format!("the log does not take records of {stream}; nothing was accepted");
        self.refuse(
            request,
            ApiError::with_retry_after(Code::LogUnavailable, message, retry_after),
        );
    }
}
