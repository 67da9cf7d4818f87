//! One run of events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use fulmargate_names::Incarnation;
use fulmargate_placement::ChoiceReason;
use fulmargate_placement::OpenRequest;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::ReplyFacts;
use fulmargate_placement::SpreadPlan;

use crate::CACHED_TOKENS;
use crate::PREFILL;
use crate::SERVERS;
use crate::conf::PlanMode;
use crate::conf::ReplayConf;
use crate::engine::DECODE_MS;
use crate::engine::Engine;
use crate::engine::Served;
use crate::fleet::ROUTERS;
use crate::fleet::Router;
use crate::fleet::exchange;
use crate::fleet::number;
use crate::workload::Prompt;
use crate::workload::Random;
use crate::workload::Workload;

/// One way over the network.
const HOP_MS: f64 = 0.5;
/// Time until all routers have a plan.
const SPREAD_MS: f64 = 250.0;
/// Parts of the run in which the load rises, and after which it is counted.
const RAMP: f64 = 0.2;
const WARMUP: f64 = 0.3;
/// Part of the run after which servers restart.
const RESTART: f64 = 0.6;
/// Each so many-th choice is compared with that of a router that knows nothing.
const COMPARED: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Queued(usize),
    PrefillDone(usize, u64),
    DecodeDone(usize, u64),
    FirstToken(usize),
    Ended(usize),
    Tick,
    Plan,
    Restart,
    Amnesia,
}

struct Request {
    prompt: Prompt,
    arrived: f64,
    router: usize,
    server: usize,
    open: OpenRequest,
    served: Served,
    reply: Option<ReplyFacts>,
}

/// What a run measured.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    pub(crate) hit_rate: f64,
    pub(crate) recomputed: f64,
    pub(crate) urgent_p50_ms: f64,
    pub(crate) urgent_p99_ms: f64,
    pub(crate) batch_p99_ms: f64,
    pub(crate) unfinished: usize,
    /// Part of the choices that a router that knows nothing would make alike, without and with
    /// its neighbours' plan.
    pub(crate) fresh_agrees: f64,
    pub(crate) planned_agrees: f64,
    pub(crate) detours: f64,
}

#[derive(Debug, Default)]
struct Tally {
    cached: u64,
    all: u64,
    recomputed: u64,
    prompts: u64,
    ttft: [Vec<f64>; 2],
    compared: [u64; 3],
    detours: u64,
}

pub(crate) struct ReplayRun {
    conf: ReplayConf,
    policy: PolicyKind,
    rate: f64,
    end: f64,
    random: Random,
    workload: Workload,
    routers: Vec<Router>,
    /// Routers that never learn: one without and one with the plan.
    fresh: [Router; 2],
    engines: Vec<Engine>,
    requests: HashMap<usize, Request>,
    streaming: HashMap<usize, OpenRequest>,
    arrivals: usize,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    scheduled: Vec<Event>,
    plan: Option<SpreadPlan>,
    tally: Tally,
}

impl ReplayRun {
    pub(crate) fn new(conf: &ReplayConf, policy: PolicyKind, rate: f64) -> ReplayRun {
        let lives = [1; SERVERS];
        let router = |number| Router::new(conf, number, &lives);
        let mut run = ReplayRun {
            conf: conf.clone(),
            policy,
            rate,
            end: conf.seconds * 1_000.0,
            random: Random::new(conf.seed + 1_000),
            workload: Workload::new(conf),
            routers: (0..ROUTERS).map(router).collect(),
            fresh: [router(0), router(0)],
            engines: (0..SERVERS).map(|_| Engine::new(CACHED_TOKENS)).collect(),
            requests: HashMap::new(),
            streaming: HashMap::new(),
            arrivals: 0,
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            plan: None,
            tally: Tally::default(),
        };
        run.schedule(0.0, Event::Arrival);
        run.schedule(conf.tick_ms, Event::Tick);
        run.schedule(run.end * RESTART, Event::Restart);
        run.schedule(run.end * conf.amnesia, Event::Amnesia);
        run
    }

