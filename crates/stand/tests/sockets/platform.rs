//! The platform's stand-ins over their sockets.

use crate::common::StandRun;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::HostListSettings;
use fulmargate_stand::KvSettings;
use fulmargate_stand::ListedHost;
use fulmargate_stand::ListedKind;
use fulmargate_stand::ListedState;
use fulmargate_stand::LogSettings;
use fulmargate_stand::host_list_server;
use fulmargate_stand::kv_server;
use fulmargate_stand::log_server;
use serde_json::json;

const RECORDS: &str = "/v1/streams/s/records";

fn start_log() -> StandRun {
    let settings = LogSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        retention_ms: 3_600_000,
        appends_per_s: 1_000.0,
        append_ms: 0.0,
    };
    StandRun::start(log_server(settings).unwrap())
}

/// The writer sees no answer, and the record stands in the log all the same, also after a crash.
#[actix_rt::test]
async fn a_lost_answer_lands() {
    let log = start_log();
    log.fault(&FaultOrder { lose_answers: Some(1.0), ..FaultOrder::default() }).await;
    assert!(log.post(RECORDS, &json!({ "id": "a", "data": "x" })).await.is_err());
    log.fault(&FaultOrder { lose_answers: Some(0.0), ..FaultOrder::default() }).await;
    let (_, second) = log.post(RECORDS, &json!({ "id": "b", "data": "y" })).await.unwrap();
    assert_eq!(second, json!({ "offset": 1 }));
    log.crash().await;
    let page = log.get(&format!("{RECORDS}?from=0")).await;
    assert_eq!(page["records"][0]["id"], "a");
    assert_eq!((&page["first"], &page["next"]), (&json!(0), &json!(2)));
}

#[actix_rt::test]
async fn an_outage_takes_nothing_and_ends() {
    let log = start_log();
    log.fault(&FaultOrder { outage_ms: Some(60_000), ..FaultOrder::default() }).await;
    let body = json!({ "id": "a", "data": "x" });
    assert_eq!(log.post(RECORDS, &body).await.unwrap().0, 503);
    log.fault(&FaultOrder { outage_ms: Some(0), ..FaultOrder::default() }).await;
    assert_eq!(log.post(RECORDS, &body).await.unwrap().1, json!({ "offset": 0 }));
}

/// A reader that waits is answered by the append that it waits for.
#[actix_rt::test]
async fn a_waiting_reader_gets_the_next_record() {
    let log = start_log();
    let path = format!("{RECORDS}?from=0&wait_ms=60000");
    let body = json!({ "id": "a", "data": "x" });
    let (page, _) = futures_util::future::join(log.get(&path), log.post(RECORDS, &body)).await;
    assert_eq!(page["records"][0]["data"], "x");
}

#[actix_rt::test]
async fn the_kv_store_gives_blocks_to_their_scope_and_weights_only() {
    let settings = KvSettings { listen: "127.0.0.1:0".parse().unwrap(), blocks: 100 };
    let store = StandRun::start(kv_server(settings).unwrap());
    let hashes = ["00000000000000aa", "00000000000000bb"];
    let run = json!([{ "scope": "t", "weights": 1, "hashes": hashes }]);
    let put = store.client.put(store.url("/v1/blocks")).send_json(&run).await.unwrap();
    assert_eq!(put.status().as_u16(), 204);
    let chain = "00000000000000aa,00000000000000bb,00000000000000cc";
    for (scope, weights, found) in [("t", 1, 2), ("u", 1, 0), ("t", 2, 0)] {
        let path = format!("/v1/blocks?scope={scope}&weights={weights}&hash={chain}");
        let run = store.get(&path).await;
        assert_eq!(run["hashes"].as_array().unwrap().len(), found, "{scope} {weights}");
    }
}

/// A host leaves; the list says so only after its lag, which is endless here, and at once without.
#[actix_rt::test]
async fn the_host_list_lags() {
    let host = ListedHost {
        name: "entry-1".to_owned(),
        zone: "z".into(),
        kind: ListedKind::Entry,
        address: "127.0.0.1:1".to_owned(),
        state: ListedState::Live,
        incarnation: 1,
    };
    for (lag_ms, shown) in [(3_600_000, "live"), (0, "leaving")] {
        let settings = HostListSettings {
            listen: "127.0.0.1:0".parse().unwrap(),
            lag_ms,
            hosts: vec![host.clone()],
        };
        let list = StandRun::start(host_list_server(settings).unwrap());
        let leaving = ListedHost { state: ListedState::Leaving, ..host.clone() };
        list.post("/v1/hosts", &serde_json::to_value(&leaving).unwrap()).await.unwrap();
        assert_eq!(list.get("/v1/hosts").await["hosts"][0]["state"], shown, "{lag_ms}");
    }
}
