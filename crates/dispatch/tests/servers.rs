//! Which servers are used as the platform's list is read.

mod support;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServerTable;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexSet;
use support::DESK;
use support::server;

/// One step of a story; times in milliseconds.
enum ListStep {
    Contact {
        sent: u64,
        now: u64,
    },
    Put(&'static str, ServerStage),
    /// By a server that tells of its start.
    PutStart(&'static str, u64, ServerStage),
    /// What an earlier start, or somebody else, says.
    PutLate(&'static str, Option<u64>, ServerStage),
    Remove(&'static str, u64),
    Listed(&'static [&'static str], u64),
    /// The store has come back from a copy.
    Restored(u64),
    /// The whole list names this server, whose entry counts or not.
    PutListed(&'static str, u64, bool),
    Expire(u64),
}

struct ListCase {
    name: &'static str,
    steps: &'static [ListStep],
    usable: &'static [&'static str],
}

use ListStep::*;
use ServerStage::*;

const CASES: &[ListCase] = &[
    ListCase {
        name: "an entry that is removed is gone at once",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            Remove("a", 1_705),
            Expire(1_705),
        ],
        usable: &["b"],
    },
    ListCase {
        name: "draining is for good, also if an older entry is read later",
        steps: &[Put("a", Draining), Put("a", Ready)],
        usable: &[],
    },
    ListCase {
        name: "entries that lapse during an outage are kept for a while",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Contact { sent: 6_000, now: 6_005 },
            Remove("a", 6_005),
            Expire(8_300),
        ],
        usable: &["a"],
    },
    ListCase {
        name: "and dropped if they do not come back",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Contact { sent: 6_000, now: 6_005 },
            Remove("a", 6_005),
            Expire(8_500),
        ],
        usable: &[],
    },
    ListCase {
        name: "a server that came back is no longer on trial",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Contact { sent: 6_000, now: 6_005 },
            Remove("a", 6_005),
            Put("a", Ready),
            Expire(9_000),
        ],
        usable: &["a"],
    },
    ListCase {
        name: "after a loss of history the whole list counts",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            Listed(&["b"], 1_705),
            Expire(1_705),
        ],
        usable: &["b"],
    },
    ListCase {
        name: "a server that left is listed by a copy, and writes again",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Remove("a", 1_005),
            Remove("b", 1_005),
            Restored(1_700),
            PutListed("a", 1_705, false),
            PutListed("b", 1_705, false),
            Put("b", Ready),
        ],
        usable: &["b"],
    },
    ListCase {
        name: "a server that left long before is listed again",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Remove("a", 1_005),
            Restored(1_700),
            PutListed("a", 9_000, true),
        ],
        usable: &["a"],
    },
    ListCase {
        name: "a server that is missing in a copy is kept for a while",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            Restored(1_705),
            PutListed("b", 1_705, true),
            Listed(&["b"], 1_705),
            Expire(4_000),
        ],
        usable: &["a", "b"],
    },
    ListCase {
        name: "and not for longer",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            Restored(1_705),
            Listed(&["b"], 1_705),
            Expire(4_105),
        ],
        usable: &["b"],
    },
    ListCase {
        name: "a server that drained and starts again under its name is used",
        steps: &[PutStart("a", 5, Draining), PutStart("a", 6, Ready)],
        usable: &["a"],
    },
    ListCase {
        name: "its earlier start changes nothing any more",
        steps: &[PutStart("a", 6, Ready), PutLate("a", Some(5), Draining)],
        usable: &["a"],
    },
    ListCase {
        name: "also not after the later one has left",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            PutStart("a", 6, Ready),
            Remove("a", 1_005),
            PutLate("a", Some(5), Ready),
        ],
        usable: &[],
    },
    ListCase {
        name: "a start that drained stays draining",
        steps: &[PutStart("a", 6, Draining), PutStart("a", 6, Ready)],
        usable: &[],
    },
    ListCase {
        name: "who does not tell of a start speaks for no server that did",
        steps: &[PutStart("a", 6, Ready), PutLate("a", None, Draining)],
        usable: &["a"],
    },
];

fn entry(name: &str, stage: ServerStage) -> ServerEntry {
    ServerEntry { stage, ..server(name, DESK) }
}

fn start_of(name: &str, start: Option<u64>, stage: ServerStage) -> ServerEntry {
    ServerEntry { incarnation: start.map(Incarnation), ..entry(name, stage) }
}

fn play(steps: &[ListStep]) -> ServerTable {
    let mut table = ServerTable::default();
    for step in steps {
        match step {
            Contact { sent, now } => {
                table.contact(BootTime(*sent), BootTime(*now));
            }
            Put(name, stage) => assert!(table.put(entry(name, *stage))),
            PutStart(name, start, stage) => {
                assert!(table.put(start_of(name, Some(*start), *stage)));
            }
            PutLate(name, start, stage) => assert!(!table.put(start_of(name, *start, *stage))),
            Remove(name, now) => table.remove(&ServerName::new(name), BootTime(*now)),
            Listed(names, now) => {
                let listed: IndexSet<ServerName> =
                    names.iter().map(|name| ServerName::new(name)).collect();
                table.retain_listed(&listed, BootTime(*now));
            }
            Restored(now) => table.restored(BootTime(*now)),
            PutListed(name, now, counts) => {
                let listed = entry(name, Ready);
                assert_eq!(table.put_listed(listed, BootTime(*now)), *counts, "{name}");
            }
            Expire(now) => {
                table.expire(BootTime(*now));
            }
        }
    }
    table
}

#[test]
fn usable_servers() {
    for case in CASES {
        let table = play(case.steps);
        let usable: Vec<String> =
            table.usable().iter().map(|entry| entry.name.to_string()).collect();
        assert_eq!(usable, case.usable, "{}", case.name);
    }
}
