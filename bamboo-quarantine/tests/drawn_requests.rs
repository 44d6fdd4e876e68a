//! A plain service under drawn loads in virtual time, with requests that crash each server which runs them and come again,
//! and servers that crash by themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use bamboo_quarantine::CrashEvidence;
use bamboo_quarantine::CrashInquiry;
use bamboo_quarantine::Quarantine;
use bamboo_quarantine::RequestContent;
use bamboo_quarantine::RunHistory;
use bamboo_quarantine::RunLength;
use bamboo_quarantine::SuspectEvidence;
use bamboo_quarantine::SuspectHistory;
use bamboo_quarantine::SuspectId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time after which a server is back.
const RESTART_MS: u64 = 4_000;
/// Time from a crash until it has been weighed, for which a retry waits.
const VERDICT_MS: u64 = 8;
/// Time after which a caller sends a request once more that failed.
const CALLER_RETRY_MS: u64 = 15;
/// Time for which a crashing request runs, until its server ends.
const CRASH_MS: Range<u64> = 30..120;
/// Interval between crashes of servers by themselves, and the time over which those of a mass crash spread.
const MASS_CRASH_INTERVAL_MS: u64 = 5_000;
const SINGLE_CRASH_INTERVAL_MS: u64 = 700;
/// Time after the third crash by which hosts in touch must know a request.
const STABLE_MS: u64 = 3_000;
/// Runs of a crashing request that may begin later than that.
const LATE_RUNS_MAX: usize = 3;
/// Servers that one request is sent to at most, and requests that a caller sends.
const ATTEMPTS_MAX: u32 = 2;
const CALLER_ATTEMPTS_MAX: u32 = 2;
/// Contents from this number on crash servers.
const CRASHING_BASE: u64 = 1 << 32;

/// Crashes that no request causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OtherCrashes {
    None,
    /// Half of the servers, within this many milliseconds.
    Mass(u64),
    /// Single servers, one after the other.
    Single,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    seed: u64,
    servers: usize,
    requests_per_s: f64,
    /// Share of crashing requests, and how many different ones there are.
    crashing_share: f64,
    crashing_contents: u64,
    /// Whether each comes from another address.
    callers_differ: bool,
    other_crashes: OtherCrashes,
}

const HOSTS: usize = 11;

#[derive(Debug, Clone)]
struct Run {
    content: u64,
    suspects: [SuspectId; 2],
    host: usize,
    attempt: u32,
    caller_attempt: u32,
    excluded: Vec<usize>,
    sent_ms: u64,
    /// When it has its whole answer, or ends its server.
    ends_ms: u64,
}

#[derive(Debug, Default)]
struct Server {
    incarnation: u32,
    down_until_ms: u64,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Found for certain.
    found: BTreeSet<SuspectId>,
    /// Requests without a crashing content that were refused.
    refused: usize,
    guilty: BTreeSet<SuspectId>,
    crashes: BTreeMap<u64, Vec<u64>>,
    late_runs: BTreeMap<u64, usize>,
}

