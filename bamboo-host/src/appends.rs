//! Appends of records to the log, and the requests that wait until they are stored.

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
use bamboo_log::RecordHandle;
use bamboo_log::StreamId;
use bamboo_log::UploadId;
use bamboo_log::Withdrawal;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::RequestId;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_types::millis;
use bamboo_types::shard_of_job;
use bamboo_wire::ShardQuery;

use crate::Answer;
use crate::HostCore;
use crate::shard_queries::QueryPurpose;
use crate::waiters::AppendPurpose;
use crate::waiters::Waiter;

/// Retry-after for callers of a host that is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl HostCore {
    /// Appends a record for a request, or refuses the request at once while appends to the stream fail.
    pub(crate) fn enqueue(
        &mut self,
        now: Timestamp,
        request: RequestId,
        stream: StreamId,
        body: RecordBody,
        purpose: AppendPurpose,
    ) {
        if self.appender.is_failing(now, stream) {
            self.refuse_log_unavailable(now, request, stream);
            return;
        }
        let deadline = now + self.options.append_timeout;
        match self.appender.enqueue(now, stream, body) {
            Some(handle) => self.waiters.insert(
                handle,
                Waiter {
                    request,
                    purpose,
                    deadline,
                },
            ),
            None => self.refuse_log_unavailable(now, request, stream),
        }
    }

    pub(crate) fn handle_upload(
        &mut self,
        now: Timestamp,
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
        self.enqueue(
            now,
            request,
            StreamId::Shard(shard),
            body,
            AppendPurpose::Upload,
        );
    }

    pub(crate) fn handle_submit(&mut self, now: Timestamp, request: RequestId, spec: JobSpec) {
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
        let purpose = AppendPurpose::Submit {
            job: spec.job,
            digest: spec.digest,
        };
        self.enqueue(now, request, stream, RecordBody::Submit(spec), purpose);
    }

    pub(crate) fn handle_cancel(&mut self, now: Timestamp, request: RequestId, job: JobId) {
        let stream = StreamId::Shard(shard_of_job(job, self.options.shard_count));
        let body = RecordBody::Cancel {
            job,
            at_ms: millis(now),
        };
        self.enqueue(now, request, stream, body, AppendPurpose::Cancel(job));
    }

    pub(crate) fn handle_append_answer(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        answer: AppendAnswer,
    ) {
        let was_failing = self.appender.is_failing(now, stream);
        let random = self.random();
        for stored in self.appender.handle_answer(now, stream, answer, random) {
            self.handle_stored_record(now, stored);
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

    pub(crate) fn handle_read_answer(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        answer: ReadAnswer,
    ) {
        match stream {
            StreamId::Config => self.handle_config_read(now, answer),
            StreamId::Shard(shard) => self.handle_shard_read(now, shard, answer),
            StreamId::Claims => {}
        }
    }

    pub(crate) fn handle_read_failure(&mut self, now: Timestamp, stream: StreamId) {
        match stream {
            StreamId::Config => self.handle_config_read_failure(now),
            StreamId::Shard(shard) => self.handle_shard_read_failure(now, shard),
            StreamId::Claims => {}
        }
    }

    /// Refuses requests whose records are not stored in time: at once if the record was never sent and appends fail,
    /// otherwise at the deadline.
    pub(crate) fn tick_waiters(&mut self, now: Timestamp) {
        let appender = &self.appender;
        let affected = self.waiters.handles_where(|handle, waiter| {
            now >= waiter.deadline || appender.is_failing(now, handle.stream)
        });
        for handle in affected {
            let is_overdue = self
                .waiters
                .deadline(handle)
                .is_some_and(|deadline| now >= deadline);
            match self.appender.withdraw(handle) {
                Withdrawal::NeverSent => self.refuse_unsent(now, handle),
                Withdrawal::MaybeStored | Withdrawal::Stored if is_overdue => {
                    self.refuse_unconfirmed(now, handle)
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

    fn handle_stored_record(&mut self, now: Timestamp, stored: ConfirmedRecord) {
        // A configuration change is answered when it is read back, since only the replayed state knows its outcome.
        if self.waiters.is_config_change(stored.handle) {
            return;
        }
        let Some(Waiter {
            request, purpose, ..
        }) = self.waiters.remove(stored.handle)
        else {
            return;
        };
        let offset = stored.position.offset;
        match purpose {
            AppendPurpose::Upload => self.answer(request, Answer::Stored),
            AppendPurpose::Submit { job, digest } => {
                self.query_job(
                    now,
                    request,
                    job,
                    offset,
                    QueryPurpose::ConfirmSubmit { digest },
                );
            }
            AppendPurpose::Cancel(job) => {
                self.query_job(now, request, job, offset, QueryPurpose::Forward)
            }
            AppendPurpose::Keyed(keyed) => {
                self.handle_stored_claim(now, stored.handle, offset, keyed)
            }
            AppendPurpose::Propose => {}
        }
    }

    fn query_job(
        &mut self,
        now: Timestamp,
        request: RequestId,
        job: JobId,
        offset: u64,
        purpose: QueryPurpose,
    ) {
        let shard = shard_of_job(job, self.options.shard_count);
        self.query_shard(
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

    fn refuse_unsent(&mut self, now: Timestamp, handle: RecordHandle) {
        if let Some(waiter) = self.waiters.remove(handle) {
            self.refuse_log_unavailable(now, waiter.request, handle.stream);
        }
    }

    fn refuse_unconfirmed(&mut self, now: Timestamp, handle: RecordHandle) {
        let Some(waiter) = self.waiters.remove(handle) else {
            return;
        };
        let retry_after = self.appender.retry_after(now, handle.stream);
        match waiter.purpose {
            // An upload without a submit has no effect, so it counts as refused whether it is stored or not.
            AppendPurpose::Upload => {
                self.refuse_log_unavailable(now, waiter.request, handle.stream)
            }
            AppendPurpose::Keyed(keyed) => {
                // The call has not run. Its claim may be stored, so a record that releases it is appended behind it.
                let claim = self.record_id(handle.sequence);
                let end = KeyedCallEnd {
                    workspace: keyed.workspace,
                    key: keyed.key,
                    claim,
                    status: None,
                    body: Vec::new(),
                };
                self.appender
                    .enqueue(now, handle.stream, RecordBody::KeyedCallEnd(end));
                self.refuse_log_unavailable(now, waiter.request, handle.stream);
            }
            AppendPurpose::Submit { .. } | AppendPurpose::Cancel(_) | AppendPurpose::Propose => {
                let message =
                    "the record was sent to the log and is not confirmed; send the request again";
                self.refuse(
                    waiter.request,
                    ApiError::with_retry_after(Code::AppendUnknown, message, retry_after),
                );
            }
        }
    }

    fn refuse_log_unavailable(&mut self, now: Timestamp, request: RequestId, stream: StreamId) {
        let retry_after = self.appender.retry_after(now, stream);
        let message = format!("the log does not take records of {stream}; nothing was accepted");
        self.refuse(
            request,
            ApiError::with_retry_after(Code::LogUnavailable, message, retry_after),
        );
    }
}
