//! The part of a gate behind its lock.

use std::time::Duration;

use fulmargate_names::ErrorKind;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::EngineReport;
use crate::GateConf;
use crate::GateFigures;
use crate::GateRefusal;
use crate::GateRequest;
use crate::MoveReason;
use crate::adaptive_limit::AdaptiveLimit;
use crate::class_queue::QueueStep;
use crate::gate_load::GateLoad;
use crate::gate_load::GateRoom;
use crate::gate_queue::GateQueue;
use crate::gate_slot::GateSlot;
use crate::queue_entry::QueueEntry;

/// Named when nothing is known of how fast the queue moves.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// Queue, limits and load of one server. Each change is one step under the gate's lock, so an
/// entry that leaves the queue has exactly one taker.
#[derive(Debug)]
pub(crate) struct GateState {
    conf: GateConf,
    limit: AdaptiveLimit,
    load: GateLoad,
    queue: GateQueue,
    closed: Option<MoveReason>,
    epoch: u64,
    next_id: u64,
}

/// The first decision on a request.
#[derive(Debug)]
pub(crate) enum FirstStep {
    /// Send it.
    Admit(GateSlot),
    /// It waits under this id until this time.
    Wait(u64, Instant),
    /// Give it up.
    Refuse(GateRefusal),
    /// Send it elsewhere.
    Move(MoveReason),
}

/// A decision on a request that waited. It is sent once the lock is free.
#[derive(Debug)]
pub(crate) struct QueueDecision {
    /// The request.
    pub(crate) entry: QueueEntry,
    /// What becomes of it.
    pub(crate) fate: QueueFate,
}

/// What becomes of a request that waited.
#[derive(Debug)]
pub(crate) enum QueueFate {
    /// Send it.
    Admit(GateSlot),
    /// Give it up.
    Refuse(GateRefusal),
    /// Send it elsewhere.
    Move(MoveReason),
}

impl GateState {
    /// An open gate of a fresh server.
    pub(crate) fn new(conf: GateConf) -> GateState {
        GateState {
            conf,
            limit: AdaptiveLimit::new(conf),
            load: GateLoad::default(),
            queue: GateQueue::default(),
            closed: None,
            epoch: 0,
            next_id: 0,
        }
    }

    /// Decides on a new request; a request of a crowded team may be given up in its favour.
    pub(crate) fn enter(
        &mut self,
        request: &GateRequest,
        sender: oneshot::Sender<crate::GateOutcome>,
        now: Instant,
    ) -> (FirstStep, Option<QueueDecision>) {
        if let Some(reason) = self.closed {
            return (FirstStep::Move(reason), None);
        }
        let priority = request.class.conf.priority;
        if !self.queue.any_up_to(priority) {
            let room = self.room(request);
            if room == GateRoom::Free {
                let slot = self.slot(request);
                self.load.take(&self.conf, &slot);
                return (FirstStep::Admit(slot), None);
            }
            self.limit.hold_back(room);
        }
        self.enqueue(request, sender, now)
    }

