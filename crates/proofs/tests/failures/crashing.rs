//! A request that crashes each server that runs it.

use std::time::Duration;

use awc::Client;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use serde_json::json;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

const MARKER: &str = "the-record-that-crashes-engines";

/// The caller of the crashing request is told that it crashes servers, also when it sends it again
/// through the other routers; at most two engines are lost to it, and callers of other requests on
/// those engines get their whole answers. The crash in the first engine makes all that it ran
/// suspects; the second, where the request ran apart, convicts it, and the routers tell each other.
#[actix_rt::test]
async fn a_crashing_request_costs_two_servers() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    for name in fleet.engine_names() {
        let order = FaultOrder {
            crash_marker: Some(MARKER.to_owned()),
            marker_down_ms: Some(600),
            ..FaultOrder::default()
        };
        fleet.fault(&name, order).await;
    }
    let load = WatchedLoad::new(&fleet, 60.0, 7, 0.0).answer_tokens(40);
    let crashing = async {
        sleep(Duration::from_millis(1_500)).await;
        let mut codes = Vec::new();
        for router in fleet.router_names() {
            codes.push(send_marked(&fleet, &router).await);
        }
        codes
    };
    let (records, codes) = tokio::join!(load.send(), crashing);
    println!("the crashing request was answered {codes:?}");
    load.judge(&fleet, records).await.must_be_sound(0.97);
    let mut crashes = 0;
    for name in fleet.engine_names() {
        crashes += fleet.control.counts(&fleet.address(&name)).await.expect("counts").crashes;
    }
    assert!(crashes <= 2, "{crashes} engines were lost to one request");
    assert_eq!(codes.last().map(String::as_str), Some("crashing_request"));
}

async fn send_marked(fleet: &ProcessFleet, router: &str) -> String {
    let team = &fleet.deployment.teams[0];
    let body = json!({
        "model": fleet.deployment.model,
        "max_tokens": 30,
        "messages": [{ "role": "system", "content": "short" }, { "role": "user", "content": MARKER }],
    });
    let url = format!("http://{}/v1/chat/completions", fleet.address(router));
    let client = Client::builder().timeout(Duration::from_secs(20)).finish();
    let answer = client.post(url).bearer_auth(&team.key).send_json(&body).await.expect("an answer");
    let code = answer.headers().get("x-fulmargate-error");
    code.map_or("none".to_owned(), |code| code.to_str().expect("a code").to_owned())
}
