//! Commands against a listener that answers as a router does.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::web;
use argh::FromArgs;
use fulmargate_ctl::CommandEnd;
use fulmargate_ctl::CtlArgs;
use fulmargate_ctl::ExitKind;
use serde_json::Value;
use serde_json::json;

/// One answer of the router, taken in turn; the last one is given again and again.
#[derive(Clone)]
struct RouterAnswer {
    status: u16,
    disposition: &'static str,
    body: Value,
}

/// What the router is to answer, and what it was asked.
struct RouterBook {
    answers: Vec<RouterAnswer>,
    /// Method, path, the headers that matter, and the body.
    asked: Vec<String>,
    /// The id of the patch that came last.
    patch_id: String,
}

struct FakeRouter {
    address: String,
    book: Arc<Mutex<RouterBook>>,
    handle: ServerHandle,
}

impl FakeRouter {
    fn start(answers: Vec<RouterAnswer>) -> FakeRouter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let book = RouterBook { answers, asked: Vec::new(), patch_id: String::new() };
        let book = Arc::new(Mutex::new(book));
        let shared = Arc::clone(&book);
        let server = HttpServer::new(move || {
            let shared = Arc::clone(&shared);
            App::new().default_service(web::to(move |request: HttpRequest, body: web::Bytes| {
                let response = shared.lock().expect("the book").answer(&request, &body);
                async move { response }
            }))
        });
        let server =
            server.workers(1).disable_signals().listen(listener).expect("it listens").run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        FakeRouter { address, book, handle }
    }
}

impl RouterBook {
    fn answer(&mut self, request: &HttpRequest, body: &[u8]) -> HttpResponse {
        let head = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("-").to_owned()
        };
        let heads = [head("authorization"), head("if-match"), head("x-author")].join(" ");
        let body = String::from_utf8_lossy(body);
        self.asked.push(format!("{} {} {heads} {body}", request.method(), request.path()));
        if head("x-patch-id") != "-" {
            self.patch_id = head("x-patch-id");
        }
        let is_last = self.answers.len() == 1;
        let mut next = if is_last { self.answers[0].clone() } else { self.answers.remove(0) };
        for place in ["/versions/0/id", "/refusals/0/id"] {
            if let Some(found) = next.body.pointer_mut(place).filter(|id| **id == "OWN") {
                *found = json!(format!("{}-00ff", self.patch_id));
            }
        }
        HttpResponse::build(StatusCode::from_u16(next.status).expect("a status"))
            .insert_header(("x-fulmargate-disposition", next.disposition))
            .json(next.body)
    }
}

async fn run(router: &str, args: &[&str]) -> CommandEnd {
    let mut all = vec!["--router", router, "--key", "k"];
    all.extend(args);
    let args = CtlArgs::from_args(&["fulmargate-ctl"], &all).expect("good arguments");
    args.execute().await
}

struct CommandCase {
    name: &'static str,
    args: &'static [&'static str],
    answers: Vec<RouterAnswer>,
    exit: ExitKind,
    /// Pieces of what is printed on standard output or standard error, in order.
    says: &'static [&'static str],
    /// What the router is asked first, without the body.
    asks: &'static str,
}

impl CommandCase {
    async fn check(&self, patch: &str) {
        let router = FakeRouter::start(self.answers.clone());
        let args: Vec<&str> =
            self.args.iter().map(|arg| if *arg == "FILE" { patch } else { arg }).collect();
        let end = run(&router.address, &args).await;
        assert_eq!(end.exit, self.exit, "{}: {end:?}", self.name);
        let text = format!("{}{}", end.output, end.message);
        let mut rest = text.as_str();
        for piece in self.says {
            let at = rest.find(piece);
            let at = at.unwrap_or_else(|| panic!("{}: no `{piece}` in {text}", self.name));
            rest = &rest[at + piece.len()..];
        }
        let asked =
            router.book.lock().expect("the book").asked.first().cloned().unwrap_or_default();
        assert!(asked.starts_with(self.asks), "{}: {asked}", self.name);
        router.handle.stop(false).await;
    }
}

fn ok(body: Value) -> RouterAnswer {
    RouterAnswer { status: 200, disposition: "ran", body }
}

