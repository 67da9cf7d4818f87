//! Bad requests get a clear error and harm nobody else.

use fulmargate_names::ErrorKind;
use fulmargate_names::RetryAdvice;
use fulmargate_relay::error_body;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::raw_call::RawAnswer;
use crate::raw_call::RawCall;
use crate::raw_call::read_answer;
use crate::raw_call::read_until_closed;
use crate::router_bench::BODY_LIMIT;
use crate::router_bench::KEY;
use crate::router_bench::MODEL;
use crate::router_bench::OTHER_KEY;
use crate::router_bench::OUTSIDER_KEY;
use crate::router_bench::RouterBench;

const ID: &str = "the-callers-own-id";

/// A bad request and the kind of error that it gets.
struct BadCase {
    what: &'static str,
    call: RawCall,
    kind: ErrorKind,
    /// What the message must say.
    says: &'static str,
}

fn case(what: &'static str, call: RawCall, kind: ErrorKind, says: &'static str) -> BadCase {
    BadCase { what, call, kind, says }
}

impl BadCase {
    /// The bad request gets its row of the table, whole; a good one right after it is served.
    async fn check(&self, bench: &RouterBench) {
        let call = self.call.clone().header("x-request-id", ID);
        self.judge(&call.send(bench.callers()).await);
        let good = RawCall::good().send(bench.callers()).await;
        assert_eq!(good.status, 200, "a good request after {}: {good:?}", self.what);
    }

    fn judge(&self, answer: &RawAnswer) {
        let row = self.kind.row();
        let what = self.what;
        assert_eq!(answer.status, row.status, "{what}: {answer:?}");
        assert_eq!(answer.header("x-request-id"), Some(ID), "{what}");
        assert_eq!(answer.header("x-fulmargate-disposition"), Some("not-run"), "{what}");
        assert_eq!(answer.header("x-fulmargate-error"), Some(row.code), "{what}");
        let wants_retry = row.retry != RetryAdvice::Never;
        assert_eq!(answer.header("retry-after").is_some(), wants_retry, "{what}: {answer:?}");
        let error = &answer.json()["error"];
        assert_eq!(error["code"], row.code, "{what}: {answer:?}");
        let in_streams: Value = serde_json::from_slice(&error_body(self.kind)).expect("JSON");
        assert_eq!(error["type"], in_streams["error"]["type"], "{what}: {answer:?}");
        assert!(error["param"].is_null(), "{what}: {answer:?}");
        let message = error["message"].as_str().unwrap_or_default();
        assert!(message.starts_with(row.meaning), "{what}: {message}");
        assert!(message.contains(self.says), "{what}: {message}");
    }
}

fn completion(body: &str) -> RawCall {
    RawCall::new("POST", "/v1/completions").key(KEY).body(body.as_bytes())
}

