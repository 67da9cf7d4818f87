//! Which weights the operators want of each model.

use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;

use crate::BootTime;

/// A request that has not begun this long before the bound is given up: the bound counts from the naming
/// of a version, a busy host of a large fleet learns of it half a second later, and its own giving up takes
/// a while to reach the engine.
const BEGIN_MARGIN: Duration = Duration::from_millis(800);

/// Versions remembered of one model. Each has its own bound, so the older ones matter until all
/// engines have passed them.
const MOST_NAMED: usize = 64;

/// A version that was named, and when this router learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsTarget {
    /// The version.
    pub version: WeightsVersion,
    /// When it was learned of.
    pub learned: BootTime,
}

/// The versions named of each model. They only rise.
#[derive(Clone, Debug, Default)]
pub struct WeightsTable {
    named: IndexMap<ModelName, Vec<WeightsTarget>>,
}

impl WeightsTable {
    /// A version was named. Returns whether it is new.
    pub fn name_version(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        now: BootTime,
    ) -> bool {
        let named = self.named.entry(model.clone()).or_default();
        if named.last().is_some_and(|target| version <= target.version) {
            return false;
        }
        if MOST_NAMED <= named.len() {
            named.remove(0);
        }
        named.push(WeightsTarget { version, learned: now });
        true
    }

    /// Another router learned of a version so long ago. A router that has started since cannot know,
    /// and takes a version for old until it is told. Returns whether this is news.
    pub fn correct_age(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        age: Duration,
        now: BootTime,
    ) -> bool {
        let named = self.named.get_mut(model).map_or(&mut [][..], Vec::as_mut_slice);
        let Some(target) = named.iter_mut().find(|target| target.version == version) else {
            return false;
        };
        if target.learned != BootTime::default() {
            return false;
        }
        target.learned = BootTime(now.0.saturating_sub(age.as_millis() as u64));
        true
    }

    /// The newest version of a model.
    pub fn target(&self, model: &ModelName) -> Option<WeightsTarget> {
        self.named.get(model)?.last().copied()
    }

    /// The newest version of each model.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelName, WeightsTarget)> {
        self.named.iter().filter_map(|(model, named)| Some((model, *named.last()?)))
    }

    /// For how long a newer version than this one has been wanted; zero if it is the newest.
    pub fn outdated_for(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        now: BootTime,
    ) -> Duration {
        let named = self.named.get(model).map_or(&[][..], Vec::as_slice);
        let newer = named.iter().find(|target| version < target.version);
        newer.map_or(Duration::ZERO, |target| now.since(target.learned))
    }

    /// How long a request sent now to an engine with these weights may wait there before it begins;
    /// any time on the newest.
    pub fn time_to_begin(
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
        Some(bound.saturating_sub(BEGIN_MARGIN).saturating_sub(age))
    }
}
