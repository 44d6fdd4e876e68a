//! Records and outputs of items that are damaged or without end.

use bamboo_shards::FragmentAssembler;
use bamboo_shards::ITEM_TEXT_MAX_BYTES;
use bamboo_shards::ItemProgress;
use bamboo_shards::ItemResult;
use bamboo_shards::ItemRun;
use bamboo_shards::Record;
use bamboo_shards::ResultState;
use bamboo_shards::item_text_max_bytes;
use bamboo_shards::record_max_bytes;
use bamboo_shards::split_record;
use bamboo_types::StreamOrigin;
use proptest::collection::vec;
use proptest::prelude::*;

/// Events without end would fill the memory of the shard's owner: an item has no deadline of its own.
#[test]
fn an_output_without_end_is_rejected_at_the_bound() {
    let mut run = ItemRun::default();
    let data = vec![b'x'; 1_000];
    let accepted = (1..10_000)
        .take_while(|id| run.push_event(Some(*id), Some(data.clone())))
        .count();
    assert_eq!(accepted, ITEM_TEXT_MAX_BYTES / 1_001);
    assert!(run.text().len() <= ITEM_TEXT_MAX_BYTES);
}

/// Guards against a result that is longer than the bytes that were counted, as each byte that is no text becomes three.
#[test]
fn bytes_that_are_no_text_are_no_output() {
    let mut run = ItemRun::default();
    assert!(run.push_event(Some(1), Some(b"a".to_vec())));
    assert!(!run.push_event(Some(2), Some(vec![0xff; 9])));
    assert_eq!((run.text().as_str(), run.text_bytes()), ("a", 1));
}

/// Guards against the same from progress that an earlier release recorded.
#[test]
fn recorded_output_that_is_no_text_is_discarded() {
    let mut run = ItemRun::default();
    run.apply_progress(ItemProgress {
        job: "j".into(),
        item: 0,
        text_offset: 0,
        text: vec![0xff; 9],
        last_event_id: Some(4),
        event_count: 4,
        failed_attempts: 1,
        origin: None,
    });
    assert_eq!((run.text_bytes(), run.last_event_id()), (0, None));
}

/// A comment is no progress: recording it would append to the store for as long as the server sends comments.
#[test]
fn a_comment_leaves_nothing_to_record() {
    let mut run = ItemRun::default();
    assert!(run.push_event(None, None));
    assert!(run.take_progress("job", 0).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a record that the store rejects for good: of the largest record all fragments fit, of a longer one not.
    #[test]
    fn the_largest_record_fits_into_an_append(
        append_max_bytes in 100usize..5_000,
        fragment_max_bytes in 2usize..600,
    ) {
        let bytes_of = |record_bytes: usize| {
            let fragments = split_record(&vec![0; record_bytes], fragment_max_bytes);
            fragments.iter().map(|fragment| fragment.len() + 8).sum::<usize>()
        };
        let largest = record_max_bytes(append_max_bytes, fragment_max_bytes, 8);
        prop_assert!(bytes_of(largest) <= append_max_bytes);
        prop_assert!(bytes_of(largest + 1) > append_max_bytes);
    }

    /// Guards against an output whose result or progress does not fit into a record.
    #[test]
    fn the_longest_output_fits_into_a_record(
        record_max_bytes in 300usize..200_000,
        job_bytes in 1usize..60,
        version_bytes in 0usize..60,
    ) {
        let job = "j".repeat(job_bytes);
        let origin = StreamOrigin { service: "llm".into(), version: "v".repeat(version_bytes).as_str().into() };
        let text = "x".repeat(item_text_max_bytes(record_max_bytes, &job, &origin));
        let result = ItemResult { item: u32::MAX, state: ResultState::Done, text: text.clone() };
        let progress = ItemProgress {
            job: job.clone(),
            item: u32::MAX,
            text_offset: 0,
            text: text.into_bytes(),
            last_event_id: Some(u64::MAX),
            event_count: u32::MAX,
            failed_attempts: u32::MAX,
            origin: Some(origin),
        };
        let result = Record::Results { job, results: vec![result] };
        for record in [result, Record::Progress(vec![progress])] {
            prop_assert!(record.to_bytes().unwrap().len() <= record_max_bytes);
        }
    }

    #[test]
    fn arbitrary_fragments_are_decoded_or_rejected(
        fragments in vec(vec(any::<u8>(), 0..60), 0..20),
        version in 0u8..4,
    ) {
        let mut assembler = FragmentAssembler::default();
        for mut fragment in fragments {
            fragment.splice(..0, [0, version]);
            // Only a panic or an abort would be a failure.
            let _ = Record::from_fragment(&mut assembler, &fragment);
        }
    }

    #[test]
    fn a_record_with_one_damaged_byte_is_decoded_or_rejected(
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        fragment_max_bytes in 2usize..40,
    ) {
        let record = Record::Cancelled { job: "a job of some length".into() };
        let mut bytes = record.to_bytes().unwrap();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let mut assembler = FragmentAssembler::default();
        for fragment in split_record(&bytes, fragment_max_bytes) {
            let _ = Record::from_fragment(&mut assembler, &fragment);
        }
    }
}
