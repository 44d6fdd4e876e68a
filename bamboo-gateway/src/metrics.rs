//! Counters and latency histograms.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Smallest bucket of latencies, seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Ratio between buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Buckets, up to 8 s.
const BUCKETS: u16 = 14;

/// Labels of a request's counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// Route.
    pub route: String,
    /// Status of the answer.
    pub status: u16,
}

/// Label of events that are counted by kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    /// Kind.
    pub kind: &'static str,
}

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers by route and status.
    pub requests: Family<RequestLabels, Counter>,
    /// Time to the first byte of an answer.
    pub first_byte_s: Histogram,
    /// Time that requests waited for a slot.
    pub slot_wait_s: Histogram,
    /// Runs at servers by outcome.
    pub runs: Family<KindLabel, Counter>,
    /// Items of jobs by event.
    pub items: Family<KindLabel, Counter>,
    /// Calls of the store.
    pub store_calls: Gauge,
    /// Calls of the store without an answer.
    pub store_failures: Gauge,
    /// Partitions of jobs that this host owns.
    pub partitions: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let latency = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_RATIO, BUCKETS));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("gateway"),
            requests: Family::default(),
            first_byte_s: latency(),
            slot_wait_s: latency(),
            runs: Family::default(),
            items: Family::default(),
            store_calls: Gauge::default(),
            store_failures: Gauge::default(),
            partitions: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "requests",
            "Answers by route and status",
            metrics.requests.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an answer",
            metrics.first_byte_s.clone(),
        );
        registry.register(
            "slot_wait_seconds",
            "Time that requests waited for a slot",
            metrics.slot_wait_s.clone(),
        );
        registry.register("runs", "Runs at servers by outcome", metrics.runs.clone());
        registry.register("items", "Items of jobs by event", metrics.items.clone());
        registry.register(
            "store_calls",
            "Calls of the store",
            metrics.store_calls.clone(),
        );
        registry.register(
            "store_failures",
            "Calls of the store without an answer",
            metrics.store_failures.clone(),
        );
        registry.register(
            "partitions",
            "Partitions of jobs that this host owns",
            metrics.partitions.clone(),
        );
        metrics
    }
}

impl Metrics {
    /// Counts a run at a server.
    pub(crate) fn count_run(&self, kind: &'static str) {
        self.runs.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts an event of an item.
    pub(crate) fn count_item(&self, kind: &'static str) {
        self.items.get_or_create(&KindLabel { kind }).inc();
    }

    /// All metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::error!("metrics cannot be encoded: {error}");
        }
        text
    }
}
