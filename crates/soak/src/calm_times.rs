//! Leaves out faults that would keep cuts of hosts and brittle servers from being judged.

use std::time::Duration;

use crate::FaultPlan;
use crate::FaultStep;
use crate::SoakFault;

/// Time before a judged fault, and after the end of a disturbance, in which routers recover.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

impl FaultPlan {
    /// Without the faults that disturb routers during the cuts of hosts and while servers are brittle. Others stay.
    pub fn with_calm_times(mut self) -> FaultPlan {
        let is_judged = |step: &&FaultStep| {
            matches!(step.fault, SoakFault::CutHost(..) | SoakFault::Brittle(_))
        };
        let judged: Vec<FaultStep> = self.steps.iter().filter(is_judged).copied().collect();
        let is_apart = |step: &FaultStep, judged: &FaultStep| {
            step.at + step.lasts + RECOVERY_TIME < judged.at || judged.at + judged.lasts < step.at
        };
        let disturbs =
            |step: &FaultStep| (0..self.routers).any(|router| step.fault.disturbs(router));
        self.steps
            .retain(|step| !disturbs(step) || judged.iter().all(|judged| is_apart(step, judged)));
        self
    }
}
