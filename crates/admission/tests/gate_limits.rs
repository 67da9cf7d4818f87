//! Concurrency limits of a gate.

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
async fn prompt_above_token_limit_runs_alone() {
    let gate = fixed_gate(9, 1_000);
    let class = class(URGENT, 1_000, 9);
    let mut large = admitted(enter(&gate, "a", &class, 5_000));
    let small = queued(enter(&gate, "b", &class, 10));
    large.first_token(&EngineReport::default(), Instant::now());
    let GateOutcome::Admitted(_small) = small.wait().await else {
        panic!("not admitted after the large prompt was prefilled");
    };
    assert_eq!(gate.snapshot().in_flight, 2);
    assert_eq!(gate.snapshot().prefill_tokens, 10);
}

/// When a large request that blocks the queue expires, smaller requests behind it must be admitted
/// at once, not with the next response.
#[tokio::test(start_paused = true)]
async fn expired_large_request_unblocks_smaller_ones() {
    let gate = fixed_gate(9, 1_000);
    let _in_flight = admitted(enter(&gate, "a", &class(URGENT, 60_000, 9), 900));
    let large = queued(enter(&gate, "b", &class(URGENT, 1_000, 9), 500));
    let small = queued(enter(&gate, "c", &class(URGENT, 5_000, 9), 50));
    let GateOutcome::Refused(refusal) = large.wait().await else { panic!("not refused") };
    assert_eq!(refusal.kind, ErrorKind::DeadlineUnmet);
    assert_eq!(gate.snapshot().queued, 0);
    assert!(matches!(small.wait().await, GateOutcome::Admitted(_)));
}

/// Non-urgent requests and each single team must leave a share of the limits free for others.
#[tokio::test(start_paused = true)]
async fn limits_reserve_share_for_other_requests() {
    let conf = GateConf { initial_requests: 10, ..GateConf::engine() };
    let gate = ServerGate::new(ServerName::new("engine-1"), conf);
    let (urgent, batch) = (class(URGENT, 1_000, 99), class(BATCH, 1_000, 99));
    let fill = |team: &str, class: &Arc<ClassConf>| {
        let mut tickets = Vec::new();
        while let GateEntry::Decided(GateOutcome::Admitted(ticket)) = enter(&gate, team, class, 1) {
            tickets.push(ticket);
        }
        tickets
    };
    let non_urgent = fill("a", &batch);
    assert_eq!(non_urgent.len(), 8);
    let urgent_of_same_team = fill("a", &urgent);
    assert_eq!(urgent_of_same_team.len(), 1);
    assert_eq!(fill("b", &urgent).len(), 1);
}

/// Reported queue and offered load, and how the request limit must change.
struct LimitCase {
    name: &'static str,
    /// Prompt tokens queued at the server, as reported by each response.
    queue_tokens: u32,
    load: OfferedLoad,
    expected: Ordering,
}

#[derive(Clone, Copy, PartialEq)]
enum OfferedLoad {
    AboveLimit,
    BelowLimit,
}

#[tokio::test(start_paused = true)]
async fn limits_follow_reported_queue() {
    let cases = [
        LimitCase {
            name: "no load, empty queue",
            queue_tokens: 0,
            load: OfferedLoad::BelowLimit,
            expected: Ordering::Equal,
        },
        LimitCase {
            name: "saturated, empty queue",
            queue_tokens: 0,
            load: OfferedLoad::AboveLimit,
            expected: Ordering::Greater,
        },
        LimitCase {
            name: "saturated, long queue",
            queue_tokens: 40_000,
            load: OfferedLoad::AboveLimit,
            expected: Ordering::Less,
        },
        LimitCase {
            name: "no load, long queue of other routers",
            queue_tokens: 40_000,
            load: OfferedLoad::BelowLimit,
            expected: Ordering::Less,
        },
    ];
    for case in &cases {
        assert_limit_change(case).await;
    }
}

async fn assert_limit_change(case: &LimitCase) {
    let conf = GateConf { initial_requests: 4, ..GateConf::engine() };
    let gate = ServerGate::new(ServerName::new("engine-1"), conf);
    let class = class(URGENT, 10_000, 99);
    for round in 0..8 {
        let team = format!("team-{round}");
        let mut ticket = admitted(enter(&gate, &team, &class, 400));
        let mut others = Vec::new();
        let count = if case.load == OfferedLoad::AboveLimit { 99 } else { 0 };
        for other in 0..count {
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
    assert_eq!(gate.snapshot().requests_limit.cmp(&4), case.expected, "{}", case.name);
}
