//! Whole events out of bytes.

use fulmargate_dispatch::EventSplitter;
use quickcheck::Gen;
use quickcheck::QuickCheck;

struct SplitCase {
    name: &'static str,
    pieces: &'static [&'static str],
    passed: &'static str,
    last_id: Option<&'static str>,
}

const CASES: &[SplitCase] = &[
    SplitCase {
        name: "whole events pass",
        pieces: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
        passed: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        last_id: Some("2"),
    },
    SplitCase {
        name: "the beginning of an event is held back",
        pieces: &["id: 1\ndata: a\n\nid: 2\nda"],
        passed: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
    },
    SplitCase {
        name: "an event in pieces",
        pieces: &["id:", " 7\r\ndata", ": x\r\n", "\r\n"],
        passed: "id: 7\r\ndata: x\r\n\r\n",
        last_id: Some("7"),
    },
    SplitCase { name: "nothing whole yet", pieces: &["data: a\n"], passed: "", last_id: None },
];

#[test]
fn splits() {
    for case in CASES {
        let mut splitter = EventSplitter::default();
        let passed: Vec<u8> =
            case.pieces.iter().flat_map(|piece| splitter.push(piece.as_bytes())).collect();
        assert_eq!(String::from_utf8_lossy(&passed), case.passed, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
    }
}

/// The caller's stream shows half an event twice.
/// A server crashes within an event; another goes on after the last whole one.
/// Whatever the cuts, what passes is a prefix of the stream that ends with an event.
#[test]
fn what_passes_ends_with_an_event() {
    fn property(cuts: Vec<u8>, events: u8) -> bool {
        let stream: String = (0..events % 20)
            .map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id.into())))
            .collect();
        let mut rest = stream.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(cut).min(rest.len()));
            passed.extend(splitter.push(piece));
            rest = after;
        }
        let is_whole = passed.is_empty() || passed.ends_with(b"\n\n");
        is_whole && stream.as_bytes().starts_with(&passed)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 9))
        .quickcheck(property as fn(Vec<u8>, u8) -> bool);
}
