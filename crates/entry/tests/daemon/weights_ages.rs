//! How long ago weights were named, as known to hosts that were not there.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::OrderRejection;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::configuration::wait_for_indirect_readers;
use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// Time after a version was named from which no prompt may begin on older weights.
const WEIGHTS_BOUND: Duration = Duration::from_secs(12);
/// Time between the two versions of a test.
const VERSION_GAP: Duration = Duration::from_secs(5);
/// Time for which prompts are sent after the bound.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Time after which the store answers a poll without records.
const POLL_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a host goes on being frozen while it is asked.
const FREEZE_TIME: Duration = Duration::from_secs(1);

/// Settings with the weights bound of these tests and a lease of this length.
pub(crate) fn settings(lease: Duration) -> Value {
    json!({
        "bounds": {
            "key_revoke_ms": 3_000, "stop_grace_s": 8.0, "lease_ms": lease.as_millis() as u64,
            "weights_ms": WEIGHTS_BOUND.as_millis() as u64, "repeat_ratio": 1.0,
            "repeat_slack": 50.0, "repeat_window_s": 10.0, "quota_window_s": 3_600.0,
        },
    })
}

/// A deployment whose engines keep version 1, with a host that has read each version as it was named.
struct AgeFleet {
    deployment: TestDeployment,
    witness: DaemonProcess,
}

impl AgeFleet {
    async fn start() -> AgeFleet {
        let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
        let orders = OrderRejection::All;
        deployment.engines.iter().for_each(|engine| engine.set_rejects_orders(orders));
        let witness = start_host(&deployment).await;
        AgeFleet { deployment, witness }
    }

    /// Names a version and waits until the witness has read it.
    async fn name_version(&self, version: u64) {
        let before = self.witness.events("weights_named").len();
        self.deployment.store.publish_weights(version);
        wait_until("the version is read", || before < self.witness.events("weights_named").len())
            .await;
    }

    fn prompts_seen(&self) -> usize {
        self.deployment.engines.iter().map(|engine| FakeServer::seen(engine).len()).sum()
    }
}

async fn start_host(deployment: &TestDeployment) -> DaemonProcess {
    let lease = Duration::from_secs(3);
    let host = DaemonProcess::start_with_settings(deployment.store.address, &settings(lease));
    wait_until("the host lists all servers", || host.events("server_listed").len() == 4).await;
    host
}

