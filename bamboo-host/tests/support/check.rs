//! Invariants at the end of a history, checked against the log and the answers that callers got.

use std::collections::BTreeMap;

use bamboo_host::Answer;
use bamboo_jobs::FinalOutcomeCollector;
use bamboo_jobs::JobState;
use bamboo_jobs::ShardState;
use bamboo_log::Entry;
use bamboo_log::ItemRunResult;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;

use super::world::Simulation;

/// Replays the stream of a shard from its first entry, including trimmed entries.
pub fn replay_shard(sim: &Simulation, shard: u16) -> ShardState {
    let mut replayed = ShardState::default();
    for (offset, entry) in sim.log.all(StreamId::Shard(shard)) {
        replayed.apply(offset, &entry);
    }
    replayed
}

/// Reference model of which outcomes count. It is implemented independently of [`ShardState`], from the highest
/// sequence number of each writer, the newest claim and the cancellations.
struct ReferenceModel {
    counted: BTreeMap<(JobId, ItemIndex), u32>,
    cancelled_at: BTreeMap<JobId, u64>,
}

fn replay_reference(entries: &[(u64, Entry)]) -> ReferenceModel {
    let mut seen: BTreeMap<(String, u64), u64> = BTreeMap::new();
    let mut epoch = None;
    let mut reference = ReferenceModel {
        counted: BTreeMap::new(),
        cancelled_at: BTreeMap::new(),
    };
    for (offset, entry) in entries {
        for (index, body) in entry.bodies.iter().enumerate() {
            let sequence = entry.first_sequence + index as u64;
            let highest = seen
                .entry((entry.host.clone(), entry.incarnation))
                .or_insert(0);
            if sequence <= *highest {
                continue;
            }
            *highest = sequence;
            match body {
                RecordBody::Claim => epoch = Some(*offset),
                RecordBody::Release { epoch: released } if epoch == Some(*released) => epoch = None,
                RecordBody::Cancel { job, .. } => {
                    reference.cancelled_at.entry(*job).or_insert(*offset);
                }
                RecordBody::Outcomes {
                    epoch: outcomes_epoch,
                    outcomes,
                    ..
                } if epoch == Some(*outcomes_epoch) => {
                    for outcome in outcomes {
                        let is_late = reference.cancelled_at.contains_key(&outcome.job);
                        if outcome.run_result.is_final() && !is_late {
                            *reference
                                .counted
                                .entry((outcome.job, outcome.item))
                                .or_default() += 1;
                        }
                    }
                }
                _ => {}
            }
        }
    }
    reference
}

/// Lists all violated invariants.
pub fn violations(sim: &Simulation) -> Vec<String> {
    let mut found = Vec::new();
    for shard in 0..2 {
        check_shard(sim, shard, &mut found);
    }
    check_config(sim, &mut found);
    if sim.late_start_count > 0 {
        found.push(format!(
            "{} items started long after their job's cancel",
            sim.late_start_count
        ));
    }
    if !sim.unpublished_answers.is_empty() {
        found.push(format!(
            "{} changes of the configuration were answered before they were published",
            sim.unpublished_answers.len()
        ));
    }
    found
}

/// Whether every accepted job has ended.
pub fn all_jobs_ended(sim: &Simulation) -> bool {
    let states: Vec<ShardState> = (0..2).map(|shard| replay_shard(sim, shard)).collect();
    sim.accepted.keys().all(|job| {
        let found = states.iter().find_map(|state| state.job(*job));
        found.is_some_and(|job| !job.is_running())
    })
}

