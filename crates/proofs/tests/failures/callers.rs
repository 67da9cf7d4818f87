//! Callers that send bad requests, or leave, harm nobody else.

use std::cell::Cell;
use std::time::Duration;

use awc::Client;
use fulmargate_stand::deployment::Deployment;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

const RATE: f64 = 60.0;
const SECONDS: u64 = 6;
const ROUNDS: usize = 25;
const PAUSE: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(50);
/// Polls before a wait fails the proof: a bound on it, not a measure of it.
const MOST_POLLS: usize = 600;
/// Over the routers' default limit.
const LARGE: usize = 5 * 1024 * 1024;
/// Far more tokens than an engine gives within the proof.
const ENDLESS: usize = 65_000;

/// What bad callers were told.
#[derive(Default)]
struct BadCalls {
    broken: Cell<usize>,
    large: Cell<usize>,
    left: Cell<usize>,
}

/// Good callers get their whole answers. Meanwhile others send broken and far too large bodies,
/// begin a head or a body and send no more, and leave in the middle of endless streams, at each
/// router in turn. The bad ones are refused by status; engines stop computing for those that left.
#[actix_rt::test]
async fn bad_callers_harm_nobody_else() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, RATE, SECONDS, 0.3);
    let calls = BadCalls::default();
    let mut kept_open = Vec::new();
    let bad = async {
        for router in fleet.caller_addresses().iter().cycle().take(ROUNDS) {
            send_broken(&fleet, router, &calls).await;
            send_large(&fleet, router, &calls).await;
            leave_stream(&fleet, router, &calls).await;
            kept_open.push(begin(router, "POST /v1/comp").await);
            kept_open.push(begin(router, &head(&fleet, 1_000)).await);
            sleep(PAUSE).await;
        }
    };
    let (records, ()) = tokio::join!(load.send(), bad);
    println!("broken {:?}, large {:?}, left {:?}", calls.broken, calls.large, calls.left);
    load.judge(&fleet, records).await.must_be_sound(0.97);
    assert_eq!(calls.broken.get(), ROUNDS, "each broken body is told so");
    assert_eq!(calls.large.get(), ROUNDS, "each large body is told so");
    assert_eq!(calls.left.get(), ROUNDS, "each stream had begun");
    for engine in fleet.engine_names() {
        until_idle(&fleet, &engine).await;
    }
}

fn head(fleet: &ProcessFleet, length: usize) -> String {
    let key = &fleet.deployment.teams[0].key;
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Opens a connection and sends the text.
async fn begin(router: &str, text: &str) -> TcpStream {
    let mut connection = TcpStream::connect(router).await.expect("the router listens");
    connection.write_all(text.as_bytes()).await.expect("the router reads");
    connection
}

/// The status of the answer to a body.
async fn status(fleet: &ProcessFleet, router: &str, body: &[u8]) -> String {
    let mut connection = begin(router, &head(fleet, body.len())).await;
    connection.write_all(body).await.expect("the router reads a body that it refuses");
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.expect("a whole answer");
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

async fn send_broken(fleet: &ProcessFleet, router: &str, calls: &BadCalls) {
    if status(fleet, router, b"{\"model\":").await == "400" {
        calls.broken.set(calls.broken.get() + 1);
    }
}

async fn send_large(fleet: &ProcessFleet, router: &str, calls: &BadCalls) {
    if status(fleet, router, &vec![b'a'; LARGE]).await == "413" {
        calls.large.set(calls.large.get() + 1);
    }
}

/// Reads the begin of an endless stream and leaves.
async fn leave_stream(fleet: &ProcessFleet, router: &str, calls: &BadCalls) {
    let model = &fleet.deployment.model;
    let body = json!({
        "model": model, "prompt": "a caller that leaves", "max_tokens": ENDLESS, "stream": true,
    });
    let body = body.to_string();
    let mut connection = begin(router, &(head(fleet, body.len()) + &body)).await;
    let mut first = [0; 256];
    let read = connection.read(&mut first).await.expect("the begin of an answer");
    if String::from_utf8_lossy(&first[..read]).starts_with("HTTP/1.1 200") {
        calls.left.set(calls.left.get() + 1);
    }
}

/// Waits until an engine has nothing under way.
async fn until_idle(fleet: &ProcessFleet, engine: &str) {
    let client = Client::default();
    let url = format!("http://{}/control/state", fleet.address(engine));
    let mut running = Value::Null;
    for _ in 0..MOST_POLLS {
        if let Ok(mut answer) = client.get(&url).send().await {
            let state: Value = answer.json().await.expect("the engine's report");
            running = state["running"].clone();
        }
        if running == 0 {
            return;
        }
        sleep(POLL).await;
    }
    panic!("{engine} still has {running} requests under way");
}
