//! Which servers the registry offers after reads of the server list.

mod support;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServerTable;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexSet;
use support::PLAIN_SERVICE;
use support::server;

/// One step of a case; times in milliseconds.
enum ListStep {
    /// The store responds to a read.
    Contact {
        sent: u64,
        now: u64,
    },
    /// A read sent at this time fails.
    Failure(u64),
    Put(&'static str, ServerStage),
    /// Entry with an incarnation.
    PutIncarnation(&'static str, u64, ServerStage),
    /// Entry that must be ignored.
    PutStale(&'static str, Option<u64>, ServerStage),
    Remove(&'static str, u64),
    FullList(&'static [&'static str], u64),
    /// The store is restored from a backup.
    Restored(u64),
    /// Entry from a full list, and whether it is accepted.
    PutListed(&'static str, u64, bool),
    /// Each of these ready servers writes this number of heartbeats, in turn.
    Heartbeats(&'static [&'static str], u32),
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
        name: "an entry that nobody writes is not used beside servers that write theirs",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("nobody", Ready),
            Put("a", Ready),
            Contact { sent: 2_100, now: 2_105 },
            Heartbeats(&["a"], 1),
            Contact { sent: 3_200, now: 3_205 },
            Contact { sent: 4_300, now: 4_305 },
            Contact { sent: 5_400, now: 5_405 },
            Heartbeats(&["a"], 1),
            Contact { sent: 6_500, now: 6_505 },
        ],
        usable: &["a"],
    },
    ListCase {
        name: "entries are kept while nobody writes any",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 2_100, now: 2_105 },
            Contact { sent: 3_200, now: 3_205 },
            Contact { sent: 4_300, now: 4_305 },
            Contact { sent: 5_400, now: 5_405 },
            Contact { sent: 6_500, now: 6_505 },
        ],
        usable: &["a", "b"],
    },
    ListCase {
        name: "a router that was suspended has missed no heartbeats meanwhile",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 2_100, now: 2_105 },
            Heartbeats(&["a", "b"], 1),
            Contact { sent: 30_000, now: 30_005 },
            Heartbeats(&["a"], 1),
        ],
        usable: &["a", "b"],
    },
    ListCase {
        name: "a removed entry is dropped at once",
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
        name: "a draining server stays draining when an older entry is read later",
        steps: &[Put("a", Draining), Put("a", Ready)],
        usable: &[],
    },
    ListCase {
        name: "an entry that expired during an outage is kept for the grace period",
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
        name: "an entry that expired during an outage is dropped after the grace period",
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
        name: "a server that is listed again after an outage is kept",
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
        name: "a full list removes servers that it does not contain",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            FullList(&["b"], 1_705),
            Expire(1_705),
        ],
        usable: &["b"],
    },
    ListCase {
        name: "a departed server in a restored list is ignored until it writes its entry",
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
        name: "a departed server is accepted again after the restore period",
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
        name: "a server missing in a restored list is kept for the grace period",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            Restored(1_705),
            PutListed("b", 1_705, true),
            FullList(&["b"], 1_705),
            Expire(4_000),
        ],
        usable: &["a", "b"],
    },
    ListCase {
        name: "a server missing in a restored list is dropped after the grace period",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Put("b", Ready),
            Contact { sent: 1_700, now: 1_705 },
            Restored(1_705),
            FullList(&["b"], 1_705),
            Expire(4_105),
        ],
        usable: &["b"],
    },
    ListCase {
        name: "a new incarnation of a drained server is used",
        steps: &[PutIncarnation("a", 5, Draining), PutIncarnation("a", 6, Ready)],
        usable: &["a"],
    },
    ListCase {
        name: "an entry of an earlier incarnation is ignored",
        steps: &[PutIncarnation("a", 6, Ready), PutStale("a", Some(5), Draining)],
        usable: &["a"],
    },
    ListCase {
        name: "an entry of an earlier incarnation is ignored after the later one has left",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            PutIncarnation("a", 6, Ready),
            Remove("a", 1_005),
            PutStale("a", Some(5), Ready),
        ],
        usable: &[],
    },
    ListCase {
        name: "a draining incarnation stays draining",
        steps: &[PutIncarnation("a", 6, Draining), PutIncarnation("a", 6, Ready)],
        usable: &[],
    },
    ListCase {
        name: "an entry without incarnation does not replace one that has it",
        steps: &[PutIncarnation("a", 6, Ready), PutStale("a", None, Draining)],
        usable: &["a"],
    },
    ListCase {
        name: "a server that left long before the host's return is dropped at once",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Remove("d", 9_005),
            Heartbeats(&["a", "b", "c"], 4),
            Expire(9_005),
        ],
        usable: &["a", "b", "c"],
    },
    ListCase {
        name: "a server that left just before the host's return is kept for the grace period",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Heartbeats(&["a", "b", "c", "d"], 4),
            Remove("a", 9_005),
            Heartbeats(&["b", "c", "d"], 2),
            Expire(9_005),
        ],
        usable: &["a", "b", "c", "d"],
    },
    ListCase {
        name: "the grace period of few lapsed servers counts from the last failed read",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Failure(8_000),
            Contact { sent: 9_000, now: 9_005 },
            Remove("d", 9_005),
            Contact { sent: 9_900, now: 9_905 },
            Expire(10_700),
        ],
        usable: &["a", "b", "c"],
    },
    ListCase {
        name: "few lapsed servers are kept until then",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Failure(8_000),
            Contact { sent: 9_000, now: 9_005 },
            Remove("d", 9_005),
            Contact { sent: 9_900, now: 9_905 },
            Expire(10_699),
        ],
        usable: &["a", "b", "c", "d"],
    },
    ListCase {
        name: "most servers lapse in an outage of the store and are kept for the whole grace period",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Failure(8_000),
            Contact { sent: 9_000, now: 9_005 },
            Remove("c", 9_005),
            Remove("d", 9_005),
            Contact { sent: 9_900, now: 9_905 },
            Expire(11_400),
        ],
        usable: &["a", "b", "c", "d"],
    },
    ListCase {
        name: "a server missing in a restored list is kept no longer than from the last read before the restore",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 1_700, now: 1_705 },
            Contact { sent: 2_900, now: 2_905 },
            Restored(2_905),
            FullList(&["a", "b", "c"], 2_905),
            Contact { sent: 3_600, now: 3_605 },
            Expire(4_405),
        ],
        usable: &["a", "b", "c"],
    },
    ListCase {
        name: "a server that left before an outage of the store is dropped when the store is back",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Remove("d", 9_005),
            Heartbeats(&["a"], 1),
            Remove("a", 9_005),
            Remove("b", 9_005),
            Remove("c", 9_005),
            Expire(9_005),
        ],
        usable: &["a", "b", "c"],
    },
    ListCase {
        name: "servers that lapse in a second outage do not end the grace period of others",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Remove("a", 9_005),
            Remove("b", 9_005),
            Remove("c", 9_005),
            Remove("d", 9_005),
            Heartbeats(&["a", "b"], 1),
            Expire(9_005),
            Contact { sent: 15_000, now: 15_005 },
            Remove("a", 15_005),
            Remove("b", 15_005),
            Expire(15_005),
        ],
        usable: &["a", "b", "c", "d"],
    },
    ListCase {
        name: "heartbeats read after the host's return end the grace period of a departed server",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Remove("d", 9_005),
            Heartbeats(&["a", "b", "c"], 2),
            Expire(9_005),
            Contact { sent: 9_700, now: 9_705 },
            Heartbeats(&["a", "b", "c"], 1),
            Expire(9_705),
        ],
        usable: &["a", "b", "c"],
    },
    ListCase {
        name: "a server that was cut off together with the host is kept for the grace period",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Heartbeats(&["b", "c", "d"], 3),
            Remove("a", 9_005),
            Heartbeats(&["b", "c", "d"], 4),
            Expire(9_005),
        ],
        usable: &["a", "b", "c", "d"],
    },
    ListCase {
        name: "servers that register again late, and write twice at once, do not end the grace period of others",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c", "d"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Remove("a", 9_005),
            Remove("b", 9_005),
            Remove("c", 9_005),
            Remove("d", 9_005),
            Heartbeats(&["b", "c", "d"], 3),
            Expire(9_005),
        ],
        usable: &["a", "b", "c", "d"],
    },
    ListCase {
        name: "entries that change are no heartbeats",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Heartbeats(&["a", "b", "c"], 2),
            Contact { sent: 9_000, now: 9_005 },
            Remove("a", 9_005),
            Put("b", Draining),
            Put("c", Draining),
            Expire(9_005),
        ],
        usable: &["a"],
    },
];

