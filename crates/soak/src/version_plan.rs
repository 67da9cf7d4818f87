//! Rollouts of software versions.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::FaultPlan;
use crate::FaultStep;
use crate::SoakFault;

/// The first rollout begins early, so that most of the run has several versions.
const FIRST_WAVE_MS: Range<u64> = 200..1_000;
/// Later ones overlap with it, or follow.
const WAVE_PAUSE_MS: Range<u64> = 1_000..4_000;
/// Pause between two servers of a rollout.
const STEP_PAUSE_MS: Range<u64> = 100..900;
/// Versions of the rollouts; the last one goes back to the first version.
const VERSIONS: [u32; 3] = [2, 3, 1];
/// Keeps these draws from those of other kinds.
const VERSION_DRAWS: u64 = 0x7665_7273;

impl FaultPlan {
    /// Beside all else the engines get other software versions, in rollouts that overlap.
    pub fn with_versions(mut self, engines: Range<usize>, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ VERSION_DRAWS);
        let latest = length.as_millis() as u64;
        let mut begins = rng.random_range(FIRST_WAVE_MS);
        for version in VERSIONS {
            let mut at = begins;
            let count = rng.random_range(2..engines.len());
            let first = rng.random_range(0..engines.len());
            for turn in 0..count {
                let engine = engines.start + (first + turn) % engines.len();
                let fault = SoakFault::Upgrade(engine, version);
                let step = FaultStep {
                    at: Duration::from_millis(at.min(latest)),
                    lasts: Duration::ZERO,
                    fault,
                };
                self.steps.push(step);
                at += rng.random_range(STEP_PAUSE_MS);
            }
            begins += rng.random_range(WAVE_PAUSE_MS);
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Whether engines get other software versions.
    pub(crate) fn has_versions(&self) -> bool {
        self.steps.iter().any(|step| matches!(step.fault, SoakFault::Upgrade(..)))
    }
}
