//! Since when versions of a model's weights are outdated, as kept in the store.

use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::BootTime;
use crate::HeartbeatMark;
use crate::WeightsProof;

/// What a router knows of a model, for routers that start when no other one is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRecord {
    /// The model.
    pub model: ModelName,
    /// The newest version known to the writer.
    pub target: WeightsVersion,
    /// Versions, each with the age in milliseconds of a proof that no newer one had been named.
    pub proofs: Vec<(WeightsVersion, u64)>,
    /// A point in the servers' topic that was reached before the ages were determined.
    pub mark: HeartbeatMark,
}

impl WeightsRecord {
    /// The proofs with their estimated times on this router's clock. `now` is a time at which the servers' topic did
    /// not extend beyond `end`. `None` if the time since the record is unknown.
    ///
    /// An age that began before this machine's boot yields no estimate: the boot would be too late a time.
    pub fn estimates(
        &self,
        end: &HeartbeatMark,
        now: BootTime,
        interval: Duration,
    ) -> Option<Vec<WeightsProof>> {
        let elapsed = self.mark.max_time_until(end, interval)?;
        let elapsed_ms = u64::try_from(elapsed.as_millis()).ok()?;
        let estimate = |&(version, age_ms): &(WeightsVersion, u64)| {
            let proven_at = now.0.checked_sub(elapsed_ms)?.checked_sub(age_ms)?;
            Some(WeightsProof { version, proven_at: BootTime(proven_at) })
        };
        Some(self.proofs.iter().filter_map(estimate).collect())
    }

    /// Whether a later record would add nothing to this one.
    pub fn covers(&self, later: &WeightsRecord) -> bool {
        let has_proof = |version| self.proofs.iter().any(|(known, _)| *known == version);
        let mut outdated = later.proofs.iter().filter(|(version, _)| *version < later.target);
        self.mark.epoch == later.mark.epoch
            && later.target <= self.target
            && outdated.all(|(version, _)| has_proof(*version))
    }
}
