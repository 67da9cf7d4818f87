//! Prompts that wait for an engine.

mod support;

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::ChoiceView;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::Placing;
use fulmargate_dispatch::RequestQueue;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::SendTicket;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::WaitEnd;
use fulmargate_dispatch::WaitNumber;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use support::ENGINES;
use support::engines;
use support::model;
use support::prompt_call;
use support::table;
use support::zone;
use tokio::time::Instant;

/// Two engines, both busy with a prompt of 20,000 tokens.
struct LineWorld {
    book: ServerBook,
    line: RequestQueue,
    table: RouteTable,
    weights: WeightsTable,
    now: Instant,
    busy: Vec<SendTicket>,
    names: IndexMap<WaitNumber, &'static str>,
}

impl LineWorld {
    fn new() -> LineWorld {
        let now = Instant::now();
        let mut book = ServerBook::default();
        book.sync(&engines(&["e1", "e2"]), now);
        let mut world = LineWorld {
            book,
            line: RequestQueue::default(),
            table: table(Vec::new(), Vec::new()),
            weights: WeightsTable::default(),
            now,
            busy: Vec::new(),
            names: IndexMap::new(),
        };
        for (id, part) in [("busy-1", 91), ("busy-2", 92)] {
            match world.place(&wish(prompt_call(id, &[(part, 18_000)], now))) {
                Placing::Taken(taken) => world.busy.push(taken.ticket),
                other => panic!("{id}: {other:?}"),
            }
        }
        world
    }

    fn view<'a>(&'a self, zone: &'a ZoneName) -> ChoiceView<'a> {
        ChoiceView {
            table: &self.table,
            weights: &self.weights,
            weights_bound: Duration::from_millis(4_800),
            zone,
            now: self.now,
            boot_now: BootTime(100_000),
        }
    }

    fn place(&mut self, wish: &PlacementRequest) -> Placing {
        let mut book = std::mem::take(&mut self.book);
        let placing = book.place(wish, self.view(&zone()));
        self.book = book;
        placing
    }

    fn enter(&mut self, name: &'static str, call: CallFacts) {
        let number = self.line.enter(wish(call));
        self.names.insert(number, name);
    }

    /// Names of those whose waiting has ended, and how.
    fn serve(&mut self) -> Vec<(&'static str, &'static str)> {
        let (mut book, mut line) = (std::mem::take(&mut self.book), std::mem::take(&mut self.line));
        let ends = line.serve(&mut book, self.view(&zone()));
        (self.book, self.line) = (book, line);
        let outcome = |end: &WaitEnd| match end {
            WaitEnd::Taken(_) => "taken",
            WaitEnd::Nowhere => "nowhere",
            WaitEnd::Refused(wait) => {
                let is_spread = (300..=2_300).contains(&wait.as_millis());
                assert!(is_spread, "back after {wait:?}");
                "refused"
            }
        };
        ends.iter().map(|(number, end)| (self.names[number], outcome(end))).collect()
    }
}

fn wish(call: CallFacts) -> PlacementRequest {
    PlacementRequest {
        call,
        service: ServiceName::new(ENGINES),
        model: model(),
        only_weights: None,
        excluded: Vec::new(),
    }
}

/// A prompt with a part of its own that others may share; it has waited so long, and its caller had so much
/// time. The route's target is 800 ms, its timeout 5 s.
fn waited(now: Instant, id: &str, part: u64, tokens: u32, ms: u64, patience_ms: u64) -> CallFacts {
    let arrived = now - Duration::from_millis(ms);
    let deadline = arrived + Duration::from_millis(patience_ms);
    CallFacts { arrived, deadline, ..prompt_call(id, &[(part, tokens)], now) }
}

struct RefusalCase {
    name: &'static str,
    /// Name, milliseconds waited, milliseconds that the caller had.
    waiting: &'static [(&'static str, u64, u64)],
    refused: &'static [&'static str],
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase { name: "all in time", waiting: &[("a", 100, 5_000)], refused: &[] },
    RefusalCase {
        name: "late, while another can be in time",
        waiting: &[("late", 641, 5_000), ("timely", 100, 5_000)],
        refused: &["late"],
    },
    RefusalCase {
        name: "late, and nobody else waits",
        waiting: &[("late", 900, 5_000)],
        refused: &[],
    },
    RefusalCase { name: "too late", waiting: &[("late", 1_201, 5_000)], refused: &["late"] },
    RefusalCase {
        name: "a caller's second try is not refused for those in time",
        waiting: &[("again", 700, 3_000), ("timely", 100, 5_000)],
        refused: &[],
    },
    RefusalCase {
        name: "but in the end",
        waiting: &[("again", 1_201, 3_000)],
        refused: &["again"],
    },
];

/// A caller waits in vain until it leaves without an answer.
/// Its prompt is late, each time one that can be in time goes first, and nobody tells it so.
/// It is refused as soon as that is known, as not run, with a time to come back.
#[test]
fn what_waits_in_vain_is_refused() {
    for case in REFUSALS {
        let mut world = LineWorld::new();
        for (index, (name, ms, patience_ms)) in case.waiting.iter().enumerate() {
            let call = waited(world.now, name, index as u64, 6_000, *ms, *patience_ms);
            world.enter(name, call);
        }
        let ends = world.serve();
        let expected: Vec<_> = case.refused.iter().map(|name| (*name, "refused")).collect();
        assert_eq!(ends, expected, "{}", case.name);
        assert_eq!(world.line.len(), case.waiting.len() - case.refused.len(), "{}", case.name);
    }
}

/// An engine reads a long prompt that earns little while one that is nearly read waits.
/// When it has room, the prompt whose parts it has goes first, and the late one last.
#[test]
fn what_earns_most_a_token_goes_first() {
    let mut world = LineWorld::new();
    let now = world.now;
    world.enter("late", waited(now, "l", 91, 18_000, 700, 5_000));
    world.enter("cold", waited(now, "c", 7, 18_000, 100, 5_000));
    world.enter("warm", waited(now, "w", 91, 18_000, 50, 5_000));
    // What each would have read is learned by the first round; the late one has waited in vain by then.
    assert_eq!(world.serve(), [("late", "refused")]);
    assert!(!world.line.goes_first(&waited(now, "n", 8, 6_000, 0, 5_000)), "it stands behind");
    assert!(
        world.line.goes_first(&prompt_call("short", &[(9, 100)], now)),
        "short ones never wait"
    );
    for ticket in &mut world.busy {
        world.book.answered(ticket, None, now);
    }
    let ends = world.serve();
    assert_eq!(ends.first(), Some(&("warm", "taken")), "{ends:?}");
}

/// An engine is counted as busy with a prompt whose caller has left.
#[test]
fn who_leaves_the_line_gets_nothing() {
    let mut world = LineWorld::new();
    let call = waited(world.now, "gone", 7, 6_000, 0, 5_000);
    let number = world.line.enter(wish(call));
    world.line.leave(number);
    for ticket in &mut world.busy {
        world.book.answered(ticket, None, world.now);
    }
    assert_eq!(world.serve(), []);
}
