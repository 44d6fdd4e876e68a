//! The batch route is removed, and a machine is stopped and started; another route covers the paths of calls about batch jobs.

use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::jobs::HOST;
use crate::jobs::Shape;
use crate::jobs::count;
use crate::scene::Deployment;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::scene::manifest;
use crate::servers::Work;
use crate::store::Figures;

const JOBS: usize = 12;
/// `grace_s`, `stable_ms` and `settle_ms`.
const GRACE: Duration = Duration::from_secs(8);
const STABLE: Duration = Duration::from_millis(3000);
const SETTLE: Duration = Duration::from_millis(1000);

pub fn play(scene: &mut Scene, has_trouble: bool) -> Verdict {
    let size = Size {
        memory_mb: vec![290; 3],
        spare_mb: Vec::new(),
        servers: 9,
        max_queued: 1_900_000,
        has_plain: true,
        figures: Figures::default(),
        work: Work {
            slots: 8,
            queue: 24,
            events: 40,
            event_bytes: 65,
            event_interval: Duration::from_millis(5),
        },
    };
    let mut deployment = match Deployment::start(scene, &size) {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::NotRun(why),
    };
    let shape = Shape {
        items: 10,
        body_bytes: 1_500,
        tokens: (350, 241),
    };
    (0..JOBS).for_each(|_| drop(deployment.clients.submit(&shape)));
    let accepted = deployment.clients.accepted();
    std::thread::sleep(Duration::from_secs(2));
    deployment.clients.read_rest(Duration::from_secs(10));
    let listed: usize = accepted
        .iter()
        .map(|job| job.lock().expect("a job").results.len())
        .sum();
    scene.note(&format!(
        "{} of {JOBS} jobs were accepted, {listed} results were read",
        accepted.len()
    ));
    if accepted.is_empty() || listed < accepted.len() * shape.items {
        return Verdict::NotRun("the jobs are not done".to_owned());
    }
    if has_trouble {
        deployment
            .store
            .put("keyed.op", "config", &manifest(9, &size, false));
        scene.note("version 9 of the manifest, without the batch route, is confirmed");
    }
    std::thread::sleep(Duration::from_secs(3));
    let repository = scene.repository.clone();
    let gateway = &mut deployment.gateways[0];
    if !gateway.stop(GRACE) {
        return Verdict::NotRun("the gateway does not stop".to_owned());
    }
    gateway.run(&repository);
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the gateway does not become ready again".to_owned());
    }
    scene.note(&format!(
        "the gateway at {} was stopped with SIGTERM and started again",
        gateway.ip
    ));
    std::thread::sleep(STABLE + SETTLE);
    let mut not_found = 0;
    let headers = format!("Host: {HOST}\r\n");
    for (index, gateway) in deployment.gateways.iter().enumerate() {
        let mut statuses = Vec::new();
        for job in &accepted {
            let id = job.lock().expect("a job").id.clone();
            let until = Instant::now() + Duration::from_secs(5);
            let answer = loop {
                let answer = http::call(
                    gateway.front(),
                    "GET",
                    &format!("/lots/{id}?after=0"),
                    &headers,
                    b"",
                    Duration::from_millis(2500),
                );
                let status = answer.as_ref().map_or(0, http::Message::status);
                statuses.push(status.to_string());
                if !matches!(status, 0 | 503) || Instant::now() > until {
                    break answer;
                }
                std::thread::sleep(Duration::from_millis(300));
            };
            let Some(answer) = answer else { continue };
            if matches!(answer.status(), 404 | 410) {
                not_found += 1;
                if not_found <= 3 {
                    let stamp = answer
                        .header("x-bambooroute-server-stamp")
                        .unwrap_or("none");
                    scene.note(&format!("LOST: machine {index} answers {} for job {id}, with the stamp of a server: {stamp}", answer.status()));
                }
            }
        }
        scene.note(&format!(
            "machine {index}: answers to reads {}",
            count(statuses.into_iter())
        ));
    }
    scene.record_jobs(&deployment);
    match not_found {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
