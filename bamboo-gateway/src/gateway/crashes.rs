//! Requests and parts of prompts that crash servers: what this host observes, and what it learns from other hosts and the
//! store.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_fleet::Server;
use bamboo_quarantine::CrashEvidence;
use bamboo_quarantine::CrashInquiry;
use bamboo_quarantine::CrashReport;
use bamboo_quarantine::Finding;
use bamboo_quarantine::Quarantine;
use bamboo_quarantine::QuarantineReply;
use bamboo_quarantine::QuarantinedSuspect;
use bamboo_quarantine::RunHistory;
use bamboo_quarantine::SuspectEvidence;
use bamboo_quarantine::SuspectHistory;
use bamboo_quarantine::SuspectId;
use bamboo_quarantine::SuspectKind;
use bamboo_quarantine::SuspectReport;
use bamboo_quarantine::digest;
use bamboo_quarantine::suspect_kind;
use bamboo_relay::LONG_POLL_MAX;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::mesh::CRASH_VERDICTS_SINCE;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::SERVER_REPORTS_SINCE;
use crate::net;
use crate::store::KeyedRecord;
use crate::store::ReadExtent;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::traffic::BrokenRun;
use crate::traffic::format_suspects;
use crate::watch::TopicReader;
use crate::watch::TopicUpdate;
use crate::watch::encode_keyed_record;

/// Topic that holds the quarantined parts, without the prefix of keyed topics.
const QUARANTINE_TOPIC: &str = "bamboo-quarantine";
/// Interval at which a host checks whether it has to follow the quarantine in the store.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Timeout for asking other hosts for their history of suspects. They reply within a few milliseconds; a host that is
/// suspended must not delay the quarantine.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a request that broke waits until its crash has been weighed, before it is sent again.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time in which all reports of one crash arrive.
const REPORTS_TIME: Duration = Duration::from_millis(15);
/// Timeout for connecting to a server before a verdict, and maximum number of servers that are tried.
const SERVER_CHECK_TIMEOUT: Duration = Duration::from_millis(60);
const SERVER_CHECKS_MAX: usize = 32;
/// Maximum time by which the end of a quarantine differs between hosts, so that one of them tries first.
const END_SPREAD: Duration = Duration::from_secs(60);
/// Number of crashes that a host keeps to report them to the next coordinator.
const CRASHES_KEPT: usize = 32;
/// Time for which a host keeps a crash.
const CRASH_KEPT_FOR: Duration = Duration::from_secs(120);

/// A quarantined part as the store holds it, under the part as its key.
#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    /// End of the quarantine in milliseconds since the Unix epoch.
    until_unix_ms: u64,
    /// How often the part was found to crash servers.
    findings: u32,
}

/// Why requests are rejected, for the log and the caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejection {
    /// Time after which to retry.
    pub(crate) retry_after: Duration,
    /// Reason for the log.
    pub(crate) reason: &'static str,
    /// Text for the caller.
    pub(crate) text: &'static str,
}

/// What this host knows of requests that crash servers.
pub(super) struct CrashState {
    history: RefCell<RunHistory>,
    inquiry: RefCell<CrashInquiry>,
    quarantine: RefCell<Quarantine>,
    has_suspects: Notify,
    /// Crashes under runs of this host, newest last.
    recent: RefCell<VecDeque<CrashEvidence>>,
    /// Digests of the quarantines of other hosts, as they acknowledged them.
    acks: RefCell<HashMap<HostId, u64>>,
    /// Parts that this host has put into quarantine and not yet written to the store.
    unstored: RefCell<Vec<QuarantinedSuspect>>,
    has_unstored: Notify,
    /// Crashes of this host's runs that have not been weighed yet.
    open_checks: Cell<usize>,
    check_ended: Notify,
    /// Notifies of each time that suspects were examined.
    examined: watch::Sender<()>,
}

impl Default for CrashState {
    fn default() -> Self {
        CrashState {
            history: RefCell::default(),
            inquiry: RefCell::default(),
            quarantine: RefCell::new(Quarantine::with_end_delay(
                END_SPREAD.mul_f64(rand::rng().random()),
            )),
            has_suspects: Notify::new(),
            recent: RefCell::default(),
            acks: RefCell::default(),
            unstored: RefCell::default(),
            has_unstored: Notify::new(),
            open_checks: Cell::new(0),
            check_ended: Notify::new(),
            examined: watch::Sender::new(()),
        }
    }
}

/// A crash that is being weighed, until it is dropped.
pub(crate) struct OpenCheck(Rc<Gateway>);

