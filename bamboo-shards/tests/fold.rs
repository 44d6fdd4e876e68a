//! Replay of a shard's records: repeated records, concurrent results, and a change of the owner.

use std::rc::Rc;
use std::time::Duration;

use bamboo_shards::AttemptEnd;
use bamboo_shards::FragmentAssembler;
use bamboo_shards::ItemAction;
use bamboo_shards::ItemProgress;
use bamboo_shards::ItemRecord;
use bamboo_shards::ItemResult;
use bamboo_shards::ItemRun;
use bamboo_shards::JobRecord;
use bamboo_shards::LoadedResults;
use bamboo_shards::Record;
use bamboo_shards::RecordError;
use bamboo_shards::ResultState;
use bamboo_shards::Shard;
use bamboo_shards::ShardChange;
use bamboo_shards::split_record;
use bamboo_types::QueueKey;
use bamboo_types::StreamOrigin;
use test_case::test_case;

fn job(id: &str, items: usize) -> Record {
    let items = (0..items).map(|index| ItemRecord {
        id: format!("i{index}"),
        path: "/p/".to_owned(),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: vec![1, 2, 3],
        tokens: 100,
    });
    Record::Accepted(Rc::new(JobRecord {
        id: id.to_owned(),
        host: "h.example".to_owned(),
        route: "r".to_owned(),
        submitted_at_ms: 1_000,
        completion_target_ms: 18_000,
        retention_ms: 60_000,
        attempts_max: 3,
        items: items.collect(),
        workspace: None,
    }))
}

fn result(job: &str, item: u32, text: &str) -> Record {
    Record::Results {
        job: job.to_owned(),
        results: vec![ItemResult {
            item,
            state: ResultState::Done,
            text: text.to_owned(),
        }],
    }
}

fn texts(shard: &Shard, job: &str) -> Vec<String> {
    let page = shard
        .job(job)
        .unwrap()
        .page(0, usize::MAX, &LoadedResults::new());
    page.results
        .iter()
        .map(|result| result.text.clone())
        .collect()
}

/// Replays fragments as an owner does: what cannot be read is skipped.
fn replay(fragments: &[Vec<u8>]) -> Shard {
    let mut shard = Shard::default();
    let mut assembler = FragmentAssembler::default();
    for fragment in fragments {
        if let Ok(Some(record)) = Record::from_fragment(&mut assembler, fragment) {
            shard.apply(record);
        }
    }
    shard
}

#[test]
fn repeated_jobs_and_results_are_ignored() {
    let mut shard = Shard::default();
    assert_eq!(
        shard.apply(job("j", 2)),
        ShardChange::JobAccepted("j".to_owned())
    );
    assert_eq!(shard.apply(job("j", 2)), ShardChange::Unchanged);
    shard.apply(result("j", 1, "first"));
    assert_eq!(
        shard.apply(result("j", 1, "second")),
        ShardChange::Unchanged
    );
    shard.apply(result("j", 0, "other"));
    assert_eq!(texts(&shard, "j"), ["first", "other"]);
    assert!(shard.job("j").unwrap().is_complete());
}

#[test]
fn results_of_an_unknown_job_or_item_are_ignored() {
    let mut shard = Shard::default();
    assert_eq!(shard.apply(result("j", 0, "a")), ShardChange::Unchanged);
    shard.apply(job("j", 1));
    assert_eq!(shard.apply(result("j", 9, "a")), ShardChange::Unchanged);
}

#[test]
fn a_cancelled_job_keeps_its_results_and_has_no_waiting_tokens() {
    let mut shard = Shard::default();
    shard.apply(job("j", 2));
    shard.apply(result("j", 0, "a"));
    let queue = QueueKey::from("r".to_owned());
    assert_eq!(shard.waiting_tokens().get(&queue), Some(&100));
    let cancelled = Record::Cancelled {
        job: "j".to_owned(),
    };
    assert_eq!(
        shard.apply(cancelled.clone()),
        ShardChange::JobCancelled("j".to_owned())
    );
    assert_eq!(shard.apply(cancelled), ShardChange::Unchanged);
    assert!(shard.waiting_tokens().is_empty());
    assert_eq!(texts(&shard, "j"), ["a"]);
}

