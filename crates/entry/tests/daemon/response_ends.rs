//! A response that was broken off never reaches its caller as a complete one, however it was framed.

use fulmargate_consortium_stand::CallerChannel;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CallerResponse;
use fulmargate_consortium_stand::ECHO_EVENTS;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::LineEnd;
use fulmargate_consortium_stand::ResponseShape;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ShapeContent;
use fulmargate_consortium_stand::ShapeEnd;
use fulmargate_consortium_stand::ShapeFraming;
use fulmargate_consortium_stand::echo_event;
use fulmargate_consortium_stand::echo_text;
use fulmargate_consortium_stand::send_http_10;

use crate::support::TestDeployment;
use crate::support::wait_until;

/// Events that a server sends before it breaks off.
const SENT_EVENTS: u32 = 3;
const INSIDE: ShapeContent = ShapeContent::CutInsideEvent(SENT_EVENTS);
const BETWEEN: ShapeContent = ShapeContent::CutBetweenEvents(SENT_EVENTS);
const WHOLE_RESPONSE: ResponseShape = ResponseShape::whole(ShapeFraming::Chunked);

/// What becomes of a response that ends like this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It is passed on as it is.
    Complete,
    /// It was broken off.
    BrokenOff,
}

/// An end, with the verdict for each framing: length, chunks, none, HTTP/1.0.
struct EndCase {
    name: &'static str,
    content: ShapeContent,
    end: ShapeEnd,
    verdicts: [Verdict; 4],
}

const FRAMINGS: [ShapeFraming; 4] =
    [ShapeFraming::Length, ShapeFraming::Chunked, ShapeFraming::UntilClose, ShapeFraming::Http10];

const STREAM_CASES: &[EndCase] = &[
    EndCase {
        name: "whole",
        content: ShapeContent::Whole,
        end: ShapeEnd::Framed,
        verdicts: [Verdict::Complete; 4],
    },
    EndCase {
        name: "inside-framed",
        content: INSIDE,
        end: ShapeEnd::Framed,
        verdicts: [Verdict::BrokenOff; 4],
    },
    EndCase {
        name: "between-framed",
        content: BETWEEN,
        end: ShapeEnd::Framed,
        verdicts: [Verdict::Complete; 4],
    },
    EndCase {
        name: "inside-closed",
        content: INSIDE,
        end: ShapeEnd::Closed,
        verdicts: [Verdict::BrokenOff; 4],
    },
    EndCase {
        name: "inside-reset",
        content: INSIDE,
        end: ShapeEnd::Reset,
        verdicts: [Verdict::BrokenOff; 4],
    },
    EndCase {
        name: "between-reset",
        content: BETWEEN,
        end: ShapeEnd::Reset,
        verdicts: [Verdict::BrokenOff; 4],
    },
    EndCase {
        name: "between-closed",
        content: BETWEEN,
        end: ShapeEnd::Closed,
        verdicts: [Verdict::BrokenOff, Verdict::BrokenOff, Verdict::Complete, Verdict::Complete],
    },
    EndCase {
        name: "no-event-closed",
        content: ShapeContent::CutBetweenEvents(0),
        end: ShapeEnd::Closed,
        verdicts: [Verdict::BrokenOff; 4],
    },
];

const PLAIN_CASES: &[EndCase] = &[
    EndCase {
        name: "whole",
        content: ShapeContent::Whole,
        end: ShapeEnd::Framed,
        verdicts: [Verdict::Complete; 4],
    },
    EndCase {
        name: "half-closed",
        content: INSIDE,
        end: ShapeEnd::Closed,
        verdicts: [Verdict::BrokenOff, Verdict::BrokenOff, Verdict::Complete, Verdict::Complete],
    },
    EndCase {
        name: "half-reset",
        content: INSIDE,
        end: ShapeEnd::Reset,
        verdicts: [Verdict::BrokenOff; 4],
    },
];

/// What the caller and the servers saw of one request.
struct Exchange {
    answer: CallerResponse,
    /// The last event that each run of the request named; empty for the first.
    runs: Vec<String>,
}

fn events(id: &str, count: u32) -> String {
    (1..=count).map(|number| echo_event(id, number)).collect()
}

