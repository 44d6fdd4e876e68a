//! Tests of the append state machine: grouping, retries, withdrawal and rate limits.

use std::time::Duration;

use bamboo_log::AppendAnswer;
use bamboo_log::Appender;
use bamboo_log::AppenderOptions;
use bamboo_log::Entry;
use bamboo_log::NextAppend;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_log::Withdrawal;

const STREAM: StreamId = StreamId::Shard(0);

fn appender() -> Appender {
    Appender::new("h1".into(), 1, AppenderOptions::default())
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sent(next: NextAppend) -> Entry {
    match next {
        NextAppend::Send { bytes, .. } => Entry::try_from(bytes.as_slice()).expect("an entry"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn queued_records_are_sent_in_one_append() {
    let mut appender = appender();
    for _ in 0..5 {
        appender
            .enqueue(at(0), STREAM, RecordBody::Probe)
            .expect("room");
    }
    let entry = sent(appender.next(at(0)));
    assert_eq!((entry.first_sequence, entry.bodies.len()), (1, 5));
    appender
        .enqueue(at(0), STREAM, RecordBody::Probe)
        .expect("room");
    assert_eq!(
        appender.next(at(0)),
        NextAppend::Idle,
        "one append is in flight"
    );
    let stored = appender.handle_answer(at(1), STREAM, AppendAnswer::Stored(7), 0);
    assert_eq!(stored.len(), 5);
    assert_eq!(
        (stored[4].position.offset, stored[4].position.index),
        (7, 4)
    );
}

#[test]
fn an_append_with_unknown_outcome_is_retried_with_the_same_sequence() {
    let mut appender = appender();
    appender
        .enqueue(at(0), STREAM, RecordBody::Probe)
        .expect("room");
    let first = sent(appender.next(at(0)));
    appender.handle_answer(at(1), STREAM, AppendAnswer::Unknown, 0);
    let NextAppend::WaitUntil(again) = appender.next(at(1)) else {
        panic!("no wait");
    };
    let second = sent(appender.next(again));
    assert_eq!(first, second);
}

#[test]
fn an_unsent_or_refused_record_can_be_withdrawn() {
    let mut appender = appender();
    let first = appender
        .enqueue(at(0), STREAM, RecordBody::Probe)
        .expect("room");
    assert_eq!(appender.withdraw(first), Withdrawal::NeverSent);
    assert_eq!(appender.next(at(0)), NextAppend::Idle);
    let second = appender
        .enqueue(at(0), STREAM, RecordBody::Probe)
        .expect("room");
    sent(appender.next(at(0)));
    assert_eq!(appender.withdraw(second), Withdrawal::MaybeStored);
    appender.handle_answer(at(1), STREAM, AppendAnswer::Refused(at(10)), 0);
    assert_eq!(
        appender.withdraw(second),
        Withdrawal::NeverSent,
        "a refusal has no effect"
    );
}

#[test]
fn an_unknown_answer_before_a_refusal_leaves_the_record_ambiguous() {
    let mut appender = appender();
    let handle = appender
        .enqueue(at(0), STREAM, RecordBody::Probe)
        .expect("room");
    sent(appender.next(at(0)));
    appender.handle_answer(at(1), STREAM, AppendAnswer::Unknown, 0);
    sent(appender.next(at(5_000)));
    appender.handle_answer(at(5_001), STREAM, AppendAnswer::Refused(at(10)), 0);
    assert_eq!(appender.withdraw(handle), Withdrawal::MaybeStored);
}

#[test]
fn a_failed_stream_accepts_a_new_record_after_its_backoff() {
    let mut appender = appender();
    let handle = appender
        .enqueue(at(0), STREAM, RecordBody::Probe)
        .expect("room");
    let mut now = at(0);
    for _ in 0..3 {
        while !matches!(appender.next(now), NextAppend::Send { .. }) {
            now += at(10);
        }
        appender.handle_answer(now, STREAM, AppendAnswer::Refused(at(0)), 0);
    }
    assert!(appender.is_failing(now, STREAM));
    assert_eq!(appender.withdraw(handle), Withdrawal::NeverSent);
    assert!(appender.is_failing(now, STREAM));
    let later = now + Duration::from_secs(20);
    assert!(
        !appender.is_failing(later, STREAM),
        "no record is left to retry, so a new one must be accepted"
    );
    appender
        .enqueue(later, STREAM, RecordBody::Probe)
        .expect("room");
    sent(appender.next(later));
}

#[test]
fn the_budget_bounds_appends() {
    let options = AppenderOptions {
        appends_per_s: 10.0,
        burst: 2.0,
        ..AppenderOptions::default()
    };
    let mut appender = Appender::new("h1".into(), 1, options);
    let mut count = 0;
    for step in 0..2_000 {
        let now = at(step * 5);
        appender
            .enqueue(now, STREAM, RecordBody::Probe)
            .expect("room");
        if let NextAppend::Send { .. } = appender.next(now) {
            count += 1;
            appender.handle_answer(now, STREAM, AppendAnswer::Stored(count), 0);
        }
    }
    assert!(
        count <= 102,
        "{count} appends in 10 s at 10 a second and a burst of 2"
    );
}
