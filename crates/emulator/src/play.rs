//! A day on virtual time.

mod engines;
mod routers;
mod weights;

use std::time::Duration;

use fulmargate_dispatch::SendTicket;
use fulmargate_dispatch::gossip_interval;
use indexmap::IndexSet;

use crate::CallKind;
use crate::FigureSheet;
use crate::FleetSpec;
use crate::LoadPattern;
use crate::caller_model::CallPlan;
use crate::caller_model::draw_calls;
use crate::engine_model::EngineModel;
use crate::event_queue::EventQueue;
use crate::event_queue::PlayEvent;
use crate::part_cache::CachedPart;
use crate::part_cache::PartCache;
use crate::router_model::RouterModel;
use crate::router_model::SharedKnowledge;

/// From caller to router, in milliseconds.
const CALLER_MS: f64 = 3.0;
/// From router to engine and back, connection included, in milliseconds.
const ENGINE_MS: f64 = 1.5;
/// Pause between two words of an engine on its cache.
const CACHE_WORD_MS: f64 = 330.0;
/// Callers leave a stream that has not begun after two seconds or four aims.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// A day is over so long after its last request.
const REST_MS: f64 = 12_000.0;

/// Plays a day and returns its figures. The same arguments give the same figures.
pub fn play(spec: FleetSpec, pattern: LoadPattern, seed: u64) -> FigureSheet {
    let mut day = Day::new(spec, pattern, seed);
    let end = spec.length_s * 1_000.0 + REST_MS;
    while let Some((at, event)) = day.queue.next() {
        if end < at {
            break;
        }
        day.now = at;
        day.handle(event);
    }
    day.finish()
}

struct Day {
    spec: FleetSpec,
    now: f64,
    queue: EventQueue,
    shared: SharedKnowledge,
    routers: Vec<RouterModel>,
    engines: Vec<EngineModel>,
    store: PartCache,
    calls: Vec<CallState>,
    sends: Vec<SendState>,
    sheet: FigureSheet,
    /// Newest weights that were named.
    named: u64,
    /// Engines under order by the holder of the lease.
    ordered: IndexSet<usize>,
}

struct CallState {
    plan: CallPlan,
    /// Tries of the caller.
    attempt: u32,
    arrived: f64,
    /// The send that is under way.
    send: Option<usize>,
    /// Engines tried in this attempt that may have run it.
    runs: u32,
    excluded: Vec<usize>,
    first_event: Option<f64>,
    last_event: f64,
    longest_pause: f64,
    end: Option<CallEnd>,
    worth: f64,
    late_worth: f64,
    is_longest: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Whole,
    Refused,
    Lost,
}

struct SendState {
    call: usize,
    router: usize,
    engine: usize,
    ticket: Option<SendTicket>,
    parts: Vec<CachedPart>,
    fetched: u32,
    saves: bool,
    urgency: u8,
    weights: u64,
    has_begun: bool,
}

impl Day {
    fn new(spec: FleetSpec, pattern: LoadPattern, seed: u64) -> Day {
        let shared = SharedKnowledge::new(&spec);
        let routers = (0..spec.routers).map(|_| RouterModel::new(&shared)).collect();
        let engines = (0..spec.engines).map(|_| EngineModel::new()).collect();
        let calls = call_states(draw_calls(&spec, pattern, seed));
        let mut queue = EventQueue::default();
        for (number, call) in calls.iter().enumerate() {
            queue.add(call.plan.at + CALLER_MS, PlayEvent::Arrive(number));
        }
        for router in 0..spec.routers {
            queue.add(router as f64 * 3.0, PlayEvent::Word(router));
        }
        queue.add(CACHE_WORD_MS, PlayEvent::CacheWords);
        for second in pattern.bumps() {
            queue.add(second * 1_000.0, PlayEvent::Bump);
        }
        if let Some((from, to)) = pattern.darkness() {
            queue.add(from * 1_000.0, PlayEvent::Dark(true));
            queue.add(to * 1_000.0, PlayEvent::Dark(false));
        }
        Day {
            spec,
            now: 0.0,
            queue,
            shared,
            routers,
            engines,
            store: PartCache::default(),
            calls,
            sends: Vec::new(),
            sheet: FigureSheet::default(),
            named: 1,
            ordered: IndexSet::new(),
        }
    }