fn refusal(status: u16, disposition: &'static str, code: &str, more: Value) -> RouterAnswer {
    let mut body = json!({
        "error": { "message": format!("because {code}"), "type": "operator_error", "code": code },
    });
    if let (Value::Object(body), Value::Object(more)) = (&mut body, more) {
        body.extend(more);
    }
    RouterAnswer { status, disposition, body }
}

/// A patch file in a folder of its own.
fn patch_file(name: &str, text: &str) -> String {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path.to_str().expect("a path").to_owned()
}

fn case(
    name: &'static str,
    args: &'static [&'static str],
    answers: Vec<RouterAnswer>,
    exit: ExitKind,
    says: &'static [&'static str],
    asks: &'static str,
) -> CommandCase {
    CommandCase { name, args, answers, exit, says, asks }
}

const PATCH: &[&str] = &["config", "patch", "--base", "7", "--author", "ada", "FILE"];
const ASKS_PATCH: &str = "PATCH /config Bearer k \"7\" ada {";

#[actix_web::test]
#[rustfmt::skip]
async fn commands_say_what_the_router_says() {
    use ExitKind::*;
    let fault = json!({"fault": {"path": "/teams/a", "value": "3", "allowed": "an object"}});
    let history = json!({
        "version": 8, "unreadable": 2,
        "versions": [{"version": 8, "id": "OWN", "author": "ada", "offset": 11, "time_ms": 5}],
        "refusals": [{"id": "p7", "author": "bob", "base": 7, "current": 8, "reason": "not current", "offset": 12, "time_ms": 6}],
    });
    let mut refused = history.clone();
    refused["versions"] = json!([]);
    refused["refusals"][0]["id"] = json!("OWN");
    let host = |name, version| json!({"host": name, "zone": "z", "version": version, "state": "up", "incarnation": 1, "heard_ms_ago": 3});
    let server = json!({"server": "e1", "zone": "z", "address": "127.0.0.1:1", "models": ["m"], "state": "drained", "health": "leaving", "open_requests": 4, "queue_tokens": 77});
    let team = json!({"team": "shop", "class": "urgent", "keys": 2, "requests_per_s": 5.0, "prompt_tokens_per_s": 9.0, "models": [], "services": ["checkout"]});
    let status = json!({"host": "h", "zone": "z", "incarnation": 1, "version": 8, "ready": true, "stopping": false, "log_reachable": false, "peers_up": 5, "open_requests": 0, "uptime_s": 9});
    let patch = patch_file("patch.json", "{\"policy\": \"cost\"}");
    for case in [
        case("show", &["config", "show"], vec![ok(json!({"version": 7, "document": {"policy": "cost"}}))], Done, &["version 7", "\"policy\": \"cost\""], "GET /config Bearer k"),
        case("show as JSON", &["--json", "config", "show"], vec![ok(json!({"version": 7, "document": {}}))], Done, &["{", "\"version\": 7"], "GET /config Bearer k"),
        case("patch", PATCH, vec![ok(json!({"version": 8}))], Done, &["version 8 is in force"], ASKS_PATCH),
        case("stale patch", PATCH, vec![refusal(412, "not-run", "stale_version", json!({"current": 9}))], Stale, &["because stale_version", "current version: 9"], ASKS_PATCH),
        case("invalid patch", PATCH, vec![refusal(422, "not-run", "invalid_patch", fault)], Invalid, &["at:      /teams/a", "found:   3", "allowed: an object"], ASKS_PATCH),
        case("log out", PATCH, vec![refusal(503, "not-run", "ledger_out", json!({}))], Unreachable, &["because ledger_out"], ASKS_PATCH),
        case("doubt, then found", PATCH, vec![refusal(503, "unknown", "ledger_out", json!({})), ok(history.clone())], Done, &["version 8 is in force"], ASKS_PATCH),
        case("doubt, then refused", PATCH, vec![refusal(503, "unknown", "ledger_out", json!({})), ok(refused)], Stale, &["not current", "current version: 8"], ASKS_PATCH),
        case("wrong key", &["status"], vec![refusal(401, "not-run", "unauthorized", json!({}))], Unauthorized, &["because unauthorized"], "GET /status"),
        case("not ready", &["config", "show"], vec![refusal(503, "not-run", "not_ready", json!({}))], Unreachable, &["because not_ready"], "GET /config"),
        case("other refusal", &["drain", "e9"], vec![refusal(404, "not-run", "unknown_path", json!({}))], Refused, &["because unknown_path"], "POST /servers/e9/drain"),
        case("drain", &["drain", "e1"], vec![ok(json!({"version": 9}))], Done, &["e1 gets nothing new (version 9)"], "POST /servers/e1/drain"),
        case("undrain", &["undrain", "e1"], vec![ok(json!({"version": 9}))], Done, &["e1 gets work again (version 9)"], "POST /servers/e1/undrain"),
        case("drain in doubt", &["drain", "e1"], vec![refusal(503, "unknown", "ledger_out", json!({}))], Unknown, &["may have been done"], "POST /servers/e1/drain"),
        case("history", &["config", "history"], vec![ok(history)], Done, &["version 8 is in force", "11", "ada", "version 8", "12", "bob", "refused: base 7, not current", "2 records"], "GET /config/history"),
        case("hosts", &["hosts"], vec![ok(json!({"hosts": [host("a", 8), host("b", 6)]}))], Done, &["behind", "a", "8", "-", "b", "6", "2", "up"], "GET /hosts"),
        case("servers", &["servers"], vec![ok(json!({"servers": [server]}))], Done, &["e1", "127.0.0.1:1", "m", "drained", "leaving", "4", "77"], "GET /servers"),
        case("teams", &["teams"], vec![ok(json!({"teams": [team]}))], Done, &["shop", "urgent", "2", "5", "9", "-", "checkout"], "GET /teams"),
        case("status", &["status"], vec![ok(status)], Done, &["version in force", "8", "log in reach", "no", "peers up", "5"], "GET /status"),
        case("no router's answer", &["hosts"], vec![ok(json!([]))], Refused, &["cannot be read"], "GET /hosts"),
        case("patch checked", &["config", "check", "--patch", "FILE"], vec![ok(json!({"version": 7, "document": {"classes": {}}}))], Invalid, &["at:      /classes", "found:   without `urgent`"], "GET /config"),
    ] {
        case.check(&patch).await;
    }
}

