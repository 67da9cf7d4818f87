//! What callers and routers do.

use fulmargate_dispatch::AssignedEngine;
use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::Placement;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::QueueOutcome;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::scope_of;
use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;

use super::CACHE_WORD_MS;
use super::CALLER_MS;
use super::CallEnd;
use super::Day;
use super::ENGINE_MS;
use super::SendState;
use crate::event_queue::PlayEvent;
use crate::router_model::SharedKnowledge;

/// Tries of a caller.
const CALLER_TRIES: u32 = 2;
/// Callers heed a wait of up to a third of the time they have left.
const HEEDED_SHARE: f64 = 0.33;
/// A connection that is not had in this time is given up, in milliseconds.
const CONNECT_MS: f64 = 150.0;
/// A line is served at this pace at least, in milliseconds.
const SERVE_MS: f64 = 15.0;
/// And so soon after a change.
const SERVE_SOON_MS: f64 = 2.0;

impl Day {
    pub(super) fn arrive(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.attempt += 1;
        state.arrived = self.now;
        state.runs = 0;
        state.excluded.clear();
        let leave = PlayEvent::Leave { call, attempt: state.attempt };
        self.queue.add(self.now + state.patience_ms(), leave);
        self.place(call);
    }

    fn wish(&self, call: usize) -> PlacementRequest {
        let state = &self.calls[call];
        let left = state.time_left(self.now);
        let id = format!("{call}-{}", state.attempt);
        let mut facts = self.shared.facts(&state.plan, &id, self.now, left);
        let passed = self.shared.time(state.arrived);
        facts.arrived = passed;
        PlacementRequest {
            call: facts,
            service: self.shared.service.clone(),
            model: self.shared.model.clone(),
            only_weights: None,
            only_origin: None,
            only_server: None,
            excluded: state
                .excluded
                .iter()
                .map(|engine| self.shared.entries[*engine].key())
                .collect(),
        }
    }

    /// Finds an engine, or has the call wait.
    pub(super) fn place(&mut self, call: usize) {
        if self.calls[call].end.is_some() {
            return;
        }
        let wish = self.wish(call);
        let number = self.calls[call].plan.router;
        let router = &mut self.routers[number];
        if !router.line.may_bypass(&wish.call) {
            let place = router.line.push(wish);
            router.places.insert(place, call);
            self.serve_soon(number);
            return;
        }
        let view = self.shared.view(&router.weights, self.now);
        match router.registry.place(&wish, view) {
            Placement::Assigned(taken) => self.send(call, *taken),
            Placement::NoEngine => self.refuse(call, 0.3),
            Placement::Queued(_) | Placement::Limited(_) => {
                let place = router.line.push(wish);
                router.places.insert(place, call);
                self.serve_soon(number);
            }
        }
    }

    fn send(&mut self, call: usize, taken: AssignedEngine) {
        let AssignedEngine { choice, ticket } = taken;
        let engine = self.shared.number(&choice.server.key());
        let scope = scope_of(&choice.salt);
        let parts = self.calls[call].plan.parts.iter();
        let parts: Vec<(u64, u32)> = parts.map(|(hash, tokens)| (scope ^ hash, *tokens)).collect();
        let mut fetched = 0;
        let mut delay = ENGINE_MS;
        if let Some(fetch) = choice.fetch {
            let source = self.shared.entries.iter().position(|entry| entry.address == fetch.from);
            fetched = match source {
                Some(source) if self.engines[source].is_dark => 0,
                Some(source) => self.engines[source].cache.match_tokens(&parts),
                None => self.store.match_tokens(&parts),
            };
            delay += 3.0 + f64::from(fetched) * 163_840.0 * 8.0 / (self.spec.link_mbps * 1_000.0);
        }
        let send = self.sends.len();
        self.sends.push(SendState {
            call,
            router: self.calls[call].plan.router,
            engine,
            ticket: Some(ticket),
            parts,
            fetched,
            saves: choice.save_to.is_some(),
            urgency: choice.urgency.level(),
            weights: choice.weights.0,
            has_begun: false,
        });
        self.calls[call].send = Some(send);
        if self.engines[engine].is_dark {
            self.queue.add(self.now + CONNECT_MS, PlayEvent::NoConnection { send });
            return;
        }
        self.queue.add(self.now + delay, PlayEvent::Reach { engine, send });
        if self.calls[call].plan.kind.spec().attempts < 2 {
            return;
        }
        let aim = self.calls[call].plan.kind.spec().aim.as_secs_f64() * 1_000.0;
        self.queue.add(self.now + aim, PlayEvent::Probe { send });
    }

