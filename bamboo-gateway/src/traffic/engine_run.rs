//! A single run of a request on a model engine.

use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::EVENT_MAX_BYTES;
use bamboo_fleet::Server;
use bamboo_fleet::SilenceCheck;
use bamboo_fleet::SilenceTimer;
use bamboo_fleet::SseDecoder;
use bamboo_fleet::SseEvent;
use bamboo_quarantine::SuspectId;
use bamboo_slots::RunOutcome;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::traffic::buffered_body::read_whole_body;
use crate::traffic::pool::Connection;
use crate::traffic::pool::connect_outcome;
use crate::traffic::process_watch::ProcessWatch;
use crate::traffic::response::belongs_to_request;
use crate::traffic::response::is_framed;
use crate::traffic::response::observe_statements;
use crate::traffic::run_trial::RunTrial;
use crate::traffic::run_trial::TrialRequest;

/// Maximum size in bytes of a response with an error status, which is not streamed.
const ERROR_BODY_MAX_BYTES: usize = 1 << 20;

/// A request to an engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineRequest {
    /// Identifier of the request.
    pub(crate) id: String,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether the request may run more than once. One that may not always gets a new connection, so that bytes left
    /// over from an earlier response cannot affect it.
    pub(crate) is_retryable: bool,
    /// What the request has in common with others and may crash servers, the widest first.
    pub(crate) suspects: Rc<[SuspectId]>,
    /// What identifies the request if it comes again under another identifier; `None` for an item, which is no suspect.
    pub(crate) content: Option<SuspectId>,
}

/// Why no stream was opened.
#[derive(Debug)]
pub(crate) enum OpenError {
    /// The server did not run the request.
    NotRun(RunOutcome),
    /// The request may have run.
    Failed(RunOutcome),
    /// The server responded with an error status of its own.
    Answered(Box<response::Parts>, Bytes),
}

/// Result of reading from a stream.
#[derive(Debug)]
pub(crate) enum StreamRead {
    /// A complete event.
    Event(SseEvent),
    /// The response is complete.
    End,
    /// The response was truncated.
    Broken,
    /// No event arrived within the idle timeout, or before the deadline.
    Silent,
}

/// Tells that a server has been silent for a while, during a run that goes on.
#[derive(Debug)]
pub(crate) struct SilenceNotice {
    after: Duration,
    noticed: Notify,
}

impl SilenceNotice {
    /// Creates a notice of a silence that is as long as `after`.
    pub(crate) fn new(after: Duration) -> Self {
        SilenceNotice {
            after,
            noticed: Notify::new(),
        }
    }

    /// Waits until the server has been silent for so long.
    pub(crate) async fn noticed(&self) {
        self.noticed.notified().await;
    }
}

/// How long to wait for a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseWait<'a> {
    /// Time after which the run is given up.
    pub(crate) timeout: Duration,
    /// Told of a silence before.
    pub(crate) notice: Option<&'a SilenceNotice>,
}

/// An event stream from an engine. Dropping it closes the connection, which cancels the run.
pub(crate) struct EngineStream {
    connection: Connection,
    /// Status and headers.
    pub(crate) head: response::Parts,
    body: Incoming,
    decoder: SseDecoder,
    events: VecDeque<SseEvent>,
    /// Whether the server is in another data centre.
    is_remote: bool,
    /// Wait for the next event with data, if one is under way.
    silence: Option<SilenceTimer>,
    trial: RunTrial,
    /// Watch over the server's process if the response states no length and has no chunks.
    process_watch: Option<ProcessWatch>,
}

