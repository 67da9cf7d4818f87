//! A plain service that counts every effect it has, so that doubled calls show.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::ServiceConfig;
use bytes::Bytes;
use fulmargate_names as names;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;
use uuid::Uuid;

use crate::FaultDesk;
use crate::StandServer;
use crate::server_answer::header_text;
use crate::server_answer::lost_answer;
use crate::server_answer::not_run;
use crate::token;

/// Everything a replica of a plain service is told at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The service it is a replica of.
    pub service: ServiceName,
    /// How long a call takes; its effect comes half way.
    #[serde(default = "default_work_ms")]
    pub work_ms: f64,
}

fn default_work_ms() -> f64 {
    4.0
}

/// Effects by idempotency key; outside of the lives, for it is the judge of what was done.
type EffectBook = Arc<Mutex<IndexMap<String, u64>>>;

struct ServiceDesk {
    settings: Arc<ServiceSettings>,
    faults: FaultDesk,
    incarnation: u64,
    effects: EffectBook,
}

/// A replica that has its port and is ready to serve.
pub fn service_server(settings: ServiceSettings) -> io::Result<StandServer> {
    let listen = settings.listen;
    let settings = Arc::new(settings);
    let faults = FaultDesk::default();
    let effects = EffectBook::default();
    let desk_faults = faults.clone();
    let setup = move |config: &mut ServiceConfig| {
        let desk = ServiceDesk {
            settings: Arc::clone(&settings),
            faults: desk_faults.clone(),
            incarnation: desk_faults.state().incarnation,
            effects: Arc::clone(&effects),
        };
        config
            .app_data(Data::new(desk))
            .route("/effects", web::get().to(show_effects))
            .route("/control/state", web::get().to(state))
            .default_service(web::to(call));
    };
    StandServer::bind(listen, faults, Arc::new(setup))
}

async fn show_effects(desk: Data<ServiceDesk>) -> HttpResponse {
    HttpResponse::Ok().json(&*desk.effects.lock().expect("no holder of this lock panics"))
}

async fn state(desk: Data<ServiceDesk>) -> HttpResponse {
    HttpResponse::Ok().json(json!({
        "server": desk.settings.name,
        "zone": desk.settings.zone,
        "service": desk.settings.service,
        "incarnation": desk.incarnation,
        "leaving": desk.faults.state().leaving,
        "as_of_ms_ago": 0,
    }))
}

/// Any other call: work, effect, work, answer. A crash or a lost answer between effect and answer
/// leaves the caller in doubt.
async fn call(desk: Data<ServiceDesk>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if desk.faults.state().refuse {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    }
    if !desk.faults.admits_work() {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    let id = match header_text(&request, names::REQUEST_ID) {
        Some(id) => id.to_owned(),
        None => Uuid::new_v4().to_string(),
    };
    let key = header_text(&request, names::IDEMPOTENCY_KEY).unwrap_or(&id).to_owned();
    half_work(&desk).await;
    let has_effect = ![Method::GET, Method::HEAD, Method::OPTIONS].contains(request.method());
    if has_effect {
        let mut effects = desk.effects.lock().expect("no holder of this lock panics");
        *effects.entry(key.clone()).or_insert(0) += 1;
    }
    let is_marked = desk.faults.crash_if_marked(&String::from_utf8_lossy(&body));
    if is_marked || desk.faults.loses_answer() {
        return lost_answer();
    }
    half_work(&desk).await;
    let id = if desk.faults.crosses_answer() { format!("crossed-{id}") } else { id };
    answer(&desk, &request, &id, &key, &body)
}

async fn half_work(desk: &ServiceDesk) {
    let ms = desk.faults.paced_ms(desk.settings.work_ms / 2.0);
    sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
    desk.faults.thawed().await;
}

fn answer(
    desk: &ServiceDesk,
    request: &HttpRequest,
    id: &str,
    key: &str,
    body: &[u8],
) -> HttpResponse {
    let call = format!("{} {}", request.method(), request.uri());
    let mut head = HttpResponse::Ok();
    head.insert_header((names::REQUEST_ID, id))
        .insert_header((names::SERVER, desk.settings.name.as_str()))
        .insert_header((names::INCARNATION, desk.incarnation));
    if desk.faults.state().leaving {
        head.insert_header((names::LEAVING, "true"));
    }
    let signature = token::signature(key, &call, body);
    head.json(json!({ "id": id, "key": key, "call": call, "signature": signature }))
}
