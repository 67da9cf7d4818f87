//! Queueing of prompts at a router.

mod support;

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::ChoiceView;
use fulmargate_dispatch::Placement;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::QueueOutcome;
use fulmargate_dispatch::QueueTicket;
use fulmargate_dispatch::RequestQueue;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::SendTicket;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::StreamOrigin;
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

/// Two engines, each busy with a prompt of 20,000 tokens.
struct QueueFixture {
    registry: ServerRegistry,
    queue: RequestQueue,
    table: RouteTable,
    weights: WeightsTable,
    now: Instant,
    busy: Vec<SendTicket>,
    names: IndexMap<QueueTicket, &'static str>,
}

impl QueueFixture {
    fn new() -> QueueFixture {
        let now = Instant::now();
        let mut registry = ServerRegistry::default();
        registry.sync(&engines(&["e1", "e2"]), now);
        let mut fixture = QueueFixture {
            registry,
            queue: RequestQueue::default(),
            table: table(Vec::new(), Vec::new()),
            weights: WeightsTable::default(),
            now,
            busy: Vec::new(),
            names: IndexMap::new(),
        };
        for (id, part) in [("busy-1", 91), ("busy-2", 92)] {
            match fixture.place(&placement_request(prompt_call(id, &[(part, 18_000)], now))) {
                Placement::Assigned(taken) => fixture.busy.push(taken.ticket),
                other => panic!("{id}: {other:?}"),
            }
        }
        fixture
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

    fn place(&mut self, placement_request: &PlacementRequest) -> Placement {
        let mut registry = std::mem::take(&mut self.registry);
        let placement = registry.place(placement_request, self.view(&zone()));
        self.registry = registry;
        placement
    }

    fn enter(&mut self, name: &'static str, call: CallFacts) {
        let number = self.queue.push(placement_request(call));
        self.names.insert(number, name);
    }

    /// Names and outcomes of the prompts that left the queue.
    fn serve(&mut self) -> Vec<(&'static str, &'static str)> {
        let (mut registry, mut queue) =
            (std::mem::take(&mut self.registry), std::mem::take(&mut self.queue));
        let outcomes = queue.run(&mut registry, self.view(&zone()));
        (self.registry, self.queue) = (registry, queue);
        let outcome = |end: &QueueOutcome| match end {
            QueueOutcome::Assigned(_) => "taken",
            QueueOutcome::NoEngine => "nowhere",
            QueueOutcome::Refused(wait) => {
                let is_in_range = (300..=2_300).contains(&wait.as_millis());
                assert!(is_in_range, "retry after {wait:?}");
                "refused"
            }
        };
        outcomes.iter().map(|(number, end)| (self.names[number], outcome(end))).collect()
    }
}

fn placement_request(call: CallFacts) -> PlacementRequest {
    PlacementRequest {
        call,
        service: ServiceName::new(ENGINES),
        model: model(),
        only_weights: None,
        only_origin: None,
        excluded: Vec::new(),
        only_server: None,
    }
}

/// A prompt whose only shared part is this one, and that has waited this long. The caller's deadline
/// is `budget_ms` after its arrival. The route has a target latency of 800 ms and a timeout of 5 s.
fn queued_call(
    now: Instant,
    id: &str,
    part: u64,
    tokens: u32,
    waited_ms: u64,
    budget_ms: u64,
) -> CallFacts {
    let arrived = now - Duration::from_millis(waited_ms);
    let deadline = arrived + Duration::from_millis(budget_ms);
    CallFacts { arrived, deadline, ..prompt_call(id, &[(part, tokens)], now) }
}

struct RefusalCase {
    name: &'static str,
    /// Name, milliseconds waited, milliseconds from arrival to deadline.
    waiting: &'static [(&'static str, u64, u64)],
    refused: &'static [&'static str],
}

