//! Hosts of a fleet of which one after the other takes nearly all new connections.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium_stand::BrittleRule;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;
use xxhash_rust::xxh3::xxh3_64;

use crate::cut_fleet::patient_config;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

const HOSTS: usize = 4;
const SERVERS: usize = 3;
/// Slots of the servers, as the list states them.
const ROOM: usize = 8;
/// A server that has just started takes its full load after this time.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
const PHASE_TIME: Duration = Duration::from_secs(6);
/// From this time on after connections go to another host requests are judged.
const SHIFT_TIME: Duration = Duration::from_secs(1);
const PATIENCE_MS: u64 = 3_000;
/// Share of what was served before that is served while one host takes all connections.
const MIN_KEPT_SHARE: f64 = 0.9;

/// Share that is served while all hosts take connections.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Which host takes the requests of a phase.
#[derive(Clone, Copy, Debug)]
enum PhaseHost {
    InTurn,
    Only(usize),
}

const PHASES: &[PhaseHost] = &[PhaseHost::InTurn, PhaseHost::Only(0), PhaseHost::Only(1)];

struct CrowdCase {
    name: &'static str,
    service: &'static str,
    mode: ServerMode,
    request: fn(&str) -> CallerRequest,
    limit: Option<&'static str>,
    brittle: Option<BrittleRule>,
    /// Pause between two requests over all hosts: the servers have room for half as many again.
    interval: Duration,
}

const CASES: &[CrowdCase] = &[
    CrowdCase {
        name: "brittle servers",
        service: "desk",
        mode: ServerMode::PausedEcho,
        request: |id| CallerRequest::new("/charge/x", id),
        limit: None,
        brittle: Some(BrittleRule { rejections_per_s: 4, room: ROOM }),
        interval: Duration::from_millis(80),
    },
    CrowdCase {
        name: "servers with a rate limit",
        service: "desk",
        mode: ServerMode::Echo,
        request: |id| CallerRequest::new("/read/x", id),
        limit: Some("8"),
        brittle: None,
        interval: Duration::from_millis(65),
    },
    CrowdCase {
        name: "long prompts",
        service: "engines",
        mode: ServerMode::Echo,
        request: |id| {
            let part = xxh3_64(id.as_bytes());
            CallerRequest::prompt("/chat/x", id).with_prompt_part(part, LONG_PROMPT_TOKENS)
        },
        limit: None,
        brittle: None,
        interval: Duration::from_millis(20),
    },
];

/// Above the length up to which prompts do not wait for others.
const LONG_PROMPT_TOKENS: u32 = 6_000;

struct CrowdFleet {
    servers: Vec<FakeServer>,
    /// Run until they are dropped.
    _daemons: Vec<DaemonProcess>,
    callers: Vec<SocketAddr>,
}

struct SentRequest {
    sent: Instant,
    task: JoinHandle<bool>,
}

impl CrowdFleet {
    async fn start(case: &CrowdCase) -> CrowdFleet {
        let store = FakeStore::start().await.expect("start the store");
        store.put_config(&patient_config(REQUEST_TIMEOUT_MS));
        let (mut servers, mut daemons, mut callers) = (Vec::new(), Vec::new(), Vec::new());
        for number in 1..=SERVERS {
            let name = format!("{}-{number}", case.service);
            let server = FakeServer::start(&name, case.mode).await.expect("start a server");
            server.set_limit(case.limit);
            server.set_brittle(case.brittle);
            store.put_server(&name, case.service, server.address, "ready");
            servers.push(server);
        }
        for _ in 0..HOSTS {
            daemons.push(DaemonProcess::start_with_settings(store.address, &json!({})));
        }
        for daemon in &daemons {
            let listed = || daemon.events("server_listed").len();
            wait_until("a daemon lists all servers", || listed() == SERVERS).await;
            wait_until("its configuration is confirmed", || {
                !daemon.events("config_proven").is_empty()
            })
            .await;
            callers.push(daemon.address("callers").await);
        }
        CrowdFleet { servers, _daemons: daemons, callers }
    }

    /// Sends the requests of a phase, all to the hosts that take them.
    async fn play(&self, case: &CrowdCase, phase: PhaseHost, length: Duration) -> Vec<SentRequest> {
        let mut sent = Vec::new();
        let mut next = Instant::now();
        let end = next + length;
        while next < end {
            let host = match phase {
                PhaseHost::InTurn => sent.len() % HOSTS,
                PhaseHost::Only(host) => host,
            };
            let mut request = (case.request)(&format!("{phase:?}-{}", sent.len()));
            request.patience_ms = PATIENCE_MS;
            let callers = self.callers[host];
            let task = tokio::spawn(async move {
                let response = request.send(callers).await;
                response.is_ok_and(|response| response.status == 200 && response.is_whole)
            });
            sent.push(SentRequest { sent: Instant::now(), task });
            next += case.interval;
            sleep_until(next).await;
        }
        sent
    }
}

impl CrowdCase {
    async fn check(&self) {
        let fleet = CrowdFleet::start(self).await;
        for warm_up in fleet.play(self, PhaseHost::InTurn, WARM_UP_TIME).await {
            warm_up.task.await.expect("a finished task");
        }
        let mut shares = Vec::new();
        for phase in PHASES {
            let judged_from = Instant::now() + SHIFT_TIME;
            let sent = fleet.play(self, *phase, PHASE_TIME).await;
            let (mut count, mut served) = (0, 0);
            for request in sent {
                let is_served = request.task.await.expect("a finished task");
                if judged_from <= request.sent {
                    count += 1;
                    served += usize::from(is_served);
                }
            }
            shares.push(served as f64 / f64::from(count));
        }
        let name = self.name;
        for share in &shares[1..] {
            assert!(MIN_KEPT_SHARE * shares[0] <= *share, "{name}: served by phase: {shares:.2?}");
        }
        let falls: usize = fleet.servers.iter().map(|server| server.falls().len()).sum();
        assert_eq!(falls, 0, "{name}: servers have fallen over; served by phase: {shares:.2?}");
        assert!(MIN_SERVED_SHARE < shares[0], "{name}: served by phase: {shares:.2?}");
    }
}

/// Guards against capacity of servers that is divided by host, so that requests which all come to one host are refused
/// while the others' part is idle.
#[tokio::test]
async fn brittle_servers_serve_a_crowded_host_as_before() {
    CASES[0].check().await;
}

/// Guards against the same with rate limits.
#[tokio::test]
async fn limited_servers_serve_a_crowded_host_as_before() {
    CASES[1].check().await;
}

/// Guards against the same with prompts that wait for engines.
#[tokio::test]
async fn engines_serve_a_crowded_host_as_before() {
    CASES[2].check().await;
}
