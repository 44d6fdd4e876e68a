//! The cases.

use std::io;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::Signal;
use crate::http::Call;
use crate::http::Channel;
use crate::scene::HOST;
use crate::scene::Plan;
use crate::scene::Record;
use crate::scene::STREAM_PREFIX;
use crate::scene::Scene;
use crate::scene::manifest;
use crate::scene::page_results;
use crate::scene::usual_routes;
use crate::server::Work;

/// Time for which a machine freezes.
const FREEZE_TIME: Duration = Duration::from_millis(3500);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// `finish_s` of the sheets (18 s), after the time in which a machine is not in touch (`stable_ms`, 3 s), and some more.
const FINISH_TIME: Duration = Duration::from_secs(24);

/// Streams that are sent late, each on a channel of its own.
const LATE_STREAMS: usize = 12;
/// Events of a stream that lasts 4.6 s, which is within its deadline.
const LONG_STREAM_EVENTS: u64 = 184;
/// Time after the signal at which they are sent.
const LATE_AFTER: Duration = Duration::from_millis(3080);

/// Outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotPlayed,
}

/// Plays a case.
pub fn play(case: &str, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(record)?;
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let plays: fn(&Record, bool) -> io::Result<Verdict> = match case {
        "removed-route" => removed_route,
        "kept-shard" => kept_shard,
        "blocked-shard" => blocked_shard,
        "late-stream" => late_stream,
        _ => return Ok(Verdict::NotPlayed),
    };
    let verdict = plays(&record, has_trouble)?;
    record.line(&format!("verdict: {verdict:?}"));
    Ok(verdict)
}

fn usual_work() -> Work {
    Work {
        slots: 8,
        events: 40,
        event_time: Duration::from_millis(15),
        answer_time: Duration::from_millis(60),
        garbled_id: String::new(),
    }
}

fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|item| format!("{job}{item:02x}")).collect()
}

