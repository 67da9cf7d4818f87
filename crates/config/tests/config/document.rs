//! What a document may hold, and what its refusal says.

use fulmargate_config::ConfigDocument;
use fulmargate_config::KeyHash;
use fulmargate_config::ServerKind;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use serde_json::Value;
use serde_json::json;

use crate::common;

struct RefusalCase {
    name: &'static str,
    /// A merge patch that spoils the sample.
    spoil: Value,
    path: &'static str,
    value: &'static str,
    /// Part of what is said to be allowed.
    allowed: &'static str,
}

impl RefusalCase {
    fn check(&self) {
        let mut value = common::sample();
        json_patch::merge(&mut value, &self.spoil);
        let error = ConfigDocument::parse(&value.to_string()).expect_err(self.name);
        assert_eq!(error.path, self.path, "{}: {error}", self.name);
        assert_eq!(error.value, self.value, "{}: {error}", self.name);
        assert!(error.allowed.contains(self.allowed), "{}: {error}", self.name);
    }
}

fn case(
    name: &'static str,
    spoil: Value,
    path: &'static str,
    value: &'static str,
    allowed: &'static str,
) -> RefusalCase {
    RefusalCase { name, spoil, path, value, allowed }
}

#[test]
#[rustfmt::skip]
fn refusals_name_place_value_and_what_is_allowed() {
    let same = json!({"key_sha256": ["AB".repeat(32)], "requests_per_s": 1, "prompt_tokens_per_s": 1, "class": "batch"});
    let cases = [
        case("section", json!({"tems": {}}), "/tems", "{}", "teams, servers"),
        case("section type", json!({"teams": [1]}), "/teams", "[1]", "an object"),
        case("team key", json!({"teams": {"shop": {"color": 3}}}), "/teams/shop/color", "3", "unknown field `color`"),
        case("limit type", json!({"teams": {"shop": {"requests_per_s": "x"}}}), "/teams/shop/requests_per_s", "\"x\"", "expected f64"),
        case("limit below 0", json!({"teams": {"shop": {"requests_per_s": -1}}}), "/teams/shop/requests_per_s", "-1", "a number from 0"),
        case("short hash", json!({"teams": {"shop": {"key_sha256": ["1f"]}}}), "/teams/shop/key_sha256/0", "\"1f\"", "64 hex digits"),
        case("shared key", json!({"teams": {"zoo": same}}), "/teams/zoo/key_sha256/0", "\"abababababababababababababababababababababababababababababababab\"", "team `shop`"),
        case("team's model", json!({"teams": {"shop": {"models": ["describer", "m2"]}}}), "/teams/shop/models/1", "\"m2\"", "in /models"),
        case("team's service", json!({"teams": {"shop": {"services": ["post"]}}}), "/teams/shop/services/0", "\"post\"", "in /services"),
        case("team's server", json!({"teams": {"shop": {"servers": ["e9"]}}}), "/teams/shop/servers/0", "\"e9\"", "in /servers"),
        case("team's class", json!({"teams": {"shop": {"class": "vip"}}}), "/teams/shop/class", "\"vip\"", "in /classes"),
        case("team's name", json!({"teams": {"a/b": {}}}), "/teams/a~1b", "\"a/b\"", "1 to 64"),
        case("model's name", json!({"models": {"org/m": {"weights": 1}}}), "/models/org~1m", "\"org/m\"", "1 to 64"),
        case("adapter's name", json!({"models": {"describer": {"adapters": ["a/b"]}}}), "/models/describer/adapters/0", "\"a/b\"", "1 to 64"),
        case("address", json!({"servers": {"e1": {"address": "localhost:1"}}}), "/servers/e1/address", "\"localhost:1\"", "socket address"),
        case("port", json!({"servers": {"e1": {"address": "127.0.0.1:0"}}}), "/servers/e1/address", "\"127.0.0.1:0\"", "from 1"),
        case("shared address", json!({"servers": {"c1": {"address": "127.0.0.1:4001"}}}), "/servers/e1/address", "\"127.0.0.1:4001\"", "`c1`"),
        case("zone", json!({"servers": {"e1": {"zone": ""}}}), "/servers/e1/zone", "\"\"", "1 to 64"),
        case("server's model", json!({"servers": {"e1": {"models": ["m2"]}}}), "/servers/e1/models/0", "\"m2\"", "in /models"),
        case("server's service", json!({"servers": {"c1": {"service": "post"}}}), "/servers/c1/service", "\"post\"", "in /services"),
        case("state", json!({"servers": {"e1": {"state": "off"}}}), "/servers/e1/state", "\"off\"", "`active`"),
        case("method", json!({"services": {"checkout": {"calls": [{"method": "post", "path": "/", "repeatable": true}]}}}), "/services/checkout/calls/0/method", "\"post\"", "POST"),
        case("call's path", json!({"services": {"checkout": {"calls": [{"method": "PUT", "path": "a", "repeatable": true}]}}}), "/services/checkout/calls/0/path", "\"a\"", "first /"),
        case("timeout", json!({"services": {"checkout": {"timeout_ms": 0}}}), "/services/checkout/timeout_ms", "0", "from 1"),
        case("urgent", json!({"classes": {"urgent": null}}), "/classes", "without `urgent`", "`batch`"),
        case("batch", json!({"classes": {"batch": null}}), "/classes", "without `batch`", "`urgent`"),
        case("queue", json!({"classes": {"batch": {"queue_limit": 0}}}), "/classes/batch/queue_limit", "0", "from 1"),
        case("weight", json!({"classes": {"batch": {"weight_ttft": -0.5}}}), "/classes/batch/weight_ttft", "-0.5", "from 0"),
        case("rule's team", json!({"rules": [{"team": "zoo", "class": "batch"}]}), "/rules/0/team", "\"zoo\"", "in /teams"),
        case("rule's model", json!({"rules": [{"model": "m2", "class": "batch"}]}), "/rules/0/model", "\"m2\"", "in /models"),
        case("rule's path", json!({"rules": [{"path": "/a*b", "class": "batch"}]}), "/rules/0/path", "\"/a*b\"", "at its end"),
        case("rule's class", json!({"rules": [{"class": "vip"}]}), "/rules/0/class", "\"vip\"", "in /classes"),
        case("rule's key", json!({"rules": [{"class": "batch", "klass": 1}]}), "/rules/0/klass", "1", "unknown field"),
        case("policy", json!({"policy": "magic"}), "/policy", "\"magic\"", "`round_robin`"),
    ];
    for case in &cases {
        case.check();
    }
}

