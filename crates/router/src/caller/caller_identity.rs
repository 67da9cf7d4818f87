//! Who calls.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use fulmargate_config::ConfigDocument;
use fulmargate_config::KeyHash;
use fulmargate_config::TeamEntry;
use fulmargate_names::ErrorKind;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RequestId;
use fulmargate_names::TeamName;
use uuid::Uuid;

use crate::caller::RequestError;

const BEARER: &str = "Bearer ";
const MAX_REQUEST_ID: usize = 128;

/// The team that calls.
pub(crate) struct CallerIdentity {
    pub(crate) team: TeamName,
    pub(crate) entry: Arc<TeamEntry>,
}

impl CallerIdentity {
    /// Finds the team that has the request's key.
    pub(crate) fn identify(
        request: &HttpRequest,
        document: &ConfigDocument,
    ) -> Result<CallerIdentity, RequestError> {
        let unauthorized = || RequestError::new(ErrorKind::Unauthorized);
        let value = request.headers().get(AUTHORIZATION).ok_or_else(unauthorized)?;
        let text = value.to_str().map_err(|_| unauthorized())?;
        let key = text.strip_prefix(BEARER).ok_or_else(unauthorized)?;
        let (team, entry) = document.team_by_key(&KeyHash::of_key(key)).ok_or_else(unauthorized)?;
        Ok(CallerIdentity { team: team.clone(), entry: Arc::clone(entry) })
    }
}

/// The caller's own request id where it is usable, else a new one.
pub(crate) fn request_id(request: &HttpRequest) -> RequestId {
    let given = request.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
    match given {
        Some(text) if is_usable_id(text) => RequestId::new(text),
        _ => RequestId::new(&Uuid::now_v7().to_string()),
    }
}

fn is_usable_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    !text.is_empty() && text.len() <= MAX_REQUEST_ID && text.chars().all(allowed)
}