/// Sends a request to servers of which the first that gets it responds in this shape, all others whole.
async fn exchange(
    deployment: &TestDeployment,
    servers: &[FakeServer],
    request: &CallerRequest,
    shape: ResponseShape,
) -> Exchange {
    servers.iter().for_each(|server| server.set_mode(ServerMode::Wait));
    let (callers, sent) = (deployment.callers, request.clone());
    let request_task = tokio::spawn(async move { sent.send(callers).await });
    let runs_request =
        |server: &&FakeServer| server.seen().iter().any(|seen| seen.id() == request.id.as_str());
    wait_until("a server runs the request", || servers.iter().any(|server| runs_request(&server)))
        .await;
    let first = servers.iter().find(runs_request).expect("a server runs the request");
    let others = servers.iter().filter(|server| server.name != first.name);
    others.for_each(|server| server.set_mode(ServerMode::Shaped(WHOLE_RESPONSE)));
    first.set_mode(ServerMode::Shaped(shape));
    let answer = request_task.await.expect("the request task completes");
    let seen = servers.iter().flat_map(FakeServer::seen);
    let own = seen.filter(|seen| seen.id() == request.id.as_str());
    let runs = own.map(|seen| seen.last_event().to_owned()).collect();
    Exchange { answer: answer.expect("a response from the daemon"), runs }
}

/// Runs each case with each framing.
async fn check_all(
    deployment: &TestDeployment,
    servers: &[FakeServer],
    cases: &[EndCase],
    request: impl Fn(&str) -> CallerRequest,
    check: impl Fn(&EndCase, &str, Verdict, Exchange),
) {
    for case in cases {
        for (framing, verdict) in FRAMINGS.into_iter().zip(case.verdicts) {
            let id = format!("{}-{framing:?}", case.name);
            let request = request(&id);
            let shape = ResponseShape::whole(framing).ending(case.content, case.end);
            let exchange = exchange(deployment, servers, &request, shape).await;
            check(case, &id, verdict, exchange);
        }
    }
}

fn sent_events(case: &EndCase) -> u32 {
    match case.content {
        ShapeContent::Whole => ECHO_EVENTS,
        ShapeContent::CutInsideEvent(count) | ShapeContent::CutBetweenEvents(count) => count,
    }
}

/// A resumable stream that was broken off must go on at another engine after its last complete event.
#[tokio::test]
async fn a_cut_stream_resumes_whatever_its_framing() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    deployment.earn_retry_budget().await;
    let engines = &deployment.engines;
    let request = |id: &str| CallerRequest::prompt(&format!("/chat/{id}"), id);
    check_all(&deployment, engines, STREAM_CASES, request, |case, id, verdict, seen| {
        let sent = sent_events(case);
        let wanted = match verdict {
            Verdict::Complete => (events(id, sent), true, 1),
            Verdict::BrokenOff => (events(id, ECHO_EVENTS), true, 2),
        };
        let is_whole = seen.answer.is_whole;
        assert_eq!((seen.answer.body, is_whole, seen.runs.len()), wanted, "{id}");
        let point = if sent == 0 { String::new() } else { sent.to_string() };
        let is_resumed_there = seen.runs.contains(&point);
        assert!(verdict == Verdict::Complete || is_resumed_there, "{id}: {:?}", seen.runs);
    })
    .await;
}

/// A stream that may not be resumed must be aborted if it was broken off, without a part of an event.
#[tokio::test]
async fn a_cut_stream_never_looks_complete() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    let engines = &deployment.engines;
    let request = |id: &str| CallerRequest::prompt(&format!("/non-resumable/{id}"), id);
    check_all(&deployment, engines, STREAM_CASES, request, |case, id, verdict, seen| {
        let wanted = (events(id, sent_events(case)), verdict == Verdict::Complete, 1);
        let is_whole = seen.answer.is_whole;
        assert_eq!((seen.answer.body, is_whole, seen.runs.len()), wanted, "{id}");
    })
    .await;
}

/// An idempotent call whose response was broken off must run again elsewhere.
#[tokio::test]
async fn a_cut_response_is_requested_again() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    deployment.earn_retry_budget().await;
    let servers = &deployment.plain_servers;
    let request = |id: &str| CallerRequest::new(&format!("/read/{id}"), id);
    check_all(&deployment, servers, PLAIN_CASES, request, |case, id, verdict, seen| {
        let runs = if verdict == Verdict::BrokenOff { 2 } else { 1 };
        let is_half = verdict == Verdict::Complete && case.content != ShapeContent::Whole;
        let mut body = echo_text(id);
        body.truncate(if is_half { body.len() / 2 } else { body.len() });
        let is_whole = seen.answer.is_whole;
        assert_eq!((seen.answer.body, is_whole, seen.runs.len()), (body, true, runs), "{id}");
    })
    .await;
}

