//! The task that runs one shard's coordinator.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_names::LogOffset;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use crate::ClaimLog;
use crate::ClaimVerdict;
use crate::LedgerCommand;
use crate::LedgerStats;
use crate::OutcomeFetch;
use crate::ShardCoordinator;
use crate::TablePhase;
use crate::claim_log::AppendFuture;
use crate::claim_log::ReadFuture;
use crate::ledger_metrics::LedgerMetrics;

/// How long a read asks the log to wait for news.
const TAIL_WAIT: Duration = Duration::from_secs(5);
/// How long a coordinator that is to end goes on writing what it was handed.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A read under way, and when it began.
struct ReadSlot {
    asked: Instant,
    future: ReadFuture,
}

/// What a coordinator's task waits for.
enum DriverEvent {
    Command(LedgerCommand),
    Append(Result<LogOffset, LogError>),
    Tail(Result<LogPage, LogError>, Instant),
    Barrier(Result<LogPage, LogError>, Instant),
    Fetched,
    Wake,
    Cancelled,
}

/// The task that runs one shard's coordinator: it carries appends, reads and answers between the coordinator and the log.
pub(crate) struct ShardDriver {
    coordinator: ShardCoordinator,
    metrics: LedgerMetrics,
    log: Rc<ClaimLog>,
    stream: String,
    commands: UnboundedReceiver<LedgerCommand>,
    append: Option<(String, AppendFuture)>,
    tail: Option<ReadSlot>,
    barrier: Option<ReadSlot>,
    fetches: FuturesUnordered<LocalBoxFuture<'static, ()>>,
}

impl ShardDriver {
    pub(crate) fn new(
        coordinator: ShardCoordinator,
        log: Rc<ClaimLog>,
        stream: String,
        commands: UnboundedReceiver<LedgerCommand>,
    ) -> ShardDriver {
        ShardDriver {
            coordinator,
            metrics: LedgerMetrics::new(&stream),
            log,
            stream,
            commands,
            append: None,
            tail: None,
            barrier: None,
            fetches: FuturesUnordered::new(),
        }
    }

    pub(crate) async fn run(mut self, cancel: CancellationToken) -> LedgerStats {
        let mut stop_at = None;
        loop {
            let now = Instant::now();
            self.coordinator.tick(now);
            self.metrics.publish(&self.coordinator);
            if stop_at.is_some_and(|at| at <= now || self.is_drained()) {
                return *self.coordinator.stats();
            }
            self.start_calls(now);
            let wake_at = self.coordinator.wake_at(now);
            let event = match stop_at {
                None => self.next_event(wake_at, &cancel).await,
                Some(_) => self.next_event(wake_at, &CancellationToken::new()).await,
            };
            match event {
                DriverEvent::Cancelled => {
                    self.coordinator.hurry();
                    stop_at = Some(Instant::now() + STOP_LIMIT);
                }
                event => self.take_event(event),
            }
        }
    }

    fn is_drained(&self) -> bool {
        self.commands.is_empty() && self.coordinator.is_drained()
    }

    fn start_calls(&mut self, now: Instant) {
        let in_air = self.coordinator.append_in_air();
        // The fold may have met the record before its append was answered. The next one need not wait for that.
        self.append.take_if(|(id, _)| in_air != Some(id));
        if let Some(group) = self.coordinator.next_append(now) {
            let id = group.id.clone();
            self.append = Some((id, (self.log.append)(&self.stream, group)));
        }
        if self.tail.is_none() && self.coordinator.read_at() <= now {
            let wait = if self.coordinator.phase() == TablePhase::Reading {
                Duration::ZERO
            } else {
                TAIL_WAIT
            };
            let future = (self.log.read)(&self.stream, self.coordinator.next_offset(), wait);
            self.tail = Some(ReadSlot { asked: now, future });
        }
        if let Some(from) = self.coordinator.next_barrier(now) {
            let future = (self.log.read)(&self.stream, from, Duration::ZERO);
            self.barrier = Some(ReadSlot { asked: now, future });
        }
        for fetch in self.coordinator.take_fetches() {
            let read = (self.log.read)(&self.stream, fetch.offset, Duration::ZERO);
            self.fetches.push(answer_fetch(fetch, read).boxed_local());
        }
    }

    async fn next_event(&mut self, wake_at: Instant, cancel: &CancellationToken) -> DriverEvent {
        let tail_at =
            if self.tail.is_none() { wake_at.min(self.coordinator.read_at()) } else { wake_at };
        tokio::select! {
            biased;
            result = append_end(&mut self.append) => DriverEvent::Append(result),
            result = read_end(&mut self.tail) => DriverEvent::Tail(result.0, result.1),
            result = read_end(&mut self.barrier) => DriverEvent::Barrier(result.0, result.1),
            Some(()) = self.fetches.next() => DriverEvent::Fetched,
            () = cancel.cancelled() => DriverEvent::Cancelled,
            Some(command) = self.commands.recv() => DriverEvent::Command(command),
            () = sleep_until(tail_at) => DriverEvent::Wake,
        }
    }

    fn take_event(&mut self, event: DriverEvent) {
        let now = Instant::now();
        match event {
            DriverEvent::Command(command) => self.take_commands(command, now),
            DriverEvent::Append(result) => {
                if let Some((id, _)) = self.append.take() {
                    self.coordinator.append_ended(&id, result, now);
                }
            }
            DriverEvent::Tail(result, asked) => {
                self.tail = None;
                match result {
                    Ok(page) => self.coordinator.take_page(&page, asked, now),
                    Err(error) => self.coordinator.read_failed(error, now),
                }
            }
            DriverEvent::Barrier(result, asked) => {
                self.barrier = None;
                self.coordinator.barrier_ended(result, asked, now);
            }
            DriverEvent::Fetched | DriverEvent::Wake | DriverEvent::Cancelled => (),
        }
    }

    /// Takes all that has come, so that a burst of claims goes into one record.
    fn take_commands(&mut self, first: LedgerCommand, now: Instant) {
        self.coordinator.command(first, now);
        while let Ok(command) = self.commands.try_recv() {
            self.coordinator.command(command, now);
        }
    }
}

async fn append_end(slot: &mut Option<(String, AppendFuture)>) -> Result<LogOffset, LogError> {
    match slot {
        Some((_, future)) => future.await,
        None => pending().await,
    }
}

async fn read_end(slot: &mut Option<ReadSlot>) -> (Result<LogPage, LogError>, Instant) {
    match slot {
        Some(slot) => (slot.future.as_mut().await, slot.asked),
        None => pending().await,
    }
}

/// The answer's status is known without the log; its body only if the log still has it and can be read.
async fn answer_fetch(fetch: OutcomeFetch, read: ReadFuture) {
    let page = read.await.ok();
    let record = page
        .as_ref()
        .and_then(|page| page.records.iter().find(|record| record.offset == fetch.offset));
    let outcome =
        record.map_or(fetch.place.without_body(), |record| fetch.place.outcome_in(record));
    let _ = fetch.reply.send(ClaimVerdict::Done(outcome));
}
