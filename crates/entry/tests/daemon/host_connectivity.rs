//! A host that is cut short itself: servers are not to blame for it.

use fulmargate_consortium_stand::CallerAnswer;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ServerStand;
use serde_json::json;
use tokio::spawn;
use tokio::task::JoinHandle;

use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// A silent engine is asked after this time, in the midst of looks that take 1.8 s.
const TARGET_MS: u64 = 1_000;
/// Looks in vain, each of which tries both desks twice: enough for each to be taken for lost.
const VAIN_LOOKS: usize = 3;

/// A deployment whose requests have time.
async fn start(mode: ServerMode) -> TestDeployment {
    let deployment = TestDeployment::start(mode).await;
    let mut config = initial_config();
    config.version = 2;
    for route in &mut config.routes {
        route["timeoutMs"] = json!(REQUEST_TIMEOUT_MS);
        route["targetLatencyMs"] = json!(TARGET_MS);
    }
    deployment.store.put_config(&config);
    wait_until("requests have time", || deployment.daemon.events("config_accepted").len() == 2)
        .await;
    deployment
}

/// Sends a request, and returns when a server runs it.
async fn begin(
    deployment: &TestDeployment,
    servers: &[ServerStand],
    mut request: CallerRequest,
) -> JoinHandle<CallerAnswer> {
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let id = request.id.clone();
    let callers = deployment.callers;
    let running = spawn(async move { request.send(callers).await.expect("an answer") });
    wait_until("a server runs it", || {
        servers.iter().flat_map(ServerStand::seen).any(|seen| seen.id() == id)
    })
    .await;
    running
}

/// No connection comes about any more, to whatever server, as on a full link of the host.
async fn fill_link(deployment: &TestDeployment) {
    for server in deployment.plain_servers.iter().chain(&deployment.engines) {
        server.hold_connections().await.expect("connections hang");
    }
}

/// Looks that find no server.
async fn look_in_vain(deployment: &TestDeployment) {
    for turn in 0..VAIN_LOOKS {
        let answer = deployment.send(&CallerRequest::new("/read/x", &format!("vain-{turn}"))).await;
        assert_eq!(answer.status, 503);
    }
}

/// A charge is answered 502 although its server is well and goes on with it.
/// The host's own link is full for two seconds. Connections for other requests fail, to each server three
/// and more in a row, and all servers are taken for lost with what waits there.
/// The charge is waited for, and has its own answer.
#[tokio::test]
async fn a_charge_is_waited_for_while_no_server_can_be_reached() {
    let deployment = start(ServerMode::Wait).await;
    let charge = CallerRequest::new("/charge/x", "charge-1");
    let running = begin(&deployment, &deployment.plain_servers, charge).await;
    fill_link(&deployment).await;
    look_in_vain(&deployment).await;
    deployment.set_plain_mode(ServerMode::Answer);
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert_eq!(deployment.plain_request_count(), 1);
}

/// A caller waits for what will never come.
/// One desk is gone while the other and the engines can be reached: its silence is its own. The charge that
/// it ran is answered at once, and not sent again.
#[tokio::test]
async fn a_lost_server_is_seen_while_others_are_reached() {
    let deployment = start(ServerMode::Wait).await;
    let charge = CallerRequest::new("/charge/x", "charge-2");
    let running = begin(&deployment, &deployment.plain_servers, charge).await;
    let is_busy = |desk: &&ServerStand| !desk.seen().is_empty();
    let busy = deployment.plain_servers.iter().find(is_busy).expect("a desk runs it");
    busy.hold_connections().await.expect("connections hang");
    for desk in deployment.plain_servers.iter().filter(|desk| desk.name != busy.name) {
        desk.set_mode(ServerMode::Refuse);
    }
    let mut turn = 0;
    while !running.is_finished() {
        deployment.send(&CallerRequest::new("/read/x", &format!("seen-{turn}"))).await;
        turn += 1;
    }
    let answer = running.await.expect("the task ends");
    assert_eq!(answer.status, 502);
    assert_eq!(busy.seen().len(), 1);
}

/// A host with a full link looks to its operators like servers that are gone: each of its lines names another
/// server that cannot be reached. What it concludes of itself is told once when that begins and once when
/// it ends, with how many servers were silent and how many were heard, and is counted.
#[tokio::test]
async fn a_doubt_is_told_when_it_begins_and_when_it_ends() {
    let deployment = start(ServerMode::Answer).await;
    let daemon = &deployment.daemon;
    fill_link(&deployment).await;
    look_in_vain(&deployment).await;
    let lines = |name| daemon.events(name).len();
    wait_until("each doubt ends by itself", || {
        0 < lines("own_reach_doubted") && lines("own_reach_doubted") == lines("own_reach_restored")
    })
    .await;
    let doubts = daemon.events("own_reach_doubted");
    assert_eq!((doubts[0]["silent"].as_u64(), doubts[0]["heard"].as_u64()), (Some(2), Some(0)));
    let ends = daemon.events("own_reach_restored");
    assert!(ends[0]["for_ms"].is_u64(), "{ends:?}");
    let metrics = daemon.address("metrics").await;
    let page = CallerRequest::new("/metrics", "m").send(metrics).await.expect("metrics").body;
    assert!(page.contains(&format!("fulmargate_self_doubts_total {}", doubts.len())), "{page}");
    assert!(page.contains("fulmargate_connects_total{end=\"silent\"} 12"), "{page}");
}

