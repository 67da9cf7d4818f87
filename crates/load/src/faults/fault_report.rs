//! What callers saw during a schedule of faults.

use std::collections::BTreeMap;

use serde::Serialize;

use super::config_watch::ConfigCounts;
use super::fault_kind::FaultKind;
use super::fault_schedule::FaultPhase;
use crate::figures::RunReport;

/// Requests that crash the engines that run them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PoisonCounts {
    /// Such requests.
    pub requests: usize,
    /// How often their callers sent them.
    pub sends: usize,
    /// Those refused at last as crashing.
    pub convicted: usize,
    /// Engines lost to them.
    pub engines_lost: usize,
    /// Other calls that were refused as crashing.
    pub innocents_refused: usize,
}

/// Calls whose time fell into one slot.
#[derive(Clone, Debug, Serialize)]
pub struct SlotReport {
    /// Beginning in seconds.
    pub at_s: f64,
    /// How its faults met.
    pub phase: FaultPhase,
    /// Its faults.
    pub kinds: Vec<FaultKind>,
    /// Calls planned in it.
    pub calls: usize,
    /// Those answered whole.
    pub whole: usize,
}

/// The report of a fault run.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// The deployment's name.
    pub deployment: &'static str,
    /// Seed of arrivals and schedule.
    pub seed: u64,
    /// Calls a second.
    pub rate: f64,
    /// What must never be, each by its count; all are to be 0.
    pub never: BTreeMap<&'static str, usize>,
    /// Whole answers a second in the calm run.
    pub calm_goodput: f64,
    /// Whole answers a second under faults.
    pub goodput: f64,
    /// Under faults by calm.
    pub goodput_ratio: f64,
    /// Requests that crash engines.
    pub poison: PoisonCounts,
    /// Racing patches and versions.
    pub config: ConfigCounts,
    /// All else of the run under faults.
    pub run: RunReport,
    /// Slot by slot.
    pub slots: Vec<SlotReport>,
    /// What this command cannot bring about, and where it is proved.
    pub not_run: Vec<&'static str>,
}

impl FaultReport {
    /// How often what must never be was.
    pub fn fault_count(&self) -> usize {
        self.never.values().sum()
    }
}
