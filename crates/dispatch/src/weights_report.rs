//! Reports of routers to each other on since when weights are outdated.

use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::BootTime;
use crate::WeightsProof;
use crate::WeightsTable;

/// Upper bound on the models of one report, which bounds its size.
const MAX_MODELS: usize = 128;
/// Added to each age, since times are rounded down.
const ROUNDING_MS: u64 = 1;

/// What a router knows of the weights of each model when it is asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsReport {
    models: Vec<ModelReport>,
}

/// What a router knows of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ModelReport {
    model: ModelName,
    target: WeightsVersion,
    /// Time since a read showed that no version newer than the target had been named.
    read_age_ms: Option<u64>,
    proofs: Vec<ReportedProof>,
}

/// At this age, no version newer than this one had been named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReportedProof {
    version: WeightsVersion,
    age_ms: u64,
}

/// A proof that another router's report has added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedProof {
    /// The model.
    pub model: ModelName,
    /// The proof, on this host's clock.
    pub proof: WeightsProof,
}

impl WeightsReport {
    /// What is known now. `read_age` is the time since the newest complete read of the targets was sent.
    pub fn new(weights: &WeightsTable, read_age: Option<Duration>, now: BootTime) -> WeightsReport {
        let models = weights.targets().take(MAX_MODELS).map(|(model, target)| ModelReport {
            model: model.clone(),
            target,
            read_age_ms: read_age.map(reported_ms),
            proofs: weights
                .proofs(model)
                .iter()
                .map(|proof| ReportedProof {
                    version: proof.version,
                    age_ms: reported_ms(now.since(proof.proven_at)),
                })
                .collect(),
        });
        WeightsReport { models: models.collect() }
    }

    /// Adds what the report proves of versions older than the known targets. The report answers a question of this
    /// time: it was made later, so that its ages count from the question at the latest. Returns the proofs that were
    /// not implied by what is known.
    pub fn apply(&self, asked_at: BootTime, weights: &mut WeightsTable) -> Vec<LearnedProof> {
        let mut learned = Vec::new();
        for report in &self.models {
            let Some(target) = weights.target(&report.model) else { continue };
            let proofs = report.all_proofs().filter(|proof| proof.version < target);
            for proof in proofs.filter_map(|proof| proof.since(asked_at)) {
                if weights.add_proof(&report.model, proof) {
                    learned.push(LearnedProof { model: report.model.clone(), proof });
                }
            }
        }
        learned
    }
}

impl ModelReport {
    fn all_proofs(&self) -> impl Iterator<Item = ReportedProof> {
        let read = self.read_age_ms.map(|age_ms| ReportedProof { version: self.target, age_ms });
        self.proofs.iter().copied().chain(read)
    }
}

impl ReportedProof {
    /// The proof on the clock of the host that asked at this time. None if it is older than the boot: at the boot the
    /// version would seem younger than it is.
    fn since(self, asked_at: BootTime) -> Option<WeightsProof> {
        let proven_at = BootTime(asked_at.0.checked_sub(self.age_ms)?);
        Some(WeightsProof { version: self.version, proven_at })
    }
}

fn reported_ms(age: Duration) -> u64 {
    (age.as_millis() as u64).saturating_add(ROUNDING_MS)
}
