//! Clients of batch jobs, by the section "Batch jobs" of PROTOCOL.md, and the checks of RULES.md on what they see.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::base64;
use crate::servers::Seen;
use crate::servers::Work;
use crate::servers::whole_text;

pub const HOST: &str = "ficu95.example";
/// `target_latency_ms` of the route, and what clients wait beyond what they allow.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(4000 + 1500);
const READ_TIMEOUT: Duration = Duration::from_millis(1000 + 1500);
const ATTEMPTS: usize = 4;

/// What a job is made of.
#[derive(Clone)]
pub struct Shape {
    pub items: usize,
    pub body_bytes: usize,
    /// Tokens of the prompt, and the most that are made.
    pub tokens: (u64, u64),
}

#[derive(Default)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    /// Statuses of the attempts to submit it; 0 stands for no answer.
    pub answers: Vec<u16>,
    pub accepted: Option<Instant>,
    /// Results by position: the item, its state and its text.
    pub results: Vec<(String, String, String)>,
    pub faults: Vec<String>,
}

impl Job {
    pub fn is_complete(&self) -> bool {
        self.results.len() >= self.items.len()
    }
}

/// The gateways that a client may reach.
pub type Fronts = Arc<Mutex<Vec<SocketAddr>>>;

pub struct Clients {
    pub fronts: Fronts,
    pub jobs: Mutex<Vec<Arc<Mutex<Job>>>>,
    pub work: Work,
    random: Mutex<u64>,
    /// Statuses of the answers to reads; 0 stands for none in time.
    statuses: Mutex<HashMap<u16, usize>>,
}

impl Clients {
    pub fn new(fronts: Fronts, work: Work) -> Clients {
        Clients {
            fronts,
            jobs: Mutex::default(),
            work,
            random: Mutex::new(0x9e37_79b9_7f4a_7c15),
            statuses: Mutex::default(),
        }
    }

    pub fn random(&self) -> u64 {
        let mut state = self.random.lock().expect("random numbers");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        *state
    }

    pub fn front(&self) -> SocketAddr {
        let index = self.random();
        let fronts = self.fronts.lock().expect("the fronts");
        fronts[index as usize % fronts.len()]
    }

