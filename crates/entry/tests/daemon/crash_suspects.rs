//! Requests that ran beside one which crashes servers.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::ResponseShape;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ShapeContent;
use fulmargate_consortium_stand::ShapeEnd;
use fulmargate_consortium_stand::ShapeFraming;
use fulmargate_consortium_stand::open_stream;
use indexmap::IndexSet;
use tokio::time::sleep;

use crate::crash_fleet::CrashFleet;
use crate::crash_fleet::HOSTS;
use crate::crash_fleet::crashing;
use crate::cut_fleet::CutFleet;
use crate::cut_fleet::patient_config;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

/// Requests that run at the first server when it ends, beside the one that crashes it.
const INNOCENTS: usize = 4;
/// Times that a caller sends its request.
const MAX_TRIES: usize = 40;
/// Pause of a caller before it sends its request again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The crash comes late enough for requests sent together to be aboard, and before they end.
const CRASH_DELAY: Duration = Duration::from_millis(800);
/// Time in which a host finds out that a server is out of its reach.
const VERDICT_TIME: Duration = Duration::from_secs(4);

/// Longer than servers of one service end one after the other under a request that crashes them.
const LAST_CUT_PAUSE: Duration = Duration::from_secs(1);

/// Requests that the hosts reject as crashing servers.
fn convicted(daemons: &[DaemonProcess]) -> IndexSet<String> {
    let lines = daemons.iter().flat_map(|daemon| daemon.events("request_convicted"));
    lines.map(|line| line["print"].to_string()).collect()
}

/// Where suspected requests went, and the crashes that count against them, in the order of time.
fn history(daemons: &[DaemonProcess]) -> String {
    let mut lines = Vec::new();
    for daemon in daemons {
        for name in ["suspect_sent", "request_suspected", "request_convicted", "request_cleared"] {
            for line in daemon.events(name).iter().filter(|line| line["source"] != "gossip") {
                let print = line["print"].as_str().unwrap_or_default().get(..4).unwrap_or_default();
                let field = |name: &str| line[name].to_string();
                let (server, count, others) = (field("server"), field("count"), field("others"));
                let at = field("timestamp");
                lines.push(format!("{at} {name} {print} {server} count {count} others {others}"));
            }
        }
    }
    lines.sort();
    lines.join("\n")
}

/// Sends a request again and again, at each host in turn, until a server completes it or it is rejected as crashing.
async fn send_until_final(callers: Vec<std::net::SocketAddr>, path: String) -> u16 {
    let mut status = 0;
    for number in 0..MAX_TRIES {
        let request = crashing(&path, &format!("{}-{number}", path.replace('/', "-")));
        let response = request.send(callers[number % callers.len()]).await;
        status = response.map_or(0, |response| response.status);
        let is_crashing = path.contains("crash");
        if status == 200 || (is_crashing && status == 503) {
            return status;
        }
        sleep(RETRY_PAUSE).await;
    }
    status
}

/// One of five requests at a server crashes it, and each further one that runs it.
async fn check_innocents(servers: usize) {
    let rule = CrashRule { marker: "crash", delay: CRASH_DELAY, end: CrashEnd::BeforeHead };
    let mut fleet = CrashFleet::start_with(rule, 1).await;
    fleet.set_mode(ServerMode::PausedEcho);
    let mut callers = Vec::new();
    for daemon in &fleet.daemons {
        callers.push(daemon.address("callers").await);
    }
    let mut tasks = Vec::new();
    for number in 0..=INNOCENTS {
        let path =
            if number == 0 { "/charge/crash".to_owned() } else { format!("/charge/{number}") };
        let mut callers = callers.clone();
        callers.rotate_left(number % HOSTS);
        tasks.push(tokio::spawn(send_until_final(callers, path)));
    }
    for number in 2..=servers {
        fleet.start_server(&format!("desk-{number}"), ServerMode::PausedEcho).await;
    }
    while tasks.iter().any(|task| !task.is_finished()) {
        fleet.restart_closed_servers().await;
        sleep(RETRY_PAUSE).await;
    }
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await.expect("a finished task"));
    }
    let convicted = convicted(&fleet.daemons);
    let history = history(&fleet.daemons);
    let name = format!("{servers} servers: {statuses:?}, convicted {convicted:?}\n{history}");
    assert_eq!(convicted.len(), 1, "{name}");
    assert_eq!(statuses, [503, 200, 200, 200, 200], "{name}");
    assert_eq!(fleet.crash_count(), 3, "{name}");
}

/// Guards against innocent requests that travel with a crashing one from server to server, and are convicted with it.
#[tokio::test]
async fn innocents_are_not_convicted_at_three_servers() {
    check_innocents(3).await;
}

/// Guards against the same where there is a server for each suspected request.
#[tokio::test]
async fn innocents_are_not_convicted_at_twelve_servers() {
    check_innocents(12).await;
}

