//! How often and how much the exchange sends.

/// Times and sizes of the exchange. All hosts of a fleet should use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerPace {
    /// Between two rounds of handing on news.
    pub tick_ms: u64,
    /// Between two probes.
    pub period_ms: u64,
    /// Before others are asked to probe too.
    pub probe_timeout_ms: u64,
    /// Between two digests.
    pub digest_ms: u64,
    /// How many neighbours get news in a round.
    pub fanout: usize,
    /// Most bytes of records in one frame of news.
    pub frame_bytes: usize,
    /// What may be spent on news and answers, on average.
    pub bytes_per_s: u64,
    /// What may be spent at once after a quiet time.
    pub burst_bytes: u64,
    /// A host that was not run for so long has been paused.
    pub pause_ms: u64,
    /// A link that was not used for so long is closed by who opened it; the other side waits three
    /// times as long.
    pub idle_ms: u64,
    /// Between two calls on a seed that is not known as a member, and on a member that is gone.
    pub seed_ms: u64,
}

impl Default for PeerPace {
    fn default() -> PeerPace {
        PeerPace {
            tick_ms: 200,
            period_ms: 1_000,
            probe_timeout_ms: 400,
            digest_ms: 5_000,
            fanout: 2,
            frame_bytes: 4_096,
            bytes_per_s: 7_000,
            burst_bytes: 48 * 1_024,
            pause_ms: 3_000,
            idle_ms: 60_000,
            seed_ms: 2_000,
        }
    }
}

impl PeerPace {
    /// How long a suspected host has to refute: time for the suspicion to reach it and for its
    /// answer to come back, both growing with the logarithm of the fleet.
    pub fn suspicion_ms(&self, hosts: usize) -> u64 {
        self.period_ms * (3 + log2_ceil(hosts))
    }
}

/// How often a host hands on an urgent record: once to each neighbour, with two to spare for those
/// that change meanwhile.
pub(crate) const URGENT_SENDS: u32 = 10;
/// How often a host hands on a lazy record.
pub(crate) const LAZY_SENDS: u32 = 3;

fn log2_ceil(hosts: usize) -> u64 {
    u64::from(usize::BITS - hosts.leading_zeros())
}
