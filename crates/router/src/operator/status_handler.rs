//! Status of this router and its view of the others.

use actix::Handler;
use actix::Message;
use actix::dev::ToEnvelope;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use fulmargate_config::ServerState;
use fulmargate_config::TeamEntry;
use fulmargate_config::TeamRow;
use fulmargate_config::TeamsAnswer;
use fulmargate_names::ErrorKind;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use serde::Serialize;
use uuid::Uuid;

use crate::control::ControlActor;
use crate::control::ReadHosts;
use crate::control::ReadServers;
use crate::control::ReadStatus;
use crate::control::SetServerState;
use crate::operator::OperatorContext;
use crate::operator::operator_answer::refuse;
use crate::operator::operator_answer::refuse_without_key;
use crate::operator::operator_answer::submitted;
use crate::state::RouterState;
use crate::telemetry::TeamCounts;

/// `GET /hosts`.
pub(crate) async fn hosts(
    request: HttpRequest,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    ask(&request, &context, ReadHosts).await
}

/// `GET /servers`.
pub(crate) async fn servers(
    request: HttpRequest,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    ask(&request, &context, ReadServers).await
}

/// `GET /status`.
pub(crate) async fn status(
    request: HttpRequest,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    ask(&request, &context, ReadStatus).await
}

/// `GET /teams`.
pub(crate) async fn teams(
    request: HttpRequest,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    if let Some(response) = refuse_without_key(&request, &context) {
        return response;
    }
    let Some(table) = context.state.routes.load_full() else {
        return refuse(ErrorKind::NotReady, None);
    };
    let state = &context.state;
    let rows = table.document.teams.iter().map(|(team, entry)| team_row(state, team, entry));
    HttpResponse::Ok().json(TeamsAnswer { teams: rows.collect() })
}

fn team_row(state: &RouterState, team: &TeamName, entry: &TeamEntry) -> TeamRow {
    let TeamCounts { admitted, refused } = TeamCounts::of(state, team);
    TeamRow {
        team: team.clone(),
        class: entry.class.clone(),
        keys: entry.key_sha256.len(),
        requests_per_s: entry.requests_per_s,
        prompt_tokens_per_s: entry.prompt_tokens_per_s,
        models: entry.models.clone(),
        services: entry.services.clone(),
        admitted,
        refused,
    }
}

/// `POST /servers/NAME/drain`.
pub(crate) async fn drain(
    request: HttpRequest,
    name: web::Path<String>,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    set_state(&request, &name, ServerState::Drained, &context).await
}

/// `POST /servers/NAME/undrain`.
pub(crate) async fn undrain(
    request: HttpRequest,
    name: web::Path<String>,
    context: web::Data<OperatorContext>,
) -> HttpResponse {
    set_state(&request, &name, ServerState::Active, &context).await
}

async fn set_state(
    request: &HttpRequest,
    name: &str,
    wanted: ServerState,
    context: &OperatorContext,
) -> HttpResponse {
    if let Some(response) = refuse_without_key(request, context) {
        return response;
    }
    let table = context.state.routes.load_full();
    if !table.is_some_and(|table| table.servers.contains_key(name)) {
        return refuse(ErrorKind::UnknownPath, Some(format!("There is no server `{name}`.")));
    }
    let message = SetServerState {
        server: ServerName::new(name),
        wanted,
        id: Uuid::now_v7().to_string(),
        author: "operator".to_owned(),
    };
    match context.state.control.send(message).await {
        Ok(outcome) => submitted(outcome),
        Err(_) => refuse(ErrorKind::Stopping, None),
    }
}

async fn ask<M>(request: &HttpRequest, context: &OperatorContext, message: M) -> HttpResponse
where
    M: Message + Send + 'static,
    M::Result: Serialize + Send,
    ControlActor: Handler<M>,
    <ControlActor as actix::Actor>::Context: ToEnvelope<ControlActor, M>,
{
    if let Some(response) = refuse_without_key(request, context) {
        return response;
    }
    match context.state.control.send(message).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(_) => refuse(ErrorKind::Stopping, None),
    }
}
