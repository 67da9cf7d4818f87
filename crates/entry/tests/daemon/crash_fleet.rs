//! Daemons and servers of one service that some requests crash.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cut_fleet::patient_config;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

pub(crate) const HOSTS: usize = 5;
pub(crate) const SERVERS: usize = 3;
/// Path of requests that crash servers and are sent once.
pub(crate) const SINGLE_PATH: &str = "/charge/crash";
/// In this time hosts receive each other's messages, and a crash is judged.
pub(crate) const LEARNING_TIME: Duration = Duration::from_millis(1_500);

/// Daemons, a store and the servers of one service, without proxies in between.
pub(crate) struct CrashFleet {
    pub(crate) store: FakeStore,
    pub(crate) desks: Vec<FakeServer>,
    /// Servers that have ended.
    ended: Vec<FakeServer>,
    pub(crate) daemons: Vec<DaemonProcess>,
    rule: CrashRule,
    mode: ServerMode,
    service: &'static str,
}

impl CrashFleet {
    pub(crate) async fn start(end: CrashEnd) -> CrashFleet {
        let rule = CrashRule { marker: "crash", delay: Duration::from_millis(200), end };
        CrashFleet::start_with(rule, SERVERS).await
    }

    /// The same with this rule and number of servers.
    pub(crate) async fn start_with(rule: CrashRule, servers: usize) -> CrashFleet {
        CrashFleet::start_service(rule, servers, "desk").await
    }

    /// The same with servers of another service of the initial configuration.
    pub(crate) async fn start_service(
        rule: CrashRule,
        servers: usize,
        service: &'static str,
    ) -> CrashFleet {
        let store = FakeStore::start().await.expect("start the store");
        store.put_config(&patient_config(REQUEST_TIMEOUT_MS));
        let mut fleet = CrashFleet {
            store,
            desks: Vec::new(),
            ended: Vec::new(),
            daemons: Vec::new(),
            rule,
            mode: ServerMode::Echo,
            service,
        };
        for number in 1..=servers {
            fleet.start_server(&format!("{service}-{number}"), ServerMode::Echo).await;
        }
        for _ in 0..HOSTS {
            fleet.start_host(&json!({})).await;
        }
        sleep(LEARNING_TIME).await;
        fleet
    }

    pub(crate) async fn start_server(&mut self, name: &str, mode: ServerMode) {
        let server = FakeServer::start(name, mode).await;
        self.add_server(server.expect("start a server"));
    }

    /// How all servers respond, also those that are started for crashed ones.
    pub(crate) fn set_mode(&mut self, mode: ServerMode) {
        self.mode = mode;
        self.desks.iter().for_each(|server| server.set_mode(mode));
    }

    pub(crate) fn add_server(&mut self, server: FakeServer) {
        server.set_crash(Some(self.rule));
        self.store.put_server(&server.name, self.service, server.address, "ready");
        self.desks.push(server);
    }

    pub(crate) async fn start_host(&mut self, overrides: &Value) {
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
    pub(crate) async fn restart_servers(&mut self) {
        let ended = self.desks.iter().filter(|server| server.has_crashed());
        let addresses: Vec<SocketAddr> = ended.map(|server| server.address).collect();
        self.restart(&addresses).await;
    }

    async fn restart(&mut self, addresses: &[SocketAddr]) {
        let servers = std::mem::take(&mut self.desks);
        for server in servers {
            if !addresses.contains(&server.address) {
                self.desks.push(server);
                continue;
            }
            self.store.remove_server(&server.name);
            let name = format!("{}-again", server.name);
            server.refuse_connections();
            let started = FakeServer::start_at(server.address, &name, self.mode).await;
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

    /// Replaces the servers that take no connections any more.
    pub(crate) async fn restart_closed_servers(&mut self) {
        let mut closed = Vec::new();
        for server in self.desks.iter().filter(|server| server.has_crashed()) {
            if TcpStream::connect(server.address).await.is_err() {
                closed.push(server.address);
            }
        }
        if !closed.is_empty() {
            self.restart(&closed).await;
        }
    }

    /// Sends the crashing request to these hosts at once, under an id of its own each time.
    pub(crate) async fn send_crashing(
        &self,
        hosts: &[usize],
        path: &str,
        round: usize,
    ) -> Vec<u16> {
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

    pub(crate) async fn send(&self, host: usize, request: &CallerRequest) -> u16 {
        let callers = self.daemons[host].address("callers").await;
        request.send(callers).await.map_or(0, |response| response.status)
    }

    /// Sends the crashing request by one host so often that all servers end at once.
    pub(crate) async fn begin_crashes(&self) -> Vec<JoinHandle<()>> {
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
    pub(crate) fn verdicts(&self) -> Vec<String> {
        let checks = self.daemons.iter().flat_map(|daemon| daemon.events("crash_checked"));
        checks.map(|line| format!("{} {}", line["server"], line["verdict"])).collect()
    }

    /// All servers, also those that have ended.
    pub(crate) fn all_servers(&self) -> impl Iterator<Item = &FakeServer> {
        self.desks.iter().chain(&self.ended)
    }

    /// Servers that have ended under the crashing request.
    pub(crate) fn crash_count(&self) -> usize {
        self.all_servers().filter(|server| server.has_crashed()).count()
    }
}

pub(crate) fn crashing(path: &str, id: &str) -> CallerRequest {
    let mut request = CallerRequest::new(path, id);
    request.patience_ms = REQUEST_TIMEOUT_MS;
    request
}
