//! Servers that send bytes without end, or a byte now and then: what a host buffers, and how long it waits.

use std::time::Duration;

use bamboo_fleet::BufferBudget;
use bamboo_fleet::EVENT_MAX_BYTES;
use bamboo_fleet::SilenceCheck;
use bamboo_fleet::SilenceTimer;
use bamboo_fleet::SseDecoder;
use bamboo_fleet::SseEvent;
use bamboo_fleet::UNCOUNTED_BODY_BYTES;
use proptest::collection::vec;
use proptest::prelude::*;
use test_case::test_case;

const FRAME_BYTES: usize = 16 << 10;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Without a bound the decoder buffers whatever a server sends until its host runs out of memory.
#[test]
fn an_event_without_end_is_rejected_at_the_bound() {
    let mut decoder = SseDecoder::default();
    let frame = vec![b'x'; FRAME_BYTES];
    let accepted = (0..1_000)
        .take_while(|_| decoder.push(&frame).is_ok())
        .count();
    assert_eq!(accepted, EVENT_MAX_BYTES / FRAME_BYTES);
    assert_eq!(decoder.buffered_bytes(), 0);
}

/// A decoder that searches its whole buffer at each push needs minutes for an event of this size.
#[test]
fn a_large_event_in_small_parts_is_decoded_in_linear_time() {
    const EVENT_BYTES: usize = 24 << 20;
    let mut decoder = SseDecoder::new(EVENT_BYTES + FRAME_BYTES);
    for _ in 0..EVENT_BYTES / 256 {
        assert!(decoder.push(&[b'x'; 256]).unwrap().is_empty());
    }
    let events = decoder.push(b"\n\n").unwrap();
    assert_eq!(events[0].raw.len(), EVENT_BYTES + 2);
}

fn push_in_parts(bytes: &[u8], part_lens: &[usize]) -> (Vec<SseEvent>, bool) {
    let mut decoder = SseDecoder::default();
    let mut events = Vec::new();
    let mut rest = bytes;
    for len in part_lens.iter().cycle() {
        let (part, next) = rest.split_at((*len).min(rest.len()));
        events.extend(decoder.push(part).unwrap());
        rest = next;
        if rest.is_empty() {
            break;
        }
    }
    (events, decoder.has_partial())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the bytes and wherever they are split, the events are the same, and no byte is lost or added.
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        bytes in vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b':'), Just(b'd'), any::<u8>()], 1..300),
        part_lens in vec(1usize..20, 1..8),
    ) {
        let (whole, has_partial) = push_in_parts(&bytes, &[bytes.len()]);
        prop_assert_eq!(push_in_parts(&bytes, &part_lens), (whole.clone(), has_partial));
        let decoded: Vec<u8> = whole.iter().flat_map(|event| event.raw.clone()).collect();
        prop_assert!(bytes.starts_with(&decoded));
        prop_assert_eq!(has_partial, decoded.len() < bytes.len());
    }

    /// Arbitrary bytes never make the decoder hold more than its bound.
    #[test]
    fn the_decoder_holds_no_more_than_its_bound(
        parts in vec(vec(prop_oneof![9 => any::<u8>(), 1 => Just(b'\n')], 0..40), 0..40),
    ) {
        let mut decoder = SseDecoder::new(64);
        for part in &parts {
            if let Ok(events) = decoder.push(part) {
                prop_assert!(events.iter().all(|event| event.raw.len() <= 64));
            }
            prop_assert!(decoder.buffered_bytes() <= 64);
        }
    }
}

/// Bytes that complete no event used to begin the wait anew, so that a stalled stream never ended.
#[test]
fn a_byte_now_and_then_does_not_extend_the_wait() {
    let mut timer = SilenceTimer::start(at(0), at(130), at(5_000));
    let silent_at = (0..100)
        .map(|step| step * 10)
        .find(|ms| timer.check(at(*ms)) == SilenceCheck::Silent);
    assert_eq!(silent_at, Some(130));
}

/// A stream with an event just before each timeout is sound, however long it lasts, until its deadline.
#[test]
fn a_slow_but_sound_stream_is_read_until_its_deadline() {
    let mut events = 0;
    for begin in (0..).step_by(129).take_while(|begin| *begin < 5_000) {
        let mut timer = SilenceTimer::start(at(begin), at(130), at(5_000));
        let arrives = at(begin + 129).min(at(4_999));
        assert!(matches!(timer.check(arrives), SilenceCheck::Wait(_)));
        events += 1;
    }
    assert_eq!(events, 39);
    let mut last = SilenceTimer::start(at(4_990), Duration::MAX, at(5_000));
    assert_eq!(last.check(at(4_999)), SilenceCheck::Wait(at(1)));
    assert_eq!(last.check(at(5_000)), SilenceCheck::Silent);
}

/// On a host that was stalled itself an event may wait to be read. Stalls one after another must not add up for ever.
#[test]
fn a_stall_of_the_host_extends_the_wait_a_few_times() {
    let mut timer = SilenceTimer::start(at(0), at(130), Duration::MAX);
    assert_eq!(timer.check(at(500)), SilenceCheck::Wait(at(130)));
    assert_eq!(timer.check(at(630)), SilenceCheck::Silent);
    let mut timer = SilenceTimer::start(at(0), at(130), Duration::MAX);
    let silent = (1..10).find(|stall| timer.check(at(stall * 500)) == SilenceCheck::Silent);
    assert_eq!(silent, Some(4));
}

/// Large bodies fill the budget and are cut off; those of other requests stay below the uncounted size and pass.
#[test_case(0; "of an empty budget")]
#[test_case(3 << 20; "of a budget of megabytes")]
fn bodies_without_end_hold_no_more_than_the_budget(budget_bytes: usize) {
    let budget = BufferBudget::new(budget_bytes);
    let mut endless: Vec<_> = (0..10).map(|_| budget.begin_body()).collect();
    for _ in 0..1_000 {
        for body in &mut endless {
            body.grow(FRAME_BYTES);
        }
    }
    let held: usize = endless.iter().map(|body| body.body_bytes()).sum();
    assert!(held <= budget_bytes + endless.len() * UNCOUNTED_BODY_BYTES);
    assert!(budget.used_bytes() <= budget_bytes);
    assert!(budget.begin_body().grow(UNCOUNTED_BODY_BYTES));
    drop(endless);
    assert_eq!(budget.used_bytes(), 0);
}
