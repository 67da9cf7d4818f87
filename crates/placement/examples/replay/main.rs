//! Replays nested prefixes over caches with queues, through six routers with lagging information,
//! beside one cache of the whole fleet's size that evicts what was used longest ago.
//!
//! `cargo run --release -p fulmargate-placement --example replay -- [KEY=NUMBER ...]`: `all` 1 for
//! all policies, `load` in parts of the capacity, `seed`, `seconds`, `plan` (2 by one router for
//! all, 1 by each, 0 none), `shift` of popularity in ms, `restarts` of servers, `hot`, `detour`,
//! `width` and `price` as in `PlacementConf`.

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
use fulmargate_placement::ReplyFacts;
use fulmargate_placement::SpreadPlan;

use cache::Cache;
use prompts::prompt;
use prompts::unit;
use prompts::word;
use router::Router;

const SERVERS: usize = 12;
const ROUTERS: usize = 6;
const CACHED_TOKENS: u32 = 60_000;
const PREFILL: f64 = 40.0;
const BATCH: usize = 16;
const DECODE_MS: f64 = 100.0;
const HOP_MS: f64 = 0.5;
const TICK_MS: f64 = 500.0;
/// Part of the run that is not counted.
const COUNTED: f64 = 0.3;
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
    cache: Cache,
    waiting: [VecDeque<usize>; 2],
    prefill: Option<(usize, u32)>,
    decoding: usize,
    life: u64,
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
    arrived: f64,
    router: usize,
    server: usize,
    open: Option<OpenRequest>,
    reply: Option<ReplyFacts>,
}

#[derive(Default)]
struct Tally {
    requests: u64,
    tokens: u64,
    cached: u64,
    recomputed: u64,
    choices: u64,
    detours: u64,
    /// Choices that a router without memory makes alike, with the plan and without it.
    fresh: [u64; 2],
    ttft: [Vec<f64>; 2],
}

struct Replay {
    policy: PolicyKind,
    rate: f64,
    end: f64,
    seed: u64,
    arrivals: usize,
    routers: Vec<Router>,
    fresh: [Router; 2],
    engines: Vec<Engine>,
    plan: Option<SpreadPlan>,
    requests: HashMap<usize, Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    tally: Tally,
}

impl Replay {
    fn new(policy: PolicyKind, rate: f64) -> Replay {
        let end = arg("seconds", 60.0) * 1_000.0;
        let mut replay = Replay {
            policy,
            rate,
            end,
            seed: arg("seed", 1.0) as u64,
            arrivals: 0,
            routers: (0..ROUTERS).map(|_| Router::new()).collect(),
            fresh: [Router::new(), Router::new()],
            engines: (0..SERVERS).map(|_| Engine::default()).collect(),
            plan: None,
            requests: HashMap::new(),
            events: BinaryHeap::new(),
            tally: Tally::default(),
        };
        for (time, event) in
            [(0.0, Event::Arrival), (TICK_MS, Event::Tick), (0.6 * end, Event::Restart)]
        {
            replay.at(time, event);
        }
        replay
    }

