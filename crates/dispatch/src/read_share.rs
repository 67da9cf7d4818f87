//! How fast a host may read in bulk.
//!
//! Answers loads at which a host that has just started fills its small link with what it reads, and callers
//! and other routers do not get through.

use std::time::Duration;

use tokio::time::Instant;

/// The share of a link for reads in bulk. Callers' answers and the routers' words take up to a third of a link
/// of 10 Mbit/s; with a quarter more there is as much again for what comes unevenly.
const LINK_SHARE: f64 = 0.25;
/// A history that could not be read is asked for again after this time, and after twice as long each time
/// that this fails.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);
/// But after this at most: engines that were out of reach tell of their caches within some seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(8_000);

/// Paces reads in bulk to a share of the host's link, by the bytes that came.
#[derive(Clone, Copy, Debug)]
pub struct ReadShare {
    bytes_per_s: f64,
    free_at: Option<Instant>,
}

impl ReadShare {
    /// Nothing was read on a link that carries so much.
    pub fn new(link_bytes_per_s: f64) -> ReadShare {
        ReadShare { bytes_per_s: link_bytes_per_s * LINK_SHARE, free_at: None }
    }

    /// Bytes have come, also of a read that failed afterwards.
    pub fn add(&mut self, bytes: usize, now: Instant) {
        let from = self.free_at.map_or(now, |at| at.max(now));
        self.free_at = Some(from + self.time_of(bytes));
    }

    /// When the next read may begin.
    pub fn wait(&self, now: Instant) -> Duration {
        self.free_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// The time that so many bytes take at the share.
    pub fn time_of(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }
}

/// The pause after so many failures in a row to read what a source has kept. Each failure may have brought
/// most of a page for nothing.
pub fn history_pause(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(u32::BITS - 1);
    FIRST_PAUSE.saturating_mul(1 << doublings).min(LONGEST_PAUSE)
}
