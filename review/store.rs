//! Stand-in of the platform's store, by PROTOCOL.md: a log with partitions, keyed topics and groups. A partition of a group
//! goes to another member once its holder has joined with the generation that takes it away, has left, or has lapsed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::base64;

/// Number of partitions of a topic of the system's own, as in the settings.
pub const PARTS: u32 = 12;
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// `call_bytes` of the settings, and the lengths of a few records.
const CALL_MAX_BYTES: usize = 2_097_152 + 4 * 64;
/// Bytes of records in one answer to a read.
const READ_MAX_BYTES: usize = 1024 * 1024;
/// Earlier appends of a producer whose repeats get their first response again.
const REPEATS_KNOWN: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    responses: Vec<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

struct Member {
    expires_at: Instant,
    generation: u64,
}

#[derive(Default)]
struct Part {
    /// Member that the partition is dealt to.
    target: Option<String>,
    /// Member that holds it until it has let go.
    holder: Option<String>,
    /// Generation that took it from the holder.
    taken_in: u64,
}

#[derive(Default)]
struct Group {
    members: BTreeMap<String, Member>,
    parts: Vec<Part>,
    generation: u64,
}

impl Group {
    fn lapse(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        if self.members.len() != before {
            self.deal();
        }
    }

    /// Deals the partitions evenly, and moves no more of them than needed.
    fn deal(&mut self) {
        self.parts.resize_with(PARTS as usize, Part::default);
        let count = self.members.len();
        let mut load: BTreeMap<String, usize> = self
            .members
            .keys()
            .map(|member| (member.clone(), 0))
            .collect();
        let most = (PARTS as usize).div_ceil(count.max(1));
        let mut free = Vec::new();
        for (index, part) in self.parts.iter().enumerate() {
            let kept = part.target.as_ref().and_then(|member| load.get_mut(member));
            match kept {
                Some(held) if *held < most => *held += 1,
                _ => free.push(index),
            }
        }
        // Members with fewer than the even share get what others have above it.
        let least = PARTS as usize / count.max(1);
        for index in 0..self.parts.len() {
            let wanting = load.values().filter(|held| **held < least).count();
            if free.len() >= wanting || free.contains(&index) {
                continue;
            }
            let target = self.parts[index].target.clone().unwrap_or_default();
            if let Some(held) = load.get_mut(&target)
                && *held > least
            {
                *held -= 1;
                free.push(index);
            }
        }
        let mut has_changed = false;
        for index in free {
            let next = load.iter_mut().min_by_key(|(_, held)| **held);
            let target = next.map(|(member, held)| {
                *held += 1;
                member.clone()
            });
            if self.parts[index].target != target {
                self.parts[index].target = target;
                self.parts[index].taken_in = self.generation + 1;
                has_changed = true;
            }
        }
        if has_changed {
            self.generation += 1;
        }
    }

