//! State of a gate, guarded by its lock.

use std::time::Duration;

use fulmargate_names::ErrorKind;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::EngineReport;
use crate::GateConf;
use crate::GateRefusal;
use crate::GateRequest;
use crate::GateSnapshot;
use crate::MoveReason;
use crate::adaptive_limit::AdaptiveLimit;
use crate::class_queue::QueueStep;
use crate::gate_load::GateCapacity;
use crate::gate_load::GateLoad;
use crate::gate_queue::GateQueue;
use crate::gate_slot::GateSlot;
use crate::queue_entry::QueueEntry;

/// Retry-after when the queue's throughput is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Queue, limits and load of one server. Every change happens under the gate's lock, so exactly one
/// caller removes an entry from the queue.
#[derive(Debug)]
pub(crate) struct GateState {
    conf: GateConf,
    limit: AdaptiveLimit,
    load: GateLoad,
    queue: GateQueue,
    closed: Option<MoveReason>,
    /// Number of server restarts seen.
    epoch: u64,
    next_id: u64,
}

/// What to do with a new request.
#[derive(Debug)]
pub(crate) enum EntryAction {
    /// Send it.
    Admit(GateSlot),
    /// It is queued under this id until this time.
    Wait(u64, Instant),
    /// Reject it.
    Refuse(GateRefusal),
    /// Have the caller select another server.
    Move(MoveReason),
}

/// A decision on a queued request, to be sent after the lock is released.
#[derive(Debug)]
pub(crate) struct QueueDecision {
    /// The request, already removed from the queue.
    pub(crate) entry: QueueEntry,
    /// What to do with it.
    pub(crate) action: QueueAction,
}

/// What to do with a queued request.
#[derive(Debug)]
pub(crate) enum QueueAction {
    /// Send it.
    Admit(GateSlot),
    /// Reject it.
    Refuse(GateRefusal),
    /// Have the caller select another server.
    Move(MoveReason),
}

impl GateState {
    /// State of an open gate with an empty queue.
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

    /// Admits, queues or rejects a new request. If the queue is full, a queued request of the team
    /// with the most requests may be rejected in its favour.
    pub(crate) fn enter(
        &mut self,
        request: &GateRequest,
        sender: oneshot::Sender<crate::GateOutcome>,
        now: Instant,
    ) -> (EntryAction, Option<QueueDecision>) {
        if let Some(reason) = self.closed {
            return (EntryAction::Move(reason), None);
        }
        let priority = request.class.conf.priority;
        if !self.queue.has_waiting_up_to(priority) {
            let room = self.room(request);
            if room == GateCapacity::Free {
                let slot = self.new_slot(request);
                self.load.add(&self.conf, &slot);
                return (EntryAction::Admit(slot), None);
            }
            self.limit.record_limiting(room);
        }
        self.enqueue(request, sender, now)
    }

