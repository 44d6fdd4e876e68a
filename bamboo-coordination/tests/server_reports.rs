//! What hosts tell each other of servers, in virtual time, while messages are lost, doubled or late and hosts are killed.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboo_coordination::HEARTBEAT_INTERVAL;
use bamboo_coordination::HostInfo;
use bamboo_coordination::ServerReports;
use bamboo_fleet::Directory;
use bamboo_fleet::Server;
use bamboo_fleet::ServerState;
use bamboo_slots::RequestLimits;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// The first host coordinates the others.
const HOSTS: usize = 5;
const SERVERS: usize = 12;
const FAULTS_END: Duration = Duration::from_secs(5);
const LATENCY: Duration = Duration::from_millis(5);
const LATE_MAX_MS: u64 = 3_000;
/// Three heartbeats after the last late message. A late report of a limit counts as newer than it is, and is passed on.
const AGREE_BY: Duration = Duration::from_millis(5_000 + LATE_MAX_MS + 750);
const STEP: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    lost_percent: u32,
    doubled_percent: u32,
    late_percent: u32,
    /// Probability of a kill, in percent of each 100 ms.
    kill_percent: u32,
}

#[derive(Debug, Clone)]
enum Message {
    /// Reports, and whether the sender wants to know what the receiver has beyond them.
    Reports(ServerReports, bool),
    /// Digest of what the sender knows, with each heartbeat.
    Digest(u64),
}

struct Host {
    info: HostInfo,
    directory: Directory,
    limits: RequestLimits,
}

impl Host {
    fn start(index: usize, incarnation: u64, now: Duration) -> Self {
        let mut directory = Directory::default();
        for server in 0..SERVERS {
            directory.put(server_entry(server), now);
        }
        let info = HostInfo {
            host: format!("h{index}"),
            data_centre: "a".to_owned(),
            size: 500,
            incarnation,
            knows_servers: true,
        };
        Host {
            info,
            directory,
            limits: RequestLimits::default(),
        }
    }

    fn reports(&self, now: Duration) -> ServerReports {
        ServerReports {
            leaving: self.directory.leaving(now),
            limits: self.limits.reports(now),
        }
    }

    fn take(&mut self, message: &Message, now: Duration) -> Option<Message> {
        match message {
            Message::Digest(digest) => {
                let reports = self.reports(now);
                (reports.digest() != *digest).then_some(Message::Reports(reports, true))
            }
            Message::Reports(received, wants_reply) => {
                self.limits.merge(&received.limits, now);
                for report in &received.leaving {
                    self.directory.record_leaving(report, now);
                }
                let reports = self.reports(now);
                let has_more = reports.digest() != received.digest();
                (*wants_reply && has_more).then_some(Message::Reports(reports, false))
            }
        }
    }
}

fn server_entry(index: usize) -> Server {
    Server {
        id: format!("s{index}"),
        service: "llm".to_owned(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        started_at_ms: 1,
        version: String::new(),
    }
}

struct Network {
    faults: Faults,
    rng: ChaCha8Rng,
    in_flight: BTreeMap<(Duration, u64), (HostInfo, usize, Message)>,
    sent: u64,
}

impl Network {
    fn send(&mut self, now: Duration, sender: &HostInfo, receiver: usize, message: Message) {
        let drawn = match now < FAULTS_END {
            true => self.rng.random_range(0..100),
            false => 100,
        };
        let doubled_to = self.faults.lost_percent + self.faults.doubled_percent;
        let (copies, is_late) = match drawn {
            drawn if drawn < self.faults.lost_percent => return,
            drawn if drawn < doubled_to => (2, false),
            drawn => (1, drawn < doubled_to + self.faults.late_percent),
        };
        for copy in 0..copies {
            let late = match is_late || copy > 0 {
                true => Duration::from_millis(self.rng.random_range(0..LATE_MAX_MS)),
                false => Duration::ZERO,
            };
            self.sent += 1;
            let key = (now + LATENCY + late, self.sent);
            self.in_flight
                .insert(key, (sender.clone(), receiver, message.clone()));
        }
    }
}

fn send_heartbeats(hosts: &[Host], network: &mut Network, now: Duration) {
    for host in &hosts[1..] {
        let digest = host.reports(now).digest();
        network.send(now, &host.info, 0, Message::Digest(digest));
    }
}

/// Guards against hosts that never learn that a server leaves, or its limit, because the message which said so was lost.
#[test_case(Faults { lost_percent: 40, ..Faults::default() }; "lost")]
#[test_case(Faults { doubled_percent: 40, ..Faults::default() }; "doubled")]
#[test_case(Faults { late_percent: 40, ..Faults::default() }; "late")]
#[test_case(Faults { lost_percent: 20, kill_percent: 4, ..Faults::default() }; "lost, with kills")]
#[test_case(Faults { lost_percent: 30, doubled_percent: 20, late_percent: 30, kill_percent: 4 }; "all")]
fn all_hosts_learn_what_servers_said(faults: Faults) {
    for seed in 0..40 {
        let mut network = Network {
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sent: 0,
        };
        let mut now = Duration::ZERO;
        let mut hosts: Vec<Host> = (0..HOSTS).map(|index| Host::start(index, 1, now)).collect();
        let mut said = Vec::new();
        while now < AGREE_BY {
            now += STEP;
            while let Some(entry) = network.in_flight.first_entry()
                && entry.key().0 <= now
            {
                let (sender, receiver, message) = entry.remove();
                let reply = hosts[receiver].take(&message, now);
                let position = hosts.iter().position(|host| host.info == sender);
                if let (Some(reply), Some(to)) = (reply, position) {
                    let info = hosts[receiver].info.clone();
                    network.send(now, &info, to, reply);
                }
            }
            let is_due = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
            if is_due(HEARTBEAT_INTERVAL) {
                send_heartbeats(&hosts, &mut network, now);
            }
            if now < FAULTS_END && is_due(Duration::from_millis(100)) {
                // Hosts with even numbers are killed, the others read what servers say, so that a host that knows remains.
                let killed = 2 * network.rng.random_range(0..HOSTS.div_ceil(2));
                if network.rng.random_range(0..100) < faults.kill_percent {
                    hosts[killed] = Host::start(killed, hosts[killed].info.incarnation + 1, now);
                }
                let reader = 1 + 2 * network.rng.random_range(0..HOSTS / 2);
                let server = network.rng.random_range(0..SERVERS);
                if server < SERVERS / 2 {
                    hosts[reader]
                        .directory
                        .mark_leaving(&format!("s{server}"), now);
                    said.push(server);
                } else {
                    let limit = Some(network.rng.random_range(1..5) * 1_000);
                    hosts[reader]
                        .limits
                        .observe(&format!("s{server}"), limit, now, now);
                }
            }
        }
        let expected: Vec<u64> = hosts
            .iter()
            .map(|host| host.reports(now).digest())
            .collect();
        let is_agreed = expected.iter().all(|digest| *digest == expected[0]);
        let left = hosts[0].directory.leaving(now).len();
        said.sort_unstable();
        said.dedup();
        assert_eq!(left, said.len(), "seed {seed}: statements are unknown");
        assert!(is_agreed, "seed {seed}: hosts differ");
    }
}
