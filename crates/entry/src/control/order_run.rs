//! One engine's way to new weights.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::EngineClient;
use fulmargate_consortium::EngineOrder;
use fulmargate_consortium::EngineReport;
use fulmargate_consortium::OrderAnswer;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::order_scheduler::DeskState;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::state::note_connect;
use crate::traffic::CONNECT_TIMEOUT;

/// A report takes some milliseconds; an engine that is cut off gives none. The rest is for this host:
/// with an eighth of a core it handled 30 engines' reports in up to 450 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// An answer to an order comes at once, or the order is treated as lost; for a busy host as above.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Reports are some hundred milliseconds old; asking sooner tells nothing new.
const REPORT_PACE: Duration = Duration::from_millis(150);
/// An engine loads in some 300 ms after its runs have ended.
const LOAD_PAUSE: Duration = Duration::from_millis(350);
/// Streams of a busy engine end within about a second when nothing new comes.
const LONGEST_DRAIN: Duration = Duration::from_millis(900);
/// Other routers tell of their requests some six times a second.
const DRAIN_PACE: Duration = Duration::from_millis(25);
/// After this long the engine is given back to the desk, which chooses anew.
const LONGEST_RUN: Duration = Duration::from_secs(4);

/// Asks the engine for its state, orders, and asks until the weights are in place.
pub(crate) struct OrderRun {
    pub(crate) state: Arc<SharedState>,
    pub(crate) engines: EngineClient,
    pub(crate) desk: Rc<DeskState>,
    pub(crate) entry: Arc<ServerEntry>,
    pub(crate) model: ModelName,
}

/// Why a run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    InPlace(WeightsVersion),
    NotHolder,
    Gone,
    Silent,
    /// It answers, but has not loaded yet.
    Slow,
}

impl OrderRun {
    /// Runs to its end.
    pub(crate) async fn run(self) {
        let timeout = tokio::time::timeout(LONGEST_RUN, self.bring_up()).await;
        let end = timeout.unwrap_or(RunEnd::Slow);
        let name = &self.entry.name;
        let key = self.entry.key();
        let kind = match end {
            RunEnd::InPlace(version) => {
                self.state.book().order_done(key, &self.model, version);
                self.state.loading.done(key, version);
                EventKind::WeightsInPlace
            }
            RunEnd::Silent => {
                self.state.book().unreachable(key, Instant::now());
                self.give_up();
                EventKind::OrderRefused
            }
            RunEnd::NotHolder | RunEnd::Gone => {
                self.give_up();
                EventKind::OrderRefused
            }
            RunEnd::Slow => {
                self.state.loading.drop_notice(key);
                EventKind::OrderRefused
            }
        };
        let model = &self.model;
        tracing::info!(event = kind.number(), name = kind.name(), server = %name, %model, end = ?end);
        self.desk.under_way.borrow_mut().swap_remove(&key);
    }

    fn give_up(&self) {
        self.state.book().order_given_up(self.entry.key());
        self.state.loading.give_up(self.entry.key());
    }

    /// Waits for the requests that routers have under way there; they send no more, since they were
    /// told. An order that comes earlier has the engine turn away what waits there.
    async fn wait_until_idle(&self) {
        let until = Instant::now() + LONGEST_DRAIN;
        while Instant::now() < until && 0 < self.state.book().open_at(self.entry.key()) {
            sleep(DRAIN_PACE).await;
        }
    }

    async fn bring_up(&self) -> RunEnd {
        self.wait_until_idle().await;
        loop {
            let Some(report) = self.report().await else { return RunEnd::Silent };
            // The engine has started again since the list named it: what it holds and has been ordered
            // is not what this run rests on, and the list will name the new start.
            if report.incarnation.is_some() && report.incarnation != self.entry.incarnation {
                return RunEnd::Gone;
            }
            // The newest at this moment: a version that was overtaken meanwhile is skipped.
            let Some(wanted) = self.state.weights.load().target(&self.model) else {
                return RunEnd::Gone;
            };
            let held = report.weights.get(&self.model).copied();
            if let Some(held) = held.filter(|held| wanted.version <= *held) {
                return RunEnd::InPlace(held);
            }
            if report.is_busy {
                sleep(REPORT_PACE).await;
                continue;
            }
            match self.order(&report, wanted.version).await {
                Some(OrderAnswer::Holds) => return RunEnd::InPlace(wanted.version),
                Some(OrderAnswer::Accepted) => sleep(LOAD_PAUSE).await,
                Some(OrderAnswer::Superseded) => {
                    self.desk.lease.borrow_mut().refused();
                    return RunEnd::NotHolder;
                }
                Some(OrderAnswer::Misdirected) => return RunEnd::Gone,
                // An order without an answer may be under way: the report tells, and the count of
                // orders in the next one keeps a late one from being carried out after it. Without
                // the lease the desk renews it, or another router goes on.
                Some(OrderAnswer::Busy | OrderAnswer::Refused(_)) | None => {
                    sleep(REPORT_PACE).await;
                }
            }
        }
    }

    async fn report(&self) -> Option<EngineReport> {
        let began = Instant::now();
        let answer = self.engines.report(self.entry.address, REPORT_TIMEOUT).await;
        // When this host is cut short, no report comes of any engine, and engines that are well would be
        // taken for unreachable. Its reports are told like connections, so that it can tell.
        if let Some(end) = report_end(&answer, began.elapsed()) {
            note_connect(&self.state, self.entry.key(), end);
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

    /// Gives the order if the lease still holds at this very moment; none without an answer.
    async fn order(&self, report: &EngineReport, version: WeightsVersion) -> Option<OrderAnswer> {
        let fence = self.desk.lease.borrow().usable_fence(boot_now())?;
        let order = EngineOrder {
            model: self.model.clone(),
            version,
            holder: self.state.settings.host.clone(),
            fence,
            orders_before: report.orders,
        };
        let entry = &self.entry;
        let answer = self.engines.order(entry.address, &entry.name, &order, ORDER_TIMEOUT).await;
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

/// What a report that took so long says of the way to the engine; nothing if it came later than requests
/// wait for a connection. Counted as connections that come about, late reports hid a full link from the host:
/// it blamed servers for 91 connections in four seconds.
fn report_end(answer: &Result<EngineReport, StoreError>, took: Duration) -> Option<ConnectEnd> {
    match answer {
        Err(StoreError::NoAnswer { .. }) if REPORT_TIMEOUT <= took => Some(ConnectEnd::Silent),
        Err(StoreError::NoAnswer { .. }) => Some(ConnectEnd::Refused),
        _ if CONNECT_TIMEOUT < took => None,
        _ => Some(ConnectEnd::Reached),
    }
}