fn check_shard(sim: &Simulation, shard: u16, found: &mut Vec<String>) {
    let entries = sim.log.all(StreamId::Shard(shard));
    let replayed = replay_shard(sim, shard);
    let reference = replay_reference(&entries);
    for (job, item_count) in &sim.accepted {
        if bamboo_types::shard_of_job(*job, 2) != shard {
            continue;
        }
        let Some(state) = replayed.job(*job) else {
            found.push(format!("accepted job {job:x} is lost"));
            continue;
        };
        let is_cancelled = sim.cancelled.contains(job);
        match state.state {
            JobState::Running => found.push(format!(
                "job {job:x} has not ended: {} left",
                state.remaining_count()
            )),
            JobState::Completed if is_cancelled && reference.cancelled_at.contains_key(job) => {
                let completed = state.ended_items.count() == *item_count;
                if !completed {
                    found.push(format!("cancelled job {job:x} kept running"));
                }
            }
            JobState::Cancelled if !reference.cancelled_at.contains_key(job) => {
                found.push(format!(
                    "job {job:x} ended as cancelled without a cancel record"
                ));
            }
            JobState::Completed | JobState::Cancelled => {}
        }
        check_results(sim, shard, *job, *item_count, &replayed, found);
    }
    // An item has ended in the replayed state exactly if the reference model counts an outcome of it.
    for job in replayed.jobs() {
        for item in 0..job.spec.item_count {
            let is_counted = reference.counted.contains_key(&(job.spec.job, item));
            if job.ended_items.is_set(item) != is_counted {
                found.push(format!(
                    "item {:x}/{item}: replayed {}, reference {is_counted}",
                    job.spec.job,
                    job.ended_items.is_set(item)
                ));
            }
        }
    }
    check_live_state(sim, shard, &replayed, found);
}

/// Checks the results of a job. Like a caller, it reads only entries that the log has not trimmed.
fn check_results(
    sim: &Simulation,
    shard: u16,
    job: JobId,
    item_count: u32,
    replayed: &ShardState,
    found: &mut Vec<String>,
) {
    let Some(state) = replayed.job(job) else {
        return;
    };
    let mut collector = FinalOutcomeCollector::new(job, item_count);
    let mut outcomes = Vec::new();
    for position in &state.outcome_positions {
        match sim.log.entry(StreamId::Shard(shard), position.offset) {
            Some(entry) => outcomes.extend(collector.collect(&entry, position.index)),
            None => found.push(format!(
                "results of {job:x} at {position:?} are no longer kept"
            )),
        }
    }
    if outcomes.len() as u32 != state.ended_items.count() {
        found.push(format!(
            "job {job:x}: {} results for {} ended items",
            outcomes.len(),
            state.ended_items.count()
        ));
    }
    for outcome in outcomes {
        let should_fail = sim.failing_items.contains(&(job, outcome.item));
        let is_done = matches!(outcome.run_result, ItemRunResult::Done { .. });
        if should_fail == is_done {
            found.push(format!(
                "item {job:x}/{} has the wrong result",
                outcome.item
            ));
        }
    }
}

/// Checks that the state in an owner's memory equals the state replayed from the log.
fn check_live_state(sim: &Simulation, shard: u16, replayed: &ShardState, found: &mut Vec<String>) {
    let Some(owner) = sim.shard_owner(shard) else {
        return;
    };
    let live = sim.core(&owner).and_then(|core| core.shard_state(shard));
    if let Some(live) = live.filter(|live| live.next_offset() == replayed.next_offset()) {
        let differs = live
            .jobs()
            .zip(replayed.jobs())
            .any(|(live, replayed)| live != replayed);
        if differs || live.jobs().count() != replayed.jobs().count() {
            found.push(format!(
                "{owner}'s state of shard {shard} differs from the log's"
            ));
        }
    }
}

fn check_config(sim: &Simulation, found: &mut Vec<String>) {
    let mut newest = Vec::new();
    for name in sim.host_names() {
        let offsets = sim.config_offsets(&name);
        if offsets.windows(2).any(|pair| pair[0] > pair[1]) {
            found.push(format!("configuration of {name} was rolled back"));
        }
        if let Some(core) = sim.core(&name) {
            newest.push((name, core.config().next_offset()));
        }
    }
    if newest.windows(2).any(|pair| pair[0].1 != pair[1].1) {
        found.push(format!("configurations differ: {newest:?}"));
    }
    for (name, revision) in &sim.applied_changes {
        let up = sim
            .host_names()
            .into_iter()
            .find(|host| sim.core(host).is_some());
        let core = up.and_then(|host| sim.core(&host));
        let stored =
            core.and_then(|core| core.config().get(bamboo_config::ResourceKind::Model, name));
        if stored.is_none_or(|stored| stored.revision < *revision) {
            found.push(format!(
                "accepted change of {name} to revision {revision} is not active"
            ));
        }
    }
}

/// Records the job that an answer reported as accepted.
pub fn record_accepted_job(sim: &mut Simulation, answer: &Answer) {
    if let Answer::Job(view) = answer {
        sim.accepted.insert(view.job, view.total_count);
    }
}
