//! Observes the begin of a run, during which the request may crash its server.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_fleet::SseEvent;
use bamboo_quarantine::SuspectId;

use crate::gateway::Gateway;
use crate::gateway::ServerCheck;

/// Number of events with data after which a run has begun, so that its request is not the cause if its server crashes later.
const EVENTS_TO_BEGIN: usize = 4;

/// A run that broke before it had begun.
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
    pub(crate) events: usize,
    /// When the request was sent.
    pub(crate) sent_at: Duration,
    /// When the run broke.
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
}

/// A run until it has begun.
pub(crate) struct RunTrial {
    gateway: Rc<Gateway>,
    request: String,
    server: Rc<Server>,
    suspects: Rc<[SuspectId]>,
    content: Option<SuspectId>,
    events: usize,
    sent_at: Duration,
}

impl RunTrial {
    /// Begins to observe a run whose request is about to be sent.
    pub(crate) fn begin(
        gateway: &Rc<Gateway>,
        server: &Rc<Server>,
        request: TrialRequest<'_>,
    ) -> Self {
        RunTrial {
            gateway: Rc::clone(gateway),
            request: request.id.to_owned(),
            server: Rc::clone(server),
            suspects: Rc::clone(request.suspects),
            content: request.content,
            events: 0,
            sent_at: gateway.clock.now(),
        }
    }

    /// Counts events of the run.
    pub(crate) fn events_received(&mut self, events: &[SseEvent]) {
        if self.events >= EVENTS_TO_BEGIN {
            return;
        }
        self.events += events.iter().filter(|event| event.has_data()).count();
        if self.events >= EVENTS_TO_BEGIN {
            self.gateway.run_began(&self.suspects);
        }
    }

    /// Whether an event with data has been received.
    pub(crate) fn has_event(&self) -> bool {
        self.events > 0
    }

    /// Records that the server has sent a whole response that is not a stream.
    pub(crate) fn answered(&self) {
        self.gateway.run_began(&self.suspects);
    }

    /// Records that the stream is complete.
    pub(crate) fn run_completed(&mut self) {
        if (1..EVENTS_TO_BEGIN).contains(&self.events) {
            self.gateway.run_began(&self.suspects);
        }
    }

    /// Examines whether the server has crashed, if the run broke before it had begun.
    pub(crate) fn run_broke(&mut self) {
        let Some(content) = self.content else {
            return;
        };
        if self.events >= EVENTS_TO_BEGIN {
            return;
        }
        let run = BrokenRun {
            request: self.request.clone(),
            server: Rc::clone(&self.server),
            suspects: Rc::clone(&self.suspects),
            content,
            events: self.events,
            sent_at: self.sent_at,
            broke_at: self.gateway.clock.now(),
        };
        let gateway = Rc::clone(&self.gateway);
        let check = gateway.begin_check();
        actix_rt::spawn(async move {
            examine_broken_run(&gateway, run).await;
            drop(check);
        });
    }
}

/// Finds out whether a server crashed during a run, or only the response broke off.
async fn examine_broken_run(gateway: &Rc<Gateway>, run: BrokenRun) {
    let is_server_down = gateway.check_server(&run.server).await == ServerCheck::Down;
    gateway.metrics.count_run(match is_server_down {
        true => "crashed_server",
        false => "broke_early",
    });
    log::info!(
        event = "run_broke_early", request = run.request.as_str(), server = run.server.id.as_str(), is_server_down,
        content = format_suspects(&[run.content]), suspects = format_suspects(&run.suspects), events = run.events,
        ran_ms = run.broke_at.saturating_sub(run.sent_at).as_millis() as u64;
        "a run broke before it had begun"
    );
    if is_server_down {
        gateway.server_crashed(&run).await;
    }
}

/// Suspects for the log, as hexadecimal numbers.
pub(crate) fn format_suspects(suspects: &[SuspectId]) -> String {
    let suspects: Vec<String> = suspects.iter().map(|id| format!("{id:x}")).collect();
    suspects.join(",")
}
