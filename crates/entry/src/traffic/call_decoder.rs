//! From a caller's request to a call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_consortium::CallerHead;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::RouteRule;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::TeamRule;
use fulmargate_names::ErrorKind;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3;

use crate::state::SharedState;
use crate::traffic::answer::CallFailure;
use crate::traffic::quota_charge::QuotaCharge;

/// What a caller with a key is told while the store does not answer this host.
pub(crate) const UNPROVEN: &str = "whether the key still holds cannot be proved here at the moment";

/// What a caller is told whose route or key may be in a configuration that has not come here yet.
const OUTDATED: &str = "the configuration cannot be proved to be the newest here at the moment";

/// A call with its bytes.
#[derive(Debug)]
pub(crate) struct DecodedCall {
    pub(crate) facts: CallFacts,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// The configuration that admitted it.
    pub(crate) table: Arc<RouteTable>,
    /// What it took of its team's quota.
    pub(crate) charge: Option<QuotaCharge>,
}

/// Who calls which route, before the body is read.
pub(crate) struct AdmittedHead {
    pub(crate) head: CallerHead,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<RouteRule>,
    pub(crate) team: Option<Arc<TeamRule>>,
}

/// Reads the whole request.
pub(crate) async fn decode_call(
    state: &Arc<SharedState>,
    parts: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<DecodedCall, CallFailure> {
    let admitted = admit(state, &parts)?;
    let route = admitted.route.clone();
    let patience = admitted.head.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + patience;
    let body = read_body(body, admitted.table.limits().body_bytes, deadline).await?;
    let team = admitted.team.as_ref();
    let facts = CallFacts {
        id: admitted.head.id.clone(),
        team: team.map(|team| team.name.clone()),
        model: admitted.head.model.clone(),
        output_tokens: admitted.head.output_tokens,
        stated_tokens: admitted.head.stated_tokens,
        priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
        arrived,
        deadline,
        print: fingerprint(&admitted, &parts, &body),
        prompt: admitted.head.prompt,
        route,
    };
    let charge = QuotaCharge::take(state, team, &facts)?;
    Ok(DecodedCall { facts, parts, body, table: admitted.table, charge })
}

/// Finds route and team. Without a configuration nothing can be said of either.
pub(crate) fn admit(state: &SharedState, parts: &Parts) -> Result<AdmittedHead, CallFailure> {
    let time_left = Duration::from_secs(1);
    let fail = |kind: ErrorKind| CallFailure::new(kind, time_left);
    let head = CallerHead::decode(parts)
        .map_err(|fault| fail(ErrorKind::BadRequest).saying(fault.to_string()).closing())?;
    let fail = |kind: ErrorKind| CallFailure::new(kind, head.patience.unwrap_or(time_left));
    let Some(table) = state.table.load_full() else {
        return Err(fail(ErrorKind::NotReady).closing());
    };
    let refuse = |kind: ErrorKind| match state.refuses_unknown() {
        true => fail(kind),
        false => fail(ErrorKind::NotReady).saying(OUTDATED.to_owned()).closing(),
    };
    let Some(route) = table.route(&head.host, parts.uri.path()).cloned() else {
        return Err(refuse(ErrorKind::UnknownPath));
    };
    let mut team = None;
    if table.needs_key(&route) {
        if !state.admits_keys() {
            return Err(fail(ErrorKind::NotReady).saying(UNPROVEN.to_owned()).closing());
        }
        let key = head.key.as_deref().and_then(|key| table.team(key));
        team = Some(key.cloned().ok_or_else(|| refuse(ErrorKind::Unauthorized))?);
    }
    Ok(AdmittedHead { head, table, route, team })
}

async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, CallFailure> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let reading = timeout_at(deadline, Limited::new(body, limit).collect()).await;
    let read = reading.map_err(|_| CallFailure::new(ErrorKind::SlowCaller, time_left).closing())?;
    read.map(http_body_util::Collected::to_bytes).map_err(|err| {
        let kind = match err.is::<LengthLimitError>() {
            true => ErrorKind::BodyTooLarge,
            false => ErrorKind::BadRequest,
        };
        CallFailure::new(kind, time_left).saying(err.to_string()).closing()
    })
}

/// A request that is sent again under a new id has the same fingerprint at all routers.
fn fingerprint(admitted: &AdmittedHead, parts: &Parts, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    let team = admitted.team.as_ref().map_or("", |team| team.name.as_str());
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [team, parts.method.as_str(), admitted.head.host.as_str(), path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    for part in &admitted.head.prompt {
        hasher.update(&part.hash.to_le_bytes());
    }
    hasher.update(body);
    hasher.digest128()
}
