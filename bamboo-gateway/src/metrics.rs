//! Prometheus metrics of the process.

use std::sync::atomic::AtomicU64;

use bamboo_types::WorkspaceId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Upper bound of the smallest latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Ratio between the bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Number of buckets; the last bound is about 8 s.
const BUCKETS: u16 = 14;

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// Name of the route.
    pub route: String,
    /// HTTP status of the response.
    pub status: u16,
}

/// Label of counters that are split by kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    /// Kind of the counted event.
    pub kind: &'static str,
}

/// Bytes sent to other hosts by kind of message.
pub(crate) type PeerBytes = Family<KindLabel, Counter>;

/// Label of counts that are split by workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkspaceLabel {
    /// Workspace; `other` for all that are not listed.
    pub workspace: String,
}

/// Labels of the counter of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    /// Kind of the call.
    call: &'static str,
    /// Topic; empty for a call that concerns a group.
    topic: String,
    /// How the call ended.
    outcome: &'static str,
}

/// Labels of the counter of bytes that the store sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreBytesLabels {
    /// Kind of the call.
    call: &'static str,
    /// Topic; empty for a call that concerns a group.
    topic: String,
    /// Whether the response was whole; otherwise its bytes were discarded.
    is_whole: String,
}

/// Counters of the calls to the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreMetrics {
    calls: Family<StoreCallLabels, Counter>,
    received_bytes: Family<StoreBytesLabels, Counter>,
}

impl StoreMetrics {
    /// Counts a call.
    pub(crate) fn count_call(&self, call: &'static str, topic: &str, outcome: &'static str) {
        let labels = StoreCallLabels {
            call,
            topic: topic.to_owned(),
            outcome,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts the bytes of a response body.
    pub(crate) fn count_received(
        &self,
        call: &'static str,
        topic: &str,
        is_whole: bool,
        bytes: usize,
    ) {
        let labels = StoreBytesLabels {
            call,
            topic: topic.to_owned(),
            is_whole: is_whole.to_string(),
        };
        self.received_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }
}

/// All metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Responses to callers by route and status.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests that were refused because they carry no key of a workspace, by reason.
    pub authentication_refusals: Family<KindLabel, Counter>,
    /// Time to the first byte of a response.
    pub first_byte_s: Histogram,
    /// Time that requests waited for a slot grant.
    pub slot_wait_s: Histogram,
    /// Runs at model engines that delivered no events, by outcome.
    pub runs: Family<KindLabel, Counter>,
    /// Online requests that this host refused as coordinator, by reason.
    pub slot_refusals: Family<KindLabel, Gauge>,
    /// Streams that began, by how they ended.
    pub stream_ends: Family<KindLabel, Counter>,
    /// Streams that callers took up again, by outcome.
    pub take_ups: Family<KindLabel, Counter>,
    /// Events of batch items by kind.
    pub items: Family<KindLabel, Counter>,
    /// Requests of workspaces with a rate that this host decided on, by decision.
    pub rate_decisions: Family<KindLabel, Counter>,
    /// Requests that this host refused for the rate, by workspace.
    pub rate_refusals: Family<WorkspaceLabel, Gauge>,
    /// Fraction of the rates that this host may give out.
    pub rate_share: Gauge<f64, AtomicU64>,
    /// Number of hosts, as the shares of the rates count them.
    pub rate_hosts: Gauge,
    /// Calls to the store by kind, topic and outcome, and the bytes received.
    pub store: StoreMetrics,
    /// Bytes sent to other hosts by kind of message.
    pub peer_bytes: PeerBytes,
    /// Bytes of servers' response bodies, by whether the server is in another data centre.
    pub server_bytes: Family<KindLabel, Counter>,
    /// Tunnels that led other hosts to servers.
    pub tunnels: Counter,
    /// Requests sent to the store.
    pub store_calls: Gauge,
    /// Requests to the store that failed.
    pub store_failures: Gauge,
    /// Job partitions that this host owns.
    pub partitions: Gauge,
    /// Requests and parts of prompts in quarantine or on probation.
    pub quarantined_parts: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Callers that were turned away because a limit of the process was reached, by reason.
    pub turned_away: Family<KindLabel, Counter>,
    /// Bytes in use of the budget for callers.
    pub caller_buffer_bytes: Gauge,
    /// Bytes in use of the budget for the indexes of accepted jobs.
    pub job_index_bytes: Gauge,
    /// Bytes in use of the budget for bodies of items and texts of results.
    pub job_contents_bytes: Gauge,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Open connections from other hosts.
    pub host_connections: Gauge,
    /// Lines of the log that were dropped because its output was not read in time.
    pub log_lines_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let latency = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_RATIO, BUCKETS));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("gateway"),
            requests: Family::default(),
            authentication_refusals: Family::default(),
            first_byte_s: latency(),
            slot_wait_s: latency(),
            runs: Family::default(),
            slot_refusals: Family::default(),
            stream_ends: Family::default(),
            take_ups: Family::default(),
            items: Family::default(),
            rate_decisions: Family::default(),
            rate_refusals: Family::default(),
            rate_share: Gauge::default(),
            rate_hosts: Gauge::default(),
            store: StoreMetrics::default(),
            peer_bytes: Family::default(),
            server_bytes: Family::default(),
            tunnels: Counter::default(),
            store_calls: Gauge::default(),
            store_failures: Gauge::default(),
            partitions: Gauge::default(),
            quarantined_parts: Gauge::default(),
            config_version: Gauge::default(),
            turned_away: Family::default(),
            caller_buffer_bytes: Gauge::default(),
            job_index_bytes: Gauge::default(),
            job_contents_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
            host_connections: Gauge::default(),
            log_lines_dropped: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "requests",
            "Answers by route and status",
            metrics.requests.clone(),
        );
        registry.register(
            "authentication_refusals",
            "Requests refused because they carry no key of a workspace, by reason",
            metrics.authentication_refusals.clone(),
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
        registry.register(
            "stream_ends",
            "Streams that began, by how they ended",
            metrics.stream_ends.clone(),
        );
        registry.register(
            "take_ups",
            "Streams that callers took up again, by outcome",
            metrics.take_ups.clone(),
        );
        registry.register("items", "Items of jobs by event", metrics.items.clone());
        registry.register(
            "rate_decisions",
            "Requests of workspaces with a rate by this host's decision",
            metrics.rate_decisions.clone(),
        );
        registry.register(
            "rate_refusals",
            "Requests that this host refused for the rate, by workspace",
            metrics.rate_refusals.clone(),
        );
        registry.register(
            "rate_share",
            "Fraction of the rates that this host may give out",
            metrics.rate_share.clone(),
        );
        registry.register(
            "rate_hosts",
            "Number of hosts, as the shares of the rates count them",
            metrics.rate_hosts.clone(),
        );
        registry.register(
            "store_requests",
            "Calls of the store by kind, topic and outcome",
            metrics.store.calls.clone(),
        );
        registry.register(
            "store_received_bytes",
            "Bytes of the store's answers, whole or discarded",
            metrics.store.received_bytes.clone(),
        );
        registry.register(
            "peer_sent_bytes",
            "Bytes sent to other hosts by kind of message",
            metrics.peer_bytes.clone(),
        );
        registry.register(
            "server_received_bytes",
            "Bytes of servers' answers, from the same data centre and from others",
            metrics.server_bytes.clone(),
        );
        registry.register(
            "slot_refusals",
            "Online requests refused a slot by this host as coordinator, by reason",
            metrics.slot_refusals.clone(),
        );
        registry.register(
            "tunnels",
            "Tunnels that led other hosts to servers",
            metrics.tunnels.clone(),
        );
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
        registry.register(
            "quarantined_parts",
            "Requests and parts of prompts that crash servers",
            metrics.quarantined_parts.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            metrics.config_version.clone(),
        );
        registry.register(
            "turned_away",
            "Callers turned away at a limit of the process, by reason",
            metrics.turned_away.clone(),
        );
        registry.register(
            "caller_buffer_bytes",
            "Bytes in use of the budget for callers' bodies and connections",
            metrics.caller_buffer_bytes.clone(),
        );
        registry.register(
            "job_index_bytes",
            "Bytes in use of the budget for the indexes of accepted jobs",
            metrics.job_index_bytes.clone(),
        );
        registry.register(
            "job_contents_bytes",
            "Bytes in use of the budget for bodies of items and texts of results",
            metrics.job_contents_bytes.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            metrics.caller_connections.clone(),
        );
        registry.register(
            "host_connections",
            "Open connections from other hosts",
            metrics.host_connections.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Lines of the log that were dropped because its output was not read in time",
            metrics.log_lines_dropped.clone(),
        );
        metrics
    }
}