fn entry(name: &str, stage: ServerStage) -> ServerEntry {
    ServerEntry { stage, ..server(name, PLAIN_SERVICE) }
}

fn entry_of(name: &str, incarnation: Option<u64>, stage: ServerStage) -> ServerEntry {
    ServerEntry { incarnation: incarnation.map(Incarnation), ..entry(name, stage) }
}

fn apply_steps(steps: &[ListStep]) -> ServerTable {
    let mut table = ServerTable::default();
    for step in steps {
        match step {
            Contact { sent, now } => {
                table.record_response(BootTime(*sent), BootTime(*now));
            }
            Failure(sent) => table.record_failure(BootTime(*sent)),
            Put(name, stage) => assert!(table.put(entry(name, *stage))),
            PutIncarnation(name, start, stage) => {
                assert!(table.put(entry_of(name, Some(*start), *stage)));
            }
            PutStale(name, start, stage) => assert!(!table.put(entry_of(name, *start, *stage))),
            Remove(name, now) => {
                table.remove(&ServerName::new(name), BootTime(*now));
            }
            FullList(names, now) => {
                let listed: IndexSet<ServerName> =
                    names.iter().map(|name| ServerName::new(name)).collect();
                table.retain_listed(&listed, BootTime(*now));
            }
            Restored(now) => table.restored(BootTime(*now)),
            PutListed(name, now, is_accepted) => {
                let listed = entry(name, Ready);
                assert_eq!(table.put_listed(listed, BootTime(*now)), *is_accepted, "{name}");
            }
            Heartbeats(names, count) => {
                for name in (0..*count).flat_map(|_| *names) {
                    assert!(table.put(entry(name, Ready)));
                }
            }
            Expire(now) => {
                table.expire(BootTime(*now));
            }
        }
    }
    table
}

