//! Updates the weights of one engine.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::EngineClient;
use fulmargate_consortium::EngineOrder;
use fulmargate_consortium::EngineReport;
use fulmargate_consortium::OrderResponse;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::order_scheduler::SchedulerState;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::state::record_connect_outcome;
use crate::traffic::CONNECT_TIMEOUT;

/// Timeout of a report. Engines answer within milliseconds; the rest allows for a busy host. With an eighth
/// of a core, the reports of 30 engines take up to 450 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of an order. Engines answer at once; the rest allows for a busy host.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which an order that was not answered is no longer on its way: its connection has ended, and a lost packet
/// was sent again.
pub(crate) const ORDER_SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Delay between reports; engines don't refresh them faster.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Delay after an accepted order: the time that an engine takes to load weights.
const LOAD_WAIT: Duration = Duration::from_millis(350);
/// Upper bound of the wait for open requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which the number of open requests is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which the task gives up, so that the scheduler can select the engine again.
const TASK_TIMEOUT: Duration = Duration::from_secs(4);

/// Polls an engine's report and sends orders until the weights are loaded.
pub(crate) struct OrderTask {
    pub(crate) state: Arc<SharedState>,
    pub(crate) engines: EngineClient,
    pub(crate) shared: Rc<SchedulerState>,
    pub(crate) entry: Arc<ServerEntry>,
    pub(crate) model: ModelName,
}

/// Why a task has ended. The variant names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    /// The engine has loaded this version or a newer one.
    InPlace(WeightsVersion),
    /// The engine has accepted an order under a newer lease, or this router has dropped its own.
    NotHolder,
    /// The engine has restarted, or its target or address no longer applies.
    Gone,
    /// The engine returned no report.
    Silent,
    /// The engine answers, but has not loaded the weights yet.
    Slow,
}

impl OrderTask {
    /// Runs until the weights are loaded, the order is abandoned or the task times out.
    pub(crate) async fn run(self) {
        let result = tokio::time::timeout(TASK_TIMEOUT, self.update_weights()).await;
        let outcome = result.unwrap_or(OrderOutcome::Slow);
        let name = &self.entry.name;
        let key = self.entry.key();
        let kind = match outcome {
            OrderOutcome::InPlace(version) => {
                self.state.servers().record_weights_loaded(key, &self.model, version);
                self.state.loading.finish(key, version);
                EventKind::WeightsInPlace
            }
            OrderOutcome::Silent => {
                self.state.servers().record_unreachable(key, Instant::now());
                self.record_failure();
                EventKind::OrderRefused
            }
            OrderOutcome::NotHolder | OrderOutcome::Gone => {
                self.record_failure();
                EventKind::OrderRefused
            }
            OrderOutcome::Slow => {
                self.state.loading.remove(key);
                EventKind::OrderRefused
            }
        };
        let model = &self.model;
        tracing::info!(event = kind.number(), name = kind.name(), server = %name, %model, end = ?outcome);
        if !matches!(outcome, OrderOutcome::InPlace(_)) {
            self.shared.failures.borrow_mut().insert(key, Instant::now());
        }
        self.shared.in_progress.borrow_mut().swap_remove(&key);
    }

    fn record_failure(&self) {
        self.state.servers().record_weights_failure(self.entry.key());
        self.state.loading.abandon(self.entry.key());
    }

    /// Waits until the open requests of all routers at the engine have ended; they send no new
    /// ones. An engine that accepts an order rejects its queued requests.
    async fn wait_until_idle(&self) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < deadline && 0 < self.state.servers().open_at(self.entry.key()) {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn update_weights(&self) -> OrderOutcome {
        self.wait_until_idle().await;
        loop {
            let Some(report) = self.request_report().await else { return OrderOutcome::Silent };
            // The engine has restarted.
            if report.incarnation.is_some() && report.incarnation != self.entry.incarnation {
                return OrderOutcome::Gone;
            }
            // The newest target: a superseded version is skipped.
            let Some(target) = self.state.weights.load().target(&self.model) else {
                return OrderOutcome::Gone;
            };
            let loaded = report.weights.get(&self.model).copied();
            if let Some(loaded) = loaded.filter(|loaded| target <= *loaded) {
                return OrderOutcome::InPlace(loaded);
            }
            if report.is_busy {
                sleep(REPORT_INTERVAL).await;
                continue;
            }
            if !self.shared.lease.borrow().is_holder() {
                return OrderOutcome::NotHolder;
            }
            match self.send_order(&report, target).await {
                Some(OrderResponse::Holds) => return OrderOutcome::InPlace(target),
                Some(OrderResponse::Accepted) => sleep(LOAD_WAIT).await,
                Some(OrderResponse::Superseded) => {
                    self.shared.lease.borrow_mut().drop_lease();
                    return OrderOutcome::NotHolder;
                }
                Some(OrderResponse::Misdirected) => return OrderOutcome::Gone,
                // An unanswered order may have been accepted, which the next report shows. If it is
                // delayed, the engine rejects it by its order count once it has accepted another.
                Some(OrderResponse::Busy | OrderResponse::Refused(_)) | None => {
                    sleep(REPORT_INTERVAL).await;
                }
            }
        }
    }

    async fn request_report(&self) -> Option<EngineReport> {
        let started_at = Instant::now();
        let answer = self.engines.report(self.entry.address, REPORT_TIMEOUT).await;
        // Counted like the connection attempts of requests, to tell a fault of this host's network
        // from unreachable engines.
        if let Some(outcome) = report_connect_outcome(&answer, started_at.elapsed()) {
            record_connect_outcome(&self.state, self.entry.key(), outcome);
        }
        match answer {
            Ok(report) => Some(report),
            Err(err) => {
                let kind = EventKind::OrderRefused;
                tracing::warn!(event = kind.number(), name = kind.name(), server = %self.entry.name, reason = %err);
                None
            }
        }
    }

    /// Sends the order if the lease is still valid. Returns `None` without an answer.
    async fn send_order(
        &self,
        report: &EngineReport,
        version: WeightsVersion,
    ) -> Option<OrderResponse> {
        let sent = boot_now();
        let fence = self.shared.lease.borrow().usable_fence(sent)?;
        let order = EngineOrder {
            model: self.model.clone(),
            version,
            holder: self.state.settings.host.clone(),
            fence,
            orders_before: report.orders,
        };
        let entry = &self.entry;
        self.shared.record_order(entry.key(), sent);
        let answer = self.engines.order(entry.address, &entry.name, &order, ORDER_TIMEOUT).await;
        if answer.is_ok() {
            self.shared.unanswered.borrow_mut().swap_remove(&entry.key());
        }
        let kind = EventKind::OrderGiven;
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            server = %entry.name,
            model = %self.model,
            %version,
            %fence,
            orders_before = report.orders,
            running = report.running,
            answer = ?answer,
        );
        answer.ok()
    }
}

/// Connection outcome to record for a report call. `None` for an answer that took longer than
/// requests wait for a connection: it would hide that this host's link is saturated, and the failed
/// connections of requests would be attributed to the servers.
fn report_connect_outcome(
    answer: &Result<EngineReport, StoreError>,
    elapsed: Duration,
) -> Option<ConnectOutcome> {
    match answer {
        Err(StoreError::NoAnswer { .. }) if REPORT_TIMEOUT <= elapsed => {
            Some(ConnectOutcome::TimedOut)
        }
        Err(StoreError::NoAnswer { .. }) => Some(ConnectOutcome::Refused),
        _ if CONNECT_TIMEOUT < elapsed => None,
        _ => Some(ConnectOutcome::Reached),
    }
}
