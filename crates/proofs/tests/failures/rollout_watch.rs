//! Watches engines by their own reports while weights are rolled out.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;

const POLL: Duration = Duration::from_millis(30);
/// Reports give their age in whole milliseconds, rounded down.
const AGE_STEP: Duration = Duration::from_millis(1);
/// Polls before a rollout that does not end fails the proof.
const MOST_POLLS: usize = 2_000;

/// One engine's report: it speaks of a time that lies between two instants.
#[derive(Clone, Copy, Debug)]
struct WatchedReport {
    earliest: Instant,
    latest: Instant,
    weights: u64,
    is_loading: bool,
}

/// Reports of all engines of a fleet, gathered until it is told to stop.
pub(crate) struct RolloutWatch {
    reports: RefCell<IndexMap<String, Vec<WatchedReport>>>,
    zones: HashMap<String, String>,
    is_over: Cell<bool>,
}

impl RolloutWatch {
    /// Begins to ask each engine in a task of its own.
    pub(crate) fn start(fleet: &ProcessFleet) -> Rc<RolloutWatch> {
        let engines = fleet.deployment.engines.iter();
        let zones = engines.map(|engine| (engine.name.to_string(), engine.zone.to_string()));
        let watch = Rc::new(RolloutWatch {
            reports: RefCell::default(),
            zones: zones.collect(),
            is_over: Cell::new(false),
        });
        for name in fleet.engine_names() {
            let url = format!("http://{}/control/state", fleet.address(&name));
            actix_rt::spawn(Rc::clone(&watch).ask(name, url));
        }
        watch
    }

    async fn ask(self: Rc<RolloutWatch>, name: String, url: String) {
        let client = Client::default();
        while !self.is_over.get() {
            let sent = Instant::now();
            if let Ok(mut answer) = client.get(&url).send().await
                && let Ok(report) = answer.json::<Value>().await
            {
                let age = Duration::from_millis(report["as_of_ms_ago"].as_u64().unwrap_or(0));
                let weights = report["weights"].as_object().expect("weights");
                let report = WatchedReport {
                    earliest: sent - age - AGE_STEP,
                    latest: Instant::now() - age,
                    weights: weights.values().filter_map(Value::as_u64).min().unwrap_or(0),
                    is_loading: report["loading"].as_object().is_some_and(|all| !all.is_empty()),
                };
                self.reports.borrow_mut().entry(name.clone()).or_default().push(report);
            }
            sleep(POLL).await;
        }
    }

    /// How many engines report at least these weights and load nothing.
    pub(crate) fn count_at(&self, weights: u64) -> usize {
        let reports = self.reports.borrow();
        let last = reports.values().filter_map(|reports| reports.last());
        last.filter(|report| weights <= report.weights && !report.is_loading).count()
    }

    /// Waits until so many engines report at least these weights.
    pub(crate) async fn wait_until(&self, engines: usize, weights: u64) {
        for _ in 0..MOST_POLLS {
            if engines <= self.count_at(weights) {
                return;
            }
            sleep(POLL).await;
        }
        panic!(
            "only {} engines report weights {weights}: {:#?}",
            self.count_at(weights),
            self.last()
        );
    }

    fn last(&self) -> Vec<(String, Option<WatchedReport>)> {
        let reports = self.reports.borrow();
        reports.iter().map(|(name, all)| (name.clone(), all.last().copied())).collect()
    }

    /// Stops and checks what must hold in each rollout: no engine goes back to older weights, and
    /// at no time do more than two of a zone load.
    pub(crate) fn must_be_orderly(&self) {
        self.is_over.set(true);
        for (name, reports) in self.reports.borrow().iter() {
            let falls = reports.windows(2).any(|pair| pair[1].weights < pair[0].weights);
            assert!(!falls, "{name} went back: {reports:?}");
        }
        let most = self.most_loads();
        println!("most loads at once by zone: {most:?}");
        let is_orderly = most.values().all(|most| (1..=2).contains(most));
        assert!(is_orderly, "{most:?}: {}", self.loads());
    }

    /// What was seen of loads, for a proof that fails.
    fn loads(&self) -> String {
        let mut lines = Vec::new();
        let reports = self.reports.borrow();
        let start =
            reports.values().filter_map(|all| all.first()).map(|first| first.earliest).min();
        let since = |time: Instant| start.map_or(0, |start| (time - start).as_millis());
        for (name, all) in reports.iter() {
            for report in all.iter().filter(|report| report.is_loading) {
                let (from, to) = (since(report.earliest), since(report.latest));
                lines.push(format!("{name} {from}..{to} {}", report.weights));
            }
        }
        lines.join("\n")
    }

    /// The most engines of each zone that loaded at one time for certain: an engine loads between
    /// two of its reports that both say so.
    fn most_loads(&self) -> IndexMap<String, usize> {
        let mut spans: IndexMap<String, Vec<(Instant, Instant)>> = IndexMap::new();
        for (name, reports) in self.reports.borrow().iter() {
            let of_zone = spans.entry(self.zones[name].clone()).or_default();
            let pairs = reports.windows(2).filter(|pair| pair[0].is_loading && pair[1].is_loading);
            let sure = pairs.map(|pair| (pair[0].latest, pair[1].earliest));
            of_zone.extend(sure.filter(|(from, to)| from < to));
        }
        let most = |spans: &Vec<(Instant, Instant)>| {
            let at =
                |time: Instant| spans.iter().filter(move |(from, to)| *from <= time && time < *to);
            spans.iter().map(|(from, _)| at(*from).count()).max().unwrap_or(0)
        };
        spans.iter().map(|(zone, spans)| (zone.clone(), most(spans))).collect()
    }
}
