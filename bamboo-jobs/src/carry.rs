//! What must be copied forward before the log forgets it.

use bamboo_log::Body;
use bamboo_log::Entry;
use bamboo_log::ItemOutcome;
use bamboo_types::JobId;
use bamboo_types::Offset;

use crate::ShardFold;

/// The oldest entry before `horizon` that still holds items or results which are needed.
///
/// ```
/// assert_eq!(bamboo_jobs::next_to_carry(&bamboo_jobs::ShardFold::default(), 100), None);
/// ```
pub fn next_to_carry(fold: &ShardFold, horizon: Offset) -> Option<Offset> {
    let results = fold
        .jobs()
        .filter_map(|job| job.outcome_offsets.first().copied());
    let items = fold
        .jobs()
        .flat_map(|job| job.chunks.iter().map(|chunk| chunk.at.offset));
    results
        .chain(items)
        .filter(|offset| *offset < horizon)
        .min()
}

/// Copies of everything in the entry at `offset` that is still needed, as records of the owner with `epoch`.
pub fn carry_entry(fold: &ShardFold, epoch: Offset, offset: Offset, entry: &Entry) -> Vec<Body> {
    let mut copies = Vec::new();
    for job in fold.jobs() {
        if job.outcome_offsets.binary_search(&offset).is_ok() {
            let outcomes = outcomes_of(entry, job.spec.job);
            copies.push(Body::Carried {
                epoch,
                job: job.spec.job,
                from: offset,
                outcomes,
            });
        }
        for chunk in job.chunks.iter().filter(|chunk| chunk.at.offset == offset) {
            if let Some(items) = items_at(entry, chunk.at.slot) {
                let (job, first_item) = (job.spec.job, chunk.first_item);
                copies.push(Body::CarriedChunk {
                    epoch,
                    job,
                    first_item,
                    items,
                });
            }
        }
    }
    copies
}

fn outcomes_of(entry: &Entry, job: JobId) -> Vec<ItemOutcome> {
    let outcomes = entry.bodies.iter().filter_map(|body| match body {
        Body::Outcomes { outcomes, .. } => Some(outcomes),
        Body::Carried {
            outcomes, job: of, ..
        } if *of == job => Some(outcomes),
        _ => None,
    });
    let is_needed = |outcome: &&ItemOutcome| outcome.job == job && outcome.verdict.is_final();
    outcomes.flatten().filter(is_needed).cloned().collect()
}

fn items_at(entry: &Entry, slot: u32) -> Option<Vec<bamboo_log::ItemBody>> {
    match entry.bodies.get(slot as usize)? {
        Body::Chunk { items, .. } | Body::CarriedChunk { items, .. } => Some(items.clone()),
        _ => None,
    }
}