    fn refuse(&mut self, call: usize, wait_s: f64) {
        let state = &mut self.calls[call];
        let left = state.time_left(self.now).as_secs_f64();
        if CALLER_TRIES <= state.attempt || left < 0.5 {
            state.end = Some(CallEnd::Refused);
            return;
        }
        let wait = wait_s.min(left * HEEDED_SHARE);
        self.queue.add(self.now + wait * 1_000.0 + 2.0 * CALLER_MS, PlayEvent::Arrive(call));
        state.send = None;
        // The patience of this attempt is over with it.
        state.arrived = f64::INFINITY;
    }

    pub(super) fn leave(&mut self, call: usize, attempt: u32) {
        let state = &self.calls[call];
        let is_over =
            state.attempt != attempt || state.end.is_some() || state.arrived.is_infinite();
        if is_over || state.first_event.is_some_and(|first| state.arrived <= first) {
            return;
        }
        self.calls[call].end = Some(CallEnd::Lost);
        let router = &mut self.routers[self.calls[call].plan.router];
        let place =
            router.places.iter().find(|(_, waiting)| **waiting == call).map(|(place, _)| *place);
        if let Some(place) = place {
            router.line.remove(place);
            router.places.swap_remove(&place);
        }
        if let Some(send) = self.calls[call].send.take() {
            self.engines[self.sends[send].engine].cancel(send);
            self.close(send);
        }
    }

    /// The request has left the engine, as far as the router is concerned.
    pub(super) fn close(&mut self, send: usize) {
        let state = &mut self.sends[send];
        let router = state.router;
        if let Some(ticket) = state.ticket.take() {
            self.routers[router].registry.record_end(&ticket);
        }
        self.serve_soon(router);
    }

    pub(super) fn no_connection(&mut self, send: usize) {
        let (call, router, engine) = self.origin(send);
        let now = self.shared.time(self.now);
        self.routers[router].registry.record_unreachable(self.shared.entries[engine].key(), now);
        self.try_again(send, call, engine);
    }

    pub(super) fn turned_away(&mut self, send: usize) {
        let (call, router, engine) = self.origin(send);
        self.sheet.turned_away += 1;
        let (key, model) = (self.shared.entries[engine].key(), &self.shared.model);
        let wanted = Some(WeightsVersion(self.named));
        let now = self.shared.time(self.now);
        self.routers[router].registry.record_prompt_rejection(key, model, wanted, now);
        self.try_again(send, call, engine);
    }

    fn origin(&self, send: usize) -> (usize, usize, usize) {
        let state = &self.sends[send];
        (state.call, state.router, state.engine)
    }

    fn try_again(&mut self, send: usize, call: usize, engine: usize) {
        self.close(send);
        if self.calls[call].send != Some(send) {
            return;
        }
        self.calls[call].send = None;
        self.calls[call].excluded.push(engine);
        self.place(call);
    }

    /// A call that may run twice goes elsewhere when its engine is gone.
    pub(super) fn probe(&mut self, send: usize) {
        let (call, router, engine) = self.origin(send);
        let is_under_way = self.calls[call].send == Some(send) && self.calls[call].end.is_none();
        if !is_under_way || self.sends[send].has_begun {
            return;
        }
        if !self.engines[engine].is_dark {
            let aim = self.calls[call].plan.kind.spec().aim.as_secs_f64() * 1_000.0;
            self.queue.add(self.now + aim, PlayEvent::Probe { send });
            return;
        }
        let now = self.shared.time(self.now);
        self.routers[router].registry.record_unreachable(self.shared.entries[engine].key(), now);
        self.calls[call].runs += 1;
        self.try_again(send, call, engine);
    }

