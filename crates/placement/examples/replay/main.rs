//! Simulates six routers with delayed load information over servers with queues and LRU caches,
//! compared with one LRU cache of the fleet's total size.
//!
//! Usage: `cargo run --release -p fulmargate-placement --example replay -- [KEY=NUMBER ...]`
//!
//! * `all`: 1 to run all policies
//! * `load`: fraction of the capacity
//! * `seed`, `seconds`: random seed and simulated time
//! * `plan`: 2 for one shared plan, 1 for a plan per router, 0 for none
//! * `shift`: interval between popularity changes in ms
//! * `restarts`: number of servers to restart
//! * `hot`, `detour`, `width`, `price`: see `PlacementConf`

mod cache;
mod prompts;
mod router;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_placement::ChoiceReason;
use fulmargate_placement::ClassWeights;
use fulmargate_placement::OpenRequest;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::PromptChain;
use fulmargate_placement::ReplyStats;
use fulmargate_placement::SpreadPlan;

use cache::LruCache;
use prompts::prompt;
use prompts::random;
use prompts::unit_interval;
use router::Router;

const SERVERS: usize = 12;
const ROUTERS: usize = 6;
const CACHE_CAPACITY_TOKENS: u32 = 60_000;
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
const MAX_BATCH_SIZE: usize = 16;
const DECODE_MS: f64 = 100.0;
const NETWORK_MS: f64 = 0.5;
const TICK_MS: f64 = 500.0;
/// Initial fraction of the run excluded from the statistics.
const WARMUP_FRACTION: f64 = 0.3;
const WEIGHTS: [ClassWeights; 2] = [
    ClassWeights { priority: 0, ttft: 1.0, recompute: 0.1 },
    ClassWeights { priority: 2, ttft: 0.1, recompute: 1.0 },
];

fn arg(key: &str, default: f64) -> f64 {
    let value = |arg: String| arg.strip_prefix(key)?.strip_prefix('=')?.parse().ok();
    std::env::args().find_map(value).unwrap_or(default)
}

#[derive(Default)]
struct Engine {
    cache: LruCache,
    waiting: [VecDeque<usize>; 2],
    prefill: Option<(usize, u32)>,
    decoding: usize,
    incarnation: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Queued(usize),
    Prefilled(usize, u64),
    Decoded(usize, u64),
    Answered(usize),
    Ended(usize),
    Tick,
    Restart,
}

struct Request {
    chain: PromptChain,
    band: usize,
    arrived_ms: f64,
    router: usize,
    server: usize,
    open: Option<OpenRequest>,
    reply: Option<ReplyStats>,
}

#[derive(Default)]
struct Stats {
    requests: u64,
    tokens: u64,
    cached: u64,
    recomputed: u64,
    choices: u64,
    detours: u64,
    /// Choices that a restarted router makes identically, with and without the plan.
    matching_choices: [u64; 2],
    ttft: [Vec<f64>; 2],
}

struct Replay {
    policy: PolicyKind,
    rate: f64,
    end_ms: f64,
    seed: u64,
    arrivals: usize,
    routers: Vec<Router>,
    restarted: [Router; 2],
    engines: Vec<Engine>,
    plan: Option<SpreadPlan>,
    requests: HashMap<usize, Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    stats: Stats,
}

impl Replay {
    fn new(policy: PolicyKind, rate: f64) -> Replay {
        let end_ms = arg("seconds", 60.0) * 1_000.0;
        let mut replay = Replay {
            policy,
            rate,
            end_ms,
            seed: arg("seed", 1.0) as u64,
            arrivals: 0,
            routers: (0..ROUTERS).map(|_| Router::new()).collect(),
            restarted: [Router::new(), Router::new()],
            engines: (0..SERVERS).map(|_| Engine::default()).collect(),
            plan: None,
            requests: HashMap::new(),
            events: BinaryHeap::new(),
            stats: Stats::default(),
        };
        for (time, event) in
            [(0.0, Event::Arrival), (TICK_MS, Event::Tick), (0.6 * end_ms, Event::Restart)]
        {
            replay.schedule(time, event);
        }
        replay
    }