    /// Sends what fits now, in order.
    pub(crate) fn pump(&mut self, now: Instant) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        if self.closed.is_some() {
            return decisions;
        }
        loop {
            let (conf, limit, load) = (&self.conf, &self.limit, &self.load);
            let step = self
                .queue
                .next(now, |priority, team, tokens| load.room(conf, limit, team, priority, tokens));
            match step {
                QueueStep::Empty => return decisions,
                QueueStep::Blocked(room) => {
                    self.limit.hold_back(room);
                    return decisions;
                }
                QueueStep::Expired(entry) => decisions.push(self.expire(entry, now)),
                QueueStep::Next(entry) => decisions.push(self.grant(entry)),
            }
        }
    }

    /// Takes a request out of the queue, if it is still there.
    pub(crate) fn leave(
        &mut self,
        priority: u8,
        team: &fulmargate_names::TeamName,
        id: u64,
    ) -> Option<QueueEntry> {
        self.queue.class(priority).remove(team, id)
    }

    /// When a request that has been given up may come again.
    pub(crate) fn refusal(&self, kind: ErrorKind, entry: &QueueEntry, now: Instant) -> GateRefusal {
        let wait = self.queue.wait_for(entry.priority, &entry.team, entry.cost, now);
        GateRefusal { kind, retry_after: wait.unwrap_or(UNKNOWN_WAIT) }
    }

    /// The request's first token has come.
    pub(crate) fn first_token(
        &mut self,
        slot: &GateSlot,
        ttft: Duration,
        report: &EngineReport,
        now: Instant,
    ) {
        if slot.epoch == self.epoch {
            self.load.prefilled(&self.conf, slot);
            self.limit.first_token(ttft, report, now);
        }
    }

    /// The request has ended.
    pub(crate) fn give_back(&mut self, slot: &GateSlot) {
        if slot.epoch == self.epoch {
            self.load.give_back(&self.conf, slot);
        }
    }

    /// The server refused a request for its load.
    pub(crate) fn overloaded(&mut self, now: Instant) {
        self.limit.overloaded(now);
    }

    /// Nothing new; all that wait are asked to move.
    pub(crate) fn close(&mut self, reason: MoveReason) -> Vec<QueueDecision> {
        self.closed = Some(reason);
        let moved = |entry| QueueDecision { entry, fate: QueueFate::Move(reason) };
        self.queue.drain().into_iter().map(moved).collect()
    }

    /// Takes requests again.
    pub(crate) fn open(&mut self) {
        self.closed = None;
    }

    /// The server's process has started anew: nothing of ours is under way there, and nothing of
    /// what was learnt holds. Tickets of the old epoch count no more.
    pub(crate) fn restart(&mut self) {
        self.epoch += 1;
        self.load = GateLoad::default();
        self.limit = AdaptiveLimit::new(self.conf);
        self.queue.forget_pace();
    }

    /// How long a new request would probably wait here.
    pub(crate) fn expected_wait(&self, request: &GateRequest, now: Instant) -> Duration {
        let priority = request.class.conf.priority;
        if !self.queue.any_up_to(priority) && self.room(request) == GateRoom::Free {
            return Duration::ZERO;
        }
        self.wait_of(request, now).unwrap_or(Duration::ZERO)
    }

    /// Numbers for metrics and choices.
    pub(crate) fn figures(&self) -> GateFigures {
        let load = self.load.all();
        GateFigures {
            under_way: load.requests,
            prefill_tokens: load.tokens,
            waiting: self.queue.len(),
            requests_limit: self.limit.requests(),
            tokens_limit: self.limit.tokens() as u64,
            closed: self.closed,
        }
    }

    fn room(&self, request: &GateRequest) -> GateRoom {
        let priority = request.class.conf.priority;
        let tokens = request.prefill_tokens;
        self.load.room(&self.conf, &self.limit, &request.team, priority, tokens)
    }

    fn slot(&self, request: &GateRequest) -> GateSlot {
        GateSlot {
            epoch: self.epoch,
            team: request.team.clone(),
            priority: request.class.conf.priority,
            prefill_tokens: request.prefill_tokens,
        }
    }

    /// Cost when teams are weighed against each other.
    fn cost(&self, request: &GateRequest) -> u64 {
        u64::from(request.prefill_tokens) + u64::from(self.conf.overhead_tokens.max(1))
    }

    fn wait_of(&self, request: &GateRequest, now: Instant) -> Option<Duration> {
        let priority = request.class.conf.priority;
        self.queue.wait_for(priority, &request.team, self.cost(request), now)
    }

    /// Queues a request, unless its deadline can't be met or its team fills the queue.
    fn enqueue(
        &mut self,
        request: &GateRequest,
        sender: oneshot::Sender<crate::GateOutcome>,
        now: Instant,
    ) -> (FirstStep, Option<QueueDecision>) {
        let service = self.limit.service_time(request.prefill_tokens);
        let give_up = request.class.deadline.checked_sub(service).unwrap_or(now);
        let slack = give_up.saturating_duration_since(now);
        let wait = self.wait_of(request, now);
        if slack.is_zero() || wait.is_some_and(|wait| wait > slack) {
            let retry_after = wait.unwrap_or(UNKNOWN_WAIT).saturating_sub(slack);
            return (refuse(ErrorKind::DeadlineUnmet, retry_after), None);
        }
        let conf = &request.class.conf;
        let class = self.queue.class(conf.priority);
        let mut displaced = None;
        if class.len() >= conf.queue_limit {
            displaced = class.displace_for(&request.team);
            if displaced.is_none() {
                return (refuse(ErrorKind::QueueFull, wait.unwrap_or(UNKNOWN_WAIT)), None);
            }
        }
        let id = self.push(request, sender, give_up, now);
        let displaced = displaced.map(|entry| self.give_up(ErrorKind::QueueFull, entry, now));
        (FirstStep::Wait(id, give_up), displaced)
    }

    fn push(
        &mut self,
        request: &GateRequest,
        sender: oneshot::Sender<crate::GateOutcome>,
        give_up: Instant,
        now: Instant,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let priority = request.class.conf.priority;
        let entry = QueueEntry {
            id,
            team: request.team.clone(),
            priority,
            prefill_tokens: request.prefill_tokens,
            cost: self.cost(request),
            give_up,
            sender,
        };
        self.queue.class(priority).push(entry, now);
        id
    }

    fn grant(&mut self, entry: QueueEntry) -> QueueDecision {
        let slot = GateSlot {
            epoch: self.epoch,
            team: entry.team.clone(),
            priority: entry.priority,
            prefill_tokens: entry.prefill_tokens,
        };
        self.load.take(&self.conf, &slot);
        QueueDecision { entry, fate: QueueFate::Admit(slot) }
    }

    fn expire(&self, entry: QueueEntry, now: Instant) -> QueueDecision {
        self.give_up(ErrorKind::DeadlineUnmet, entry, now)
    }

    fn give_up(&self, kind: ErrorKind, entry: QueueEntry, now: Instant) -> QueueDecision {
        let refusal = self.refusal(kind, &entry, now);
        QueueDecision { entry, fate: QueueFate::Refuse(refusal) }
    }
}

fn refuse(kind: ErrorKind, retry_after: Duration) -> FirstStep {
    FirstStep::Refuse(GateRefusal { kind, retry_after })
}
