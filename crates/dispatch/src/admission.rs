//! Whether a prompt goes to an engine now, waits here, or is refused.
//!
//! Answers bursts, and fleets that shrank. Engines read what they have admitted in the order of arrival,
//! whatever its rank, so that what lies in an engine's queue can neither be overtaken by something
//! shorter nor moved when the engine crashes or loads weights. Each engine therefore gets little more
//! than it reads at the moment, and the rest waits at the routers.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::CallFacts;
use crate::EngineChoice;
use crate::PlacementRequest;
use crate::experiment::Mechanism;
use crate::experiment::is_on;

/// Reading that may wait at an engine when a prompt is sent there. It covers the way of an answer to the
/// router and of the next prompt back, some 10 ms, and the time until other routers hear of it, some
/// 30 ms. With 10 to 120 ms a fleet under bursts of 2.5 times the load answered the same share of its
/// requests in time, within noise; with no limit 62 of 100 short ones instead of 86.
const MOST_QUEUE_MS: f64 = 50.0;
/// Prompts up to this length never wait. Reading one takes an engine some 50 ms at most, so that holding
/// it back would gain nothing for others.
const SHORT_TOKENS: u32 = 2_500;
/// From this share of its target on a prompt that still waits is late: the rest is needed for reading it.
const TIMELY_SHARE: f64 = 0.8;
/// A late prompt waits this many targets while nothing timely does. Later its caller would be about to
/// leave: callers leave a stream that has not begun after four targets or two seconds.
const LATE_TARGETS: f64 = 1.5;
/// Callers with less than this share of the route's timeout left have come before: the timeout is
/// counted from their first try.
const FIRST_TRY_SHARE: f64 = 0.97;
/// The shortest time that a caller is told to wait before it comes back.
const LEAST_WAIT: Duration = Duration::from_millis(300);
/// Callers are spread over so much more, so that those refused in one moment do not come back in one.
const WAIT_SPREAD: Duration = Duration::from_millis(2_000);

/// Whether a prompt is too short to gain anything by its waiting.
pub(crate) fn is_short(call: &CallFacts) -> bool {
    call.prompt_tokens() <= SHORT_TOKENS
}

/// Whether the prompt may go to this engine now. A stream that goes on has waited already.
///
/// The other routers' words are up to `gossip_interval` old, and the engine has read that much since. In a
/// fleet of 90 routers, whose words are 600 ms apart, prompts waited for engines that had long been idle.
pub(crate) fn has_room(
    wish: &PlacementRequest,
    choice: &EngineChoice,
    gossip_interval: Duration,
) -> bool {
    choice.queue_ms <= MOST_QUEUE_MS + gossip_interval.as_secs_f64() * 1_000.0
        || is_short(&wish.call)
        || wish.only_weights.is_some()
        || !is_on(Mechanism::RequestQueue)
}

/// Whether a waiting prompt can hardly be answered in time any more, or is a caller's second try, whose
/// time ran out before it came.
pub(crate) fn is_late(call: &CallFacts, now: Instant) -> bool {
    let waited = now.saturating_duration_since(call.arrived);
    call.route.target_latency.mul_f64(TIMELY_SHARE) < waited || is_second_try(call)
}

fn is_second_try(call: &CallFacts) -> bool {
    let patience = call.deadline.saturating_duration_since(call.arrived);
    patience < call.route.timeout.mul_f64(FIRST_TRY_SHARE)
}

/// Whether a waiting prompt is refused, and when its caller should come back.
///
/// While others wait that can be answered in time, a late one is refused at once: held on, it would
/// be left behind until its caller leaves without an answer. Under bursts 317 of 1,516 long prompts were
/// left so, with refusals 109. A second try may wait longer, as its caller has no third.
pub(crate) fn refusal(call: &CallFacts, has_timely: bool, now: Instant) -> Option<Duration> {
    if !is_late(call, now) || !is_on(Mechanism::Refusal) {
        return None;
    }
    let waited = now.saturating_duration_since(call.arrived);
    let targets = match has_timely && !is_second_try(call) {
        true => TIMELY_SHARE,
        false => LATE_TARGETS,
    };
    (call.route.target_latency.mul_f64(targets) < waited).then(|| retry_after(call))
}

/// When the caller should come back, drawn by its request.
fn retry_after(call: &CallFacts) -> Duration {
    let draw = (xxh3_64(call.id.as_str().as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    LEAST_WAIT + WAIT_SPREAD.mul_f64(draw)
}
