//! The gate before one backend server.

mod support;

use std::sync::Arc;

use fulmargate_admission::ClassConf;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::GateWaiter;
use fulmargate_admission::MoveReason;
use fulmargate_admission::ServerGate;
use fulmargate_names::ErrorKind;
use support::BATCH;
use support::URGENT;
use support::admitted;
use support::class;
use support::fixed_gate;
use support::ms;
use support::queued;
use support::request;
use tokio::time::Instant;
use tokio::time::advance;

fn enter(gate: &Arc<ServerGate>, team: &str, class: &Arc<ClassConf>, tokens: u32) -> GateEntry {
    gate.enter(&request(team, class, tokens), Instant::now())
}

async fn refused(waiter: GateWaiter) -> ErrorKind {
    match waiter.wait().await {
        GateOutcome::Refused(refusal) => refusal.kind,
        other => panic!("not refused: {other:?}"),
    }
}

/// Who leaves the queue first, by the order in which they came.
struct OrderCase {
    name: &'static str,
    /// Team, priority and tokens of each that waits.
    waiting: &'static [(&'static str, u8, u32)],
    /// Indices in the order in which they are sent, one at a time.
    order: &'static [usize],
}

const ORDERS: &[OrderCase] = &[
    OrderCase {
        name: "in order of arrival within a team",
        waiting: &[("a", BATCH, 10), ("a", BATCH, 10), ("a", BATCH, 10)],
        order: &[0, 1, 2],
    },
    OrderCase {
        name: "urgent strictly before batch",
        waiting: &[("a", BATCH, 10), ("b", BATCH, 10), ("c", URGENT, 900), ("d", URGENT, 10)],
        order: &[2, 3, 0, 1],
    },
    OrderCase {
        name: "a team of one goes between those of a crowd",
        waiting: &[("a", BATCH, 10), ("a", BATCH, 10), ("a", BATCH, 10), ("b", BATCH, 10)],
        order: &[0, 3, 1, 2],
    },
    OrderCase {
        name: "small prompts go together against one large prompt",
        waiting: &[("a", BATCH, 300), ("a", BATCH, 300), ("b", BATCH, 60), ("b", BATCH, 60)],
        order: &[0, 2, 3, 1],
    },
];

#[tokio::test(start_paused = true)]
async fn requests_leave_the_queue_in_order() {
    for case in ORDERS {
        check_order(case).await;
    }
}

async fn check_order(case: &OrderCase) {
    let gate = fixed_gate(1, 100_000);
    let mut under_way = admitted(enter(&gate, "z", &class(URGENT, 60_000, 9), 1));
    let mut waiters = Vec::new();
    for (team, priority, tokens) in case.waiting {
        waiters.push(Some(queued(enter(&gate, team, &class(*priority, 60_000, 9), *tokens))));
    }
    for index in case.order {
        drop(under_way);
        assert_eq!(gate.figures().under_way, 1, "{}: one at a time", case.name);
        let waiter = waiters[*index].take().expect("each leaves once");
        under_way = match waiter.wait().await {
            GateOutcome::Admitted(ticket) => ticket,
            other => panic!("{}: {index} was not next: {other:?}", case.name),
        };
    }
    assert_eq!(gate.figures().waiting, 0, "{}", case.name);
}

/// The caller sees a refusal at the very moment when its first token can no longer be in time.
/// The request waits behind one that never ends; its deadline passes. It must not be held longer,
/// and must not be sent when room comes later.
#[tokio::test(start_paused = true)]
async fn a_request_is_refused_when_its_deadline_passes_in_the_queue() {
    let gate = fixed_gate(1, 100_000);
    let under_way = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let begun = Instant::now();
    let waiter = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    assert_eq!(refused(waiter).await, ErrorKind::DeadlineUnmet);
    assert_eq!(begun.elapsed(), ms(1_000));
    drop(under_way);
    assert_eq!(gate.figures().under_way, 0);
}

/// A busy thread looks at its timers late. Room comes after a request's time and before its thread
/// notices. The room must not go to it: its first token would be late, and others wait in time.
#[tokio::test(start_paused = true)]
async fn room_that_comes_too_late_goes_to_the_next() {
    let gate = fixed_gate(1, 100_000);
    let under_way = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let late = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    let next = queued(enter(&gate, "c", &class(URGENT, 5_000, 9), 1));
    advance(ms(1_500)).await;
    drop(under_way);
    assert!(matches!(next.wait().await, GateOutcome::Admitted(_)));
    assert_eq!(refused(late).await, ErrorKind::DeadlineUnmet);
}

