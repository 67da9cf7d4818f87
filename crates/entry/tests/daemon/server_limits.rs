//! Rate limits that servers name in their responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// The hosts together keep to a limit this long after the first response that named it.
const LEARNING_TIME: Duration = Duration::from_millis(500);
const JUDGED_SPAN: Duration = Duration::from_secs(4);
/// Requests above the rate in a span: what is admitted at once when a host's request meets a full bucket, and
/// what hosts admit before they receive each other's reports.
const SMALL_BURST: f64 = 3.0;
/// Share of its limit that a server gets at least while demand exceeds it.
const MIN_USE: f64 = 0.9;
const LOAD_DURATION: Duration = Duration::from_secs(7);
const SETTLING_TIME: Duration = Duration::from_secs(3);
const DISTURBANCE_TIME: Duration = Duration::from_secs(2);
/// Longer than the time in which the rate of a lifted limit rises.
const RAMP_TIME: Duration = Duration::from_secs(5);
const CALLERS_PER_HOST: usize = 6;
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// Daemons in one fleet, with callers that send to all of them.
struct LimitFleet {
    deployment: TestDeployment,
    daemons: Vec<DaemonProcess>,
}

/// Responses that callers got.
#[derive(Default)]
struct CallerCounts {
    served: AtomicUsize,
    rejected: AtomicUsize,
    /// The requests that were not served, with their responses.
    rejections: Mutex<Vec<String>>,
}

/// Callers that send requests until they are stopped.
#[derive(Default)]
struct RunningLoad {
    stop: Arc<AtomicBool>,
    counts: Arc<CallerCounts>,
    callers: Vec<JoinHandle<()>>,
}

impl LimitFleet {
    /// Starts a deployment and further daemons, one in each of these zones.
    async fn start(zones: &[&str]) -> LimitFleet {
        let deployment = TestDeployment::start_with_long_timeout(ServerMode::Answer).await;
        let daemons = start_daemons(&deployment, zones).await;
        // Routers receive each other's messages.
        sleep(LEARNING_TIME).await;
        LimitFleet { deployment, daemons }
    }

    async fn callers_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = vec![self.deployment.callers];
        for daemon in &self.daemons {
            addresses.push(daemon.address("callers").await);
        }
        addresses
    }

    /// Number of hosts that have logged this limit of the server.
    fn hosts_that_know(&self, server: &FakeServer, limit: &str) -> usize {
        let rate: f64 = limit.parse().expect("a rate");
        let knows = |daemon: &&DaemonProcess| {
            daemon
                .events("server_limit_changed")
                .iter()
                .any(|event| event["server"] == server.name && event["limit"] == rate)
        };
        self.daemons.iter().chain([&self.deployment.daemon]).filter(knows).count()
    }

    /// Starts callers that send to every host.
    async fn start_load(&self, load: fn(&str) -> CallerRequest) -> RunningLoad {
        let mut all = RunningLoad::default();
        for (host, address) in self.callers_addresses().await.into_iter().enumerate() {
            all.add_callers(address, host, load);
        }
        all
    }
}

async fn start_daemons(deployment: &TestDeployment, zones: &[&str]) -> Vec<DaemonProcess> {
    let mut daemons = Vec::new();
    for zone in zones {
        let settings = json!({"zone": zone});
        daemons.push(DaemonProcess::start_with_settings(deployment.store.address, &settings));
    }
    for daemon in &daemons {
        wait_until("a daemon lists all servers", || daemon.events("server_listed").len() == 4)
            .await;
        wait_until("its configuration is confirmed", || daemon.events("config_proven").len() == 1)
            .await;
    }
    daemons
}

/// Starts callers that send to one host.
fn start_callers(address: SocketAddr, host: usize, load: fn(&str) -> CallerRequest) -> RunningLoad {
    let mut callers = RunningLoad::default();
    callers.add_callers(address, host, load);
    callers
}

