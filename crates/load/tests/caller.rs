//! The caller's verdicts on answers written by hand, over a real connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_load::AnswerFault;
use fulmargate_load::CacheJudge;
use fulmargate_load::CallKind;
use fulmargate_load::CallRecord;
use fulmargate_load::CallTarget;
use fulmargate_load::Caller;
use fulmargate_load::PlannedCall;
use fulmargate_load::PromptLibrary;
use fulmargate_load::PromptTouch;
use fulmargate_load::Verdict;
use fulmargate_load::WorkloadPlan;
use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::TokenMinter;
use fulmargate_relay::TokenSecrets;
use fulmargate_stand::CompletionBody;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::token;
use fulmargate_stand::token::BLOCK_TOKENS;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A request as it came over the wire.
struct SeenRequest {
    head: String,
    body: Vec<u8>,
}

impl SeenRequest {
    fn header(&self, name: &str) -> Option<&str> {
        let line = self.head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
        line.map(str::trim)
    }

    fn id(&self) -> &str {
        self.header("x-request-id").unwrap()
    }

    /// The stream's events for tokens of this range, with the closing ones if it is the last.
    fn events(&self, from: usize, to: usize) -> String {
        let body = CompletionBody::parse(&self.body).unwrap();
        let hash = token::prompt_hash(&body.model, &body.prompt_text());
        let id = self.id();
        let mut events = String::new();
        for index in from..to {
            let text = token::token_text(1, hash, index);
            let choice = format!(r#"{{"delta":{{"content":"{text}"}},"finish_reason":null}}"#);
            events.push_str(&format!(
                "id: at-{index}\ndata: {{\"id\":\"{id}\",\"choices\":[{choice}]}}\n\n"
            ));
        }
        if to == body.answer_tokens() {
            let finish = r#"{"delta":{},"finish_reason":"length"}"#;
            let usage = format!(r#"{{"prompt_tokens":9,"completion_tokens":{to}}}"#);
            events.push_str(&format!("data: {{\"id\":\"{id}\",\"choices\":[{finish}]}}\n\n"));
            events.push_str(&format!(
                "data: {{\"id\":\"{id}\",\"choices\":[],\"usage\":{usage}}}\n\n"
            ));
            events.push_str("data: [DONE]\n\n");
        }
        events
    }
}

fn head(status: &str, id: &str, rest: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ntransfer-encoding: chunked\r\nx-request-id: {id}\r\n{rest}\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

const LAST_CHUNK: &str = "0\r\n\r\n";
const SOUND: &str = "x-fulmargate-server: e\r\nx-fulmargate-disposition: ran\r\n";

fn whole_stream(request: &SeenRequest, headers: &str) -> String {
    head("200 OK", request.id(), headers) + &chunk(&request.events(0, 3)) + LAST_CHUNK
}

fn refusal(request: &SeenRequest, headers: &str, code: &str) -> String {
    let body = format!(r#"{{"error":{{"message":"m","type":"t","code":"{code}","param":null}}}}"#);
    head("503 Service Unavailable", request.id(), headers) + &chunk(&body) + LAST_CHUNK
}

/// Answers each connection by the next script, then the last one again; then closes it.
async fn serve(listener: TcpListener, scripts: Vec<Script>, seen: Rc<RefCell<Vec<SeenRequest>>>) {
    for turn in 0.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        let request = loop {
            assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0, "the caller hung up");
            let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
                continue;
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let request = SeenRequest { head, body: bytes[end + 4..].to_vec() };
            let length: usize = request.header("content-length").unwrap().parse().unwrap();
            if request.body.len() == length {
                break request;
            }
        };
        let answer = scripts[turn.min(scripts.len() - 1)](&request);
        seen.borrow_mut().push(request);
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

type Script = fn(&SeenRequest) -> String;

/// The first prompt of a plan, sent at the start of the run, and the plan's texts.
fn first_prompt(deployment: &Deployment) -> (PlannedCall, PromptLibrary) {
    let mut plan = WorkloadPlan::new(deployment, 1);
    plan.answer_tokens = 3;
    let is_prompt = |call: &PlannedCall| matches!(call.kind, CallKind::Prompt(_));
    let call = plan.calls(deployment).into_iter().find(is_prompt).unwrap();
    let library = PromptLibrary::new(deployment, plan.sizes, plan.text_seed);
    (PlannedCall { at: Duration::ZERO, ..call }, library)
}

async fn call(scripts: Vec<Script>) -> (CallRecord, Vec<SeenRequest>) {
    let deployment = Rc::new(Deployment::shop());
    let (call, library) = first_prompt(&deployment);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let seen = Rc::new(RefCell::new(Vec::new()));
    let server = actix_rt::spawn(serve(listener, scripts, Rc::clone(&seen)));
    let patience = Duration::from_secs(20);
    let caller = Caller::new(CallTarget::Routers, vec![address], deployment, library, patience);
    let record = caller.call(&call).await;
    server.abort();
    let seen = seen.take();
    (record, seen)
}

struct VerdictCase {
    name: &'static str,
    script: Script,
    verdict: Verdict,
}

#[actix_rt::test]
async fn answers_get_their_verdicts() {
    use AnswerFault::*;
    use Verdict::*;
    let case = |name, script, verdict| VerdictCase { name, script, verdict };
    let cases = [
        case("whole", |request| whole_stream(request, SOUND), Whole),
        case(
            "the head names another request",
            |request| head("200 OK", "other", SOUND) + &chunk(&request.events(0, 3)) + LAST_CHUNK,
            Faulty(Crossed),
        ),
        case(
            "no server named",
            |request| whole_stream(request, "x-fulmargate-disposition: ran\r\n"),
            Faulty(Malformed),
        ),
        case(
            "no disposition",
            |request| whole_stream(request, "x-fulmargate-server: e\r\n"),
            Faulty(Malformed),
        ),
        case(
            "ended early as if whole",
            |request| {
                head("200 OK", request.id(), SOUND) + &chunk(&request.events(0, 2)) + LAST_CHUNK
            },
            Faulty(Truncated),
        ),
        case(
            "ended by an error event",
            |request| {
                let event = "event: error\ndata: {\"error\":{\"code\":\"stream_broken\"}}\n\n";
                let events = request.events(0, 2) + event;
                head("200 OK", request.id(), SOUND) + &chunk(&events) + LAST_CHUNK
            },
            Failed,
        ),
        case(
            "refused",
            |request| {
                let headers =
                    "x-fulmargate-disposition: not-run\r\nx-fulmargate-error: queue_full\r\n";
                refusal(request, headers, "queue_full")
            },
            Refused,
        ),
        case(
            "failed, and may have run",
            |request| {
                let headers =
                    "x-fulmargate-disposition: unknown\r\nx-fulmargate-error: internal\r\n";
                refusal(request, headers, "internal")
            },
            Failed,
        ),
        case(
            "an error without disposition",
            |request| refusal(request, "x-fulmargate-error: internal\r\n", "internal"),
            Faulty(Malformed),
        ),
        case(
            "an error with two codes",
            |request| {
                let headers =
                    "x-fulmargate-disposition: not-run\r\nx-fulmargate-error: queue_full\r\n";
                refusal(request, headers, "internal")
            },
            Faulty(Malformed),
        ),
        case("cut each time", |request| head("200 OK", request.id(), SOUND), Faulty(Lost)),
    ];
    for case in cases {
        let (record, _) = call(vec![case.script]).await;
        assert_eq!(record.verdict, case.verdict, "{}", case.name);
    }
}

/// The connection breaks after two of three tokens. The caller sends the same body again with the
/// id of the last event it got; the answer goes on at the third token, and the whole is whole.
#[actix_rt::test]
async fn a_cut_stream_is_resumed_from_the_last_event() {
    let cut: Script = |request| head("200 OK", request.id(), SOUND) + &chunk(&request.events(0, 2));
    let rest: Script =
        |request| head("200 OK", request.id(), SOUND) + &chunk(&request.events(2, 3)) + LAST_CHUNK;
    let (record, seen) = call(vec![cut, rest]).await;
    assert_eq!((record.verdict, record.tries_again), (Verdict::Whole, 1));
    assert_eq!(seen[0].header("last-event-id"), None);
    assert_eq!(seen[1].header("last-event-id"), Some("at-1"));
    assert_eq!(seen[0].body, seen[1].body);
}

/// The second answer begins again at the first token, as if nothing had been resumed.
#[actix_rt::test]
async fn a_resumed_stream_that_repeats_is_faulty() {
    let cut: Script = |request| head("200 OK", request.id(), SOUND) + &chunk(&request.events(0, 2));
    let again: Script = |request| whole_stream(request, SOUND);
    let (record, _) = call(vec![cut, again]).await;
    assert_eq!(record.verdict, Verdict::Faulty(AnswerFault::Repeated));
}

/// A server and its start.
type ServerLife = (&'static str, u64);

const A: ServerLife = ("engine-a", 1);
const A_ANEW: ServerLife = ("engine-a", 2);
const B: ServerLife = ("engine-b", 1);

/// The whole stream of a router, each token of another life; the last one had all shared blocks of
/// the prompt cached.
fn stream_of(request: &SeenRequest, lives: [ServerLife; 3]) -> String {
    let secrets = TokenSecrets::new(&["a secret of a test's own".to_owned()]).unwrap();
    let team = TeamName::new("a");
    let binding = TokenBinding::new(&team, "/v1/chat/completions", &request.body);
    let mut events = request.events(0, 3);
    for (index, (server, incarnation)) in (0..).zip(lives) {
        let token = ResumeToken {
            server: ServerName::new(server),
            incarnation: Incarnation(incarnation),
            weights: WeightsVersion(1),
            request_id: RequestId::new(request.id()),
            place: StreamPlace::before(index + 1).unwrap(),
        };
        let text = TokenMinter::new(&secrets, &binding, &token).mint(token.place);
        events = events.replace(&format!("id: at-{index}\n"), &format!("id: {text}\n"));
    }
    let (call, library) = first_prompt(&Deployment::shop());
    let touch = PromptTouch::of(&call, &library).unwrap();
    let shared: usize = touch.segments.iter().map(|segment| segment.blocks).sum();
    let details =
        format!(r#""prompt_tokens_details":{{"cached_tokens":{}}}"#, shared * BLOCK_TOKENS);
    let usage = format!(r#""prompt_tokens":{},{details}"#, touch.tokens);
    let events = events.replace(r#""prompt_tokens":9"#, &usage);
    head("200 OK", request.id(), SOUND) + &chunk(&events) + LAST_CHUNK
}

struct MoveCase {
    name: &'static str,
    script: Script,
    /// The token of the answer at whose time another call sent the same prefix.
    other_sent_at: Option<usize>,
    verdict: Verdict,
}

impl MoveCase {
    async fn check(&self) {
        let (record, _) = call(vec![self.script]).await;
        let (own, library) = first_prompt(&Deployment::shop());
        let mut records = vec![record];
        let mut touches = HashMap::from([(own.number, PromptTouch::of(&own, &library).unwrap())]);
        if let Some(token) = self.other_sent_at {
            let gaps: Duration = records[0].token_gaps[..token].iter().sum();
            let at = records[0].first_token.unwrap() + gaps;
            let other = PlannedCall { number: own.number + 1, at, ..own };
            touches.insert(other.number, PromptTouch::of(&other, &library).unwrap());
            records.push(CallRecord::new(&other));
        }
        CacheJudge::new(&touches).mark_foreign(&mut records);
        assert_eq!(records[0].verdict, self.verdict, "{}", self.name);
    }
}

/// A caller gets a whole answer that is its own, and it was judged foreign. The engine stood still
/// after some tokens; while it did, another call of the team sent the same prefix to a second
/// engine; the router moved the stream there, and that engine said truly that it had the prefix.
/// The usage is that of the last engine, so what was sent before its first token is what it may
/// have had; what nobody sent by then is foreign as before.
#[actix_rt::test]
async fn a_moved_stream_is_judged_by_what_was_sent_before_its_last_server() {
    use AnswerFault::Foreign;
    use Verdict::*;
    let case =
        |name, script, other_sent_at, verdict| MoveCase { name, script, other_sent_at, verdict };
    let cases = [
        case("sent before the move", |it| stream_of(it, [A, A, B]), Some(1), Whole),
        case("sent before the move back", |it| stream_of(it, [A, B, A]), Some(1), Whole),
        case("sent before the new start", |it| stream_of(it, [A, A, A_ANEW]), Some(1), Whole),
        case("sent by nobody", |it| stream_of(it, [A, A, B]), None, Faulty(Foreign)),
        case("sent after the move", |it| stream_of(it, [A, A, B]), Some(2), Faulty(Foreign)),
        case("sent at the move", |it| stream_of(it, [A, B, B]), Some(1), Faulty(Foreign)),
        case("not moved", |it| stream_of(it, [A, A, A]), Some(1), Faulty(Foreign)),
    ];
    for case in cases {
        case.check().await;
    }
}
