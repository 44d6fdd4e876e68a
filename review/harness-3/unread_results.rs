//! Batch jobs come in bursts, and their clients read the results.

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

const GATEWAYS: usize = 2;
/// Batch jobs a second on the sheet of cppac-shared.
const JOBS_PER_S: f64 = 1.03;
const TRAFFIC_S: f64 = 20.0;
/// The bursts of that site file: six times the jobs, for 3 s.
const BURST_X: f64 = 6.0;
const BURST_S: f64 = 3.0;
const BURSTS_AT: [f64; 2] = [3.0, 10.0];
/// `finish_s`.
const FINISH_S: f64 = 18.0;

pub fn play(scene: &mut Scene, has_trouble: bool) -> Verdict {
    let shape = Shape {
        items: 200,
        body_bytes: 200,
        tokens: (350, 90),
    };
    let size = Size {
        memory_mb: vec![88; GATEWAYS],
        spare_mb: Vec::new(),
        servers: 40,
        max_queued: 9_000_000,
        has_plain: false,
        figures: Figures {
            writes_per_s: 1500.0,
            reads_per_s: 6000.0,
            ..Figures::default()
        },
        work: Work {
            slots: 7,
            queue: 24,
            events: 25,
            event_bytes: 80,
            event_interval: Duration::from_millis(16),
        },
    };
    let deployment = match Deployment::start(scene, &size) {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::NotRun(why),
    };
    let begin = Instant::now();
    let times = submission_times(has_trouble);
    let count_of_jobs = times.len();
    let times = Arc::new(Mutex::new(VecDeque::from(times)));
    let is_over = Arc::new(AtomicBool::new(false));
    let over = Arc::clone(&is_over);
    // One client a job.
    let readers = deployment.clients.follow(
        count_of_jobs,
        true,
        Arc::new(move || over.load(Ordering::Relaxed)),
    );
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
    submitters
        .into_iter()
        .for_each(|thread| drop(thread.join()));
    let accepted = deployment.clients.accepted();
    let answers: Vec<u16> = deployment
        .clients
        .jobs
        .lock()
        .expect("the jobs")
        .iter()
        .flat_map(|job| job.lock().expect("a job").answers.clone())
        .collect();
    scene.note(&format!(
        "{} of {count_of_jobs} jobs of {} items were accepted; answers: {}",
        accepted.len(),
        shape.items,
        count(answers.iter().map(u16::to_string))
    ));
    let traffic_end = scene.started.elapsed().as_secs_f64();
    let note_progress = || {
        let open = accepted
            .iter()
            .filter(|job| !job.lock().expect("a job").is_complete())
            .count();
        let listed: usize = accepted
            .iter()
            .map(|job| job.lock().expect("a job").results.len())
            .sum();
        let finished = {
            let seen = deployment.seen.lock().expect("what was seen");
            seen.runs
                .values()
                .filter(|runs| runs.iter().any(|run| run.is_whole))
                .count()
        };
        scene.note(&format!("{open} jobs are open; clients have {listed} results; servers have finished {finished} items"));
    };
    for step in 1..=10 {
        scene.sleep_until(traffic_end + f64::from(step) * 5.0);
        note_progress();
    }
    scene.sleep_until(traffic_end + FINISH_S);
    let is_calm = wait_for_calm(&deployment.seen, deployment.slots, Duration::from_secs(30));
    std::thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    readers.into_iter().for_each(|thread| drop(thread.join()));
    note_progress();
    deployment.note_memory(scene);
    let reads = deployment.clients.reads();
    scene.note(&format!("answers to reads: {reads}"));
    let (mut lost_items, mut lost_jobs, mut finished) = (0, 0, 0);
    let mut faults = Vec::new();
    for job in &accepted {
        let job = job.lock().expect("a job");
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
        finished += open
            .iter()
            .filter(|item| {
                seen.runs
                    .get(*item)
                    .is_some_and(|runs| runs.iter().any(|run| run.is_whole))
            })
            .count();
        if lost_jobs <= 5 {
            scene.note(&format!(
                "LOST: of job {} {} of {} items are listed",
                job.id,
                job.results.len(),
                job.items.len()
            ));
        }
    }
    faults.iter().take(5).for_each(|fault| scene.note(fault));
    scene.note(&format!("{lost_items} items of {lost_jobs} accepted jobs are not listed, {finished} of which servers have finished; calm: {is_calm}"));
    scene.record_jobs(&deployment);
    match lost_items + faults.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn submission_times(has_trouble: bool) -> Vec<f64> {
    let mut times: Vec<f64> = (0..(JOBS_PER_S * TRAFFIC_S) as usize)
        .map(|index| index as f64 / JOBS_PER_S)
        .collect();
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
