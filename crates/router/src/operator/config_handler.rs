//! The configuration.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::header;
use actix_web::web;
use fulmargate_config::PatchRecord;
use fulmargate_names::ConfigVersion;
use fulmargate_names::ErrorKind;
use uuid::Uuid;

use crate::caller::BodyBounds;
use crate::caller::read_body;
use crate::control::PatchConfig;
use crate::control::ReadConfig;
use crate::control::ReadHistory;
use crate::operator::OperatorContext;
use crate::operator::operator_answer::refuse;
use crate::operator::operator_answer::refuse_without_key;
use crate::operator::operator_answer::submitted;
use crate::state::BodyMemory;

/// Who made a patch, for the history.
const AUTHOR: &str = "x-author";
/// The patch's own id; the same patch sent again under it is accepted once.
const PATCH_ID: &str = "x-patch-id";

/// A patch may be the whole document: 11,000 teams are some megabytes.
const PATCH_BOUNDS: BodyBounds =
    BodyBounds { most_bytes: 16 * 1024 * 1024, patience: Duration::from_secs(10) };

/// `GET /config`.
pub(crate) async fn read(
    request: HttpRequest,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    if let Some(response) = refuse_without_key(&request, &context) {
        return response;
    }
    match context.state.control.send(ReadConfig).await {
        Ok(Some(answer)) => HttpResponse::Ok()
            .insert_header((header::ETAG, format!("\"{}\"", answer.version)))
            .json(answer),
        Ok(None) => refuse(ErrorKind::NotReady, None),
        Err(_) => refuse(ErrorKind::Stopping, None),
    }
}

/// `GET /config/history`.
pub(crate) async fn history(
    request: HttpRequest,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    if let Some(response) = refuse_without_key(&request, &context) {
        return response;
    }
    match context.state.control.send(ReadHistory).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(_) => refuse(ErrorKind::Stopping, None),
    }
}

/// `PATCH /config`.
pub(crate) async fn patch(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    if let Some(response) = refuse_without_key(&request, &context) {
        return response;
    }
    // Only operators come so far; crowds of callers must not keep them out.
    let memory = BodyMemory::new(PATCH_BOUNDS.most_bytes);
    let body = match read_body(request.headers(), payload, PATCH_BOUNDS, &memory).await {
        Ok(body) => body,
        Err(err) => return refuse(err.kind, err.detail),
    };
    let patch = match read_patch(&request, &body) {
        Ok(patch) => patch,
        Err(detail) => return refuse(ErrorKind::BadRequest, Some(detail)),
    };
    match context.state.control.send(PatchConfig { patch }).await {
        Ok(outcome) => submitted(outcome),
        Err(_) => refuse(ErrorKind::Stopping, None),
    }
}

fn read_patch(request: &HttpRequest, body: &[u8]) -> Result<PatchRecord, String> {
    let base = base_version(request)?;
    let patch: serde_json::Value =
        serde_json::from_slice(body).map_err(|err| format!("The patch is no JSON: {err}."))?;
    if !patch.is_array() && !patch.is_object() {
        return Err("A patch is a JSON Patch (array) or a merge patch (object).".to_owned());
    }
    let id = header_text(request, PATCH_ID).unwrap_or_else(|| Uuid::now_v7().to_string());
    let author = header_text(request, AUTHOR).unwrap_or_else(|| "operator".to_owned());
    Ok(PatchRecord { id, base, author, patch })
}

fn base_version(request: &HttpRequest) -> Result<ConfigVersion, String> {
    let wanted = "if-match takes the version that the patch was made against, such as \"7\".";
    let text = header_text(request, header::IF_MATCH.as_str()).ok_or(wanted)?;
    let number = text.trim().trim_matches('"').parse().map_err(|_| wanted)?;
    Ok(ConfigVersion(number))
}

/// A header's text.
pub(crate) fn header_text(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    Some(value.to_str().ok()?.to_owned())
}