    fn run(mut self) -> (Stats, usize) {
        while let Some(Reverse((time, event))) = self.events.pop() {
            let now = f64::from_bits(time);
            if self.end_ms < now {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now),
                Event::Queued(number) => self.queue(number, now),
                Event::Prefilled(server, incarnation) => self.prefilled(server, incarnation, now),
                Event::Decoded(server, incarnation)
                    if self.engines[server].incarnation == incarnation =>
                {
                    self.engines[server].decoding -= 1;
                    self.begin_prefill(server, now);
                }
                Event::Decoded(..) => {}
                Event::Answered(number) => self.answered(number, now),
                Event::Ended(number) => drop(self.requests.remove(&number)),
                Event::Tick => self.tick(now),
                Event::Restart => self.restart(now),
            }
        }
        let unfinished = self.requests.values().filter(|request| request.reply.is_none());
        let unfinished = unfinished.count();
        (self.stats, unfinished)
    }

    /// Nonnegative floats have the same order as their bit patterns.
    fn schedule(&mut self, time: f64, event: Event) {
        self.events.push(Reverse((time.to_bits(), event)));
    }

    fn arrive(&mut self, now: f64) {
        let (number, seed) = (self.arrivals, self.seed);
        self.arrivals += 1;
        let ramp = (0.3 + 3.5 * now / self.end_ms).min(1.0);
        let interval =
            -unit_interval(random(seed + 1_000, number as u64)).ln() / (self.rate * ramp);
        self.schedule(now + interval, Event::Arrival);
        let (chain, band) = prompt(seed, number as u64, now);
        let router = random(seed + 2_000, number as u64) as usize % ROUTERS;
        let request =
            Request { chain, band, arrived_ms: now, router, server: 0, open: None, reply: None };
        self.requests.insert(number, request);
        self.send(number, now);
    }

    fn send(&mut self, number: usize, now: f64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let (chain, band) = (&request.chain, request.band);
        let router = &self.routers[request.router];
        let choice = router.choose(self.policy, chain, band, now);
        request.server = choice.server.name().as_str()[6..].parse().expect("a number");
        request.open = Some(router.placer.begin(&choice, chain, WEIGHTS[band], now as u64));
        if WARMUP_FRACTION * self.end_ms < now {
            self.stats.choices += 1;
            self.stats.detours += u64::from(choice.reason == ChoiceReason::Detour);
            for (count, restarted) in self.stats.matching_choices.iter_mut().zip(&self.restarted) {
                let other = restarted.choose(self.policy, chain, band, now);
                *count += u64::from(other.server.name() == choice.server.name());
            }
        }
        self.schedule(now + NETWORK_MS, Event::Queued(number));
    }

    fn queue(&mut self, number: usize, now: f64) {
        let Some(request) = self.requests.get(&number) else { return };
        let server = request.server;
        self.engines[server].waiting[request.band].push_back(number);
        self.begin_prefill(server, now);
    }

    /// Starts the next prefill in priority order if the batch has room. Prefills are serial.
    fn begin_prefill(&mut self, server: usize, now: f64) {
        let engine = &mut self.engines[server];
        if engine.prefill.is_some() || MAX_BATCH_SIZE <= engine.decoding {
            return;
        }
        let Some(number) = engine.waiting.iter_mut().find_map(VecDeque::pop_front) else { return };
        let Some(request) = self.requests.get(&number) else { return };
        let (cached, recomputed) = engine.cache.access(&request.chain, CACHE_CAPACITY_TOKENS);
        let tokens = request.chain.tokens();
        engine.prefill = Some((number, cached));
        let incarnation = engine.incarnation;
        if WARMUP_FRACTION * self.end_ms < request.arrived_ms {
            self.stats.requests += 1;
            self.stats.tokens += u64::from(tokens);
            self.stats.cached += u64::from(cached);
            self.stats.recomputed += u64::from(recomputed);
        }
        let done = now + f64::from(tokens - cached) / PREFILL_TOKENS_PER_MS;
        self.schedule(done, Event::Prefilled(server, incarnation));
    }

    fn prefilled(&mut self, server: usize, incarnation: u64, now: f64) {
        let engine = &mut self.engines[server];
        let Some((number, cached_tokens)) =
            engine.prefill.filter(|_| engine.incarnation == incarnation)
        else {
            return;
        };
        engine.prefill = None;
        engine.decoding += 1;
        let waiting: usize = engine.waiting.iter().map(VecDeque::len).sum();
        if let Some(request) = self.requests.get_mut(&number) {
            request.reply = Some(ReplyStats {
                incarnation: Incarnation(incarnation),
                prompt_tokens: request.chain.tokens(),
                cached_tokens,
                queue_tokens: 300 * waiting as u32,
                running: (waiting + engine.decoding) as u32,
                ttft_ms: now + NETWORK_MS - request.arrived_ms,
            });
        }
        self.schedule(now + NETWORK_MS, Event::Answered(number));
        self.schedule(now + DECODE_MS, Event::Decoded(server, incarnation));
        self.begin_prefill(server, now);
    }

    fn answered(&mut self, number: usize, now: f64) {
        let warmup_end = WARMUP_FRACTION * self.end_ms;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let (Some(open), Some(reply)) = (&mut request.open, &request.reply) else { return };
        self.routers[request.router].placer.first_token(open, reply, now as u64);
        if warmup_end < request.arrived_ms {
            self.stats.ttft[request.band].push(now - request.arrived_ms);
        }
        self.schedule(now + DECODE_MS, Event::Ended(number));
    }

    /// Plans take effect one tick after they are made.
    fn tick(&mut self, now: f64) {
        self.schedule(now + TICK_MS, Event::Tick);
        let (mode, now_ms) = (arg("plan", 2.0) as usize, now as u64);
        if self.policy != PolicyKind::Cost || mode == 0 {
            return;
        }
        if let Some(plan) = &self.plan {
            for router in self.routers.iter_mut().chain(&mut self.restarted[..1]) {
                router.view = router.view.with_plan(plan);
            }
        }
        for number in 0..ROUTERS {
            let report = self.routers[number].placer.demand(64, now_ms);
            let maker = &mut self.routers[if mode == 2 { 0 } else { number }].maker;
            maker.hear(&HostName::new(&format!("host{number}")), report, now_ms);
        }
        let Router { view, maker, .. } = &mut self.routers[0];
        if mode == 2 {
            self.plan = maker.next(view, ROUTERS, now_ms).or(self.plan.take());
            return;
        }
        for Router { view, maker, .. } in &mut self.routers {
            if let Some(plan) = maker.next(view, 1, now_ms) {
                *view = view.with_plan(&plan);
            }
        }
    }

    /// Restarts servers with empty caches and resends their requests.
    fn restart(&mut self, now: f64) {
        let restarts = arg("restarts", 0.0) as usize;
        for engine in &mut self.engines[..restarts] {
            *engine = Engine { incarnation: engine.incarnation + 1, ..Engine::default() };
        }
        let incarnations: Vec<u64> = self.engines.iter().map(|engine| engine.incarnation).collect();
        for router in self.routers.iter_mut().chain(&mut self.restarted[..1]) {
            router.set_incarnations(&incarnations, self.plan.as_ref());
        }
        let mut affected: Vec<usize> = self.requests.keys().copied().collect();
        affected.retain(|number| self.requests[number].server < restarts);
        affected.sort_unstable();
        for number in affected {
            self.send(number, now);
        }
    }
}