/// A call that may not run twice must fail visibly if its response was broken off, and must not be sent again.
#[tokio::test]
async fn a_cut_response_to_a_charge_fails() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    let servers = &deployment.plain_servers;
    let request = |id: &str| CallerRequest::new(&format!("/charge/{id}"), id);
    check_all(&deployment, servers, PLAIN_CASES, request, |_, id, verdict, seen| {
        let status = if verdict == Verdict::BrokenOff { 502 } else { 200 };
        assert_eq!((seen.answer.status, seen.runs.len()), (status, 1), "{id}");
    })
    .await;
}

/// A server whose process is killed closes its connections in good order. A response without framing that ends
/// so must not be taken for complete, though it ends between two events.
#[tokio::test]
async fn a_stream_of_a_killed_engine_resumes() {
    for framing in FRAMINGS {
        let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
        deployment.earn_retry_budget().await;
        let shape = ResponseShape::whole(framing).ending(BETWEEN, ShapeEnd::Killed);
        let request = CallerRequest::prompt("/chat/killed", "killed");
        let seen = exchange(&deployment, &deployment.engines, &request, shape).await;
        let wanted = (events("killed", ECHO_EVENTS), true);
        assert_eq!((seen.answer.body, seen.answer.is_whole), wanted, "{framing:?}");
        assert!(seen.runs.contains(&SENT_EVENTS.to_string()), "{framing:?}");
    }
}

/// The same for a plain call that may not run twice: its caller must learn that the outcome is unknown.
#[tokio::test]
async fn a_charge_at_a_killed_server_fails() {
    for framing in FRAMINGS {
        let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
        let shape = ResponseShape::whole(framing).ending(INSIDE, ShapeEnd::Killed);
        let request = CallerRequest::new("/charge/killed", "killed");
        let seen = exchange(&deployment, &deployment.plain_servers, &request, shape).await;
        assert_eq!((seen.answer.status, seen.runs.len()), (502, 1), "{framing:?}");
    }
}

/// A server that leaves as planned may exit right after its last response, and refuses connections then. The response
/// must not be called broken for that, or a planned stop would cut it.
#[tokio::test]
async fn the_last_response_of_a_leaving_server_is_complete() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Wait).await;
    let (callers, request) = (deployment.callers, CallerRequest::prompt("/chat/x", "last"));
    let request_task = tokio::spawn(async move { request.send(callers).await });
    let runs = |engine: &&FakeServer| !engine.seen().is_empty();
    wait_until("an engine runs the request", || deployment.engines.iter().any(|one| runs(&one)))
        .await;
    let engine = deployment.engines.iter().find(runs).expect("an engine runs the request");
    deployment.store.put_server(&engine.name, "engines", engine.address, "draining");
    wait_until("the daemon knows that the engine leaves", || {
        !deployment.daemon.events("server_leaving").is_empty()
    })
    .await;
    let shape = ResponseShape::whole(ShapeFraming::UntilClose)
        .ending(ShapeContent::Whole, ShapeEnd::Killed);
    engine.set_mode(ServerMode::Shaped(shape));
    let answer = request_task.await.expect("the request task completes").expect("a response");
    assert_eq!((answer.body, answer.is_whole), (events("last", ECHO_EVENTS), true));
    let run_count: usize = deployment.engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(run_count, 1);
}

/// Chunks override a length beside them. Passed on, that length would cut the response at half of it, and leave the rest
/// as the beginning of the next one.
#[tokio::test]
async fn a_length_beside_chunks_does_not_cut_a_response() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    let shape = ResponseShape::whole(ShapeFraming::ChunkedAndLength);
    deployment.set_plain_mode(ServerMode::Shaped(shape));
    let mut channel = CallerChannel::open(deployment.callers).await.expect("connect to the daemon");
    for id in ["both-1", "both-2"] {
        let request = CallerRequest::new("/charge/x", id);
        let answer = channel.send(&request).await.expect("a response from the daemon");
        assert_eq!((answer.body, answer.is_whole), (echo_text(id), true));
    }
}