fn body_cases() -> Vec<BadCase> {
    let bad = ErrorKind::BadRequest;
    let chat = RawCall::new("POST", "/v1/chat/completions").key(KEY);
    let other_model = json!({ "model": "no-such-model", "prompt": "a" });
    vec![
        case("no body", completion(""), bad, "EOF"),
        case("broken JSON", completion(r#"{"model": "#), bad, "EOF"),
        case("no object", completion("7"), bad, "invalid type: integer"),
        case("no UTF-8", completion("").body(b"{\"model\":\"\xff\"}"), bad, "column"),
        case("no model", completion(r#"{"prompt":"a"}"#), bad, "missing field `model`"),
        case("a number for a model", completion(r#"{"model":1,"prompt":"a"}"#), bad, "expected"),
        case(
            "a list for a flag",
            completion(r#"{"model":"m","prompt":"a","stream":[]}"#),
            bad,
            "boolean",
        ),
        case("a number for a prompt", completion(r#"{"model":"m","prompt":1}"#), bad, "expected"),
        case("no prompt", completion(r#"{"model":"m"}"#), bad, "`messages` or `prompt`"),
        case(
            "no messages",
            chat.clone().body(br#"{"model":"m","messages":[]}"#),
            bad,
            "`messages`",
        ),
        case(
            "text for messages",
            chat.clone().body(br#"{"model":"m","messages":"a"}"#),
            bad,
            "sequence",
        ),
        case(
            "an object for a text",
            chat.body(br#"{"model":"m","messages":[{"role":"user","content":{}}]}"#),
            bad,
            "content parts",
        ),
        case("an unknown model", completion(&other_model.to_string()), ErrorKind::UnknownModel, ""),
        case(
            "too large a body",
            RawCall::completion(&"a".repeat(8 * BODY_LIMIT), 4),
            ErrorKind::BodyTooLarge,
            "65536 bytes",
        ),
        case(
            "too large a call",
            RawCall::charge("large").body(&[b'a'; 2 * BODY_LIMIT]),
            ErrorKind::BodyTooLarge,
            "65536 bytes",
        ),
    ]
}

/// Whatever the body holds, the caller learns where it is wrong. The router's reader of bodies and
/// its limit answer before anything is placed, so nothing has run.
#[actix_rt::test]
async fn bad_bodies_get_clear_errors() {
    let bench = RouterBench::start().await;
    for case in body_cases() {
        case.check(&bench).await;
    }
}

fn head_cases() -> Vec<BadCase> {
    let good = RawCall::good();
    let charge = RawCall::charge("k");
    let models = RawCall::new("GET", "/v1/models");
    let bad = ErrorKind::BadRequest;
    let nobody = ErrorKind::Unauthorized;
    let long = "k".repeat(257);
    vec![
        case("no key", good.clone().without("authorization"), nobody, ""),
        case("a key of no team", good.clone().key("fk-nobody"), nobody, ""),
        case("an empty key", good.clone().key(""), nobody, ""),
        case("another scheme", good.clone().header("authorization", "Basic YTpi"), nobody, ""),
        case("models without a key", models, nobody, ""),
        case("a call without a key", charge.clone().without("authorization"), nobody, ""),
        case(
            "a model that is not allowed",
            good.clone().key(OUTSIDER_KEY),
            ErrorKind::Forbidden,
            "",
        ),
        case(
            "a service that is not allowed",
            charge.clone().key(OUTSIDER_KEY),
            ErrorKind::Forbidden,
            "",
        ),
        case(
            "an unknown service",
            RawCall::new("POST", "/services/none/a").key(KEY),
            ErrorKind::UnknownService,
            "",
        ),
        case(
            "an unknown path",
            RawCall::new("POST", "/v2/completions").key(KEY),
            ErrorKind::UnknownPath,
            "",
        ),
        case("the root", RawCall::new("GET", "/"), ErrorKind::UnknownPath, ""),
        case("no deadline", good.clone().header("x-deadline-ms", "0"), bad, "x-deadline-ms"),
        case(
            "a deadline in words",
            good.clone().header("x-deadline-ms", "soon"),
            bad,
            "x-deadline-ms",
        ),
        case(
            "a deadline in the past",
            good.clone().header("x-deadline-ms", "-5"),
            bad,
            "x-deadline-ms",
        ),
        case(
            "no idempotency key",
            charge.clone().without("idempotency-key"),
            ErrorKind::KeyMissing,
            "",
        ),
        case(
            "an empty idempotency key",
            charge.clone().header("idempotency-key", ""),
            bad,
            "idempotency-key",
        ),
        case("a long idempotency key", charge.clone().header("idempotency-key", &long), bad, "256"),
        case(
            "an idempotency key with a letter beyond ASCII",
            charge.header("idempotency-key", "é"),
            bad,
            "ASCII",
        ),
    ]
}

/// Whatever the head holds, the caller learns which part is wrong, and no effect is had.
#[actix_rt::test]
async fn bad_heads_get_clear_errors() {
    let bench = RouterBench::start().await;
    for case in head_cases() {
        case.check(&bench).await;
    }
    assert_eq!(bench.effects().await, 0);
}

/// A caller that takes the wrong method learns which there are.
#[actix_rt::test]
async fn wrong_methods_get_clear_errors() {
    let bench = RouterBench::start().await;
    let cases = [
        ("GET", "/v1/completions", "POST"),
        ("DELETE", "/v1/chat/completions", "POST"),
        ("POST", "/v1/models", "GET"),
    ];
    for (method, path, allowed) in cases {
        let call = RawCall::new(method, path).key(KEY);
        let case = case("a wrong method", call, ErrorKind::WrongMethod, allowed);
        case.check(&bench).await;
        let answer = case.call.send(bench.callers()).await;
        assert_eq!(answer.header("allow"), Some(allowed), "{method} {path}");
    }
}

/// No caller goes on with the stream of another, nor with another request's. The event id is bound
/// to the team, the path and the body, so that it opens nothing else.
#[actix_rt::test]
async fn event_ids_open_nothing_else() {
    let bench = RouterBench::start().await;
    let first = RawCall::stream("a prompt to resume", 12);
    let answer = first.send(bench.callers()).await;
    let ids = answer.event_ids();
    assert!(12 <= ids.len(), "{answer:?}");
    let id = ids[4];
    let forged = format!("{}{}", &id[..id.len() - 1], if id.ends_with('A') { "B" } else { "A" });
    let resumed = first.clone().header("last-event-id", id);
    let body =
        json!({ "model": MODEL, "prompt": "another prompt", "max_tokens": 12, "stream": true });
    let refused = ErrorKind::ResumeRefused;
    let cases = [
        case("another team's", resumed.clone().key(OTHER_KEY), refused, ""),
        case("another body's", resumed.clone().json(&body), refused, ""),
        case(
            "another path's",
            RawCall { path: "/v1/chat/completions".to_owned(), ..resumed.clone() },
            refused,
            "",
        ),
        case("no event's", first.clone().header("last-event-id", "nonsense"), refused, ""),
        case("an empty one", first.clone().header("last-event-id", ""), refused, ""),
        case("a forged one", first.header("last-event-id", &forged), refused, ""),
    ];
    for case in cases {
        case.check(&bench).await;
    }
    let rest = resumed.send(bench.callers()).await;
    assert_eq!(rest.status, 200);
    assert_eq!(rest.event_ids().len(), ids.len() - 5, "{rest:?}");
    assert!(rest.body.contains("[DONE]"));
}

/// A caller that sends its body too slowly is told so, and the router keeps nothing for it: the
/// whole body has one bound on its time, which a byte now and then does not renew.
#[actix_rt::test]
async fn slow_bodies_are_let_go() {
    let bench = RouterBench::start().await;
    for call in [RawCall::good(), RawCall::charge("slow")] {
        let call = call.header("x-request-id", ID);
        let mut connection = TcpStream::connect(bench.callers()).await.expect("the router listens");
        let head = call.head(call.body.len());
        connection.write_all(head.as_bytes()).await.expect("the router reads");
        connection.write_all(&call.body[..3]).await.expect("the router reads");
        let case = case("a slow body", call, ErrorKind::SlowCaller, "");
        case.judge(&read_answer(connection).await);
        let good = RawCall::good().send(bench.callers()).await;
        assert_eq!(good.status, 200, "{good:?}");
    }
    assert_eq!(bench.effects().await, 0);
}

/// A body whose stated length is over the limit must be refused as too large, however slowly it arrives.
#[actix_rt::test]
async fn slow_bodies_that_are_too_large_are_refused_as_too_large() {
    let bench = RouterBench::start().await;
    let large = RawCall::completion(&"a".repeat(8 * BODY_LIMIT), 4);
    for call in [large, RawCall::charge("large").body(&[b'a'; 2 * BODY_LIMIT])] {
        let call = call.header("x-request-id", ID);
        let mut connection = TcpStream::connect(bench.callers()).await.expect("the router listens");
        let head = call.head(call.body.len());
        connection.write_all(head.as_bytes()).await.expect("the router reads");
        connection.write_all(&call.body[..3]).await.expect("the router reads");
        let case = case("a slow, large body", call, ErrorKind::BodyTooLarge, "65536 bytes");
        case.judge(&read_answer(connection).await);
    }
    assert_eq!(bench.effects().await, 0);
}

/// Heads that are no HTTP, too large or too slow never become requests: they are answered by a
/// status without a body, the connection is closed, and others go on. The rest of too large a head
/// is not read, so that its sender may find the connection reset before it finds the status.
#[actix_rt::test]
async fn heads_that_are_no_request_are_closed() {
    let bench = RouterBench::start().await;
    let large = RawCall::good().header("x-large", &"a".repeat(256 * 1024)).head(0);
    let lengths =
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4";
    let cases = [
        ("no HTTP", "hello\r\n\r\n".to_owned(), 400),
        ("two lengths", format!("{lengths}\r\n\r\nabc"), 400),
        ("too large a head", large.clone(), 431),
        ("half a head", "POST /v1/completions HTTP/1.1\r\nhost:".to_owned(), 408),
    ];
    for (what, text, status) in cases {
        let mut connection = TcpStream::connect(bench.callers()).await.expect("the router listens");
        let _the_answer_tells = connection.write_all(text.as_bytes()).await;
        let (answer, end) = read_until_closed(connection).await;
        let is_reset = text == large && end.is_err() && answer.is_none();
        let given = answer.map(|answer| answer.status);
        assert!(is_reset || given == Some(status), "{what}: {given:?}, {end:?}");
        let good = RawCall::good().send(bench.callers()).await;
        assert_eq!(good.status, 200, "a good request after {what}: {good:?}");
    }
}

/// Answers that are no errors name their request and what became of it too.
#[actix_rt::test]
async fn good_answers_name_their_request() {
    let bench = RouterBench::start().await;
    let calls = [
        ("a completion", RawCall::good()),
        ("a stream", RawCall::stream("a prompt", 4)),
        ("the models", RawCall::new("GET", "/v1/models").key(KEY)),
        ("a call", RawCall::charge("good")),
        ("the same call again", RawCall::charge("good")),
    ];
    for (what, call) in calls {
        let answer = call.header("x-request-id", ID).send(bench.callers()).await;
        assert_eq!(answer.status, 200, "{what}: {answer:?}");
        assert_eq!(answer.header("x-request-id"), Some(ID), "{what}");
        assert_eq!(answer.header("x-fulmargate-disposition"), Some("ran"), "{what}");
    }
    assert_eq!(bench.effects().await, 1);
}
