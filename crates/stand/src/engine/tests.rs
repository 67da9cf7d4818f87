//! Tests of the engine's core under a clock of their own.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use super::EngineSettings;
use super::engine_core::EngineCore;
use super::engine_desk::EngineDesk;
use super::engine_job::EngineJob;
use super::engine_job::JobNews;
use super::engine_job::JobRefusal;
use super::event_feed::EventFeed;
use crate::FaultDesk;
use crate::FaultOrder;
use crate::deployment::EngineRates;
use crate::token::BLOCK_BYTES;

const RATES: EngineRates = EngineRates {
    prefill_tokens_per_ms: 1.0,
    decode_step_ms: 5.0,
    batch_limit: 2,
    cache_blocks: 4,
    import_tokens_per_ms: 10.0,
    load_ms: 100,
};

struct CoreBench {
    core: EngineCore,
    faults: FaultDesk,
    lines: Vec<mpsc::UnboundedReceiver<JobNews>>,
}

impl CoreBench {
    fn new() -> CoreBench {
        let faults = FaultDesk::default();
        let weights = IndexMap::from([(Arc::from("m"), 1)]);
        let core = EngineCore::new(RATES, weights, faults.clone(), EventFeed::new(1, 10.0));
        CoreBench { core, faults, lines: Vec::new() }
    }

    /// Submits a request for a prompt of `blocks` blocks that begin with `letter`.
    fn submit(&mut self, now: f64, letter: &str, blocks: usize, priority: u8) {
        let (news, line) = mpsc::unbounded_channel();
        self.lines.push(line);
        let job = EngineJob {
            model: Arc::from("m"),
            scope: Some(Arc::from("t/m/")),
            prompt: Arc::from(letter.repeat(blocks * BLOCK_BYTES)),
            wanted_weights: Some(1),
            priority,
            resume_from: 0,
            answer_tokens: 3,
            news,
        };
        self.core.submit(now, job);
    }

    /// News of a request in short: `S` with the cached tokens, `T` for tokens, `D`, `R`.
    fn news(&mut self, request: usize) -> String {
        let mut text = String::new();
        while let Ok(news) = self.lines[request].try_recv() {
            text += &match news {
                JobNews::Started(start) => format!("S{}", start.cached_tokens),
                JobNews::Token(_) => "T".to_owned(),
                JobNews::Done => "D".to_owned(),
                JobNews::Refused(refusal) => format!("R{refusal:?}"),
            };
        }
        text
    }
}

/// One block takes 16 ms to prefill; decode steps follow each 5 ms.
#[test]
fn events_happen_in_their_order_however_late_the_wake_up() {
    let mut bench = CoreBench::new();
    bench.submit(0.0, "a", 1, 0);
    assert_eq!(bench.core.next_event(), Some(16.0));
    bench.core.advance(15.9);
    assert_eq!(bench.news(0), "");
    bench.core.advance(21.0);
    assert_eq!(bench.news(0), "S0TT");
    bench.core.advance(1_000.0);
    assert_eq!(bench.news(0), "TD");
    assert_eq!((bench.core.next_event(), bench.core.load()), (None, 0));
}

#[test]
fn the_most_urgent_goes_first_and_equals_in_order() {
    let mut bench = CoreBench::new();
    for (letter, priority) in [("a", 0), ("b", 2), ("c", 2), ("d", 0)] {
        bench.submit(0.0, letter, 1, priority);
    }
    assert_eq!(bench.core.queue_tokens(8.0), 8 + 3 * 16);
    let mut order = Vec::new();
    for time in 1..200 {
        bench.core.advance(f64::from(time));
        for request in 0..4 {
            if bench.news(request).starts_with('S') {
                order.push(request);
            }
        }
    }
    assert_eq!(order, [0, 3, 1, 2]);
}

/// A batch of two: the third prefill waits for a slot although the prefill itself is idle.
#[test]
fn the_batch_limit_holds_back_the_prefill() {
    let mut bench = CoreBench::new();
    bench.faults.apply(&FaultOrder { slow_factor: Some(1.0), ..FaultOrder::default() });
    for letter in ["a", "b"] {
        bench.submit(0.0, letter, 0, 0);
    }
    bench.submit(0.0, "c", 0, 0);
    bench.core.advance(2.0);
    assert_eq!(
        (bench.news(0), bench.news(1), bench.news(2)),
        ("S0T".into(), "S0T".into(), String::new())
    );
    bench.core.advance(11.0);
    assert_eq!(bench.news(0), "TTD");
    bench.core.advance(12.0);
    assert_eq!(bench.news(2), "S0T");
}

