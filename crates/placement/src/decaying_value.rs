//! An atomic value with exponential decay.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A value and the time of its last update, packed into one integer.
/// Times are stored as 32-bit milliseconds and wrap after 49 days.
#[derive(Debug, Default)]
pub(crate) struct DecayingValue(AtomicU64);

impl DecayingValue {
    /// The value after decay.
    pub(crate) fn value(&self, now_ms: u64, window_ms: f64) -> f64 {
        decayed(self.0.load(Ordering::Relaxed), now_ms, window_ms)
    }

    /// Adds to the decayed value.
    pub(crate) fn add(&self, amount: f64, now_ms: u64, window_ms: f64) {
        let change = |word| Some(pack(decayed(word, now_ms, window_ms) + amount, now_ms));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }

    /// Updates an exponential moving average. The sample's weight grows with the time since the
    /// last one and is at least `min_weight`.
    pub(crate) fn update_average(&self, sample: f64, now_ms: u64, window_ms: f64, min_weight: f64) {
        let change = |word| {
            let old = f64::from(f32::from_bits(word as u32));
            let weight = 1.0 - (-f64::from(age_ms(word, now_ms)) / window_ms).exp();
            Some(pack(old + (sample - old) * weight.max(min_weight), now_ms))
        };
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }

    pub(crate) fn set(&self, value: f64, now_ms: u64) {
        self.0.store(pack(value, now_ms), Ordering::Relaxed);
    }
}

fn pack(value: f64, now_ms: u64) -> u64 {
    u64::from((value as f32).to_bits()) | (now_ms << 32)
}

/// Milliseconds since the update; 0 if another thread has updated it with a later time.
fn age_ms(word: u64, now_ms: u64) -> u32 {
    let age = (now_ms as u32).wrapping_sub((word >> 32) as u32);
    if age < u32::MAX / 2 { age } else { 0 }
}

fn decayed(word: u64, now_ms: u64, window_ms: f64) -> f64 {
    let value = f64::from(f32::from_bits(word as u32));
    if value == 0.0 {
        return 0.0;
    }
    value * (-f64::from(age_ms(word, now_ms)) / window_ms).exp()
}
