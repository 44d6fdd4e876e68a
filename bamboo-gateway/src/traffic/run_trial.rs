//! Observes a run, during which the request may crash its server.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_fleet::SseEvent;
use bamboo_quarantine::RunLength;
use bamboo_quarantine::SuspectId;
use futures_util::future::join;
use tokio::time::error::Elapsed;

use crate::gateway::Gateway;
use crate::gateway::OpenCheck;
use crate::gateway::ServerCheck;
use crate::traffic::process_watch::ProcessState;
use crate::traffic::process_watch::ProcessWatch;

/// Time without a byte from a server after which it is checked.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(400);
/// Time between two checks of a silent server. A sound one may stand still for about a second.
const SILENCE_CONFIRMED_AFTER: Duration = Duration::from_millis(1500);
/// Time in which the directory shows that a server has started anew, and the interval between two looks at it.
const RESTART_SEEN_WITHIN: Duration = Duration::from_secs(3);
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same time while a caller waits for the end of its response.
const END_SEEN_WITHIN: Duration = Duration::from_millis(1500);

/// How a run ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// Its connection ended.
    Broken,
    /// Its server sends nothing; the run may still be in progress.
    Silent,
}

/// A run that broke, or whose server fell silent.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRun {
    /// Identifier of the request.
    pub(crate) request: String,
    /// Server that ran it.
    pub(crate) server: Rc<Server>,
    /// What the request has in common with others, the widest first.
    pub(crate) suspects: Rc<[SuspectId]>,
    /// What identifies the request if it comes again.
    pub(crate) content: SuspectId,
    /// Events with data that the run delivered.
    pub(crate) events: u32,
    /// When the request was sent.
    pub(crate) sent_at: Duration,
    /// When the run broke, or the server was last heard.
    pub(crate) broke_at: Duration,
}

/// A request whose run is observed.
pub(crate) struct TrialRequest<'a> {
    /// Identifier of the request.
    pub(crate) id: &'a str,
    /// What it has in common with others, the widest first.
    pub(crate) suspects: &'a Rc<[SuspectId]>,
    /// What identifies it if it comes again; `None` if a crash under it tells nothing.
    pub(crate) content: Option<SuspectId>,
    /// Whether it asks for the whole response, not for the rest of one.
    pub(crate) is_from_start: bool,
}

/// A run in progress.
pub(crate) struct RunTrial {
    gateway: Rc<Gateway>,
    request: String,
    server: Rc<Server>,
    suspects: Rc<[SuspectId]>,
    content: Option<SuspectId>,
    is_from_start: bool,
    events: u32,
    sent_at: Duration,
    heard_at: Duration,
    is_silence_checked: bool,
}

impl RunTrial {
    /// Begins to observe a run whose request is about to be sent.
    pub(crate) fn begin(
        gateway: &Rc<Gateway>,
        server: &Rc<Server>,
        request: TrialRequest<'_>,
    ) -> Self {
        let now = gateway.clock.now();
        RunTrial {
            gateway: Rc::clone(gateway),
            request: request.id.to_owned(),
            server: Rc::clone(server),
            suspects: Rc::clone(request.suspects),
            content: request.content,
            is_from_start: request.is_from_start,
            events: 0,
            sent_at: now,
            heard_at: now,
            is_silence_checked: false,
        }
    }

    /// Records that the server has sent bytes.
    pub(crate) fn heard(&mut self) {
        self.heard_at = self.gateway.clock.now();
        self.is_silence_checked = false;
    }

    /// Counts events of the run.
    pub(crate) fn events_received(&mut self, events: &[SseEvent]) {
        let had_begun = self.events >= RunLength::EVENTS_TO_BEGIN;
        let with_data = events.iter().filter(|event| event.has_data()).count();
        self.events = self
            .events
            .saturating_add(u32::try_from(with_data).unwrap_or(u32::MAX));
        let has_begun = self.events >= RunLength::EVENTS_TO_BEGIN;
        if has_begun && !had_begun && self.content.is_some() {
            self.gateway.run_began(&self.suspects);
        }
    }

    /// Whether an event with data has been received.
    pub(crate) fn has_event(&self) -> bool {
        self.events > 0
    }

    /// Records that the server has sent a whole response that is not a stream.
    pub(crate) fn answered(&self) {
        self.record_whole(RunLength::WHOLE_ANSWER);
    }

    /// Records that the stream is complete. The rest of a response says nothing of what comes before.
    pub(crate) fn run_completed(&self) {
        if self.has_event() && self.is_from_start {
            self.record_whole(RunLength::of_events(self.events));
        }
    }

    fn record_whole(&self, length: RunLength) {
        if self.content.is_some() {
            self.gateway.run_ended_whole(&self.suspects, length);
        }
    }

    /// Waits for the response, and has the server checked if it takes long.
    ///
    /// # Errors
    /// Fails if there is no response within the timeout.
    pub(crate) async fn watch<F>(
        &mut self,
        timeout: Duration,
        response: F,
    ) -> Result<F::Output, Elapsed>
    where
        F: Future,
    {
        let started = self.gateway.clock.now();
        let mut response = pin!(response);
        let first_wait = timeout.min(self.time_to_silence_check());
        if let Ok(response) = tokio::time::timeout(first_wait, &mut response).await {
            return Ok(response);
        }
        self.server_silent();
        let waited = self.gateway.clock.now().saturating_sub(started);
        tokio::time::timeout(timeout.saturating_sub(waited), response).await
    }

