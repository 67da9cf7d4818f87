//! Servers that leave while a host does not read the server list.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::configuration::wait_for_indirect_readers;
use crate::store_proxy::StoreProxy;
use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// Longer than the silence after which a host assumes that entries may have expired.
const OUTAGE: Duration = Duration::from_millis(2_000);
/// Heartbeats that each remaining server writes after the departure. They span more than the time
/// within which a live server registers again.
const LATER_HEARTBEATS: usize = 4;
/// Concurrent requests after the host's return.
const REQUEST_COUNT: usize = 8;

/// Why a host does not read the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    CutFromStore,
    Frozen,
}

/// How a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Removed,
    Draining,
    DrainingThenRemoved,
}

/// What the store keeps of its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreHistory {
    Kept,
    /// Only the newest entries can be listed.
    Lost,
}

struct DepartureCase {
    name: &'static str,
    state: HostState,
    departure: Departure,
    history: StoreHistory,
}

const CASES: &[DepartureCase] = &[
    DepartureCase {
        name: "removed while the host is cut off from the store",
        state: HostState::CutFromStore,
        departure: Departure::Removed,
        history: StoreHistory::Kept,
    },
    DepartureCase {
        name: "draining while the host is cut off from the store",
        state: HostState::CutFromStore,
        departure: Departure::Draining,
        history: StoreHistory::Kept,
    },
    DepartureCase {
        name: "drained and removed while the host is cut off from the store",
        state: HostState::CutFromStore,
        departure: Departure::DrainingThenRemoved,
        history: StoreHistory::Kept,
    },
    DepartureCase {
        name: "removed while the host is frozen",
        state: HostState::Frozen,
        departure: Departure::Removed,
        history: StoreHistory::Kept,
    },
    DepartureCase {
        name: "drained and removed while the host is frozen",
        state: HostState::Frozen,
        departure: Departure::DrainingThenRemoved,
        history: StoreHistory::Kept,
    },
    DepartureCase {
        name: "draining while the host is cut off, and the store loses its history",
        state: HostState::CutFromStore,
        departure: Departure::Draining,
        history: StoreHistory::Lost,
    },
    DepartureCase {
        name: "draining while the host is frozen, and the store loses its history",
        state: HostState::Frozen,
        departure: Departure::Draining,
        history: StoreHistory::Lost,
    },
];

/// A deployment whose daemon reads the store through a proxy.
struct DepartureTest {
    deployment: TestDeployment,
    proxy: StoreProxy,
    daemon: DaemonProcess,
}

impl DepartureTest {
    async fn start() -> DepartureTest {
        let deployment = TestDeployment::start_with_long_timeout(ServerMode::Answer).await;
        let proxy = StoreProxy::open(deployment.store.address).await;
        let daemon = DaemonProcess::start(proxy.address);
        wait_until("all servers are listed", || daemon.events("server_listed").len() == 4).await;
        DepartureTest { deployment, proxy, daemon }
    }

    fn store(&self) -> &FakeStore {
        &self.deployment.store
    }

    fn departing(&self) -> &FakeServer {
        &self.deployment.plain_servers[1]
    }

    async fn isolate(&self, state: HostState) {
        match state {
            HostState::CutFromStore => self.proxy.disconnect(),
            HostState::Frozen => self.daemon.signal("STOP"),
        }
        sleep(OUTAGE).await;
    }

    fn resume(&self, state: HostState) {
        match state {
            HostState::CutFromStore => self.proxy.reconnect(),
            HostState::Frozen => self.daemon.signal("CONT"),
        }
    }

    fn depart(&self, departure: Departure) {
        let server = self.departing();
        if departure != Departure::Removed {
            self.store().put_server(&server.name, "desk", server.address, "draining");
        }
        if departure != Departure::Draining {
            self.store().remove_server(&server.name);
        }
    }

    /// Removes the entries of all servers, as the store does when no heartbeat reaches it.
    fn expire_all(&self) {
        for server in self.servers() {
            self.store().remove_server(&server.name);
        }
    }

    fn servers(&self) -> impl Iterator<Item = &FakeServer> {
        self.deployment.plain_servers.iter().chain(&self.deployment.engines)
    }

    fn write_heartbeats(&self, count: usize) {
        write_heartbeats(&self.deployment, count);
    }

    async fn wait_for_departure(&self, server: &FakeServer) {
        wait_for_departure(&self.daemon, server).await;
    }

    /// Servers that were dropped before their grace period was over.
    fn dropped_early(&self) -> Vec<Value> {
        let mut dropped = self.daemon.events("server_gone");
        dropped.retain(|line| line["cause"] != "grace_over");
        dropped
    }

    async fn count_misdirected(&self) -> usize {
        count_misdirected(&self.deployment, &self.daemon, self.departing()).await
    }
}

/// Writes heartbeats of all servers but the departing one.
fn write_heartbeats(deployment: &TestDeployment, count: usize) {
    for _ in 0..count {
        let desk = &deployment.plain_servers[0];
        deployment.store.put_server(&desk.name, "desk", desk.address, "ready");
        for engine in &deployment.engines {
            deployment.store.put_server(&engine.name, "engines", engine.address, "ready");
        }
    }
}

/// Waits until the daemon has read that the server leaves or is gone.
async fn wait_for_departure(daemon: &DaemonProcess, server: &FakeServer) {
    let name = server.name.as_str();
    let has_read = || {
        ["server_leaving", "server_gone", "server_lapsed"]
            .iter()
            .any(|kind| daemon.events(kind).iter().any(|line| line["server"] == name))
    };
    wait_until("the host has read the departure", has_read).await;
}

