//! Whether the host takes its own trouble for the servers'.

mod support;

use std::time::Duration;

use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ContactStep;
use fulmargate_dispatch::ReachCount;
use fulmargate_dispatch::ReachNews;
use fulmargate_dispatch::ServerBook;
use support::engines;
use support::key;
use tokio::time::Instant;

/// Something that happens at a millisecond.
enum ReachStep {
    /// Connections to these servers ended so.
    Tried(u64, &'static [&'static str], ConnectEnd),
    /// They ended so, and the sends that wanted them with them.
    Vain(u64, &'static [&'static str], ConnectEnd),
    Doubts(u64, bool),
    Lost(u64, &'static str, bool),
    Open(u64, &'static str, bool),
    /// A request waits for the silent server, and is told this.
    Asked(u64, &'static str, ContactStep),
}

struct ReachCase {
    name: &'static str,
    steps: &'static [ReachStep],
}

use ConnectEnd::Reached;
use ConnectEnd::Refused;
use ConnectEnd::Silent;
use ReachStep::*;

/// Two servers in each of three zones.
const ALL: &[&str] = &["a1", "a2", "b1", "b2", "c1", "c2"];
const ZONE_A: &[&str] = &["a1", "a2"];
const OTHER_ZONES: &[&str] = &["b1", "b2", "c1", "c2"];
const BUT_A1: &[&str] = &["a2", "b1", "b2", "c1", "c2"];

const FULL_LINK: &[ReachCase] = &[
    ReachCase {
        name: "a full link: no server is lost, and none is given up for its silence",
        steps: &[
            Vain(0, ALL, Silent),
            Doubts(0, true),
            Asked(10, "a1", ContactStep::Ask),
            Asked(20, "a1", ContactStep::Wait),
            Vain(400, ALL, Silent),
            Vain(800, ALL, Silent),
            Lost(800, "a1", false),
            Vain(1_200, ALL, Silent),
            Lost(1_200, "a1", false),
            Asked(1_210, "b1", ContactStep::Ask),
        ],
    },
    ReachCase {
        name: "the link fills: that all were reached a moment ago says nothing of now",
        steps: &[
            Tried(0, ALL, Reached),
            Vain(160, &["a1"], Silent),
            Doubts(160, false),
            Vain(200, &["b1"], Silent),
            Doubts(200, true),
            Vain(600, BUT_A1, Silent),
            Doubts(600, true),
        ],
    },
    ReachCase {
        name: "with nothing reached it lasts as long as the trouble",
        steps: &[
            Tried(0, ALL, Silent),
            Tried(900, ALL, Silent),
            Tried(1_800, ALL, Silent),
            Tried(2_700, ALL, Silent),
            Tried(3_600, ALL, Silent),
            Tried(4_500, ALL, Silent),
            Doubts(4_500, true),
        ],
    },
    ReachCase {
        name: "the link is well again: the doubt ends with the connections that come about",
        steps: &[
            Vain(0, ALL, Silent),
            Vain(800, ALL, Silent),
            Vain(1_000, ALL, Silent),
            Tried(1_100, ZONE_A, Reached),
            Doubts(1_100, false),
            Lost(1_100, "b1", false),
        ],
    },
    ReachCase {
        name: "and by itself if none is tried",
        steps: &[Tried(0, ALL, Silent), Doubts(999, true), Doubts(1_000, false)],
    },
    ReachCase {
        name: "what was held against a server before does not count after it",
        steps: &[
            Vain(0, &["a1"], Silent),
            Vain(300, &["a1"], Silent),
            Vain(500, ALL, Silent),
            Doubts(500, true),
            Tried(800, BUT_A1, Reached),
            Doubts(800, false),
            Vain(900, &["a1"], Silent),
            Lost(900, "a1", false),
            Vain(1_400, &["a1"], Silent),
            Lost(1_400, "a1", true),
        ],
    },
    ReachCase {
        name: "a server that has long been dead does not delay the doubt",
        steps: &[
            Vain(0, &["a1"], Silent),
            Vain(400, &["a1"], Silent),
            Vain(800, &["a1"], Silent),
            Tried(950, &["a2", "b1"], Reached),
            Tried(1_150, &["b2", "c1", "c2"], Silent),
            Doubts(1_150, true),
        ],
    },
    ReachCase {
        name: "a server that refuses is lost in any case",
        steps: &[
            Tried(0, BUT_A1, Silent),
            Vain(0, &["a1"], Refused),
            Vain(300, &["a1"], Refused),
            Asked(310, "a1", ContactStep::Unreachable),
            Tried(600, BUT_A1, Silent),
            Vain(600, &["a1"], Refused),
            Doubts(600, true),
            Lost(600, "a1", true),
        ],
    },
    ReachCase {
        name: "a server is left alone for a moment only",
        steps: &[
            Vain(0, ALL, Silent),
            Vain(400, ALL, Silent),
            Vain(800, ALL, Silent),
            Open(1_199, "a1", false),
            Open(1_200, "a1", true),
        ],
    },
];

const OUTAGES: &[ReachCase] = &[
    ReachCase {
        name: "one server of many is dead",
        steps: &[
            Tried(0, BUT_A1, Reached),
            Vain(0, &["a1"], Silent),
            Vain(400, &["a1"], Silent),
            Doubts(400, false),
            Asked(410, "a1", ContactStep::Unreachable),
            Vain(700, &["a1"], Silent),
            Doubts(700, false),
            Lost(700, "a1", true),
        ],
    },
    ReachCase {
        name: "two servers die together while another one is reached",
        steps: &[
            Tried(100, &["c1"], Reached),
            Vain(200, &["a1", "b1"], Silent),
            Doubts(200, false),
            Vain(600, &["a1", "b1"], Silent),
            Doubts(600, false),
            Tried(700, &["c1"], Reached),
            Vain(900, &["a1", "b1"], Silent),
            Doubts(900, false),
            Lost(900, "a1", true),
            Tried(2_200, &["c1"], Reached),
            Vain(2_500, &["a1", "b1"], Silent),
            Doubts(2_500, false),
        ],
    },
    ReachCase {
        name: "a server that is back is not lost, before its first answer",
        steps: &[
            Tried(0, BUT_A1, Reached),
            Vain(0, &["a1"], Silent),
            Vain(400, &["a1"], Silent),
            Vain(1_200, &["a1"], Silent),
            Lost(1_200, "a1", true),
            Tried(2_800, &["a1"], Reached),
            Lost(2_800, "a1", false),
            Lost(3_800, "a1", false),
        ],
    },
    ReachCase {
        name: "one connection that nobody refused is asked for once more",
        steps: &[
            Vain(0, &["a1"], Silent),
            Asked(10, "a1", ContactStep::Ask),
            Vain(160, &["a1"], Silent),
            Asked(170, "a1", ContactStep::Unreachable),
        ],
    },
    ReachCase {
        name: "a zone cut off from two others: its own servers show that the host is well",
        steps: &[
            Tried(0, ZONE_A, Reached),
            Vain(0, OTHER_ZONES, Silent),
            Doubts(0, false),
            Vain(400, OTHER_ZONES, Silent),
            Tried(700, ZONE_A, Reached),
            Vain(700, OTHER_ZONES, Silent),
            Doubts(700, false),
            Lost(700, "b1", true),
            Lost(700, "a1", false),
        ],
    },
    ReachCase {
        name: "the others were tried first: the doubt ends with the own zone's servers",
        steps: &[
            Vain(0, OTHER_ZONES, Silent),
            Doubts(0, true),
            Tried(100, ZONE_A, Reached),
            Doubts(100, false),
            Vain(300, OTHER_ZONES, Silent),
            Vain(600, OTHER_ZONES, Silent),
            Tried(800, ZONE_A, Reached),
            Vain(900, OTHER_ZONES, Silent),
            Lost(900, "b1", true),
        ],
    },
    ReachCase {
        name: "a zone cut off from three others of its size",
        steps: &[
            Tried(0, &["a1"], Reached),
            Vain(0, &["b1", "b2", "c1"], Silent),
            Doubts(0, false),
            Tried(600, &["a1"], Reached),
            Vain(600, &["b1", "b2", "c1"], Silent),
            Doubts(600, false),
        ],
    },
    ReachCase {
        name: "a zone with one server of six is cut off: the doubt is bounded",
        steps: &[
            Tried(0, &["a1"], Reached),
            Vain(0, BUT_A1, Silent),
            Doubts(0, true),
            Tried(900, &["a1"], Reached),
            Vain(900, BUT_A1, Silent),
            Tried(1_800, &["a1"], Reached),
            Vain(1_800, BUT_A1, Silent),
            Tried(2_700, &["a1"], Reached),
            Vain(2_700, BUT_A1, Silent),
            Doubts(2_999, true),
            Doubts(3_000, false),
            Tried(3_100, &["a1"], Reached),
            Vain(3_100, BUT_A1, Silent),
            Vain(3_400, BUT_A1, Silent),
            Vain(3_700, BUT_A1, Silent),
            Doubts(3_700, false),
            Lost(3_700, "b1", true),
        ],
    },
    ReachCase {
        name: "so it is on a quiet host, which hears its one server now and then",
        steps: &[
            Vain(0, BUT_A1, Silent),
            Tried(500, &["a1"], Reached),
            Vain(1_600, BUT_A1, Silent),
            Doubts(1_600, true),
            Tried(2_200, &["a1"], Reached),
            Vain(3_300, BUT_A1, Silent),
            Doubts(3_400, true),
            Doubts(3_500, false),
            Tried(4_000, &["a1"], Reached),
            Vain(5_100, BUT_A1, Silent),
            Doubts(5_100, false),
        ],
    },
    ReachCase {
        name: "or its zone's servers, with the doubt over in between",
        steps: &[
            Vain(0, OTHER_ZONES, Silent),
            Tried(500, ZONE_A, Reached),
            Doubts(500, false),
            Vain(1_600, OTHER_ZONES, Silent),
            Doubts(1_600, true),
            Tried(2_200, ZONE_A, Reached),
            Doubts(2_200, false),
            Vain(3_600, OTHER_ZONES, Silent),
            Doubts(3_600, false),
        ],
    },
    ReachCase {
        name: "nor does it begin anew while the cut goes on, with pauses",
        steps: &[
            Tried(0, &["a1"], Reached),
            Vain(0, BUT_A1, Silent),
            Tried(1_500, &["a1"], Reached),
            Vain(1_500, BUT_A1, Silent),
            Doubts(1_500, true),
            Tried(3_200, &["a1"], Reached),
            Vain(3_200, BUT_A1, Silent),
            Doubts(3_200, false),
            Tried(5_800, &["a1"], Reached),
            Vain(5_800, BUT_A1, Silent),
            Doubts(5_800, false),
            Tried(8_800, &["a1"], Reached),
            Vain(8_800, BUT_A1, Silent),
            Doubts(8_800, true),
        ],
    },
    ReachCase {
        name: "two servers only, one of them dead",
        steps: &[
            Tried(0, &["a2"], Reached),
            Vain(0, &["a1"], Silent),
            Vain(300, &["a1"], Silent),
            Vain(600, &["a1"], Silent),
            Doubts(600, false),
            Lost(600, "a1", true),
        ],
    },
    ReachCase {
        name: "one server only, and it is dead",
        steps: &[
            Vain(0, &["a1"], Silent),
            Vain(300, &["a1"], Silent),
            Vain(600, &["a1"], Silent),
            Doubts(600, false),
            Lost(600, "a1", true),
        ],
    },
    ReachCase {
        name: "the process has just started, and the first server is dead",
        steps: &[Doubts(0, false), Vain(1, &["a1"], Silent), Doubts(1, false)],
    },
    ReachCase {
        name: "nothing was tried lately: old failures are none of today's",
        steps: &[Tried(0, &["b1"], Silent), Tried(1_000, &["a1"], Silent), Doubts(1_000, false)],
    },
];

fn play(case: &ReachCase) {
    let start = Instant::now();
    let at = |ms: &u64| start + Duration::from_millis(*ms);
    let mut book = ServerBook::default();
    book.sync(&engines(ALL), start);
    let entry_of = |name: &str| engines(&[name]).remove(0);
    for step in case.steps {
        match step {
            Tried(ms, names, end) => {
                names.iter().for_each(|name| book.tried(key(name), *end, at(ms)));
            }
            Vain(ms, names, end) => {
                for name in *names {
                    book.tried(key(name), *end, at(ms));
                }
                names.iter().for_each(|name| book.unreachable(key(name), at(ms)));
            }
            Doubts(ms, doubts) => {
                assert_eq!(book.doubts_itself(at(ms)), *doubts, "{} at {ms}", case.name);
            }
            Lost(ms, name, lost) => {
                let found = book.is_lost(&entry_of(name), at(ms));
                assert_eq!(found, *lost, "{}: {name} at {ms}", case.name);
            }
            Open(ms, name, open) => {
                let state = book.state(key(name)).expect("it is listed");
                assert_eq!(state.is_open(at(ms)), *open, "{}: {name} at {ms}", case.name);
            }
            Asked(ms, name, step) => {
                let found = book.silent(key(name), at(ms));
                assert_eq!(found, *step, "{}: {name} at {ms}", case.name);
            }
        }
    }
}

/// A charge that waits at a healthy, slow server is answered 502, and so is all that waits anywhere.
/// The host's own link is full for a second: no connection comes about, to whatever server. Three failed
/// ones to each make all servers lost at once, though only the host was in trouble.
#[test]
fn a_full_link_says_nothing_of_servers() {
    FULL_LINK.iter().for_each(play);
}

/// Callers wait for what a dead server will never answer.
/// Many connections fail because servers or zones are out of reach, and the host takes that for its own
/// trouble. Servers that are reached meanwhile, or the doubt's bound, show that it is not.
#[test]
fn outages_are_seen() {
    OUTAGES.iter().for_each(play);
}

/// A doubt is told when it begins and when it ends, once each, however often it is asked for.
#[test]
fn a_doubt_is_told_once() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut book = ServerBook::default();
    assert_eq!(book.reach_news(at(0)), None);
    for name in OTHER_ZONES {
        book.tried(key(name), Silent, at(0));
    }
    let count = |silent, heard| ReachCount { silent, heard };
    assert_eq!(book.reach_news(at(10)), Some(ReachNews::Doubted(count(4, 0))));
    assert_eq!(book.reach_news(at(20)), None);
    assert_eq!(book.doubt_end(at(20)), Some(at(1_000)));
    book.tried(key("a1"), Refused, at(300));
    assert_eq!(book.reach_news(at(300)), None);
    book.tried(key("a2"), Reached, at(400));
    let over = ReachNews::Restored(count(4, 2), Duration::from_millis(390));
    assert_eq!(book.reach_news(at(400)), Some(over));
    assert_eq!((book.reach_news(at(410)), book.doubt_end(at(410))), (None, None));
}
