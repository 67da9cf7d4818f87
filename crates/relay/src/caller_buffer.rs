//! Bounds what a slow caller costs: memory at the router and time at a server.

/// Bounds for one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes kept for the caller beyond which no more are taken from the server.
    pub max_bytes: usize,
    /// How long the caller may hold up the server in all.
    pub max_held_ms: u64,
    /// Held time that is forgiven for each 100 ms in which the caller keeps up.
    pub forgiven_percent: u64,
    /// How long the caller may take to read the buffered rest once the server's connection is closed.
    pub drain_ms: u64,
}

/// What to do with the two sides of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferStep {
    /// Take what the server sends.
    Read,
    /// Take nothing until the caller has taken some.
    Wait,
    /// Close the attempt and its connection to the server. Repeated until it is closed.
    LetGo,
    /// The server is gone: write what is kept, then end with a typed error.
    Drain,
    /// Cut the caller off.
    CutOff,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading { since_ms: u64 },
    Waiting { since_ms: u64 },
    LetGo { since_ms: u64 },
}

/// The account of one stream.
///
/// A caller that reads nothing, and also one that reads a byte now and then, would keep the
/// server's batch slot for as long as it likes, since the server cannot send on. So it is not the
/// length of one wait that is bounded but the sum of all, less a share of the time without one.
#[derive(Debug)]
pub struct CallerBuffer {
    limits: BufferLimits,
    bytes: usize,
    held_ms: u64,
    phase: Phase,
}

impl CallerBuffer {
    /// Nothing is kept at first.
    pub fn new(limits: BufferLimits, now_ms: u64) -> CallerBuffer {
        CallerBuffer { limits, bytes: 0, held_ms: 0, phase: Phase::Reading { since_ms: now_ms } }
    }

    /// Bytes kept for the caller.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes came from the server.
    pub fn add(&mut self, bytes: usize, now_ms: u64) {
        self.bytes += bytes;
        if let Phase::Reading { since_ms } = self.phase
            && self.limits.max_bytes <= self.bytes
        {
            let forgiven = elapsed(since_ms, now_ms) * self.limits.forgiven_percent / 100;
            self.held_ms = self.held_ms.saturating_sub(forgiven);
            self.phase = Phase::Waiting { since_ms: now_ms };
        }
    }

    /// The caller took bytes. Reading goes on once half of the bound is free, not with each write.
    pub fn take(&mut self, bytes: usize, now_ms: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
        if let Phase::Waiting { since_ms } = self.phase
            && self.bytes <= self.limits.max_bytes / 2
            && now_ms < self.let_go_at(since_ms)
        {
            self.held_ms += elapsed(since_ms, now_ms);
            self.phase = Phase::Reading { since_ms: now_ms };
        }
    }

    /// The attempt was closed.
    pub fn close_server(&mut self, now_ms: u64) {
        self.phase = Phase::LetGo { since_ms: now_ms };
    }

    /// What to do now.
    pub fn step(&self, now_ms: u64) -> BufferStep {
        match self.phase {
            Phase::Reading { .. } => BufferStep::Read,
            Phase::Waiting { since_ms } if now_ms < self.let_go_at(since_ms) => BufferStep::Wait,
            Phase::Waiting { .. } => BufferStep::LetGo,
            Phase::LetGo { since_ms } if now_ms < since_ms + self.limits.drain_ms => {
                BufferStep::Drain
            }
            Phase::LetGo { .. } => BufferStep::CutOff,
        }
    }

    /// When to ask again though nothing has happened, if ever.
    pub fn wake_at(&self) -> Option<u64> {
        match self.phase {
            Phase::Reading { .. } => None,
            Phase::Waiting { since_ms } => Some(self.let_go_at(since_ms)),
            Phase::LetGo { since_ms } => Some(since_ms + self.limits.drain_ms),
        }
    }

    fn let_go_at(&self, since_ms: u64) -> u64 {
        since_ms + self.limits.max_held_ms.saturating_sub(self.held_ms)
    }
}

fn elapsed(since_ms: u64, now_ms: u64) -> u64 {
    now_ms.saturating_sub(since_ms)
}
