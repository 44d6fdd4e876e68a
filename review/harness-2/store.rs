//! A stand-in of the platform's store in the form of a log, by its page.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http::Request;
use crate::http::read_request;
use crate::http::respond;
use crate::json::Json;
use crate::json::quote;

/// Partitions of a topic without a key, as `parts` of the settings says.
pub const PARTS: u32 = 12;
/// Entries of a page of the newest records, and their size.
const PAGE_ENTRIES_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1_000_000;
/// Answers that an epoch remembers for repeats.
const REPEATS_KEPT: u64 = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last_sequence: Option<u64>,
    answers: BTreeMap<u64, String>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
    targets: BTreeMap<u32, String>,
    holders: BTreeMap<u32, String>,
}

impl Group {
    fn change(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        self.targets.clear();
        for part in 0..PARTS {
            if !members.is_empty() {
                self.targets
                    .insert(part, members[part as usize % members.len()].clone());
            }
        }
    }

    fn remove(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.holders.retain(|_, holder| holder != member);
            self.change();
        }
    }

    fn expire(&mut self, now: Instant) {
        let expired = self.members.iter().filter(|(_, until)| **until < now);
        let expired: Vec<String> = expired.map(|(member, _)| member.clone()).collect();
        for member in expired {
            self.remove(&member);
        }
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    groups: HashMap<String, Group>,
    /// Partition of the newest record outside of the topics with keys.
    last_part: Option<u32>,
}