/// Sends a request to a server and waits for the status and headers of the response.
///
/// # Errors
/// Fails if the server does not respond with a stream.
pub(crate) async fn open_stream(
    gateway: &Rc<Gateway>,
    server: &Rc<Server>,
    request: &EngineRequest,
    last_event: Option<u64>,
    deadline: Option<Duration>,
    wait: ResponseWait<'_>,
) -> Result<EngineStream, OpenError> {
    let names = &gateway.dialect.headers;
    let started = gateway.clock.now();
    let pooled = request
        .is_retryable
        .then(|| gateway.take_idle_connection(server))
        .flatten();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => gateway
            .pool
            .connect(gateway, server)
            .await
            .map_err(|failure| OpenError::NotRun(connect_outcome(failure)))?,
    };
    let mut headers = request.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&server.id) {
        headers.insert(&names.expected_server, id);
    }
    if let Some(last_event) = last_event {
        headers.insert(&names.last_event_id, HeaderValue::from(last_event));
    }
    if let Some(deadline) = deadline {
        headers.insert(
            &names.deadline_ms,
            HeaderValue::from(deadline.as_millis() as u64),
        );
    }
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request
        .target
        .parse()
        .map_err(|_| OpenError::NotRun(RunOutcome::Cancelled))?;
    *outgoing.headers_mut() = headers;
    let is_direct = connection.is_direct;
    let exchange = connection.send(outgoing);
    let respond_by = started + wait.timeout;
    let trial_request = TrialRequest {
        id: &request.id,
        suspects: &request.suspects,
        content: request.content,
        is_from_start: last_event.is_none(),
    };
    let mut trial = RunTrial::begin(gateway, server, trial_request);
    let watched = trial.watch(wait.timeout, exchange);
    let response = match notify_of_silence(gateway, wait.notice, is_direct, watched).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            log::debug!(
                "connection to server {} failed during request {}: {error}",
                server.id,
                request.id
            );
            trial.run_broke();
            return Err(OpenError::Failed(RunOutcome::Broken));
        }
        Err(_) => {
            gateway.record_silence(is_direct);
            return Err(OpenError::Failed(RunOutcome::Silent));
        }
    };
    gateway.record_heard(&connection);
    trial.heard();
    let (head, body) = response.into_parts();
    if !belongs_to_request(gateway, &request.id, &head, connection.is_reused) {
        return Err(OpenError::Failed(RunOutcome::Broken));
    }
    observe_statements(gateway, server, &head, started);
    if head.status.is_success() {
        let process_watch = match is_framed(&head.headers) {
            true => None,
            false => Some(ProcessWatch::begin(gateway, server).await),
        };
        return Ok(EngineStream {
            connection,
            head,
            body,
            decoder: SseDecoder::default(),
            events: VecDeque::new(),
            is_remote: server.data_centre != gateway.settings.data_centre,
            silence: None,
            trial,
            process_watch,
        });
    }
    let is_not_run =
        head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST;
    let collected = read_whole_body(body, ERROR_BODY_MAX_BYTES, &gateway.server_buffers);
    let remaining = match is_not_run {
        // Nothing of the body matters.
        true => Duration::ZERO,
        false => respond_by.saturating_sub(gateway.clock.now()),
    };
    let collected = tokio::time::timeout(remaining, collected);
    let bytes = match notify_of_silence(gateway, wait.notice, is_direct, collected).await {
        Ok(Ok(bytes)) => Some(bytes),
        Ok(Err(error)) => {
            log::debug!("error response of server {}: {error}", server.id);
            trial.run_broke();
            None
        }
        Err(_) => None,
    };
    // The connection is not reused: the server may get the same item again, and would then seem to respond with a late copy
    // of this response.
    match (is_not_run, bytes) {
        (true, _) if head.status == StatusCode::MISDIRECTED_REQUEST => {
            Err(OpenError::NotRun(RunOutcome::Misdirected))
        }
        (true, _) => Err(OpenError::NotRun(RunOutcome::Full)),
        (false, Some(bytes)) => Err(OpenError::Answered(Box::new(head), bytes)),
        (false, None) => Err(OpenError::Failed(RunOutcome::Broken)),
    }
}

/// Waits for a part of a response, and tells of a silence meanwhile.
pub(super) async fn notify_of_silence<F>(
    gateway: &Gateway,
    notice: Option<&SilenceNotice>,
    is_direct: bool,
    response: F,
) -> F::Output
where
    F: Future,
{
    let Some(notice) = notice else {
        return response.await;
    };
    let mut response = std::pin::pin!(response);
    if let Ok(response) = tokio::time::timeout(notice.after, &mut response).await {
        return response;
    }
    gateway.record_silence(is_direct);
    notice.noticed.notify_one();
    response.await
}

impl EngineStream {
    /// Reads the next event. Returns `Silent` if no event with data arrives for `idle_timeout`, or at the deadline.
    pub(crate) async fn next(
        &mut self,
        gateway: &Gateway,
        idle_timeout: Duration,
        deadline: Duration,
    ) -> StreamRead {
        loop {
            if let Some(event) = self.events.pop_front() {
                if event.has_data() {
                    self.silence = None;
                }
                return StreamRead::Event(event);
            }
            if let Some(end) = self.read_part(gateway, idle_timeout, deadline).await {
                return end;
            }
        }
    }

