//! The store goes away for a moment and comes back from a copy that is some seconds old.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ServerStand;
use fulmargate_consortium_stand::StoreCopy;
use serde_json::Value;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// The store is silent for so long; connections of readers are not broken meanwhile.
const AWAY: Duration = Duration::from_millis(300);
/// Looks at something that must not change.
const QUIET_LOOKS: usize = 40;
/// After this time a lease has to be taken again.
const LEASE: Duration = Duration::from_millis(3_100);
/// Longer than a read that had fallen silent is waited for.
const LONG_AFTER: Duration = Duration::from_secs(6);
/// Calls of the store that one host may make in that time: it lists three topics, writes what is missing and
/// goes on reading, some six a second.
const MOST_CALLS: usize = 120;

/// The second configuration: the key of team `red` is taken away.
fn without_red() -> ConfigText {
    ConfigText { version: 2, teams: vec![("blue", "k-blue")], ..initial_config() }
}

fn keyed(id: &str, key: &'static str) -> CallerRequest {
    let mut request = CallerRequest::new("/read/x", id);
    request.key = Some(key);
    request
}

async fn restore(deployment: &TestDeployment, copy: &StoreCopy, write_again: impl FnOnce()) {
    deployment.store.go_back_to(copy);
    sleep(AWAY).await;
    write_again();
    deployment.store.come_back();
}

async fn until_accepted(daemon: &DaemonProcess, count: usize) {
    wait_until("the configuration is accepted", || daemon.events("config_accepted").len() == count)
        .await;
}

async fn until_ordered(engines: &[ServerStand], count: usize) {
    let all = || engines.iter().all(|engine| engine.orders().len() == count);
    wait_until("all engines have their orders", all).await;
}

/// The daemon's word on itself.
async fn status(daemon: &DaemonProcess) -> Value {
    let metrics = daemon.address("metrics").await;
    let page = CallerRequest::new("/status", "s").send(metrics).await.expect("a status");
    serde_json::from_str(&page.body).expect("JSON")
}

/// A route that operators added never comes into force on a host, though the store is well.
/// The host had read two records that the store has lost; the new configuration and another record were
/// written in their places. It read on behind them and saw neither.
#[tokio::test]
async fn a_record_in_the_place_of_a_lost_one_is_read() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    deployment.store.put_config(&without_red());
    deployment.store.name_weights(2);
    until_accepted(&deployment.daemon, 2).await;
    wait_until("weights are named", || !deployment.daemon.events("weights_named").is_empty()).await;
    let mut third = without_red();
    third.version = 3;
    third.routes.push(ConfigText::route("/new/", "idempotent", "desk"));
    restore(&deployment, &copy, || {
        deployment.store.put_config(&third);
        deployment.store.name_weights(2);
    })
    .await;
    until_accepted(&deployment.daemon, 3).await;
    let mut request = keyed("n", "k-blue");
    request.path = "/new/x".to_owned();
    assert_eq!(deployment.send(&request).await.status, 200);
}

/// A caller whose key was taken away is served again.
/// The store has lost the configuration that took it; a host that starts now reads the one before and, as
/// nothing newer is there, takes it for the newest. Hosts that know better have written down which one that
/// is, and a host that finds only records of an earlier epoch waits for their word.
#[tokio::test]
async fn a_host_that_starts_after_a_restore_revives_no_key() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    deployment.store.put_config(&without_red());
    until_accepted(&deployment.daemon, 2).await;
    restore(&deployment, &copy, || ()).await;
    let started = DaemonProcess::start(deployment.store.address);
    let callers = started.address("callers").await;
    for turn in 0..QUIET_LOOKS * 2 {
        let answer = keyed(&format!("r-{turn}"), "k-red").send(callers).await;
        assert_ne!(answer.expect("an answer").status, 200, "look {turn}");
        sleep(POLL_INTERVAL).await;
    }
    let known = deployment.send(&keyed("known", "k-red")).await;
    assert_ne!(known.status, 200, "the host that was there knows the newer one");
    deployment.store.put_config(&without_red());
    let mut turn = 0;
    while keyed(&format!("b-{turn}"), "k-blue").send(callers).await.expect("an answer").status
        != 200
    {
        assert!(turn < MAX_POLLS, "the configuration is written again and comes into force");
        turn += 1;
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(keyed("gone", "k-red").send(callers).await.expect("an answer").status, 401);
}