    fn handle(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::Arrive(call) => self.arrive(call),
            PlayEvent::Leave { call, attempt } => self.leave(call, attempt),
            PlayEvent::Reach { engine, send } => self.reach(engine, send),
            PlayEvent::NoConnection { send } => self.no_connection(send),
            PlayEvent::Step { engine, epoch } => self.step(engine, epoch),
            PlayEvent::Output { send, is_last } => self.output(send, is_last),
            PlayEvent::TurnedAway { send } => self.turned_away(send),
            PlayEvent::Probe { send } => self.probe(send),
            PlayEvent::Word(router) => self.speak(router),
            PlayEvent::Serve(router) => self.serve(router),
            PlayEvent::Bump => self.bump(),
            PlayEvent::Wave => self.wave(),
            PlayEvent::Loaded { engine, epoch } => self.loaded(engine, epoch),
            PlayEvent::Dark(is_dark) => self.darken(is_dark),
            PlayEvent::CacheWords => self.tell_caches(),
        }
    }

    fn word_pause(&self) -> f64 {
        gossip_interval(self.spec.routers - 1).as_secs_f64() * 1_000.0
    }

    fn finish(mut self) -> FigureSheet {
        for call in &self.calls {
            let figures = self.sheet.kind_mut(call.plan.kind);
            figures.owe(call.worth, call.is_longest);
            match call.end {
                Some(CallEnd::Whole) if call.is_timely() => {
                    figures.in_time += 1;
                    figures.earn(call.worth, call.is_longest);
                }
                Some(CallEnd::Whole) => {
                    figures.late += 1;
                    figures.earn(call.late_worth, call.is_longest);
                }
                Some(CallEnd::Refused) => figures.refused += 1,
                Some(CallEnd::Lost) | None => figures.lost += 1,
            }
            if let Some(first) = call.first_event {
                self.sheet.waits.push((call.plan.at, first - call.plan.at));
            }
        }
        self.sheet.read_tokens = self.engines.iter().map(|engine| engine.read_tokens).sum();
        self.sheet
    }
}

impl CallState {
    fn is_timely(&self) -> bool {
        let aim = self.plan.kind.spec().aim.as_secs_f64() * 1_000.0;
        let first = self.first_event.map_or(f64::INFINITY, |first| first - self.plan.at);
        first <= aim && self.longest_pause <= 250.0
    }

    /// What the caller has left of its time.
    fn time_left(&self, now: f64) -> Duration {
        let passed = Duration::from_secs_f64((now - self.plan.at).max(0.0) / 1_000.0);
        self.plan.kind.spec().timeout.saturating_sub(passed)
    }

    /// How long the caller waits for the first event of an attempt.
    fn patience_ms(&self) -> f64 {
        let aims = self.plan.kind.spec().aim * 4;
        aims.max(LEAST_PATIENCE).as_secs_f64() * 1_000.0
    }
}

/// Requests with what they are worth: by their size against the mean of their kind, at most four times.
fn call_states(plans: Vec<CallPlan>) -> Vec<CallState> {
    let mean = |kind: CallKind| {
        let sizes =
            plans.iter().filter(|plan| plan.kind == kind).map(|plan| f64::from(plan.tokens()));
        let sizes: Vec<f64> = sizes.collect();
        sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
    };
    let longest = |kind: CallKind| {
        let sizes = plans.iter().filter(|plan| plan.kind == kind).map(CallPlan::tokens);
        let mut sizes: Vec<u32> = sizes.collect();
        sizes.sort_unstable();
        sizes.get(sizes.len() * 9 / 10).copied().unwrap_or(u32::MAX)
    };
    let means = CallKind::ALL.map(mean);
    let limits = CallKind::ALL.map(longest);
    let state = |plan: CallPlan| {
        let index = usize::from(plan.kind == CallKind::Lookup);
        let size = (0.3 + 0.7 * f64::from(plan.tokens()) / means[index]).min(4.0);
        let sheet = plan.kind.spec();
        CallState {
            attempt: 0,
            arrived: plan.at,
            send: None,
            runs: 0,
            excluded: Vec::new(),
            first_event: None,
            last_event: 0.0,
            longest_pause: 0.0,
            end: None,
            worth: sheet.worth * size,
            late_worth: sheet.late_worth * size,
            is_longest: limits[index] <= plan.tokens(),
            plan,
        }
    };
    plans.into_iter().map(state).collect()
}