struct Fleet {
    load: Load,
    rng: ChaCha8Rng,
    servers: Vec<Server>,
    histories: Vec<RunHistory>,
    inquiry: CrashInquiry,
    quarantine: Quarantine,
    reports: Vec<(u64, CrashEvidence)>,
    /// Runs that are sent at a time.
    due: Vec<(u64, Run)>,
    outcome: Outcome,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn suspects(content: u64, caller: &str) -> [SuspectId; 2] {
    let content = RequestContent {
        method: "POST",
        host: "h",
        path: &format!("/{content}"),
        query: "",
        caller,
        prompt: &[],
        body: b"body",
    };
    content.suspects()
}

impl Fleet {
    fn new(load: Load) -> Self {
        Fleet {
            load,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            servers: (0..load.servers).map(|_| Server::default()).collect(),
            histories: (0..HOSTS).map(|_| RunHistory::default()).collect(),
            inquiry: CrashInquiry::default(),
            quarantine: Quarantine::default(),
            reports: Vec::new(),
            due: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn draw_run(&mut self, now_ms: u64) -> Run {
        let is_crashing = now_ms > 3_000 && self.rng.random_bool(self.load.crashing_share);
        let content = match is_crashing {
            true => CRASHING_BASE + self.rng.random_range(0..self.load.crashing_contents),
            false => now_ms,
        };
        let caller = match self.load.callers_differ {
            true => now_ms.to_string(),
            false => "caller".to_owned(),
        };
        let suspects = suspects(content, &caller);
        if is_crashing {
            self.outcome.guilty.extend(suspects);
        }
        Run {
            content,
            suspects,
            host: self.rng.random_range(0..HOSTS),
            attempt: 1,
            caller_attempt: 1,
            excluded: Vec::new(),
            sent_ms: 0,
            ends_ms: 0,
        }
    }

    fn send(&mut self, mut run: Run, now_ms: u64) {
        let quarantine = &self.quarantine;
        if quarantine.remaining(&run.suspects, at(now_ms)).is_some() {
            let is_sound = run.content < CRASHING_BASE;
            self.outcome.refused += usize::from(is_sound && run.attempt == 1);
            return;
        }
        let up = (0..self.servers.len()).filter(|index| {
            self.servers[*index].down_until_ms <= now_ms && !run.excluded.contains(index)
        });
        let Some(server) = up.min_by_key(|index| self.servers[*index].runs.len()) else {
            return;
        };
        let is_crashing = run.content >= CRASHING_BASE;
        let crashes = self.outcome.crashes.get(&run.content);
        let third = crashes.and_then(|crashes| crashes.get(2));
        if third.is_some_and(|third| now_ms > third + STABLE_MS) {
            *self.outcome.late_runs.entry(run.content).or_default() += 1;
        }
        let takes_ms = match is_crashing {
            true => self.rng.random_range(CRASH_MS),
            false if self.rng.random_bool(0.1) => 400,
            false => 30,
        };
        run.sent_ms = now_ms;
        run.ends_ms = now_ms + takes_ms;
        self.servers[server].runs.push(run);
    }

    fn crash(&mut self, index: usize, now_ms: u64) {
        let server = &mut self.servers[index];
        let id = format!("s{index}-{}", server.incarnation);
        server.incarnation += 1;
        server.down_until_ms = now_ms + RESTART_MS;
        for mut run in std::mem::take(&mut server.runs) {
            let history = &self.histories[run.host];
            let evidence = CrashEvidence {
                server: id.clone(),
                content: run.suspects[1],
                events: 0,
                sent_at: at(run.sent_ms),
                broke_at: at(now_ms),
                suspects: run
                    .suspects
                    .iter()
                    .map(|suspect| SuspectEvidence {
                        suspect: *suspect,
                        history: history.find(*suspect),
                    })
                    .collect(),
            };
            self.reports.push((now_ms + VERDICT_MS, evidence));
            run.excluded.push(index);
            if run.attempt < ATTEMPTS_MAX {
                run.attempt += 1;
                self.due.push((now_ms + VERDICT_MS, run));
            } else if run.caller_attempt < CALLER_ATTEMPTS_MAX {
                run.attempt = 1;
                run.caller_attempt += 1;
                run.host = self.rng.random_range(0..HOSTS);
                run.excluded.clear();
                self.due.push((now_ms + VERDICT_MS + CALLER_RETRY_MS, run));
            }
        }
    }

    fn weigh_reports(&mut self, now_ms: u64) {
        let is_due = |(due_ms, _): &mut (u64, CrashEvidence)| *due_ms <= now_ms;
        let reports: Vec<_> = self.reports.extract_if(.., is_due).collect();
        for (_, evidence) in reports {
            let found = evidence.suspects.iter().map(|found| found.suspect);
            let suspects: Vec<SuspectId> = found.collect();
            let remaining = self.quarantine.remaining(&suspects, at(now_ms));
            match remaining {
                Some(_) => self.inquiry.record_explained(&evidence),
                None => self.inquiry.record_crash(&evidence, |_| false, at(now_ms)),
            }
        }
        let suspects = self.inquiry.suspects();
        if !suspects.is_empty() {
            self.record_servers_that_are_down(now_ms);
        }
        for suspect in suspects {
            let histories = self.histories.iter().map(|history| history.find(suspect));
            let total = histories.fold(SuspectHistory::default(), |sum, host| sum.and(&host));
            self.inquiry.record_history(suspect, &total);
        }
        while let Some(finding) = self.inquiry.conclude() {
            if finding.is_certain {
                self.outcome.found.insert(finding.suspect);
            }
            self.quarantine
                .add(finding.suspect, finding.is_certain, at(now_ms));
        }
    }

    /// The servers are tried before a verdict.
    fn record_servers_that_are_down(&mut self, now_ms: u64) {
        for (index, server) in self.servers.iter().enumerate() {
            if server.down_until_ms > now_ms {
                let id = format!("s{index}-{}", server.incarnation - 1);
                self.inquiry.record_down(&id, at(now_ms));
            }
        }
    }

    /// Servers that crash now without a request being the cause.
    fn draw_other_crashes(&mut self, now_ms: u64) -> Vec<usize> {
        let count = self.servers.len();
        match self.load.other_crashes {
            OtherCrashes::Mass(spread_ms) if now_ms % MASS_CRASH_INTERVAL_MS < spread_ms => {
                let chance = 3.0 / spread_ms as f64;
                let victims = (0..count).step_by(2);
                victims.filter(|_| self.rng.random_bool(chance)).collect()
            }
            OtherCrashes::Single if now_ms.is_multiple_of(SINGLE_CRASH_INTERVAL_MS) => {
                vec![self.rng.random_range(0..count)]
            }
            _ => Vec::new(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        for index in 0..self.servers.len() {
            let is_over = |run: &mut Run| run.ends_ms == now_ms && run.content < CRASHING_BASE;
            let answered: Vec<Run> = self.servers[index].runs.extract_if(.., is_over).collect();
            for run in answered {
                let history = &mut self.histories[run.host];
                history.record_whole(&run.suspects, RunLength::WHOLE_ANSWER, at(now_ms));
            }
            let mut runs = self.servers[index].runs.iter();
            if let Some(cause) = runs.find(|run| run.ends_ms == now_ms) {
                let content = cause.content;
                let crashes = self.outcome.crashes.entry(content).or_default();
                crashes.push(now_ms);
                self.crash(index, now_ms);
            }
        }
        for index in self.draw_other_crashes(now_ms) {
            if self.servers[index].down_until_ms <= now_ms {
                self.crash(index, now_ms);
            }
        }
        self.weigh_reports(now_ms);
        let is_due = |(due_ms, _): &mut (u64, Run)| *due_ms <= now_ms;
        let due: Vec<_> = self.due.extract_if(.., is_due).collect();
        for (_, run) in due {
            self.send(run, now_ms);
        }
        if self.rng.random_bool(self.load.requests_per_s / 1_000.0) {
            let run = self.draw_run(now_ms);
            self.send(run, now_ms);
        }
    }
}

fn play(load: Load) -> Outcome {
    let mut fleet = Fleet::new(load);
    for now_ms in 1..30_000 {
        fleet.step(now_ms);
    }
    fleet.outcome
}

fn check(load: Load) {
    let outcome = play(load);
    let wrong = outcome.found.difference(&outcome.guilty).count();
    assert_eq!(
        wrong, 0,
        "sound requests found guilty, {load:?}: {outcome:?}"
    );
    assert_eq!(outcome.refused, 0, "sound requests refused, {load:?}");
    let is_late = outcome.late_runs.values().any(|runs| *runs > LATE_RUNS_MAX);
    assert!(!is_late, "{load:?}: {outcome:?}");
}

/// Guards against a request that ends servers again and again, and against sound ones that are taken for the cause because
/// they ran beside it, or on servers that crashed for another reason.
#[test_case(1, false, OtherCrashes::None; "one request")]
#[test_case(3, false, OtherCrashes::None; "three requests")]
#[test_case(1, true, OtherCrashes::None; "one request from changing addresses")]
#[test_case(1, false, OtherCrashes::Mass(40); "beside mass crashes")]
#[test_case(2, false, OtherCrashes::Mass(600); "beside mass crashes in series")]
#[test_case(1, false, OtherCrashes::Single; "beside crashes of single servers")]
fn crashing_requests_are_found_in_time_and_sound_ones_are_not(
    crashing_contents: u64,
    callers_differ: bool,
    other_crashes: OtherCrashes,
) {
    for (index, crashing_share) in [0.01, 0.05, 0.2].into_iter().enumerate() {
        for seed in 0..10 {
            for (servers, requests_per_s) in [(4, 25.0), (18, 120.0)] {
                check(Load {
                    seed: seed * 10 + index as u64,
                    servers,
                    requests_per_s,
                    crashing_share,
                    crashing_contents,
                    callers_differ,
                    other_crashes,
                });
            }
        }
    }
}

/// Guards against a request of changing callers that ends several servers again after its quarantine.
#[test]
fn one_crash_puts_a_shared_content_on_probation_back() {
    let [shared, whole] = suspects(7, "caller");
    let mut inquiry = CrashInquiry::default();
    let found = |suspect| SuspectEvidence {
        suspect,
        history: SuspectHistory::default(),
    };
    let evidence = CrashEvidence {
        server: "s1".to_owned(),
        content: whole,
        events: 0,
        sent_at: at(0),
        broke_at: at(50),
        suspects: vec![found(shared), found(whole)],
    };
    inquiry.record_crash(&evidence, |suspect| suspect == shared, at(60));
    assert_eq!(inquiry.suspects(), [shared]);
}

/// Guards against a stream that is refused since the servers that it went on at crashed for another reason.
#[test_case(0, 3; "before the first event")]
#[test_case(12, 5; "after 12 events")]
fn a_content_is_found_after_more_crashes_if_its_runs_had_begun(events: u32, crashes_needed: u64) {
    let [_, whole] = suspects(7, "caller");
    let mut inquiry = CrashInquiry::default();
    for crash in 1..=crashes_needed {
        assert_eq!(inquiry.suspects(), [], "after {} crashes", crash - 1);
        let evidence = CrashEvidence {
            server: format!("s{crash}"),
            content: whole,
            events,
            sent_at: at(1_000 * crash),
            broke_at: at(1_000 * crash + 500),
            suspects: vec![SuspectEvidence {
                suspect: whole,
                history: SuspectHistory::default(),
            }],
        };
        inquiry.record_crash(&evidence, |_| false, evidence.broke_at);
    }
    assert_eq!(inquiry.suspects(), [whole]);
}

/// Guards against a quarantine of sound requests while servers crash without any request being the cause.
#[test_case(OtherCrashes::Mass(40); "mass crashes")]
#[test_case(OtherCrashes::Mass(600); "mass crashes in series")]
#[test_case(OtherCrashes::Single; "single crashes")]
fn no_request_is_suspected_when_servers_crash_by_themselves(other_crashes: OtherCrashes) {
    for seed in 0..20 {
        for (servers, requests_per_s) in [(4, 25.0), (18, 120.0)] {
            check(Load {
                seed,
                servers,
                requests_per_s,
                crashing_share: 0.0,
                crashing_contents: 1,
                callers_differ: false,
                other_crashes,
            });
        }
    }
}
