//! State shared by all threads of the daemon.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use actix::Addr;
use arc_swap::ArcSwap;
use bamboo_config::Settings;
use bamboo_events::EventKind;
use bamboo_events::EventRing;
use bamboo_host::Answer;
use bamboo_host::Input;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::Incarnation;
use bamboo_types::RequestId;
use tokio::sync::oneshot;

use crate::Clock;
use crate::config_table::ConfigTable;
use crate::control::ControlActor;
use crate::control::InputMessage;
use crate::control::RequestMessage;
use crate::metrics::Metrics;

/// Events kept in memory for the events API.
const EVENT_RING_CAPACITY: usize = 20_000;

/// State shared by all threads of the daemon.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) config: ArcSwap<ConfigTable>,
    pub(crate) metrics: Metrics,
    pub(crate) is_ready: AtomicBool,
    pub(crate) open_request_count: AtomicUsize,
    events: Mutex<EventRing>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, clock: Clock, incarnation: Incarnation) -> Arc<Self> {
        let events = Mutex::new(EventRing::new(settings.host.clone(), EVENT_RING_CAPACITY));
        Arc::new(Shared {
            settings,
            clock,
            incarnation,
            config: ArcSwap::from_pointee(ConfigTable::default()),
            metrics: Metrics::new(),
            is_ready: AtomicBool::new(false),
            open_request_count: AtomicUsize::new(0),
            events,
        })
    }

    /// Appends an event to the ring buffer.
    pub(crate) fn record_event(&self, kind: EventKind, subject: String, detail: String) {
        let now = self.clock.now();
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(now, kind, subject, detail);
    }

    /// Returns the events whose subject starts with `subject`.
    pub(crate) fn events_about(&self, subject: &str) -> Vec<bamboo_events::Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .events_about(subject)
    }
}

/// Handle for sending inputs to the control actor.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    pub(crate) address: Addr<ControlActor>,
}

impl ControlHandle {
    /// Sends an input that needs no answer.
    pub(crate) fn tell(&self, input: Input) {
        self.address.do_send(InputMessage {
            input,
            sent_at: std::time::Instant::now(),
        });
    }

    /// Sends a request and waits for its answer.
    pub(crate) async fn ask(&self, request: RequestId, input: Input) -> Answer {
        let (reply, answer) = oneshot::channel();
        self.address.do_send(RequestMessage {
            request,
            input,
            reply,
            sent_at: std::time::Instant::now(),
        });
        answer.await.unwrap_or_else(|_| {
            Answer::Refused(ApiError::new(Code::NotReady, "the daemon is stopping"))
        })
    }
}

/// Counts a request as open until it is dropped; a graceful shutdown waits for open requests.
pub(crate) struct OpenRequestGuard {
    shared: Arc<Shared>,
}

impl OpenRequestGuard {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.open_request_count.fetch_add(1, Ordering::Relaxed);
        OpenRequestGuard {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.shared
            .open_request_count
            .fetch_sub(1, Ordering::Relaxed);
    }
}