/// The store. It answers on a thread of its own for each channel.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            // `append_ms` and the way there and back.
            std::thread::sleep(Duration::from_millis(2));
            if respond(
                &mut writer,
                status,
                &[("Content-Type", "application/json")],
                &body,
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query_number("part").unwrap_or(0) as u32;
        match (request.method.as_str(), request.path()) {
            ("POST", "/log-append") => self.append(&topic, part, request),
            ("GET", "/log-read") => self.read(&topic, part, request),
            ("GET", "/log-newest") => self.newest(&topic, part, request),
            ("POST", "/log-join") => self.join(&request.body),
            ("POST", "/log-leave") => self.leave(&request.body),
            _ => (400, Vec::new()),
        }
    }

    /// Writes a record as the operator, a server or another writer does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.0.lock().unwrap();
        store_record(&mut state, topic, 0, record);
        self.state.1.notify_all();
    }

    /// The member of a group that holds the partition to which the newest record was appended.
    pub fn holder_of_newest(&self) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let part = state.last_part?;
        state
            .groups
            .values()
            .find_map(|group| group.holders.get(&part).cloned())
    }

    fn append(&self, topic: &str, part: u32, request: &Request) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let Some(records) = split_records(&request.body) else {
            return (400, Vec::new());
        };
        let mut state = self.state.0.lock().unwrap();
        let partition = state
            .partitions
            .entry((topic.to_owned(), part))
            .or_default();
        let producer = request.query("producer");
        let epoch = request.query_number("epoch").unwrap_or(0);
        let sequence = request.query_number("seq").unwrap_or(0);
        if let Some(name) = &producer {
            let known = partition.producers.entry(name.clone()).or_default();
            if epoch < known.epoch {
                return (409, br#"{"why":"fenced"}"#.to_vec());
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some(answer) = known.answers.get(&sequence) {
                return (200, answer.clone().into_bytes());
            }
            if let Some(last) = known.last_sequence.filter(|last| *last + 1 != sequence)
                && !records.is_empty()
            {
                return (
                    409,
                    format!(r#"{{"why":"seq","seq":{}}}"#, last + 1).into_bytes(),
                );
            }
        }
        let offset = partition.records.len() as u64;
        let is_empty = records.is_empty();
        for record in records {
            store_record(&mut state, topic, part, record);
        }
        let Some(partition) = state.partitions.get_mut(&(topic.to_owned(), part)) else {
            return (400, Vec::new());
        };
        let answer = format!(r#"{{"offset":{offset},"end":{}}}"#, partition.records.len());
        if let Some(known) = producer.and_then(|name| partition.producers.get_mut(&name))
            && !is_empty
        {
            known.last_sequence = Some(sequence);
            known.answers.insert(sequence, answer.clone());
            known
                .answers
                .retain(|kept, _| kept + REPEATS_KEPT > sequence);
        }
        self.state.1.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, topic: &str, part: u32, request: &Request) -> (u16, Vec<u8>) {
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let bytes_max = request.query_number("max_kb").unwrap_or(1024) as usize * 1024;
        let until = Instant::now() + wait;
        let key = (topic.to_owned(), part);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let empty = Partition::default();
            let partition = state.partitions.get(&key).unwrap_or(&empty);
            let now = Instant::now();
            if partition.records.len() > from || now >= until {
                let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > bytes_max {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, part: u32, request: &Request) -> (u16, Vec<u8>) {
        let after = request.query("after");
        let state = self.state.0.lock().unwrap();
        let empty = Partition::default();
        let partition = state
            .partitions
            .get(&(topic.to_owned(), part))
            .unwrap_or(&empty);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &partition.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            let is_full = items.len() >= PAGE_ENTRIES_MAX || bytes + value.len() > PAGE_BYTES_MAX;
            if is_full && !items.is_empty() {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                r#"{{"key":{},"value":"{}","offset":{offset}}}"#,
                quote(key),
                base64::encode(value)
            ));
        }
        let body = format!(
            r#"{{"items":[{}],"has_more":{has_more},"end":{}}}"#,
            items.join(","),
            partition.records.len()
        );
        (200, body.into_bytes())
    }

    fn join(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = Json::parse(body) else {
            return (400, Vec::new());
        };
        let text = |name: &str| {
            call.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let (name, member) = (text("group"), text("member"));
        let topic = call
            .get("topics")
            .and_then(|topics| topics.list().first()?.text());
        let topic = topic.unwrap_or_default().to_owned();
        let lifetime = call.get("ttl_ms").and_then(Json::number).unwrap_or(1000);
        let known_generation = call.get("generation").and_then(Json::number).unwrap_or(0);
        let now = Instant::now();
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(name).or_default();
        group.expire(now);
        let until = now + Duration::from_millis(lifetime);
        if group.members.insert(member.clone(), until).is_none() {
            group.change();
        }
        if known_generation >= group.generation {
            let (holders, targets) = (&mut group.holders, &group.targets);
            holders.retain(|part, holder| *holder != member || targets.get(part) == Some(&member));
        }
        let mut parts = Vec::new();
        for (part, target) in &group.targets {
            let holder = group.holders.get(part);
            if *target == member && holder.is_none_or(|holder| *holder == member) {
                group.holders.insert(*part, member.clone());
                parts.push(format!(r#"["{topic}",{part},0]"#));
            }
        }
        let generation = group.generation;
        let body = format!(
            r#"{{"generation":{generation},"ttl_ms":{lifetime},"parts":[{}]}}"#,
            parts.join(",")
        );
        (200, body.into_bytes())
    }

    fn leave(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = Json::parse(body) else {
            return (400, Vec::new());
        };
        let text = |name: &str| call.get(name).and_then(Json::text).unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        if let Some(group) = state.groups.get_mut(text("group")) {
            group.remove(text("member"));
        }
        (200, b"{}".to_vec())
    }
}

fn store_record(state: &mut State, topic: &str, part: u32, record: Vec<u8>) {
    let partition = state
        .partitions
        .entry((topic.to_owned(), part))
        .or_default();
    if topic.starts_with("keyed.") && !record.is_empty() {
        let length = usize::from(record[0]).min(record.len() - 1);
        let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
        let value = &record[1 + length..];
        match value.is_empty() {
            true => partition.newest.remove(&key),
            false => partition
                .newest
                .insert(key, (partition.records.len() as u64, value.to_vec())),
        };
    }
    partition.records.push(record);
    if !topic.starts_with("keyed.") {
        state.last_part = Some(part);
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}
