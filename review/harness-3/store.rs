//! A stand-in of the platform's store, by the section "The platform's metadata store" of PROTOCOL.md: topics with partitions,
//! fenced appends, reads that wait, compacted topics, groups, rates, and the limits on what is stored.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::base64;

/// Figures of the store, as the settings example in DEPLOY.md and the sheets give them.
#[derive(Clone)]
pub struct Figures {
    pub parts: usize,
    pub answer: Duration,
    pub append: Duration,
    pub part_bytes_per_s: f64,
    pub read_bytes_per_s: f64,
    pub writes_per_s: f64,
    pub reads_per_s: f64,
    pub retention: Duration,
    pub part_bytes: usize,
    /// "When 400 MB are stored in total, appends receive 507"; `None` leaves that out.
    pub total_bytes: Option<usize>,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            parts: 12,
            answer: Duration::from_millis(4),
            append: Duration::from_millis(2),
            part_bytes_per_s: 20e6,
            read_bytes_per_s: 80e6,
            writes_per_s: 800.0,
            reads_per_s: 2000.0,
            retention: Duration::from_secs(300),
            part_bytes: 200_000_000,
            total_bytes: Some(400_000_000),
        }
    }
}

const APPEND_QUEUE_MAX: Duration = Duration::from_secs(2);
const READ_MAX_KB: u64 = 1024;
const WAIT_MAX_MS: u64 = 30_000;
const PAGE_RECORDS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1_000_000;
const REPEATS_KEPT: usize = 5;

struct Record {
    bytes: Arc<[u8]>,
    at: Instant,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    responses: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    records: VecDeque<Record>,
    first: u64,
    bytes: usize,
    producers: HashMap<String, Producer>,
    /// Newest record of each key of a compacted topic.
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    free_at: Option<Instant>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_first(&mut self) -> usize {
        let Some(record) = self.records.pop_front() else {
            return 0;
        };
        self.first += 1;
        self.bytes -= record.bytes.len();
        record.bytes.len()
    }
}

struct Member {
    expires_at: Instant,
    generation: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Who holds each partition, and who is to get it since which generation.
    holders: Vec<Option<String>>,
    targets: Vec<Option<(String, u64)>>,
}

impl Group {
    /// Deals partitions evenly, and leaves with their members as many as possible.
    fn deal(&mut self, parts: usize) {
        self.holders.resize(parts, None);
        self.targets.resize(parts, None);
        let members: Vec<String> = self.members.keys().cloned().collect();
        if members.is_empty() {
            self.holders.fill(None);
            self.targets.fill(None);
            return;
        }
        let (least, more) = (parts / members.len(), parts % members.len());
        let mut counts: HashMap<String, usize> = HashMap::new();
        let mut with_more = 0;
        let mut kept = vec![false; parts];
        for part in 0..parts {
            let Some(holder) = self.holders[part]
                .clone()
                .filter(|holder| self.members.contains_key(holder))
            else {
                continue;
            };
            let count = counts.entry(holder).or_default();
            if *count < least || (*count == least && with_more < more) {
                with_more += usize::from(*count == least);
                *count += 1;
                kept[part] = true;
            }
        }
        self.generation += 1;
        for part in 0..parts {
            if kept[part] {
                let holder = self.holders[part].clone().unwrap_or_default();
                self.targets[part] = Some((holder, self.generation));
                continue;
            }
            let next = members
                .iter()
                .min_by_key(|member| counts.get(*member).copied().unwrap_or(0));
            let next = next.cloned().unwrap_or_default();
            *counts.entry(next.clone()).or_default() += 1;
            let is_held = self.holders[part]
                .as_ref()
                .is_some_and(|holder| self.members.contains_key(holder));
            if !is_held {
                self.holders[part] = Some(next.clone());
            }
            self.targets[part] = Some((next, self.generation));
        }
    }

