//! Queueing, deadlines and fairness at the gate of one backend server.

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

/// Queued requests and the order in which they are admitted.
struct OrderCase {
    name: &'static str,
    /// Team, priority and tokens of each request, in order of arrival.
    waiting: &'static [(&'static str, u8, u32)],
    /// Indices in the order of admission.
    order: &'static [usize],
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        name: "in order of arrival within a team",
        waiting: &[("a", BATCH, 10), ("a", BATCH, 10), ("a", BATCH, 10)],
        order: &[0, 1, 2],
    },
    OrderCase {
        name: "urgent requests strictly before batch requests",
        waiting: &[("a", BATCH, 10), ("b", BATCH, 10), ("c", URGENT, 900), ("d", URGENT, 10)],
        order: &[2, 3, 0, 1],
    },
    OrderCase {
        name: "a single request is interleaved with those of another team",
        waiting: &[("a", BATCH, 10), ("a", BATCH, 10), ("a", BATCH, 10), ("b", BATCH, 10)],
        order: &[0, 3, 1, 2],
    },
    OrderCase {
        name: "teams are balanced by tokens, not by requests",
        waiting: &[("a", BATCH, 300), ("a", BATCH, 300), ("b", BATCH, 60), ("b", BATCH, 60)],
        order: &[0, 2, 3, 1],
    },
];

#[tokio::test(start_paused = true)]
async fn requests_are_admitted_in_order() {
    for case in ORDER_CASES {
        assert_admission_order(case).await;
    }
}

async fn assert_admission_order(case: &OrderCase) {
    let gate = fixed_gate(1, 100_000);
    let mut in_flight = admitted(enter(&gate, "z", &class(URGENT, 60_000, 9), 1));
    let mut waiters = Vec::new();
    for (team, priority, tokens) in case.waiting {
        waiters.push(Some(queued(enter(&gate, team, &class(*priority, 60_000, 9), *tokens))));
    }
    for index in case.order {
        drop(in_flight);
        assert_eq!(gate.snapshot().in_flight, 1, "{}: one request in flight at a time", case.name);
        let waiter = waiters[*index].take().expect("each request is admitted once");
        in_flight = match waiter.wait().await {
            GateOutcome::Admitted(ticket) => ticket,
            other => panic!("{}: request {index} was not admitted next: {other:?}", case.name),
        };
    }
    assert_eq!(gate.snapshot().queued, 0, "{}", case.name);
}

/// A request must be refused as soon as its first token can't meet the deadline, and must not be
/// sent when a slot becomes free later.
#[tokio::test(start_paused = true)]
async fn queued_request_is_refused_at_its_deadline() {
    let gate = fixed_gate(1, 100_000);
    let in_flight = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let start = Instant::now();
    let waiter = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    assert_eq!(refused(waiter).await, ErrorKind::DeadlineUnmet);
    assert_eq!(start.elapsed(), ms(1_000));
    drop(in_flight);
    assert_eq!(gate.snapshot().in_flight, 0);
}

/// A slot that becomes free after a request has expired, but before its timer has fired, must go to
/// the next request.
#[tokio::test(start_paused = true)]
async fn slot_freed_after_expiry_goes_to_next_request() {
    let gate = fixed_gate(1, 100_000);
    let in_flight = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let expired = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    let next = queued(enter(&gate, "c", &class(URGENT, 5_000, 9), 1));
    advance(ms(1_500)).await;
    drop(in_flight);
    assert!(matches!(next.wait().await, GateOutcome::Admitted(_)));
    assert_eq!(refused(expired).await, ErrorKind::DeadlineUnmet);
}

/// A queued request whose caller has disconnected must not be sent.
#[tokio::test(start_paused = true)]
async fn request_of_disconnected_caller_is_not_sent() {
    let gate = fixed_gate(1, 100_000);
    let in_flight = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let disconnected = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    let next = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    drop(disconnected);
    assert_eq!(gate.snapshot().queued, 1);
    drop(in_flight);
    assert!(matches!(next.wait().await, GateOutcome::Admitted(_)));
}

