//! Reports as tables for people.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

use crate::figures::LatencyFigures;
use crate::figures::RunReport;

/// A table in the style of all of the tool's tables.
pub(super) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(header.to_vec());
    table
}

/// The whole report of one run.
pub(super) fn run_text(report: &RunReport) -> String {
    let mut latency = new_table(&[
        "",
        "prompts",
        "whole",
        "hit rate",
        "ttft p50",
        "p95",
        "p99",
        "between p50",
        "p95",
        "p99",
    ]);
    for (name, figures) in report.classes.iter().chain(&report.teams) {
        latency.add_row(latency_row(name, figures));
    }
    let mut counts = new_table(&["figure", "value"]);
    let mut add = |name: &str, value: String| {
        counts.add_row(vec![name.to_owned(), value]);
    };
    add("calls", report.calls.to_string());
    add("whole", report.whole.to_string());
    add("goodput, calls/s", format!("{:.1}", report.goodput));
    add("hit rate", format!("{:.4}", report.hit_rate));
    add("prompt tokens", report.prompt_tokens.to_string());
    add("recomputed tokens", report.recomputed_tokens.to_string());
    add("tried again", report.tried_again.to_string());
    for (disposition, count) in &report.dispositions {
        add(&format!("disposition {disposition}"), count.to_string());
    }
    for (code, count) in &report.codes {
        add(&format!("error {code}"), count.to_string());
    }
    for (fault, count) in &report.faults {
        add(&format!("FAULT {fault:?}"), count.to_string());
    }
    let examples: String = report.examples.iter().map(|example| format!("\n{example}")).collect();
    format!("{counts}{examples}\n\nTimes in milliseconds:\n{latency}")
}

fn latency_row(name: &str, figures: &LatencyFigures) -> Vec<String> {
    let ms = |value: f64| format!("{value:.1}");
    vec![
        name.to_owned(),
        figures.prompts.to_string(),
        figures.whole.to_string(),
        format!("{:.4}", figures.hit_rate),
        ms(figures.ttft_p50_ms),
        ms(figures.ttft_p95_ms),
        ms(figures.ttft_p99_ms),
        ms(figures.between_p50_ms),
        ms(figures.between_p95_ms),
        ms(figures.between_p99_ms),
    ]
}
