//! Load pattern: all hosts start within half a second, as after a power failure, while callers retry. As long as hosts
//! disagree on the coordinator, several of them allocate the same slots.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use bamboo_coordination::CoordinatorTracker;
use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::HintAction;
use bamboo_coordination::HostInfo;
use bamboo_types::HostId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// One-way delay between hosts.
const DELAY_MS: u64 = 2;
/// Time from the start of a host to the end of its first read of the servers.
const SERVERS_READ_MS: u64 = 15;
/// Interval at which a starting host looks for hosts to probe.
const JOIN_POLL_MS: u64 = 25;
/// Interval in which the hosts start.
const START_SPREAD_MS: u64 = 460;
/// Time after the last start within which all hosts agree: a fifth of the 300 ms target for the first event of an online
/// response, like the timeout of a slot request.
const AGREEMENT_MS: u64 = 60;

struct Host {
    tracker: CoordinatorTracker,
    reporters: BTreeSet<HostId>,
    starts_at_ms: u64,
}

struct Message {
    arrives_at_ms: u64,
    sender: usize,
    receiver: usize,
    is_ack: bool,
    knows_servers: bool,
    coordinator: HostInfo,
}

struct Fleet {
    infos: Vec<HostInfo>,
    hosts: Vec<Host>,
    messages: VecDeque<Message>,
}

impl Fleet {
    /// A fleet whose hosts know each other's addresses, as from the list in the store.
    fn new(count: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let infos: Vec<HostInfo> = (0..count)
            .map(|index| HostInfo {
                host: format!("h{index}"),
                data_centre: "a".to_owned(),
                size: [120, 500][index % 2],
                incarnation: 1,
                knows_servers: false,
            })
            .collect();
        let hosts = infos
            .iter()
            .map(|local| {
                let mut tracker = CoordinatorTracker::new(local.clone());
                infos
                    .iter()
                    .filter(|info| *info != local)
                    .for_each(|info| tracker.add_host(info));
                Host {
                    tracker,
                    reporters: BTreeSet::new(),
                    starts_at_ms: random.random_range(0..START_SPREAD_MS),
                }
            })
            .collect();
        Fleet {
            infos,
            hosts,
            messages: VecDeque::new(),
        }
    }

    fn index_of(&self, host: &str) -> usize {
        self.infos
            .iter()
            .position(|info| info.host == host)
            .unwrap()
    }

    fn send(&mut self, sender: usize, receiver: &str, is_ack: bool, now_ms: u64) {
        let tracker = &self.hosts[sender].tracker;
        let message = Message {
            arrives_at_ms: now_ms + DELAY_MS,
            sender,
            receiver: self.index_of(receiver),
            is_ack,
            knows_servers: tracker.knows_servers(),
            coordinator: tracker.coordinator_info(),
        };
        self.messages.push_back(message);
    }

    fn deliver(&mut self, message: Message, now_ms: u64) {
        let now = Duration::from_millis(now_ms);
        let sender = self.infos[message.sender].clone();
        let receiver = &mut self.hosts[message.receiver];
        if now_ms < receiver.starts_at_ms {
            return;
        }
        if message.knows_servers {
            receiver.tracker.record_knows_servers(&sender);
        }
        if !message.is_ack {
            receiver.reporters.insert(sender.host.clone());
        }
        let mut is_outranked = receiver.tracker.record_contact(&sender.host, now);
        let mut is_announced = false;
        if message.coordinator.host != sender.host {
            let action = receiver
                .tracker
                .record_coordinator_hint(&message.coordinator, now);
            is_outranked |= action == HintAction::ChooseCoordinator;
            is_announced = action == HintAction::Announce;
        }
        if is_outranked {
            self.choose(message.receiver, now_ms);
        }
        if is_announced {
            self.send(message.receiver, &message.coordinator.host, false, now_ms);
        }
        if !message.is_ack {
            self.send(message.receiver, &sender.host, true, now_ms);
        }
    }