    /// Removes from the queue all requests that fit now or have expired, in order.
    pub(crate) fn dispatch(&mut self, now: Instant) -> Vec<QueueDecision> {
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
                    self.limit.record_limiting(room);
                    return decisions;
                }
                QueueStep::Expired(entry) => decisions.push(self.expire(entry, now)),
                QueueStep::Next(entry) => decisions.push(self.admit_queued(entry)),
            }
        }
    }

    /// Removes a request from the queue, if it is still there.
    pub(crate) fn remove(
        &mut self,
        priority: u8,
        team: &fulmargate_names::TeamName,
        id: u64,
    ) -> Option<QueueEntry> {
        self.queue.class(priority).remove(team, id)
    }

    /// The refusal of a queued request, with the estimated wait as its retry-after.
    pub(crate) fn refusal(&self, kind: ErrorKind, entry: &QueueEntry, now: Instant) -> GateRefusal {
        let wait = self.queue.estimated_wait(entry.priority, &entry.team, entry.cost, now);
        GateRefusal { kind, retry_after: wait.unwrap_or(DEFAULT_RETRY_AFTER) }
    }

    /// Updates load and limits at the first token of a response.
    pub(crate) fn first_token(
        &mut self,
        slot: &GateSlot,
        ttft: Duration,
        report: &EngineReport,
        now: Instant,
    ) {
        if slot.epoch == self.epoch {
            self.load.finish_prefill(&self.conf, slot);
            self.limit.first_token(ttft, report, now);
        }
    }

    /// Releases the slot of a finished request.
    pub(crate) fn release(&mut self, slot: &GateSlot) {
        if slot.epoch == self.epoch {
            self.load.remove(&self.conf, slot);
        }
    }

    /// Shrinks the limits after the server rejected a request as overloaded.
    pub(crate) fn overloaded(&mut self, now: Instant) {
        self.limit.overloaded(now);
    }

    /// Closes the gate and moves all queued requests to other servers.
    pub(crate) fn close(&mut self, reason: MoveReason) -> Vec<QueueDecision> {
        self.closed = Some(reason);
        let move_entry = |entry| QueueDecision { entry, action: QueueAction::Move(reason) };
        self.queue.remove_all().into_iter().map(move_entry).collect()
    }

    pub(crate) fn open(&mut self) {
        self.closed = None;
    }

    /// Resets load, limits and estimates after the server's process has restarted. Slots of earlier
    /// epochs are ignored when they are released.
    pub(crate) fn restart(&mut self) {
        self.epoch += 1;
        self.load = GateLoad::default();
        self.limit = AdaptiveLimit::new(self.conf);
        self.queue.reset_drain_rates();
    }

    /// Estimated queueing time of a new request; zero while unknown.
    pub(crate) fn expected_wait(&self, request: &GateRequest, now: Instant) -> Duration {
        let priority = request.class.conf.priority;
        if !self.queue.has_waiting_up_to(priority) && self.room(request) == GateCapacity::Free {
            return Duration::ZERO;
        }
        self.estimate_wait(request, now).unwrap_or(Duration::ZERO)
    }

    pub(crate) fn snapshot(&self) -> GateSnapshot {
        let load = self.load.total();
        GateSnapshot {
            in_flight: load.requests,
            prefill_tokens: load.tokens,
            queued: self.queue.len(),
            requests_limit: self.limit.requests(),
            tokens_limit: self.limit.tokens() as u64,
            closed: self.closed,
        }
    }

    fn room(&self, request: &GateRequest) -> GateCapacity {
        let priority = request.class.conf.priority;
        let tokens = request.prefill_tokens;
        self.load.room(&self.conf, &self.limit, &request.team, priority, tokens)
    }

    fn new_slot(&self, request: &GateRequest) -> GateSlot {
        GateSlot {
            epoch: self.epoch,
            team: request.team.clone(),
            priority: request.class.conf.priority,
            prefill_tokens: request.prefill_tokens,
        }
    }

    /// Cost of a request in fair queueing between teams.
    fn cost(&self, request: &GateRequest) -> u64 {
        u64::from(request.prefill_tokens) + u64::from(self.conf.overhead_tokens.max(1))
    }

    fn estimate_wait(&self, request: &GateRequest, now: Instant) -> Option<Duration> {
        let priority = request.class.conf.priority;
        self.queue.estimated_wait(priority, &request.team, self.cost(request), now)
    }

    /// Queues a request, unless its deadline can't be met or the queue is full and none of its
    /// entries may be displaced.
    fn enqueue(
        &mut self,
        request: &GateRequest,
        sender: oneshot::Sender<crate::GateOutcome>,
        now: Instant,
    ) -> (EntryAction, Option<QueueDecision>) {
        let idle_ttft = self.limit.idle_ttft(request.prefill_tokens);
        let expires_at = request.class.deadline.checked_sub(idle_ttft).unwrap_or(now);
        let slack = expires_at.saturating_duration_since(now);
        let wait = self.estimate_wait(request, now);
        if slack.is_zero() || wait.is_some_and(|wait| wait > slack) {
            let retry_after = wait.unwrap_or(DEFAULT_RETRY_AFTER).saturating_sub(slack);
            return (refuse(ErrorKind::DeadlineUnmet, retry_after), None);
        }
        let conf = &request.class.conf;
        let class = self.queue.class(conf.priority);
        let mut displaced = None;
        if class.len() >= conf.queue_limit {
            displaced = class.displace_for(&request.team);
            if displaced.is_none() {
                return (refuse(ErrorKind::QueueFull, wait.unwrap_or(DEFAULT_RETRY_AFTER)), None);
            }
        }
        let id = self.push(request, sender, expires_at, now);
        let displaced = displaced.map(|entry| self.refuse_queued(ErrorKind::QueueFull, entry, now));
        (EntryAction::Wait(id, expires_at), displaced)
    }

    fn push(
        &mut self,
        request: &GateRequest,
        sender: oneshot::Sender<crate::GateOutcome>,
        expires_at: Instant,
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
            expires_at,
            sender,
        };
        self.queue.class(priority).push(entry, now);
        id
    }

    fn admit_queued(&mut self, entry: QueueEntry) -> QueueDecision {
        let slot = GateSlot {
            epoch: self.epoch,
            team: entry.team.clone(),
            priority: entry.priority,
            prefill_tokens: entry.prefill_tokens,
        };
        self.load.add(&self.conf, &slot);
        QueueDecision { entry, action: QueueAction::Admit(slot) }
    }

    fn expire(&self, entry: QueueEntry, now: Instant) -> QueueDecision {
        self.refuse_queued(ErrorKind::DeadlineUnmet, entry, now)
    }

    fn refuse_queued(&self, kind: ErrorKind, entry: QueueEntry, now: Instant) -> QueueDecision {
        let refusal = self.refusal(kind, &entry, now);
        QueueDecision { entry, action: QueueAction::Refuse(refusal) }
    }
}

fn refuse(kind: ErrorKind, retry_after: Duration) -> EntryAction {
    EntryAction::Refuse(GateRefusal { kind, retry_after })
}