/// What becomes of new connections when those that are open break.
#[derive(Clone, Copy)]
enum NewConnections {
    AllHang,
    /// Those to the desk are refused, all others come about.
    DeskRefuses,
    /// Those to the desk hang, all others come about.
    DeskHangs,
}

struct CrashCase {
    name: &'static str,
    connections: NewConnections,
    /// Whether the desk is said to have crashed. The engine never is.
    crashed: bool,
}

const CRASHES: &[CrashCase] = &[
    CrashCase { name: "full link", connections: NewConnections::AllHang, crashed: false },
    CrashCase { name: "refused", connections: NewConnections::DeskRefuses, crashed: true },
    CrashCase { name: "gone", connections: NewConnections::DeskHangs, crashed: true },
];

impl CrashCase {
    async fn arrange(&self, deployment: &TestDeployment, desk: &ServerStand) {
        for server in deployment.plain_servers.iter().chain(&deployment.engines) {
            match (self.connections, server.name == desk.name) {
                (NewConnections::DeskRefuses, true) => server.stop_accepting(),
                (NewConnections::DeskRefuses | NewConnections::DeskHangs, false) => {}
                _ => server.hold_connections().await.expect("connections hang"),
            }
        }
    }

    /// A charge and a stream break; what is said of their servers.
    async fn check(&self) {
        let deployment = start(ServerMode::Wait).await;
        let charge = CallerRequest::new("/charge/x", "charge-3");
        let charge = begin(&deployment, &deployment.plain_servers, charge).await;
        let stream = CallerRequest::prompt("/non-resumable/x", "stream-3");
        let stream = begin(&deployment, &deployment.engines, stream).await;
        let is_busy = |desk: &&ServerStand| !desk.seen().is_empty();
        let desk = deployment.plain_servers.iter().find(is_busy).expect("a desk runs it");
        self.arrange(&deployment, desk).await;
        deployment.set_plain_mode(ServerMode::LoseAnswer);
        deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::LoseAnswer));
        assert_eq!(charge.await.expect("the task ends").status, 502, "{}", self.name);
        assert_eq!(stream.await.expect("the task ends").status, 502, "{}", self.name);
        let lines = |name| deployment.daemon.events(name);
        wait_until(self.name, || {
            !lines("server_crashed").is_empty() || !lines("own_reach_restored").is_empty()
        })
        .await;
        let crashed: Vec<String> =
            lines("server_crashed").iter().map(|line| line["server"].to_string()).collect();
        let expected = if self.crashed { vec![format!("\"{}\"", desk.name)] } else { Vec::new() };
        assert_eq!(crashed, expected, "{}", self.name);
    }
}

/// Innocent requests are refused everywhere, as if they crashed servers.
/// The host's own link is full: connections break, and a new one to each server does not come about. Each
/// of the servers is said to have crashed by the request it ran, and all routers are told.
/// Silence is no crash while nobody is heard; a refusal is, and so is silence of one server alone.
#[tokio::test]
async fn a_full_link_crashes_no_server() {
    for case in CRASHES {
        case.check().await;
    }
}

/// A visitor's question is answered late or not at all, and run twice.
/// Its engine reads a long prompt and is well; the host's own link is full. The question whether the
/// engine is there finds no connection, the engine is given up, and the send elsewhere finds none either.
/// The engine is waited for while the host reaches nobody.
#[tokio::test]
async fn a_silent_engine_is_not_given_up_on_a_full_link() {
    let deployment = start(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Wait));
    deployment.set_plain_mode(ServerMode::Wait);
    let chat = CallerRequest::prompt("/chat/x", "chat-4");
    let running = begin(&deployment, &deployment.engines, chat).await;
    fill_link(&deployment).await;
    look_in_vain(&deployment).await;
    let connects = deployment.daemon.events("attempt_retried");
    assert!(connects.iter().all(|line| line["end"] == "NotSent"), "{connects:?}");
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Stream(2)));
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    let runs = deployment.engines.iter().flat_map(ServerStand::seen);
    assert_eq!(runs.filter(|seen| seen.id() == "chat-4").count(), 1);
}

/// Prompts stay away from engines that are well, and requests there are given up.
/// The holder of the lease is cut short and has no report of any engine in time. Each is held to be out of
/// reach, one like the other. Reports are connections too: the host doubts itself, without any request.
#[tokio::test]
async fn a_holder_that_hears_of_no_engine_doubts_itself() {
    let deployment = start(ServerMode::Stream(1)).await;
    for engine in &deployment.engines {
        engine.hold_connections().await.expect("connections hang");
    }
    deployment.store.name_weights(2);
    let lines = |name| deployment.daemon.events(name);
    wait_until("engines are silent", || {
        lines("order_refused").iter().filter(|line| line["end"] == "Silent").count() >= 4
    })
    .await;
    let doubts = lines("own_reach_doubted");
    assert!(!doubts.is_empty(), "{:?}", lines("order_refused"));
    assert_eq!((doubts[0]["silent"].as_u64(), doubts[0]["heard"].as_u64()), (Some(2), Some(0)));
}