impl RunningLoad {
    fn add_callers(&mut self, address: SocketAddr, host: usize, load: fn(&str) -> CallerRequest) {
        for number in 0..CALLERS_PER_HOST {
            let (stop, counts) = (self.stop.clone(), self.counts.clone());
            self.callers.push(tokio::spawn(async move {
                let mut sent = 0;
                while !stop.load(Ordering::Relaxed) {
                    sent += 1;
                    let request = load(&format!("load-{host}-{number}-{sent}"));
                    match request.send(address).await {
                        Ok(response) if response.status == 200 => {
                            counts.served.fetch_add(1, Ordering::Relaxed)
                        }
                        other => {
                            let rejection = format!("{}: {other:?}", request.id);
                            counts.rejections.lock().expect("no panic").push(rejection);
                            counts.rejected.fetch_add(1, Ordering::Relaxed)
                        }
                    };
                    sleep(CALLER_PAUSE).await;
                }
            }));
        }
    }

    async fn stop(self) -> Arc<CallerCounts> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.expect("a caller");
        }
        self.counts
    }
}

fn read_request(id: &str) -> CallerRequest {
    CallerRequest::new("/read/x", id)
}

fn charge_request(id: &str) -> CallerRequest {
    CallerRequest::new("/charge/x", id)
}

/// A prompt that shares nothing with others, so that either engine may be its owner.
fn chat_request(id: &str) -> CallerRequest {
    let mut request = CallerRequest::prompt("/chat/x", id);
    request.headers.retain(|(name, _)| *name != "fulmargate-prompt-prefix");
    let part: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    request.headers.push(("fulmargate-prompt-prefix", format!("{part}:1460")));
    request
}

/// Checks that the server got its rate and no more, from all hosts together.
fn assert_limit_kept(name: &str, server: &FakeServer, rate_per_s: f64) {
    let log = server.arrivals().after_limit(LEARNING_TIME);
    let max = log.max_in(JUDGED_SPAN) as f64;
    let allowed = rate_per_s * JUDGED_SPAN.as_secs_f64() + SMALL_BURST;
    assert!(max <= allowed, "{name}: {max} requests in 4 s at {rate_per_s} a second");
    let span = log.limit_sent.map_or(Duration::ZERO, |sent| {
        Instant::now().saturating_duration_since(sent + LEARNING_TIME)
    });
    let expected = MIN_USE * rate_per_s * span.as_secs_f64() - 1.0;
    let used = log.arrivals.len() as f64;
    assert!(expected <= used, "{name}: {used} of {expected:.1} requests in {span:?}");
}

struct LimitCase {
    name: &'static str,
    load: fn(&str) -> CallerRequest,
    /// The server that names the limit, by its list in the deployment.
    server: fn(&TestDeployment) -> &FakeServer,
    limit: &'static str,
}

const CASES: &[LimitCase] = &[
    LimitCase {
        name: "idempotent requests",
        load: read_request,
        server: |deployment| &deployment.plain_servers[0],
        limit: "2.8",
    },
    LimitCase {
        name: "non-idempotent requests",
        load: charge_request,
        server: |deployment| &deployment.plain_servers[1],
        limit: "10",
    },
    LimitCase {
        name: "prompts",
        load: chat_request,
        server: |deployment| &deployment.engines[0],
        limit: "1",
    },
];

/// A server that names a rate must not get several times that from hosts that each know the limit.
#[tokio::test]
async fn hosts_together_keep_to_a_named_limit() {
    for case in CASES {
        let fleet = LimitFleet::start(&["south", "east"]).await;
        let server = (case.server)(&fleet.deployment);
        server.set_limit(Some(case.limit));
        let load = fleet.start_load(case.load).await;
        sleep(LOAD_DURATION).await;
        let counts = load.stop().await;
        assert_eq!(fleet.hosts_that_know(server, case.limit), 3, "{}: hosts know it", case.name);
        let rate: f64 = case.limit.parse().expect("a rate");
        assert_limit_kept(case.name, server, rate);
        let rejected = counts.rejected.load(Ordering::Relaxed);
        let rejections = counts.rejections.lock().expect("no panic");
        assert_eq!(rejected, 0, "{}: another server takes the rest: {rejections:?}", case.name);
    }
}

