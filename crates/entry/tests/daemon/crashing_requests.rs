//! Requests that crash the servers which run them.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cut_fleet::patient_config;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

const HOSTS: usize = 5;
const SERVERS: usize = 3;
/// Crashes from which a request reaches no further server.
const MAX_CRASHES: usize = 3;
/// Path of requests that crash servers and are sent once.
const SINGLE_PATH: &str = "/charge/crash";
/// Path of requests that crash servers and are sent again.
const REPEATED_PATH: &str = "/read/crash";
/// In this time hosts receive each other's messages, and a crash is judged.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);

/// Daemons, a store and the servers of the plain service `desk`, without proxies in between.
struct CrashFleet {
    store: FakeStore,
    desks: Vec<FakeServer>,
    /// Servers that have ended.
    ended: Vec<FakeServer>,
    daemons: Vec<DaemonProcess>,
    rule: CrashRule,
}

impl CrashFleet {
    async fn start(end: CrashEnd) -> CrashFleet {
        let store = FakeStore::start().await.expect("start the store");
        store.put_config(&patient_config(REQUEST_TIMEOUT_MS));
        let rule = CrashRule { marker: "crash", delay: Duration::from_millis(200), end };
        let mut fleet =
            CrashFleet { store, desks: Vec::new(), ended: Vec::new(), daemons: Vec::new(), rule };
        for number in 1..=SERVERS {
            let server = FakeServer::start(&format!("desk-{number}"), ServerMode::Echo).await;
            fleet.add_server(server.expect("start a server"));
        }
        for _ in 0..HOSTS {
            fleet.start_host(&json!({})).await;
        }
        sleep(LEARNING_TIME).await;
        fleet
    }

    fn add_server(&mut self, server: FakeServer) {
        server.set_crash(Some(self.rule));
        self.store.put_server(&server.name, "desk", server.address, "ready");
        self.desks.push(server);
    }

    async fn start_host(&mut self, overrides: &Value) {
        let daemon = DaemonProcess::start_with_settings(self.store.address, overrides);
        wait_until("a daemon lists the servers", || {
            daemon.events("server_listed").len() == self.desks.len()
        })
        .await;
        wait_until("its configuration is confirmed", || !daemon.events("config_proven").is_empty())
            .await;
        self.daemons.push(daemon);
    }

    /// Replaces all servers that have ended by new ones at their addresses.
    async fn restart_servers(&mut self) {
        let servers = std::mem::take(&mut self.desks);
        for server in servers {
            if !server.has_crashed() {
                self.desks.push(server);
                continue;
            }
            self.store.remove_server(&server.name);
            let name = format!("{}-again", server.name);
            server.refuse_connections();
            let started = FakeServer::start_at(server.address, &name, ServerMode::Echo).await;
            self.ended.push(server);
            self.add_server(started.expect("start a server again"));
        }
        for daemon in &self.daemons {
            for server in &self.desks {
                wait_until("the servers are listed", || {
                    daemon.events("server_listed").iter().any(|line| line["server"] == *server.name)
                })
                .await;
            }
        }
    }

    /// Sends the crashing request to these hosts at once, under an id of its own each time.
    async fn send_crashing(&self, hosts: &[usize], path: &str, round: usize) -> Vec<u16> {
        let mut tasks = Vec::new();
        for (number, host) in hosts.iter().enumerate() {
            let callers = self.daemons[*host].address("callers").await;
            let request = crashing(path, &format!("crash-{round}-{number}"));
            tasks.push(tokio::spawn(async move { request.send(callers).await }));
        }
        let mut statuses = Vec::new();
        for task in tasks {
            statuses.push(task.await.expect("a finished task").expect("a response").status);
        }
        statuses
    }

    async fn send(&self, host: usize, request: &CallerRequest) -> u16 {
        let callers = self.daemons[host].address("callers").await;
        request.send(callers).await.map_or(0, |response| response.status)
    }

    /// Sends the crashing request by one host so often that all servers end at once.
    async fn begin_crashes(&self) -> Vec<JoinHandle<()>> {
        let callers = self.daemons[0].address("callers").await;
        let mut tasks = Vec::new();
        for number in 0..2 * SERVERS {
            let request = crashing(SINGLE_PATH, &format!("crash-0-{number}"));
            tasks.push(tokio::spawn(async move {
                let _response = request.send(callers).await;
            }));
        }
        wait_until("the whole service ends", || self.crash_count() == SERVERS).await;
        sleep(self.rule.delay).await;
        tasks
    }

    /// Verdicts of all hosts on servers that broke off a request.
    fn verdicts(&self) -> Vec<String> {
        let checks = self.daemons.iter().flat_map(|daemon| daemon.events("crash_checked"));
        checks.map(|line| format!("{} {}", line["server"], line["verdict"])).collect()
    }

    /// Servers that have ended under the crashing request.
    fn crash_count(&self) -> usize {
        let servers = self.desks.iter().chain(&self.ended);
        servers.filter(|server| server.has_crashed()).count()
    }
}

fn crashing(path: &str, id: &str) -> CallerRequest {
    let mut request = CallerRequest::new(path, id);
    request.patience_ms = REQUEST_TIMEOUT_MS;
    request
}

/// Guards against evidence that is dropped because no server of the service is left to compare with.
#[tokio::test]
async fn a_request_that_crashes_a_whole_service_reaches_no_further_server() {
    let mut fleet = CrashFleet::start(CrashEnd::BeforeHead).await;
    fleet.begin_crashes().await;
    sleep(LEARNING_TIME).await;
    fleet.restart_servers().await;
    let statuses = fleet.send_crashing(&[1, 2], SINGLE_PATH, 1).await;
    let crashes = fleet.crash_count();
    assert_eq!(crashes, SERVERS, "servers ended, {statuses:?}: {:?}", fleet.verdicts());
}