/// If the caller disconnects after its request was admitted but before it received the decision, the
/// slot must go to the next request and not leak.
#[tokio::test(start_paused = true)]
async fn slot_of_disconnected_caller_is_released() {
    let gate = fixed_gate(1, 100_000);
    let in_flight = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
    let disconnected = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
    let next = queued(enter(&gate, "c", &class(URGENT, 1_000, 9), 1));
    drop(in_flight);
    assert_eq!(gate.snapshot().queued, 1);
    drop(disconnected);
    assert!(matches!(next.wait().await, GateOutcome::Admitted(_)));
    assert_eq!(gate.snapshot().in_flight, 0);
}

/// Closing a gate must move all queued requests to other servers at once and admit none.
#[tokio::test(start_paused = true)]
async fn closing_gate_moves_queued_requests() {
    for reason in [MoveReason::Ejected, MoveReason::Leaving, MoveReason::Gone] {
        let gate = fixed_gate(1, 100_000);
        let in_flight = admitted(enter(&gate, "a", &class(URGENT, 1_000, 9), 1));
        let first = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 1));
        let second = queued(enter(&gate, "b", &class(BATCH, 1_000, 9), 1));
        let start = Instant::now();
        gate.close(reason, start);
        drop(in_flight);
        for waiter in [first, second] {
            assert!(matches!(waiter.wait().await, GateOutcome::Moved(actual) if actual == reason));
        }
        assert_eq!(start.elapsed(), ms(0));
        let late = enter(&gate, "c", &class(URGENT, 1_000, 9), 1);
        assert!(
            matches!(late, GateEntry::Decided(GateOutcome::Moved(actual)) if actual == reason),
            "{late:?}"
        );
        gate.open();
        admitted(enter(&gate, "c", &class(URGENT, 1_000, 9), 1));
    }
}

/// When one team fills the queue, a request of another team displaces that team's newest request.
#[tokio::test(start_paused = true)]
async fn full_queue_displaces_request_of_largest_team() {
    let gate = fixed_gate(1, 100_000);
    let class = class(BATCH, 60_000, 3);
    let in_flight = admitted(enter(&gate, "large", &class, 1));
    let mut large_team: Vec<_> = (0..3).map(|_| queued(enter(&gate, "large", &class, 1))).collect();
    let rejected = enter(&gate, "large", &class, 1);
    assert!(matches!(
        rejected,
        GateEntry::Decided(GateOutcome::Refused(refusal)) if refusal.kind == ErrorKind::QueueFull
    ));
    let other = queued(enter(&gate, "other", &class, 1));
    let newest = large_team.pop().expect("three requests are queued");
    assert_eq!(refused(newest).await, ErrorKind::QueueFull);
    assert_eq!(gate.snapshot().queued, 3);
    drop(in_flight);
    drop(large_team);
    assert!(matches!(other.wait().await, GateOutcome::Admitted(_)));
}