    /// Chooses the coordinator of a host. A host that loses the role tells the hosts that reported to it, and the former
    /// coordinator of any other host is told of the new one.
    fn choose(&mut self, index: usize, now_ms: u64) {
        let host = &mut self.hosts[index];
        let before = host.tracker.coordinator().clone();
        let was_local = host.tracker.is_local();
        let has_changed = host
            .tracker
            .update_coordinator(Duration::from_millis(now_ms));
        if was_local && has_changed {
            for reporter in std::mem::take(&mut host.reporters) {
                self.send(index, &reporter, true, now_ms);
            }
        }
        if has_changed && !was_local {
            self.send(index, &before, true, now_ms);
        }
        let coordinator = self.hosts[index].tracker.coordinator().clone();
        if has_changed {
            self.send(index, &coordinator, false, now_ms);
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = Duration::from_millis(now_ms);
        while self
            .messages
            .front()
            .is_some_and(|message| message.arrives_at_ms <= now_ms)
        {
            let message = self.messages.pop_front().unwrap();
            self.deliver(message, now_ms);
        }
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let Some(age_ms) = now_ms.checked_sub(host.starts_at_ms + SERVERS_READ_MS) else {
                continue;
            };
            if age_ms == 0 {
                host.tracker.set_knows_servers();
            }
            let beats = age_ms % HEARTBEAT_INTERVAL.as_millis() as u64 == 0;
            let polls = age_ms % JOIN_POLL_MS == 0 && host.tracker.is_joining(now);
            let mut receivers = Vec::new();
            if beats {
                self.choose(index, now_ms);
            }
            let host = &mut self.hosts[index];
            if beats {
                receivers.push(host.tracker.coordinator().clone());
            }
            if beats || polls {
                receivers.extend(host.tracker.due_probes(now));
            }
            for receiver in receivers {
                self.send(index, &receiver, false, now_ms);
            }
        }
    }

    /// Whether all hosts consider the host that ranks first the coordinator.
    fn agrees(&self) -> bool {
        let coordinator = self.hosts[0].tracker.coordinator();
        self.hosts
            .iter()
            .all(|host| host.tracker.coordinator() == coordinator)
    }
}

/// The connection was begun while the other host had no power, and times out after that host has made contact.
#[test]
fn a_connection_begun_before_the_start_of_a_host_does_not_count_as_lost() {
    let mut tracker = Fleet::new(2, 1).hosts.remove(0).tracker;
    tracker.record_contact("h1", Duration::from_millis(50));
    tracker.update_coordinator(Duration::from_millis(50));
    assert_eq!(tracker.coordinator(), "h1");
    let (began, timed_out) = (Duration::from_millis(10), Duration::from_millis(400));
    assert!(!tracker.connect_failed("h1", began, timed_out));
    assert!(!tracker.update_coordinator(timed_out));
    let (began, timed_out) = (Duration::from_millis(410), Duration::from_millis(800));
    assert!(tracker.connect_failed("h1", began, timed_out));
}

#[test_case(11, 1)]
#[test_case(11, 2)]
#[test_case(58, 3)]
#[test_case(58, 4)]
fn hosts_that_start_at_once_agree_on_a_coordinator(count: usize, seed: u64) {
    let mut fleet = Fleet::new(count, seed);
    let last_start = fleet
        .hosts
        .iter()
        .map(|host| host.starts_at_ms)
        .max()
        .unwrap();
    let mut agreed_at_ms = None;
    for now_ms in 0..3_000 {
        fleet.step(now_ms);
        match (fleet.agrees(), agreed_at_ms) {
            (true, None) => agreed_at_ms = Some(now_ms),
            (false, Some(_)) => agreed_at_ms = None,
            _ => {}
        }
    }
    let agreed_at_ms = agreed_at_ms.expect("all hosts agree");
    assert!(
        agreed_at_ms <= last_start + SERVERS_READ_MS + AGREEMENT_MS,
        "started by {last_start} ms, agreed at {agreed_at_ms} ms"
    );
}