    /// Waits for the first event with data, which [`next`](Self::next) returns later, or for the end of the response.
    ///
    /// # Errors
    /// Fails with the outcome of the run if the stream breaks or stays silent.
    pub(crate) async fn wait_for_event(
        &mut self,
        gateway: &Gateway,
        idle_timeout: Duration,
        deadline: Duration,
    ) -> Result<(), RunOutcome> {
        let (mut examined, mut queued_bytes) = (0, 0);
        loop {
            for event in self.events.range(examined..) {
                if event.has_data() {
                    self.silence = None;
                    return Ok(());
                }
                queued_bytes += event.raw.len();
            }
            examined = self.events.len();
            if queued_bytes > EVENT_MAX_BYTES {
                return Err(RunOutcome::Broken);
            }
            match self.read_part(gateway, idle_timeout, deadline).await {
                None => {}
                Some(StreamRead::End) => return Ok(()),
                Some(StreamRead::Silent) => return Err(RunOutcome::Silent),
                Some(StreamRead::Broken | StreamRead::Event(_)) => return Err(RunOutcome::Broken),
            }
        }
    }

    /// Waits for the first event with data until the deadline, and tells of a silence before.
    ///
    /// # Errors
    /// Fails with the outcome of the run if the stream breaks, or has no event before the deadline.
    pub(crate) async fn wait_for_first_event(
        &mut self,
        gateway: &Gateway,
        notice: &SilenceNotice,
        deadline: Duration,
    ) -> Result<(), RunOutcome> {
        match self.wait_for_event(gateway, notice.after, deadline).await {
            Err(RunOutcome::Silent) if gateway.clock.now() < deadline => {}
            ended => return ended,
        }
        notice.noticed.notify_one();
        self.wait_past_silence(gateway, deadline).await
    }

    /// Goes on waiting for a server that has been silent, until the deadline.
    ///
    /// # Errors
    /// Fails like [`wait_for_first_event`](Self::wait_for_first_event).
    pub(crate) async fn wait_past_silence(
        &mut self,
        gateway: &Gateway,
        deadline: Duration,
    ) -> Result<(), RunOutcome> {
        let now = gateway.clock.now();
        self.silence = Some(SilenceTimer::start(now, Duration::MAX, deadline));
        self.wait_for_event(gateway, Duration::MAX, deadline).await
    }

    /// The first event that has been received and not been read.
    pub(crate) fn received_event(&self) -> Option<&SseEvent> {
        self.events.front()
    }

    /// Reads a part of the response. Returns how the stream ended, or `None` if it may go on.
    async fn read_part(
        &mut self,
        gateway: &Gateway,
        idle_timeout: Duration,
        deadline: Duration,
    ) -> Option<StreamRead> {
        let now = gateway.clock.now();
        let silence = self
            .silence
            .get_or_insert_with(|| SilenceTimer::start(now, idle_timeout, deadline));
        let SilenceCheck::Wait(wait) = silence.check(now) else {
            gateway.record_silence(self.connection.is_direct);
            self.trial.server_silent();
            return Some(StreamRead::Silent);
        };
        let to_check = self.trial.time_to_silence_check();
        let frame = match tokio::time::timeout(wait.min(to_check), self.body.frame()).await {
            Ok(frame) => frame,
            Err(_) => {
                if to_check < wait {
                    self.trial.server_silent();
                }
                // The next check decides whether to wait longer.
                return None;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let data = frame.data_ref()?;
                gateway.record_heard(&self.connection);
                self.trial.heard();
                let metrics = &gateway.metrics;
                metrics.count_server_bytes(self.is_remote, data.len());
                match self.decoder.push(data) {
                    Ok(events) => {
                        self.trial.events_received(&events);
                        self.events.extend(events);
                        None
                    }
                    Err(error) => {
                        log::info!(event = "event_too_large"; "a server sends an event without end: {error}");
                        Some(StreamRead::Broken)
                    }
                }
            }
            Some(Err(_)) => {
                self.trial.run_broke();
                Some(StreamRead::Broken)
            }
            None if self.decoder.has_partial() || self.is_cut_by_crash().await => {
                self.trial.run_broke();
                Some(StreamRead::Broken)
            }
            None => {
                self.trial.run_completed();
                Some(StreamRead::End)
            }
        }
    }

    /// Whether a response without a length or chunks ended because its server crashed, which ends its connections, too. One
    /// without events is never whole.
    async fn is_cut_by_crash(&self) -> bool {
        match &self.process_watch {
            Some(watch) => !self.trial.has_event() || self.trial.has_process_ended(watch).await,
            None => false,
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub(crate) fn finish(self, gateway: &Gateway) {
        let now = gateway.clock.now();
        gateway
            .pool
            .put_idle(self.connection, &self.head.headers, now);
    }
}