    pub(crate) fn figures(mut self) -> Figures {
        while let Some(Reverse((time, number))) = self.events.pop() {
            let now = f64::from_bits(time);
            if self.end < now {
                break;
            }
            self.handle(self.scheduled[number], now);
        }
        let tally = &mut self.tally;
        let counted = tally.prompts.max(1) as f64;
        let compared = tally.compared[2].max(1) as f64;
        Figures {
            hit_rate: tally.cached as f64 / tally.all.max(1) as f64,
            recomputed: tally.recomputed as f64 / counted,
            urgent_p50_ms: percentile(&mut tally.ttft[0], 0.5),
            urgent_p99_ms: percentile(&mut tally.ttft[0], 0.99),
            batch_p99_ms: percentile(&mut tally.ttft[1], 0.99),
            unfinished: self.requests.len(),
            fresh_agrees: tally.compared[0] as f64 / compared,
            planned_agrees: tally.compared[1] as f64 / compared,
            detours: tally.detours as f64 / counted,
        }
    }

    /// Times are not negative, so their bits have their order.
    fn schedule(&mut self, time: f64, event: Event) {
        self.events.push(Reverse((time.to_bits(), self.scheduled.len())));
        self.scheduled.push(event);
    }

    fn handle(&mut self, event: Event, now: f64) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Queued(request) => self.queue(request, now),
            Event::PrefillDone(server, life) => self.prefill_done(server, life, now),
            Event::DecodeDone(server, life) if self.engines[server].life == life => {
                self.engines[server].decoding -= 1;
                self.begin_prefill(server, now);
            }
            Event::DecodeDone(..) => {}
            Event::FirstToken(request) => self.first_token(request, now),
            Event::Ended(request) => drop(self.streaming.remove(&request)),
            Event::Tick => self.tick(now),
            Event::Plan => self.adopt(),
            Event::Restart => self.restart(now),
            Event::Amnesia => self.forget(),
        }
    }

    fn arrive(&mut self, now: f64) {
        let ramp = (0.3 + 0.7 * now / (self.end * RAMP)).min(1.0);
        let pause = -self.random.unit().ln() / (self.rate * ramp);
        self.schedule(now + pause, Event::Arrival);
        let prompt = self.workload.prompt(now);
        let router = (self.random.word() % ROUTERS as u64) as usize;
        self.send(prompt, router, now, now);
    }

    fn send(&mut self, prompt: Prompt, router: usize, arrived: f64, now: f64) {
        let choice = self.routers[router].choose(self.policy, &prompt, now);
        let server = number(&choice);
        if self.end * WARMUP < now {
            self.tally.detours += u64::from(choice.reason == ChoiceReason::Detour);
            if self.arrivals.is_multiple_of(COMPARED) {
                self.compare(&prompt, server, now);
            }
        }
        let weights = Router::weights(prompt.band);
        let placer = &self.routers[router].placer;
        let open = placer.begin(&choice, &prompt.chain, weights, now as u64);
        let served = Served::default();
        let request = Request { prompt, arrived, router, server, open, served, reply: None };
        self.requests.insert(self.arrivals, request);
        self.schedule(now + HOP_MS, Event::Queued(self.arrivals));
        self.arrivals += 1;
    }

    fn compare(&mut self, prompt: &Prompt, server: usize, now: f64) {
        for (count, router) in self.tally.compared.iter_mut().zip(&self.fresh) {
            let choice = router.choose(self.policy, prompt, now);
            *count += u64::from(number(&choice) == server);
        }
        self.tally.compared[2] += 1;
    }

    fn queue(&mut self, request: usize, now: f64) {
        let Request { server, prompt, .. } = &self.requests[&request];
        let (server, band) = (*server, prompt.band);
        self.engines[server].waiting[band].push_back(request);
        self.begin_prefill(server, now);
    }

    fn begin_prefill(&mut self, server: usize, now: f64) {
        let engine = &mut self.engines[server];
        let Some(number) = engine.take_next() else { return };
        let Some(request) = self.requests.get_mut(&number) else { return };
        let chain = &request.prompt.chain;
        request.served = engine.cache.serve(chain);
        let uncached = f64::from(chain.tokens() - request.served.cached);
        let life = engine.life;
        if self.end * WARMUP < request.arrived {
            self.tally.cached += u64::from(request.served.cached);
            self.tally.recomputed += u64::from(request.served.recomputed);
            self.tally.all += u64::from(chain.tokens());
            self.tally.prompts += 1;
        }
        self.schedule(now + uncached / PREFILL, Event::PrefillDone(server, life));
    }

    fn prefill_done(&mut self, server: usize, life: u64, now: f64) {
        let engine = &mut self.engines[server];
        if engine.life != life {
            return;
        }
        let Some(number) = engine.prefill.take() else { return };
        engine.decoding += 1;
        let waiting = engine.waiting.iter().flatten();
        let queued = waiting.filter_map(|request| self.requests.get(request));
        let queue_tokens = queued.map(|request| request.prompt.chain.tokens() / 10).sum();
        let running = engine.running() as u32;
        if let Some(request) = self.requests.get_mut(&number) {
            request.reply = Some(ReplyFacts {
                incarnation: Incarnation(life),
                prompt_tokens: request.prompt.chain.tokens(),
                cached_tokens: request.served.cached,
                queue_tokens,
                running,
                ttft_ms: now + HOP_MS - request.arrived,
            });
        }
        self.schedule(now + HOP_MS, Event::FirstToken(number));
        self.schedule(now + DECODE_MS, Event::DecodeDone(server, life));
        self.begin_prefill(server, now);
    }

    fn first_token(&mut self, number: usize, now: f64) {
        let Some(mut request) = self.requests.remove(&number) else { return };
        let Some(reply) = request.reply else { return };
        let placer = &self.routers[request.router].placer;
        placer.first_token(&mut request.open, &reply, now as u64);
        if self.end * WARMUP < request.arrived {
            self.tally.ttft[request.prompt.band].push(now - request.arrived);
        }
        self.streaming.insert(number, request.open);
        self.schedule(now + DECODE_MS, Event::Ended(number));
    }

    fn tick(&mut self, now: f64) {
        self.schedule(now + self.conf.tick_ms, Event::Tick);
        if self.policy != PolicyKind::Cost {
            return;
        }
        self.plan = exchange(&mut self.routers, self.conf.plan, now).or(self.plan.take());
        self.schedule(now + SPREAD_MS, Event::Plan);
    }

    fn adopt(&mut self) {
        if let (Some(plan), PlanMode::Shared) = (&self.plan, self.conf.plan) {
            for router in self.routers.iter_mut().chain(&mut self.fresh[1..]) {
                router.adopt(plan);
            }
        }
    }

    /// Requests that were on a server that crashed are sent again.
    fn restart(&mut self, now: f64) {
        for server in 0..self.conf.restarts {
            self.engines[server].restart();
        }
        let lives: Vec<u64> = self.engines.iter().map(|engine| engine.life).collect();
        for router in &mut self.routers {
            router.renew(&lives);
        }
        let restarts = self.conf.restarts;
        let mut lost: Vec<usize> = self.requests.keys().copied().collect();
        lost.retain(|number| self.requests[number].server < restarts);
        lost.sort_unstable();
        for number in lost {
            if let Some(request) = self.requests.remove(&number) {
                self.send(request.prompt, request.router, request.arrived, now);
            }
        }
    }

    /// All routers restart at once and know nothing.
    fn forget(&mut self) {
        let lives: Vec<u64> = self.engines.iter().map(|engine| engine.life).collect();
        for (number, router) in self.routers.iter_mut().enumerate() {
            *router = Router::new(&self.conf, number, &lives);
        }
        self.plan = None;
    }
}

fn percentile(times: &mut [f64], part: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    times.get((last as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}
