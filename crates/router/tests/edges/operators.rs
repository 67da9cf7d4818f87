//! The operators' listener.

use fulmargate_names::ErrorKind;
use fulmargate_router::StartError;
use fulmargate_stand::deploy::OPERATOR_KEY;
use serde_json::Value;
use serde_json::json;

use crate::raw_call::RawAnswer;
use crate::raw_call::RawCall;
use crate::router_bench::KEY;
use crate::router_bench::MODEL;
use crate::router_bench::OUTSIDER_KEY;
use crate::router_bench::RouterBench;

fn operator(method: &'static str, path: &str) -> RawCall {
    RawCall::new(method, path).key(OPERATOR_KEY)
}

fn patch(base: &str, patch: &Value) -> RawCall {
    operator("PATCH", "/config").header("if-match", base).json(patch)
}

/// A refusal has its row of the table.
fn check_refusal(what: &str, answer: &RawAnswer, kind: ErrorKind) {
    let row = kind.row();
    assert_eq!(answer.status, row.status, "{what}: {answer:?}");
    let error = &answer.json()["error"];
    assert_eq!(error["code"], row.code, "{what}: {answer:?}");
    let message = error["message"].as_str().unwrap_or_default();
    assert!(message.starts_with(row.meaning), "{what}: {message}");
}

/// Without the operators' key nothing is shown or changed; a team's key opens nothing here.
#[actix_rt::test]
async fn operators_need_their_key() {
    let bench = RouterBench::start().await;
    let paths = [
        ("GET", "/config"),
        ("PATCH", "/config"),
        ("GET", "/config/history"),
        ("GET", "/hosts"),
        ("GET", "/servers"),
        ("POST", "/servers/engine-milano-nord-1/drain"),
        ("POST", "/servers/engine-milano-nord-1/undrain"),
        ("GET", "/teams"),
        ("GET", "/status"),
    ];
    for (method, path) in paths {
        let what = format!("{method} {path}");
        for call in [RawCall::new(method, path), RawCall::new(method, path).key(KEY)] {
            check_refusal(&what, &call.send(bench.operators()).await, ErrorKind::Unauthorized);
        }
        if method == "GET" {
            let answer = operator(method, path).send(bench.operators()).await;
            assert_eq!(answer.status, 200, "{what}: {answer:?}");
        }
    }
    assert_eq!(bench.version().await, 1);
}

/// A patch that says nothing usable, comes late, or would break the document changes nothing, and
/// its author learns what is wrong and where.
#[actix_rt::test]
async fn bad_patches_change_nothing() {
    let bench = RouterBench::start().await;
    let fine = json!({ "policy": "cost" });
    let without = operator("PATCH", "/config").json(&fine);
    let broken = patch("\"1\"", &fine).body(b"{\"policy\":");
    let bad_team = json!({ "teams": { "storefront": { "requests_per_s": -1 } } });
    let replace = json!([{ "op": "replace", "path": "/teams/nobody/class", "value": "batch" }]);
    let invalid = ErrorKind::InvalidPatch;
    let cases = [
        ("no if-match", without, ErrorKind::BadRequest, ""),
        ("if-match in words", patch("\"new\"", &fine), ErrorKind::BadRequest, ""),
        ("no JSON", broken, ErrorKind::BadRequest, ""),
        ("no patch", patch("\"1\"", &json!(7)), ErrorKind::BadRequest, ""),
        ("a later version", patch("\"9\"", &fine), ErrorKind::StaleVersion, ""),
        ("an older version", patch("\"0\"", &fine), ErrorKind::StaleVersion, ""),
        (
            "a negative limit",
            patch("\"1\"", &bad_team),
            invalid,
            "/teams/storefront/requests_per_s",
        ),
        ("an unknown key", patch("\"1\"", &json!({ "policies": 1 })), invalid, "/policies"),
        ("a place that is not there", patch("\"1\"", &replace), invalid, "/teams/nobody"),
    ];
    for (what, call, kind, pointer) in cases {
        let answer = call.send(bench.operators()).await;
        check_refusal(what, &answer, kind);
        if kind == ErrorKind::StaleVersion {
            assert_eq!(answer.json()["current"], 1, "{what}: {answer:?}");
        }
        let path = answer.json()["fault"]["path"].as_str().unwrap_or_default().to_owned();
        assert!(path.starts_with(pointer), "{what}: {answer:?}");
    }
    assert_eq!(bench.version().await, 1);
    let accepted = patch("\"1\"", &json!({ "classes": { "batch": { "deadline_ms": 9 } } }))
        .send(bench.operators())
        .await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    assert_eq!(accepted.json()["version"], 2);
    assert_eq!(accepted.header("etag"), Some("\"2\""));
}

/// Paths and methods that are not there get the same shape as all else.
#[actix_rt::test]
async fn unknown_paths_get_clear_errors() {
    let bench = RouterBench::start().await;
    let cases = [
        ("GET", "/nothing", ErrorKind::UnknownPath),
        ("POST", "/servers/nobody/drain", ErrorKind::UnknownPath),
        ("DELETE", "/config", ErrorKind::WrongMethod),
        ("GET", "/servers/engine-milano-nord-1/drain", ErrorKind::WrongMethod),
    ];
    for (method, path, kind) in cases {
        let answer = operator(method, path).send(bench.operators()).await;
        check_refusal(&format!("{method} {path}"), &answer, kind);
    }
}