#[test]
fn a_page_holds_at_least_one_result_and_at_most_max_bytes() {
    let mut shard = Shard::default();
    shard.apply(job("j", 3));
    (0..3).for_each(|item| drop(shard.apply(result("j", item, "0123456789"))));
    let found = shard.job("j").unwrap();
    assert_eq!(found.page(0, 1, &LoadedResults::new()).next, 1);
    assert_eq!(found.page(0, 20, &LoadedResults::new()).next, 2);
    assert_eq!(found.page(3, 20, &LoadedResults::new()).results.len(), 0);
    assert_eq!(found.page(1, 100, &LoadedResults::new()).next, 3);
    assert_eq!(found.page(0, 1, &LoadedResults::new()).item_count, 3);
}

/// How long a closed job stays readable in these tests.
const KEPT: Duration = Duration::from_secs(120);
const MILLISECOND: Duration = Duration::from_millis(1);

/// Guards against dropping open jobs, and against keeping closed ones for longer than promised.
#[test_case(result("closed", 0, "a"); "complete")]
#[test_case(Record::Cancelled { job: "closed".to_owned() }; "cancelled")]
fn expired_jobs_are_dropped_unless_items_are_open(closing: Record) {
    let mut shard = Shard::default();
    shard.apply(job("open", 1));
    shard.apply(job("closed", 1));
    shard.apply(closing);
    let closed_at = Duration::from_secs(5);
    shard.expire(closed_at, KEPT);
    shard.expire(closed_at + KEPT, KEPT);
    assert!(shard.job("closed").is_some());
    shard.expire(closed_at + KEPT + MILLISECOND, KEPT);
    assert!(shard.job("closed").is_none());
    assert!(shard.job("open").is_some());
}

/// Guards against forgetting a job before callers could read its last result.
#[test]
fn a_job_that_completes_late_stays_readable_for_the_full_time() {
    let mut shard = Shard::default();
    shard.apply(job("late", 1));
    let completed_at = Duration::from_secs(130);
    shard.expire(completed_at, KEPT);
    shard.apply(result("late", 0, "a"));
    shard.expire(completed_at + MILLISECOND, KEPT);
    shard.expire(completed_at + KEPT, KEPT);
    assert_eq!(texts(&shard, "late"), ["a"]);
}

/// Guards against forgetting a replayed job early: its records do not say when it was completed.
#[test]
fn a_replayed_job_stays_readable_for_the_full_time_after_its_replay() {
    let mut shard = Shard::default();
    shard.apply(job("j", 1));
    shard.apply(result("j", 0, "a"));
    let opened_at = Duration::from_secs(900);
    shard.expire(opened_at, KEPT);
    shard.expire(opened_at + KEPT, KEPT);
    assert_eq!(texts(&shard, "j"), ["a"]);
}

#[test]
fn a_new_owner_resumes_from_recorded_progress() {
    let mut run = ItemRun::default();
    run.push_event(Some(1), Some(b"a".to_vec()));
    run.push_event(Some(2), Some(b"b".to_vec()));
    let first = run.take_progress("j", 0).unwrap();
    run.push_event(Some(3), Some(b"c".to_vec()));
    let second = run.take_progress("j", 0).unwrap();
    assert_eq!(second.text, b"\nc");

    let mut shard = Shard::default();
    shard.apply(job("j", 1));
    shard.apply(Record::Progress(vec![first]));
    shard.apply(Record::Progress(vec![second]));
    let mut taken_over = shard.job("j").unwrap().run(0);
    assert_eq!(taken_over.last_event_id(), Some(3));
    assert_eq!(taken_over.text(), "a\nb\nc");
    assert!(taken_over.take_progress("j", 0).is_none());
    assert!(!taken_over.push_event(Some(3), Some(b"c".to_vec())));
}

