//! The routers' own topic of the store.

use std::time::Duration;

use bincode::config::standard;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_dispatch::FleetRecord;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::StoreEra;
use tokio::time::sleep;

use crate::support::TestDeployment;

/// Hosts that start, one after the other at this pace.
const STARTS: usize = 60;
const START_PACE: Duration = Duration::from_millis(20);
/// Calls that one host may make meanwhile: some four a second for what it follows, and one for each batch of
/// starts.
const MOST_CALLS: usize = 20;

fn joined(number: usize) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new(&format!("other-{number}")),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().expect("an address"),
        era: StoreEra(0),
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
