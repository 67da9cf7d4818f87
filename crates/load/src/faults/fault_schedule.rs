//! Which fault comes when.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde::Serialize;

use super::fault_kind::FaultKind;

/// In the phase `Twice` the second comes so much of a slot after the first.
const SECOND_AFTER: f64 = 0.15;

/// How the faults of a slot meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultPhase {
    /// One fault.
    Alone,
    /// The same fault again, elsewhere, before the first is over.
    Twice,
    /// Two kinds at once.
    Together,
}

/// One fault of a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it comes, from the beginning of the schedule.
    pub at: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// Draws the target: an index into what the kind is about, modulo its number.
    pub target: usize,
}

/// A stretch of time with its faults; the rest of it is for recovery.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSlot {
    /// How the faults meet.
    pub phase: FaultPhase,
    /// Its faults.
    pub faults: Vec<ScheduledFault>,
}

/// All slots, one after the other.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// Length of each slot.
    pub slot: Duration,
    /// The slots in their order.
    pub slots: Vec<FaultSlot>,
}

impl FaultSchedule {
    /// Draws a schedule: each kind alone, each kind twice, and each kind together with another one
    /// drawn by the seed, in an order drawn by the seed.
    pub fn draw(seed: u64, slot: Duration, kinds: &[FaultKind]) -> FaultSchedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut slots: Vec<(FaultPhase, Vec<FaultKind>)> = Vec::new();
        slots.extend(kinds.iter().map(|kind| (FaultPhase::Alone, vec![*kind])));
        slots.extend(kinds.iter().map(|kind| (FaultPhase::Twice, vec![*kind, *kind])));
        let mut others = kinds.to_vec();
        others.shuffle(&mut rng);
        let pairs = others.chunks(2).filter(|pair| pair.len() == 2);
        slots.extend(pairs.map(|pair| (FaultPhase::Together, pair.to_vec())));
        slots.shuffle(&mut rng);
        let slots = (0..).zip(slots).map(|(index, (phase, kinds))| {
            let begin = slot * index;
            let fault = |(number, kind): (usize, FaultKind)| {
                let later =
                    if phase == FaultPhase::Twice { number as f64 * SECOND_AFTER } else { 0.0 };
                ScheduledFault {
                    at: begin + slot.mul_f64(later),
                    kind,
                    target: rng.random_range(0..1_000),
                }
            };
            FaultSlot { phase, faults: kinds.into_iter().enumerate().map(fault).collect() }
        });
        FaultSchedule { slot, slots: slots.collect() }
    }

    /// Length of the whole schedule.
    pub fn duration(&self) -> Duration {
        self.slot * self.slots.len() as u32
    }

    /// All faults in the order of their times.
    pub fn faults(&self) -> Vec<ScheduledFault> {
        self.slots.iter().flat_map(|slot| slot.faults.iter().copied()).collect()
    }
}
