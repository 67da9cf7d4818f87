//! What engines do.

use super::Day;
use super::ENGINE_MS;
use crate::engine_model::EngineJob;
use crate::event_queue::PlayEvent;

impl Day {
    pub(super) fn reach(&mut self, engine: usize, send: usize) {
        let state = &self.sends[send];
        let call = &self.calls[state.call];
        if call.send != Some(send) || call.end.is_some() || self.engines[engine].is_dark {
            return;
        }
        let job = EngineJob {
            send,
            parts: state.parts.clone(),
            total: call.plan.tokens(),
            fetched: state.fetched,
            saves: state.saves,
            urgency: state.urgency,
            output: call.plan.output,
            weights: state.weights,
        };
        if !self.engines[engine].take(job) {
            self.queue.add(self.now + ENGINE_MS, PlayEvent::TurnedAway { send });
            return;
        }
        self.step_soon(engine);
    }

    fn step_soon(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.is_stepping || engine.is_dark || !engine.has_work() {
            return;
        }
        engine.is_stepping = true;
        self.queue.add(self.now, PlayEvent::Step { engine: number, epoch: engine.epoch });
    }

    pub(super) fn step(&mut self, number: usize, epoch: u64) {
        let spec = self.spec;
        let engine = &mut self.engines[number];
        if engine.epoch != epoch {
            return;
        }
        engine.is_stepping = false;
        let outcome = engine.step(&spec);
        let ready = self.now + outcome.took_ms;
        for (send, is_first, is_last) in outcome.outputs {
            let delay = if is_first { spec.first_ms } else { 0.0 };
            self.queue.add(ready + ENGINE_MS + delay, PlayEvent::Output { send, is_last });
        }
        for parts in outcome.saved {
            self.store.insert(&parts, spec.store_tokens);
        }
        let engine = &mut self.engines[number];
        if engine.has_work() {
            engine.is_stepping = true;
            self.queue.add(ready, PlayEvent::Step { engine: number, epoch });
        }
        self.load_if_idle(number);
    }

    pub(super) fn darken(&mut self, is_dark: bool) {
        let count = self.spec.engines / 4;
        for engine in self.engines.iter_mut().take(count) {
            match is_dark {
                true => engine.crash(),
                false => {
                    engine.is_dark = false;
                    engine.weights = self.named;
                }
            }
        }
    }
}