    fn run(mut self) -> (Tally, usize) {
        while let Some(Reverse((time, event))) = self.events.pop() {
            let now = f64::from_bits(time);
            if self.end < now {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now),
                Event::Queued(number) => self.queue(number, now),
                Event::Prefilled(server, life) => self.prefilled(server, life, now),
                Event::Decoded(server, life) if self.engines[server].life == life => {
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
        (self.tally, unfinished)
    }

    /// Times are not negative, so that their bits have their order.
    fn at(&mut self, time: f64, event: Event) {
        self.events.push(Reverse((time.to_bits(), event)));
    }

    fn arrive(&mut self, now: f64) {
        let (number, seed) = (self.arrivals, self.seed);
        self.arrivals += 1;
        let ramp = (0.3 + 3.5 * now / self.end).min(1.0);
        let pause = -unit(word(seed + 1_000, number as u64)).ln() / (self.rate * ramp);
        self.at(now + pause, Event::Arrival);
        let (chain, band) = prompt(seed, number as u64, now);
        let router = word(seed + 2_000, number as u64) as usize % ROUTERS;
        let request =
            Request { chain, band, arrived: now, router, server: 0, open: None, reply: None };
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
        if COUNTED * self.end < now {
            self.tally.choices += 1;
            self.tally.detours += u64::from(choice.reason == ChoiceReason::Detour);
            for (count, fresh) in self.tally.fresh.iter_mut().zip(&self.fresh) {
                let same = fresh.choose(self.policy, chain, band, now);
                *count += u64::from(same.server.name() == choice.server.name());
            }
        }
        self.at(now + HOP_MS, Event::Queued(number));
    }

    fn queue(&mut self, number: usize, now: f64) {
        let Some(request) = self.requests.get(&number) else { return };
        let server = request.server;
        self.engines[server].waiting[request.band].push_back(number);
        self.begin_prefill(server, now);
    }

    /// The prefill is serial, the most urgent first, if the batch has a place.
    fn begin_prefill(&mut self, server: usize, now: f64) {
        let engine = &mut self.engines[server];
        if engine.prefill.is_some() || BATCH <= engine.decoding {
            return;
        }
        let Some(number) = engine.waiting.iter_mut().find_map(VecDeque::pop_front) else { return };
        let Some(request) = self.requests.get(&number) else { return };
        let (cached, recomputed) = engine.cache.serve(&request.chain, CACHED_TOKENS);
        let tokens = request.chain.tokens();
        engine.prefill = Some((number, cached));
        let life = engine.life;
        if COUNTED * self.end < request.arrived {
            self.tally.requests += 1;
            self.tally.tokens += u64::from(tokens);
            self.tally.cached += u64::from(cached);
            self.tally.recomputed += u64::from(recomputed);
        }
        let done = now + f64::from(tokens - cached) / PREFILL;
        self.at(done, Event::Prefilled(server, life));
    }

    fn prefilled(&mut self, server: usize, life: u64, now: f64) {
        let engine = &mut self.engines[server];
        let Some((number, cached_tokens)) = engine.prefill.filter(|_| engine.life == life) else {
            return;
        };
        engine.prefill = None;
        engine.decoding += 1;
        let waiting: usize = engine.waiting.iter().map(VecDeque::len).sum();
        if let Some(request) = self.requests.get_mut(&number) {
            request.reply = Some(ReplyFacts {
                incarnation: Incarnation(life),
                prompt_tokens: request.chain.tokens(),
                cached_tokens,
                queue_tokens: 300 * waiting as u32,
                running: (waiting + engine.decoding) as u32,
                ttft_ms: now + HOP_MS - request.arrived,
            });
        }
        self.at(now + HOP_MS, Event::Answered(number));
        self.at(now + DECODE_MS, Event::Decoded(server, life));
        self.begin_prefill(server, now);
    }

    fn answered(&mut self, number: usize, now: f64) {
        let counted_from = COUNTED * self.end;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let (Some(open), Some(reply)) = (&mut request.open, &request.reply) else { return };
        self.routers[request.router].placer.first_token(open, reply, now as u64);
        if counted_from < request.arrived {
            self.tally.ttft[request.band].push(now - request.arrived);
        }
        self.at(now + DECODE_MS, Event::Ended(number));
    }

    /// Plans made at one tick are in force at the next.
    fn tick(&mut self, now: f64) {
        self.at(now + TICK_MS, Event::Tick);
        let (mode, now_ms) = (arg("plan", 2.0) as usize, now as u64);
        if self.policy != PolicyKind::Cost || mode == 0 {
            return;
        }
        if let Some(plan) = &self.plan {
            for router in self.routers.iter_mut().chain(&mut self.fresh[..1]) {
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

    /// Servers come back empty; what was on them is sent again.
    fn restart(&mut self, now: f64) {
        let restarts = arg("restarts", 0.0) as usize;
        for engine in &mut self.engines[..restarts] {
            *engine = Engine { life: engine.life + 1, ..Engine::default() };
        }
        let lives: Vec<u64> = self.engines.iter().map(|engine| engine.life).collect();
        for router in self.routers.iter_mut().chain(&mut self.fresh[..1]) {
            router.renew(&lives, self.plan.as_ref());
        }
        let mut lost: Vec<usize> = self.requests.keys().copied().collect();
        lost.retain(|number| self.requests[number].server < restarts);
        lost.sort_unstable();
        for number in lost {
            self.send(number, now);
        }
    }
}

fn percentile(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    times.get((last as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn main() {
    let mut pool = Cache::default();
    let (mut tokens, mut cached, mut recomputed) = (0.0, 0.0, 0.0);
    for number in 0..60_000 {
        let (chain, _) = prompt(arg("seed", 1.0) as u64, number, number as f64);
        let served = pool.serve(&chain, CACHED_TOKENS * SERVERS as u32);
        if 15_000 <= number {
            tokens += f64::from(chain.tokens()) / 45_000.0;
            cached += f64::from(served.0) / 45_000.0;
            recomputed += f64::from(served.1) / 45_000.0;
        }
    }
    // The capacity of a fleet that reaches 0.95 of the bound's hit rate.
    let capacity = SERVERS as f64 * PREFILL / (tokens - 0.95 * cached);
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
        let (mut tally, unfinished) = Replay::new(policy, capacity * load).run();
        let part = |count: u64, of: u64| count as f64 / of.max(1) as f64;
        let (hits, again) =
            (part(tally.cached, tally.tokens), part(tally.recomputed, tally.requests));
        let [p50, p99] = [0.5, 0.99].map(|at| percentile(&mut tally.ttft[0], at));
        println!(
            "{:<12} {load:<4} {hits:.4}   {:.3}  {again:>6.1} {:.3}  {p50:>7.0}  {p99:>7.0} {:>7.0} {unfinished:>10} {:.4}  {:.3} {:.3}",
            policy.name(),
            hits / hit_rate,
            again / recomputed,
            percentile(&mut tally.ttft[1], 0.99),
            part(tally.detours, tally.choices),
            part(tally.fresh[1], tally.choices),
            part(tally.fresh[0], tally.choices),
        );
    }
}