/// The caller hangs up while its request waits. Room comes afterwards. The request must not take
/// it: it would run for nobody, and a call that may not be repeated would have its effect.
#[tokio::test(start_paused = true)]
async fn a_caller_that_hung_up_is_never_sent() {
    let gate = fixed_gate(1, 100_000);
    let under_way = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let gone = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    let next = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    drop(gone);
    assert_eq!(gate.figures().waiting, 1);
    drop(under_way);
    assert!(matches!(next.wait().await, GateOutcome::Admitted(_)));
}

/// The caller hangs up just after its request was let through, before it knew. The room must go
/// to the next request, or the server would keep a slot for nobody until the router restarts.
#[tokio::test(start_paused = true)]
async fn room_given_to_a_caller_that_hung_up_goes_on() {
    let gate = fixed_gate(1, 100_000);
    let under_way = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let gone = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    let next = queued(enter(&gate, "c", &class(URGENT, 1_000, 9), 1));
    drop(under_way);
    assert_eq!(gate.figures().waiting, 1);
    drop(gone);
    assert!(matches!(next.wait().await, GateOutcome::Admitted(_)));
    assert_eq!(gate.figures().under_way, 0);
}

/// The server is ejected or leaves while requests wait for it. They must hear of it at once and
/// go elsewhere with what is left of their deadlines; none may be sent there.
#[tokio::test(start_paused = true)]
async fn a_closed_gate_moves_all_that_wait() {
    for reason in [MoveReason::Ejected, MoveReason::Leaving, MoveReason::Gone] {
        let gate = fixed_gate(1, 100_000);
        let under_way = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
        let first = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
        let second = queued(enter(&gate, "b", &class(BATCH, 1_000, 9), 1));
        let begun = Instant::now();
        gate.close(reason, begun);
        drop(under_way);
        for waiter in [first, second] {
            assert!(matches!(waiter.wait().await, GateOutcome::Moved(told) if told == reason));
        }
        assert_eq!(begun.elapsed(), ms(0));
        let late = enter(&gate, "c", &class(URGENT, 1_000, 9), 1);
        assert!(
            matches!(late, GateEntry::Decided(GateOutcome::Moved(told)) if told == reason),
            "{late:?}"
        );
        gate.open();
        admitted(enter(&gate, "c", &class(URGENT, 1_000, 9), 1));
    }
}

/// A crowd of one team fills the queue. A request of another team still gets a place, at the cost
/// of the crowd's newest request, whose caller is told at once.
#[tokio::test(start_paused = true)]
async fn a_crowd_gives_way_when_the_queue_is_full() {
    let gate = fixed_gate(1, 100_000);
    let class = class(BATCH, 60_000, 3);
    let under_way = admitted(enter(&gate, "crowd", &class, 1));
    let mut crowd: Vec<_> = (0..3).map(|_| queued(enter(&gate, "crowd", &class, 1))).collect();
    let over = enter(&gate, "crowd", &class, 1);
    assert!(matches!(
        over,
        GateEntry::Decided(GateOutcome::Refused(refusal)) if refusal.kind == ErrorKind::QueueFull
    ));
    let other = queued(enter(&gate, "other", &class, 1));
    let newest = crowd.pop().expect("three wait");
    assert_eq!(refused(newest).await, ErrorKind::QueueFull);
    assert_eq!(gate.figures().waiting, 3);
    drop(under_way);
    drop(crowd);
    assert!(matches!(other.wait().await, GateOutcome::Admitted(_)));
}

