//! Splitting of streams into complete events.

use fulmargate_dispatch::ContentEnd;
use fulmargate_dispatch::EventSplitter;
use quickcheck::Gen;
use quickcheck::QuickCheck;

struct SplitCase {
    name: &'static str,
    chunks: &'static [&'static str],
    output: &'static str,
    last_id: Option<&'static str>,
    end: ContentEnd,
}

const CASES: &[SplitCase] = &[
    SplitCase {
        name: "complete events are passed on",
        chunks: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
        output: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        last_id: Some("2"),
        end: ContentEnd::BetweenEvents,
    },
    SplitCase {
        name: "a partial event is buffered",
        chunks: &["id: 1\ndata: a\n\nid: 2\nda"],
        output: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "an event in several chunks",
        chunks: &["id:", " 7\r\ndata", ": x\r\n", "\r\n"],
        output: "id: 7\r\ndata: x\r\n\r\n",
        last_id: Some("7"),
        end: ContentEnd::BetweenEvents,
    },
    SplitCase {
        name: "no complete event",
        chunks: &["data: a\n"],
        output: "",
        last_id: None,
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "nothing",
        chunks: &[""],
        output: "",
        last_id: None,
        end: ContentEnd::NoEvent,
    },
    SplitCase {
        name: "an id without the empty line is not the id of an event",
        chunks: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n"],
        output: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "an id in a line that has not ended",
        chunks: &["id: 1\ndata: a\n\nid: 12"],
        output: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "carriage returns alone",
        chunks: &["id: 1\rdata: a\r\r", "id: 2\rdata: b\r", "\r"],
        output: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        last_id: Some("2"),
        end: ContentEnd::BetweenEvents,
    },
    SplitCase {
        name: "a line end split between two chunks",
        chunks: &["id: 1\r", "\ndata: a\r\n\r", "\nid: 2\r\n"],
        output: "id: 1\r\ndata: a\r\n\r\n",
        last_id: Some("1"),
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "mixed line ends",
        chunks: &["id: 1\r\ndata: a\n\r", "id: 2\rdata: b\r\n\n"],
        output: "id: 1\r\ndata: a\n\rid: 2\rdata: b\r\n\n",
        last_id: Some("2"),
        end: ContentEnd::BetweenEvents,
    },
    SplitCase {
        name: "empty lines and a comment after the last event",
        chunks: &["id: 1\ndata: a\n\n\n\r\n: bye\n"],
        output: "id: 1\ndata: a\n\n\n\r\n: bye\n",
        last_id: Some("1"),
        end: ContentEnd::BetweenEvents,
    },
    SplitCase {
        name: "a comment that has not ended",
        chunks: &["id: 1\ndata: a\n\n: by"],
        output: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
        end: ContentEnd::InsideComment,
    },
    SplitCase {
        name: "a comment inside an event",
        chunks: &["id: 1\n: more\n"],
        output: "",
        last_id: None,
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "a weights version before an event that is missing",
        chunks: &["id: 1\ndata: a\n\n", "weight-versions: 3\n"],
        output: "id: 1\ndata: a\n\n",
        last_id: Some("1"),
        end: ContentEnd::InsideEvent,
    },
    SplitCase {
        name: "a reconnection time is no event",
        chunks: &["retry: 100\n\n"],
        output: "retry: 100\n\n",
        last_id: None,
        end: ContentEnd::NoEvent,
    },
    SplitCase {
        name: "a byte order mark before the first id",
        chunks: &["\u{feff}id: 4\ndata: a\n\n"],
        output: "\u{feff}id: 4\ndata: a\n\n",
        last_id: Some("4"),
        end: ContentEnd::BetweenEvents,
    },
    SplitCase {
        name: "an id with a null character does not count",
        chunks: &["id: 1\ndata: a\n\nid: 2\0\nid\n\n"],
        output: "id: 1\ndata: a\n\nid: 2\0\nid\n\n",
        last_id: Some(""),
        end: ContentEnd::BetweenEvents,
    },
];