    fn expire(&mut self, parts: usize) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        if self.members.len() < before {
            self.deal(parts);
        }
    }

    /// Hands on what members have let go of.
    fn hand_on(&mut self) {
        let mut has_changed = false;
        for part in 0..self.holders.len() {
            let Some((target, since)) = self.targets[part].clone() else {
                continue;
            };
            let Some(holder) = self.holders[part].clone() else {
                continue;
            };
            let has_let_go = self
                .members
                .get(&holder)
                .is_none_or(|member| member.generation >= since);
            if holder != target && has_let_go {
                self.holders[part] = Some(target);
                has_changed = true;
            }
        }
        if has_changed {
            self.generation += 1;
        }
    }
}

struct State {
    topics: HashMap<(String, usize), Partition>,
    groups: HashMap<String, Group>,
    stored_bytes: usize,
    full_since: Option<Instant>,
    refused_as_full: u64,
    reads_free_at: Instant,
    writes: (Instant, f64),
    reads: (Instant, f64),
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    figures: Figures,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str, figures: Figures) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the store");
        let now = Instant::now();
        let store = Store {
            address: listener.local_addr().expect("the address of the store"),
            figures,
            state: Arc::new((
                Mutex::new(State {
                    topics: HashMap::new(),
                    groups: HashMap::new(),
                    stored_bytes: 0,
                    full_since: None,
                    refused_as_full: 0,
                    reads_free_at: now,
                    writes: (now, 0.0),
                    reads: (now, 0.0),
                }),
                Condvar::new(),
            )),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the store's state")
    }

    /// Bytes that are stored, and the number of appends that were refused since 400 MB are.
    pub fn fill(&self) -> (usize, u64) {
        let state = self.lock();
        (state.stored_bytes, state.refused_as_full)
    }

    /// Writes a record of a compacted topic, as the operator and the servers do. No value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.lock();
        add(&mut state, &self.figures, topic, 0, vec![record]);
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader, false) {
            sleep(self.figures.answer);
            let (status, body) = self.answer(&request);
            let kind = match body.first() {
                Some(b'{') => "Content-Type: application/json\r\n",
                _ => "",
            };
            if http::respond(&mut writer, status, kind, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let cost = match request.path() {
            "/log-join" => 0.1,
            _ => 1.0,
        };
        let is_write = request.method() == "POST";
        if !self.takes_call(is_write, cost) {
            return ("429 Too Many Requests", Vec::new());
        }
        match request.path() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(request),
            "/log-leave" => self.leave(request),
            "/log-commit" => ("200 OK", b"{}".to_vec()),
            "/log-owners" => self.owners(request),
            "/log-trim" => self.trim(request),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn takes_call(&self, is_write: bool, cost: f64) -> bool {
        let mut state = self.lock();
        let (rate, bucket) = match is_write {
            true => (self.figures.writes_per_s, &mut state.writes),
            false => (self.figures.reads_per_s, &mut state.reads),
        };
        let now = Instant::now();
        let used = (bucket.1 - now.duration_since(bucket.0).as_secs_f64() * rate).max(0.0);
        if used + cost > rate {
            return false;
        }
        *bucket = (now, used + cost);
        true
    }

    fn append(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (Some(topic), Some(part)) = (request.query("topic"), request.query_number("part"))
        else {
            return ("400 Bad Request", Vec::new());
        };
        let Some(records) = split(&request.body) else {
            return ("400 Bad Request", Vec::new());
        };
        if topic == "keyed.op" || topic == "keyed.servers" {
            return ("403 Forbidden", Vec::new());
        }
        let entry = (topic.clone(), part as usize);
        let done_at = {
            let mut state = self.lock();
            let now = Instant::now();
            let partition = state.topics.entry(entry.clone()).or_default();
            let begin = partition.free_at.map_or(now, |at| at.max(now));
            if begin - now > APPEND_QUEUE_MAX {
                return ("503 Service Unavailable", Vec::new());
            }
            let time =
                Duration::from_secs_f64(request.body.len() as f64 / self.figures.part_bytes_per_s);
            let done_at = begin + self.figures.append + time;
            partition.free_at = Some(done_at);
            done_at
        };
        sleep(done_at.saturating_duration_since(Instant::now()));
        let mut state = self.lock();
        let is_full = self
            .figures
            .total_bytes
            .is_some_and(|max| state.stored_bytes + request.body.len() > max);
        let partition = state.topics.entry(entry).or_default();
        let end = partition.end();
        if request.query_number("at").is_some_and(|at| at != end) {
            return (
                "412 Precondition Failed",
                format!("{{\"end\":{end}}}").into_bytes(),
            );
        }
        let fence = (
            request.query("producer"),
            request.query_number("epoch"),
            request.query_number("seq"),
        );
        if let (Some(name), Some(epoch), Some(seq)) = &fence {
            let producer = partition.producers.entry(name.clone()).or_default();
            if *epoch < producer.epoch {
                return ("409 Conflict", b"{\"why\":\"fenced\"}".to_vec());
            }
            if *epoch > producer.epoch {
                *producer = Producer {
                    epoch: *epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, response)) = producer.responses.iter().find(|(known, _)| known == seq) {
                return ("200 OK", response.clone().into_bytes());
            }
            if let Some(last) = producer.last.filter(|last| last + 1 != *seq) {
                let expected = last + 1;
                return (
                    "409 Conflict",
                    format!("{{\"why\":\"seq\",\"seq\":{expected}}}").into_bytes(),
                );
            }
        }
        if records.is_empty() {
            return (
                "200 OK",
                format!("{{\"offset\":{end},\"end\":{end}}}").into_bytes(),
            );
        }
        if is_full {
            state.refused_as_full += 1;
            state.full_since.get_or_insert_with(Instant::now);
            return ("507 Insufficient Storage", Vec::new());
        }
        let after = end + records.len() as u64;
        let response = format!("{{\"offset\":{end},\"end\":{after}}}");
        if let (Some(name), Some(_), Some(seq)) = fence {
            let producer = partition.producers.entry(name).or_default();
            producer.last = Some(seq);
            producer.responses.push_back((seq, response.clone()));
            if producer.responses.len() > REPEATS_KEPT {
                producer.responses.pop_front();
            }
        }
        add(&mut state, &self.figures, &topic, part as usize, records);
        drop(state);
        self.state.1.notify_all();
        ("200 OK", response.into_bytes())
    }

    fn read(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (Some(topic), Some(part)) = (request.query("topic"), request.query_number("part"))
        else {
            return ("400 Bad Request", Vec::new());
        };
        let from = request.query_number("from").unwrap_or(0);
        let max_bytes = request.query_number("max_kb").unwrap_or(READ_MAX_KB) as usize * 1024;
        let wait = Duration::from_millis(
            request
                .query_number("wait_ms")
                .unwrap_or(0)
                .min(WAIT_MAX_MS),
        );
        let until = Instant::now() + wait;
        let entry = (topic, part as usize);
        let mut state = self.lock();
        loop {
            let partition = state.topics.entry(entry.clone()).or_default();
            if from < partition.first {
                let first = partition.first;
                return ("410 Gone", format!("{{\"first\":{first}}}").into_bytes());
            }
            let now = Instant::now();
            if partition.end() <= from && now < until {
                state = self
                    .state
                    .1
                    .wait_timeout(state, until - now)
                    .expect("the store's state")
                    .0;
                continue;
            }
            let mut body = partition.end().to_be_bytes().to_vec();
            body.extend_from_slice(&partition.first.to_be_bytes());
            let skipped = (from - partition.first) as usize;
            for (index, record) in partition.records.iter().skip(skipped).enumerate() {
                if index > 0 && body.len() + 4 + record.bytes.len() > max_bytes {
                    break;
                }
                body.extend_from_slice(&(record.bytes.len() as u32).to_be_bytes());
                body.extend_from_slice(&record.bytes);
            }
            let time = Duration::from_secs_f64(body.len() as f64 / self.figures.read_bytes_per_s);
            let done_at = state.reads_free_at.max(now) + time;
            state.reads_free_at = done_at;
            drop(state);
            sleep(done_at.saturating_duration_since(Instant::now()));
            return ("200 OK", body);
        }
    }

    fn newest(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let Some(topic) = request.query("topic") else {
            return ("400 Bad Request", Vec::new());
        };
        let after = request.query("after").map(String::into_bytes);
        let mut state = self.lock();
        let partition = state.topics.entry((topic, 0)).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &partition.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            bytes += value.len();
            if !items.is_empty() && (items.len() >= PAGE_RECORDS_MAX || bytes > PAGE_BYTES_MAX) {
                has_more = true;
                break;
            }
            let key = String::from_utf8_lossy(key);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let end = partition.end();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"end\":{end}}}",
            items.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn join(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let Some(call) = Json::parse(&request.body) else {
            return ("400 Bad Request", Vec::new());
        };
        let (name, member) = (
            call.get("group").text().to_owned(),
            call.get("member").text().to_owned(),
        );
        let topic = call
            .get("topics")
            .list()
            .first()
            .map_or("", Json::text)
            .to_owned();
        let mut state = self.lock();
        let group = state.groups.entry(name).or_default();
        group.expire(self.figures.parts);
        let is_new = !group.members.contains_key(&member);
        let ttl = Duration::from_millis(call.get("ttl_ms").number() as u64);
        group.members.insert(
            member.clone(),
            Member {
                expires_at: Instant::now() + ttl,
                generation: call.get("generation").number() as u64,
            },
        );
        if is_new {
            group.deal(self.figures.parts);
        }
        group.hand_on();
        let owned = |part: &usize| {
            let is_target = group.targets[*part]
                .as_ref()
                .is_some_and(|(target, _)| *target == member);
            is_target && group.holders[*part].as_deref() == Some(&member)
        };
        let rows: Vec<String> = (0..self.figures.parts)
            .filter(owned)
            .map(|part| format!("[\"{topic}\",{part},0]"))
            .collect();
        let body = format!(
            "{{\"generation\":{},\"ttl_ms\":{},\"parts\":[{}]}}",
            group.generation,
            ttl.as_millis(),
            rows.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn leave(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let Some(call) = Json::parse(&request.body) else {
            return ("400 Bad Request", Vec::new());
        };
        let mut state = self.lock();
        let group = state
            .groups
            .entry(call.get("group").text().to_owned())
            .or_default();
        if group.members.remove(call.get("member").text()).is_some() {
            group.deal(self.figures.parts);
        }
        ("200 OK", b"{}".to_vec())
    }

    fn owners(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let mut state = self.lock();
        let group = state
            .groups
            .entry(request.query("group").unwrap_or_default())
            .or_default();
        group.expire(self.figures.parts);
        let rows = group.holders.iter().enumerate();
        let rows = rows
            .filter_map(|(part, holder)| Some(format!("[\"\",{part},\"{}\",0]", holder.as_ref()?)));
        let rows: Vec<String> = rows.collect();
        (
            "200 OK",
            format!("{{\"owners\":[{}]}}", rows.join(",")).into_bytes(),
        )
    }

    fn trim(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (Some(topic), Some(part)) = (request.query("topic"), request.query_number("part"))
        else {
            return ("400 Bad Request", Vec::new());
        };
        let before = request.query_number("before").unwrap_or(0);
        let mut state = self.lock();
        let partition = state.topics.entry((topic, part as usize)).or_default();
        let mut freed = 0;
        while partition.first < before && !partition.records.is_empty() {
            freed += partition.drop_first();
        }
        state.stored_bytes -= freed;
        ("200 OK", b"{}".to_vec())
    }
}

/// Adds records, and drops the oldest of the partition that have expired or are beyond its size.
fn add(state: &mut State, figures: &Figures, topic: &str, part: usize, records: Vec<Vec<u8>>) {
    let is_keyed = topic.starts_with("keyed.");
    let now = Instant::now();
    let partition = state.topics.entry((topic.to_owned(), part)).or_default();
    let mut added = 0;
    for record in records {
        let offset = partition.end();
        if is_keyed {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            match value.is_empty() {
                true => partition.newest.remove(key),
                false => partition
                    .newest
                    .insert(key.to_vec(), (offset, value.to_vec())),
            };
        }
        added += record.len();
        partition.bytes += record.len();
        partition.records.push_back(Record {
            bytes: record.into(),
            at: now,
        });
    }
    let mut dropped = 0;
    while partition
        .records
        .front()
        .is_some_and(|record| now - record.at > figures.retention)
        || partition.bytes > figures.part_bytes
    {
        dropped += partition.drop_first();
    }
    state.stored_bytes = state.stored_bytes + added - dropped;
}

fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}
