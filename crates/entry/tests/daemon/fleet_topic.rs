//! The routers' own topic of the store.

use std::time::Duration;

use bincode::config::standard;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_dispatch::FleetRecord;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use serde_json::json;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;

/// Hosts that start, one after the other at this pace.
const STARTS: usize = 60;
const START_PACE: Duration = Duration::from_millis(20);
/// Calls that one host may make meanwhile: some four a second for what it follows, and one for each batch of
/// starts.
const MOST_CALLS: usize = 20;
/// The hosts have heard each other after this time, however long it takes.
const SETTLED: Duration = Duration::from_millis(2_500);

fn joined(number: usize) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new(&format!("other-{number}")),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::new("north"),
        link_kbps: 20_000,
        epoch: StoreEpoch(0),
    }
}

/// The store is called by the square of the hosts when they are started together.
/// Each host writes that it is there, and the read of each other host returns with that one record. Read after
/// a pause, the records of a second come in a few pages.
#[tokio::test]
async fn starts_are_read_together() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let before = deployment.store.calls();
    for number in 0..STARTS {
        let record = joined(number);
        let value = bincode::serde::encode_to_vec(&record, standard()).expect("a record");
        deployment.store.put_router_record(&record.key(), &value);
        sleep(START_PACE).await;
    }
    let calls = deployment.store.calls() - before;
    assert!(calls <= MOST_CALLS, "{calls} calls for {STARTS} starts");
}

/// The hosts of the zone that read the store, when others ask them.
const HOSTS: usize = 4;
/// Reads of the store that a new host may make before it has read the routers' topic.
const MOST_READS: u64 = 1;
const READS: &str = "fulmargate_log_reads_total{source=\"store\"}";
const ASKED: &str = "fulmargate_log_reads_total{source=\"router\"}";

/// When all hosts are started together, each calls the store for itself for seconds.
/// A host asked others only once it had heard them, and they open their links to a new one some at a time. The
/// records of the routers' topic name them at once.
#[tokio::test]
async fn a_new_host_asks_others_at_once() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let start = |_| DaemonProcess::start_in_zone(deployment.store.address, "south", 2);
    let _others: Vec<DaemonProcess> = (0..HOSTS).map(start).collect();
    sleep(SETTLED).await;
    let mut narrow = json!({"zone": "south", "few_hosts": 2});
    narrow["link_mbps"] = json!(1.0);
    let started = DaemonProcess::start_with_settings(deployment.store.address, &narrow);
    for _ in 0..MAX_POLLS {
        if 4 <= started.counter(ASKED).await {
            let reads = started.counter(READS).await;
            assert!(reads <= MOST_READS, "{reads} reads of the store");
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("in vain: it asks others");
}
