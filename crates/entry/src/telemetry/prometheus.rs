//! Metrics in the Prometheus text format.

use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::CheckVerdict;
use fulmargate_dispatch::EndVerdict;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::ResponseEnd;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::SuspectChange;
use fulmargate_dispatch::SuspectKind;
use fulmargate_names::TeamName;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::state::boot_now;

/// Histogram buckets in seconds. Kept few because latency histograms are labelled by team.
const LATENCY_BUCKETS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the global metrics recorder.
pub(crate) fn install_metrics() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let seconds = Matcher::Suffix("_seconds".to_owned());
        builder.set_buckets_for_metric(seconds, &LATENCY_BUCKETS).ok()?.install_recorder().ok()
    });
}

/// Counts a request sent to a backend server.
pub(crate) fn count_send(reason: &'static str) {
    metrics::counter!("fulmargate_sends_total", "reason" => reason).increment(1);
}

/// Counts a response of a backend server whose body was read to its end.
pub(crate) fn count_response_end(end: ResponseEnd, verdict: EndVerdict) {
    let labels = [
        ("framing", end.framing.to_string()),
        ("end", end.transport.to_string()),
        ("content", end.content.to_string()),
        ("verdict", verdict_label(verdict).to_owned()),
    ];
    metrics::counter!("fulmargate_response_ends_total", &labels).increment(1);
}

/// Counts a connection attempt to a backend server.
pub(crate) fn count_connect(end: &'static str) {
    metrics::counter!("fulmargate_connects_total", "end" => end).increment(1);
}

/// Counts a request that was forwarded to another host, or came from one.
pub(crate) fn count_forward(outcome: &'static str) {
    metrics::counter!("fulmargate_forwards_total", "outcome" => outcome).increment(1);
}

/// Counts each time this host attributes connection failures to its own network.
pub(crate) fn count_local_network_suspicion() {
    metrics::counter!("fulmargate_self_doubts_total").increment(1);
}

/// Counts bytes of log records served to another router.
pub(crate) fn count_records_served(topic: LogTopic, bytes: usize) {
    let topic = topic_label(topic);
    metrics::counter!("fulmargate_handed_on_bytes_total", "topic" => topic).increment(bytes as u64);
}

/// Counts record requests from other routers that were rejected because this host's link is saturated.
pub(crate) fn count_records_rejected(topic: LogTopic) {
    metrics::counter!("fulmargate_hand_on_refusals_total", "topic" => topic_label(topic))
        .increment(1);
}

/// Counts pages of listings of a topic: `read`, `failed`.
pub(crate) fn count_listed_page(topic: LogTopic, outcome: &'static str) {
    let labels = [("topic", topic_label(topic)), ("outcome", outcome)];
    metrics::counter!("fulmargate_listed_pages_total", &labels).increment(1);
}

/// Returns the topic's name in metric labels and log lines.
pub(crate) fn topic_label(topic: LogTopic) -> &'static str {
    match topic {
        LogTopic::Operator => "operator",
        LogTopic::Servers => "servers",
        LogTopic::Fleet => "fleet",
        LogTopic::Streams => "streams",
    }
}

/// Records how long a prompt waited in the queue for an engine.
pub(crate) fn record_engine_wait(outcome: &'static str, took: Duration) {
    metrics::histogram!("fulmargate_wait_seconds", "outcome" => outcome).record(took.as_secs_f64());
}

/// Counts a request that the rate limit of a server admitted, or that waited or was rejected for it.
pub(crate) fn count_limit_decision(outcome: &'static str) {
    metrics::counter!("fulmargate_limit_decisions_total", "outcome" => outcome).increment(1);
}

/// Counts a stream that a caller takes up, by what became of it and where its origin was found.
pub(crate) fn count_taken_up(outcome: &'static str, source: &str) {
    let labels = [("outcome", outcome.to_owned()), ("source", source.to_owned())];
    metrics::counter!("fulmargate_streams_taken_up_total", &labels).increment(1);
}

/// Counts records of streams that were published or stored, and messages with such records that were lost.
pub(crate) fn count_binding(outcome: &'static str, count: usize) {
    metrics::counter!("fulmargate_stream_records_total", "outcome" => outcome)
        .increment(count as u64);
}

