//! How much a gate lets through at a time.

mod support;

use std::cmp::Ordering;
use std::sync::Arc;

use fulmargate_admission::ClassConf;
use fulmargate_admission::EngineReport;
use fulmargate_admission::GateConf;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::ServerGate;
use fulmargate_names::ErrorKind;
use fulmargate_names::ServerName;
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

#[tokio::test(start_paused = true)]
async fn prompts_wait_for_prefill_room_and_a_large_one_runs_alone() {
    let gate = fixed_gate(9, 1_000);
    let class = class(URGENT, 1_000, 9);
    let mut large = admitted(enter(&gate, "a", &class, 5_000));
    let small = queued(enter(&gate, "b", &class, 10));
    large.first_token(&EngineReport::default(), Instant::now());
    let GateOutcome::Admitted(_small) = small.wait().await else {
        panic!("the large prompt no longer waits for prefill");
    };
    assert_eq!(gate.figures().under_way, 2);
    assert_eq!(gate.figures().prefill_tokens, 10);
}

/// A large prompt waits for room that smaller ones of other teams would fit in, and is given up.
/// Those behind it must go at once, not when the next answer happens to come.
#[tokio::test(start_paused = true)]
async fn those_behind_a_large_prompt_go_when_it_is_given_up() {
    let gate = fixed_gate(9, 1_000);
    let _under_way = admitted(enter(&gate, "a", &class(URGENT, 60_000, 9), 900));
    let large = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 500));
    let small = queued(enter(&gate, "c", &class(URGENT, 5_000, 9), 50));
    let GateOutcome::Refused(refusal) = large.wait().await else { panic!("not refused") };
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnmet);
    assert_eq!(gate.figures().waiting, 0);
    assert!(matches!(small.wait().await, GateOutcome::Admitted(_)));
}

/// Batch work and one crowded team leave some of a server free, since what runs can't be
/// overtaken.
#[tokio::test(start_paused = true)]
async fn a_part_of_the_limit_stays_free_for_others() {
    let conf = GateConf { first_requests: 10, ..GateConf::engine() };
    let gate = ServerGate::new(ServerName::new("engine-1"), conf);
    let (urgent, batch) = (class(URGENT, 1_000, 99), class(BATCH, 1_000, 99));
    let fill = |team: &str, class: &Arc<ClassConf>| {
        let mut tickets = Vec::new();
        while let GateEntry::Decided(GateOutcome::Admitted(ticket)) = enter(&gate, team, class, 1) {
            tickets.push(ticket);
        }
        tickets
    };
    let lesser = fill("a", &batch);
    assert_eq!(lesser.len(), 8);
    let crowd = fill("a", &urgent);
    assert_eq!(crowd.len(), 1);
    assert_eq!(fill("b", &urgent).len(), 1);
}

/// How limits move with what answers report.
struct LimitCase {
    name: &'static str,
    /// Prompt tokens waiting at the server, as each answer reports.
    queue_tokens: u32,
    /// Whether more requests come than fit.
    pressed: Pressed,
    expected: Ordering,
}

#[derive(Clone, Copy, PartialEq)]
enum Pressed {
    Yes,
    No,
}

#[tokio::test(start_paused = true)]
async fn limits_follow_reports() {
    let cases = [
        LimitCase {
            name: "idle",
            queue_tokens: 0,
            pressed: Pressed::No,
            expected: Ordering::Equal,
        },
        LimitCase {
            name: "room left",
            queue_tokens: 0,
            pressed: Pressed::Yes,
            expected: Ordering::Greater,
        },
        LimitCase {
            name: "full",
            queue_tokens: 40_000,
            pressed: Pressed::Yes,
            expected: Ordering::Less,
        },
        LimitCase {
            name: "others",
            queue_tokens: 40_000,
            pressed: Pressed::No,
            expected: Ordering::Less,
        },
    ];
    for case in &cases {
        check_limit(case).await;
    }
}

async fn check_limit(case: &LimitCase) {
    let conf = GateConf { first_requests: 4, ..GateConf::engine() };
    let gate = ServerGate::new(ServerName::new("engine-1"), conf);
    let class = class(URGENT, 10_000, 99);
    for round in 0..8 {
        let team = format!("team-{round}");
        let mut ticket = admitted(enter(&gate, &team, &class, 400));
        let mut others = Vec::new();
        let crowd = if case.pressed == Pressed::Yes { 99 } else { 0 };
        for other in 0..crowd {
            let entry = enter(&gate, &format!("other-{other}"), &class, 0);
            if let GateEntry::Decided(GateOutcome::Admitted(ticket)) = entry {
                others.push(ticket);
            }
        }
        advance(ms(100)).await;
        let queue_tokens = case.queue_tokens;
        let report = EngineReport { prompt_tokens: 400, cached_tokens: 0, queue_tokens };
        ticket.first_token(&report, Instant::now());
    }
    assert_eq!(gate.figures().requests_limit.cmp(&4), case.expected, "{}", case.name);
}
