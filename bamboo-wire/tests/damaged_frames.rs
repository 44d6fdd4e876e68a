//! Frames, log entries and records whose bytes are damaged: an error, never a panic or an allocation of what they claim.

use bamboo_log::Entry;
use bamboo_wire::Frame;
use proptest::collection::vec;
use proptest::prelude::*;

/// A length of nearly 2^63 in front of a text, after the version byte. Its allocation would abort the process.
const FALSE_LENGTH: [u8; 11] = [1, 253, 255, 255, 255, 255, 255, 255, 255, 127, b'a'];

/// The first field of both formats is the identifier of a host, whose length is read before its bytes.
#[test]
fn a_false_length_is_an_error() {
    assert!(Frame::try_from(FALSE_LENGTH.as_slice()).is_err());
    assert!(Entry::try_from(FALSE_LENGTH.as_slice()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..200)) {
        let with_version = [&[1], bytes.as_slice()].concat();
        for bytes in [bytes, with_version] {
            // Only a panic or an abort would be a failure.
            let _ = Frame::try_from(bytes.as_slice());
            let _ = Entry::try_from(bytes.as_slice());
        }
    }
}