/// Four blocks fit. The least recently used chain gives way from its end.
#[test]
fn the_cache_evicts_the_least_recently_used() {
    let mut bench = CoreBench::new();
    let cases = [("a", "S0"), ("b", "S0"), ("a", "S32"), ("c", "S0"), ("a", "S32"), ("b", "S0")];
    for (round, (letter, start)) in cases.into_iter().enumerate() {
        bench.submit(round as f64 * 1_000.0, letter, 2, 0);
        bench.core.advance(round as f64 * 1_000.0 + 999.0);
        let news = bench.news(round);
        assert!(news.starts_with(&format!("{start}T")), "round {round}: {news}");
    }
    let page = bench.core.feed.page(f64::MAX, 0, 100);
    assert_eq!(page.events.len(), 2 + 2 + 2 + 2 + 2 + 2, "four chains stored, two evicted");
}

/// A reader of the events sees a gap in the numbers, late, and nothing before its delay is over.
#[test]
fn lost_events_leave_a_gap() {
    let mut bench = CoreBench::new();
    bench.faults.apply(&FaultOrder { drop_events: Some(1), ..FaultOrder::default() });
    bench.submit(0.0, "a", 3, 0);
    bench.core.advance(50.0);
    assert!(bench.core.feed.page(57.0, 0, 100).events.is_empty());
    let page = bench.core.feed.page(58.0, 0, 100);
    let seqs: Vec<u64> = page.events.iter().map(|event| event.seq).collect();
    assert_eq!((page.first, page.next, seqs), (1, 3, vec![1, 2]));
}

/// New weights come into use while a request for the old ones waits: it is refused and not run
/// under weights that it did not ask for.
#[test]
fn a_waiting_request_never_runs_under_other_weights() {
    let mut bench = CoreBench::new();
    bench.submit(0.0, "a", 2, 0);
    bench.submit(0.0, "b", 2, 0);
    let model = Arc::from("m");
    bench.core.begin_loading(&model, 2);
    bench.submit(1.0, "c", 2, 0);
    assert_eq!(bench.news(2), format!("R{:?}", JobRefusal::Loading));
    bench.core.end_loading(5.0, &model, Some(2));
    bench.core.advance(1_000.0);
    assert_eq!(bench.news(0), "S0TTTD", "already running");
    assert_eq!(bench.news(1), format!("R{:?}", JobRefusal::WeightsMismatch));
    assert_eq!(bench.core.cached_blocks(), 0, "no blocks of the old weights");
}

/// Blocks of old weights would fill the cache although nobody asks for them again.
#[test]
fn new_weights_empty_the_cache_and_say_so() {
    let mut bench = CoreBench::new();
    bench.submit(0.0, "a", 2, 0);
    bench.core.advance(900.0);
    assert_eq!(bench.core.cached_blocks(), 2);
    bench.core.end_loading(900.0, &Arc::from("m"), Some(2));
    assert_eq!(bench.core.cached_blocks(), 0);
    assert_eq!(bench.core.feed.page(910.0, 0, 100).next, 3, "two stored, one cleared");
}

/// A frozen process computes nothing: after its thaw an engine goes on where it stood.
#[actix_rt::test]
async fn a_frozen_engine_does_not_age() {
    tokio::time::pause();
    let settings = EngineSettings {
        name: "e".into(),
        zone: "z".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        models: IndexMap::new(),
        fenced: true,
        rates: RATES,
        event_delay_ms: 0.0,
        report_ms: 100,
        weight_store: None,
        kv_store: None,
        neighbours: IndexMap::new(),
    };
    let faults = FaultDesk::default();
    let desk = EngineDesk::new(Arc::new(settings), faults.clone());
    for (freeze_ms, passed_ms, age_ms) in [(0, 10, 10.0), (100, 50, 10.0), (0, 30, 40.0)] {
        faults.apply(&FaultOrder { freeze_ms: Some(freeze_ms), ..FaultOrder::default() });
        tokio::time::advance(Duration::from_millis(passed_ms)).await;
        assert!((desk.now_ms() - age_ms).abs() < 1e-6, "{freeze_ms}: {}", desk.now_ms());
    }
}

/// The callers of a running, a prefilling and a waiting request hang up.
#[test]
fn requests_of_callers_that_left_are_dropped_everywhere() {
    let mut bench = CoreBench::new();
    for letter in ["a", "b", "c"] {
        bench.submit(0.0, letter, 1, 0);
    }
    bench.core.advance(17.0);
    assert_eq!(bench.core.load(), 3);
    bench.lines.clear();
    bench.core.reap(18.0);
    assert_eq!((bench.core.load(), bench.core.queue_tokens(18.0)), (0, 0));
}