#[test]
fn only_complete_events_are_passed_on() {
    for case in CASES {
        let mut splitter = EventSplitter::default();
        let output: Vec<u8> =
            case.chunks.iter().flat_map(|chunk| splitter.push(chunk.as_bytes())).collect();
        assert_eq!(String::from_utf8_lossy(&output), case.output, "{}", case.name);
        assert_eq!(splitter.last_id(), case.last_id, "{}", case.name);
        assert_eq!(splitter.content_end(), case.end, "{}", case.name);
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

/// A drawn event with its number, as the lines before the empty one.
fn drawn_lines(kind: u8, number: usize) -> Vec<String> {
    let (id, data) = (format!("id: {number}"), format!("data: {}", "x".repeat(number % 7)));
    match kind % 6 {
        0 => vec![id, data],
        1 => vec![data, id],
        2 => vec![format!("id:{number}"), data.clone(), data],
        3 => vec!["weight-versions: 2".to_owned(), id, data],
        4 => vec![": a comment".to_owned(), id, "retry: 10".to_owned(), data],
        _ => vec!["event: token".to_owned(), id, data],
    }
}

/// Guards against a cut stream that is taken for whole, and a whole one that is taken for cut: drawn events and
/// line ends, cut at each byte, in drawn reads.
#[test]
fn a_cut_at_any_byte_is_noticed() {
    fn property(kinds: Vec<u8>, ends: Vec<u8>, reads: Vec<u8>) -> bool {
        let (kinds, reads) = (kinds.into_boxed_slice(), reads.into_boxed_slice());
        let mut ends = ends.into_iter().cycle();
        let mut stream = String::new();
        let mut line_start = 0;
        let mut event_ends = vec![0];
        for (number, kind) in kinds.iter().enumerate().take(6) {
            let mut lines = drawn_lines(*kind, number + 1);
            lines.push(String::new());
            for line in lines {
                // After a carriage return, a line feed alone would belong to the line end before it.
                let choices = if stream.ends_with('\r') && line.is_empty() {
                    ["\r", "\r\n", "\r"]
                } else {
                    ["\n", "\r\n", "\r"]
                };
                let end = choices[usize::from(ends.next().unwrap_or_default()) % choices.len()];
                stream.push_str(&line);
                line_start = stream.len();
                stream.push_str(end);
            }
            event_ends.push(line_start + 1);
        }
        let bytes = stream.as_bytes();
        (0..=bytes.len()).all(|cut| {
            let (output, splitter) = split(&bytes[..cut], &reads);
            let complete = event_ends.iter().filter(|end| **end <= cut).count() - 1;
            let ended_at = event_ends[complete];
            // The line feed of a line end may follow, and comments between two events.
            let after = &bytes[ended_at..cut];
            let is_between = is_between_events(after);
            let is_noticed = match splitter.content_end() {
                ContentEnd::InsideEvent | ContentEnd::InsideComment => !is_between,
                ContentEnd::NoEvent => is_between && complete == 0,
                ContentEnd::BetweenEvents | ContentEnd::Plain => is_between && 0 < complete,
            };
            let last_id = (0 < complete).then(|| complete.to_string());
            let is_prefix = bytes.starts_with(&output) && ended_at <= output.len();
            is_noticed && is_prefix && splitter.last_id() == last_id.as_deref()
        })
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(40, 41))
        .quickcheck(property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Whether these bytes after an event hold nothing but line ends and complete comments.
fn is_between_events(after: &[u8]) -> bool {
    let text = String::from_utf8_lossy(after).replace('\r', "\n");
    let has_fields = text.lines().any(|line| !line.is_empty() && !line.starts_with(':'));
    !has_fields && (text.is_empty() || text.ends_with('\n'))
}

fn split(bytes: &[u8], reads: &[u8]) -> (Vec<u8>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut output = Vec::new();
    let mut rest = bytes;
    let mut reads = reads.iter().cycle();
    while !rest.is_empty() {
        let length = reads.next().map_or(1, |read| usize::from(*read) % 9 + 1).min(rest.len());
        let (chunk, after) = rest.split_at(length);
        output.extend(splitter.push(chunk));
        rest = after;
    }
    (output, splitter)
}

/// An event larger than the buffer is passed on in parts. A stream that is cut there has ended inside it, and must
/// not be resumed into half an event.
#[test]
fn a_cut_inside_a_large_event_is_final() {
    let mut splitter = EventSplitter::default();
    let large = vec![b'x'; 300 * 1024];
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: ");
    let passed = splitter.push(&large);
    assert!(large.len() < passed.len(), "{} bytes were passed on", passed.len());
    assert_eq!((splitter.content_end(), splitter.can_resume()), (ContentEnd::InsideEvent, false));
    splitter.push(b"\n\n");
    assert_eq!((splitter.last_id(), splitter.can_resume()), (Some("2"), true));
    assert_eq!(splitter.content_end(), ContentEnd::BetweenEvents);
}

/// Events without an id cannot be told from each other: a resumed stream would repeat them.
#[test]
fn a_stream_does_not_resume_after_an_event_without_id() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\ndata: b\n\n");
    assert!(!splitter.can_resume());
    splitter.push(b"id: 3\ndata: c\n\n");
    assert!(splitter.can_resume());
}

/// The byte order mark of a resumed response would stand in the middle of the caller's stream.
#[test]
fn a_resumed_response_has_no_byte_order_mark() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.begin_resumed();
    assert_eq!(splitter.content_end(), ContentEnd::NoEvent);
    let output = splitter.push("\u{feff}id: 2\ndata: b\n\n".as_bytes());
    assert_eq!(output, b"id: 2\ndata: b\n\n");
    assert_eq!((splitter.last_id(), splitter.events()), (Some("2"), 2));
}
