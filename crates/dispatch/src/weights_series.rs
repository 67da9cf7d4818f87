//! Target weights versions of one model, and since when older ones are outdated.

use std::time::Duration;

use fulmargate_names::WeightsVersion;

use crate::BootTime;

/// Upper bound on the remembered proofs. Those of the lowest versions are dropped first; engines on such versions are
/// long outdated.
const MAX_PROOFS: usize = 64;

/// Proof that no version newer than this one had been named at this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsProof {
    /// The version.
    pub version: WeightsVersion,
    /// The time, on this host's clock.
    pub proven_at: BootTime,
}

/// The target version of one model, and proofs of the time at which earlier ones were the newest.
///
/// A proof of a version holds for higher ones too, so that the time from which a version is outdated follows without
/// knowing all versions in between.
#[derive(Clone, Debug, Default)]
pub(crate) struct WeightsSeries {
    target: WeightsVersion,
    proofs: ProofList,
    /// Proofs that may be too late, used for versions that have no other.
    estimates: ProofList,
}

/// Proofs in the order of their versions and, at the same time, of their times.
#[derive(Clone, Debug, Default)]
struct ProofList(Vec<WeightsProof>);

impl WeightsSeries {
    /// Sets a newer target. `read_before` is the time of the last complete read without it, if there was one.
    /// Returns whether it is newer than all previous ones.
    pub(crate) fn add_target(
        &mut self,
        version: WeightsVersion,
        read_before: Option<BootTime>,
    ) -> bool {
        if version <= self.target {
            return false;
        }
        if let Some(proven_at) = read_before {
            self.proofs.add(WeightsProof { version: self.target, proven_at });
        }
        self.target = version;
        true
    }

    pub(crate) fn add_proof(&mut self, proof: WeightsProof) -> bool {
        self.proofs.add(proof)
    }

    pub(crate) fn add_estimate(&mut self, proof: WeightsProof) -> bool {
        self.estimates.add(proof)
    }

    pub(crate) fn target(&self) -> WeightsVersion {
        self.target
    }

    pub(crate) fn proofs(&self) -> &[WeightsProof] {
        &self.proofs.0
    }

    /// Proofs, preceded by the estimates for versions that have none, whose bound is running.
    pub(crate) fn running_proofs(&self, bound: Duration, now: BootTime) -> Vec<WeightsProof> {
        let first = self.proofs.0.first();
        let is_used =
            |estimate: &&WeightsProof| first.is_none_or(|first| estimate.version < first.version);
        let estimates = self.estimates.0.iter().filter(is_used).map(|estimate| {
            // At the time of the first proof a newer version may have been named.
            let latest = first.map_or(estimate.proven_at, |first| first.proven_at);
            WeightsProof { proven_at: estimate.proven_at.min(latest), ..*estimate }
        });
        let is_running = |proof: &WeightsProof| {
            proof.version < self.target && now.since(proof.proven_at) < bound
        };
        estimates.chain(self.proofs.0.iter().copied()).filter(is_running).collect()
    }

    /// Upper bound of the time since the target was named; `None` if nothing is known.
    pub(crate) fn target_age(&self, now: BootTime) -> Option<Duration> {
        let previous = WeightsVersion(self.target.0.checked_sub(1)?);
        Some(self.outdated_for(previous, now)).filter(|age| *age < Duration::MAX)
    }

    /// Time since a newer version may have been named; zero for the target, `Duration::MAX` if nothing is known.
    pub(crate) fn outdated_for(&self, version: WeightsVersion, now: BootTime) -> Duration {
        if self.target <= version {
            return Duration::ZERO;
        }
        let proof = self.proofs.latest(version).or_else(|| self.estimates.latest(version));
        proof.map_or(Duration::MAX, |proof| now.since(proof.proven_at))
    }
}

impl ProofList {
    /// Returns whether the list did not imply the proof.
    fn add(&mut self, proof: WeightsProof) -> bool {
        let is_implied = |known: &WeightsProof, by: &WeightsProof| {
            by.version <= known.version && known.proven_at <= by.proven_at
        };
        if self.0.iter().any(|known| is_implied(&proof, known)) {
            return false;
        }
        self.0.retain(|known| !is_implied(known, &proof));
        let position = self.0.partition_point(|known| known.version < proof.version);
        self.0.insert(position, proof);
        if MAX_PROOFS < self.0.len() {
            self.0.remove(0);
        }
        true
    }

    /// The latest proof that holds for this version.
    fn latest(&self, version: WeightsVersion) -> Option<&WeightsProof> {
        self.0.iter().rev().find(|proof| proof.version <= version)
    }
}
