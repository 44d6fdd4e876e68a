//! Batch jobs in bursts until the store holds its 400 MB.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::jobs::Shape;
use crate::jobs::count;
use crate::jobs::unlisted;
use crate::jobs::wait_for_calm;
use crate::jobs::was_at_server_lately;
use crate::scene::Deployment;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::servers::Work;
use crate::store::Figures;

/// Of the sheet of raa-ranking-large: batch jobs a second.
const JOBS_PER_S: f64 = 12.6;
const TRAFFIC_S: f64 = 40.0;
/// The bursts of that site file: six times the jobs, for 3 s.
const BURST_X: f64 = 6.0;
const BURST_S: f64 = 3.0;
const BURSTS_AT: [f64; 6] = [3.0, 9.0, 15.0, 21.0, 27.0, 33.0];
/// `finish_s`.
const FINISH_S: f64 = 18.0;

pub fn play(scene: &mut Scene, has_trouble: bool) -> Verdict {
    // Of the site file: 10 items a batch job, 80 events of 140 B an item. Its batch jobs have 570,000 B at most; these have 150,000 B.
    let shape = Shape {
        items: 10,
        body_bytes: 15_000,
        tokens: (350, 90),
    };
    let size = Size {
        memory_mb: vec![290; 4],
        spare_mb: Vec::new(),
        servers: 48,
        max_queued: 24_000_000,
        has_plain: false,
        figures: Figures {
            writes_per_s: 4000.0,
            reads_per_s: 16000.0,
            ..Figures::default()
        },
        work: Work {
            slots: 7,
            queue: 24,
            events: 80,
            event_bytes: 140,
            event_interval: Duration::from_millis(14),
        },
    };
    let deployment = match Deployment::start(scene, &size) {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::NotRun(why),
    };
    let begin = Instant::now();
    let times: VecDeque<f64> = submission_times(has_trouble).into();
    scene.note(&format!(
        "{} batch jobs are submitted in {TRAFFIC_S} s",
        times.len()
    ));
    let times = Arc::new(Mutex::new(times));
    let is_over = Arc::new(AtomicBool::new(false));
    let over = Arc::clone(&is_over);
    let readers =
        deployment
            .clients
            .follow(48, false, Arc::new(move || over.load(Ordering::Relaxed)));
    let submitters: Vec<_> = (0..32)
        .map(|_| {
            let (times, clients, shape) = (
                Arc::clone(&times),
                Arc::clone(&deployment.clients),
                shape.clone(),
            );
            std::thread::spawn(move || {
                while let Some(at) = { times.lock().expect("the times").pop_front() } {
                    let at = begin + Duration::from_secs_f64(at);
                    std::thread::sleep(at.saturating_duration_since(Instant::now()));
                    clients.submit(&shape);
                }
            })
        })
        .collect();
    let traffic_end = scene.started.elapsed().as_secs_f64() + TRAFFIC_S;
    let mut is_full = false;
    for step in 1..=8 {
        scene.sleep_until(traffic_end - TRAFFIC_S + f64::from(step) * 5.0);
        let (stored, refused) = deployment.store.fill();
        scene.note(&format!(
            "the store holds {} MB; it has refused {refused} appends with 507",
            stored / 1_000_000
        ));
        is_full |= refused > 0;
    }
    submitters
        .into_iter()
        .for_each(|thread| drop(thread.join()));
    scene.sleep_until(traffic_end + FINISH_S);
    let is_calm = wait_for_calm(&deployment.seen, deployment.slots, Duration::from_secs(25));
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    readers.into_iter().for_each(|thread| drop(thread.join()));
    deployment.clients.read_rest(Duration::from_secs(10));
    scene.note(&format!("answers to reads: {}", deployment.clients.reads()));
    let (stored, refused) = deployment.store.fill();
    is_full |= refused > 0;
    scene.note(&format!(
        "the store holds {} MB; it has refused {refused} appends with 507; calm: {is_calm}",
        stored / 1_000_000
    ));
    deployment.note_memory(scene);
    judge(scene, &deployment, is_calm, is_full)
}

fn submission_times(has_trouble: bool) -> Vec<f64> {
    let usual = (0..(JOBS_PER_S * TRAFFIC_S) as usize).map(|index| index as f64 / JOBS_PER_S);
    let mut times: Vec<f64> = usual.collect();
    if has_trouble {
        let further = JOBS_PER_S * (BURST_X - 1.0);
        for burst in BURSTS_AT {
            times.extend(
                (0..(further * BURST_S) as usize).map(|index| burst + index as f64 / further),
            );
        }
    }
    times.sort_by(f64::total_cmp);
    times
}

fn judge(scene: &Scene, deployment: &Deployment, is_calm: bool, is_full: bool) -> Verdict {
    let accepted = deployment.clients.accepted();
    let all = deployment.clients.jobs.lock().expect("the jobs").len();
    let answers = deployment
        .clients
        .jobs
        .lock()
        .expect("the jobs")
        .iter()
        .flat_map(|job| job.lock().expect("a job").answers.clone())
        .collect::<Vec<_>>();
    scene.note(&format!(
        "{} of {all} jobs were accepted; answers: {}",
        accepted.len(),
        count(answers.iter().map(u16::to_string))
    ));
    let (mut lost_items, mut lost_jobs, mut done, mut finished_lost) = (0, 0, 0, 0);
    let mut faults = Vec::new();
    for job in &accepted {
        let job = job.lock().expect("a job");
        done += job.results.len();
        faults.extend(job.faults.clone());
        let open = unlisted(&job);
        if open.is_empty()
            || !is_calm
            || open
                .iter()
                .any(|item| was_at_server_lately(&deployment.seen, item))
        {
            continue;
        }
        lost_jobs += 1;
        lost_items += open.len();
        let seen = deployment.seen.lock().expect("what was seen");
        finished_lost += open
            .iter()
            .filter(|item| {
                seen.runs
                    .get(*item)
                    .is_some_and(|runs| runs.iter().any(|run| run.is_whole))
            })
            .count();
        if lost_jobs <= 5 {
            scene.note(&format!(
                "LOST: job {} has {} of {} items listed",
                job.id,
                job.results.len(),
                job.items.len()
            ));
        }
    }
    faults.iter().take(5).for_each(|fault| scene.note(fault));
    scene.note(&format!("{done} items are listed; {lost_items} items of {lost_jobs} accepted jobs are not, {finished_lost} of which servers have finished"));
    if !is_full && lost_items == 0 {
        scene.note("the store never refused an append for want of space");
    }
    scene.record_jobs(deployment);
    match lost_items + faults.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
