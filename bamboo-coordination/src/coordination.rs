//! Which host coordinates slots, and what that host keeps of the others.
//!
//! The coordinator is the first host, by size and hash, of those that have shown life lately. Nobody is elected: a host
//! that others take for the coordinator serves them, and two at once only cost some precision, since servers queue
//! what is too much.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bamboo_types::HostId;
use bamboo_types::rendezvous_weight;

use crate::Board;
use crate::HostInfo;

/// Interval of signs of life.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a coordinator is passed over: two beats and a loaded host.
const SILENCE_MAX: Duration = Duration::from_millis(700);
/// First time for which a silent host is passed over; doubles up to the longest.
const PASS_OVER_FIRST: Duration = Duration::from_secs(1);
/// Longest time for which a silent host is passed over.
const PASS_OVER_MAX: Duration = Duration::from_secs(4);
/// Time without trouble after which a host's earlier silences are forgotten.
const PASS_OVER_MEMORY: Duration = Duration::from_secs(20);
/// Time after a sign of life in which a host can become the coordinator, where the coordinator does not list it.
const HEARD_LATELY: Duration = Duration::from_secs(2);
/// First pause between questions to a host that shows no life; doubles up to the longest.
const PROBE_FIRST: Duration = Duration::from_millis(250);
/// Longest pause between questions.
const PROBE_MAX: Duration = Duration::from_secs(2);
/// Hosts that are asked for a sign of life at once.
const PROBES_AT_ONCE: usize = 3;
/// Missed answers in a row after which a coordinator is passed over, each to an ask that was sent after the miss before.
const SLOW_ANSWERS_MAX: u32 = 2;

#[derive(Debug, Default)]
struct Suspicion {
    until: Duration,
    count: u32,
}

#[derive(Debug, Default)]
struct Probe {
    next: Duration,
    count: u32,
}

/// The host's view: who coordinates.
#[derive(Debug)]
pub struct Coordination {
    me: HostInfo,
    hosts: BTreeMap<HostId, HostInfo>,
    suspicions: HashMap<HostId, Suspicion>,
    heard: HashMap<HostId, Duration>,
    probes: HashMap<HostId, Probe>,
    leaving: HashMap<HostId, u64>,
    current: HostId,
    heard_at: Duration,
    slow_answers: u32,
    missed_at: Duration,
    board: Board,
    board_digest: u64,
}

impl Coordination {
    /// A host that knows no other yet and takes itself for the coordinator.
    ///
    /// ```
    /// use bamboo_coordination::{Coordination, HostInfo};
    /// let me = HostInfo { host: "h1".into(), data_centre: "a".into(), size: 500, run: 1 };
    /// assert!(Coordination::new(me).is_me());
    /// ```
    pub fn new(me: HostInfo) -> Self {
        let hosts = BTreeMap::from([(me.host.clone(), me.clone())]);
        Coordination {
            current: me.host.clone(),
            me,
            hosts,
            suspicions: HashMap::new(),
            heard: HashMap::new(),
            probes: HashMap::new(),
            leaving: HashMap::new(),
            heard_at: Duration::ZERO,
            slow_answers: 0,
            missed_at: Duration::ZERO,
            board: Board::default(),
            board_digest: 0,
        }
    }

    /// The coordinator.
    pub fn current(&self) -> &HostId {
        &self.current
    }

    /// Whether this host coordinates.
    pub fn is_me(&self) -> bool {
        self.current == self.me.host
    }

    /// Takes note of a host.
    pub fn learn(&mut self, info: &HostInfo) {
        self.hosts.insert(info.host.clone(), info.clone());
    }

    /// Takes note of a host of which only the address is known.
    pub fn learn_address(&mut self, host: HostId) {
        let info = HostInfo {
            host: host.clone(),
            data_centre: String::new(),
            size: self.me.size,
            run: 0,
        };
        self.hosts.entry(host).or_insert(info);
    }

    /// All other hosts that have shown life.
    pub fn others(&self, now: Duration) -> Vec<HostId> {
        self.hosts
            .values()
            .filter(|info| info.host != self.me.host && self.is_eligible(info, now))
            .map(|info| info.host.clone())
            .collect()
    }

    /// Hosts before the coordinator in rank that show no life and should be asked now.
    pub fn probes(&mut self, now: Duration) -> Vec<HostId> {
        let current = self.hosts.get(&self.current).map(rank);
        let mut silent: Vec<&HostInfo> = self
            .hosts
            .values()
            .filter(|info| Some(rank(info)) < current && !self.is_eligible(info, now))
            .collect();
        silent.sort_by_key(|info| rank(info));
        let silent: Vec<HostId> = silent.into_iter().map(|info| info.host.clone()).collect();
        let mut due = Vec::new();
        for host in silent {
            let probe = self.probes.entry(host.clone()).or_default();
            if now >= probe.next && due.len() < PROBES_AT_ONCE {
                probe.next = now + doubled(PROBE_FIRST, probe.count, PROBE_MAX);
                probe.count += 1;
                due.push(host);
            }
        }
        due
    }