#[test]
fn progress_with_a_gap_or_after_the_result_is_ignored() {
    let progress = |text_offset: u64, text: &str| ItemProgress {
        job: "j".to_owned(),
        item: 0,
        text_offset,
        text: text.as_bytes().to_vec(),
        last_event_id: Some(9),
        event_count: 9,
        failed_attempts: 0,
        origin: None,
    };
    let mut shard = Shard::default();
    shard.apply(job("j", 1));
    shard.apply(Record::Progress(vec![progress(5, "late")]));
    assert_eq!(shard.job("j").unwrap().run(0).last_event_id(), None);
    shard.apply(result("j", 0, "all"));
    shard.apply(Record::Progress(vec![progress(0, "more")]));
    assert_eq!(shard.job("j").unwrap().run(0).last_event_id(), None);
    assert_eq!(texts(&shard, "j"), ["all"]);
}

#[test]
fn a_restarted_response_replaces_the_recorded_text() {
    let mut run = ItemRun::default();
    run.push_event(Some(1), Some(b"wrong".to_vec()));
    let mut copy = ItemRun::default();
    copy.apply_progress(run.take_progress("j", 0).unwrap());
    run.restart();
    run.push_event(Some(1), Some(b"right".to_vec()));
    copy.apply_progress(run.take_progress("j", 0).unwrap());
    assert_eq!(copy.text(), "right");
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "llm".to_owned(),
        version: version.to_owned(),
    }
}

/// Guards against a new owner of the shard that resumes an item at another version than the one that began it.
#[test]
fn progress_keeps_the_origin_of_the_output() {
    let mut run = ItemRun::default();
    run.begin_response(origin("v1"));
    run.push_event(Some(1), Some(b"a".to_vec()));
    let mut shard = Shard::default();
    shard.apply(job("j", 1));
    for event in 2..4 {
        let record = Record::Progress(vec![run.take_progress("j", 0).unwrap()]);
        let bytes = record.to_bytes().unwrap();
        shard.apply(Record::try_from(bytes.as_slice()).unwrap());
        assert_eq!(shard.job("j").unwrap().run(0).origin(), Some(&origin("v1")));
        run.begin_response(origin("v1"));
        run.push_event(Some(event), Some(b"b".to_vec()));
    }
    assert_eq!(shard.job("j").unwrap().run(0).text(), "a\nb");
}

/// Guards against an item that is bound to a version although it has no output, or after its output was discarded.
#[test]
fn a_run_without_output_has_no_origin() {
    let mut run = ItemRun::default();
    run.begin_response(origin("v1"));
    assert_eq!(run.origin(), None);
    run.begin_response(origin("v2"));
    run.push_event(Some(1), Some(b"a".to_vec()));
    assert_eq!(run.origin(), Some(&origin("v2")));
    run.restart();
    assert_eq!(run.origin(), None);
    assert_eq!(run.take_progress("j", 0).unwrap().origin, None);
    run.begin_response(origin("v3"));
    run.push_event(Some(1), Some(b"c".to_vec()));
    assert_eq!(
        (run.origin(), run.text()),
        (Some(&origin("v3")), "c".to_owned())
    );
}

/// Guards against a response from the first event on that is appended to the output of an earlier one.
#[test]
fn a_response_that_starts_anew_replaces_output_without_event_ids() {
    let mut run = ItemRun::default();
    run.begin_response(origin("v1"));
    run.push_event(None, Some(b"a".to_vec()));
    run.begin_response(origin("v2"));
    run.push_event(None, Some(b"b".to_vec()));
    assert_eq!(
        (run.origin(), run.text()),
        (Some(&origin("v2")), "b".to_owned())
    );
}

