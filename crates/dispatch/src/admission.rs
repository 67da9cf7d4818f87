//! Admission of prompts to engines: a prompt is sent now, queued at the router, or rejected. Authentication and
//! quotas are checked before.
//!
//! Engines prefill in order of arrival. A prompt queued at an engine can neither be overtaken by a
//! shorter one nor moved when the engine crashes or loads weights. So each engine gets little more
//! than it can prefill at the moment, and the rest waits at the routers.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::CallFacts;
use crate::EngineChoice;
use crate::PlacementRequest;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;

/// Prefill time that may be queued at an engine when a prompt is sent there. It covers a round trip between
/// router and engine and the delay of gossip. The round trip takes some 10 ms; until other routers know of
/// the prompt, some 30 ms pass in a small fleet.
const MAX_QUEUE_MS: f64 = 50.0;
/// Prompts up to this length bypass the queue. Holding them back would gain little for others. An engine
/// prefills one in some 50 ms at most.
const MAX_SHORT_TOKENS: u32 = 2_500;
/// A prompt that has waited longer than this share of its target latency is late: the rest of
/// the time is assumed to be needed for prefill.
const LATE_AFTER_SHARE: f64 = 0.8;
/// A late prompt is rejected after this many target latencies even if no timely prompt waits. Callers
/// are assumed to disconnect not much later.
const REJECT_AFTER_TARGETS: f64 = 1.5;
/// A caller with less than this share of the route's timeout left on arrival is assumed to be
/// retrying, with the timeout counted from its first attempt.
const FIRST_ATTEMPT_SHARE: f64 = 0.97;
/// Shortest `retry-after` time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Range of the jitter added to it, to spread the retries.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(2_000);

/// Whether a prompt is short enough to bypass the queue.
pub(crate) fn is_short(call: &CallFacts) -> bool {
    call.prompt_tokens() <= MAX_SHORT_TOKENS
}

/// Whether the prompt may be sent to this engine now. Resumed streams always may.
///
/// The data of other routers is up to `gossip_interval` old, during which the engine keeps
/// prefilling; the limit on queued prefill time is extended by that time.
pub(crate) fn has_room(
    request: &PlacementRequest,
    choice: &EngineChoice,
    gossip_interval: Duration,
) -> bool {
    choice.queue_ms <= MAX_QUEUE_MS + gossip_interval.as_secs_f64() * 1_000.0
        || is_short(&request.call)
        || request.only_weights.is_some()
        || request.only_origin.is_some()
        || !is_enabled(Mechanism::RequestQueue)
}

/// Whether a queued prompt can hardly be answered in time any more. Retries count as late, since
/// their target was missed before they arrived.
pub(crate) fn is_late(call: &CallFacts, now: Instant) -> bool {
    let waited = now.saturating_duration_since(call.arrived);
    call.route.target_latency.mul_f64(LATE_AFTER_SHARE) < waited || is_retry(call)
}

fn is_retry(call: &CallFacts) -> bool {
    let time_budget = call.deadline.saturating_duration_since(call.arrived);
    time_budget < call.route.timeout.mul_f64(FIRST_ATTEMPT_SHARE)
}

/// Returns the retry delay if a queued prompt is rejected.
///
/// A late prompt is rejected as soon as timely ones wait, as it would otherwise wait behind them
/// until its caller disconnects. A retry may wait longer, because its caller is assumed not to try
/// a third time.
pub(crate) fn rejection(call: &CallFacts, has_timely: bool, now: Instant) -> Option<Duration> {
    if !is_late(call, now) || !is_enabled(Mechanism::Refusal) {
        return None;
    }
    let waited = now.saturating_duration_since(call.arrived);
    let max_targets = match has_timely && !is_retry(call) {
        true => LATE_AFTER_SHARE,
        false => REJECT_AFTER_TARGETS,
    };
    (call.route.target_latency.mul_f64(max_targets) < waited).then(|| retry_after(call))
}

/// The time after which a queued prompt is rejected even if no other waits.
pub(crate) fn must_start_by(call: &CallFacts) -> Instant {
    call.deadline.min(call.arrived + call.route.target_latency.mul_f64(REJECT_AFTER_TARGETS))
}

/// Retry delay with jitter derived from the request's id.
fn retry_after(call: &CallFacts) -> Duration {
    let fraction = (xxh3_64(call.id.as_str().as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    MIN_RETRY_AFTER + RETRY_AFTER_JITTER.mul_f64(fraction)
}