/// A host that was frozen or killed during the load must not send beyond the limit when it is back.
#[tokio::test]
async fn a_limit_holds_while_hosts_freeze_and_restart() {
    let mut fleet = LimitFleet::start(&["south", "east"]).await;
    let server = fleet.deployment.plain_servers[0].clone();
    server.set_limit(Some("5"));
    let load = fleet.start_load(read_request).await;
    sleep(SETTLING_TIME).await;
    fleet.daemons[0].signal("STOP");
    sleep(DISTURBANCE_TIME).await;
    fleet.daemons[0].signal("CONT");
    sleep(DISTURBANCE_TIME).await;
    fleet.daemons[1].signal("KILL");
    let settings = json!({"zone": "east"});
    let daemon = DaemonProcess::start_with_settings(fleet.deployment.store.address, &settings);
    let address = daemon.address("callers").await;
    fleet.daemons.push(daemon);
    let further = start_callers(address, 9, read_request);
    sleep(LOAD_DURATION).await;
    further.stop().await;
    load.stop().await;
    let max = server.arrivals().after_limit(LEARNING_TIME).max_in(JUDGED_SPAN) as f64;
    let allowed = 5.0 * JUDGED_SPAN.as_secs_f64() + SMALL_BURST;
    assert!(max <= allowed, "{max} requests in 4 s at 5 a second");
}

/// Guards against hosts that all start again, know no limit, and each send requests until the first response.
#[tokio::test]
async fn hosts_that_all_start_keep_to_a_limit_named_before() {
    const ZONES: &[&str] = &["north", "south", "east"];
    let fleet = LimitFleet::start(&["south", "east"]).await;
    let engines = &fleet.deployment.engines;
    engines.iter().for_each(|engine| engine.set_limit(Some("1")));
    let load = fleet.start_load(chat_request).await;
    sleep(SETTLING_TIME).await;
    fleet.daemons.iter().chain([&fleet.deployment.daemon]).for_each(|daemon| daemon.signal("KILL"));
    load.stop().await;
    let restarted = Instant::now();
    let daemons = start_daemons(&fleet.deployment, ZONES).await;
    let mut load = RunningLoad::default();
    for (host, daemon) in daemons.iter().enumerate() {
        load.add_callers(daemon.address("callers").await, host, chat_request);
    }
    sleep(JUDGED_SPAN).await;
    load.stop().await;
    for engine in engines {
        let arrivals = engine.seen().iter().filter(|seen| restarted <= seen.at).count() as f64;
        let span = restarted.elapsed().max(JUDGED_SPAN);
        let allowed = span.as_secs_f64() + SMALL_BURST;
        assert!(arrivals <= allowed, "{}: {arrivals} requests in {span:?}", engine.name);
    }
}

/// While all servers of a service are at their limits, what cannot be served in time must be rejected at once, and
/// the servers must still get their rates.
#[tokio::test]
async fn requests_beyond_all_limits_are_rejected_immediately() {
    let fleet = LimitFleet::start(&["south"]).await;
    for server in &fleet.deployment.plain_servers {
        server.set_limit(Some("4"));
    }
    let load = fleet.start_load(read_request).await;
    sleep(SETTLING_TIME).await;
    let started = Instant::now();
    let mut request = read_request("impatient");
    request.patience_ms = 100;
    let response = fleet.deployment.send(&request).await;
    let took = started.elapsed();
    sleep(LOAD_DURATION).await;
    let counts = load.stop().await;
    assert_eq!((response.status, response.says_when()), (503, true), "{}", response.body);
    assert!(took < Duration::from_secs(1), "rejected after {took:?}");
    assert!(0 < counts.served.load(Ordering::Relaxed));
    for server in &fleet.deployment.plain_servers {
        assert_limit_kept("all servers limited", server, 4.0);
    }
}

