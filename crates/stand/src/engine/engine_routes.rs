//! The paths of an engine.

use std::io;
use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::Query;
use actix_web::web::ServiceConfig;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::EngineSettings;
use super::completion::complete;
use super::engine_desk::EngineDesk;
use super::engine_orders::take_order;
use crate::FaultDesk;
use crate::StandServer;
use crate::kv_run::KvQuery;
use crate::kv_run::KvRun;
use crate::server_answer::error_body;

const DEFAULT_EVENTS: usize = 1_000;

/// An engine that has its port and is ready to serve.
pub fn engine_server(settings: EngineSettings) -> io::Result<StandServer> {
    let listen = settings.listen;
    let settings = Arc::new(settings);
    let faults = FaultDesk::default();
    let desk_faults = faults.clone();
    let setup = move |config: &mut ServiceConfig| {
        let desk = Data::new(EngineDesk::new(Arc::clone(&settings), desk_faults.clone()));
        spawn_tasks(&desk);
        config.app_data(desk);
        add_routes(config);
    };
    StandServer::bind(listen, faults, Arc::new(setup))
}

/// The tasks end with the thread of the life.
fn spawn_tasks(desk: &Data<EngineDesk>) {
    let [step, report, flush, clear] = [desk.clone(), desk.clone(), desk.clone(), desk.clone()];
    actix_rt::spawn(async move { step.step_forever().await });
    actix_rt::spawn(async move { report.report_forever().await });
    actix_rt::spawn(async move { flush.flush_forever().await });
    actix_rt::spawn(async move { clear.clear_forever().await });
}

fn add_routes(config: &mut ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/models", web::get().to(models))
        .route("/control/state", web::get().to(state))
        .route("/control/events", web::get().to(events))
        .route("/control/orders", web::post().to(take_order))
        .route("/kv/export", web::get().to(export))
        .route("/kv/import", web::post().to(import));
}

async fn models(desk: Data<EngineDesk>) -> HttpResponse {
    let core = desk.core.borrow();
    let each = |model: &Arc<str>| json!({ "id": model, "object": "model", "owned_by": "stand" });
    let models: Vec<Value> = core.weights().keys().map(each).collect();
    HttpResponse::Ok().json(json!({ "object": "list", "data": models }))
}

async fn state(desk: Data<EngineDesk>) -> HttpResponse {
    HttpResponse::Ok().json(desk.report())
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
}

async fn events(desk: Data<EngineDesk>, query: Query<EventsQuery>) -> HttpResponse {
    let max = query.max.unwrap_or(DEFAULT_EVENTS);
    let page = desk.core.borrow().feed.page(desk.now_ms(), query.from, max);
    HttpResponse::Ok().json(page)
}

async fn export(desk: Data<EngineDesk>, query: Query<KvQuery>) -> HttpResponse {
    let chain = desk.core.borrow().export(&query.scope, query.weights, &query.chain());
    HttpResponse::Ok().json(KvRun::new(&Arc::from(&*query.scope), query.weights, &chain))
}

/// Takes in blocks of weights in use only.
async fn import(desk: Data<EngineDesk>, run: Json<KvRun>) -> HttpResponse {
    let mut core = desk.core.borrow_mut();
    if !core.weights().values().any(|version| *version == run.weights) {
        return HttpResponse::Conflict().json(error_body("weights_mismatch", "other weights"));
    }
    let chain = run.chain();
    core.import(desk.now_ms(), &run.scope, run.weights, &chain);
    HttpResponse::Ok().json(json!({ "blocks": chain.len() }))
}
