//! Documents and records that the tests share.

use fulmargate_config::ConfigFold;
use fulmargate_config::ConfigRecord;
use fulmargate_config::FoldEvent;
use fulmargate_config::PatchRecord;
use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;
use serde_json::Value;
use serde_json::json;

/// A small valid document.
pub(crate) fn sample() -> Value {
    json!({
        "teams": {
            "shop": {
                "key_sha256": ["ab".repeat(32)], "requests_per_s": 50, "prompt_tokens_per_s": 1e5,
                "models": ["describer"], "services": ["checkout"], "class": "urgent",
            },
        },
        "servers": {
            "e1": {
                "zone": "milano-nord", "address": "127.0.0.1:4001", "kind": "engine",
                "models": ["describer"], "fenced": true, "state": "active",
            },
            "c1": {
                "zone": "milano-nord", "address": "127.0.0.1:4101", "kind": "service",
                "service": "checkout",
            },
        },
        "models": { "describer": { "weights": 1, "adapters": [] } },
        "services": {
            "checkout": {
                "calls": [{ "method": "POST", "path": "/charge", "repeatable": false }],
                "timeout_ms": 5000,
            },
        },
        "classes": { "urgent": class(0), "batch": class(2) },
        "rules": [{ "team": "shop", "path": "/v1/completions", "class": "batch" }],
        "policy": "cost",
    })
}

fn class(priority: u8) -> Value {
    json!({
        "priority": priority, "deadline_ms": 1500, "queue_limit": 200,
        "weight_ttft": 1.0, "weight_recompute": 0.1,
    })
}

/// A merge patch that is identified by `mark`.
pub(crate) fn marked(mark: u64) -> Value {
    json!({ "teams": { "shop": { "requests_per_s": mark } } })
}

/// What `marked` left in a document.
pub(crate) fn mark_of(value: &Value) -> Option<u64> {
    value.pointer("/teams/shop/requests_per_s")?.as_u64()
}

pub(crate) fn patch_data(id: &str, base: u64, patch: Value) -> String {
    let record = PatchRecord {
        id: id.to_owned(),
        base: ConfigVersion(base),
        author: "ada".to_owned(),
        patch,
    };
    ConfigRecord::Patch(record).to_data()
}

pub(crate) fn log_record(offset: u64, id: &str, data: String) -> LogRecord {
    LogRecord { offset: LogOffset(offset), time_ms: 1_000 + offset, id: id.to_owned(), data }
}

/// Folds records given by their data, from offset `first` on.
pub(crate) fn fold_from(fold: &mut ConfigFold, first: u64, data: &[String]) -> Vec<FoldEvent> {
    let mut events = Vec::new();
    for (offset, data) in (first..).zip(data) {
        let record = log_record(offset, &format!("r{offset}"), data.clone());
        events.append(&mut fold.apply(&record).expect("records have no gap"));
    }
    events
}
