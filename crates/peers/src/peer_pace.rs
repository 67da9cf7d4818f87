//! Timing and rate limits of the protocol.

/// Protocol intervals and limits. All hosts of a fleet should use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerPace {
    /// Gossip interval.
    pub gossip_interval_ms: u64,
    /// Probe interval.
    pub probe_interval_ms: u64,
    /// Time without an answer after which indirect probes are requested.
    pub probe_timeout_ms: u64,
    /// Anti-entropy interval.
    pub anti_entropy_interval_ms: u64,
    /// Number of neighbors that receive gossip per round.
    pub fanout: usize,
    /// Maximum bytes of records in one gossip frame.
    pub max_gossip_bytes: usize,
    /// Sustained limit for bytes sent, not counting probes.
    pub bytes_per_s: u64,
    /// Burst limit for bytes sent, not counting probes.
    pub burst_bytes: u64,
    /// Time between calls after which the process is considered to have been paused.
    pub pause_threshold_ms: u64,
    /// Idle time after which the side that opened a link closes it. The accepting side waits three
    /// times as long.
    pub idle_timeout_ms: u64,
    /// Interval of attempts to contact seeds that are not members, and members that are gone.
    pub reconnect_interval_ms: u64,
}

impl Default for PeerPace {
    fn default() -> PeerPace {
        PeerPace {
            gossip_interval_ms: 200,
            probe_interval_ms: 1_000,
            probe_timeout_ms: 400,
            anti_entropy_interval_ms: 5_000,
            fanout: 2,
            max_gossip_bytes: 4_096,
            bytes_per_s: 7_000,
            burst_bytes: 48 * 1_024,
            pause_threshold_ms: 3_000,
            idle_timeout_ms: 60_000,
            reconnect_interval_ms: 2_000,
        }
    }
}

impl PeerPace {
    /// Time that a suspected host has to refute. Both the suspicion and its refutation take a time
    /// logarithmic in the fleet size to spread.
    pub fn suspicion_ms(&self, hosts: usize) -> u64 {
        self.probe_interval_ms * (3 + log2_ceil(hosts))
    }
}

/// Number of times a host sends an urgent record: once per neighbor, and two more for neighbors
/// that are replaced meanwhile.
pub(crate) const URGENT_SENDS: u32 = 10;
/// Number of times a host sends a lazy record.
pub(crate) const LAZY_SENDS: u32 = 3;

fn log2_ceil(hosts: usize) -> u64 {
    u64::from(usize::BITS - hosts.leading_zeros())
}