/// The queue moves at one request in 100 ms and ten wait. A request that has 500 ms left is
/// refused on arrival, and is told to come back when those ten will have gone.
#[tokio::test(start_paused = true)]
async fn a_deadline_that_cannot_be_met_is_refused_on_arrival() {
    let gate = fixed_gate(1, 100_000);
    let patient = class(URGENT, 60_000, 99);
    let mut under_way = admitted(enter(&gate, "a", &patient, 0));
    let mut waiters: Vec<_> = (0..15).map(|_| queued(enter(&gate, "a", &patient, 0))).collect();
    for waiter in waiters.drain(..5) {
        advance(ms(100)).await;
        drop(under_way);
        under_way = match waiter.wait().await {
            GateOutcome::Admitted(ticket) => ticket,
            other => panic!("not next: {other:?}"),
        };
    }
    let hasty = enter(&gate, "a", &class(URGENT, 500, 99), 0);
    let GateEntry::Decided(GateOutcome::Refused(refusal)) = hasty else {
        panic!("not refused: {hasty:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnmet);
    assert!(refusal.retry_after >= ms(550) && refusal.retry_after <= ms(650), "{refusal:?}");
    let other = enter(&gate, "b", &class(URGENT, 500, 99), 0);
    assert!(matches!(other, GateEntry::Queued(_)), "another team does not wait behind the crowd");
}

/// Another team keeps coming and takes every second turn, though little of it waits at any moment.
/// A request of the team that waits longer is refused on arrival by its own team's pace; by the
/// queue alone its deadline would seem in reach, and it would wait in vain.
#[tokio::test(start_paused = true)]
async fn a_team_is_judged_by_its_own_pace() {
    let gate = fixed_gate(1, 100_000);
    let patient = class(BATCH, 60_000, 99);
    let mut under_way = Some(admitted(enter(&gate, "z", &patient, 0)));
    let (sender, mut granted) = tokio::sync::mpsc::unbounded_channel();
    let wait = |team: &'static str| {
        let (waiter, sender) = (queued(enter(&gate, team, &patient, 0)), sender.clone());
        tokio::spawn(async move { sender.send((team, waiter.wait().await)) });
    };
    (0..12).for_each(|_| wait("long"));
    wait("other");
    for _ in 0..12 {
        advance(ms(100)).await;
        drop(under_way.take());
        let (team, outcome) = granted.recv().await.expect("one is next");
        let GateOutcome::Admitted(ticket) = outcome else { panic!("not sent") };
        under_way = Some(ticket);
        if team == "other" {
            wait("other");
        }
    }
    // Six of its own are left, and six turns of the other team will come between them.
    let hasty = enter(&gate, "long", &class(BATCH, 1_000, 99), 0);
    assert!(matches!(hasty, GateEntry::Decided(GateOutcome::Refused(_))), "{hasty:?}");
    queued(enter(&gate, "other", &class(BATCH, 1_000, 99), 0));
}

/// A server restarts with two requests under way. Their tickets end later; they must not free
/// room that they no longer take, or the fresh server would get more than its limit.
#[tokio::test(start_paused = true)]
async fn tickets_of_the_last_incarnation_free_nothing() {
    let gate = fixed_gate(2, 100_000);
    let class = class(URGENT, 1_000, 9);
    let old: Vec<_> = (0..2).map(|_| admitted(enter(&gate, "a", &class, 5))).collect();
    gate.restart(Instant::now());
    let _new: Vec<_> = (0..2).map(|_| admitted(enter(&gate, "a", &class, 5))).collect();
    drop(old);
    assert_eq!(gate.figures().under_way, 2);
    queued(enter(&gate, "a", &class, 5));
}

/// A team sends small requests one by one, beside another's large ones, and then many at once. It
/// must not have saved up turns while it had little to send.
#[tokio::test(start_paused = true)]
async fn a_team_saves_nothing_up() {
    let gate = fixed_gate(1, 100_000);
    let class = class(BATCH, 3_600_000, 99);
    let mut under_way = admitted(enter(&gate, "z", &class, 1));
    let (sender, mut granted) = tokio::sync::mpsc::unbounded_channel();
    let wait = |team: &'static str, tokens: u32| {
        let (waiter, sender) = (queued(enter(&gate, team, &class, tokens)), sender.clone());
        tokio::spawn(async move { sender.send((team, waiter.wait().await)) });
    };
    (0..20).for_each(|_| wait("large", 900));
    wait("small", 36);
    let mut run = 0;
    let mut longest = 0;
    for round in 0..40 {
        drop(under_way);
        let (team, outcome) = granted.recv().await.expect("one is next");
        let GateOutcome::Admitted(ticket) = outcome else { panic!("not sent") };
        under_way = ticket;
        run = if team == "small" { run + 1 } else { 0 };
        longest = longest.max(run);
        if team == "small" && round < 10 {
            wait("small", 36);
        }
        if round == 10 {
            (0..60).for_each(|_| wait("small", 36));
        }
    }
    assert!(
        longest <= 10,
        "a quantum of 964 is worth nine of 100, and one for the rest: {longest}"
    );
}