/// A server's fields depend on its kind; the error points to the server and names the field.
#[test]
fn fields_must_go_with_the_kind() {
    let cases = [
        (json!({ "e1": { "models": null } }), "/servers/e1", "`models` is needed"),
        (json!({ "e1": { "service": "checkout" } }), "/servers/e1", "kind `service` only"),
        (json!({ "c1": { "service": null } }), "/servers/c1", "`service` is needed"),
        (json!({ "c1": { "fenced": true } }), "/servers/c1", "kind `engine` only"),
    ];
    for (spoil, path, allowed) in cases {
        let mut value = common::sample();
        json_patch::merge(&mut value, &json!({ "servers": spoil }));
        let error = ConfigDocument::from_value(&value).expect_err(allowed);
        assert_eq!(error.path, path);
        assert!(error.allowed.contains(allowed), "{error}");
    }
}

#[test]
fn text_that_is_no_json_is_refused() {
    let error = ConfigDocument::parse("{\"teams\": ").expect_err("cut text");
    assert_eq!(error.path, "");
    assert!(error.allowed.contains("a JSON document"), "{error}");
}

#[test]
fn document_written_and_read_again_is_the_same() {
    let document = ConfigDocument::from_value(&common::sample()).expect("the sample is valid");
    let text = serde_json::to_string(&document).expect("documents can be written");
    assert_eq!(ConfigDocument::parse(&text).expect("it is valid"), document);
}

#[test]
fn lookups_find_team_class_and_servers() {
    let mut value = common::sample();
    let key = KeyHash::of_key("secret").to_string();
    json_patch::merge(
        &mut value,
        &json!({
            "teams": { "shop": { "key_sha256": ["00".repeat(32), key], "servers": ["e1"] } },
            "rules": [
                { "model": "describer", "path": "/v1/comp*", "class": "batch" },
                { "path": "/services/*", "class": "batch" },
            ],
        }),
    );
    let document = ConfigDocument::from_value(&value).expect("it is valid");
    let (team, entry) = document.team_by_key(&KeyHash::of_key("secret")).expect("a known key");
    assert_eq!(team.as_str(), "shop");
    assert!(document.team_by_key(&KeyHash::of_key("Secret")).is_none());
    assert!(entry.may_reach(&ServerName::new("e1")));
    assert!(!entry.may_reach(&ServerName::new("c1")));

    let model = ModelName::new("describer");
    let class = |model, path| document.class_of(team, model, path).expect("a class").0.as_str();
    assert_eq!(class(Some(&model), "/v1/completions"), "batch");
    assert_eq!(class(Some(&model), "/v1/chat/completions"), "urgent");
    assert_eq!(class(None, "/v1/completions"), "urgent");
    assert_eq!(class(None, "/services/checkout/charge"), "batch");
    assert!(document.class_of(&TeamName::new("zoo"), None, "/").is_none());

    let engines: Vec<_> = document.servers_of_model(&model).collect();
    assert_eq!(engines.len(), 1);
    assert!(matches!(engines[0].1.kind, ServerKind::Engine { fenced: true, .. }));
}

struct CallCase(&'static str, &'static str, bool);

impl CallCase {
    fn check(&self, document: &ConfigDocument) {
        let CallCase(method, path, repeatable) = *self;
        assert_eq!(
            document.services["checkout"].is_repeatable(method, path),
            repeatable,
            "{method} {path}"
        );
    }
}

/// A call that nobody listed may run twice only if its method is safe.
#[test]
fn calls_not_listed_are_repeatable_by_safe_methods_only() {
    let mut value = common::sample();
    value["services"]["checkout"]["calls"] = json!([
        { "method": "POST", "path": "/quote", "repeatable": true },
        { "method": "GET", "path": "/next/*", "repeatable": false },
    ]);
    let document = ConfigDocument::from_value(&value).expect("it is valid");
    for case in [
        CallCase("POST", "/quote", true),
        CallCase("POST", "/quote/1", false),
        CallCase("POST", "/charge", false),
        CallCase("PUT", "/quote", false),
        CallCase("DELETE", "/charge", false),
        CallCase("get", "/charge", false),
        CallCase("GET", "/charge", true),
        CallCase("GET", "/next/1", false),
        CallCase("HEAD", "/next/1", true),
    ] {
        case.check(&document);
    }
}