/// Nobody listens: the command says so, and a patch that was not sent is not looked up.
#[actix_web::test]
async fn no_router_is_told_apart_from_doubt() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let patch = patch_file("unsent.json", "[]");
    for args in [vec!["config", "patch", "--base", "1", &patch], vec!["drain", "e1"], vec!["hosts"]]
    {
        let end = run(&address, &args).await;
        assert_eq!(end.exit, ExitKind::Unreachable, "{args:?}: {end:?}");
        assert!(end.message.contains("no answer from the router"), "{end:?}");
    }
}

#[actix_web::test]
async fn documents_are_checked_without_a_router() {
    let class = json!({
        "priority": 0, "deadline_ms": 1, "queue_limit": 1, "weight_ttft": 1, "weight_recompute": 1,
    });
    let good = json!({ "classes": { "urgent": class, "batch": class } }).to_string();
    let cases = [
        ("good.json", good.as_str(), ExitKind::Done, "valid: 0 teams"),
        ("bad.json", "{\"classes\": 3}", ExitKind::Invalid, "at:      /classes"),
        ("cut.json", "{\"classes\": ", ExitKind::Usage, "no JSON"),
    ];
    for (name, text, exit, says) in cases {
        let end = run("127.0.0.1:1", &["config", "check", &patch_file(name, text)]).await;
        assert_eq!(end.exit, exit, "{name}: {end:?}");
        assert!(format!("{}{}", end.output, end.message).contains(says), "{name}: {end:?}");
    }
    let end =
        run("127.0.0.1:1", &["--json", "config", "check", &patch_file("bad.json", "3")]).await;
    let value: Value = serde_json::from_str(&end.output).expect("JSON for programs");
    assert_eq!(value["fault"]["allowed"], "an object");
    let end = run("127.0.0.1:1", &["config", "check", "/nowhere/x.json"]).await;
    assert_eq!(end.exit, ExitKind::Usage);
}
