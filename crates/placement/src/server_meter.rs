//! Current statistics of one server incarnation.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;

use crate::decaying_value::DecayingValue;
use crate::moving_average::MovingAverage;

/// Priority bands for this router's load: the most urgent class, and all others.
pub(crate) const BANDS: usize = 2;
/// Time constant of the average of observed waits.
const WAIT_WINDOW_MS: f64 = 100.0;
/// Decay time of observed waits.
const WAIT_DECAY_MS: f64 = 300.0;
/// Minimum weight of a new wait sample.
const MIN_WAIT_WEIGHT: f64 = 0.1;
/// Decay time of the reported number of requests.
const REPORT_DECAY_MS: f64 = 1_000.0;
/// A server is stalled if it has not produced a first token for this time in addition to twice its
/// estimated queueing time.
const STALL_TIMEOUT_MS: f64 = 500.0;
/// Minimum uncached tokens for a reply to update the prefill rate.
const MIN_RATE_SAMPLE_TOKENS: f64 = 512.0;
const RATE_INCREASE_WEIGHT: f64 = 0.1;
const RATE_DECREASE_WEIGHT: f64 = 0.002;
/// Initial estimate of the fraction of anchor tokens cached at the owner.
const INITIAL_OWNER_HIT: f64 = 0.3;
const OWNER_HIT_WEIGHT: f64 = 0.02;
const INITIAL_LIFETIME_MS: f64 = 2_000.0;
const MIN_LIFETIME_MS: f64 = 100.0;
const LIFETIME_WEIGHT: f64 = 0.05;

/// Identifies one incarnation of a server within a router. Hints about an earlier incarnation never
/// match a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub(crate) u32);

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ServerStanding {
    /// The server accepts new requests.
    InUse = 0,
    /// The server is ejected, leaving or drained.
    OutOfUse = 1,
}

/// Server statistics from a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplyStats {
    /// The server incarnation that replied.
    pub incarnation: Incarnation,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Uncached tokens queued for prefill at the server.
    pub queue_tokens: u32,
    /// Requests in progress at the server.
    pub running: u32,
    /// Time from sending the request to its first token.
    pub ttft_ms: f64,
}

/// Current statistics of one server incarnation, shared by all fleet snapshots and threads. Fields are
/// updated independently; readers may see a mix of old and new values.
#[derive(Debug)]
pub struct ServerMeter {
    id: ServerId,
    name: ServerName,
    incarnation: Incarnation,
    standing: AtomicU8,
    own_requests: AtomicU32,
    own_waiting: AtomicU32,
    own_tokens: [AtomicU64; BANDS],
    /// Reported number of requests in the low half, own requests at that time in the high half.
    report: AtomicU64,
    report_ms: AtomicU64,
    queue_tokens: AtomicU32,
    /// Time of the last first token, or of the first request sent while none was waiting.
    progress_ms: AtomicU64,
    waits: [DecayingValue; BANDS],
    rate: MovingAverage,
    owner_hit_ratio: MovingAverage,
    lifetime_ms: MovingAverage,
    hints_valid_from_ms: AtomicU64,
}

impl ServerMeter {
    pub(crate) fn new(
        id: ServerId,
        name: ServerName,
        incarnation: Incarnation,
        tokens_per_ms: f64,
    ) -> ServerMeter {
        ServerMeter {
            id,
            name,
            incarnation,
            standing: AtomicU8::new(ServerStanding::InUse as u8),
            own_requests: AtomicU32::new(0),
            own_waiting: AtomicU32::new(0),
            own_tokens: Default::default(),
            report: AtomicU64::new(0),
            report_ms: AtomicU64::new(0),
            queue_tokens: AtomicU32::new(0),
            progress_ms: AtomicU64::new(0),
            waits: Default::default(),
            rate: MovingAverage::new(tokens_per_ms),
            owner_hit_ratio: MovingAverage::new(INITIAL_OWNER_HIT),
            lifetime_ms: MovingAverage::new(INITIAL_LIFETIME_MS),
            hints_valid_from_ms: AtomicU64::new(0),
        }
    }

    /// The id of this incarnation.
    pub fn id(&self) -> ServerId {
        self.id
    }

    /// The server's name.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// The server incarnation being measured.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Enables or disables the server for new requests. Takes effect with the next choice on any
    /// thread.
    pub fn set_standing(&self, standing: ServerStanding) {
        self.standing.store(standing as u8, Ordering::Relaxed);
    }

    /// This router's requests in progress.
    pub fn own_requests(&self) -> u32 {
        self.own_requests.load(Ordering::Relaxed)
    }

