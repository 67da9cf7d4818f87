//! Splitting of streams into complete events.

use fulmargate_dispatch::EventSplitter;
use quickcheck::Gen;
use quickcheck::QuickCheck;

struct SplitCase {
    name: &'static str,
    chunks: &'static [&'static str],
    output: &'static str,
    last_id: Option<&'static str>,
}

const CASES: &[SplitCase] = &[
    SplitCase {
        name: "complete events are passed on",
        chunks: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
        output: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        last_id: Some("2"),
    },
    SplitCase {
        name: "a partial event is buffered",
        chunks: &["id: 1\ndata: a\n\nid: 2\nda"],
        output: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
    },
    SplitCase {
        name: "an event in several chunks",
        chunks: &["id:", " 7\r\ndata", ": x\r\n", "\r\n"],
        output: "id: 7\r\ndata: x\r\n\r\n",
        last_id: Some("7"),
    },
    SplitCase { name: "no complete event", chunks: &["data: a\n"], output: "", last_id: None },
];

#[test]
fn only_complete_events_are_passed_on() {
    for case in CASES {
        let mut splitter = EventSplitter::default();
        let output: Vec<u8> =
            case.chunks.iter().flat_map(|chunk| splitter.push(chunk.as_bytes())).collect();
        assert_eq!(String::from_utf8_lossy(&output), case.output, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
    }
}

/// Guards against a partial event before a resumed stream: for any chunk boundaries, the output is a prefix of
/// the stream that ends with a complete event.
#[test]
fn output_ends_with_a_complete_event() {
    fn property(lengths: Vec<u8>, events: u8) -> bool {
        let stream: String = (0..events % 20)
            .map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id.into())))
            .collect();
        let mut remaining = stream.as_bytes();
        let mut splitter = EventSplitter::default();
        let mut output = Vec::new();
        for length in lengths {
            let (chunk, after) = remaining.split_at(usize::from(length).min(remaining.len()));
            output.extend(splitter.push(chunk));
            remaining = after;
        }
        let is_complete = output.is_empty() || output.ends_with(b"\n\n");
        is_complete && stream.as_bytes().starts_with(&output)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 9))
        .quickcheck(property as fn(Vec<u8>, u8) -> bool);
}