/// On-call engineers find the cause of a broken stream in its log lines, and how many there are in the metrics.
#[tokio::test]
async fn the_log_tells_how_a_response_ended() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    let shape = ResponseShape::whole(ShapeFraming::UntilClose).ending(INSIDE, ShapeEnd::Closed);
    let request = CallerRequest::prompt("/non-resumable/logged", "logged");
    exchange(&deployment, &deployment.engines, &request, shape).await;
    let is_own = |line: &serde_json::Value| line["id"] == "logged";
    let failed = || deployment.daemon.events("request_failed").into_iter().find(is_own);
    wait_until("the failure is logged", || failed().is_some()).await;
    let line = failed().expect("the failure is logged");
    for (field, value) in [
        ("framing", "until_close"),
        ("body_end", "finished"),
        ("content_end", "inside_event"),
        ("server_check", "unchecked"),
        ("detail", "the stream ended inside an event"),
    ] {
        assert_eq!(line[field], value, "{line}");
    }
    assert_eq!(line["events"], SENT_EVENTS, "{line}");
    assert!(line["partial_bytes"].as_u64().is_some_and(|bytes| 0 < bytes), "{line}");
    let counter = "fulmargate_response_ends_total{framing=\"until_close\",end=\"finished\",\
                   content=\"inside_event\",verdict=\"broken_off\"}";
    assert_eq!(deployment.daemon.counter(counter).await, 1);
}

/// A response to HEAD has a length and no body, and must not be called broken for it.
#[tokio::test]
async fn a_response_to_head_is_complete() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    for framing in [ShapeFraming::Length, ShapeFraming::Chunked] {
        let mode = ServerMode::Shaped(ResponseShape::whole(framing));
        deployment.set_plain_mode(mode);
        let id = format!("head-{framing:?}");
        let mut request = CallerRequest::new(&format!("/charge/{id}"), &id);
        request.method = "HEAD";
        let answer = deployment.send(&request).await;
        let seen = (answer.status, answer.body.as_str(), answer.is_whole);
        assert_eq!(seen, (200, "", true), "{framing:?}");
    }
}

/// A whole stream must not be called broken for its line ends, and resumes at the right event with each of them.
#[tokio::test]
async fn line_ends_do_not_break_a_stream() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    deployment.earn_retry_budget().await;
    for line_end in [LineEnd::Lf, LineEnd::CrLf, LineEnd::Cr] {
        for (name, content, runs) in [("whole", ShapeContent::Whole, 1), ("cut", INSIDE, 2)] {
            let id = format!("{name}-{line_end:?}");
            let shape = ResponseShape::whole(ShapeFraming::UntilClose)
                .ending(content, ShapeEnd::Closed)
                .with_line_end(line_end);
            let request = CallerRequest::prompt(&format!("/chat/{id}"), &id);
            let seen = exchange(&deployment, &deployment.engines, &request, shape).await;
            let sent = if runs == 1 { ECHO_EVENTS } else { SENT_EVENTS };
            let own = shape.stream(&id, 0);
            let mut rest = WHOLE_RESPONSE.stream(&id, sent);
            rest.insert_str(0, &own[..own.len() - shape.stream(&id, sent).len()]);
            assert_eq!((seen.answer.body, seen.answer.is_whole), (rest, true), "{id}");
            assert_eq!(seen.runs.len(), runs, "{id}");
        }
    }
}

/// A caller of HTTP/1.0 gets no chunks: only a reset tells it that its stream was aborted.
#[tokio::test]
async fn an_http_10_caller_can_tell_an_abort() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Echo).await;
    for (content, end, is_whole) in [
        (ShapeContent::Whole, ShapeEnd::Framed, true),
        (INSIDE, ShapeEnd::Closed, false),
        (BETWEEN, ShapeEnd::Reset, false),
    ] {
        let shape = ResponseShape::whole(ShapeFraming::UntilClose).ending(content, end);
        deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Shaped(shape)));
        let id = format!("old-{content:?}").replace(['(', ')'], "-");
        let request = CallerRequest::prompt(&format!("/non-resumable/{id}"), &id);
        let answer = send_http_10(&request, deployment.callers).await.expect("a response");
        assert_eq!((answer.status, answer.is_whole), (200, is_whole), "{id}: {}", answer.body);
        assert!(events(&id, ECHO_EVENTS).starts_with(&answer.body), "{id}: {}", answer.body);
    }
}