    /// Lets members that have lapsed, or that know the generation which took a partition from them, go of it.
    fn hand_over(&mut self) {
        for part in &mut self.parts {
            if part.holder == part.target {
                continue;
            }
            let holder = part.holder.as_ref();
            let holder = holder.and_then(|holder| self.members.get(holder));
            if holder.is_none_or(|holder| holder.generation >= part.taken_in) {
                part.holder = part.target.clone();
            }
        }
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
}

/// A store that serves until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port of a loopback address.
    pub fn start(ip: std::net::IpAddr) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a record of a keyed topic, as operators and servers do. Without a value it drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.lock();
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(record);
        self.shared.1.notify_all();
    }

    /// Members that hold partitions of a group, with the number of them.
    pub fn holders(&self) -> BTreeMap<String, usize> {
        let mut holders = BTreeMap::new();
        for group in self.lock().groups.values_mut() {
            group.lapse(Instant::now());
            group.hand_over();
            for holder in group.parts.iter().filter_map(|part| part.holder.clone()) {
                *holders.entry(holder).or_default() += 1;
            }
        }
        holders
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            if http::respond(&mut writer, status, &[], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        match request.path() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(request),
            "/log-leave" => self.leave(request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").to_owned();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        if request.body.len() > CALL_MAX_BYTES {
            return (400, Vec::new());
        }
        let part = request.query("part").parse().unwrap_or(0);
        let mut state = self.lock();
        let partition = state.partitions.entry((topic, part)).or_default();
        let producer = request.query("producer").to_owned();
        let epoch = request.query("epoch").parse().unwrap_or(0);
        let sequence: u64 = request.query("seq").parse().unwrap_or(0);
        if !producer.is_empty() {
            let known = partition.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if !request.body.is_empty() {
                let repeated = known.responses.iter().find(|(seq, _)| *seq == sequence);
                if let Some((_, response)) = repeated {
                    return (200, response.clone().into_bytes());
                }
                if let Some(last) = known.last
                    && sequence != last + 1
                {
                    let why = format!("{{\"why\":\"seq\",\"seq\":{}}}", last + 1);
                    return (409, why.into_bytes());
                }
            }
        }
        let offset = partition.records.len();
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, after)) = after.split_at_checked(length) else {
                return (400, Vec::new());
            };
            partition.records.push(record.to_vec());
            rest = after;
        }
        let response = format!(
            "{{\"offset\":{offset},\"end\":{}}}",
            partition.records.len()
        );
        if !producer.is_empty() && !request.body.is_empty() {
            let known = partition.producers.entry(producer).or_default();
            known.last = Some(sequence);
            known.responses.push((sequence, response.clone()));
            if known.responses.len() > REPEATS_KNOWN {
                known.responses.remove(0);
            }
        }
        self.shared.1.notify_all();
        (200, response.into_bytes())
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").to_owned();
        let part = request.query("part").parse().unwrap_or(0);
        let from: usize = request.query("from").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let partition = state.partitions.entry((topic.clone(), part)).or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > READ_MAX_BYTES {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").to_owned();
        let after = request.query("after").to_owned();
        let mut state = self.lock();
        let partition = state.partitions.entry((topic, 0)).or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in partition.records.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0] as usize);
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, base64(value))),
            };
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, _)| after.is_empty() || **key > after)
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
            items.join(","),
            partition.records.len()
        );
        (200, body.into_bytes())
    }

    fn join(&self, request: &Request) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(call) = Json::parse(&text) else {
            return (400, Vec::new());
        };
        let field = |name: &str| call.get(name).cloned().unwrap_or(Json::Null);
        let (name, member) = (field("group"), field("member").text().to_owned());
        let topic = field("topics")
            .list()
            .first()
            .cloned()
            .unwrap_or(Json::Null);
        let now = Instant::now();
        let mut state = self.lock();
        let group = state.groups.entry(name.text().to_owned()).or_default();
        group.lapse(now);
        let is_new = !group.members.contains_key(&member);
        let joined = Member {
            expires_at: now + Duration::from_millis(field("ttl_ms").number()),
            generation: match is_new {
                // A member that has lapsed holds nothing any more.
                true => u64::MAX,
                false => field("generation").number(),
            },
        };
        group.members.insert(member.clone(), joined);
        if is_new {
            group.hand_over();
            group.deal();
            if let Some(joined) = group.members.get_mut(&member) {
                joined.generation = 0;
            }
        }
        group.hand_over();
        let parts: Vec<String> = (0..)
            .zip(&group.parts)
            .filter(|(_, part)| {
                part.holder.as_ref() == Some(&member) && part.target.as_ref() == Some(&member)
            })
            .map(|(index, _): (u32, _)| format!("[\"{}\",{index},0]", topic.text()))
            .collect();
        let body = format!(
            "{{\"generation\":{},\"parts\":[{}]}}",
            group.generation,
            parts.join(",")
        );
        (200, body.into_bytes())
    }

    fn leave(&self, request: &Request) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let call = Json::parse(&text).unwrap_or(Json::Null);
        let name = call.get("group").map(Json::text).unwrap_or_default();
        let member = call.get("member").map(Json::text).unwrap_or_default();
        let mut state = self.lock();
        if let Some(group) = state.groups.get_mut(name) {
            group.members.remove(member);
            group.deal();
            group.hand_over();
        }
        (200, b"{}".to_vec())
    }
}
