//! Pages of a list whose keys any writer may choose.

use std::collections::BTreeMap;

use bamboo_relay::PageStep;
use bamboo_relay::Pages;
use test_case::test_case;

/// Keys in a page of the list below.
const PAGE_KEYS: usize = 2;
/// More pages than any of the lists has.
const PAGES_MAX: usize = 50;

/// Reads a list that is sorted by the bytes of its keys and shows them as text. Returns the keys and the last step.
fn read_list(keys: &[&[u8]]) -> (Vec<String>, PageStep) {
    let list: BTreeMap<&[u8], String> = keys
        .iter()
        .map(|key| (*key, String::from_utf8_lossy(key).into_owned()))
        .collect();
    let (mut pages, mut read, mut after) = (Pages::default(), Vec::new(), None::<String>);
    for _ in 0..PAGES_MAX {
        let rest: Vec<&String> = list
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| **key > after.as_bytes()))
            .map(|(_, shown)| shown)
            .collect();
        let page = &rest[..rest.len().min(PAGE_KEYS)];
        read.extend(page.iter().map(|key| (*key).clone()));
        let last_key = page.last().map(|key| key.as_str());
        match pages.step(rest.len() > PAGE_KEYS, last_key) {
            PageStep::ReadAfter(key) => after = Some(key),
            end => return (read, end),
        }
    }
    panic!("the pages do not end");
}

/// Guards against a host that reads the same page for ever, and never learns what comes after keys that are no text.
#[test_case(&[b"a", b"b", b"c", b"d", b"e"]; "text")]
#[test_case(&[b"a", b"k\xff1", b"k\xff2", b"k\xff3", b"z"]; "unreadable keys in the middle")]
#[test_case(&[b"k\x801", b"k\xff\xff", b"k\xff2", b"k\xff3", b"z"]; "unreadable keys at the start")]
fn all_readable_keys_are_read(keys: &[&[u8]]) {
    let (read, end) = read_list(keys);
    assert_eq!(end, PageStep::Done);
    for key in keys.iter().filter_map(|key| std::str::from_utf8(key).ok()) {
        assert!(read.iter().any(|read| read == key), "{key} in {read:?}");
    }
}

/// Guards against pages without end where nothing tells how to go on.
#[test]
fn pages_that_do_not_advance_end() {
    let (_, end) = read_list(&[b"\xff1", b"\xff2", b"\xff3", b"\xff4"]);
    assert_eq!(end, PageStep::Stuck);
    assert_eq!(Pages::default().step(true, None), PageStep::Stuck);
}

/// Guards against a list that is taken for stuck because an entry was written again while its pages were read.
#[test]
fn a_key_that_comes_again_beside_new_ones_is_no_standstill() {
    let mut pages = Pages::default();
    for key in ["a", "b", "c"] {
        let step = pages.step(true, Some(key));
        assert_eq!(step, PageStep::ReadAfter(key.to_owned()));
    }
    assert_eq!(pages.step(false, Some("a")), PageStep::Done);
}
