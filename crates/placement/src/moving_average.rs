//! A number learned from samples, shared by threads.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// A number that moves towards each sample by a given part of the way.
#[derive(Debug)]
pub(crate) struct MovingAverage(AtomicU32);

impl MovingAverage {
    pub(crate) fn new(value: f64) -> MovingAverage {
        MovingAverage(AtomicU32::new((value as f32).to_bits()))
    }

    pub(crate) fn value(&self) -> f64 {
        f64::from(f32::from_bits(self.0.load(Ordering::Relaxed)))
    }

    /// Two threads at once may lose one sample, which does no harm to an average.
    pub(crate) fn update(&self, sample: f64, weight: f64) {
        let value = self.value();
        let bits = ((value + (sample - value) * weight) as f32).to_bits();
        self.0.store(bits, Ordering::Relaxed);
    }
}
