//! Whether a silent server is still there.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ContactStep;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::Incarnation;
use support::ENGINES;
use support::server;
use tokio::time::Instant;

/// Something that happens at a millisecond.
enum ContactEvent {
    Failed(u64),
    Reached(u64),
    /// A request waits for the silent server, and is told this.
    Silent(u64, ContactStep),
    Lost(u64, bool),
}

struct ContactCase {
    name: &'static str,
    events: &'static [ContactEvent],
}

use ContactEvent::*;
use ContactStep::*;

const CASES: &[ContactCase] = &[
    ContactCase {
        name: "one question for all that wait",
        events: &[Silent(0, Ask), Silent(1, Wait), Silent(300, Wait), Silent(400, Ask)],
    },
    ContactCase {
        name: "an answer counts for all for a while",
        events: &[Silent(0, Ask), Reached(5), Silent(200, Wait), Silent(300, Ask)],
    },
    ContactCase {
        name: "so does a failure",
        events: &[Silent(0, Ask), Failed(150), Silent(160, Unreachable), Silent(420, Ask)],
    },
    ContactCase {
        name: "three failures over a while make a server lost",
        events: &[Failed(0), Failed(400), Lost(600, false), Failed(601), Lost(601, true)],
    },
    ContactCase {
        name: "not three at once: it has all the connections that it takes",
        events: &[Failed(0), Failed(1), Failed(2), Lost(100, false)],
    },
    ContactCase {
        name: "nor if something was heard of it",
        events: &[Failed(0), Failed(400), Reached(500), Failed(700), Lost(800, false)],
    },
    ContactCase {
        name: "a lost server that is heard of again is not lost",
        events: &[
            Failed(0),
            Failed(400),
            Failed(700),
            Lost(700, true),
            Reached(900),
            Lost(901, false),
        ],
    },
];

/// A caller waits for seconds at a server that its router knows to be gone, while each request that waits
/// there opens a connection of its own to ask it.
/// New requests find no connection, one after the other; what was sent before hears nothing.
#[test]
fn silent_servers() {
    for case in CASES {
        let start = Instant::now();
        let at = |ms: &u64| start + Duration::from_millis(*ms);
        let entry = Arc::new(server("e", ENGINES));
        let mut book = ServerBook::default();
        book.sync(std::slice::from_ref(&entry), start);
        for event in case.events {
            match event {
                Failed(ms) => book.unreachable(entry.key(), at(ms)),
                Reached(ms) => book.reached(entry.key(), at(ms)),
                Silent(ms, step) => {
                    assert_eq!(book.silent(entry.key(), at(ms)), *step, "{} at {ms}", case.name);
                }
                Lost(ms, lost) => {
                    assert_eq!(book.is_lost(&entry, at(ms)), *lost, "{} at {ms}", case.name);
                }
            }
        }
    }
}

/// A request waits at a server that has crashed and started again under its name. The list has the new
/// start, so that the old one cannot answer any more. A server that only left the list may still answer.
#[test]
fn a_new_start_ends_the_wait_for_the_old_one() {
    let now = Instant::now();
    let start = |number| {
        let incarnation = Some(Incarnation(number));
        Arc::new(ServerEntry { incarnation, ..server("e", ENGINES) })
    };
    let (old, new) = (start(6), start(7));
    let mut book = ServerBook::default();
    book.sync(std::slice::from_ref(&old), now);
    assert!(!book.is_lost(&old, now));
    book.sync(&[], now);
    assert!(!book.is_lost(&old, now), "it serves on for a while");
    book.sync(std::slice::from_ref(&new), now);
    assert!(book.is_lost(&old, now));
    assert!(!book.is_lost(&new, now));
}
