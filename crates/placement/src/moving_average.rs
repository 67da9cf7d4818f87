//! An atomic exponential moving average.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// An exponential moving average with a weight given for each sample.
#[derive(Debug)]
pub(crate) struct MovingAverage(AtomicU32);

impl MovingAverage {
    pub(crate) fn new(value: f64) -> MovingAverage {
        MovingAverage(AtomicU32::new((value as f32).to_bits()))
    }

    pub(crate) fn value(&self) -> f64 {
        f64::from(f32::from_bits(self.0.load(Ordering::Relaxed)))
    }

    /// Concurrent updates may lose a sample, which an average tolerates.
    pub(crate) fn update(&self, sample: f64, weight: f64) {
        let value = self.value();
        let bits = ((value + (sample - value) * weight) as f32).to_bits();
        self.0.store(bits, Ordering::Relaxed);
    }
}
