//! The plain service: every effect is counted, over crashes and lost answers.

use crate::common::StandRun;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::ServiceSettings;
use fulmargate_stand::service_server;
use fulmargate_stand::token;
use serde_json::json;

fn start_service() -> StandRun {
    let settings = ServiceSettings {
        name: "s1".into(),
        zone: "z".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        service: "checkout".into(),
        work_ms: 1.0,
    };
    StandRun::start(service_server(settings).unwrap())
}

async fn charge(service: &StandRun, key: &str) -> Option<serde_json::Value> {
    let request =
        service.client.post(service.url("/charge")).insert_header(("idempotency-key", key));
    let mut answer = request.send_body("3 euro").await.ok()?;
    answer.json().await.ok()
}

/// The caller sees no answer although its call took effect; the second try doubles the effect, and
/// the book shows it, also after a crash.
#[actix_rt::test]
async fn effects_are_counted_over_lost_answers_and_crashes() {
    let service = start_service();
    let answer = charge(&service, "k1").await.unwrap();
    assert_eq!(answer["signature"], token::signature("k1", "POST /charge", b"3 euro"));
    service.fault(&FaultOrder { lose_answers: Some(1.0), ..FaultOrder::default() }).await;
    assert!(charge(&service, "k2").await.is_none());
    service.fault(&FaultOrder { lose_answers: Some(0.0), ..FaultOrder::default() }).await;
    assert!(charge(&service, "k2").await.is_some());
    service.crash().await;
    assert_eq!(service.get("/effects").await, json!({ "k1": 1, "k2": 2 }));
}

#[actix_rt::test]
async fn refusals_and_reads_have_no_effect() {
    let service = start_service();
    service.client.get(service.url("/charges")).send().await.unwrap();
    service.fault(&FaultOrder { refuse: Some(true), ..FaultOrder::default() }).await;
    let refused = service.client.post(service.url("/charge")).send().await.unwrap();
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(crate::common::header(&refused, "x-not-run"), "true");
    assert_eq!(service.get("/effects").await, json!({}));
}