    pub(super) fn output(&mut self, send: usize, is_last: bool) {
        let (call, router, _) = self.origin(send);
        if self.calls[call].send != Some(send) || self.calls[call].end.is_some() {
            return;
        }
        let now = self.shared.time(self.now);
        let heard = self.now + CALLER_MS;
        let state = &mut self.calls[call];
        if self.sends[send].has_begun {
            state.longest_pause = state.longest_pause.max(heard - state.last_event);
        } else {
            self.sends[send].has_begun = true;
            state.first_event.get_or_insert(heard);
            if let Some(ticket) = &mut self.sends[send].ticket {
                self.routers[router].registry.record_response(ticket, None, now);
            }
            self.serve_soon(router);
        }
        self.calls[call].last_event = heard;
        if !is_last {
            return;
        }
        self.calls[call].end = Some(CallEnd::Whole);
        let share = self.calls[call].longest_pause / 250.0;
        if let Some(ticket) = &self.sends[send].ticket {
            self.routers[router].registry.record_success(ticket, now);
            self.routers[router].registry.record_stall(ticket, share, now);
        }
        self.close(send);
    }

    pub(super) fn serve_soon(&mut self, router: usize) {
        let state = &mut self.routers[router];
        if state.line.is_empty() || state.is_served_soon {
            return;
        }
        state.is_served_soon = true;
        self.queue.add(self.now + SERVE_SOON_MS, PlayEvent::Serve(router));
    }

    pub(super) fn serve(&mut self, number: usize) {
        let router = &mut self.routers[number];
        router.is_served_soon = false;
        let view = self.shared.view(&router.weights, self.now);
        let ends = router.line.run(&mut router.registry, view);
        let mut ended = Vec::new();
        for (place, end) in ends {
            if let Some(call) = router.places.swap_remove(&place) {
                ended.push((call, end));
            }
        }
        let is_empty = router.line.is_empty();
        for (call, end) in ended {
            match end {
                QueueOutcome::Assigned(taken) => self.send(call, *taken),
                QueueOutcome::NoEngine => self.refuse(call, 0.3),
                QueueOutcome::Refused(wait) => self.refuse(call, wait.as_secs_f64()),
            }
        }
        if !is_empty && !self.routers[number].is_served_soon {
            self.routers[number].is_served_soon = true;
            self.queue.add(self.now + SERVE_MS, PlayEvent::Serve(number));
        }
    }

    /// A router tells the others what it has under way.
    pub(super) fn speak(&mut self, router: usize) {
        let now = self.shared.time(self.now);
        let mut news = self.routers[router].registry.take_gossip(usize::MAX, now);
        news.host = Some(HostName::new(&format!("host-{router}")));
        for (other, state) in self.routers.iter_mut().enumerate() {
            if other != router {
                state.registry.apply_gossip(&news, now);
            }
        }
        let waiting = self.routers.iter().map(|router| router.line.len()).sum();
        self.sheet.lines.push((self.now, waiting));
        self.queue.add(self.now + self.word_pause(), PlayEvent::Word(router));
    }

    /// Engines and the store tell of their caches, through the routers that read them.
    pub(super) fn tell_caches(&mut self) {
        let now = self.shared.time(self.now);
        let keys = self.shared.entries.iter().map(|entry| entry.key());
        let engines = keys.zip(&mut self.engines).map(|(key, engine)| (key, &mut engine.cache));
        let caches = engines.chain([(ServerKey::STORE, &mut self.store)]);
        for (server, cache) in caches {
            let parts = cache.take_changes();
            if parts.is_empty() {
                continue;
            }
            let notice = CacheNotice { server, is_reset: false, parts };
            for router in &mut self.routers {
                router.registry.apply_cache_update(notice.clone(), now);
            }
        }
        self.queue.add(self.now + CACHE_WORD_MS, PlayEvent::CacheWords);
    }
}

impl SharedKnowledge {
    fn number(&self, key: &ServerKey) -> usize {
        let found = self.entries.iter().position(|entry| entry.key() == *key);
        found.unwrap_or_else(|| unreachable!("only engines of the fleet are chosen"))
    }
}