impl Drop for OpenCheck {
    fn drop(&mut self) {
        let crashes = &self.0.crashes;
        crashes.open_checks.set(crashes.open_checks.get() - 1);
        crashes.check_ended.notify_waiters();
    }
}

impl CrashState {
    /// Records which quarantine a host has.
    pub(super) fn record_ack(&self, host: &str, digest: u64) {
        self.acks.borrow_mut().insert(host.to_owned(), digest);
    }

    /// Forgets a host that is lost, or has restarted.
    pub(super) fn forget_host(&self, host: &str) {
        self.acks.borrow_mut().remove(host);
    }

    /// Keeps a crash for the next coordinator.
    fn keep(&self, evidence: CrashEvidence) {
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= CRASHES_KEPT {
            recent.pop_front();
        }
        recent.push_back(evidence);
    }

    /// Drops what no longer counts.
    pub(super) fn expire(&self, now: Duration) {
        self.quarantine.borrow_mut().expire(now);
        self.recent
            .borrow_mut()
            .retain(|crash| now.saturating_sub(crash.broke_at) < CRASH_KEPT_FOR);
    }
}

impl Gateway {
    /// Records that a run has begun, so that its request does not crash servers.
    pub(crate) fn run_began(&self, suspects: &[SuspectId]) {
        let now = self.clock.now();
        self.crashes
            .history
            .borrow_mut()
            .record_begun(suspects, now);
    }

    /// Why a request with these suspects must not be sent to servers now, if it must not.
    pub(crate) fn rejection(&self, suspects: &[SuspectId]) -> Option<Rejection> {
        let now = self.clock.now();
        let quarantine = self.crashes.quarantine.borrow();
        let suspect = quarantine.find(suspects, now)?;
        let (reason, text) = match suspect_kind(suspect) {
            SuspectKind::Part => (
                "prompt_quarantined",
                "a part of the prompt crashes servers\n",
            ),
            SuspectKind::SharedContent | SuspectKind::WholeContent => {
                ("request_quarantined", "the request crashes servers\n")
            }
        };
        Some(Rejection {
            retry_after: quarantine.remaining(suspects, now)?,
            reason,
            text,
        })
    }

    /// Begins to weigh a crash under a run of this host, for whose end [`wait_for_verdicts`](Self::wait_for_verdicts) waits.
    pub(crate) fn begin_check(self: &Rc<Self>) -> OpenCheck {
        let open_checks = &self.crashes.open_checks;
        open_checks.set(open_checks.get() + 1);
        OpenCheck(Rc::clone(self))
    }

    /// Waits until the crashes under runs of this host have been weighed, before a request is sent to another server.
    pub(crate) async fn wait_for_verdicts(&self) {
        let weighed = async {
            loop {
                let ended = self.crashes.check_ended.notified();
                if self.crashes.open_checks.get() == 0 {
                    return;
                }
                ended.await;
            }
        };
        if tokio::time::timeout(VERDICT_TIMEOUT, weighed)
            .await
            .is_err()
        {
            log::debug!("a crash has not been weighed in time");
        }
    }

    /// Has the coordinator weigh a crash under a run of this host.
    pub(crate) async fn server_crashed(self: &Rc<Self>, run: &BrokenRun) {
        let now = self.clock.now();
        let evidence = CrashEvidence {
            server: run.server.clone(),
            content: run.content,
            sent_at: run.sent_at,
            broke_at: run.broke_at,
            suspects: self.suspect_evidence(&run.suspects),
        };
        let report = CrashReport::from((&evidence, now));
        self.crashes.keep(evidence.clone());
        let coordinator = self.coordination.borrow().coordinator().clone();
        if coordinator == self.local.host || !self.decodes_since(&coordinator, SERVER_REPORTS_SINCE)
        {
            self.weigh_crash(&evidence).await;
        } else if self.decodes_since(&coordinator, CRASH_VERDICTS_SINCE) {
            let request = PeerRequest::WeighCrash(report);
            // Without a reply in time, the host learns of a verdict by the quarantine.
            let _ = self
                .mesh
                .call(&coordinator, request, VERDICT_TIMEOUT, now)
                .await;
        } else {
            self.send_to(&coordinator, PeerMessage::CrashReport(report));
        }
    }

    /// Weighs a crash that another host reports, as the coordinator. Returns once the verdict is on its way to all hosts.
    pub(super) async fn weigh_reported_crash(&self, report: &CrashReport) {
        let evidence = CrashEvidence::from((report, self.clock.now()));
        self.weigh_crash(&evidence).await;
    }

