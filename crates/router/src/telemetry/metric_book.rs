//! Metrics in Prometheus text.

use std::sync::OnceLock;
use std::time::Duration;

use fulmargate_names::Disposition;
use fulmargate_names::TeamName;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::state::RouterState;

/// Upper bounds in seconds. 11,000 teams make the number of buckets the cost of a histogram.
const TIME_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 5.0, 30.0];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// What one request adds to the histograms of its team and class.
pub(crate) struct RequestMetrics<'a> {
    pub(crate) team: &'a TeamName,
    pub(crate) class: &'a str,
}

impl RequestMetrics<'_> {
    /// The first token came.
    pub(crate) fn first_token(&self, ttft: Duration, prompt_tokens: u32, cached_tokens: u32) {
        let labels = [("team", self.team.to_string()), ("class", self.class.to_owned())];
        metrics::histogram!("fulmargate_ttft_seconds", &labels).record(ttft.as_secs_f64());
        metrics::counter!("fulmargate_prompt_tokens_total", &labels)
            .increment(u64::from(prompt_tokens));
        metrics::counter!("fulmargate_cached_tokens_total", &labels)
            .increment(u64::from(cached_tokens));
    }

    /// The request was answered with an error.
    pub(crate) fn refused(&self, code: &'static str, disposition: Disposition) {
        metrics::counter!(
            "fulmargate_errors_total",
            "team" => self.team.to_string(),
            "class" => self.class.to_owned(),
            "code" => code,
            "disposition" => disposition.as_str()
        )
        .increment(1);
    }
}

/// Installs the recorder; once a process, also when several routers run in it.
pub(crate) fn install_metrics() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let builder =
            builder.set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &TIME_BUCKETS);
        builder.ok()?.install_recorder().ok()
    });
}

/// The metrics as text.
pub(crate) fn render_metrics(state: &RouterState) -> String {
    let host = state.host.to_string();
    metrics::gauge!("fulmargate_open_requests", "host" => host.clone())
        .set(state.open.open() as f64);
    tell_peer_bytes(state);
    if let Some(table) = state.routes.load_full() {
        metrics::gauge!("fulmargate_config_version", "host" => host).set(table.version.0 as f64);
        for (model, route) in &table.models {
            for reason in fulmargate_placement::ChoiceReason::ALL {
                let count = route.placer.reasons().count(reason);
                metrics::counter!("fulmargate_choices_total", "model" => model.to_string(), "reason" => reason.name())
                    .absolute(count);
            }
        }
    }
    match HANDLE.get() {
        Some(Some(handle)) => handle.render(),
        _ => String::new(),
    }
}

fn tell_peer_bytes(state: &RouterState) {
    for row in state.peer_bytes.rows() {
        for (direction, bytes) in [("sent", row.sent), ("received", row.received)] {
            metrics::counter!(
                "fulmargate_peer_bytes_total",
                "host" => state.host.to_string(),
                "kind" => row.kind.name(),
                "direction" => direction
            )
            .absolute(bytes);
        }
    }
}
