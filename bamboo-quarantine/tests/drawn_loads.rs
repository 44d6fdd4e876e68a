//! Fleets of servers under drawn loads in virtual time, with prompts that crash servers and servers that crash by
//! themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_quarantine::CrashEvidence;
use bamboo_quarantine::CrashInquiry;
use bamboo_quarantine::Quarantine;
use bamboo_quarantine::RunHistory;
use bamboo_quarantine::SuspectEvidence;
use bamboo_quarantine::SuspectHistory;
use bamboo_quarantine::SuspectId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time from sending a request to its fourth event.
const BEGIN_MS: u64 = 110;
/// Time from sending a request until its prompt crashes the server.
const CRASH_MS: u64 = 80;
/// Duration of a run.
const RUN_MS: u64 = 700;
/// Time after which a server is back.
const RESTART_MS: u64 = 4_000;
/// Time from a crash until it has been reported.
const REPORT_MS: u64 = 6;
/// Interval between mass crashes, and time over which the servers of one crash.
const MASS_CRASH_INTERVAL_MS: u64 = 5_000;
const MASS_CRASH_SPREAD_MS: u64 = 40;
/// Interval between crashes of single servers.
const SINGLE_CRASH_INTERVAL_MS: u64 = 150;
/// Time by which a part must be known after the fifth crash.
const STABLE_MS: u64 = 3_000;
/// Runs with a crashing part that may begin later than that.
const LATE_RUNS_MAX: usize = 3;
/// Servers that one request is sent to at most.
const ATTEMPTS_MAX: u32 = 2;
/// First parts of sound prompts, and second ones.
const FIRST_PARTS: u64 = 20;
const SECOND_PARTS: u64 = 620;
/// Added to the numbers of second parts, and that of the crashing ones.
const SECOND_BASE: u64 = 1_000;
const CRASHING_BASE: u64 = 10_000;

/// Where prompts have the part that crashes servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before a part that differs.
    First,
    /// After a first part that sound prompts have, too.
    Second,
    /// The prompt has no other part.
    Only,
    /// After a first part that no other prompt has.
    AfterRare,
}

/// Crashes that no prompt causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OtherCrashes {
    None,
    /// Half of the servers at nearly the same moment, every few seconds.
    Mass,
    /// Single servers, one after the other.
    Single,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    seed: u64,
    hosts: usize,
    servers: usize,
    requests_per_s: f64,
    /// Share of requests with a crashing part.
    crashing_share: f64,
    crashing_parts: u64,
    place: Place,
    other_crashes: OtherCrashes,
}

#[derive(Debug, Clone)]
struct Run {
    request: u64,
    host: usize,
    parts: Vec<SuspectId>,
    attempt: u32,
    sent_ms: u64,
}

#[derive(Debug, Default)]
struct Server {
    incarnation: u32,
    down_until_ms: u64,
    runs: Vec<Run>,
}

/// What happened to the crashing parts.
#[derive(Debug, Default)]
struct Outcome {
    quarantined: BTreeSet<SuspectId>,
    late_runs: BTreeMap<SuspectId, usize>,
    crashes: BTreeMap<SuspectId, Vec<u64>>,
}