    async fn weigh_crash(&self, evidence: &CrashEvidence) {
        let mut examined = self.crashes.examined.subscribe();
        self.examine_crash(evidence, self.clock.now());
        let verdict = async {
            while !self.crashes.inquiry.borrow().suspects().is_empty() {
                if examined.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(VERDICT_TIMEOUT, verdict)
            .await
            .is_err()
        {
            log::debug!("the suspects of a crash have not been examined in time");
        }
    }

    fn suspect_evidence(&self, parts: &[SuspectId]) -> Vec<SuspectEvidence> {
        let history = self.crashes.history.borrow();
        let parts = parts.iter().map(|part| SuspectEvidence {
            suspect: *part,
            history: history.find(*part),
        });
        parts.collect()
    }

    /// Answers another host which recent runs with these parts have begun here.
    pub(super) fn run_histories(&self, parts: &[SuspectId]) -> Vec<SuspectReport> {
        let now = self.clock.now();
        let evidence = self.suspect_evidence(parts).into_iter();
        evidence.map(|part| (part, now).into()).collect()
    }

    /// Weighs a crash that another host reports.
    pub(super) fn handle_crash_report(&self, report: &CrashReport, now: Duration) {
        self.examine_crash(&CrashEvidence::from((report, now)), now);
    }

    fn examine_crash(&self, evidence: &CrashEvidence, now: Duration) {
        let found = evidence.suspects.iter().map(|found| found.suspect);
        let suspects: Vec<SuspectId> = found.collect();
        let quarantine = self.crashes.quarantine.borrow();
        let mut inquiry = self.crashes.inquiry.borrow_mut();
        if let Some(suspect) = quarantine.find(&suspects, now) {
            inquiry.record_explained(evidence);
            let has_ended_elsewhere = quarantine.has_ended_elsewhere(suspect, evidence.sent_at);
            drop((quarantine, inquiry));
            if has_ended_elsewhere {
                let finding = Finding {
                    suspect,
                    servers: vec![evidence.server.clone()],
                    is_certain: true,
                };
                self.quarantine_suspect(&finding, now);
            }
            return;
        }
        let is_on_probation = |suspect| quarantine.is_on_probation(suspect, now);
        inquiry.record_crash(evidence, is_on_probation, now);
        if !inquiry.suspects().is_empty() {
            self.crashes.has_suspects.notify_one();
        }
    }

    /// Asks all hosts about suspects, and puts those that no host clears into quarantine, until the process ends.
    pub(crate) async fn examine_suspects(self: Rc<Self>) {
        loop {
            self.crashes.has_suspects.notified().await;
            // Of the runs that broke with one server, another one may explain the crash.
            actix_rt::time::sleep(REPORTS_TIME).await;
            let suspects = self.crashes.inquiry.borrow().suspects();
            let (histories, down) = tokio::join!(
                self.collect_histories(&suspects),
                self.find_servers_that_are_down(&suspects),
            );
            let mut inquiry = self.crashes.inquiry.borrow_mut();
            for (suspect, history) in histories {
                inquiry.record_history(suspect, history);
            }
            for server in &down {
                inquiry.record_down(server, self.clock.now());
            }
            let findings: Vec<Finding> = std::iter::from_fn(|| inquiry.conclude()).collect();
            drop(inquiry);
            let now = self.clock.now();
            for finding in &findings {
                self.quarantine_suspect(finding, now);
            }
            self.crashes.examined.send_replace(());
        }
    }

    /// Tries some servers of the services at which servers crashed under these suspects. Returns those that take no
    /// connections.
    async fn find_servers_that_are_down(&self, suspects: &[SuspectId]) -> Vec<BackendServerId> {
        let now = self.clock.now();
        let mut servers: Vec<Rc<Server>> = {
            let (inquiry, directory) = (self.crashes.inquiry.borrow(), self.directory.borrow());
            let crashed = suspects
                .iter()
                .flat_map(|suspect| inquiry.crashed_servers(*suspect));
            let services: BTreeSet<String> = crashed
                .filter_map(|server| Some(directory.get(server)?.service.clone()))
                .collect();
            let ready = services
                .iter()
                .flat_map(|service| directory.ready(service, now));
            ready.collect()
        };
        servers.shuffle(&mut rand::rng());
        servers.truncate(SERVER_CHECKS_MAX);
        let checks: FuturesUnordered<_> = servers
            .iter()
            .map(|server| async {
                let connected = net::connect(server.address, SERVER_CHECK_TIMEOUT).await;
                connected.is_err().then(|| server.id.clone())
            })
            .collect();
        checks.filter_map(std::future::ready).collect().await
    }

    /// Recent runs with these suspects that have begun, over all hosts that report to this one.
    async fn collect_histories(&self, parts: &[SuspectId]) -> BTreeMap<SuspectId, SuspectHistory> {
        let now = self.clock.now();
        let hosts: Vec<HostId> = self.reporting_hosts();
        let hosts = hosts
            .iter()
            .filter(|host| self.decodes_since(host, SERVER_REPORTS_SINCE));
        let mut replies: FuturesUnordered<_> = hosts
            .map(|host| {
                let request = PeerRequest::RunHistories(parts.to_vec());
                self.mesh.call(host, request, HISTORY_TIMEOUT, now)
            })
            .collect();
        let mut evidence = self.suspect_evidence(parts);
        while let Some(reply) = replies.next().await {
            if let Some(PeerReply::RunHistories(reports)) = reply {
                let now = self.clock.now();
                evidence.extend(
                    reports
                        .into_iter()
                        .map(|part| SuspectEvidence::from((part, now))),
                );
            }
        }
        let mut histories: BTreeMap<SuspectId, SuspectHistory> = BTreeMap::new();
        for part in evidence {
            let history = histories.entry(part.suspect).or_default();
            *history = history.and(part.history);
        }
        histories
    }

    /// Puts a suspect into quarantine, and tells the other hosts and the store.
    fn quarantine_suspect(&self, finding: &Finding, now: Duration) {
        let suspect = format_suspects(&[finding.suspect]);
        let entry =
            self.crashes
                .quarantine
                .borrow_mut()
                .add(finding.suspect, finding.is_certain, now);
        let Some(entry) = entry else {
            log::error!(
                event = "quarantine_full", suspect;
                "something that requests have in common seems to crash servers, as do too many others"
            );
            return;
        };
        log::warn!(
            event = "quarantined", suspect, kind:? = suspect_kind(finding.suspect), servers = finding.servers.join(","),
            is_certain = finding.is_certain, findings = entry.findings, remaining_ms = entry.remaining_ms;
            "something that requests have in common crashes servers; such requests are rejected"
        );
        self.crashes.unstored.borrow_mut().push(entry);
        self.crashes.has_unstored.notify_one();
        self.quarantine_changed(&self.local.host, now);
    }

    /// Sends the quarantine to the hosts that this one coordinates, or to the coordinator, but not to the host that it
    /// is from.
    fn quarantine_changed(&self, source: &str, now: Duration) {
        let quarantine = self.crashes.quarantine.borrow();
        self.metrics
            .quarantined_parts
            .set(i64::try_from(quarantine.len()).unwrap_or(i64::MAX));
        let entries = quarantine.entries(now);
        drop(quarantine);
        let coordinator = self.coordination.borrow().coordinator().clone();
        let hosts: Vec<HostId> = match coordinator == self.local.host {
            true => self.reporting_hosts(),
            false => vec![coordinator],
        };
        for host in hosts.iter().filter(|host| *host != source) {
            self.send_quarantine(host, &entries);
        }
    }

    fn send_quarantine(&self, host: &str, entries: &[QuarantinedSuspect]) {
        if self.decodes_since(host, SERVER_REPORTS_SINCE) {
            self.send_to(host, PeerMessage::Quarantine(entries.to_vec()));
        }
    }

    /// Sends the quarantine to a host that has reported and not acknowledged it.
    pub(super) fn send_quarantine_unless_known(&self, host: &str) {
        let quarantine = self.crashes.quarantine.borrow();
        if quarantine.is_empty() {
            return;
        }
        let entries = quarantine.entries(self.clock.now());
        drop(quarantine);
        if self.crashes.acks.borrow().get(host) != Some(&digest(&entries)) {
            self.send_quarantine(host, &entries);
        }
    }

    /// Merges the quarantine of another host into that of this one.
    pub(super) fn handle_quarantine(
        &self,
        sender: &HostInfo,
        received: &[QuarantinedSuspect],
        now: Duration,
    ) {
        let has_changed = self.crashes.quarantine.borrow_mut().merge(received, now);
        self.crashes.record_ack(&sender.host, digest(received));
        let reply = self.crashes.quarantine.borrow().reply(received, now);
        match reply {
            QuarantineReply::Newer(entries) => self.send_quarantine(&sender.host, &entries),
            QuarantineReply::Ack(digest) => {
                self.send_to(&sender.host, PeerMessage::QuarantineAck(digest));
            }
        }
        if has_changed {
            log::info!(
                event = "quarantine", source = sender.host.as_str(), parts = received.len();
                "learned of parts of prompts that crash servers"
            );
            self.quarantine_changed(&sender.host, now);
        }
    }

    /// Sends the quarantine and the crashes that this host observed to another one.
    pub(super) fn send_prompt_reports(&self, host: &str, now: Duration) {
        let entries = self.crashes.quarantine.borrow().entries(now);
        if !entries.is_empty() {
            self.send_quarantine(host, &entries);
        }
        for crash in self.crashes.recent.borrow().iter() {
            let report = CrashReport::from((crash, now));
            self.send_to(host, PeerMessage::CrashReport(report));
        }
    }

    /// Writes the parts that this host adds to the store until the process ends.
    pub(crate) async fn store_quarantine(self: Rc<Self>) {
        let topic = self.quarantine_topic();
        loop {
            match self.store_quarantined_suspects(&topic).await {
                true => self.crashes.has_unstored.notified().await,
                false => actix_rt::time::sleep(STORE_RETRY_PAUSE).await,
            }
        }
    }

    /// Reads the quarantine from the store once, and follows it while this host coordinates the others and parts are in
    /// quarantine, until the process ends. Operators lift a quarantine by deleting its record.
    pub(crate) async fn follow_quarantine(self: Rc<Self>) {
        let (topic, extent) = (self.quarantine_topic(), ReadExtent::Tail);
        let mut reader = TopicReader::new(topic, LONG_POLL_MAX, extent);
        let mut has_read = false;
        loop {
            let is_quarantined = !self.crashes.quarantine.borrow().is_empty();
            if has_read && !(is_quarantined && self.is_coordinator(&self.local.host)) {
                actix_rt::time::sleep(FOLLOW_CHECK_INTERVAL).await;
                continue;
            }
            match reader.read(&self).await {
                Ok(TopicUpdate::Newest(records) | TopicUpdate::Records(records)) => {
                    has_read = true;
                    self.apply_stored_quarantine(&records);
                }
                Err(_) => actix_rt::time::sleep(STORE_RETRY_PAUSE).await,
            }
        }
    }

    fn quarantine_topic(&self) -> String {
        format!("{}{QUARANTINE_TOPIC}", self.dialect.keyed_prefix)
    }

    /// Merges records of the store into the quarantine of this host.
    fn apply_stored_quarantine(&self, records: &[KeyedRecord]) {
        let (now, now_unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let mut has_changed = false;
        for record in records {
            let Ok(part) = SuspectId::from_str_radix(&record.key, 16) else {
                log::warn!(
                    event = "quarantine_unreadable", key = record.key.as_str();
                    "a quarantined part in the store has no valid key"
                );
                continue;
            };
            let stored = record.value.as_deref().map(serde_json::from_slice);
            let mut quarantine = self.crashes.quarantine.borrow_mut();
            has_changed |= match stored {
                None => quarantine.lift(part, now).is_some(),
                Some(Ok(StoredSuspect {
                    until_unix_ms,
                    findings,
                })) => {
                    let remaining_ms = until_unix_ms.saturating_sub(now_unix_ms);
                    let entry = QuarantinedSuspect {
                        suspect: part,
                        remaining_ms,
                        findings,
                    };
                    quarantine.merge(&[entry], now)
                }
                Some(Err(error)) => {
                    log::warn!(
                        event = "quarantine_unreadable", key = record.key.as_str();
                        "cannot decode a quarantined part in the store: {error}"
                    );
                    false
                }
            };
        }
        if has_changed {
            let parts = self.crashes.quarantine.borrow().len();
            log::info!(event = "quarantine", source = "store", parts; "the quarantine changed in the store");
            self.quarantine_changed(&self.local.host, now);
        }
    }

    /// Writes the parts that the store does not have yet. Returns whether it has all of them.
    async fn store_quarantined_suspects(&self, topic: &str) -> bool {
        let unstored = self.crashes.unstored.borrow().clone();
        if unstored.is_empty() {
            return true;
        }
        let now_unix_ms = self.clock.unix_ms();
        let records = unstored.iter().filter_map(|entry| {
            let stored = StoredSuspect {
                until_unix_ms: now_unix_ms.saturating_add(entry.remaining_ms),
                findings: entry.findings,
            };
            let value = serde_json::to_vec(&stored).ok()?;
            Some(encode_keyed_record(&format!("{:x}", entry.suspect), &value))
        });
        let request = StoreRequest::Append {
            topic: topic.to_owned(),
            partition: 0,
            records: records.collect(),
            fence: None,
        };
        let is_stored = matches!(
            self.store_call(&request).await,
            Ok(StoreReply::Appended { .. })
        );
        if is_stored {
            self.crashes
                .unstored
                .borrow_mut()
                .retain(|entry| !unstored.contains(entry));
        }
        is_stored && self.crashes.unstored.borrow().is_empty()
    }
}
