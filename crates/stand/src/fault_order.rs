//! What `POST /faults` may ask for.

use serde::Deserialize;
use serde::Serialize;

/// Faults to bring about; absent fields leave things as they are, unknown ones are refused so that
/// a misspelt fault does not pass for one that was survived.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Crash now: all connections drop, memory is lost, and the port refuses for this long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_ms: Option<u64>,
    /// Crash once a prompt or call with this text in it has run; empty for never.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_marker: Option<String>,
    /// How long a crash by the marker lasts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub marker_down_ms: Option<u64>,
    /// Stand still for this long: connections stay open, nothing is read, computed or answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze_ms: Option<u64>,
    /// Take this many times as long; 1 is the usual pace.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
    /// Refuse all work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<bool>,
    /// Share of calls that take effect and whose connection is then closed without an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<f64>,
    /// Answer 503 to everything for this long; 0 ends an outage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage_ms: Option<u64>,
    /// The next so many answers are those of other requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross_answers: Option<u32>,
    /// The next so many streams end early and without an error.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate_streams: Option<u32>,
    /// Tokens that a stream which ends early still gives.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate_after: Option<usize>,
    /// The next so many cache events are lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_events: Option<u32>,
    /// Whether the server is about to leave.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Empty the cache, as a new life would; the incarnation stays.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clear_cache: Option<bool>,
}
