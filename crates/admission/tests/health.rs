//! Which servers are in use.

mod support;

use std::sync::Arc;

use fulmargate_admission::DrainState;
use fulmargate_admission::HealthBook;
use fulmargate_admission::HealthChange;
use fulmargate_admission::HealthConf;
use fulmargate_admission::HealthNews;
use fulmargate_admission::ServerResult;
use fulmargate_admission::ServerSpot;
use fulmargate_admission::ServerUse;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use support::ms;
use tokio::time::Instant;

use HealthChange::Ejected;
use HealthChange::KeptByFloor;
use HealthChange::Leaving;
use HealthChange::Restarted;
use HealthChange::Restored;
use ServerResult::Answered;
use ServerResult::Broken;
use ServerResult::Closed;
use ServerResult::Failed;
use ServerResult::TimedOut;

/// What happens to the servers `a` to `d` of one zone, and what is told of it.
struct HealthCase {
    name: &'static str,
    events: &'static [Event],
    news: &'static [(&'static str, HealthChange)],
    /// Use of server `a` at the end.
    end: End,
}

enum Event {
    /// So many results, under an incarnation.
    Results(&'static str, u64, ServerResult, u32),
    Seen(&'static str, u64),
    SaidLeaving(&'static str, u64),
    Pass(u64),
    /// A trial of `a` is due, and ends so.
    Trial(ServerResult),
    NoTrial,
    /// The configuration drops `a` and takes it up again.
    Reconfigured,
    Drained(&'static str),
}

#[derive(Debug, PartialEq)]
enum End {
    Open,
    Warming,
    LastResort,
    Trial,
    Ejected,
    Leaving,
}

use Event::Drained;
use Event::NoTrial;
use Event::Pass;
use Event::Reconfigured;
use Event::Results;
use Event::SaidLeaving;
use Event::Seen;
use Event::Trial;

const CASES: &[HealthCase] = &[
    HealthCase {
        name: "a few failures among answers",
        events: &[
            Results("a", 1, Broken, 3),
            Results("a", 1, Answered, 1),
            Results("a", 1, Failed, 3),
        ],
        news: &[],
        end: End::Open,
    },
    HealthCase {
        name: "failures in a row",
        events: &[Results("a", 1, TimedOut, 4), NoTrial],
        news: &[("a", Ejected)],
        end: End::Ejected,
    },
    HealthCase {
        name: "a closed port counts twice",
        events: &[Results("a", 1, Closed, 2)],
        news: &[("a", Ejected)],
        end: End::Ejected,
    },
    HealthCase {
        name: "most fail, never four in a row",
        events: &[
            Results("a", 1, Failed, 3),
            Results("a", 1, Answered, 1),
            Results("a", 1, Failed, 3),
            Results("a", 1, Answered, 1),
            Results("a", 1, Failed, 3),
        ],
        news: &[("a", Ejected)],
        end: End::Ejected,
    },
    HealthCase {
        name: "trials bring it back by steps",
        events: &[
            Results("a", 1, Broken, 4),
            Pass(1_000),
            Trial(Answered),
            NoTrial,
            Pass(250),
            Trial(Answered),
        ],
        news: &[("a", Ejected), ("a", Restored)],
        end: End::Warming,
    },
    HealthCase {
        name: "a failed trial doubles the pause",
        events: &[
            Results("a", 1, Broken, 4),
            Pass(1_000),
            Trial(Broken),
            Pass(1_900),
            NoTrial,
            Pass(100),
            Trial(Answered),
        ],
        news: &[("a", Ejected)],
        end: End::Trial,
    },
    HealthCase {
        name: "results of before the ejection change nothing",
        events: &[Results("a", 1, Broken, 4), Results("a", 1, Answered, 9)],
        news: &[("a", Ejected)],
        end: End::Ejected,
    },
    HealthCase {
        name: "failures of before the ejection don't prolong it",
        events: &[Results("a", 1, Broken, 16), Pass(1_000), Trial(Answered)],
        news: &[("a", Ejected)],
        end: End::Trial,
    },
    HealthCase {
        name: "a new incarnation comes back at once, slowly",
        events: &[Seen("a", 1), Results("a", 1, Broken, 4), Seen("a", 2)],
        news: &[("a", Ejected), ("a", Restarted)],
        end: End::Warming,
    },
    HealthCase {
        name: "late failures of the last incarnation",
        events: &[Seen("a", 1), Seen("a", 2), Results("a", 1, Broken, 9), Pass(5_000)],
        news: &[("a", Restarted)],
        end: End::Open,
    },
    HealthCase {
        name: "late word of an earlier incarnation",
        events: &[Seen("a", 2), Seen("a", 1)],
        news: &[],
        end: End::Open,
    },
    HealthCase {
        name: "the floor keeps half of a zone",
        events: &[
            Results("b", 1, Closed, 9),
            Results("c", 1, Closed, 9),
            Results("a", 1, Closed, 9),
        ],
        news: &[("b", Ejected), ("c", Ejected), ("a", KeptByFloor)],
        end: End::LastResort,
    },
    HealthCase {
        name: "one that was kept and answers again",
        events: &[
            Results("b", 1, Closed, 9),
            Results("c", 1, Closed, 9),
            Results("a", 1, Closed, 2),
            Results("a", 1, Answered, 3),
        ],
        news: &[("b", Ejected), ("c", Ejected), ("a", KeptByFloor), ("a", Restored)],
        end: End::Open,
    },
    HealthCase {
        name: "when the others leave, an ejected one is taken back",
        events: &[
            Results("a", 1, Closed, 9),
            SaidLeaving("c", 1),
            SaidLeaving("d", 1),
            SaidLeaving("b", 1),
        ],
        news: &[("a", Ejected), ("c", Leaving), ("d", Leaving), ("b", Leaving), ("a", KeptByFloor)],
        end: End::LastResort,
    },
    HealthCase {
        name: "when the others are drained, an ejected one is taken back",
        events: &[Results("a", 1, Closed, 9), Drained("b"), Drained("c"), Drained("d")],
        news: &[("a", Ejected), ("a", KeptByFloor)],
        end: End::LastResort,
    },
    HealthCase {
        name: "leaving stays, whatever is heard of the same incarnation",
        events: &[
            Seen("a", 7),
            SaidLeaving("a", 7),
            Seen("a", 7),
            Results("a", 7, Answered, 9),
            Reconfigured,
            Seen("a", 7),
        ],
        news: &[("a", Leaving)],
        end: End::Leaving,
    },
    HealthCase {
        name: "leaving was said before the server was met",
        events: &[SaidLeaving("a", 7), Seen("a", 7)],
        news: &[("a", Leaving)],
        end: End::Leaving,
    },
    HealthCase {
        name: "a later incarnation does not leave",
        events: &[Seen("a", 7), SaidLeaving("a", 7), Seen("a", 8), SaidLeaving("a", 7)],
        news: &[("a", Leaving), ("a", Restarted)],
        end: End::Warming,
    },
    HealthCase {
        name: "late word that an earlier incarnation leaves",
        events: &[Seen("a", 8), SaidLeaving("a", 7)],
        news: &[],
        end: End::Open,
    },
];

#[test]
fn servers_leave_and_come_back() {
    for case in CASES {
        check(case);
    }
}

fn check(case: &HealthCase) {
    let book = HealthBook::new(HealthConf::default());
    let mut now = Instant::now();
    let mut spots: Vec<ServerSpot> = ["a", "b", "c", "d"].map(spot).to_vec();
    let mut news = book.set_servers(&spots, now);
    for event in case.events {
        match event {
            Results(server, incarnation, result, count) => {
                for _ in 0..*count {
                    let incarnation = Some(Incarnation(*incarnation));
                    news.extend(book.note(&ServerName::new(server), incarnation, *result, now));
                }
            }
            Seen(server, incarnation) => {
                news.extend(book.seen(&ServerName::new(server), Incarnation(*incarnation), now));
            }
            SaidLeaving(server, incarnation) => {
                news.extend(book.leaving(&ServerName::new(server), Incarnation(*incarnation)));
            }
            Pass(millis) => now += ms(*millis),
            Trial(result) => {
                assert_eq!(book.trial_due(now), [ServerName::new("a")], "{}", case.name);
                news.extend(book.note(&ServerName::new("a"), None, *result, now));
            }
            NoTrial => assert!(book.trial_due(now).is_empty(), "{}", case.name),
            Reconfigured => {
                news.extend(book.set_servers(&spots[1..], now));
                news.extend(book.set_servers(&spots, now));
            }
            Drained(server) => {
                let found = spots.iter_mut().find(|spot| spot.server.as_str() == *server);
                found.expect("one of them").drain = DrainState::Drained;
                news.extend(book.set_servers(&spots, now));
            }
        }
    }
    let expected: Vec<HealthNews> = case.news.iter().map(told).collect();
    assert_eq!(news, expected, "{}", case.name);
    assert_eq!(end(book.in_use(&ServerName::new("a"), now)), case.end, "{}", case.name);
}

fn spot(name: &str) -> ServerSpot {
    ServerSpot {
        server: ServerName::new(name),
        zone: ZoneName::new("brescia-est"),
        pool: Arc::from("describer"),
        drain: DrainState::InUse,
    }
}

fn told((server, change): &(&str, HealthChange)) -> HealthNews {
    HealthNews { server: ServerName::new(server), change: *change }
}

fn end(in_use: ServerUse) -> End {
    match in_use {
        ServerUse::Open => End::Open,
        ServerUse::Warming { .. } => End::Warming,
        ServerUse::LastResort => End::LastResort,
        ServerUse::Trial => End::Trial,
        ServerUse::Ejected => End::Ejected,
        ServerUse::Leaving => End::Leaving,
        ServerUse::Drained => panic!("not drained"),
    }
}

#[test]
fn a_server_warms_up_evenly() {
    let book = HealthBook::new(HealthConf::default());
    let now = Instant::now();
    book.set_servers(&[spot("a")], now);
    let name = ServerName::new("a");
    book.seen(&name, Incarnation(1), now);
    assert_eq!(book.in_use(&name, now), ServerUse::Open, "the router has just started");
    book.seen(&name, Incarnation(2), now);
    let share = |millis| match book.in_use(&name, now + ms(millis)) {
        ServerUse::Warming { share } => (share * 100.0).round(),
        other => panic!("not warming: {other:?}"),
    };
    assert_eq!([share(0), share(2_500), share(4_999)], [10.0, 55.0, 100.0]);
    assert_eq!(book.in_use(&name, now + ms(5_000)), ServerUse::Open);
}

/// Zones and pools have their own floors: the last replica of a service stays in use though all
/// engines of its zone are well.
#[test]
fn the_last_server_of_a_pool_is_never_ejected() {
    let book = HealthBook::new(HealthConf::default());
    let now = Instant::now();
    let checkout = ServerSpot { pool: Arc::from("checkout"), ..spot("checkout-1") };
    book.set_servers(&[spot("a"), spot("b"), checkout], now);
    for _ in 0..50 {
        book.note(&ServerName::new("checkout-1"), None, Closed, now);
    }
    assert!(book.in_use(&ServerName::new("checkout-1"), now).takes_new());
}