/// Waits until the daemon has confirmed its configuration after an outage and admits API keys again.
async fn wait_for_admission(callers: SocketAddr) {
    for number in 0..MAX_POLLS {
        let request = CallerRequest::new("/read/x", &format!("admission-{number}"));
        if request.send(callers).await.is_ok_and(|response| response.status == 200) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until the daemon admits requests");
}

/// Sends concurrent requests, which are spread by load over all servers that the daemon considers usable.
/// Returns how many reached the departed server.
async fn count_misdirected(
    deployment: &TestDeployment,
    daemon: &DaemonProcess,
    departed: &FakeServer,
) -> usize {
    let callers = daemon.address("callers").await;
    let before = departed.seen().len();
    wait_for_admission(callers).await;
    let admitted = deployment.plain_request_count();
    deployment.set_plain_mode(ServerMode::Wait);
    let mut requests = JoinSet::new();
    for number in 0..REQUEST_COUNT {
        let request = CallerRequest::new("/charge/x", &format!("after-{number}"));
        requests.spawn(async move { request.send(callers).await });
    }
    wait_until("the requests have reached a server", || {
        deployment.plain_request_count() - admitted == REQUEST_COUNT
    })
    .await;
    deployment.set_plain_mode(ServerMode::Answer);
    while let Some(response) = requests.join_next().await {
        let response = response.expect("join the request").expect("a response");
        assert_eq!(response.status, 200);
    }
    departed.seen().len() - before
}

/// A server leaves while a host cannot read the list, and the other servers' heartbeats show that the store
/// was available. Guards against requests to that server after the host's return.
#[tokio::test]
async fn a_server_that_left_during_a_cut_gets_no_requests() {
    for case in CASES {
        let test = DepartureTest::start().await;
        test.isolate(case.state).await;
        test.depart(case.departure);
        test.write_heartbeats(LATER_HEARTBEATS);
        if case.history == StoreHistory::Lost {
            test.store().delete_history();
        }
        test.resume(case.state);
        test.wait_for_departure(test.departing()).await;
        assert_eq!(test.count_misdirected().await, 0, "{}", case.name);
    }
}

/// The store is away until all entries have expired. Guards against a router without servers until they
/// register again.
#[tokio::test]
async fn entries_that_lapse_during_an_outage_are_kept() {
    let test = DepartureTest::start().await;
    test.store().set_fault(StoreFault::Silent);
    sleep(OUTAGE).await;
    test.expire_all();
    test.store().set_fault(StoreFault::None);
    for server in test.servers() {
        test.wait_for_departure(server).await;
    }
    assert!(test.dropped_early().is_empty(), "{:?}", test.dropped_early());
}

/// A host and a server are cut off from the store together, so that the server's entry expires while the other
/// servers write heartbeats. Guards against dropping a server that is alive and about to register again.
#[tokio::test]
async fn a_server_cut_off_together_with_the_host_is_kept() {
    let test = DepartureTest::start().await;
    test.isolate(HostState::CutFromStore).await;
    test.write_heartbeats(LATER_HEARTBEATS);
    test.depart(Departure::Removed);
    test.write_heartbeats(LATER_HEARTBEATS);
    test.resume(HostState::CutFromStore);
    test.wait_for_departure(test.departing()).await;
    assert!(test.dropped_early().is_empty(), "{:?}", test.dropped_early());
}

/// A server leaves just before the store is away until all entries have expired. Guards against taking its
/// removal for one of those.
#[tokio::test]
async fn a_server_that_left_before_an_outage_is_dropped() {
    let test = DepartureTest::start().await;
    test.isolate(HostState::CutFromStore).await;
    test.depart(Departure::Removed);
    test.write_heartbeats(1);
    test.expire_all();
    test.resume(HostState::CutFromStore);
    test.wait_for_departure(test.departing()).await;
    assert_eq!(test.count_misdirected().await, 0);
}

/// A server is removed while a host is cut off, and the store loses its history, so that the host learns of the
/// removal only from the list. Guards against keeping the server once later heartbeats show that it has left.
#[tokio::test]
async fn a_server_missing_in_the_list_after_a_cut_is_dropped_by_later_heartbeats() {
    let test = DepartureTest::start().await;
    test.isolate(HostState::CutFromStore).await;
    test.depart(Departure::Removed);
    test.store().delete_history();
    test.resume(HostState::CutFromStore);
    test.wait_for_departure(test.departing()).await;
    test.write_heartbeats(LATER_HEARTBEATS);
    let is_gone = || !test.daemon.events("server_gone").is_empty();
    wait_until("the server is dropped", is_gone).await;
    assert_eq!(test.count_misdirected().await, 0);
}

/// A host that reads the list through other routers is frozen while a server leaves. Guards against requests to
/// that server after the host's return.
#[tokio::test]
async fn a_host_that_reads_through_other_routers_drops_a_departed_server() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Answer).await;
    let start = |_| DaemonProcess::start_in_zone(deployment.store.address, "south", 2);
    let daemons: Vec<DaemonProcess> = (0..4).map(start).collect();
    let reads_indirectly = wait_for_indirect_readers(&daemons, 2).await;
    let frozen = reads_indirectly.iter().position(|indirect| *indirect).expect("one of two");
    let frozen = &daemons[frozen];
    frozen.signal("STOP");
    sleep(OUTAGE).await;
    let departed = &deployment.plain_servers[1];
    deployment.store.remove_server(&departed.name);
    write_heartbeats(&deployment, LATER_HEARTBEATS);
    frozen.signal("CONT");
    wait_for_departure(frozen, departed).await;
    assert_eq!(count_misdirected(&deployment, frozen, departed).await, 0);
    let gone = frozen.events("server_gone");
    assert!(gone.iter().all(|line| line["cause"] != "grace_over"), "{gone:?}");
}