impl Metrics {
    /// Sets how many online requests this host has refused as coordinator.
    pub(crate) fn set_slot_refusals(&self, kind: &'static str, count: u64) {
        let labels = KindLabel { kind };
        let gauge = self.slot_refusals.get_or_create(&labels);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a run at a model engine that delivered no events.
    pub(crate) fn count_run(&self, kind: &'static str) {
        self.runs.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a request that was refused because it carries no key of a workspace.
    pub(crate) fn count_authentication_refusal(&self, kind: &'static str) {
        let refusals = &self.authentication_refusals;
        refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts the end of a stream that had begun.
    pub(crate) fn count_stream_end(&self, kind: &'static str) {
        self.stream_ends.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a stream that a caller took up again.
    pub(crate) fn count_take_up(&self, kind: &'static str) {
        self.take_ups.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a decision on the rate of a workspace.
    pub(crate) fn count_rate_decision(&self, kind: &'static str) {
        self.rate_decisions.get_or_create(&KindLabel { kind }).inc();
    }

    /// Replaces the series of refusals for the rate: the first `listed` workspaces, and the sum of the rest.
    pub(crate) fn list_rate_refusals<'a, R>(&self, refusals: R, listed: usize)
    where
        R: Iterator<Item = (&'a WorkspaceId, u64)>,
    {
        self.rate_refusals.clear();
        let mut rest = 0;
        for (index, (workspace, count)) in refusals.enumerate() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            if index >= listed {
                rest += count;
                continue;
            }
            let workspace = workspace.clone();
            let label = WorkspaceLabel { workspace };
            self.rate_refusals.get_or_create(&label).set(count);
        }
        let workspace = "other".to_owned();
        let label = WorkspaceLabel { workspace };
        // A listed workspace may have this name.
        self.rate_refusals.get_or_create(&label).inc_by(rest);
    }

    /// Counts an event of a batch item.
    pub(crate) fn count_item(&self, kind: &'static str) {
        self.items.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts bytes of a server's response body.
    pub(crate) fn count_server_bytes(&self, is_remote: bool, bytes: usize) {
        let kind = match is_remote {
            true => "other_data_centre",
            false => "same_data_centre",
        };
        let counter = self.server_bytes.get_or_create(&KindLabel { kind });
        counter.inc_by(bytes as u64);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::error!("cannot encode the metrics: {error}");
        }
        text
    }
}