/// With ten requests queued at 100 ms each, a request with 500 ms left must be refused on arrival,
/// with a retry-after that covers the rest of the queue.
#[tokio::test(start_paused = true)]
async fn request_with_unmeetable_deadline_is_refused_on_arrival() {
    let gate = fixed_gate(1, 100_000);
    let long_deadline = class(URGENT, 60_000, 99);
    let mut in_flight = admitted(enter(&gate, "a", &long_deadline, 0));
    let mut waiters: Vec<_> =
        (0..15).map(|_| queued(enter(&gate, "a", &long_deadline, 0))).collect();
    for waiter in waiters.drain(..5) {
        advance(ms(100)).await;
        drop(in_flight);
        in_flight = match waiter.wait().await {
            GateOutcome::Admitted(ticket) => ticket,
            other => panic!("not admitted next: {other:?}"),
        };
    }
    let short_deadline = enter(&gate, "a", &class(URGENT, 500, 99), 0);
    let GateEntry::Decided(GateOutcome::Refused(refusal)) = short_deadline else {
        panic!("not refused: {short_deadline:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnmet);
    assert!(refusal.retry_after >= ms(550) && refusal.retry_after <= ms(650), "{refusal:?}");
    let other = enter(&gate, "b", &class(URGENT, 500, 99), 0);
    assert!(matches!(other, GateEntry::Queued(_)), "another team must not wait behind the first");
}

/// The expected wait must follow the throughput of the request's own team: when another team takes
/// every second slot, the length of the queue alone underestimates it.
#[tokio::test(start_paused = true)]
async fn expected_wait_follows_team_throughput() {
    let gate = fixed_gate(1, 100_000);
    let long_deadline = class(BATCH, 60_000, 99);
    let mut in_flight = Some(admitted(enter(&gate, "z", &long_deadline, 0)));
    let (sender, mut decisions) = tokio::sync::mpsc::unbounded_channel();
    let enqueue = |team: &'static str| {
        let (waiter, sender) = (queued(enter(&gate, team, &long_deadline, 0)), sender.clone());
        tokio::spawn(async move { sender.send((team, waiter.wait().await)) });
    };
    (0..12).for_each(|_| enqueue("long"));
    enqueue("other");
    for _ in 0..12 {
        advance(ms(100)).await;
        drop(in_flight.take());
        let (team, outcome) = decisions.recv().await.expect("a request is decided");
        let GateOutcome::Admitted(ticket) = outcome else { panic!("not admitted") };
        in_flight = Some(ticket);
        if team == "other" {
            enqueue("other");
        }
    }
    // Six requests of this team are left, interleaved with six of the other team.
    let short_deadline = enter(&gate, "long", &class(BATCH, 1_000, 99), 0);
    assert!(
        matches!(short_deadline, GateEntry::Decided(GateOutcome::Refused(_))),
        "{short_deadline:?}"
    );
    queued(enter(&gate, "other", &class(BATCH, 1_000, 99), 0));
}

/// Tickets issued before a server restart must not release slots of the restarted server, which
/// would exceed its limit.
#[tokio::test(start_paused = true)]
async fn tickets_from_before_restart_release_nothing() {
    let gate = fixed_gate(2, 100_000);
    let class = class(URGENT, 1_000, 9);
    let old: Vec<_> = (0..2).map(|_| admitted(enter(&gate, "a", &class, 5))).collect();
    gate.restart(Instant::now());
    let _new: Vec<_> = (0..2).map(|_| admitted(enter(&gate, "a", &class, 5))).collect();
    drop(old);
    assert_eq!(gate.snapshot().in_flight, 2);
    queued(enter(&gate, "a", &class, 5));
}

/// A team must not accumulate credit in fair queueing while it has few requests queued.
#[tokio::test(start_paused = true)]
async fn team_accumulates_no_credit() {
    let gate = fixed_gate(1, 100_000);
    let class = class(BATCH, 3_600_000, 99);
    let mut in_flight = admitted(enter(&gate, "z", &class, 1));
    let (sender, mut decisions) = tokio::sync::mpsc::unbounded_channel();
    let enqueue = |team: &'static str, tokens: u32| {
        let (waiter, sender) = (queued(enter(&gate, team, &class, tokens)), sender.clone());
        tokio::spawn(async move { sender.send((team, waiter.wait().await)) });
    };
    (0..20).for_each(|_| enqueue("large", 900));
    enqueue("small", 36);
    let mut consecutive = 0;
    let mut max_consecutive = 0;
    for round in 0..40 {
        drop(in_flight);
        let (team, outcome) = decisions.recv().await.expect("a request is decided");
        let GateOutcome::Admitted(ticket) = outcome else { panic!("not admitted") };
        in_flight = ticket;
        consecutive = if team == "small" { consecutive + 1 } else { 0 };
        max_consecutive = max_consecutive.max(consecutive);
        if team == "small" && round < 10 {
            enqueue("small", 36);
        }
        if round == 10 {
            (0..60).for_each(|_| enqueue("small", 36));
        }
    }
    assert!(
        max_consecutive <= 10,
        "one quantum of 964 covers at most ten requests of 100: {max_consecutive}"
    );
}