struct FenceCase {
    name: &'static str,
    restores: usize,
}

const FENCES: &[FenceCase] =
    &[FenceCase { name: "once", restores: 1 }, FenceCase { name: "twice", restores: 2 }];

/// Engines keep their old weights for good, or obey two hosts at once.
/// Fencing numbers were offsets of the routers' topic; the store gives offsets out again, so that the next
/// holder's number was not above the last one's, and a host that had read further than the topic now goes
/// could write no lease at all.
#[tokio::test]
async fn orders_stay_fenced() {
    for case in FENCES {
        let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
        let copy = deployment.store.copy();
        deployment.store.name_weights(2);
        until_ordered(&deployment.engines, 1).await;
        for _ in 0..case.restores {
            restore(&deployment, &copy, || deployment.store.name_weights(2)).await;
        }
        sleep(LEASE).await;
        deployment.store.name_weights(3);
        until_ordered(&deployment.engines, 2).await;
        for engine in &deployment.engines {
            let orders = engine.orders();
            assert!(orders[0].fence < orders[1].fence, "{}: {orders:?}", case.name);
        }
    }
}

/// All hosts together call the store as fast as it answers, and others are turned away for it.
/// A host asked on from an offset that the store no longer has, took the refusal for records that have
/// expired, and asked for the same again without a pause.
#[tokio::test]
async fn reads_are_not_repeated_without_a_pause() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    let copy = deployment.store.copy();
    deployment.store.name_weights(2);
    until_ordered(&deployment.engines, 1).await;
    restore(&deployment, &copy, || deployment.store.name_weights(2)).await;
    let before = deployment.store.calls();
    sleep(LONG_AFTER).await;
    let calls = deployment.store.calls() - before;
    assert!(calls <= MOST_CALLS, "{calls} calls");
}

/// A host that starts hears from nobody and shares no budget with the others.
/// Hosts write down once where they listen; the store has lost what one of them wrote. It writes that again.
#[tokio::test]
async fn hosts_are_found_again() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    let second = DaemonProcess::start(deployment.store.address);
    wait_until("the second serves", || second.events("server_listed").len() == 4).await;
    restore(&deployment, &copy, || ()).await;
    let third = DaemonProcess::start(deployment.store.address);
    for _ in 0..MAX_POLLS {
        let members = status(&third).await["members"].as_array().map_or(0, Vec::len);
        if members == 3 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("in vain: the third host finds the others");
}

/// Requests go to a server that has left, and are cut when it ends.
/// Its entry was removed after the copy was made and is back, as if it were ready. What the store lists after
/// a restore is older than what a host saw removed; a server that lives writes its entry again.
#[tokio::test]
async fn a_server_that_left_gets_nothing() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    let left = &deployment.plain_servers[1];
    deployment.store.remove_server(&left.name);
    wait_until("the server is gone", || !deployment.daemon.events("server_gone").is_empty()).await;
    restore(&deployment, &copy, || ()).await;
    let listings = || {
        let listed = deployment.daemon.events("server_listed");
        listed.iter().filter(|line| line["server"] == left.name.as_str()).count()
    };
    for _ in 0..QUIET_LOOKS * 2 {
        assert_eq!(listings(), 1, "the server that left gets requests again");
        sleep(POLL_INTERVAL).await;
    }
    deployment.store.put_server(&left.name, "desk", left.address, "ready");
    wait_until("it has come back", || listings() == 2).await;
}

/// Requests are refused although a server lives.
/// It registered after the copy was made, so that its entry is missing until it writes again. Missing entries
/// are kept for a while after a restore, as after an outage in which they may lapse.
#[tokio::test]
async fn a_server_that_came_is_kept() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    let came = ServerStand::start("desk-3", ServerMode::Answer).await.expect("a server starts");
    deployment.store.put_server("desk-3", "desk", came.address, "ready");
    wait_until("it is listed", || deployment.daemon.events("server_listed").len() == 5).await;
    restore(&deployment, &copy, || ()).await;
    for _ in 0..QUIET_LOOKS {
        let gone = deployment.daemon.events("server_gone");
        assert!(gone.is_empty(), "dropped: {gone:?}");
        sleep(POLL_INTERVAL).await;
    }
}