/// Guards against text of two versions when a record between two others is missing.
#[test]
fn progress_of_another_origin_does_not_continue_the_text() {
    let mut run = ItemRun::default();
    run.begin_response(origin("v1"));
    run.push_event(Some(1), Some(b"a long text".to_vec()));
    let mut copy = ItemRun::default();
    copy.apply_progress(run.take_progress("j", 0).unwrap());
    run.restart();
    run.begin_response(origin("v2"));
    run.push_event(Some(1), Some(b"b".to_vec()));
    drop(run.take_progress("j", 0));
    run.push_event(Some(2), Some(b"c".to_vec()));
    copy.apply_progress(run.take_progress("j", 0).unwrap());
    assert_eq!(
        (copy.origin(), copy.text()),
        (Some(&origin("v1")), "a long text".to_owned())
    );
}

/// Guards against records of the previous release that cannot be read, and against their output without a version.
#[test]
fn records_of_format_1_are_read_and_their_items_start_anew() {
    // Job "j", item 0, offset 0, text "ab", last event 2, 2 events, 1 failed attempt.
    let progress = [1, 3, 1, 1, b'j', 0, 0, 2, b'a', b'b', 1, 2, 2, 1];
    let mut shard = Shard::default();
    let mut accepted = job("j", 1).to_bytes().unwrap();
    accepted[0] = 1;
    shard.apply(Record::try_from(accepted.as_slice()).unwrap());
    shard.apply(Record::try_from(progress.as_slice()).unwrap());
    let mut run = shard.job("j").unwrap().run(0);
    assert_eq!((run.last_event_id(), run.text()), (None, String::new()));
    assert_eq!(run.event_count(), 0);
    // The failed attempt counts.
    assert_eq!(
        run.finish_attempt(AttemptEnd::Failed, 2),
        ItemAction::DeadLetter
    );
    let mut results = result("j", 0, "ab").to_bytes().unwrap();
    results[0] = 1;
    shard.apply(Record::try_from(results.as_slice()).unwrap());
    assert_eq!(texts(&shard, "j"), ["ab"]);
    assert!(matches!(
        Record::try_from([4, 2, 1, b'j'].as_slice()),
        Err(RecordError::UnsupportedVersion(4))
    ));
}

#[test_case(1; "one byte")]
#[test_case(100; "less than a fragment")]
#[test_case(1_000; "some fragments")]
fn a_fragmented_record_is_reassembled(text_bytes: usize) {
    let record = result("j", 0, &"x".repeat(text_bytes));
    let mut assembler = FragmentAssembler::default();
    let mut joined = None;
    for fragment in split_record(&record.to_bytes().unwrap(), 128) {
        assert!(fragment.len() <= 128);
        assert!(joined.is_none());
        joined = assembler.push(&fragment).unwrap();
    }
    let bytes = joined.unwrap();
    assert_eq!(Record::try_from(bytes.as_slice()).unwrap(), record);
}

#[test]
fn a_fragment_with_an_unknown_flag_does_not_spoil_the_next_record() {
    let fragments = split_record(&[7; 100], 64);
    let mut assembler = FragmentAssembler::default();
    assert_eq!(assembler.push(&fragments[0]), Ok(None));
    assert!(assembler.push(&[9, 1, 2, 3]).is_err());
    let next = split_record(b"next", 64);
    assert_eq!(assembler.push(&next[0]).unwrap().unwrap(), b"next");
}