    /// Submits a new job, again at another node after each answer that is no 202.
    pub fn submit(&self, shape: &Shape) -> Arc<Mutex<Job>> {
        let id = format!("{:016x}", self.random());
        let items: Vec<String> = (0..shape.items)
            .map(|_| format!("{:016x}", self.random()))
            .collect();
        let entries: Vec<String> = items
            .iter()
            .map(|item| {
                let mut body = item.clone().into_bytes();
                while body.len() < shape.body_bytes {
                    body.extend_from_slice(&self.random().to_le_bytes());
                }
                body.truncate(shape.body_bytes);
                let part = &item[..8];
                let (prompt, output) = shape.tokens;
                format!(
                    "{{\"id\":\"{item}\",\"path\":\"/pule252/3/{part}\",\"headers\":{{\"X-Bambooroute-Model\":\"m\",\
                     \"X-Bambooroute-Token-Usage\":\"{prompt},{output}\",\"X-Bambooroute-Prompt-Prefix\":\"9c2e41:100,{part}:{}\"}},\
                     \"body\":\"{}\",\"tokens\":{}}}",
                    prompt - 100,
                    base64(&body),
                    prompt + output
                )
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", entries.join(","));
        let job = Arc::new(Mutex::new(Job {
            id: id.clone(),
            items,
            ..Job::default()
        }));
        self.jobs.lock().expect("the jobs").push(Arc::clone(&job));
        let headers = format!(
            "Host: {HOST}\r\nX-Bambooroute-Request-Id: {id}\r\nContent-Type: application/json\r\n"
        );
        for _ in 0..ATTEMPTS {
            let target = format!("/pule252/{}", &id[..6]);
            let answer = http::call(
                self.front(),
                "POST",
                &target,
                &headers,
                body.as_bytes(),
                SUBMIT_TIMEOUT,
            );
            let status = answer.as_ref().map_or(0, http::Message::status);
            let mut known = job.lock().expect("a job");
            known.answers.push(status);
            if status == 202 {
                known.accepted = Some(Instant::now());
                break;
            }
            drop(known);
            let wait = answer.and_then(|answer| answer.header("retry-after")?.parse().ok());
            std::thread::sleep(Duration::from_secs_f64(
                wait.unwrap_or(0.3f64).clamp(0.05, 1.0),
            ));
        }
        job
    }

    /// Reads the next results of a job at a node. Returns the status, 0 if there was no answer.
    pub fn read(&self, front: SocketAddr, job: &Mutex<Job>, waits: bool) -> u16 {
        let status = self.read_page(front, job, waits);
        *self
            .statuses
            .lock()
            .expect("the statuses")
            .entry(status)
            .or_default() += 1;
        status
    }

    pub fn reads(&self) -> String {
        let statuses = self.statuses.lock().expect("the statuses");
        let mut statuses: Vec<(u16, usize)> = statuses
            .iter()
            .map(|(status, count)| (*status, *count))
            .collect();
        statuses.sort();
        statuses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect::<Vec<_>>()
            .join(", ")
    }

    fn read_page(&self, front: SocketAddr, job: &Mutex<Job>, waits: bool) -> u16 {
        let (id, after) = {
            let job = job.lock().expect("a job");
            (job.id.clone(), job.results.len())
        };
        let target = format!("/lots/{id}?after={after}");
        let waits = if waits {
            "X-Bambooroute-Wait-Ms: 1000\r\n"
        } else {
            ""
        };
        let headers = format!("Host: {HOST}\r\n{waits}");
        let Some(answer) = http::call(front, "GET", &target, &headers, b"", READ_TIMEOUT) else {
            return 0;
        };
        if answer.status() != 200 {
            return answer.status();
        }
        let mut job = job.lock().expect("a job");
        let Some(page) = Json::parse(&answer.body) else {
            job.faults
                .push("MIXED: a page of results can't be read".to_owned());
            return 200;
        };
        if page.get("total").number() as usize != job.items.len() {
            job.faults.push("MIXED: total is wrong".to_owned());
        }
        for (index, result) in page.get("results").list().iter().enumerate() {
            let field = |name: &str| result.get(name).text().to_owned();
            let result = (field("id"), field("state"), field("text"));
            let position = after + index;
            match job.results.get(position) {
                Some(known) if *known != result => job.faults.push(format!(
                    "TWICE: position {position} holds another result than before"
                )),
                Some(_) => {}
                None if position == job.results.len() => self.add_result(&mut job, result),
                None => {}
            }
        }
        200
    }

    fn add_result(&self, job: &mut Job, result: (String, String, String)) {
        if !job.items.contains(&result.0) {
            job.faults
                .push(format!("MIXED: {} is an item of another job", result.0));
        }
        if job.results.iter().any(|(item, _, _)| *item == result.0) {
            job.faults
                .push(format!("TWICE: {} stands at two positions", result.0));
        }
        if result.1 == "done" && result.2 != whole_text(&result.0, &self.work) {
            job.faults.push(format!(
                "MIXED: the text of {} is not its whole output",
                result.0
            ));
        }
        job.results.push(result);
    }

    /// Reads open jobs about twice a second from several threads, each asking to wait for results if `waits`.
    pub fn follow(
        self: &Arc<Self>,
        threads: usize,
        waits: bool,
        is_over: Arc<dyn Fn() -> bool + Send + Sync>,
    ) -> Vec<std::thread::JoinHandle<()>> {
        let follow = |thread: usize| {
            let (clients, is_over) = (Arc::clone(self), Arc::clone(&is_over));
            std::thread::spawn(move || {
                while !is_over() {
                    let round = Instant::now();
                    let jobs: Vec<Arc<Mutex<Job>>> = clients
                        .jobs
                        .lock()
                        .expect("the jobs")
                        .iter()
                        .skip(thread)
                        .step_by(threads)
                        .cloned()
                        .collect();
                    for job in jobs {
                        let is_open = {
                            let job = job.lock().expect("a job");
                            job.accepted.is_some() && !job.is_complete()
                        };
                        if is_open && !is_over() {
                            clients.read(clients.front(), &job, waits);
                        }
                    }
                    std::thread::sleep(Duration::from_millis(500).saturating_sub(round.elapsed()));
                }
            })
        };
        (0..threads).map(follow).collect()
    }

    /// Reads what is left of the jobs that are not complete, each until a page brings nothing new or the time is up.
    pub fn read_rest(self: &Arc<Self>, timeout: Duration) {
        let open = self
            .accepted()
            .into_iter()
            .filter(|job| !job.lock().expect("a job").is_complete());
        let open: Arc<Mutex<Vec<_>>> = Arc::new(Mutex::new(open.collect()));
        let until = Instant::now() + timeout;
        let threads: Vec<_> = (0..16)
            .map(|_| {
                let (clients, open) = (Arc::clone(self), Arc::clone(&open));
                std::thread::spawn(move || {
                    while let Some(job) = { open.lock().expect("the open jobs").pop() } {
                        loop {
                            let before = job.lock().expect("a job").results.len();
                            let status = clients.read(clients.front(), &job, false);
                            let has_more = job.lock().expect("a job").results.len() > before;
                            if (status == 200 && !has_more) || Instant::now() > until {
                                break;
                            }
                        }
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| drop(thread.join()));
    }

    pub fn accepted(&self) -> Vec<Arc<Mutex<Job>>> {
        let jobs = self.jobs.lock().expect("the jobs");
        jobs.iter()
            .filter(|job| job.lock().expect("a job").accepted.is_some())
            .cloned()
            .collect()
    }
}

/// Items of a job that are not listed.
pub fn unlisted(job: &Job) -> Vec<String> {
    let listed: HashSet<&String> = job.results.iter().map(|(item, _, _)| item).collect();
    job.items
        .iter()
        .filter(|item| !listed.contains(item))
        .cloned()
        .collect()
}

/// Waits until the conditions hold under which an unlisted item counts as lost: for 5 s the servers were under half full, and for
/// 3 s no item was finished. Returns whether they do within the time.
pub fn wait_for_calm(seen: &Mutex<Seen>, slots: usize, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    let mut calm_since = Instant::now();
    while Instant::now() < until {
        let now = Instant::now();
        {
            let seen = seen.lock().expect("what was seen");
            let has_finished = seen
                .last_finished
                .is_some_and(|at| now - at < Duration::from_secs(3));
            if 2 * seen.active >= slots || has_finished {
                calm_since = now;
            }
        }
        if now - calm_since >= Duration::from_secs(5) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Whether a server has had an item within the last 5 s.
pub fn was_at_server_lately(seen: &Mutex<Seen>, item: &str) -> bool {
    let now = Instant::now();
    let seen = seen.lock().expect("what was seen");
    let runs = seen.runs.get(item).into_iter().flatten();
    runs.into_iter()
        .any(|run| run.ended.is_none_or(|at| now - at < Duration::from_secs(5)))
}

/// Lines of a record: what was sent of each job, answered and run.
pub fn describe(jobs: &[Arc<Mutex<Job>>], seen: &Mutex<Seen>, begin: Instant) -> Vec<String> {
    let seen = seen.lock().expect("what was seen");
    let describe = |job: &Arc<Mutex<Job>>| {
        let job = job.lock().expect("a job");
        let runs: Vec<_> = job
            .items
            .iter()
            .filter_map(|item| seen.runs.get(item))
            .collect();
        let whole = runs
            .iter()
            .filter(|runs| runs.iter().any(|run| run.is_whole))
            .count();
        let last = runs
            .iter()
            .flat_map(|runs| runs.iter())
            .filter_map(|run| run.ended)
            .max();
        format!(
            "job {}: {} items; answers to its submission {:?}, accepted at {:.2}; items at servers {}, runs {}, finished {whole}, last run \
             ended at {:.2}; results that its client has {}",
            job.id,
            job.items.len(),
            job.answers,
            job.accepted.map_or(-1.0, |at| (at - begin).as_secs_f64()),
            runs.len(),
            runs.iter().map(|runs| runs.len()).sum::<usize>(),
            last.map_or(-1.0, |at| (at - begin).as_secs_f64()),
            job.results.len()
        )
    };
    jobs.iter().map(describe).collect()
}

/// Counts of words, for a record.
pub fn count(words: impl Iterator<Item = String>) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for word in words {
        *counts.entry(word).or_default() += 1;
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort();
    counts
        .iter()
        .map(|(word, count)| format!("{word}: {count}"))
        .collect::<Vec<_>>()
        .join(", ")
}