/// A limit must end when responses no longer name it, and change with them.
#[tokio::test]
async fn a_limit_changes_and_ends_with_the_responses() {
    let fleet = LimitFleet::start(&["south"]).await;
    let server = &fleet.deployment.plain_servers[0];
    server.set_limit(Some("10"));
    let load = fleet.start_load(read_request).await;
    sleep(LOAD_DURATION).await;
    assert_limit_kept("first limit", server, 10.0);
    server.set_limit(Some("2"));
    sleep(LOAD_DURATION).await;
    assert_limit_kept("lowered", server, 2.0);
    server.set_limit(Some("8"));
    sleep(LOAD_DURATION).await;
    assert_limit_kept("raised", server, 8.0);
    server.set_limit(None);
    wait_until("every host lifts the limit", || {
        let has_lifted = |daemon: &DaemonProcess| {
            let events = daemon.events("server_limit_changed");
            events.last().is_some_and(|event| event["limit"].is_null())
        };
        has_lifted(&fleet.deployment.daemon) && has_lifted(&fleet.daemons[0])
    })
    .await;
    sleep(RAMP_TIME).await;
    // Alone, so that all requests come to it.
    fleet.deployment.store.remove_server(&fleet.deployment.plain_servers[1].name);
    let is_gone = |daemon: &DaemonProcess| !daemon.events("server_gone").is_empty();
    wait_until("the other server is gone", || {
        is_gone(&fleet.deployment.daemon) && is_gone(&fleet.daemons[0])
    })
    .await;
    server.set_limit(None);
    sleep(SETTLING_TIME).await;
    load.stop().await;
    let max = server.arrivals().max_in(Duration::from_secs(1));
    assert!(40 < max, "{max} requests a second after the limit was lifted");
}

/// Only a server's own responses limit it: a caller that sends the header must not.
#[tokio::test]
async fn a_callers_header_sets_no_limit() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    for number in 0..10 {
        let mut request = read_request(&format!("forged-{number}"));
        request.headers.push(("server-limit", "0.1".to_owned()));
        assert_eq!(deployment.send(&request).await.status, 200);
    }
    assert!(deployment.daemon.events("server_limit_changed").is_empty());
}

/// Guards against a limit that is known on one host only, or not logged.
#[tokio::test]
async fn a_named_limit_is_logged_with_its_value() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    for server in &deployment.plain_servers {
        server.set_limit(Some("2.5"));
    }
    deployment.send(&read_request("first")).await;
    wait_until("the limit is logged", || {
        let events = deployment.daemon.events("server_limit_changed");
        events.first().is_some_and(|event| event["limit"] == 2.5 && event["source"] == "response")
    })
    .await;
}

/// A host that was frozen must get its part of the limits again: debts from its absence must not leave its callers
/// without service while those of other hosts are served.
#[tokio::test]
async fn a_thawed_host_gets_its_part_of_the_limits() {
    let fleet = LimitFleet::start(&["south", "east"]).await;
    let servers = &fleet.deployment.plain_servers;
    servers.iter().for_each(|server| server.set_limit(Some("10")));
    let load = fleet.start_load(read_request).await;
    sleep(SETTLING_TIME).await;
    fleet.daemons[0].signal("STOP");
    sleep(DISTURBANCE_TIME).await;
    fleet.daemons[0].signal("CONT");
    sleep(DISTURBANCE_TIME).await;
    let judged_from = Instant::now();
    sleep(LOAD_DURATION).await;
    load.stop().await;
    let served = |host: usize| {
        let seen = servers.iter().flat_map(FakeServer::seen);
        let of_host = format!("load-{host}-");
        seen.filter(|seen| judged_from <= seen.at && seen.id().starts_with(&of_host)).count()
    };
    let served = [served(0), served(1), served(2)];
    let mean = served.iter().sum::<usize>() as f64 / served.len() as f64;
    // The users' bound for hosts that serve worse than others.
    assert!(mean * 2.0 / 3.0 <= served[1] as f64, "requests of the hosts: {served:?}");
}
