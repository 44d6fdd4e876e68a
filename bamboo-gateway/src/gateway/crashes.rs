//! Crashes of servers: what this host observes and reports, and how the coordinator weighs it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_quarantine::ALL_RUNS;
use bamboo_quarantine::CrashEvidence;
use bamboo_quarantine::CrashInquiry;
use bamboo_quarantine::CrashReport;
use bamboo_quarantine::Finding;
use bamboo_quarantine::Quarantine;
use bamboo_quarantine::QuarantinedSuspect;
use bamboo_quarantine::RunHistory;
use bamboo_quarantine::RunLength;
use bamboo_quarantine::SuspectEvidence;
use bamboo_quarantine::SuspectHistory;
use bamboo_quarantine::SuspectId;
use bamboo_quarantine::SuspectKind;
use bamboo_quarantine::SuspectReport;
use bamboo_quarantine::suspect_kind;
use bamboo_relay::ConnectFailure;
use bamboo_types::BackendServerId;
use bamboo_types::HostId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::mesh::CRASH_VERDICTS_SINCE;
use crate::mesh::LATE_CRASHES_SINCE;
use crate::mesh::PeerMessage;
use crate::mesh::PeerReply;
use crate::mesh::PeerRequest;
use crate::mesh::SERVER_REPORTS_SINCE;
use crate::traffic::BrokenRun;

/// Timeout for asking other hosts for their history of suspects. They reply within a few milliseconds; a host that is
/// suspended must not delay the quarantine.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for the reply to the report of a crash, well above the time for which the coordinator weighs it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the report of a crash is repeated.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time from a crash until it has been weighed, beyond which a request that broke is sent again without a verdict. A
/// coordinator that is lost has been replaced by then.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Part of the time that a request has left for which it waits for a verdict.
const VERDICT_WAIT_SHARE: f64 = 0.5;
/// Time in which all reports of one crash arrive.
const REPORTS_TIME: Duration = Duration::from_millis(15);
/// Timeout for connecting to a server before a verdict.
const SERVER_CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of servers that are tried before a verdict.
const SERVER_CHECKS_MAX: usize = 32;
/// Maximum time by which the end of a quarantine differs between hosts, so that one of them tries first.
const END_SPREAD: Duration = Duration::from_secs(60);
/// Number of crashes that a host keeps to report them to the next coordinator.
const CRASHES_KEPT: usize = 32;
/// Time for which a host keeps a crash.
const CRASH_KEPT_FOR: Duration = Duration::from_secs(120);

/// What to do after a crash has been reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportStep {
    /// Nothing: it has been weighed, or the coordinator never replies to such reports.
    Done,
    /// Report it again.
    Repeat,
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
    pub(super) quarantine: RefCell<Quarantine>,
    has_suspects: Notify,
    /// Crashes under runs of this host, newest last.
    pub(super) recent: RefCell<VecDeque<CrashEvidence>>,
    /// Digests of the quarantines of other hosts, as they acknowledged them.
    pub(super) acks: RefCell<HashMap<HostId, u64>>,
    /// Suspects that this host has put into quarantine and not yet written to the store.
    pub(super) unstored: RefCell<Vec<QuarantinedSuspect>>,
    pub(super) has_unstored: Notify,
    /// Crashes of this host's runs that have not been weighed yet, by number.
    open_checks: RefCell<BTreeSet<CheckNumber>>,
    next_check: Cell<CheckNumber>,
    check_ended: Notify,
    /// Number of examinations that have begun.
    examinations: Cell<u64>,
    /// The last examination that has ended.
    examined: watch::Sender<u64>,
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
            open_checks: RefCell::default(),
            next_check: Cell::new(0),
            check_ended: Notify::new(),
            examinations: Cell::new(0),
            examined: watch::Sender::new(0),
        }
    }
}

/// Number of a crash that is being weighed.
type CheckNumber = u64;

/// A crash that is being weighed, until it is dropped.
pub(crate) struct OpenCheck {
    gateway: Rc<Gateway>,
    number: CheckNumber,
}

