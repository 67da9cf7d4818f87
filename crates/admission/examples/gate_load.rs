//! Simulates six routers in front of one engine with adaptive and fixed limits; see
//! `docs/design/admission.md`.

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
use support::TestRng;
use support::URGENT;
use support::class;
use support::crash_simulation::paused;
use support::ms;
use support::request;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

const ROUTERS: usize = 6;
/// Prompt tokens that the engine computes per millisecond, one prompt at a time.
const PREFILL_TOKENS_PER_MS: u32 = 40;
/// Concurrent responses of the engine, and the decode time of each.
const DECODE_SLOTS: usize = 16;
const DECODE_MS: u64 = 100;
/// Prompt tokens of an urgent and of a batch request.
const PROMPT_TOKENS: [u32; 2] = [600, 3_000];
const URGENT_IN_TEN: usize = 3;
const RUN_MS: u64 = 600_000;

/// An engine that prefills in order of arrival, ignoring priorities: the worst case for urgent
/// requests.
struct Engine {
    prefill: Mutex<()>,
    slots: Semaphore,
    queue_tokens: Cell<u32>,
}

/// Results of one simulation.
#[derive(Default)]
struct Results {
    /// Time to first token in milliseconds, by class.
    ttft: [Vec<u64>; 2],
    refused: [u32; 2],
    /// Requests refused after more than a second in the queue.
    refused_late: u32,
    tokens: u64,
}

fn main() {
    let fixed = |limit: u32, tokens: u32| GateConf {
        initial_requests: limit,
        min_requests: limit,
        max_requests: limit,
        initial_tokens: tokens,
        min_tokens: tokens,
        max_tokens: tokens,
        ..GateConf::engine()
    };
    let configurations = [
        ("adaptive", GateConf::engine()),
        ("adaptive, target 100 ms", GateConf { target_wait: ms(100), ..GateConf::engine() }),
        ("adaptive, target 600 ms", GateConf { target_wait: ms(600), ..GateConf::engine() }),
        ("limit 2", fixed(2, 1 << 20)),
        ("limit 16", fixed(16, 1 << 20)),
        ("no limit", fixed(100_000, 1 << 30)),
    ];
    for load in [70, 90, 120] {
        println!("load {load}% of prefill capacity:");
        for (name, conf) in &configurations {
            report(name, paused(LocalSet::new().run_until(run(load, *conf))));
        }
    }
}

async fn run(load: u64, conf: GateConf) -> Results {
    let engine = Rc::new(Engine {
        prefill: Mutex::new(()),
        slots: Semaphore::new(DECODE_SLOTS),
        queue_tokens: Cell::new(0),
    });
    let gates: Vec<_> =
        (0..ROUTERS).map(|_| ServerGate::new(ServerName::new("engine-1"), conf)).collect();
    let classes = [class(URGENT, 1_500, 200), class(BATCH, 60_000, 2_000)];
    let results = Rc::new(RefCell::new(Results::default()));
    let mut rng = TestRng(7);
    let mean_tokens = (PROMPT_TOKENS[0] as usize * URGENT_IN_TEN
        + PROMPT_TOKENS[1] as usize * (10 - URGENT_IN_TEN))
        / 10;
    let gap_ms = mean_tokens as f64 / f64::from(PREFILL_TOKENS_PER_MS) * 100.0 / load as f64;
    let end = Instant::now() + Duration::from_millis(RUN_MS);
    while Instant::now() < end {
        let class_index = usize::from(rng.below(10) >= URGENT_IN_TEN);
        let gate = Arc::clone(&gates[rng.below(ROUTERS)]);
        let class = Arc::clone(&classes[class_index]);
        let team = format!("team-{}", rng.below(8));
        let (engine, results) = (Rc::clone(&engine), Rc::clone(&results));
        tokio::task::spawn_local(serve(engine, gate, class, class_index, team, results));
        // Exponential gaps, as in a Poisson process.
        let uniform = (rng.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
        sleep(Duration::from_secs_f64(-uniform.ln() * gap_ms / 1_000.0)).await;
    }
    sleep(Duration::from_secs(120)).await;
    results.take()
}

async fn serve(
    engine: Rc<Engine>,
    gate: Arc<ServerGate>,
    class: Arc<ClassConf>,
    class_index: usize,
    team: String,
    results: Rc<RefCell<Results>>,
) {
    let arrived = Instant::now();
    let tokens = PROMPT_TOKENS[class_index];
    let outcome = match gate.enter(&request(&team, &class, tokens), arrived) {
        GateEntry::Decided(outcome) => outcome,
        GateEntry::Queued(waiter) => waiter.wait().await,
    };
    let GateOutcome::Admitted(mut ticket) = outcome else {
        let mut results = results.borrow_mut();
        results.refused[class_index] += 1;
        results.refused_late += u32::from(arrived.elapsed() > ms(1_000));
        return;
    };
    engine.queue_tokens.set(engine.queue_tokens.get() + tokens);
    let prefill_turn = engine.prefill.lock().await;
    let slot = engine.slots.acquire().await;
    engine.queue_tokens.set(engine.queue_tokens.get() - tokens);
    sleep(ms(u64::from(tokens / PREFILL_TOKENS_PER_MS))).await;
    drop(prefill_turn);
    let queue_tokens = engine.queue_tokens.get();
    let report = EngineReport { prompt_tokens: tokens, cached_tokens: 0, queue_tokens };
    ticket.first_token(&report, Instant::now());
    {
        let mut results = results.borrow_mut();
        results.ttft[class_index].push(arrived.elapsed().as_millis() as u64);
        results.tokens += u64::from(tokens);
    }
    sleep(ms(DECODE_MS)).await;
    drop(slot);
}

fn report(name: &str, mut results: Results) {
    let utilization = results.tokens as f64 / f64::from(PREFILL_TOKENS_PER_MS) / RUN_MS as f64;
    let percentile = |values: &mut Vec<u64>, quantile: f64| {
        values.sort_unstable();
        values.get((values.len() as f64 * quantile) as usize).copied().unwrap_or(0)
    };
    let [urgent, batch] = &mut results.ttft;
    println!(
        "  {name}: urgent p50 {} p99 {} ms, batch p99 {} ms, refused {} urgent {} batch ({} after more than 1 s), prefill utilization {utilization:.2}",
        percentile(urgent, 0.5),
        percentile(urgent, 0.99),
        percentile(batch, 0.99),
        results.refused[0],
        results.refused[1],
        results.refused_late,
    );
}
