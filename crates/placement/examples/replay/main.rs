//! Replays nested prefixes over caches with queues, through six routers with lagging information.
//!
//! `cargo run --release -p fulmargate-placement --example replay -- KEY=VALUE ...`, keys as in
//! `ReplayConf`. Prints one row for each policy and load, beside one cache of the whole fleet's
//! size that evicts what was used longest ago.

mod conf;
mod engine;
mod fleet;
mod run;
mod workload;

use conf::ReplayConf;
use engine::PrefixCache;
use run::ReplayRun;
use workload::Workload;

/// Servers of the fleet.
pub(crate) const SERVERS: usize = 12;
/// Tokens that a server caches.
pub(crate) const CACHED_TOKENS: u32 = 60_000;
/// Prefill tokens of a server in a millisecond.
pub(crate) const PREFILL: f64 = 40.0;
/// Part of the bound's hit rate that the fleet whose capacity is taken reaches.
const CAPACITY_HITS: f64 = 0.95;
/// Requests of the bound's replay, and those before it counts.
const BOUND_REQUESTS: usize = 60_000;
const BOUND_WARMUP: usize = 15_000;

/// Hit rate and recomputed tokens a request of one cache of the fleet's size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfflineBound {
    pub(crate) hit_rate: f64,
    pub(crate) recomputed: f64,
    /// Requests a millisecond.
    pub(crate) capacity: f64,
}

fn offline_bound(conf: &ReplayConf) -> OfflineBound {
    let mut workload = Workload::new(conf);
    let mut cache = PrefixCache::new(CACHED_TOKENS * SERVERS as u32);
    let (mut cached, mut all, mut recomputed) = (0, 0, 0);
    for number in 0..BOUND_REQUESTS {
        let prompt = workload.prompt(number as f64);
        let served = cache.serve(&prompt.chain);
        if BOUND_WARMUP <= number {
            cached += u64::from(served.cached);
            recomputed += u64::from(served.recomputed);
            all += u64::from(prompt.chain.tokens());
        }
    }
    let requests = (BOUND_REQUESTS - BOUND_WARMUP) as f64;
    let hit_rate = cached as f64 / all as f64;
    let uncached = all as f64 / requests * (1.0 - CAPACITY_HITS * hit_rate);
    let capacity = SERVERS as f64 * PREFILL / uncached;
    OfflineBound { hit_rate, recomputed: recomputed as f64 / requests, capacity }
}

fn main() {
    let conf = ReplayConf::parse(std::env::args().skip(1));
    let bound = offline_bound(&conf);
    println!(
        "bound: hit rate {:.4}, recomputed {:.1} a request, capacity {:.0}/s",
        bound.hit_rate,
        bound.recomputed,
        bound.capacity * 1_000.0
    );
    println!(
        "policy       load hit-rate /bound recomp /bound  urgent50 urgent99  batch99 unfinished fresh fresh+plan detours"
    );
    for policy in &conf.policies {
        for load in &conf.loads {
            let figures = ReplayRun::new(&conf, *policy, bound.capacity * load).figures();
            println!(
                "{:<12} {:<4} {:.4}   {:.3}  {:>6.1} {:.3}  {:>8.0} {:>8.0} {:>8.0} {:>10} {:.3} {:.3}      {:.4}",
                policy.name(),
                load,
                figures.hit_rate,
                figures.hit_rate / bound.hit_rate,
                figures.recomputed,
                figures.recomputed / bound.recomputed,
                figures.urgent_p50_ms,
                figures.urgent_p99_ms,
                figures.batch_p99_ms,
                figures.unfinished,
                figures.fresh_agrees,
                figures.planned_agrees,
                figures.detours,
            );
        }
    }
}