    /// Takes note that a host is about to stop.
    pub fn is_leaving(&mut self, info: &HostInfo) {
        self.leaving.insert(info.host.clone(), info.run);
    }

    /// Takes note that the connection to a host broke. Returns whether it was the coordinator's.
    pub fn link_broken(&mut self, host: &str, now: Duration) -> bool {
        self.heard.remove(host);
        let is_current = host == self.current;
        if is_current {
            self.suspect_current(now);
        }
        is_current
    }

    /// Takes note that a host that was the coordinator follows another one, which is alive then. Without it two hosts
    /// would deal the same slots until both were asked.
    pub fn named_by_other(&mut self, info: &HostInfo, now: Duration) {
        if info.host != self.me.host && !self.is_suspect(&info.host, now) {
            self.learn(info);
            self.heard.insert(info.host.clone(), now);
        }
    }

    /// The coordinator as others are to know it.
    pub fn current_info(&self) -> HostInfo {
        self.hosts
            .get(&self.current)
            .cloned()
            .unwrap_or_else(|| self.me.clone())
    }

    /// Takes a sign of life of a host.
    pub fn heard(&mut self, host: &str, now: Duration) {
        self.heard.insert(host.to_owned(), now);
        self.probes.remove(host);
        if host == self.current {
            self.heard_at = now;
            self.slow_answers = 0;
        }
    }

    /// Takes note that the coordinator missed the answer to an ask of `asked_at`. Asks that were under way when a miss
    /// was noticed show nothing new: one short stall of a loaded coordinator holds up all of them.
    pub fn missed_answer(&mut self, asked_at: Duration, now: Duration) {
        if self.slow_answers > 0 && asked_at < self.missed_at {
            return;
        }
        self.missed_at = now;
        self.slow_answers += 1;
        if self.slow_answers >= SLOW_ANSWERS_MAX {
            self.suspect_current(now);
        }
    }

    fn suspect_current(&mut self, now: Duration) {
        if self.is_me() {
            return;
        }
        let suspicion = self.suspicions.entry(self.current.clone()).or_default();
        if now > suspicion.until + PASS_OVER_MEMORY {
            suspicion.count = 0;
        }
        suspicion.until = now + doubled(PASS_OVER_FIRST, suspicion.count, PASS_OVER_MAX);
        suspicion.count += 1;
        // What it said before its silence does not count any more.
        self.heard.remove(&self.current);
        self.board.hosts.retain(|info| info.host != self.current);
    }

    fn is_suspect(&self, host: &str, now: Duration) -> bool {
        self.suspicions
            .get(host)
            .is_some_and(|suspicion| now < suspicion.until)
    }

    /// Whether a host can be the coordinator.
    fn is_eligible(&self, info: &HostInfo, now: Duration) -> bool {
        if self.leaving.get(&info.host) == Some(&info.run) || self.is_suspect(&info.host, now) {
            return false;
        }
        let is_listed = self
            .board
            .hosts
            .iter()
            .any(|listed| listed.host == info.host);
        let is_heard = self
            .heard
            .get(&info.host)
            .is_some_and(|at| now.saturating_sub(*at) < HEARD_LATELY);
        info.host == self.me.host || is_listed || is_heard
    }

    /// Chooses the coordinator anew. Returns whether it is another one.
    pub fn choose(&mut self, now: Duration) -> bool {
        if !self.is_me() && now.saturating_sub(self.heard_at) > SILENCE_MAX {
            self.suspect_current(now);
        }
        let first = self
            .hosts
            .values()
            .filter(|info| self.is_eligible(info, now))
            .min_by_key(|info| rank(info))
            .map_or_else(|| self.me.host.clone(), |info| info.host.clone());
        if first == self.current {
            return false;
        }
        self.current = first;
        self.heard_at = now;
        self.slow_answers = 0;
        true
    }

    /// Takes the coordinator's board.
    pub fn take_board(&mut self, board: Board) {
        for info in &board.hosts {
            if info.host != self.me.host {
                self.learn(info);
            }
        }
        self.board_digest = board.digest();
        self.board = board;
    }

    /// Digest of the board that this host has.
    pub fn board_digest(&self) -> u64 {
        self.board_digest
    }

    /// Owner of a partition of jobs.
    pub fn owner_of(&self, partition: u32) -> Option<HostId> {
        let owners = self.board.owners.iter();
        owners
            .filter(|(owned, _, _)| *owned == partition)
            .max_by_key(|(_, _, epoch)| *epoch)
            .map(|(_, host, _)| host.clone())
    }
}

fn doubled(first: Duration, count: u32, max: Duration) -> Duration {
    (first * 2u32.saturating_pow(count.min(8))).min(max)
}

/// Order in which hosts coordinate: the first that lives does.
pub(crate) fn rank(info: &HostInfo) -> (std::cmp::Reverse<u64>, u64, &HostId) {
    (
        std::cmp::Reverse(info.size),
        rendezvous_weight(&info.host, "coordinator"),
        &info.host,
    )
}
