//! Requests that crash the servers which run them.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
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
    fleet.send_crashing(&[0; 6], SINGLE_PATH, 0).await;
    assert_eq!(fleet.crash_count(), SERVERS, "the whole service ends at once");
    sleep(LEARNING_TIME).await;
    fleet.restart_servers().await;
    let statuses = fleet.send_crashing(&[1, 2], SINGLE_PATH, 1).await;
    let crashes = fleet.crash_count();
    assert_eq!(crashes, SERVERS, "servers ended, {statuses:?}: {:?}", fleet.verdicts());
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
