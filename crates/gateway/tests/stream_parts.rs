//! Tests that a stream is split into the same events whatever the sizes of the
//! chunks in which it arrives.

use bytes::BytesMut;
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_gateway::front::EventSplitter;

/// Splits a text that arrives in chunks of the given sizes, which repeat. Returns
/// the complete events and the remaining bytes.
fn split(text: &[u8], sizes: &[usize]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut rest = BytesMut::from(text);
    for size in sizes.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let part = rest.split_to(rest.len().min(*size));
        splitter.push(&part).expect("small events");
        while let Some(event) = splitter.next_event() {
            events.push(event.to_vec());
        }
    }
    (events, splitter.take_partial_event().to_vec())
}

#[test]
fn events_end_with_an_empty_line_of_either_form() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: note\n\nid: 3\ndat";
    let (events, rest) = split(text, &[text.len()]);
    let expected: [&[u8]; 4] = [
        b"id: 1\ndata: a\n\n",
        b"id: 2\r\ndata: b\r\n\r\n",
        b"\n",
        b": note\n\n",
    ];
    assert_eq!(events, expected);
    assert_eq!(rest, b"id: 3\ndat");
}

#[test]
fn event_without_an_end_is_bounded() {
    let mut splitter = EventSplitter::default();
    let part = vec![b'x'; 600_000];
    assert!(splitter.push(&part).is_ok());
    assert!(splitter.push(&part).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn chunk_sizes_do_not_matter(
        text in "[a-c:\r\n]{0,120}",
        sizes in prop::collection::vec(1..9_usize, 1..6),
    ) {
        let whole = split(text.as_bytes(), &[usize::MAX]);
        let parts = split(text.as_bytes(), &sizes);
        prop_assert_eq!(&parts, &whole);
        let joined: Vec<u8> = parts.0.concat().into_iter().chain(parts.1).collect();
        prop_assert_eq!(joined, text.as_bytes());
    }
}