/// Guards against a crash that is confirmed by a host which reaches no server itself.
#[tokio::test]
async fn two_cut_hosts_confirm_no_crash_to_each_other() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in [0, 1] {
        // Completed lately, so that no suspicion asks the third host.
        assert_eq!(fleet.send(host, &CallerRequest::new("/charge/x", "before")).await.status, 200);
    }
    fleet.set_mode(ServerMode::PausedEcho);
    let mut open = Vec::new();
    for host in [0, 1] {
        let mut request = CallerRequest::new("/charge/x", &format!("open-{host}"));
        request.patience_ms = REQUEST_TIMEOUT_MS;
        open.push(fleet.begin(host, request).await);
    }
    for host in [0, 1] {
        fleet.cut_all(host, LinkCut::Reset).await;
    }
    wait_until("the hosts check the servers", || {
        [0, 1].iter().all(|host| !fleet.events(*host, "attempt_retried").is_empty())
    })
    .await;
    sleep(VERDICT_TIME).await;
    for host in 0..3 {
        let crashes = fleet.events(host, "server_crashed");
        assert!(crashes.is_empty(), "host {host}: {crashes:?}");
    }
    for task in open {
        task.await.expect("a finished task");
    }
}

/// Guards against sound requests that are suspected when the last host that reaches the service loses it as well: the
/// others were cut off before, and tell nothing of the servers.
#[tokio::test]
async fn the_cut_of_the_last_host_counts_as_no_crash() {
    let fleet = CutFleet::start(&patient_config(REQUEST_TIMEOUT_MS)).await;
    for host in [1, 2] {
        fleet.cut_off(host, LinkCut::Reset).await;
    }
    sleep(LAST_CUT_PAUSE).await;
    fleet.set_mode(ServerMode::Wait);
    let mut request = CallerRequest::prompt("/chat/x", "open");
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let open = fleet.begin(0, request).await;
    fleet.cut_all(0, LinkCut::Reset).await;
    sleep(VERDICT_TIME).await;
    let checks = fleet.events(0, "crash_checked");
    let crashed: Vec<_> = checks.iter().filter(|line| line["verdict"] == "crashed").collect();
    assert!(crashed.is_empty(), "{crashed:?}");
    open.abort();
}

/// Events of a stream come this far apart.
const EVENT_PAUSE: Duration = Duration::from_millis(200);

/// Guards against a planned exit that counts as a crash under the streams it cuts, since the entry of the server was
/// removed without a word of its leaving.
#[tokio::test]
async fn an_exit_after_the_entry_was_removed_is_no_crash() {
    let rule = CrashRule { marker: "never", delay: Duration::ZERO, end: CrashEnd::BeforeHead };
    let mut fleet = CrashFleet::start_service(rule, 2, "engines").await;
    let shape = ResponseShape::whole(ShapeFraming::Chunked);
    fleet.set_mode(ServerMode::Shaped(ResponseShape { pause: EVENT_PAUSE, ..shape }));
    let callers = fleet.daemons[0].address("callers").await;
    let mut request = CallerRequest::prompt("/non-resumable/x", "cut");
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let mut response = open_stream(&request, callers).await.expect("the stream begins");
    assert!(response.read_events(1).await, "the stream breaks off early");
    let runs = |engine: &&FakeServer| engine.seen().iter().any(|seen| seen.id() == "cut");
    let engine = fleet.desks.iter().find(runs).expect("an engine runs the stream").clone();
    fleet.store.remove_server(&engine.name);
    let gone = || fleet.daemons[0].events("server_gone").len();
    wait_until("the entry is gone", || gone() == 1).await;
    engine.kill().await;
    let answer = response.read_rest().await.expect("a part of the answer");
    assert!(!answer.is_whole, "the stream was cut: {:?}", answer.body);
    sleep(VERDICT_TIME).await;
    let crashes: Vec<_> =
        fleet.daemons.iter().flat_map(|daemon| daemon.events("server_crashed")).collect();
    assert!(crashes.is_empty(), "{crashes:?}");
}

/// Guards against a reset connection that counts as a crash, since its server announces a planned exit soon after: a
/// draining server is no longer among those that get requests.
#[tokio::test]
async fn a_reset_before_a_departure_is_no_crash() {
    let rule = CrashRule { marker: "never", delay: Duration::ZERO, end: CrashEnd::BeforeHead };
    let mut fleet = CrashFleet::start_service(rule, 2, "engines").await;
    let callers = fleet.daemons[0].address("callers").await;
    let shape = ResponseShape::whole(ShapeFraming::Chunked);
    let reset = shape.ending(ShapeContent::CutBetweenEvents(3), ShapeEnd::Reset);
    fleet.set_mode(ServerMode::Shaped(ResponseShape { pause: EVENT_PAUSE, ..reset }));
    let mut request = CallerRequest::prompt("/non-resumable/x", "reset");
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let answer = request.send(callers).await.expect("a part of the answer");
    assert!(!answer.is_whole, "the stream was reset: {:?}", answer.body);
    for engine in &fleet.desks {
        fleet.store.put_server(&engine.name, "engines", engine.address, "draining");
    }
    let other = FakeServer::start("engines-3", ServerMode::Echo).await.expect("start an engine");
    fleet.store.put_server(&other.name, "engines", other.address, "ready");
    sleep(VERDICT_TIME).await;
    let crashes: Vec<_> =
        fleet.daemons.iter().flat_map(|daemon| daemon.events("server_crashed")).collect();
    assert!(crashes.is_empty(), "{crashes:?}");
}