/// A document of many teams is larger than what frameworks take by themselves.
#[actix_rt::test]
async fn large_patches_are_taken() {
    let bench = RouterBench::start().await;
    let teams: serde_json::Map<String, Value> = (0..4_000).map(|index| {
        let team = json!({
            "key_sha256": [format!("{index:064x}")], "requests_per_s": 1, "prompt_tokens_per_s": 1,
            "models": [MODEL], "services": [], "class": "batch",
        });
        (format!("team-{index}"), team)
    }).collect();
    let call = patch("\"1\"", &json!({ "teams": teams }));
    assert!(512 * 1024 < call.body.len());
    let answer = call.send(bench.operators()).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// A drained server gets nothing new; callers learn that none is in reach. Undrained, it serves.
#[actix_rt::test]
async fn drain_and_undrain_take_effect() {
    let bench = RouterBench::start().await;
    let server = bench.settings.engines[0].name.to_string();
    for (order, state, status) in [("drain", "drained", 503), ("undrain", "active", 200)] {
        let answer =
            operator("POST", &format!("/servers/{server}/{order}")).send(bench.operators()).await;
        assert_eq!(answer.status, 200, "{order}: {answer:?}");
        let is_in_force = async || {
            let servers = bench.operator_json("/servers").await;
            let rows = servers["servers"].as_array().cloned().unwrap_or_default();
            rows.iter().any(|row| row["server"] == *server && row["state"] == state)
        };
        bench.until(order, is_in_force).await;
        let answer = RawCall::good().send(bench.callers()).await;
        assert_eq!(answer.status, status, "{order}: {answer:?}");
        if status == 503 {
            assert_eq!(answer.header("x-fulmargate-error"), Some("no_server"));
            assert_eq!(answer.header("x-fulmargate-disposition"), Some("not-run"));
            assert!(answer.header("retry-after").is_some());
        }
    }
}

/// Health, readiness and metrics need no key; metrics carry a histogram for each team and class.
#[actix_rt::test]
async fn metrics_carry_histograms_by_team_and_class() {
    let bench = RouterBench::start().await;
    for path in ["/health", "/ready"] {
        let answer = RawCall::new("GET", path).send(bench.operators()).await;
        assert_eq!(answer.status, 200, "{path}: {answer:?}");
        assert!(answer.json().is_object(), "{path}: {answer:?}");
    }
    assert_eq!(RawCall::good().send(bench.callers()).await.status, 200);
    let text = RawCall::new("GET", "/metrics").send(bench.operators()).await.body;
    let labels = "team=\"storefront\",class=\"urgent\"";
    for wanted in ["_bucket", "_sum", "_count"] {
        let start = format!("fulmargate_ttft_seconds{wanted}{{{labels}");
        assert!(text.contains(&start), "{start} in {text}");
    }
    assert!(text.contains("le=\"+Inf\""), "{text}");
}

/// Teams are shown with what became of their requests at this router.
#[actix_rt::test]
async fn teams_are_shown_with_their_counts() {
    let bench = RouterBench::start_with(|settings| {
        settings.document["teams"]["outsider"]["models"] = json!([MODEL]);
        settings.document["teams"]["outsider"]["prompt_tokens_per_s"] = json!(8);
    })
    .await;
    for _ in 0..3 {
        assert_eq!(RawCall::good().send(bench.callers()).await.status, 200);
    }
    assert_eq!(RawCall::charge("counted").send(bench.callers()).await.status, 200);
    // The limit lets the first one through and is in debt from then on.
    let large = RawCall::completion(&"a".repeat(40_000), 4).key(OUTSIDER_KEY);
    assert_eq!(large.send(bench.callers()).await.status, 200);
    let refused = large.send(bench.callers()).await;
    assert_eq!(refused.header("x-fulmargate-error"), Some("team_limit"), "{refused:?}");

    let teams = bench.operator_json("/teams").await;
    let row = |name: &str| {
        let rows = teams["teams"].as_array().cloned().unwrap_or_default();
        rows.into_iter().find(|row| row["team"] == name).expect("the team's row")
    };
    for (name, admitted, refused) in
        [("storefront", 4, 0), ("outsider", 1, 1), ("brera-assistant", 0, 0)]
    {
        assert_eq!(row(name)["admitted"], admitted, "{name}");
        assert_eq!(row(name)["refused"], refused, "{name}");
    }
}

/// A second router on the same address says which key of its settings is at fault.
#[actix_rt::test]
async fn ports_in_use_are_told_by_their_key() {
    let bench = RouterBench::start().await;
    let cases = ["callers.listen", "operators.listen", "peers.listen"];
    for key in cases {
        let Some(error) = bench.start_second(key) else { panic!("two routers on {key}") };
        let told = error.to_string();
        assert!(matches!(error, StartError::Listen { key: told, .. } if told == key), "{told}");
        assert!(told.contains(key), "{told}");
        assert!(told.contains("127.0.0.1:"), "{told}");
    }
}