struct CrashCase {
    name: &'static str,
    end: CrashEnd,
    /// New servers take the addresses before any host looks.
    is_back_at_once: bool,
    aftermath: Aftermath,
}

/// What happens between the crashes and the next send.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Aftermath {
    Nothing,
    /// The store takes no writes while the servers crash, until the hosts know.
    StoreAway,
    /// All hosts are killed, and others start.
    HostsReplaced,
    /// The same, and the store has dropped its history.
    HistoryDropped,
}

/// Servers that end before the head of a response, and nothing else.
const PLAIN_CRASH: CrashCase = CrashCase {
    name: "before the head",
    end: CrashEnd::BeforeHead,
    is_back_at_once: false,
    aftermath: Aftermath::Nothing,
};

impl CrashCase {
    async fn check(&self) {
        let mut fleet = CrashFleet::start(self.end).await;
        if self.aftermath == Aftermath::StoreAway {
            fleet.store.set_fault(StoreFault::Silent);
        }
        let crashes = fleet.begin_crashes().await;
        if self.is_back_at_once {
            fleet.restart_servers().await;
        }
        if self.end == CrashEnd::Dark {
            // A connection that fails brings the check.
            let mut read = CallerRequest::new("/read/x", "after");
            read.patience_ms = 1_000;
            fleet.send(0, &read).await;
        }
        sleep(LEARNING_TIME).await;
        self.apply_aftermath(&mut fleet).await;
        fleet.restart_servers().await;
        sleep(LEARNING_TIME).await;
        let statuses = fleet.send_crashing(&[1, 2], SINGLE_PATH, 1).await;
        assert_eq!(fleet.crash_count(), SERVERS, "{}: {:?}", self.name, fleet.verdicts());
        assert_eq!(statuses, [503, 503], "{}: {:?}", self.name, fleet.verdicts());
        for host in [1, 2] {
            // Log lines may be read later than responses.
            wait_until("the rejection is logged", || {
                let failures = fleet.daemons[host].events("request_failed");
                failures.iter().any(|line| line["error"] == "crashing_request")
            })
            .await;
        }
        crashes.into_iter().for_each(|task| task.abort());
    }

    async fn apply_aftermath(&self, fleet: &mut CrashFleet) {
        match self.aftermath {
            Aftermath::Nothing => return,
            Aftermath::StoreAway => {
                for daemon in &fleet.daemons {
                    wait_until("all hosts know without the store", || {
                        !daemon.events("request_convicted").is_empty()
                    })
                    .await;
                }
                fleet.store.set_fault(StoreFault::None);
                return;
            }
            Aftermath::HostsReplaced => {}
            Aftermath::HistoryDropped => fleet.store.delete_history(),
        }
        fleet.daemons.clear();
        for _ in 0..HOSTS {
            fleet.start_host(&json!({})).await;
        }
    }
}

/// Guards against crashes that are not seen because a response had begun.
#[tokio::test]
async fn a_crash_in_the_middle_of_a_body_is_evidence() {
    let case = CrashCase { name: "body", end: CrashEnd::MidBody, ..PLAIN_CRASH };
    case.check().await;
}

/// Guards against crashes that are not seen because no connection breaks.
#[tokio::test]
async fn a_crash_into_silence_is_evidence() {
    let case = CrashCase { name: "silence", end: CrashEnd::Dark, ..PLAIN_CRASH };
    case.check().await;
}

/// Guards against crashes that are not seen because another server takes connections at the address.
#[tokio::test]
async fn a_server_that_is_back_at_once_has_crashed() {
    let case = CrashCase { name: "back at once", is_back_at_once: true, ..PLAIN_CRASH };
    case.check().await;
}

/// Guards against evidence that needs the store to get to the other hosts.
#[tokio::test]
async fn evidence_gets_on_while_the_store_is_away() {
    let aftermath = Aftermath::StoreAway;
    CrashCase { name: "store away", aftermath, ..PLAIN_CRASH }.check().await;
}

/// Guards against evidence that is lost with the hosts that found it.
#[tokio::test]
async fn evidence_outlives_all_hosts() {
    let aftermath = Aftermath::HostsReplaced;
    CrashCase { name: "hosts replaced", aftermath, ..PLAIN_CRASH }.check().await;
}

/// Guards against evidence that is lost with the history of the store.
#[tokio::test]
async fn evidence_outlives_the_history_of_the_store() {
    let aftermath = Aftermath::HistoryDropped;
    CrashCase { name: "history dropped", aftermath, ..PLAIN_CRASH }.check().await;
}

/// Guards against a suspected request that several hosts send to servers at the same time.
#[tokio::test]
async fn a_suspected_request_runs_at_one_host_at_a_time() {
    let mut fleet = CrashFleet::start(CrashEnd::BeforeHead).await;
    for round in 0..4 {
        let hosts = [2 * round % HOSTS, (2 * round + 1) % HOSTS];
        fleet.send_crashing(&hosts, REPEATED_PATH, round).await;
        sleep(LEARNING_TIME).await;
        fleet.restart_servers().await;
    }
    let crashes = fleet.crash_count();
    assert!(crashes <= MAX_CRASHES, "{crashes} servers ended: {:?}", fleet.verdicts());
}
