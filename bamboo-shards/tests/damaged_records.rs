//! Records and outputs of items that are damaged or without end.

use bamboo_shards::FragmentAssembler;
use bamboo_shards::ITEM_TEXT_MAX_BYTES;
use bamboo_shards::ItemRun;
use bamboo_shards::Record;
use bamboo_shards::split_record;
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

/// A comment is no progress: recording it would append to the store for as long as the server sends comments.
#[test]
fn a_comment_leaves_nothing_to_record() {
    let mut run = ItemRun::default();
    assert!(run.push_event(None, None));
    assert!(run.take_progress("job", 0).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

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
