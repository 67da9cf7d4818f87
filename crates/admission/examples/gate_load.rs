//! Six routers before one engine, with adaptive and with fixed limits; see `docs/design/admission.md`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::ClassConf;
use fulmargate_admission::EngineReport;
use fulmargate_admission::GateConf;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::ServerGate;
use fulmargate_names::ServerName;
use support::BATCH;
use support::Dice;
use support::URGENT;
use support::class;
use support::crash_world::paused;
use support::ms;
use support::request;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

const ROUTERS: usize = 6;
/// Prompt tokens that the engine computes in a millisecond, one prompt after the other.
const PREFILL: u32 = 40;
/// Answers that it writes at a time, and the time for one.
const SLOTS: usize = 16;
const DECODE_MS: u64 = 100;
/// Tokens to compute of an urgent and of a batch prompt; three in ten are urgent.
const TOKENS: [u32; 2] = [600, 3_000];
const URGENT_IN_TEN: usize = 3;
const RUN_MS: u64 = 600_000;

/// The engine: prefill in order of arrival, then a slot. It knows no priorities: the worst case.
struct Engine {
    prefill: Mutex<()>,
    slots: Semaphore,
    queue_tokens: Cell<u32>,
}

/// What became of the requests of one run.
#[derive(Default)]
struct Tally {
    /// Milliseconds to the first token, by class.
    ttft: [Vec<u64>; 2],
    refused: [u32; 2],
    /// Those of the refused that had waited for more than a second.
    waited_in_vain: u32,
    tokens: u64,
}

fn main() {
    let fixed = |limit: u32, tokens: u32| GateConf {
        first_requests: limit,
        least_requests: limit,
        most_requests: limit,
        first_tokens: tokens,
        least_tokens: tokens,
        most_tokens: tokens,
        ..GateConf::engine()
    };
    let ways = [
        ("adaptive", GateConf::engine()),
        ("adaptive, target 100 ms", GateConf { target_wait: ms(100), ..GateConf::engine() }),
        ("adaptive, target 600 ms", GateConf { target_wait: ms(600), ..GateConf::engine() }),
        ("two at a time", fixed(2, 1 << 20)),
        ("sixteen at a time", fixed(16, 1 << 20)),
        ("no limit", fixed(100_000, 1 << 30)),
    ];
    for load in [70, 90, 120] {
        println!("load {load}% of prefill:");
        for (name, conf) in &ways {
            report(name, paused(LocalSet::new().run_until(run(load, *conf))));
        }
    }
}

async fn run(load: u64, conf: GateConf) -> Tally {
    let engine = Rc::new(Engine {
        prefill: Mutex::new(()),
        slots: Semaphore::new(SLOTS),
        queue_tokens: Cell::new(0),
    });
    let gates: Vec<_> =
        (0..ROUTERS).map(|_| ServerGate::new(ServerName::new("engine-1"), conf)).collect();
    let classes = [class(URGENT, 1_500, 200), class(BATCH, 60_000, 2_000)];
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut dice = Dice(7);
    let mean =
        (TOKENS[0] as usize * URGENT_IN_TEN + TOKENS[1] as usize * (10 - URGENT_IN_TEN)) / 10;
    let gap_ms = mean as f64 / f64::from(PREFILL) * 100.0 / load as f64;
    let end = Instant::now() + Duration::from_millis(RUN_MS);
    while Instant::now() < end {
        let kind = usize::from(dice.below(10) >= URGENT_IN_TEN);
        let gate = Arc::clone(&gates[dice.below(ROUTERS)]);
        let class = Arc::clone(&classes[kind]);
        let team = format!("team-{}", dice.below(8));
        let (engine, tally) = (Rc::clone(&engine), Rc::clone(&tally));
        tokio::task::spawn_local(serve(engine, gate, class, kind, team, tally));
        // Gaps of a Poisson stream.
        let chance = (dice.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
        sleep(Duration::from_secs_f64(-chance.ln() * gap_ms / 1_000.0)).await;
    }
    sleep(Duration::from_secs(120)).await;
    tally.take()
}

async fn serve(
    engine: Rc<Engine>,
    gate: Arc<ServerGate>,
    class: Arc<ClassConf>,
    kind: usize,
    team: String,
    tally: Rc<RefCell<Tally>>,
) {
    let arrived = Instant::now();
    let tokens = TOKENS[kind];
    let outcome = match gate.enter(&request(&team, &class, tokens), arrived) {
        GateEntry::Decided(outcome) => outcome,
        GateEntry::Queued(waiter) => waiter.wait().await,
    };
    let GateOutcome::Admitted(mut ticket) = outcome else {
        let mut tally = tally.borrow_mut();
        tally.refused[kind] += 1;
        tally.waited_in_vain += u32::from(arrived.elapsed() > ms(1_000));
        return;
    };
    engine.queue_tokens.set(engine.queue_tokens.get() + tokens);
    let turn = engine.prefill.lock().await;
    let slot = engine.slots.acquire().await;
    engine.queue_tokens.set(engine.queue_tokens.get() - tokens);
    sleep(ms(u64::from(tokens / PREFILL))).await;
    drop(turn);
    let queue_tokens = engine.queue_tokens.get();
    let report = EngineReport { prompt_tokens: tokens, cached_tokens: 0, queue_tokens };
    ticket.first_token(&report, Instant::now());
    {
        let mut tally = tally.borrow_mut();
        tally.ttft[kind].push(arrived.elapsed().as_millis() as u64);
        tally.tokens += u64::from(tokens);
    }
    sleep(ms(DECODE_MS)).await;
    drop(slot);
}

fn report(name: &str, mut tally: Tally) {
    let busy = tally.tokens as f64 / f64::from(PREFILL) / RUN_MS as f64;
    let part = |of: &mut Vec<u64>, share: f64| {
        of.sort_unstable();
        of.get((of.len() as f64 * share) as usize).copied().unwrap_or(0)
    };
    let [urgent, batch] = &mut tally.ttft;
    println!(
        "  {name}: urgent p50 {} p99 {} ms, batch p99 {} ms, refused {} urgent {} batch ({} after waiting), prefill busy {busy:.2}",
        part(urgent, 0.5),
        part(urgent, 0.99),
        part(batch, 0.99),
        tally.refused[0],
        tally.refused[1],
        tally.waited_in_vain,
    );
}
