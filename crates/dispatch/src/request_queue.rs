//! Queue of prompts that wait at a router for an engine.

use std::time::Duration;

use fulmargate_admission::LimitWait;
use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::AssignedEngine;
use crate::CallFacts;
use crate::ChoiceView;
use crate::Placement;
use crate::PlacementRequest;
use crate::ServerRegistry;
use crate::admission;
use crate::queue_priority::QueuePriority;

/// Failed placements after which a queue run stops, to bound its processing time. With dozens of waiting
/// prompts a small host would do little but choose engines.
const MAX_FAILED_PLACEMENTS: usize = 6;

/// Identifies a queued prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// Outcome of a queued prompt.
#[derive(Debug)]
pub enum QueueOutcome {
    /// It was assigned to an engine.
    Assigned(Box<AssignedEngine>),
    /// No engine may serve it any more.
    NoEngine,
    /// It was rejected without having run; the caller should retry after this time.
    Refused(Duration),
}

/// Queue of one router, in the order of [`QueuePriority`].
///
/// Prompts wait here rather than at an engine, so that they go to whichever engine has room first
/// and survive the loss of an engine.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: Vec<QueuedPrompt>,
    next: u64,
    /// Whether prompts waited for limited engines after the last run.
    waits_for_limits: bool,
}

/// Prompts that wait for the limited engines of one service.
#[derive(Debug)]
struct LimitedPrompts {
    wait: LimitWait,
    count: usize,
}

impl LimitedPrompts {
    /// Adds a prompt behind the others, unless its turn would come too late; returns the wait until then.
    fn admit(&mut self, call: &CallFacts, now: Instant) -> Result<(), Duration> {
        let wait = self.wait.behind(self.count);
        if admission::must_start_by(call) < now + wait {
            return Err(wait);
        }
        self.count += 1;
        Ok(())
    }
}

#[derive(Debug)]
struct QueuedPrompt {
    ticket: QueueTicket,
    request: PlacementRequest,
    /// Tokens that the best engine would prefill, as of the last placement attempt; at first the whole prompt.
    prefill_tokens: f64,
}

impl RequestQueue {
    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of queued prompts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a new prompt may bypass the queue. None may while others wait for limited engines: it would take
    /// what they wait for.
    pub fn may_bypass(&self, call: &CallFacts) -> bool {
        self.waiting.is_empty() || (admission::is_short(call) && !self.waits_for_limits)
    }

    /// Whether a stream that has begun may bypass the queue: only few servers can go on with it, and new streams can
    /// wait for any.
    pub fn may_go_on(&self, request: &PlacementRequest) -> bool {
        request.only_origin.is_some() && !self.waits_for_limits
    }

    /// Adds a prompt to the queue.
    pub fn push(&mut self, request: PlacementRequest) -> QueueTicket {
        let ticket = QueueTicket(self.next);
        self.next += 1;
        let prefill_tokens = f64::from(request.call.prompt_tokens());
        self.waiting.push(QueuedPrompt { ticket, request, prefill_tokens });
        ticket
    }

    /// Removes a prompt whose caller has disconnected.
    pub fn remove(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|prompt| prompt.ticket != ticket);
    }

    /// Assigns queued prompts to engines with room, and rejects those that are too late.
    pub fn run(
        &mut self,
        registry: &mut ServerRegistry,
        view: ChoiceView<'_>,
    ) -> Vec<(QueueTicket, QueueOutcome)> {
        self.sort(view.now);
        let mut outcomes = Vec::new();
        let mut failed_placements = 0;
        let mut limited: IndexMap<ServiceName, LimitedPrompts> = IndexMap::new();
        self.waiting.retain_mut(|prompt| {
            let call = &prompt.request.call;
            if MAX_FAILED_PLACEMENTS <= failed_placements {
                let refusal = limited
                    .get_mut(&prompt.request.service)
                    .and_then(|limited| limited.admit(call, view.now).err());
                outcomes.extend(refusal.map(|wait| (prompt.ticket, QueueOutcome::Refused(wait))));
                return refusal.is_none();
            }
            match registry.place(&prompt.request, view) {
                Placement::Assigned(assigned) => {
                    outcomes.push((prompt.ticket, QueueOutcome::Assigned(assigned)));
                }
                Placement::NoEngine => outcomes.push((prompt.ticket, QueueOutcome::NoEngine)),
                Placement::Limited(wait) => {
                    failed_placements += 1;
                    let limited = limited
                        .entry(prompt.request.service.clone())
                        .or_insert(LimitedPrompts { wait, count: 0 });
                    match limited.admit(call, view.now) {
                        Ok(()) => return true,
                        Err(wait) => outcomes.push((prompt.ticket, QueueOutcome::Refused(wait))),
                    }
                }
                Placement::Queued(prefill_tokens) => {
                    prompt.prefill_tokens = prefill_tokens;
                    failed_placements += 1;
                    return true;
                }
            }
            false
        });
        self.waits_for_limits = limited.values().any(|limited| 0 < limited.count);
        self.reject_late(view.now, &mut outcomes);
        outcomes
    }

    fn sort(&mut self, now: Instant) {
        let tokens =
            self.waiting.iter().map(|prompt| f64::from(prompt.request.call.prompt_tokens()));
        let mean_tokens = tokens.sum::<f64>() / self.waiting.len().max(1) as f64;
        let sort_key = |prompt: &QueuedPrompt| {
            QueuePriority::of(&prompt.request.call, prompt.prefill_tokens, mean_tokens, now)
        };
        self.waiting.sort_by(|a, b| sort_key(a).compare(&sort_key(b)));
    }

    fn reject_late(&mut self, now: Instant, outcomes: &mut Vec<(QueueTicket, QueueOutcome)>) {
        let is_timely = |prompt: &QueuedPrompt| !admission::is_late(&prompt.request.call, now);
        let has_timely = self.waiting.iter().any(is_timely);
        self.waiting.retain(|prompt| {
            let Some(retry_after) = admission::rejection(&prompt.request.call, has_timely, now)
            else {
                return true;
            };
            outcomes.push((prompt.ticket, QueueOutcome::Refused(retry_after)));
            false
        });
    }
}
