//! Hosts that stand still or are cut off while servers of other versions come and go, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_fleet::Directory;
use bamboo_fleet::DirectoryReads;
use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_fleet::SoleVersion;
use bamboo_fleet::VERSION_MEMORY;
use bamboo_fleet::VersionMemory;
use bamboo_fleet::sole_version;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of drawn histories.
const HISTORIES: u64 = 400;
/// Length of a history in milliseconds.
const HISTORY_MS: u64 = 60_000;
/// Step of the virtual time in milliseconds.
const STEP_MS: u64 = 10;
/// Interval between the begins of two reads, in milliseconds.
const READ_INTERVAL_MS: u64 = 600;
/// Number of hosts.
const HOSTS: usize = 3;
/// Time that a caller's question waits for an answer, in milliseconds.
const ANSWER_MS: u64 = 500;

/// A change of a server's entry.
#[derive(Debug, Clone)]
enum Change {
    Put(Server),
    Remove(String),
}

/// What is wrong with a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The process stands still.
    Stopped,
    /// The machine stands still, and its steady clock with it.
    Suspended,
    /// Neither the store nor other hosts reach it.
    CutOff,
}

/// A read of the entries, whose response arrives later.
#[derive(Debug, Clone)]
struct Read {
    began_at_ms: u64,
    arrives_at_ms: u64,
    end: usize,
}

/// A caller's question at which version its stream goes on.
#[derive(Debug, Clone)]
struct Question {
    asked_at_ms: u64,
    /// End of the entries that the store named after the question.
    end: Option<usize>,
    memory: VersionMemory,
    versions: BTreeSet<String>,
}

struct Host {
    fault: Fault,
    fault_until_ms: u64,
    suspended_ms: u64,
    directory: Directory,
    reads: Option<DirectoryReads>,
    next: usize,
    read: Option<Read>,
    question: Option<Question>,
}

impl Host {
    fn new() -> Self {
        Host {
            fault: Fault::None,
            fault_until_ms: 0,
            suspended_ms: 0,
            directory: Directory::default(),
            reads: None,
            next: 0,
            read: None,
            question: None,
        }
    }

    fn runs(&self) -> bool {
        matches!(self.fault, Fault::None | Fault::CutOff)
    }

    /// The steady clock, which the directory is kept by.
    fn steady(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms - self.suspended_ms)
    }

    /// Applies a read whose response has arrived.
    fn apply_read(&mut self, log: &[(u64, Change)], now_ms: u64) {
        let Some(read) = self
            .read
            .clone()
            .filter(|read| read.arrives_at_ms <= now_ms)
        else {
            return;
        };
        self.read = None;
        let steady = self.steady(now_ms);
        let (began_at, now) = (
            Duration::from_millis(read.began_at_ms),
            Duration::from_millis(now_ms),
        );
        let end = read.end as u64;
        match &mut self.reads {
            Some(reads) => {
                for (_, change) in &log[self.next..read.end] {
                    apply(&mut self.directory, change, steady);
                }
                reads.changes_read(began_at, end);
            }
            None => {
                // Only the newest entries: servers that left before are not seen.
                let mut newest = Directory::default();
                for (_, change) in &log[..read.end] {
                    apply(&mut newest, change, Duration::ZERO);
                }
                let servers: Vec<Server> =
                    newest.iter().map(|server| Server::clone(server)).collect();
                for server in servers {
                    self.directory.put(server, steady);
                }
                self.reads = Some(DirectoryReads::newest(began_at, end, now));
            }
        }
        self.next = read.end;
    }

    fn versions(&self, now_ms: u64) -> BTreeSet<String> {
        self.directory.versions("llm", self.steady(now_ms))
    }
}

fn apply(directory: &mut Directory, change: &Change, now: Duration) {
    match change {
        Change::Put(server) => directory.put(server.clone(), now),
        Change::Remove(id) => directory.remove(id, now),
    };
}

