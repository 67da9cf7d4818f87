//! Target weights version of each model.

use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;

use crate::BootTime;

/// Time before the bound at which a request that has not started is cancelled. The bound counts from the
/// publication of a version, so the margin covers the delay until this host learns of it, and the delay until
/// a cancellation reaches the engine.
const START_MARGIN: Duration = Duration::from_millis(800);

/// Upper bound on remembered versions of one model. Each has its own bound, so older versions matter until
/// all engines run newer ones.
const MAX_TARGETS: usize = 64;

/// A target version and its publication time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsTarget {
    /// The version.
    pub version: WeightsVersion,
    /// Estimated publication time, from this router's own reads or as reported by another router. Zero while
    /// unknown.
    pub published_at: BootTime,
}

/// Target versions of each model, in increasing order.
#[derive(Clone, Debug, Default)]
pub struct WeightsTable {
    targets: IndexMap<ModelName, Vec<WeightsTarget>>,
}

impl WeightsTable {
    /// Adds a target version. Returns whether it is newer than all previous ones.
    pub fn add_target(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        now: BootTime,
    ) -> bool {
        let targets = self.targets.entry(model.clone()).or_default();
        if targets.last().is_some_and(|target| version <= target.version) {
            return false;
        }
        if MAX_TARGETS <= targets.len() {
            targets.remove(0);
        }
        targets.push(WeightsTarget { version, published_at: now });
        true
    }

    /// Sets the age of a version as reported by another router, if its publication time is unknown. Such versions
    /// count as old until then. Returns whether the age was set.
    pub fn set_reported_age(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        age: Duration,
        now: BootTime,
    ) -> bool {
        let targets = self.targets.get_mut(model).map_or(&mut [][..], Vec::as_mut_slice);
        let Some(target) = targets.iter_mut().find(|target| target.version == version) else {
            return false;
        };
        if target.published_at != BootTime::default() {
            return false;
        }
        target.published_at = BootTime(now.0.saturating_sub(age.as_millis() as u64));
        true
    }

    /// The latest target version of a model.
    pub fn target(&self, model: &ModelName) -> Option<WeightsTarget> {
        self.targets.get(model)?.last().copied()
    }

    /// The latest target version of each model.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelName, WeightsTarget)> {
        self.targets.iter().filter_map(|(model, targets)| Some((model, *targets.last()?)))
    }

    /// The first known target newer than this version.
    pub fn first_newer(&self, model: &ModelName, version: WeightsVersion) -> Option<WeightsTarget> {
        self.targets.get(model)?.iter().find(|target| version < target.version).copied()
    }

    /// Time since the first target newer than this version was published; zero if there is none.
    pub fn outdated_for(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        now: BootTime,
    ) -> Duration {
        let newer = self.first_newer(model, version);
        newer.map_or(Duration::ZERO, |target| now.since(target.published_at))
    }

    /// How long a request sent now to an engine with this version may wait there before it starts. `None`
    /// means no limit, for the latest version.
    pub fn max_start_delay(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        bound: Duration,
        now: BootTime,
    ) -> Option<Duration> {
        let age = self.outdated_for(model, version, now);
        if age.is_zero() {
            return None;
        }
        Some(bound.saturating_sub(START_MARGIN).saturating_sub(age))
    }
}
