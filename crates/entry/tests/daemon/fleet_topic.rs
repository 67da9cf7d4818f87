//! The store's topic that routers write to.

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

const START_COUNT: usize = 60;
const START_INTERVAL: Duration = Duration::from_millis(20);
/// Calls allowed to one host during the starts: its regular reads and one for each batch of records.
const MAX_STORE_CALLS: usize = 20;
/// After this time the hosts have received each other's reports.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

fn joined_record(number: usize) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new(&format!("other-{number}")),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().expect("parse the address"),
        zone: ZoneName::new("north"),
        link_kbps: 20_000,
        epoch: StoreEpoch(0),
    }
}

/// When all hosts start together, each writes a record. Reading these one at a time would make the number
/// of store calls grow with the square of the number of hosts.
#[tokio::test]
async fn records_of_concurrent_starts_are_read_in_batches() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let before = deployment.store.calls();
    for number in 0..START_COUNT {
        let record = joined_record(number);
        let value = bincode::serde::encode_to_vec(&record, standard()).expect("encode the record");
        deployment.store.put_router_record(&record.key(), &value);
        sleep(START_INTERVAL).await;
    }
    let calls = deployment.store.calls() - before;
    assert!(calls <= MAX_STORE_CALLS, "{calls} store calls for {START_COUNT} starts");
}

/// Hosts that are already running in the zone.
const HOST_COUNT: usize = 4;
/// Store reads allowed to a new host before it has read the routers' topic.
const MAX_STORE_READS: u64 = 1;
const STORE_READS: &str = "fulmargate_log_reads_total{source=\"store\"}";
const ROUTER_READS: &str = "fulmargate_log_reads_total{source=\"router\"}";

/// A new host must find readers in the records of the routers' topic at once, and not read the store itself
/// until the first reports of other hosts arrive.
#[tokio::test]
async fn a_new_host_reads_from_other_routers_immediately() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let start = |_| DaemonProcess::start_in_zone(deployment.store.address, "south", 2);
    let _others: Vec<DaemonProcess> = (0..HOST_COUNT).map(start).collect();
    sleep(DISCOVERY_TIME).await;
    let mut overrides = json!({"zone": "south", "few_hosts": 2});
    overrides["link_mbps"] = json!(1.0);
    let new_host = DaemonProcess::start_with_settings(deployment.store.address, &overrides);
    for _ in 0..MAX_POLLS {
        if 4 <= new_host.counter(ROUTER_READS).await {
            let reads = new_host.counter(STORE_READS).await;
            assert!(
                reads <= MAX_STORE_READS,
                "{reads} reads of the store, {MAX_STORE_READS} allowed"
            );
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until the new host reads from other routers");
}