impl Drop for OpenCheck {
    fn drop(&mut self) {
        let crashes = &self.gateway.crashes;
        crashes.open_checks.borrow_mut().remove(&self.number);
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
    /// Records that a run has begun, so that its request does not crash servers at once.
    pub(crate) fn run_began(&self, suspects: &[SuspectId]) {
        let now = self.clock.now();
        self.crashes
            .history
            .borrow_mut()
            .record_begun(suspects, now);
    }

    /// Records that a run has ended whole, so that its request does not crash servers.
    pub(crate) fn run_ended_whole(&self, suspects: &[SuspectId], length: RunLength) {
        let now = self.clock.now();
        self.crashes
            .history
            .borrow_mut()
            .record_whole(suspects, length, now);
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
        let number = self.crashes.next_check.get();
        self.crashes.next_check.set(number + 1);
        self.crashes.open_checks.borrow_mut().insert(number);
        OpenCheck {
            gateway: Rc::clone(self),
            number,
        }
    }

    /// Waits until the crashes under runs of this host up to now have been weighed, before a request is sent to another server.
    /// A request waits for part of the time that is left until its response is due.
    pub(crate) async fn wait_for_verdicts(&self, due_at: Duration) {
        let left = due_at.saturating_sub(self.clock.now());
        let wait_max = left.mul_f64(VERDICT_WAIT_SHARE);
        let next = self.crashes.next_check.get();
        let weighed = async {
            loop {
                let ended = self.crashes.check_ended.notified();
                let first = self.crashes.open_checks.borrow().first().copied();
                if first.is_none_or(|first| first >= next) {
                    return;
                }
                ended.await;
            }
        };
        if tokio::time::timeout(wait_max, weighed).await.is_err() {
            log::info!(event = "verdict_late", waited_ms = wait_max.as_millis() as u64;
                "a crash has not been weighed in time; the request is sent again");
        }
    }

    /// Has the coordinator weigh a crash under a run of this host. Returns once there is a verdict, or none in time.
    pub(crate) async fn server_crashed(self: &Rc<Self>, run: &BrokenRun) {
        let evidence = CrashEvidence {
            server: run.server.id.clone(),
            content: run.content,
            events: run.events,
            sent_at: run.sent_at,
            broke_at: run.broke_at,
            suspects: self.suspect_evidence(&run.suspects),
        };
        self.crashes.keep(evidence.clone());
        let gateway = Rc::clone(self);
        let report = actix_rt::spawn(async move { gateway.report_until_weighed(&evidence).await });
        // Without a verdict in time, the host learns of it by the quarantine. The report goes on.
        if tokio::time::timeout(VERDICT_TIMEOUT, report).await.is_err() {
            log::info!(event = "crash_not_weighed", server = run.server.id.as_str(); "no coordinator has weighed a crash in time");
        }
    }

    /// Reports a crash to the coordinator, which may change, until it replies.
    async fn report_until_weighed(&self, evidence: &CrashEvidence) {
        while self.report_crash(evidence).await == ReportStep::Repeat {
            let age = self.clock.now().saturating_sub(evidence.broke_at);
            if age >= CRASH_KEPT_FOR {
                log::warn!(event = "crash_unreported", server = evidence.server.as_str(); "no coordinator weighed a crash");
                return;
            }
            actix_rt::time::sleep(REPORT_PAUSE).await;
        }
    }

    async fn report_crash(&self, evidence: &CrashEvidence) -> ReportStep {
        let now = self.clock.now();
        let report = CrashReport::from((evidence, now));
        let coordinator = self.coordination.borrow().coordinator().clone();
        if coordinator == self.local.host || !self.decodes_since(&coordinator, SERVER_REPORTS_SINCE)
        {
            self.weigh_crash(evidence).await;
            return ReportStep::Done;
        }
        let request = if self.decodes_since(&coordinator, LATE_CRASHES_SINCE) {
            PeerRequest::WeighCrash(report)
        } else if self.decodes_since(&coordinator, CRASH_VERDICTS_SINCE) {
            PeerRequest::WeighEarlyCrash(report.into())
        } else {
            self.send_to(&coordinator, PeerMessage::EarlyCrashReport(report.into()));
            return ReportStep::Done;
        };
        match self
            .mesh
            .call(&coordinator, request, REPORT_TIMEOUT, now)
            .await
        {
            Some(_) => ReportStep::Done,
            None => ReportStep::Repeat,
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
        // One that is in progress may have begun before this crash was known.
        let needed = self.crashes.examinations.get() + 1;
        let verdict = async {
            while !self.crashes.inquiry.borrow().suspects().is_empty()
                && *examined.borrow_and_update() < needed
            {
                if examined.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(VERDICT_TIMEOUT, verdict)
            .await
            .is_err()
        {
            log::info!(event = "examination_late"; "the suspects of a crash have not been examined in time");
        }
    }

    fn suspect_evidence(&self, suspects: &[SuspectId]) -> Vec<SuspectEvidence> {
        let history = self.crashes.history.borrow();
        let suspects = suspects.iter().map(|found| SuspectEvidence {
            suspect: *found,
            history: history.find(*found),
        });
        suspects.collect()
    }

    /// Answers another host which recent runs with these suspects were sound here.
    pub(super) fn sound_runs(&self, suspects: &[SuspectId]) -> Vec<SuspectReport> {
        let now = self.clock.now();
        let evidence = self.suspect_evidence(suspects).into_iter();
        evidence.map(|found| (found, now).into()).collect()
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
            let examination = self.crashes.examinations.get() + 1;
            self.crashes.examinations.set(examination);
            let suspects = self.crashes.inquiry.borrow().suspects();
            let (histories, down) = tokio::join!(
                self.collect_histories(&suspects),
                self.find_servers_that_are_down(&suspects),
            );
            let mut inquiry = self.crashes.inquiry.borrow_mut();
            for (suspect, history) in histories {
                inquiry.record_history(suspect, &history);
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
            self.crashes.examined.send_replace(examination);
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
                let connected = self.connect_server(server, SERVER_CHECK_TIMEOUT).await;
                let is_down = connected.err() == Some(ConnectFailure::ServerDown);
                is_down.then(|| server.id.clone())
            })
            .collect();
        checks.filter_map(std::future::ready).collect().await
    }

    /// Recent sound runs with these suspects, and with any, over all hosts that report to this one.
    async fn collect_histories(
        &self,
        suspects: &[SuspectId],
    ) -> BTreeMap<SuspectId, SuspectHistory> {
        let now = self.clock.now();
        let hosts: Vec<HostId> = self.reporting_hosts();
        let hosts = hosts
            .iter()
            .filter(|host| self.decodes_since(host, SERVER_REPORTS_SINCE));
        let all: Vec<SuspectId> = suspects.iter().copied().chain([ALL_RUNS]).collect();
        let mut replies: FuturesUnordered<_> = hosts
            .map(|host| {
                let request = match self.decodes_since(host, LATE_CRASHES_SINCE) {
                    true => PeerRequest::SoundRuns(all.clone()),
                    false => PeerRequest::RunHistories(suspects.to_vec()),
                };
                self.mesh.call(host, request, HISTORY_TIMEOUT, now)
            })
            .collect();
        let mut evidence = self.suspect_evidence(&all);
        while let Some(reply) = replies.next().await {
            let reports: Vec<SuspectReport> = match reply {
                Some(PeerReply::SoundRuns(reports)) => reports,
                Some(PeerReply::RunHistories(reports)) => {
                    reports.into_iter().map(Into::into).collect()
                }
                _ => continue,
            };
            let now = self.clock.now();
            let received = reports.into_iter();
            evidence.extend(received.map(|found| SuspectEvidence::from((found, now))));
        }
        let mut histories: BTreeMap<SuspectId, SuspectHistory> = BTreeMap::new();
        for found in evidence {
            let history = histories.entry(found.suspect).or_default();
            *history = std::mem::take(history).and(&found.history);
        }
        histories
    }
}