    /// Whether the server's process has ended, after a response without a length or chunks during which it was watched. It may be down,
    /// or have started anew.
    pub(super) async fn has_process_ended(&self, process_watch: &ProcessWatch) -> bool {
        let (gateway, server) = (&self.gateway, &self.server);
        let (state, check) = join(process_watch.state(), gateway.check_server(server)).await;
        if check == ServerCheck::Down || state == ProcessState::Down {
            return true;
        }
        let restart_seen_within = match state {
            // The server may have closed an idle connection, or it has started anew.
            ProcessState::EndedTogether => END_SEEN_WITHIN,
            ProcessState::Running | ProcessState::Down | ProcessState::Unknown => Duration::ZERO,
        };
        has_restarted(gateway, server, self.sent_at, restart_seen_within).await
    }

    /// Examines whether the server has crashed, after the run broke.
    pub(crate) fn run_broke(&self) {
        self.examine(RunEnd::Broken, self.gateway.clock.now());
    }

    /// Time until the server is to be checked, if it sends nothing.
    pub(crate) fn time_to_silence_check(&self) -> Duration {
        let silent = self.gateway.clock.now().saturating_sub(self.heard_at);
        match self.is_silence_checked || self.content.is_none() {
            true => Duration::MAX,
            false => SILENCE_BEFORE_CHECK.saturating_sub(silent),
        }
    }

    /// Examines whether the server has crashed, once for each silence. The run may go on.
    pub(crate) fn server_silent(&mut self) {
        if self.is_silence_checked {
            return;
        }
        self.is_silence_checked = true;
        let now = self.gateway.clock.now();
        if !self.gateway.has_heard_lately(&self.server.id, now) {
            self.examine(RunEnd::Silent, self.heard_at);
        }
    }

    fn examine(&self, end: RunEnd, broke_at: Duration) {
        let Some(content) = self.content else {
            return;
        };
        let run = BrokenRun {
            request: self.request.clone(),
            server: Rc::clone(&self.server),
            suspects: Rc::clone(&self.suspects),
            content,
            events: self.events,
            sent_at: self.sent_at,
            broke_at,
        };
        // A request whose server is silent is sent again at once; the check takes longer than its response may be late.
        let open_check = (end == RunEnd::Broken).then(|| self.gateway.begin_check());
        let gateway = Rc::clone(&self.gateway);
        actix_rt::spawn(examine_run(gateway, run, end, open_check));
    }
}

/// Finds out whether a server crashed during a run, or only the response broke off. Other attempts wait for `open_check`.
async fn examine_run(
    gateway: Rc<Gateway>,
    run: BrokenRun,
    end: RunEnd,
    open_check: Option<OpenCheck>,
) {
    let check = gateway.check_server(&run.server).await;
    gateway.metrics.count_run(match check {
        ServerCheck::Down => "crashed_server",
        _ => "broke",
    });
    log::info!(
        event = "run_broke", request = run.request.as_str(), server = run.server.id.as_str(), end:? = end,
        is_server_down = check == ServerCheck::Down,
        content = format_suspects(&[run.content]), suspects = format_suspects(&run.suspects), events = run.events,
        ran_ms = run.broke_at.saturating_sub(run.sent_at).as_millis() as u64;
        "a run broke, or its server fell silent"
    );
    match (end, check) {
        (RunEnd::Broken, ServerCheck::Down) => gateway.server_crashed(&run).await,
        (RunEnd::Silent, ServerCheck::Down) => {
            actix_rt::time::sleep(SILENCE_CONFIRMED_AFTER).await;
            if gateway.check_server(&run.server).await == ServerCheck::Down {
                gateway.server_crashed(&run).await;
            }
        }
        (RunEnd::Broken, ServerCheck::Reached | ServerCheck::ReachedByOthers) => {
            drop(open_check);
            let (server, since) = (&run.server, run.sent_at);
            if has_restarted(&gateway, server, since, RESTART_SEEN_WITHIN).await {
                gateway.server_crashed(&run).await;
            }
        }
        _ => {}
    }
}

/// Whether the directory shows within a while that a server has started anew since a time.
async fn has_restarted(
    gateway: &Gateway,
    server: &Server,
    since: Duration,
    within: Duration,
) -> bool {
    let until = gateway.clock.now() + within;
    loop {
        if gateway.directory.borrow().has_restarted(server, since) {
            return true;
        }
        if gateway.clock.now() >= until {
            return false;
        }
        actix_rt::time::sleep(RESTART_POLL_INTERVAL).await;
    }
}

/// Suspects for the log, as hexadecimal numbers.
pub(crate) fn format_suspects(suspects: &[SuspectId]) -> String {
    let suspects: Vec<String> = suspects.iter().map(|id| format!("{id:x}")).collect();
    suspects.join(",")
}
