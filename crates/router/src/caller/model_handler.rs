//! Lists the models that the caller's team may use.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RequestId;
use serde_json::json;

use crate::caller::CallerContext;
use crate::caller::RequestError;
use crate::caller::caller_identity::CallerIdentity;
use crate::caller::caller_identity::request_id;
use crate::state::RouteTable;

/// `GET /v1/models`.
pub(crate) async fn handle(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    let table = context.state.table_soon().await;
    let id = request_id(&request);
    list(&request, &id, table).unwrap_or_else(|err| err.respond(&id))
}

fn list(
    request: &HttpRequest,
    id: &RequestId,
    table: Option<Arc<RouteTable>>,
) -> Result<HttpResponse, RequestError> {
    let table = table.ok_or_else(|| RequestError::new(ErrorKind::NotReady))?;
    let caller = CallerIdentity::identify(request, &table.document)?;
    let models: Vec<serde_json::Value> = table
        .document
        .models
        .keys()
        .filter(|model| caller.entry.may_use_model(model))
        .map(|model| json!({"id": model, "object": "model", "owned_by": "fulmargate"}))
        .collect();
    Ok(HttpResponse::Ok()
        .insert_header((REQUEST_ID, id.as_str()))
        .insert_header((DISPOSITION, Disposition::Ran.as_str()))
        .json(json!({"object": "list", "data": models})))
}