fn server(number: u64, version: &str) -> Server {
    Server {
        id: format!("s{number}"),
        service: "llm".to_owned(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        started_at_ms: number,
        version: version.to_owned(),
    }
}

/// Versions that servers had at any time since an instant.
fn versions_since(log: &[(u64, Change)], since_ms: u64) -> BTreeSet<String> {
    let mut present: Vec<Server> = Vec::new();
    let mut versions = BTreeSet::new();
    for (at_ms, change) in log {
        if *at_ms >= since_ms {
            versions.extend(present.iter().map(|server| server.version.clone()));
        }
        match change {
            Change::Put(server) => present.push(server.clone()),
            Change::Remove(id) => present.retain(|server| server.id != *id),
        }
    }
    versions.extend(present.into_iter().map(|server| server.version));
    versions
}

/// What the hosts of a history answered.
#[derive(Debug, Default)]
struct Answers {
    certain: usize,
    wrong: Vec<String>,
    /// Questions while all hosts ran, knew a single version and had followed for long, that got no certain answer.
    refused_in_calm: usize,
}

/// Plays a history with faults of the hosts, and checks each certain answer against what the store has seen.
fn play(seed: u64, has_faults: bool) -> Answers {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = vec![(0, Change::Put(server(0, "v1")))];
    let mut present = vec![0];
    let mut next_server = 1;
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new()).collect();
    let mut answers = Answers::default();
    for now_ms in (0..HISTORY_MS).step_by(STEP_MS as usize) {
        // A release: a server of another version comes, or one leaves.
        if rng.random_bool(0.0008) {
            let version = format!("v{}", rng.random_range(1..4));
            log.push((now_ms, Change::Put(server(next_server, &version))));
            present.push(next_server);
            next_server += 1;
        }
        if present.len() > 1 && rng.random_bool(0.002) {
            let left = present.remove(rng.random_range(0..present.len()));
            log.push((now_ms, Change::Remove(format!("s{left}"))));
        }
        for host in &mut hosts {
            if now_ms >= host.fault_until_ms {
                host.fault = Fault::None;
            }
            if has_faults && host.fault == Fault::None && rng.random_bool(0.001) {
                let faults = [Fault::Stopped, Fault::Suspended, Fault::CutOff];
                host.fault = faults[rng.random_range(0..3)];
                host.fault_until_ms = now_ms + rng.random_range(200..15_000);
                if rng.random_bool(0.1) {
                    // The process is started anew instead.
                    *host = Host {
                        suspended_ms: host.suspended_ms,
                        ..Host::new()
                    };
                }
            }
            if host.fault == Fault::Suspended {
                host.suspended_ms += STEP_MS;
            }
            if host.question.is_none() && rng.random_bool(0.01) {
                // It arrives while the process stands still, and is read afterwards.
                host.question = Some(Question {
                    asked_at_ms: now_ms,
                    end: None,
                    memory: VersionMemory::None,
                    versions: BTreeSet::new(),
                });
            }
        }
        for index in 0..HOSTS {
            step_host(&mut hosts, index, &log, now_ms, &mut rng, &mut answers);
        }
    }
    answers
}

/// Lets a host read entries, and answer a caller's question.
fn step_host(
    hosts: &mut [Host],
    index: usize,
    log: &[(u64, Change)],
    now_ms: u64,
    rng: &mut ChaCha8Rng,
    answers: &mut Answers,
) {
    if !hosts[index].runs() {
        return;
    }
    // The question is often handled before a response that has arrived as well.
    let is_question_first = rng.random_bool(0.5);
    if !is_question_first {
        hosts[index].apply_read(log, now_ms);
    }
    if hosts[index].question.is_some() {
        answer_question(hosts, index, log, now_ms, answers);
    }
    let host = &mut hosts[index];
    host.apply_read(log, now_ms);
    let is_due = host.read.is_none() && now_ms.is_multiple_of(READ_INTERVAL_MS);
    if is_due && host.fault == Fault::None {
        let arrives_at_ms = now_ms + rng.random_range(10..1_200);
        let end = log.len();
        host.read = Some(Read {
            began_at_ms: now_ms,
            arrives_at_ms,
            end,
        });
    }
    host.directory.expire(host.steady(now_ms));
}

