//! Servers that answer before they have read the request, or with a status that there is not.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CallerResponse;
use fulmargate_consortium_stand::EarlyAnswer;
use fulmargate_consortium_stand::EarlyEnd;
use fulmargate_consortium_stand::EarlyServer;
use fulmargate_consortium_stand::ServerMode;
use serde_json::json;

use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// More than the buffers of a connection take, and few enough bytes for them to take all.
const UPLOADS: [usize; 2] = [8 << 20, 40 << 10];
/// Requests of each kind.
const REQUESTS: usize = 4;
const PATHS: [&str; 3] = ["/read/", "/charge/", "/chat/"];

const UNREAD: &[EarlyAnswer] = &[
    EarlyAnswer {
        status: "200",
        read_bytes: 1_000,
        states_length: false,
        end: EarlyEnd::EndsThenCloses(Duration::ZERO),
    },
    EarlyAnswer {
        status: "200",
        read_bytes: 1_000,
        states_length: false,
        end: EarlyEnd::EndsThenCloses(Duration::from_millis(10)),
    },
    EarlyAnswer { status: "200", read_bytes: 1_000, states_length: false, end: EarlyEnd::Resets },
    EarlyAnswer {
        status: "200",
        read_bytes: 1_000,
        states_length: true,
        end: EarlyEnd::EndsThenCloses(Duration::ZERO),
    },
];

const INVALID_STATUSES: [&str; 8] = ["000", "099", "1000", "20", "0200", "2x0", "600", "999"];

/// A deployment whose only servers, but for prompts, give this answer.
async fn start(answer: EarlyAnswer) -> (TestDeployment, EarlyServer) {
    let deployment = TestDeployment::start(ServerMode::Echo).await;
    let mut config = initial_config();
    config.version = 2;
    config.routes.iter_mut().for_each(|route| route["timeoutMs"] = json!(REQUEST_TIMEOUT_MS));
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 16 << 20,
        "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
    });
    deployment.store.put_config_with_limits(&config, &limits);
    let accepted = || deployment.daemon.events("config_accepted").len();
    wait_until("the configuration is in force", || accepted() == 2).await;
    deployment.earn_retry_budget().await;
    let early = EarlyServer::start(answer).await.expect("start a server");
    for server in deployment.plain_servers.iter().chain(&deployment.engines) {
        deployment.store.remove_server(&server.name);
    }
    deployment.store.put_server("early-desk", "desk", early.address, "ready");
    deployment.store.put_server("early-engine", "engines", early.address, "ready");
    let gone = || deployment.daemon.events("server_gone").len();
    wait_until("only the early servers are listed", || gone() == 4).await;
    (deployment, early)
}

fn upload(path: &str, id: &str, bytes: usize) -> CallerRequest {
    let mut request = match path {
        "/chat/" => CallerRequest::prompt(&format!("{path}{id}"), id),
        _ => CallerRequest::new(&format!("{path}{id}"), id),
    };
    request.method = "POST";
    request.patience_ms = REQUEST_TIMEOUT_MS;
    request.body = "u".repeat(bytes).leak();
    request
}

/// Sends some requests of each kind, and passes each answer to `check`.
async fn send_all(
    answer: EarlyAnswer,
    sizes: &[usize],
    check: impl Fn(&str, &CallerResponse, &str),
) {
    let (deployment, early) = start(answer).await;
    for (path, size) in PATHS.iter().flat_map(|path| sizes.iter().map(move |size| (path, size))) {
        for number in 0..REQUESTS {
            let id = format!("{}-{size}-{number}", path.trim_matches('/'));
            let response = deployment.send(&upload(path, &id, *size)).await;
            check(path, &response, &format!("{answer:?}, {id}: {response:?}"));
            let runs = early.ids().iter().filter(|seen| **seen == id).count();
            assert!(*path != "/charge/" || runs <= 1, "{answer:?}, {id}: {runs} runs");
        }
    }
}

/// Guards against a part of an answer that counts as all of it because its server closed in good order, although the
/// server had not taken the request.
#[tokio::test]
async fn an_answer_to_a_request_that_was_not_taken_never_looks_complete() {
    for answer in UNREAD {
        send_all(*answer, &UPLOADS, |_, response, context| {
            assert!(response.status != 200 || !response.is_whole, "{context}");
        })
        .await;
    }
}

/// Guards against a check of answers without framing that rejects sound ones.
#[tokio::test]
async fn an_answer_without_framing_to_a_request_that_was_taken_is_passed_on() {
    for (size, read_bytes) in [(40 << 10, 40 << 10), (8 << 20, 8 << 20), (8 << 20, 1_000)] {
        let end = EarlyEnd::ReadsOn;
        let answer = EarlyAnswer { status: "200", read_bytes, states_length: false, end };
        send_all(answer, &[size], |path, response, context| {
            let is_whole = response.is_whole && response.body == EarlyServer::BODY;
            // The text is no stream of events.
            assert!(path == "/chat/" || response.status == 200 && is_whole, "{context}");
        })
        .await;
    }
}

/// Guards against a status that is none, or means nothing, which reaches a caller.
#[tokio::test]
async fn a_status_that_is_none_is_no_answer() {
    for status in INVALID_STATUSES {
        let end = EarlyEnd::ReadsOn;
        let answer = EarlyAnswer { status, read_bytes: 0, states_length: true, end };
        send_all(answer, &[0], |_, response, context| {
            assert_eq!(response.status, 502, "{context}");
        })
        .await;
    }
}
