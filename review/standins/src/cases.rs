//! The cases.

use std::io;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::Signal;
use crate::scene::Plan;
use crate::scene::Record;
use crate::scene::Scene;
use crate::scene::manifest;
use crate::scene::page_results;
use crate::scene::usual_routes;
use crate::server::Work;

/// Time for which a machine freezes.
const FREEZE_TIME: Duration = Duration::from_secs(4);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// `finish_s` of the sheets (18 s), after the time in which a machine is not in touch (`stable_ms`, 3 s), and some more.
const FINISH_TIME: Duration = Duration::from_secs(24);

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