    /// Uncached tokens of this router's requests that wait for their first token.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens.iter().map(|tokens| tokens.load(Ordering::Relaxed)).sum()
    }

    /// Uncached tokens queued at the server, from its last reply.
    pub fn queue_tokens(&self) -> u32 {
        self.queue_tokens.load(Ordering::Relaxed)
    }

    /// Estimated prefill rate, in tokens per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        self.rate.value()
    }

    /// Estimated fraction of an anchor's tokens that is cached on its owner.
    pub fn owner_hit_ratio(&self) -> f64 {
        self.owner_hit_ratio.value()
    }

    /// Estimated time that a prefix stays cached after its last use by this router.
    pub fn lifetime_ms(&self) -> f64 {
        self.lifetime_ms.value()
    }

    /// Estimated number of requests at the server: this router's own, and other routers' from the
    /// last report, with decay.
    pub fn occupancy(&self, now_ms: u64) -> f64 {
        let word = self.report.load(Ordering::Relaxed);
        let own_requests = f64::from(self.own_requests());
        let own_at_report = f64::from((word >> 32) as u32);
        let other_requests = (f64::from(word as u32) - own_at_report).max(0.0);
        let age = now_ms.saturating_sub(self.report_ms.load(Ordering::Relaxed));
        own_requests + other_requests * (-(age as f64) / REPORT_DECAY_MS).exp()
    }

    /// Estimated time that a request of the band waits for its prefill to start.
    pub(crate) fn wait_ms(&self, band: usize, now_ms: u64) -> f64 {
        let observed = self.waits[band].value(now_ms, WAIT_DECAY_MS);
        let queued_ahead: u64 =
            self.own_tokens[..=band].iter().map(|tokens| tokens.load(Ordering::Relaxed)).sum();
        observed.max(queued_ahead as f64 / self.prefill_rate())
    }

    /// Whether the server is enabled and not stalled.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        let is_in_use = self.standing.load(Ordering::Relaxed) == ServerStanding::InUse as u8;
        is_in_use && !self.is_stalled(now_ms)
    }

    /// Detects a frozen server, which would otherwise look idle because its reports no longer
    /// change. It is excluded until it produces a token.
    fn is_stalled(&self, now_ms: u64) -> bool {
        if self.own_waiting.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let waited = now_ms.saturating_sub(self.progress_ms.load(Ordering::Relaxed)) as f64;
        let queued = self.own_tokens() as f64 + f64::from(self.queue_tokens());
        STALL_TIMEOUT_MS + 2.0 * queued / self.prefill_rate() < waited
    }

    pub(crate) fn begin_request(&self, band: usize, tokens: u64, now_ms: u64) {
        self.own_requests.fetch_add(1, Ordering::Relaxed);
        self.own_tokens[band].fetch_add(tokens, Ordering::Relaxed);
        if self.own_waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.progress_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    pub(crate) fn end_wait(&self, band: usize, tokens: u64) {
        self.own_tokens[band].fetch_sub(tokens, Ordering::Relaxed);
        self.own_waiting.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn record_progress(&self, now_ms: u64) {
        self.progress_ms.store(now_ms, Ordering::Relaxed);
    }

    pub(crate) fn end_request(&self) {
        self.own_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Updates load and prefill rate from a reply.
    pub(crate) fn record_reply(&self, band: usize, reply: &ReplyStats, now_ms: u64) {
        let report = u64::from(reply.running) | (u64::from(self.own_requests()) << 32);
        self.report.store(report, Ordering::Relaxed);
        self.report_ms.store(now_ms, Ordering::Relaxed);
        self.queue_tokens.store(reply.queue_tokens, Ordering::Relaxed);
        self.progress_ms.store(now_ms, Ordering::Relaxed);
        let uncached = f64::from(reply.prompt_tokens.saturating_sub(reply.cached_tokens));
        if MIN_RATE_SAMPLE_TOKENS <= uncached && 0.0 < reply.ttft_ms {
            // Queueing only lowers the measured rate, so increases are followed quickly.
            let sample = uncached / reply.ttft_ms;
            let weight = if self.prefill_rate() < sample {
                RATE_INCREASE_WEIGHT
            } else {
                RATE_DECREASE_WEIGHT
            };
            self.rate.update(sample, weight);
        }
        let wait = (reply.ttft_ms - uncached / self.prefill_rate()).max(0.0);
        self.waits[band].update_average(wait, now_ms, WAIT_WINDOW_MS, MIN_WAIT_WEIGHT);
    }

    /// Updates the estimated cache hit ratio of prompts sent to their owner.
    pub(crate) fn record_owner_hit(&self, share: f64) {
        self.owner_hit_ratio.update(share, OWNER_HIT_WEIGHT);
    }

    /// Updates the estimated lifetime of cached prefixes from a hint of this age that proved right
    /// or wrong.
    pub(crate) fn record_lifetime(&self, age_ms: f64, outcome: CacheOutcome) {
        let lifetime = self.lifetime_ms();
        let agrees = match outcome {
            CacheOutcome::Hit => age_ms <= lifetime,
            CacheOutcome::Miss => lifetime <= age_ms,
        };
        if !agrees {
            self.lifetime_ms.update(age_ms.max(MIN_LIFETIME_MS), LIFETIME_WEIGHT);
        }
    }

    /// Invalidates all hints recorded before this time.
    pub(crate) fn invalidate_hints(&self, now_ms: u64) {
        self.hints_valid_from_ms.store(now_ms, Ordering::Relaxed);
    }

    pub(crate) fn hints_valid_from_ms(&self) -> u64 {
        self.hints_valid_from_ms.load(Ordering::Relaxed)
    }
}

/// Whether a predicted prefix was cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CacheOutcome {
    Hit,
    Miss,
}
