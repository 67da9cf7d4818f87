//! Requests that crash the servers which run them.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::StoreFault;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::crash_fleet::CrashFleet;
use crate::crash_fleet::HOSTS;
use crate::crash_fleet::LEARNING_TIME;
use crate::crash_fleet::SERVERS;
use crate::crash_fleet::SINGLE_PATH;
use crate::support::wait_until;

/// Crashes from which a request reaches no further server.
const MAX_CRASHES: usize = 3;
/// Path of requests that crash servers and are sent again.
const REPEATED_PATH: &str = "/read/crash";

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

/// Guards against a wrong conviction that operators can neither see nor end.
#[tokio::test]
async fn an_operator_lifts_a_conviction_at_all_hosts() {
    let mut fleet = CrashFleet::start(CrashEnd::BeforeHead).await;
    fleet.begin_crashes().await;
    sleep(LEARNING_TIME).await;
    fleet.restart_servers().await;
    let metrics = fleet.daemons[0].address("metrics").await;
    let page = CallerRequest::new("/status", "s").send(metrics).await.expect("a response");
    let status: Value = serde_json::from_str(&page.body).expect("a status");
    let suspect = &status["suspects"][0];
    assert_eq!((&suspect["kind"], &suspect["is_convicted"]), (&json!("request"), &json!(true)));
    let mut lift = CallerRequest::new("/suspects/", "l");
    lift.method = "DELETE";
    lift.path += suspect["key"].as_str().expect("a key");
    let readiness = fleet.daemons[0].address("readiness").await;
    let refused = lift.send(readiness).await.expect("a response");
    assert_eq!(refused.status, 404, "the balancer's listener takes no changes");
    let lifted = lift.send(metrics).await.expect("a response");
    assert_eq!(lifted.status, 204, "{}", lifted.body);
    sleep(LEARNING_TIME).await;
    fleet.send_crashing(&[2], SINGLE_PATH, 1).await;
    assert_eq!(fleet.crash_count(), SERVERS + 1, "the request runs again, at another host");
}