const REFUSAL_CASES: &[RefusalCase] = &[
    RefusalCase { name: "timely", waiting: &[("a", 100, 5_000)], refused: &[] },
    RefusalCase {
        name: "late while a timely one waits",
        waiting: &[("late", 641, 5_000), ("timely", 100, 5_000)],
        refused: &["late"],
    },
    RefusalCase {
        name: "late with no other waiting",
        waiting: &[("late", 900, 5_000)],
        refused: &[],
    },
    RefusalCase {
        name: "late for too long",
        waiting: &[("late", 1_201, 5_000)],
        refused: &["late"],
    },
    RefusalCase {
        name: "a retry is not refused in favor of timely prompts",
        waiting: &[("again", 700, 3_000), ("timely", 100, 5_000)],
        refused: &[],
    },
    RefusalCase {
        name: "a retry that is late for too long",
        waiting: &[("again", 1_201, 3_000)],
        refused: &["again"],
    },
];

/// Late prompts must be refused with a retry delay rather than wait behind timely ones until their
/// callers disconnect.
#[test]
fn late_prompts_are_refused() {
    for case in REFUSAL_CASES {
        let mut fixture = QueueFixture::new();
        for (index, (name, waited_ms, budget_ms)) in case.waiting.iter().enumerate() {
            let call = queued_call(fixture.now, name, index as u64, 6_000, *waited_ms, *budget_ms);
            fixture.enter(name, call);
        }
        let outcomes = fixture.serve();
        let expected: Vec<_> = case.refused.iter().map(|name| (*name, "refused")).collect();
        assert_eq!(outcomes, expected, "{}", case.name);
        assert_eq!(fixture.queue.len(), case.waiting.len() - case.refused.len(), "{}", case.name);
    }
}

/// When an engine has room, a prompt whose prefix it has cached goes before an uncached one.
#[test]
fn highest_value_per_token_goes_first() {
    let mut fixture = QueueFixture::new();
    let now = fixture.now;
    fixture.enter("late", queued_call(now, "l", 91, 18_000, 700, 5_000));
    fixture.enter("cold", queued_call(now, "c", 7, 18_000, 100, 5_000));
    fixture.enter("warm", queued_call(now, "w", 91, 18_000, 50, 5_000));
    // The first run determines how many tokens each would prefill, and refuses the late one.
    assert_eq!(fixture.serve(), [("late", "refused")]);
    assert!(
        !fixture.queue.may_bypass(&queued_call(now, "n", 8, 6_000, 0, 5_000)),
        "long prompts do not bypass the queue"
    );
    assert!(
        fixture.queue.may_bypass(&prompt_call("short", &[(9, 100)], now)),
        "short prompts bypass the queue"
    );
    for ticket in &mut fixture.busy {
        fixture.registry.record_response(ticket, None, now);
    }
    let outcomes = fixture.serve();
    assert_eq!(outcomes.first(), Some(&("warm", "taken")), "{outcomes:?}");
}

/// Guards against streams that are taken up and wait behind new ones for the few servers that can go on with them.
#[test]
fn streams_that_have_begun_do_not_wait_behind_new_ones() {
    let mut fixture = QueueFixture::new();
    let now = fixture.now;
    fixture.enter("new", queued_call(now, "n", 7, 18_000, 100, 5_000));
    assert!(fixture.serve().is_empty(), "the engines are full");
    let call = queued_call(now, "t", 8, 18_000, 0, 5_000);
    let server = fixture.registry.states().next().expect("an engine").entry().clone();
    let only_origin = Some(StreamOrigin::of(&server));
    let taken_up = PlacementRequest { only_origin, ..placement_request(call) };
    assert!(!fixture.queue.may_bypass(&taken_up.call));
    assert!(fixture.queue.may_go_on(&taken_up));
    assert!(matches!(fixture.place(&taken_up), Placement::Assigned(_)));
}

/// An engine must not be assigned to a prompt whose caller has disconnected.
#[test]
fn removed_prompts_are_not_placed() {
    let mut fixture = QueueFixture::new();
    let call = queued_call(fixture.now, "gone", 7, 6_000, 0, 5_000);
    let number = fixture.queue.push(placement_request(call));
    fixture.queue.remove(number);
    for ticket in &mut fixture.busy {
        fixture.registry.record_response(ticket, None, fixture.now);
    }
    assert_eq!(fixture.serve(), []);
}