/// Sends prompts to a host until one is served.
async fn wait_until_served(host: &DaemonProcess) {
    let callers = host.address("callers").await;
    for number in 0..MAX_POLLS {
        let request = CallerRequest::prompt("/chat/x", &format!("early-{number}"));
        if request.send(callers).await.is_ok_and(|response| response.status == 200) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until a prompt is served");
}

/// Sends prompts to a host for a while.
async fn send_late_prompts(host: &DaemonProcess) {
    let callers = host.address("callers").await;
    let end = Instant::now() + LATE_TIME;
    while Instant::now() < end {
        let request = CallerRequest::prompt("/chat/x", "late");
        // Any response will do: the engines count what reaches them.
        let _ = request.send(callers).await;
        sleep(POLL_INTERVAL).await;
    }
}

/// A host starts after two versions were named and reads only the newest. Guards against using that one's age for
/// engines that are two versions behind, and against refusing prompts while the first one's bound runs.
#[tokio::test]
async fn a_host_that_starts_between_versions_keeps_to_the_bound_of_the_first() {
    let fleet = AgeFleet::start().await;
    fleet.name_version(2).await;
    let first_bound = Instant::now() + WEIGHTS_BOUND;
    sleep(VERSION_GAP).await;
    fleet.name_version(3).await;
    let host = start_host(&fleet.deployment).await;
    wait_until_served(&host).await;
    sleep_until(first_bound).await;
    let before = fleet.prompts_seen();
    send_late_prompts(&host).await;
    let late = fleet.prompts_seen() - before;
    assert_eq!(late, 0, "prompts that began on version 1 after the bound of version 2");
}

/// Kills a host.
async fn kill(host: &mut DaemonProcess) {
    host.signal("KILL");
    host.exit_code().await;
}

fn name_of(host: &DaemonProcess) -> String {
    host.events("process_started")[0]["host"].as_str().expect("a host name").to_owned()
}

/// Waits until one host has learned something from another.
async fn wait_until_learned(host: &DaemonProcess, from: &DaemonProcess) {
    let from = name_of(from);
    let is_from = |learned: &Value| learned["host"] == from.as_str();
    wait_until("the other host has told an age", || {
        host.events("weights_age_learned").iter().any(is_from)
    })
    .await;
}

/// Two hosts start after both versions were named, and those that know the times have gone. Guards against a host that
/// takes its own listing for the time of a version, and against passing that on.
#[tokio::test]
async fn hosts_that_start_between_versions_tell_each_other_nothing() {
    let mut fleet = AgeFleet::start().await;
    fleet.name_version(2).await;
    let first_bound = Instant::now() + WEIGHTS_BOUND;
    kill(&mut fleet.witness).await;
    kill(&mut fleet.deployment.daemon).await;
    sleep(VERSION_GAP).await;
    fleet.deployment.store.publish_weights(3);
    let hosts = [start_host(&fleet.deployment).await, start_host(&fleet.deployment).await];
    sleep_until(first_bound).await;
    let before = fleet.prompts_seen();
    for host in &hosts {
        send_late_prompts(host).await;
        assert_eq!(host.events("weights_age_learned").len(), 0, "nobody knows an age");
        assert!(!host.events("weights_refused").is_empty(), "the reason of the refusals is logged");
    }
    let late = fleet.prompts_seen() - before;
    assert_eq!(late, 0, "prompts that began on version 1 after the bound of version 2");
    let engines = &fleet.deployment.engines;
    engines.iter().for_each(|engine| engine.set_rejects_orders(OrderRejection::Invalid));
    wait_until_served(&hosts[0]).await;
}

/// The only host that knows the times is frozen when it is asked, and goes on later. Guards against an answer that is
/// younger by the time for which the question or the answer has waited.
#[tokio::test]
async fn a_host_that_was_frozen_when_asked_makes_weights_no_younger() {
    let mut fleet = AgeFleet::start().await;
    kill(&mut fleet.deployment.daemon).await;
    fleet.name_version(2).await;
    let first_named = Instant::now();
    fleet.witness.signal("STOP");
    sleep(VERSION_GAP).await;
    fleet.deployment.store.publish_weights(3);
    let second_named = Instant::now();
    let host = start_host(&fleet.deployment).await;
    wait_until("the host has read the newest version", || !host.events("weights_named").is_empty())
        .await;
    sleep(FREEZE_TIME).await;
    let least_ages = [first_named.elapsed(), second_named.elapsed()];
    fleet.witness.signal("CONT");
    wait_until_learned(&host, &fleet.witness).await;
    wait_until_served(&host).await;
    sleep_until(first_named + WEIGHTS_BOUND).await;
    let before = fleet.prompts_seen();
    send_late_prompts(&host).await;
    let late = fleet.prompts_seen() - before;
    assert_eq!(late, 0, "prompts that began on version 1 after the bound of version 2");
    for learned in host.events("weights_age_learned") {
        let version = learned["version"].to_string();
        let least_age = if version.contains('2') { least_ages[1] } else { least_ages[0] };
        let age = Duration::from_millis(learned["age_ms"].as_u64().expect("an age"));
        assert!(least_age <= age, "{learned}: newer weights were named {least_age:?} before");
    }
}

/// The only host that has read both versions tells another one and is killed, and a third one starts. Guards against
/// knowledge that ends with the host that was there, and against ages that get younger on their way.
#[tokio::test]
async fn an_age_is_passed_on_by_a_host_that_was_told_it() {
    let mut fleet = AgeFleet::start().await;
    kill(&mut fleet.deployment.daemon).await;
    fleet.name_version(2).await;
    let first_bound = Instant::now() + WEIGHTS_BOUND;
    sleep(VERSION_GAP).await;
    fleet.name_version(3).await;
    let second = start_host(&fleet.deployment).await;
    wait_until_learned(&second, &fleet.witness).await;
    kill(&mut fleet.witness).await;
    let third = start_host(&fleet.deployment).await;
    wait_until_learned(&third, &second).await;
    wait_until_served(&third).await;
    sleep_until(first_bound).await;
    let before = fleet.prompts_seen();
    send_late_prompts(&third).await;
    let late = fleet.prompts_seen() - before;
    assert_eq!(late, 0, "prompts that began on version 1 after the bound of version 2");
}

/// The store drops its history while a host is frozen, and two versions are named. Guards against counting from the
/// newest one, which is all that the next listing has.
#[tokio::test]
async fn a_host_that_lists_anew_keeps_to_the_bound_of_the_first_version() {
    let fleet = AgeFleet::start().await;
    let host = start_host(&fleet.deployment).await;
    host.signal("STOP");
    fleet.name_version(2).await;
    let first_bound = Instant::now() + WEIGHTS_BOUND;
    sleep(VERSION_GAP).await;
    fleet.name_version(3).await;
    fleet.deployment.store.delete_history();
    host.signal("CONT");
    wait_until("the host has read a version", || !host.events("weights_named").is_empty()).await;
    sleep_until(first_bound).await;
    let before = fleet.prompts_seen();
    send_late_prompts(&host).await;
    let late = fleet.prompts_seen() - before;
    assert_eq!(late, 0, "prompts that began on version 1 after the bound of version 2");
}

/// A host that reads through another one is frozen, its poll ends without a record, and a version is named before it
/// goes on. Guards against counting from the time at which the host has read the record.
#[tokio::test]
async fn a_host_that_was_frozen_while_a_version_was_named_keeps_to_its_bound() {
    let fleet = AgeFleet::start().await;
    let mut overrides = settings(Duration::from_secs(3));
    overrides["zone"] = json!("south");
    overrides["few_hosts"] = json!(3);
    let store = fleet.deployment.store.address;
    let hosts: Vec<DaemonProcess> =
        (0..4).map(|_| DaemonProcess::start_with_settings(store, &overrides)).collect();
    let reads_indirectly = wait_for_indirect_readers(&hosts, 2).await;
    let indirect = reads_indirectly.iter().position(|reads| *reads).expect("an indirect reader");
    let host = &hosts[indirect];
    host.signal("STOP");
    sleep(POLL_TIME).await;
    fleet.name_version(2).await;
    let bound = Instant::now() + WEIGHTS_BOUND;
    sleep(VERSION_GAP).await;
    host.signal("CONT");
    wait_until("the host has read the version", || !host.events("weights_named").is_empty()).await;
    sleep_until(bound).await;
    let before = fleet.prompts_seen();
    send_late_prompts(host).await;
    let late = fleet.prompts_seen() - before;
    assert_eq!(late, 0, "prompts that began on version 1 after the bound of version 2");
}

/// The holder of the lease is stopped in the middle of a rollout. Guards against engines that wait until its lease has
/// expired, here far beyond the end of the test.
#[tokio::test]
async fn a_stopped_holder_gives_its_lease_up() {
    let lease = Duration::from_secs(600);
    let mut deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.daemon.signal("TERM");
    deployment.daemon.exit_code().await;
    let store = deployment.store.address;
    let mut hosts: Vec<DaemonProcess> =
        (0..3).map(|_| DaemonProcess::start_with_settings(store, &settings(lease))).collect();
    for host in &hosts {
        wait_until("a host lists all servers", || host.events("server_listed").len() == 4).await;
    }
    let rejecting = &deployment.engines[0];
    rejecting.set_rejects_orders(OrderRejection::All);
    deployment.store.publish_weights(2);
    let orders_of = |host: &DaemonProcess| host.events("order_given").len();
    wait_until("a holder gives orders", || hosts.iter().any(|host| 0 < orders_of(host))).await;
    let holder = hosts.iter().position(|host| 0 < orders_of(host)).expect("a holder");
    hosts[holder].signal("TERM");
    hosts[holder].exit_code().await;
    rejecting.set_rejects_orders(OrderRejection::Invalid);
    wait_until("another host completes the rollout", || {
        deployment.engines.iter().all(|engine| engine.weights() == 2)
    })
    .await;
}