/// Counts a check of a server that broke off requests.
pub(crate) fn count_crash_check(verdict: CheckVerdict) {
    let verdict = verdict.to_string();
    metrics::counter!("fulmargate_crash_checks_total", "verdict" => verdict).increment(1);
}

/// Counts a crash that counts against a request, by how this host learned of it.
pub(crate) fn count_suspect_change(source: &'static str, change: &SuspectChange) {
    let standing = if change.is_convicted { "convicted" } else { "suspected" };
    let unit = match change.kind {
        SuspectKind::Request => "request",
        SuspectKind::Part => "part",
    };
    let labels = [("source", source), ("standing", standing), ("unit", unit)];
    metrics::counter!("fulmargate_suspect_changes_total", &labels).increment(1);
}

/// Counts a caller's connection that was closed unread.
pub(crate) fn count_refused_connection() {
    metrics::counter!("fulmargate_refused_connections_total").increment(1);
}

/// Counts a caller's connection that was closed before its time, by what it was doing.
pub(crate) fn count_closed_client(reason: &'static str, phase: &'static str) {
    let labels = [("reason", reason), ("phase", phase)];
    metrics::counter!("fulmargate_closed_clients_total", &labels).increment(1);
}

/// Counts a request that is charged to its team's quota, and the tokens it asks for.
pub(crate) fn count_quota_request(team: &TeamName, is_admitted: bool, tokens: u64) {
    let outcome = if is_admitted { "admitted" } else { "refused" };
    let labels = [("team", team.as_str().to_owned()), ("outcome", outcome.to_owned())];
    metrics::counter!("fulmargate_quota_tokens_total", &labels).increment(tokens);
    metrics::counter!("fulmargate_quota_requests_total", "outcome" => outcome).increment(1);
}

/// Records a finished request. For a stream, `took` covers the whole stream.
pub(crate) fn record_response(request: &CallFacts, status: u16, took: Duration) {
    let team = request.team.as_ref().map_or("none", |team| team.as_str()).to_owned();
    let kind = route_kind_label(request.route.kind);
    let labels = [("team", team), ("kind", kind.to_owned())];
    metrics::histogram!("fulmargate_answer_seconds", &labels).record(took.as_secs_f64());
    metrics::counter!("fulmargate_answers_total", "kind" => kind, "status" => status.to_string())
        .increment(1);
}

/// Renders all metrics as text. Rendering also drains the histogram samples that the recorder buffers.
pub(crate) fn render_metrics(state: &SharedState) -> String {
    metrics::gauge!("fulmargate_open_requests")
        .set(state.open_requests.load(Ordering::Relaxed) as f64);
    metrics::gauge!("fulmargate_open_connections")
        .set(state.open_connections.load(Ordering::Relaxed) as f64);
    metrics::gauge!("fulmargate_held_bytes").set(state.held_memory.used_bytes() as f64);
    metrics::gauge!("fulmargate_forwarded_bytes").set(state.forward_memory.used_bytes() as f64);
    if let Some(table) = state.table.load_full() {
        metrics::gauge!("fulmargate_config_version").set(table.version().0 as f64);
    }
    if let Some(age) = state.proof().age(boot_now()) {
        metrics::gauge!("fulmargate_config_proof_age_seconds").set(age.as_secs_f64());
    }
    if let Some(age) = state.quotas().report_age(Instant::now()) {
        metrics::gauge!("fulmargate_quota_report_age_seconds").set(age.as_secs_f64());
    }
    metrics::gauge!("fulmargate_limited_servers").set(state.servers().limited_count() as f64);
    let unreached = state.servers().reach_report(true).unreached.len();
    metrics::gauge!("fulmargate_unreached_services").set(unreached as f64);
    metrics::gauge!("fulmargate_waiting_prompts").set(state.prompt_queue.len() as f64);
    metrics::gauge!("fulmargate_servers").set(state.servers().states().count() as f64);
    match HANDLE.get() {
        Some(Some(handle)) => handle.render(),
        _ => String::new(),
    }
}

fn verdict_label(verdict: EndVerdict) -> &'static str {
    match verdict {
        EndVerdict::Complete => "complete",
        EndVerdict::Unconfirmed => "unconfirmed",
        EndVerdict::BrokenOff(_) => "broken_off",
    }
}

fn route_kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream(_) => "stream",
    }
}