/// Guards against ending a replay at a damaged record: the records after it are still to be applied.
#[test_case(&[]; "empty fragment")]
#[test_case(&[9, 1, 2, 3]; "unknown flag")]
#[test_case(&[0]; "empty record")]
#[test_case(&[0, 9, 1, 2, 3]; "unknown format version")]
#[test_case(&[0, 1, 200, 200]; "undecodable record")]
#[test_case(&[0, 1, 2, 253, 255, 255, 255, 255, 255, 255, 255, 127]; "too long")]
#[test_case(&[0, 1, 2, 253, 0, 0, 0, 0, 0, 1, 0, 0]; "too long for the memory")]
#[test_case(&[0, 1, 3, 253, 255, 255, 255, 255, 255, 255, 255, 127]; "too many entries")]
fn a_replay_continues_after_a_damaged_record(damaged: &[u8]) {
    let mut fragments = split_record(&job("j", 20).to_bytes().unwrap(), 64);
    fragments.push(damaged.to_vec());
    fragments.extend(split_record(
        &result("j", 0, "after").to_bytes().unwrap(),
        64,
    ));
    assert_eq!(texts(&replay(&fragments), "j"), ["after"]);
}

/// Guards against a replay that fails, or loses later jobs, if the first retained record is the rest of a trimmed one.
#[test]
fn a_replay_may_begin_in_the_middle_of_a_record() {
    let of = |record: &Record| split_record(&record.to_bytes().unwrap(), 64);
    let trimmed_job = of(&job("trimmed", 20));
    let fragments: Vec<Vec<u8>> = [
        trimmed_job.clone(),
        of(&result("trimmed", 0, "unknown")),
        of(&job("j", 20)),
        of(&result("j", 3, "known")),
    ]
    .concat();
    for first in 1..=trimmed_job.len() {
        let shard = replay(&fragments[first..]);
        assert!(shard.job("trimmed").is_none());
        assert_eq!(texts(&shard, "j"), ["known"], "from fragment {first}");
        assert_eq!(shard.jobs().count(), 1);
    }
}

/// Guards against a limit of the decoder that rejects a valid record.
#[test]
fn a_record_as_large_as_several_calls_of_the_store_is_decoded() {
    let bytes = 8 << 20;
    let large_result = result("j", 0, &"x".repeat(bytes));
    let Record::Accepted(small_job) = job("j", 200) else {
        unreachable!()
    };
    let mut large_job = (*small_job).clone();
    large_job
        .items
        .iter_mut()
        .for_each(|item| item.body = vec![7; bytes / 200]);
    for record in [large_result, Record::Accepted(Rc::new(large_job))] {
        let encoded = record.to_bytes().unwrap();
        assert_eq!(Record::try_from(encoded.as_slice()).unwrap(), record);
    }
}

#[test]
fn records_and_fragments_of_an_unknown_format_are_rejected() {
    assert!(Record::try_from(&[][..]).is_err());
    assert!(Record::try_from(&[9, 0][..]).is_err());
    assert!(FragmentAssembler::default().push(&[7, 1]).is_err());
}

/// Guards against a record of the progress of many items that does not fit into an append.
#[test]
fn progress_is_grouped_into_records_of_a_limited_size() {
    let entry = |item: u32, bytes: usize| ItemProgress {
        job: "j".to_owned(),
        item,
        text_offset: 0,
        text: vec![b'x'; bytes],
        last_event_id: Some(u64::MAX),
        event_count: u32::MAX,
        failed_attempts: u32::MAX,
        origin: Some(StreamOrigin {
            service: "llm".to_owned(),
            version: "v1".to_owned(),
        }),
    };
    let sizes = [300, 300, 300, 2_000, 10, 10, 900];
    let entries: Vec<_> = (0..)
        .zip(sizes)
        .map(|(item, bytes)| entry(item, bytes))
        .collect();
    let records = Record::progress(entries.clone(), 1_000);
    for record in &records {
        let Record::Progress(group) = record else {
            panic!("{record:?}");
        };
        let bytes = record.to_bytes().unwrap().len();
        assert!(bytes <= 1_000 || group.len() == 1, "{bytes}");
    }
    let grouped = records.into_iter().flat_map(|record| match record {
        Record::Progress(group) => group,
        _ => Vec::new(),
    });
    assert_eq!(grouped.collect::<Vec<_>>(), entries);
}
