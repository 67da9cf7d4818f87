//! Orders to an engine, and the loads that follow from them.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web::Data;
use actix_web::web::Json;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use super::engine_desk::EngineDesk;
use crate::FaultOrder;
use crate::clock;
use crate::server_answer::error_body;

/// A load from the weight store that takes longer has failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// What an order is about.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    LoadWeights,
    LoadAdapter,
    SetRole,
    Drain,
    Undrain,
}

/// An order on the wire.
#[derive(Debug, Deserialize)]
pub(super) struct EngineOrder {
    id: String,
    fence: u64,
    /// Time since 1970 after which the order is void.
    deadline_ms: u64,
    kind: OrderKind,
    model: Option<String>,
    version: Option<u64>,
    adapter: Option<String>,
    role: Option<String>,
}

/// `POST /control/orders`.
pub(super) async fn take_order(desk: Data<EngineDesk>, order: Json<EngineOrder>) -> HttpResponse {
    if order.deadline_ms < clock::unix_ms() {
        return HttpResponse::Gone().json(json!({ "code": "deadline_passed" }));
    }
    // A holder whose lease lapsed while it was paused still acts on it; its number is lower than
    // that of the next holder's first order, so it is refused from then on.
    if desk.settings.fenced && order.fence < desk.fence.get() {
        return HttpResponse::Conflict()
            .json(json!({ "code": "stale_fence", "fence": desk.fence.get() }));
    }
    match carry_out(&desk, &order) {
        Ok(()) => {
            desk.fence.set(order.fence.max(desk.fence.get()));
            tracing::debug!(id = order.id, fence = order.fence, kind = ?order.kind, "order taken");
            HttpResponse::build(StatusCode::ACCEPTED).json(json!({ "accepted": true }))
        }
        Err(reason) => HttpResponse::BadRequest().json(error_body("bad_request", reason)),
    }
}

fn carry_out(desk: &Data<EngineDesk>, order: &EngineOrder) -> Result<(), &'static str> {
    match order.kind {
        OrderKind::LoadWeights => {
            let model = order.model.as_deref().ok_or("`model` is missing")?;
            let version = order.version.ok_or("`version` is missing")?;
            begin_load(desk, &Arc::from(model), version);
        }
        OrderKind::LoadAdapter => {
            let adapter = order.adapter.clone().ok_or("`adapter` is missing")?;
            let mut adapters = desk.adapters.borrow_mut();
            if !adapters.contains(&adapter) {
                adapters.push(adapter);
            }
        }
        OrderKind::SetRole => {
            let role = order.role.clone().ok_or("`role` is missing")?;
            desk.role.replace(role);
        }
        OrderKind::Drain => set_leaving(desk, true),
        OrderKind::Undrain => set_leaving(desk, false),
    }
    Ok(())
}

fn set_leaving(desk: &EngineDesk, leaving: bool) {
    desk.faults.apply(&FaultOrder { leaving: Some(leaving), ..FaultOrder::default() });
}

/// Starts a load unless those weights are in use or on their way: an order states what is wanted.
fn begin_load(desk: &Data<EngineDesk>, model: &Arc<str>, version: u64) {
    {
        let mut core = desk.core.borrow_mut();
        let wanted = Some(&version);
        if core.loading().get(model) == wanted {
            return;
        }
        if core.loading().is_empty() && core.weights().get(model) == wanted {
            return;
        }
        core.begin_loading(model, version);
    }
    let desk = desk.clone();
    let model = Arc::clone(model);
    actix_rt::spawn(async move {
        let loaded = load(&desk, &model, version).await;
        desk.faults.thawed().await;
        let mut core = desk.core.borrow_mut();
        // A later order may have asked for other weights meanwhile.
        if core.loading().get(&model) == Some(&version) {
            core.end_loading(desk.now_ms(), &model, loaded.then_some(version));
        }
    });
}

async fn load(desk: &EngineDesk, model: &str, version: u64) -> bool {
    let Some(store) = desk.settings.weight_store else {
        sleep(Duration::from_millis(desk.settings.rates.load_ms)).await;
        return true;
    };
    let url = format!("http://{store}/v1/weights/{model}/{version}");
    let sent = desk.client.get(url).timeout(LOAD_TIMEOUT).send().await;
    sent.is_ok_and(|answer| answer.status().is_success())
}
