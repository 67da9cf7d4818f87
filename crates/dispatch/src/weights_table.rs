//! Target weights version of each model.

use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;

use crate::BootTime;
use crate::WeightsProof;
use crate::weights_series::WeightsSeries;

/// Time before the bound at which a request that has not started is cancelled. The bound counts from the
/// publication of a version, so the margin covers the delay until this host learns of it, and the delay until
/// a cancellation reaches the engine.
pub(crate) const START_MARGIN: Duration = Duration::from_millis(800);

/// Target versions of each model, and since when earlier ones are outdated.
#[derive(Clone, Debug, Default)]
pub struct WeightsTable {
    models: IndexMap<ModelName, WeightsSeries>,
}

impl WeightsTable {
    /// Adds a target version. `read_before` is the time of the last complete read without it; `None` if this host
    /// has read it in its first listing. Returns whether it is newer than all previous ones.
    pub fn add_target(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        read_before: Option<BootTime>,
    ) -> bool {
        self.models.entry(model.clone()).or_default().add_target(version, read_before)
    }

    /// Adds what another router has proven. Returns whether it was not implied by what is known.
    pub fn add_proof(&mut self, model: &ModelName, proof: WeightsProof) -> bool {
        self.models.get_mut(model).is_some_and(|series| series.add_proof(proof))
    }

    /// Adds a proof whose time is estimated. It is used for versions without another one. Returns whether it was not
    /// implied by earlier estimates.
    pub fn add_estimate(&mut self, model: &ModelName, proof: WeightsProof) -> bool {
        self.models.get_mut(model).is_some_and(|series| series.add_estimate(proof))
    }

    /// The target version of a model.
    pub fn target(&self, model: &ModelName) -> Option<WeightsVersion> {
        self.models.get(model).map(WeightsSeries::target)
    }

    /// The target version of each model.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelName, WeightsVersion)> {
        self.models.iter().map(|(model, series)| (model, series.target()))
    }

    /// The proofs of a model, in the order of versions and times.
    pub fn proofs(&self, model: &ModelName) -> &[WeightsProof] {
        self.models.get(model).map_or(&[], WeightsSeries::proofs)
    }

    /// Whether a newer version is wanted and no proof shows since when. An estimate does not count as one.
    pub fn is_proof_missing(&self, model: &ModelName, version: WeightsVersion) -> bool {
        let is_outdated = self.target(model).is_some_and(|target| version < target);
        is_outdated && !self.proofs(model).iter().any(|proof| proof.version <= version)
    }

    /// Proofs and estimates for versions that a request may still begin on: older than the target, and outdated for
    /// less than the bound.
    pub fn running_proofs(
        &self,
        model: &ModelName,
        bound: Duration,
        now: BootTime,
    ) -> Vec<WeightsProof> {
        let series = self.models.get(model);
        series.map_or_else(Vec::new, |series| series.running_proofs(bound, now))
    }

    /// Upper bound of the time since the first version newer than this one was named. Zero if there is none;
    /// `Duration::MAX` if nothing is known of it.
    pub fn outdated_for(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        now: BootTime,
    ) -> Duration {
        let series = self.models.get(model);
        series.map_or(Duration::ZERO, |series| series.outdated_for(version, now))
    }

    /// The time for which this version counts as outdated, while the bound runs: `None` for the target, beyond the
    /// bound, and if it is not known.
    pub fn running_age(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        bound: Duration,
        now: BootTime,
    ) -> Option<Duration> {
        let is_outdated = self.target(model).is_some_and(|target| version < target);
        let age = self.outdated_for(model, version, now);
        (is_outdated && age < bound).then_some(age)
    }

    /// Upper bound of the time since the target version was named; `None` if it is not known.
    pub fn target_age(&self, model: &ModelName, now: BootTime) -> Option<Duration> {
        self.models.get(model)?.target_age(now)
    }

    /// Whether a newer version is wanted and nothing is known of when the first one was named.
    pub fn is_age_unknown(&self, model: &ModelName, version: WeightsVersion) -> bool {
        self.outdated_for(model, version, BootTime::default()) == Duration::MAX
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
        if self.target(model).is_none_or(|target| target <= version) {
            return None;
        }
        let age = self.outdated_for(model, version, now);
        Some(bound.saturating_sub(START_MARGIN).saturating_sub(age))
    }
}
