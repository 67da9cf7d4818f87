//! How long to pause between tries.

use std::time::Duration;

use uuid::Uuid;

/// Pauses that double up to a limit, each drawn between half and the whole of its length.
#[derive(Clone, Copy, Debug)]
pub struct PausePlan {
    next: Duration,
    shortest: Duration,
    longest: Duration,
}

impl PausePlan {
    /// The first pause is `shortest`, none is over `longest`.
    pub fn new(shortest: Duration, longest: Duration) -> PausePlan {
        PausePlan { next: shortest, shortest, longest }
    }

    /// The next pause. The draw keeps routers that lost the log together from coming back together.
    pub fn next_pause(&mut self) -> Duration {
        let whole = self.next;
        self.next = (whole * 2).min(self.longest);
        let draw = u32::from(Uuid::new_v4().as_bytes()[0]);
        whole / 2 + whole * draw / (2 * u32::from(u8::MAX))
    }

    /// Begins again with the shortest pause.
    pub fn reset(&mut self) {
        self.next = self.shortest;
    }
}
