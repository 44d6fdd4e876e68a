//! Hashes of bearer keys as operators write them.

use bamboo_config::KeyHash;

#[test]
fn a_hash_in_upper_case_matches_its_key() {
    let lower = serde_json::to_string(&KeyHash::of("coach-key")).expect("JSON");
    let upper: KeyHash = serde_json::from_str(&lower.to_ascii_uppercase()).expect("a hash");
    assert!(upper.matches("coach-key"));
    assert_eq!(upper, KeyHash::of("coach-key"));
}
