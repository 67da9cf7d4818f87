//! One life of an engine: its core, the task that steps it, and its reports.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep_until;

use super::EngineSettings;
use super::engine_core::EngineCore;
use super::event_feed::EventFeed;
use crate::FaultDesk;

/// How often computed blocks are handed to the KV store.
const KV_FLUSH: Duration = Duration::from_millis(100);

/// A load report on the wire.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct EngineReport {
    server: Arc<str>,
    zone: Arc<str>,
    incarnation: u64,
    role: String,
    leaving: bool,
    weights: IndexMap<Arc<str>, u64>,
    loading: IndexMap<Arc<str>, u64>,
    adapters: Vec<String>,
    queue_tokens: usize,
    running: usize,
    cached_blocks: usize,
    fence: u64,
    as_of_ms_ago: u64,
}

/// One life of an engine. It stays in the thread that serves it.
pub(crate) struct EngineDesk {
    pub(crate) settings: Arc<EngineSettings>,
    pub(crate) faults: FaultDesk,
    pub(crate) incarnation: u64,
    pub(crate) client: awc::Client,
    pub(crate) core: RefCell<EngineCore>,
    pub(crate) fence: Cell<u64>,
    pub(crate) role: RefCell<String>,
    pub(crate) adapters: RefCell<Vec<String>>,
    born: Instant,
    wake: Notify,
    report: RefCell<Option<(Instant, EngineReport)>>,
}

impl EngineDesk {
    pub(crate) fn new(settings: Arc<EngineSettings>, faults: FaultDesk) -> EngineDesk {
        let incarnation = faults.state().incarnation;
        let weights = settings
            .models
            .iter()
            .map(|(model, version)| (Arc::from(model.as_str()), *version))
            .collect();
        let feed = EventFeed::new(incarnation, settings.event_delay_ms);
        let core = EngineCore::new(settings.rates, weights, faults.clone(), feed);
        EngineDesk {
            settings,
            faults,
            incarnation,
            client: awc::Client::default(),
            core: RefCell::new(core),
            fence: Cell::new(0),
            role: RefCell::new("mixed".to_owned()),
            adapters: RefCell::new(Vec::new()),
            born: Instant::now(),
            wake: Notify::new(),
            report: RefCell::new(None),
        }
    }

    /// Milliseconds since the start of the life, in which a frozen engine does not age.
    pub(crate) fn now_ms(&self) -> f64 {
        (self.born.elapsed() - self.faults.frozen_time()).as_secs_f64() * 1_000.0
    }

    /// Lets the stepping task look at the core again.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Steps the core whenever something happens in it; runs as long as the life.
    pub(crate) async fn step_forever(&self) {
        loop {
            self.faults.thawed().await;
            self.core.borrow_mut().reap(self.now_ms());
            let next = self.core.borrow().next_event();
            let woken = self.wake.notified();
            let Some(next) = next else {
                woken.await;
                continue;
            };
            let since_birth = Duration::from_secs_f64(next / 1_000.0);
            let until = self.born + self.faults.frozen_time() + since_birth;
            tokio::select! {
                () = woken => (),
                () = sleep_until(until) => (),
            }
        }
    }

    /// Empties the cache whenever that is ordered.
    pub(crate) async fn clear_forever(&self) {
        loop {
            self.faults.cache_cleared().await;
            self.core.borrow_mut().clear_cache(self.now_ms());
        }
    }

    /// Renews the load report from time to time: what is read of it lags.
    pub(crate) async fn report_forever(&self) {
        let mut ticks = interval(Duration::from_millis(self.settings.report_ms.max(1)));
        loop {
            ticks.tick().await;
            self.faults.thawed().await;
            let report = self.new_report();
            self.report.replace(Some((Instant::now(), report)));
        }
    }

    /// Hands computed blocks to the KV store; blocks that it does not take are not tried again.
    pub(crate) async fn flush_forever(&self) {
        let mut ticks = interval(KV_FLUSH);
        loop {
            ticks.tick().await;
            let runs = self.core.borrow_mut().take_fresh_runs();
            let Some(store) = self.settings.kv_store.filter(|_| !runs.is_empty()) else {
                continue;
            };
            let put = self.client.put(format!("http://{store}/v1/blocks"));
            if let Err(error) = put.send_json(&runs).await {
                tracing::debug!(%error, "the KV store took no blocks");
            }
        }
    }

    /// The last load report.
    pub(crate) fn report(&self) -> EngineReport {
        let report = self.report.borrow();
        match report.as_ref() {
            Some((at, report)) => {
                EngineReport { as_of_ms_ago: at.elapsed().as_millis() as u64, ..report.clone() }
            }
            None => self.new_report(),
        }
    }

    fn new_report(&self) -> EngineReport {
        let core = self.core.borrow();
        EngineReport {
            server: Arc::from(self.settings.name.as_str()),
            zone: Arc::from(self.settings.zone.as_str()),
            incarnation: self.incarnation,
            role: self.role.borrow().clone(),
            leaving: self.faults.state().leaving,
            weights: core.weights().clone(),
            loading: core.loading().clone(),
            adapters: self.adapters.borrow().clone(),
            queue_tokens: core.queue_tokens(self.now_ms()),
            running: core.load(),
            cached_blocks: core.cached_blocks(),
            fence: self.fence.get(),
            as_of_ms_ago: 0,
        }
    }
}