fn percentile(times: &mut [f64], quantile: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    times.get((last as f64 * quantile) as usize).copied().unwrap_or(f64::NAN)
}

fn main() {
    let mut shared_cache = LruCache::default();
    let (mut tokens, mut cached, mut recomputed) = (0.0, 0.0, 0.0);
    for number in 0..60_000 {
        let (chain, _) = prompt(arg("seed", 1.0) as u64, number, number as f64);
        let served = shared_cache.access(&chain, CACHE_CAPACITY_TOKENS * SERVERS as u32);
        if 15_000 <= number {
            tokens += f64::from(chain.tokens()) / 45_000.0;
            cached += f64::from(served.0) / 45_000.0;
            recomputed += f64::from(served.1) / 45_000.0;
        }
    }
    // Capacity of a fleet with 0.95 of the shared cache's hit rate.
    let capacity = SERVERS as f64 * PREFILL_TOKENS_PER_MS / (tokens - 0.95 * cached);
    let hit_rate = cached / tokens;
    println!(
        "bound: hit rate {hit_rate:.4}, recomputed {recomputed:.1} a request, {:.0}/s",
        capacity * 1e3
    );
    println!(
        "policy       load hit-rate /bound recomp /bound urgent50 urgent99 batch99 unfinished detours fresh +plan"
    );
    let loads = [0.7, 0.9].into_iter().filter(|load| arg("load", *load) == *load);
    for (policy, load) in
        PolicyKind::ALL.into_iter().flat_map(|p| loads.clone().map(move |l| (p, l)))
    {
        if policy != PolicyKind::Cost && arg("all", 0.0) == 0.0 {
            continue;
        }
        let (mut stats, unfinished) = Replay::new(policy, capacity * load).run();
        let ratio = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        let (hits, again) =
            (ratio(stats.cached, stats.tokens), ratio(stats.recomputed, stats.requests));
        let [p50, p99] = [0.5, 0.99].map(|at| percentile(&mut stats.ttft[0], at));
        println!(
            "{:<12} {load:<4} {hits:.4}   {:.3}  {again:>6.1} {:.3}  {p50:>7.0}  {p99:>7.0} {:>7.0} {unfinished:>10} {:.4}  {:.3} {:.3}",
            policy.name(),
            hits / hit_rate,
            again / recomputed,
            percentile(&mut stats.ttft[1], 0.99),
            ratio(stats.detours, stats.choices),
            ratio(stats.matching_choices[1], stats.choices),
            ratio(stats.matching_choices[0], stats.choices),
        );
    }
}