#[test]
fn usable_servers_follow_the_list() {
    for case in CASES {
        let table = apply_steps(case.steps);
        let usable: Vec<String> =
            table.usable().iter().map(|entry| entry.name.to_string()).collect();
        assert_eq!(usable, case.usable, "{}", case.name);
    }
}

struct ExpiryCase {
    name: &'static str,
    steps: &'static [ListStep],
    next_expiry: Option<u64>,
}

const EXPIRIES: &[ExpiryCase] = &[
    ExpiryCase {
        name: "nothing has lapsed",
        steps: &[Contact { sent: 1_000, now: 1_005 }, Put("a", Ready)],
        next_expiry: None,
    },
    ExpiryCase {
        name: "the end of the grace period is too far from the last response",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Contact { sent: 6_000, now: 6_005 },
            Remove("a", 6_005),
        ],
        next_expiry: None,
    },
    ExpiryCase {
        name: "a later response confirms that the outage is over",
        steps: &[
            Contact { sent: 1_000, now: 1_005 },
            Put("a", Ready),
            Contact { sent: 6_000, now: 6_005 },
            Remove("a", 6_005),
            Contact { sent: 7_000, now: 7_005 },
        ],
        next_expiry: Some(8_405),
    },
];

/// Lapsed entries expire between reads, unless the store may be away again: then no server could register.
#[test]
fn lapsed_entries_expire_while_the_store_is_in_reach() {
    for case in EXPIRIES {
        let next_expiry = apply_steps(case.steps).next_expiry();
        assert_eq!(next_expiry, case.next_expiry.map(BootTime), "{}", case.name);
    }
}
