//! Prometheus metrics of the daemon.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Label that tells apart the counters of one metric family, such as result codes or message kinds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    kind: String,
}

/// All metrics of the daemon.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    answers: Family<KindLabel, Counter>,
    control_messages: Family<KindLabel, Counter>,
    control_bytes: Family<KindLabel, Counter>,
    appends: Family<KindLabel, Counter>,
    append_bytes: Counter,
    events: Family<KindLabel, Counter>,
    first_token: Histogram,
    control_wait: Histogram,
    control_step: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("bambood");
        let metrics = Metrics {
            answers: Family::default(),
            control_messages: Family::default(),
            control_bytes: Family::default(),
            appends: Family::default(),
            append_bytes: Counter::default(),
            events: Family::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 1.6, 16)),
            control_wait: Histogram::new(exponential_buckets(0.000_005, 2.5, 14)),
            control_step: Histogram::new(exponential_buckets(0.000_002, 2.5, 14)),
            registry: Mutex::new(Registry::default()),
        };
        registry.register(
            "answers",
            "Answers to callers by result code",
            metrics.answers.clone(),
        );
        registry.register(
            "control_messages",
            "Messages sent to other hosts by kind",
            metrics.control_messages.clone(),
        );
        registry.register(
            "control_bytes",
            "Encoded bytes sent to other hosts by kind",
            metrics.control_bytes.clone(),
        );
        registry.register(
            "appends",
            "Appends to the log by answer",
            metrics.appends.clone(),
        );
        registry.register(
            "append_bytes",
            "Bytes appended to the log",
            metrics.append_bytes.clone(),
        );
        registry.register("events", "Events by kind", metrics.events.clone());
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            metrics.first_token.clone(),
        );
        registry.register(
            "control_wait_seconds",
            "Wait for the control thread",
            metrics.control_wait.clone(),
        );
        registry.register(
            "control_step_seconds",
            "Time of one control step",
            metrics.control_step.clone(),
        );
        *metrics
            .registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = registry;
        metrics
    }

    pub(crate) fn record_response(&self, code: &str) {
        count(&self.answers, code, 1);
    }

    pub(crate) fn record_message(&self, kind: &str, bytes: usize) {
        count(&self.control_messages, kind, 1);
        count(&self.control_bytes, kind, bytes as u64);
    }

    pub(crate) fn record_append(&self, answer: &str, bytes: usize) {
        count(&self.appends, answer, 1);
        self.append_bytes.inc_by(bytes as u64);
    }

    pub(crate) fn record_event(&self, kind: &str) {
        count(&self.events, kind, 1);
    }

    pub(crate) fn record_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    pub(crate) fn record_control_step(&self, wait: Duration, step: Duration) {
        self.control_wait.observe(wait.as_secs_f64());
        self.control_step.observe(step.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

fn count(family: &Family<KindLabel, Counter>, kind: &str, amount: u64) {
    family
        .get_or_create(&KindLabel {
            kind: kind.to_owned(),
        })
        .inc_by(amount);
}