struct Fleet {
    load: Load,
    rng: ChaCha8Rng,
    servers: Vec<Server>,
    histories: Vec<RunHistory>,
    inquiry: CrashInquiry,
    quarantine: Quarantine,
    reports: Vec<(u64, CrashEvidence)>,
    retries: Vec<Run>,
    outcome: Outcome,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_crashing(part: &SuspectId) -> bool {
    *part >= CRASHING_BASE && *part < 2 * CRASHING_BASE
}

impl Fleet {
    fn new(load: Load) -> Self {
        Fleet {
            load,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            servers: (0..load.servers).map(|_| Server::default()).collect(),
            histories: (0..load.hosts).map(|_| RunHistory::default()).collect(),
            inquiry: CrashInquiry::default(),
            quarantine: Quarantine::default(),
            reports: Vec::new(),
            retries: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn draw_parts(&mut self, now_ms: u64) -> Vec<SuspectId> {
        let first = self.rng.random_range(0..FIRST_PARTS);
        let second = SECOND_BASE + self.rng.random_range(0..SECOND_PARTS);
        let has_started = now_ms > 5_000;
        if !has_started || !self.rng.random_bool(self.load.crashing_share) {
            return vec![first, second];
        }
        let crashing = CRASHING_BASE + self.rng.random_range(0..self.load.crashing_parts);
        match self.load.place {
            Place::First => vec![crashing, second],
            // All of them have the same first part.
            Place::Second => vec![0, crashing],
            Place::Only => vec![crashing],
            Place::AfterRare => vec![FIRST_PARTS + 1, crashing],
        }
    }

    fn send(&mut self, mut run: Run, now_ms: u64) {
        if self.quarantine.remaining(&run.parts, at(now_ms)).is_some() {
            return;
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|index| self.servers[*index].down_until_ms <= now_ms)
            .collect();
        let Some(server) = up
            .into_iter()
            .min_by_key(|index| self.servers[*index].runs.len())
        else {
            return;
        };
        for part in run.parts.iter().filter(|part| is_crashing(part)) {
            let crashes = self
                .outcome
                .crashes
                .get(part)
                .map_or(&[][..], Vec::as_slice);
            if crashes
                .get(4)
                .is_some_and(|fifth| now_ms > fifth + STABLE_MS)
            {
                *self.outcome.late_runs.entry(*part).or_default() += 1;
            }
        }
        run.sent_ms = now_ms;
        self.servers[server].runs.push(run);
    }

    fn crash(&mut self, index: usize, now_ms: u64) {
        let server = &mut self.servers[index];
        let id = format!("s{index}-{}", server.incarnation);
        server.incarnation += 1;
        server.down_until_ms = now_ms + RESTART_MS;
        for run in std::mem::take(&mut server.runs) {
            if now_ms < run.sent_ms + BEGIN_MS {
                let parts = run.parts.iter().map(|part| SuspectEvidence {
                    suspect: *part,
                    history: self.histories[run.host].find(*part),
                });
                let evidence = CrashEvidence {
                    server: id.clone(),
                    content: run.request,
                    sent_at: at(run.sent_ms),
                    broke_at: at(now_ms),
                    suspects: parts.collect(),
                };
                self.reports.push((now_ms + REPORT_MS, evidence));
            }
            if run.attempt < ATTEMPTS_MAX {
                let attempt = run.attempt + 1;
                self.retries.push(Run { attempt, ..run });
            }
        }
    }

    /// Asks all hosts for their history of the suspects, and puts those that they do not clear into quarantine.
    fn examine_suspects(&mut self, now_ms: u64) {
        for part in self.inquiry.suspects() {
            let histories = self.histories.iter().map(|history| history.find(part));
            let total = histories.fold(SuspectHistory::default(), SuspectHistory::and);
            self.inquiry.record_history(part, total);
        }
        while let Some(finding) = self.inquiry.conclude() {
            self.outcome.quarantined.insert(finding.suspect);
            self.quarantine
                .add(finding.suspect, finding.is_certain, at(now_ms));
        }
    }

    /// Servers that crash now without a prompt being the cause.
    fn draw_other_crashes(&mut self, now_ms: u64) -> Vec<usize> {
        let count = self.servers.len();
        match self.load.other_crashes {
            OtherCrashes::Mass if now_ms % MASS_CRASH_INTERVAL_MS < MASS_CRASH_SPREAD_MS => {
                let chance = 1.0 / MASS_CRASH_SPREAD_MS as f64;
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
        let due = |(report_ms, _): &(u64, CrashEvidence)| *report_ms <= now_ms;
        let reports: Vec<_> = self.reports.extract_if(.., |report| due(report)).collect();
        for (_, evidence) in reports {
            let parts: Vec<_> = evidence
                .suspects
                .iter()
                .map(|found| found.suspect)
                .collect();
            if self.quarantine.remaining(&parts, at(now_ms)).is_some() {
                continue;
            }
            self.inquiry.record_crash(&evidence, |_| false, at(now_ms));
        }
        self.examine_suspects(now_ms);
        for index in 0..self.servers.len() {
            let runs = self.servers[index].runs.clone();
            for run in runs.iter().filter(|run| run.sent_ms + BEGIN_MS == now_ms) {
                self.histories[run.host].record_begun(&run.parts, at(now_ms));
            }
            self.servers[index]
                .runs
                .retain(|run| run.sent_ms + RUN_MS > now_ms);
            let cause = runs.iter().filter(|run| run.sent_ms + CRASH_MS == now_ms);
            let cause: Vec<_> = cause
                .flat_map(|run| run.parts.clone())
                .filter(is_crashing)
                .collect();
            if let Some(part) = cause.first() {
                self.outcome.crashes.entry(*part).or_default().push(now_ms);
                self.crash(index, now_ms);
            }
        }
        let sent: Vec<Run> = std::mem::take(&mut self.retries);
        for run in sent {
            self.send(run, now_ms);
        }
        for index in self.draw_other_crashes(now_ms) {
            if self.servers[index].down_until_ms <= now_ms {
                self.crash(index, now_ms);
            }
        }
        if self.rng.random_bool(self.load.requests_per_s / 1_000.0) {
            let parts = self.draw_parts(now_ms);
            let host = self.rng.random_range(0..self.load.hosts);
            self.send(
                Run {
                    request: now_ms,
                    host,
                    parts,
                    attempt: 1,
                    sent_ms: now_ms,
                },
                now_ms,
            );
        }
    }
}

fn play(load: Load) -> Outcome {
    let mut fleet = Fleet::new(load);
    for now_ms in 1..40_000 {
        fleet.step(now_ms);
    }
    fleet.outcome
}

/// Guards against crashing parts that are found too late, and sound ones that are taken for the cause, because they stand in
/// the same prompts, ran beside them, or ran on servers that crashed for another reason.
#[test_case(Place::Second, 1, OtherCrashes::None; "after a common first part")]
#[test_case(Place::Second, 2, OtherCrashes::None; "two parts after a common first part")]
#[test_case(Place::Second, 2, OtherCrashes::Mass; "two parts beside mass crashes")]
#[test_case(Place::Second, 1, OtherCrashes::Single; "one part beside crashes of single servers")]
#[test_case(Place::First, 1, OtherCrashes::None; "in front of a part that differs")]
#[test_case(Place::First, 2, OtherCrashes::Mass; "two in front, beside mass crashes")]
#[test_case(Place::Only, 1, OtherCrashes::None; "the only part")]
#[test_case(Place::AfterRare, 1, OtherCrashes::None; "after a part that no other prompt has")]
fn crashing_parts_are_found_in_time_and_sound_ones_are_not(
    place: Place,
    crashing_parts: u64,
    other_crashes: OtherCrashes,
) {
    for (index, crashing_share) in [0.005, 0.02, 0.06, 0.3].into_iter().enumerate() {
        for seed in 0..6 {
            let load = Load {
                seed: seed * 10 + index as u64,
                hosts: 11,
                servers: 18,
                requests_per_s: 80.0,
                crashing_share,
                crashing_parts,
                place,
                other_crashes,
            };
            let outcome = play(load);
            let wrong: Vec<_> = outcome
                .quarantined
                .iter()
                .filter(|part| !is_crashing(part))
                .collect();
            assert!(wrong.is_empty(), "{load:?}: {outcome:?}");
            let is_late = outcome.late_runs.values().any(|runs| *runs > LATE_RUNS_MAX);
            assert!(!is_late, "{load:?}: {outcome:?}");
        }
    }
}

/// Guards against a quarantine of sound parts while servers crash without any prompt being the cause.
#[test_case(11, 18, 80.0, OtherCrashes::Mass; "mass crashes")]
#[test_case(11, 18, 80.0, OtherCrashes::Single; "single crashes")]
#[test_case(60, 90, 470.0, OtherCrashes::Mass; "mass crashes of many servers")]
#[test_case(60, 90, 470.0, OtherCrashes::Single; "single crashes of many servers")]
fn no_part_is_suspected_when_servers_crash_by_themselves(
    hosts: usize,
    servers: usize,
    requests_per_s: f64,
    other_crashes: OtherCrashes,
) {
    for seed in 0..5 {
        let load = Load {
            seed,
            hosts,
            servers,
            requests_per_s,
            crashing_share: 0.0,
            crashing_parts: 1,
            place: Place::Second,
            other_crashes,
        };
        let outcome = play(load);
        assert!(outcome.quarantined.is_empty(), "{load:?}: {outcome:?}");
    }
}
