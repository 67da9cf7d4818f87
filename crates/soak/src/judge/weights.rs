//! Weights that prompts begin on.

use std::time::Duration;

use tokio::time::Instant;

use crate::LinkPlace;
use crate::Promise;
use crate::RouterSignal;
use crate::SoakFault;
use crate::judge::CALM_AFTER;
use crate::judge::SeenRun;
use crate::judge::SoakJudge;
use crate::soak_world::SoakServer;

impl SoakJudge<'_> {
    /// No prompt of a router in touch begins on weights older than any version that was named longer ago than the
    /// bound.
    pub(super) fn judge_weights(&mut self) {
        let evidence = self.evidence;
        if evidence.word.named.is_empty() {
            return;
        }
        let mut late = Vec::new();
        for run in self.runs.values().flatten().filter(|run| run.request.is_prompt()) {
            self.judged.weights.prompts += 1;
            let Some(outdated) = self.outdated_since(run.request.weights) else { continue };
            let age = run.request.at.saturating_duration_since(outdated);
            if age.is_zero() {
                continue;
            }
            self.judged.weights.on_older += 1;
            let Some(excess) = age.checked_sub(evidence.weights_bound) else { continue };
            let weights = &mut self.judged.weights;
            weights.late += 1;
            weights.max_excess = weights.max_excess.max(excess);
            if self.is_sent_in_touch(run) {
                self.judged.weights.late_in_touch += 1;
                late.push(self.late_prompt(run, age));
            }
        }
        for detail in late {
            self.note(Promise::OutdatedWeights, detail);
        }
        let excesses = evidence.servers.iter().map(|server| self.engine_excess(server));
        self.judged.weights.max_engine_excess = excesses.max().unwrap_or_default();
    }

    /// When the store first had a version newer than this one.
    fn outdated_since(&self, version: u64) -> Option<Instant> {
        let named = self.evidence.word.named.iter();
        named.filter(|named| version < named.version).map(|named| named.at).min()
    }

    /// Whether the router that a caller sent the prompt to was well, and the links to the engine.
    fn is_sent_in_touch(&self, run: &SeenRun) -> bool {
        let at = run.request.at;
        let Some(router) = self.router_of(run.request.id()) else { return false };
        let place = LinkPlace::Server(self.evidence.servers[run.server].place);
        let from = at.checked_sub(CALM_AFTER).unwrap_or(at);
        let is_held_up = self.evidence.spans.iter().any(|span| {
            matches!(span.fault, SoakFault::Link(harmed, _) if harmed == place)
                && span.overlaps(from, at)
        });
        !is_held_up && !self.is_out_of_touch(router, from, at)
    }

    /// Whether something kept the router from its work or from the store. A start is no excuse, as a process that has
    /// just started knows that it knows nothing; nor is a store that drops its history, as it is always free to.
    fn is_out_of_touch(&self, router: usize, from: Instant, until: Instant) -> bool {
        self.evidence.spans.iter().any(|span| {
            let is_excuse = match span.fault {
                SoakFault::Signal(_, RouterSignal::Kill | RouterSignal::Terminate) => false,
                SoakFault::KillAll | SoakFault::ForgetHistory => false,
                fault => fault.disturbs(router),
            };
            is_excuse && span.overlaps(from, until)
        })
    }

    fn late_prompt(&self, run: &SeenRun, age: Duration) -> String {
        let server = &self.evidence.servers[run.server].stand.name;
        format!(
            "{} began on weights {} of {server} at {} ms, {} ms after a newer version",
            run.request.id(),
            run.request.weights,
            self.since_start(run.request.at),
            age.as_millis(),
        )
    }

    /// The longest time for which a server kept weights beyond their bound, while it was listed.
    fn engine_excess(&self, server: &SoakServer) -> Duration {
        if server.service != "engines" {
            return Duration::ZERO;
        }
        let loaded = server.stand.loaded_weights();
        let end = server.left.unwrap_or(self.evidence.recovered);
        let excess = |index: usize| {
            let outdated = self.outdated_since(loaded[index].version)?;
            let from = (outdated + self.evidence.weights_bound).max(server.listed);
            let until = loaded.get(index + 1).map_or(end, |next| next.since.min(end));
            Some(until.saturating_duration_since(from))
        };
        (0..loaded.len()).filter_map(excess).max().unwrap_or_default()
    }
}
