//! How long to pause between tries.

use std::time::Duration;

/// Pauses that double up to a limit, each drawn between half and the whole of its length.
#[derive(Clone, Copy, Debug)]
pub struct PausePlan {
    next: Duration,
    shortest: Duration,
    longest: Duration,
    draw: u64,
}

impl PausePlan {
    /// The first pause is `shortest`, none is over `longest`. Plans with other seeds draw other pauses, so that routers that
    /// lost the log together don't come back together.
    pub fn new(shortest: Duration, longest: Duration, seed: u64) -> PausePlan {
        PausePlan { next: shortest, shortest, longest, draw: seed }
    }

    /// The next pause.
    pub fn next_pause(&mut self) -> Duration {
        let whole = self.next;
        self.next = (whole * 2).min(self.longest);
        whole / 2 + (whole / 2).mul_f64(self.next_draw())
    }

    /// Begins again with the shortest pause.
    pub fn reset(&mut self) {
        self.next = self.shortest;
    }

    /// The next number from 0 to 1, by splitmix64.
    fn next_draw(&mut self) -> f64 {
        self.draw = self.draw.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.draw;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
    }
}
