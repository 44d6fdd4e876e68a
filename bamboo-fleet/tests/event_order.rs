//! Order of the events of streams that go on at other servers.

use bamboo_fleet::EventCheck;
use bamboo_fleet::EventOrder;
use bamboo_fleet::SseDecoder;
use test_case::test_case;

/// Guards against text of another response in the middle of a stream, and events that are missing in it.
#[test_case("id: 3\ndata: c\n\n", &[EventCheck::Forward]; "the next event")]
#[test_case(": ping\n\nid: 3\ndata: c\n\n", &[EventCheck::Forward, EventCheck::Forward]; "after a comment")]
#[test_case("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", &[EventCheck::Repeated, EventCheck::Forward]; "after a repeated event")]
#[test_case("id: 4\ndata: d\n\n", &[EventCheck::Foreign]; "a gap")]
#[test_case("data: error\n\n", &[EventCheck::Foreign]; "no identifier")]
#[test_case("Internal error\n\n", &[EventCheck::Foreign]; "text without a field")]
fn only_what_comes_next_goes_on_with_a_stream(text: &str, expected: &[EventCheck]) {
    let mut order = EventOrder::new(None);
    let mut decoder = SseDecoder::default();
    for event in decoder
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        .unwrap()
    {
        assert_eq!(order.check(&event), EventCheck::Forward);
    }
    order.resume();
    let events = decoder.push(text.as_bytes()).unwrap();
    let checks: Vec<EventCheck> = events.iter().map(|event| order.check(event)).collect();
    assert_eq!(checks, expected);
}

/// Guards against streams that cannot be resumed since their servers count events in steps.
#[test]
fn identifiers_may_grow_in_steps() {
    let mut order = EventOrder::new(None);
    let mut decoder = SseDecoder::default();
    for event in decoder
        .push(b"id: 10\ndata: a\n\nid: 20\ndata: b\n\n")
        .unwrap()
    {
        assert_eq!(order.check(&event), EventCheck::Forward);
    }
    order.resume();
    let events = decoder.push(b"id: 30\ndata: c\n\n").unwrap();
    assert_eq!(order.check(&events[0]), EventCheck::Forward);
}