/// Reads a job from the start until all items have results. Returns the number of those that came.
fn read_until_complete(
    scene: &Scene,
    gateway: usize,
    job: &str,
    items: usize,
    timeout: Duration,
) -> usize {
    let deadline = Instant::now() + timeout;
    let mut most = 0;
    while most < items && Instant::now() < deadline {
        let page = scene.read(gateway, job, 0);
        if let Some(results) = page
            .filter(|page| page.status == 200)
            .and_then(|page| page_results(&page))
        {
            most = most.max(results.len());
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    most
}

/// A manifest removes the route of batch jobs that have been accepted.
fn removed_route(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        gateways: 3,
        model_servers: 2,
        app_servers: 1,
        work: usual_work(),
        manifest: manifest(1, &usual_routes()),
    };
    let Some(scene) = Scene::start(record.clone(), &plan)? else {
        return Ok(Verdict::NotPlayed);
    };
    let started = Instant::now();
    let job = "7c41e09b52d6a3f8";
    let accepted = scene.submit(0, job, &item_ids(job, 10));
    if accepted.is_none_or(|response| response.status != 202) {
        return Ok(Verdict::NotPlayed);
    }
    let before = read_until_complete(&scene, 1, job, 10, Duration::from_secs(20));
    if before < 10 {
        return Ok(Verdict::NotPlayed);
    }
    if has_trouble {
        record.line("the manifest changes: version 4 has no route of batch jobs any more");
        scene
            .store
            .put("keyed.op", "config", &manifest(4, &usual_routes()[1..]));
    }
    std::thread::sleep(Duration::from_secs(6));
    let mut gone = 0;
    for round in 0..6 {
        let gateway = round % scene.gateways.len();
        let read = scene.read(gateway, job, 0);
        let is_gone = read.is_some_and(|response| matches!(response.status, 404 | 410));
        gone += usize::from(is_gone);
        std::thread::sleep(Duration::from_millis(500));
    }
    scene.record_runs();
    let age = started.elapsed().as_secs();
    record.line(&format!(
        "{gone} of 6 reads were answered with 404 or 410, {age} s after the job was accepted"
    ));
    Ok(match gone {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// A gateway stands still while another one owns its partitions, accepts jobs for them, and leaves for good as planned.
fn kept_shard(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        gateways: 2,
        model_servers: 3,
        app_servers: 1,
        work: usual_work(),
        manifest: manifest(1, &usual_routes()),
    };
    let Some(mut scene) = Scene::start(record.clone(), &plan)? else {
        return Ok(Verdict::NotPlayed);
    };
    let began = Instant::now();
    if has_trouble {
        record.line("gateway 1 freezes");
        scene.gateways[0].signal(Signal::Stop);
    }
    // The memberships last 1.6 s.
    sleep_until(began + Duration::from_millis(2300));
    let jobs =
        (0..16u32).map(|number| format!("{:08x}{number:08x}", number.wrapping_mul(2_654_435_761)));
    let mut accepted = Vec::new();
    for job in jobs {
        let response = scene.submit(1, &job, &item_ids(&job, 2));
        if response.is_some_and(|response| response.status == 202) {
            accepted.push(job);
        }
    }
    record.line(&format!(
        "{} jobs were accepted; partitions by member: {:?}",
        accepted.len(),
        scene.store.holders()
    ));
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("gateway 2 gets SIGTERM, and is removed");
        scene.gateways[1].signal(Signal::Terminate);
    }
    sleep_until(began + FREEZE_TIME);
    if has_trouble {
        record.line("gateway 1 goes on");
        scene.gateways[0].signal(Signal::Continue);
        if !scene.gateways[1].wait_for_end(GRACE.saturating_sub(stopped_at.elapsed())) {
            record.line("gateway 2 gets SIGKILL");
            scene.gateways[1].signal(Signal::Kill);
        }
    }
    record.line("calm from here on");
    let finish = Instant::now() + FINISH_TIME;
    let mut open = accepted.clone();
    while !open.is_empty() && Instant::now() < finish {
        open.retain(|job| {
            let page = scene.read(0, job, 0).filter(|page| page.status == 200);
            let results = page.as_ref().and_then(page_results);
            results.is_none_or(|results| results.len() < 2)
        });
        std::thread::sleep(Duration::from_secs(1));
    }
    scene.record_runs();
    record.line(&format!(
        "partitions by member: {:?}",
        scene.store.holders()
    ));
    record.line(&format!(
        "{} accepted jobs are not finished or cannot be read: {open:?}",
        open.len()
    ));
    Ok(match (accepted.is_empty(), open.is_empty()) {
        (true, _) => Verdict::NotPlayed,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::Broken,
    })
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A model server hands out wrong bytes as the answer to one item; jobs beside it are not finished.
fn blocked_shard(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let jobs: Vec<String> = job_ids(90);
    let garbled_id = match has_trouble {
        true => item_ids(&jobs[0], 1)[0].clone(),
        false => String::new(),
    };
    let plan = Plan {
        gateways: 3,
        model_servers: 3,
        app_servers: 1,
        work: Work {
            garbled_id,
            ..usual_work()
        },
        manifest: manifest(1, &usual_routes()),
    };
    let Some(scene) = Scene::start(record.clone(), &plan)? else {
        return Ok(Verdict::NotPlayed);
    };
    let mut accepted = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        let response = scene.submit(number % 3, job, &item_ids(job, 1));
        if response.is_some_and(|response| response.status == 202) {
            accepted.push(job.clone());
        }
    }
    record.line(&format!(
        "{} of {} jobs were accepted",
        accepted.len(),
        jobs.len()
    ));
    // What becomes of the item whose answer was garbled does not count.
    let mut open: Vec<String> = accepted
        .iter()
        .filter(|job| **job != jobs[0])
        .cloned()
        .collect();
    let finish = Instant::now() + FINISH_TIME;
    while !open.is_empty() && Instant::now() < finish {
        open.retain(|job| {
            let page = scene.read(0, job, 0).filter(|page| page.status == 200);
            let results = page.as_ref().and_then(page_results);
            results.is_none_or(|results| results.is_empty())
        });
        std::thread::sleep(Duration::from_secs(1));
    }
    scene.record_runs();
    record.line(&format!(
        "{} accepted jobs have no result: {open:?}",
        open.len()
    ));
    Ok(match (accepted.is_empty(), open.is_empty()) {
        (true, _) => Verdict::NotPlayed,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::Broken,
    })
}

/// Identifiers of jobs, the same in each run.
fn job_ids(count: u32) -> Vec<String> {
    (0..count)
        .map(|number| format!("{:08x}{number:08x}", number.wrapping_mul(2_654_435_761)))
        .collect()
}

/// A stream by its identifier, with this many tokens at most.
fn stream_call(id: &str, tokens: u64) -> Call {
    Call::new("POST", &format!("{STREAM_PREFIX}2f"))
        .header("Host", HOST)
        .header("X-Bambooroute-Request-Id", id)
        .header("X-Bambooroute-Model", "m")
        .header("X-Bambooroute-Token-Usage", &format!("250,{tokens}"))
        .header(
            "X-Bambooroute-Prompt-Prefix",
            &format!("5c1e07a2:100,{id}:250"),
        )
        .header("X-Bambooroute-Deadline-Ms", "5000")
        .body(id.as_bytes())
}

/// What became of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The whole answer came.
    Whole,
    /// The gateway said that it did not run.
    Refused,
    /// The channel ended without a complete answer.
    Cut,
}

/// A gateway is stopped as planned, in calm; streams that it takes late are cut.
fn late_stream(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        gateways: 2,
        model_servers: 3,
        app_servers: 1,
        work: Work {
            events: LONG_STREAM_EVENTS,
            event_time: Duration::from_millis(25),
            ..usual_work()
        },
        manifest: manifest(1, &usual_routes()),
    };
    let Some(mut scene) = Scene::start(record.clone(), &plan)? else {
        return Ok(Verdict::NotPlayed);
    };
    let address = scene.gateways[0].front();
    // Each channel has carried a stream of the usual length before.
    let opened: Vec<_> = (0..LATE_STREAMS)
        .map(|number| {
            std::thread::spawn(move || {
                let mut channel = Channel::open(address)?;
                let call = stream_call(&format!("5a0{number:013x}"), 20);
                let response = channel.send(&call, Duration::from_secs(5))?;
                Ok::<_, io::Error>((response.status == 200 && response.is_whole).then_some(channel))
            })
        })
        .collect();
    let mut channels = Vec::new();
    for channel in opened {
        match channel.join() {
            Ok(Ok(Some(channel))) => channels.push(channel),
            _ => return Ok(Verdict::NotPlayed),
        }
    }
    record.line(&format!(
        "{} channels have carried a stream of 0.5 s each",
        channels.len()
    ));
    // Calm for `stable_ms`.
    std::thread::sleep(Duration::from_secs(4));
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("gateway 1 gets SIGTERM");
        scene.gateways[0].signal(Signal::Terminate);
    }
    sleep_until(stopped_at + LATE_AFTER);
    let sent: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(number, mut channel)| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("1a7e{number:012x}");
                let sent_at = Instant::now();
                let answer = channel.send(
                    &stream_call(&id, LONG_STREAM_EVENTS),
                    Duration::from_secs(6),
                );
                let end = match &answer {
                    Ok(response) if response.is_whole && response.status == 200 => StreamEnd::Whole,
                    Ok(response) if response.is_whole => StreamEnd::Refused,
                    _ => StreamEnd::Cut,
                };
                let said = answer.map(|response| {
                    let events = response.text().matches("id: ").count();
                    format!(
                        "{} with {events} of {LONG_STREAM_EVENTS} events",
                        response.status
                    )
                });
                record.line_at(
                    sent_at,
                    &format!(
                        "stream {id} sent {} ms after the signal -> {end:?} after {} ms: {said:?}",
                        sent_at.saturating_duration_since(stopped_at).as_millis(),
                        sent_at.elapsed().as_millis()
                    ),
                );
                (id, end)
            })
        })
        .collect();
    let ends: Vec<(String, StreamEnd)> = sent
        .into_iter()
        .filter_map(|sent| sent.join().ok())
        .collect();
    if has_trouble && !scene.gateways[0].wait_for_end(GRACE.saturating_sub(stopped_at.elapsed())) {
        record.line("gateway 1 gets SIGKILL");
        scene.gateways[0].signal(Signal::Kill);
    }
    scene.record_runs();
    let has_run = |id: &str| {
        let mut servers = scene.models.iter();
        servers.any(|server| server.runs().iter().any(|run| run.id == id && run.has_run))
    };
    let cut = ends
        .iter()
        .filter(|(id, end)| *end == StreamEnd::Cut && has_run(id))
        .count();
    let whole = ends
        .iter()
        .filter(|(_, end)| *end == StreamEnd::Whole)
        .count();
    record.line(&format!(
        "of {} streams {whole} were whole, {cut} were passed on and ended without a complete answer",
        ends.len()
    ));
    Ok(match (cut, has_trouble || whole == ends.len()) {
        (0, true) => Verdict::Held,
        (0, false) => Verdict::NotPlayed,
        _ => Verdict::Broken,
    })
}
