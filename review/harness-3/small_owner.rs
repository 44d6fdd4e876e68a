//! A small machine is added beside a large one that holds many accepted jobs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::jobs::Job;
use crate::jobs::Shape;
use crate::jobs::count;
use crate::scene::Deployment;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::servers::Work;
use crate::store::Figures;

/// Of the sheet of cppac-shared-grown: machines of 88 to 512 MB, 5.9 batch jobs a second, 9,000,000 tokens may wait.
const LARGE_MB: u64 = 512;
const SMALL_MB: u64 = 88;
const JOBS_PER_S: f64 = 5.9;
const MAX_QUEUED: u64 = 9_000_000;
const JOBS: usize = 180;
/// `finish_s`.
const FINISH_S: f64 = 18.0;
/// Time for which a job is read again after each failure, at the end of the day.
const READ_AGAIN: Duration = Duration::from_secs(15);

pub fn play(scene: &mut Scene, has_trouble: bool) -> Verdict {
    let shape = Shape {
        items: 200,
        body_bytes: 100,
        tokens: (160, 40),
    };
    let size = Size {
        memory_mb: vec![LARGE_MB],
        spare_mb: vec![SMALL_MB],
        servers: 30,
        max_queued: MAX_QUEUED,
        has_plain: false,
        figures: Figures {
            writes_per_s: 1500.0,
            reads_per_s: 6000.0,
            ..Figures::default()
        },
        work: Work {
            slots: 7,
            queue: 24,
            events: 40,
            event_bytes: 80,
            event_interval: Duration::from_millis(40),
        },
    };
    let mut deployment = match Deployment::start(scene, &size) {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::NotRun(why),
    };
    let begin = Instant::now();
    let times: VecDeque<f64> = (0..JOBS).map(|index| index as f64 / JOBS_PER_S).collect();
    let times = Arc::new(Mutex::new(times));
    let is_over = Arc::new(AtomicBool::new(false));
    let over = Arc::clone(&is_over);
    let readers =
        deployment
            .clients
            .follow(32, false, Arc::new(move || over.load(Ordering::Relaxed)));
    let submitters: Vec<_> = (0..8)
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
        "{} of {JOBS} jobs of {} items were accepted; answers: {}",
        accepted.len(),
        shape.items,
        count(answers.iter().map(u16::to_string))
    ));
    if has_trouble {
        deployment.start_gateway(scene);
        if !deployment.gateways[1].wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun("the added machine does not become ready".to_owned());
        }
        deployment.update_fronts();
        scene.note(&format!("a machine of {SMALL_MB} MB has been added"));
    }
    let traffic_end = scene.started.elapsed().as_secs_f64();
    scene.sleep_until(traffic_end + FINISH_S);
    is_over.store(true, Ordering::Relaxed);
    readers.into_iter().for_each(|thread| drop(thread.join()));
    deployment.note_memory(scene);
    scene.note(&format!(
        "answers to reads so far: {}",
        deployment.clients.reads()
    ));
    let unread = read_all(scene, &deployment, &accepted);
    scene.note(&format!(
        "{unread} of {} accepted jobs can't be read at any machine",
        accepted.len()
    ));
    scene.record_jobs(&deployment);
    match unread {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Reads all jobs from the start, at any machine and again after each failure. Returns how many can't be read.
fn read_all(scene: &Scene, deployment: &Deployment, accepted: &[Arc<Mutex<Job>>]) -> usize {
    let left: Arc<Mutex<Vec<Arc<Mutex<Job>>>>> = Arc::new(Mutex::new(accepted.to_vec()));
    let unread: Arc<Mutex<Vec<String>>> = Arc::default();
    let threads: Vec<_> = (0..60)
        .map(|_| {
            let (left, unread, clients) = (
                Arc::clone(&left),
                Arc::clone(&unread),
                Arc::clone(&deployment.clients),
            );
            std::thread::spawn(move || {
                while let Some(job) = { left.lock().expect("the jobs").pop() } {
                    let fresh = {
                        let job = job.lock().expect("a job");
                        Mutex::new(Job {
                            id: job.id.clone(),
                            items: job.items.clone(),
                            ..Job::default()
                        })
                    };
                    let until = Instant::now() + READ_AGAIN;
                    let mut statuses = Vec::new();
                    while Instant::now() < until && statuses.last() != Some(&200) {
                        statuses.push(clients.read(clients.front(), &fresh, false));
                        if statuses.last() != Some(&200) {
                            std::thread::sleep(Duration::from_millis(300));
                        }
                    }
                    if statuses.last() != Some(&200) {
                        let id = fresh.lock().expect("a job").id.clone();
                        let answers = count(statuses.iter().map(u16::to_string));
                        unread
                            .lock()
                            .expect("the unread")
                            .push(format!("LOST: job {id} can't be read: {answers}"));
                    }
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let unread = unread.lock().expect("the unread");
    unread.iter().take(5).for_each(|line| scene.note(line));
    unread.len()
}