fn answer_question(
    hosts: &mut [Host],
    index: usize,
    log: &[(u64, Change)],
    now_ms: u64,
    answers: &mut Answers,
) {
    let now = Duration::from_millis(now_ms);
    let is_cut_off = |host: &Host| host.fault != Fault::None;
    let Some(mut question) = hosts[index].question.clone() else {
        return;
    };
    if question.end.is_none() && !is_cut_off(&hosts[index]) {
        for (peer, host) in hosts.iter().enumerate() {
            if peer == index || is_cut_off(host) {
                continue;
            }
            question.versions.extend(host.versions(now_ms));
            if host
                .reads
                .is_some_and(|reads| reads.remembers_versions(now))
            {
                question.memory = VersionMemory::AnotherHost;
            }
        }
        question.end = Some(log.len());
    }
    let host = &mut hosts[index];
    let mut versions = question.versions.clone();
    versions.extend(host.versions(now_ms));
    let answer = match (&host.reads, question.end) {
        (Some(reads), Some(end)) => {
            sole_version(&versions, reads, end as u64, question.memory, now)
        }
        _ => SoleVersion::Unknown,
    };
    let is_over = now_ms >= question.asked_at_ms + ANSWER_MS;
    // A caller has its answer, or has given its stream up, within this time after a server has left.
    let began_since_ms = now_ms.saturating_sub(VERSION_MEMORY.as_millis() as u64);
    // The stream began before its caller returned.
    let until = log.partition_point(|(at_ms, _)| *at_ms <= question.asked_at_ms);
    let log = &log[..until];
    match answer {
        SoleVersion::Certain(version) => {
            answers.certain += 1;
            let truth = versions_since(log, began_since_ms);
            if truth.iter().any(|other| *other != version) {
                answers
                    .wrong
                    .push(format!("at {now_ms}: {version} of {truth:?}, {question:?}"));
            }
            host.question = None;
        }
        SoleVersion::NeedsRecords(_) | SoleVersion::Unknown if is_over => {
            let is_sole = versions_since(log, began_since_ms).len() == 1;
            answers.refused_in_calm += usize::from(is_sole && question.asked_at_ms > 13_000);
            host.question = None;
        }
        _ => host.question = Some(question),
    }
}

/// Guards against a host that takes the only version it knows for the only one there is, after it stood still, was cut off or
/// has just started.
#[test]
fn a_certain_answer_holds_for_all_versions_that_a_caller_may_return_to() {
    let mut certain = 0;
    for seed in 0..HISTORIES {
        let answers = play(seed, true);
        assert!(
            answers.wrong.is_empty(),
            "seed {seed}: {:#?}",
            answers.wrong
        );
        certain += answers.certain;
    }
    // Most questions of hosts without a fault find a single version.
    assert!(certain > HISTORIES as usize, "{certain}");
}

/// Guards against a host that is never certain.
#[test]
fn hosts_without_a_fault_answer_while_there_is_one_version() {
    let answers: Vec<Answers> = (0..HISTORIES / 4).map(|seed| play(seed, false)).collect();
    let certain: usize = answers.iter().map(|answers| answers.certain).sum();
    let refused: usize = answers.iter().map(|answers| answers.refused_in_calm).sum();
    assert!(answers.iter().all(|answers| answers.wrong.is_empty()));
    assert!(
        refused * 4 < certain,
        "{refused} refused, {certain} certain"
    );
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against versions that left after the last read of the host that remembers, and before the first of the one that asks.
#[test]
fn the_memory_of_another_host_counts_once_this_one_has_seen_what_that_one_may_lack() {
    let versions = BTreeSet::from(["v1".to_owned()]);
    let reads = DirectoryReads::newest(at(100), 7, at(100));
    let answer = |now| sole_version(&versions, &reads, 7, VersionMemory::AnotherHost, now);
    assert!(matches!(answer(at(102)), SoleVersion::NeedsRecords(_)));
    assert!(matches!(answer(at(103)), SoleVersion::Certain(_)));
}

/// Guards against a host that names all versions to others although it has not read the servers since it stood still.
#[test]
fn a_host_remembers_for_others_only_while_its_reads_go_on() {
    let mut reads = DirectoryReads::newest(at(100), 7, at(100));
    reads.changes_read(at(115), 9);
    assert!(reads.remembers_versions(at(117)));
    assert!(!reads.remembers_versions(at(118)));
    assert!(!DirectoryReads::newest(at(100), 7, at(100)).remembers_versions(at(102)));
}

/// Guards against the servers of another host, whose reads may be older than its answer, as a base for certainty.
#[test]
fn what_another_host_knows_of_the_servers_gives_no_certainty() {
    let versions = BTreeSet::from(["v1".to_owned()]);
    let reads = DirectoryReads::of_another_host(at(100));
    let answer = sole_version(&versions, &reads, 0, VersionMemory::Records, at(200));
    assert_eq!(answer, SoleVersion::Unknown);
}
