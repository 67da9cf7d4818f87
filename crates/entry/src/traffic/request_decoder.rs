//! Decodes callers' requests and admits them: authenticates the key, finds the route and charges the quota.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::CallerHead;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::RouteRule;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::TeamRule;
use fulmargate_names::ErrorKind;
use fulmargate_names::RequestId;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3;

use crate::state::HeldBytes;
use crate::state::SharedState;
use crate::traffic::block_body::BlockBody;
use crate::traffic::block_buffer::BlockBuffer;
use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::ClientPhase;
use crate::traffic::peer_forwarding::ForwardHead;
use crate::traffic::quota_charge::QuotaCharge;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_memory::RequestMemory;
use crate::traffic::server_connection::SERVER_CONNECTION_BYTES;

/// Error detail for a request with an API key while this host cannot rule out that the key was revoked.
pub(crate) const KEY_NOT_VERIFIABLE: &str =
    "whether the key still holds cannot be proved here at the moment";

/// Error detail for an unknown route or key while this host's configuration may be outdated.
const CONFIG_MAY_BE_STALE: &str =
    "the configuration cannot be proved to be the newest here at the moment";

/// Memory of a request without its body, with the connection to its server.
const REQUEST_BYTES: usize = (30 << 10) + SERVER_CONNECTION_BYTES;
/// Bodies of which less is missing are read with the receive buffer that each connection has.
const LARGE_BODY_BYTES: usize = 32 << 10;

/// An admitted request with its body.
pub(crate) struct DecodedRequest {
    pub(crate) facts: CallFacts,
    pub(crate) parts: Parts,
    pub(crate) body: BlockBody,
    /// The configuration that the request was admitted under.
    pub(crate) table: Arc<RouteTable>,
    /// The tokens charged to the team's quota; none for a team without a quota.
    pub(crate) charge: Option<QuotaCharge>,
    /// The stream that the caller takes up.
    pub(crate) taken_up: TakenUpStream,
    /// Where memory for the request is taken from.
    pub(crate) memory: RequestMemory,
}

/// What a caller states of a stream that an earlier attempt has begun.
#[derive(Clone, Debug, Default)]
pub(crate) struct TakenUpStream {
    /// Id of the last event that it has received.
    pub(crate) last_event: Option<String>,
    /// Its attempt that brought the first event.
    pub(crate) first_attempt: Option<RequestId>,
}

impl TakenUpStream {
    fn new(head: &CallerHead) -> TakenUpStream {
        TakenUpStream {
            last_event: head.last_event.clone(),
            first_attempt: head.first_attempt.clone(),
        }
    }
}

/// Route and team of a request whose body has not been read yet.
pub(crate) struct AdmittedHead {
    pub(crate) head: CallerHead,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<RouteRule>,
    pub(crate) team: Option<Arc<TeamRule>>,
}

/// Admits a request, reads its body and charges its team's quota.
pub(crate) async fn decode_request(
    state: &Arc<SharedState>,
    client: &Rc<ClientConnection>,
    parts: Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<DecodedRequest, RequestFailure> {
    client.set_unread_body(!body.is_end_stream());
    let admitted = admit(state, &parts)?;
    client.record_admitted();
    let route = admitted.route.clone();
    let request_timeout = admitted.head.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + request_timeout;
    let time_left = deadline.saturating_duration_since(Instant::now());
    let held = client.take(REQUEST_BYTES).await.map_err(|_| memory_failure(time_left))?;
    let limit = admitted.table.limits().body_bytes;
    let body = read_body(client, body, limit, deadline, held).await?;
    client.set_unread_body(false);
    let facts = call_facts(&admitted, &parts, &body, CallTimes { arrived, deadline });
    let charge = QuotaCharge::reserve(state, admitted.team.as_ref(), &facts)?;
    let taken_up = TakenUpStream::new(&admitted.head);
    let table = admitted.table;
    let memory = RequestMemory::Caller(client.clone());
    Ok(DecodedRequest { facts, parts, body, table, charge, taken_up, memory })
}

/// Admits a request that another host has admitted and charged, with a configuration that is not newer than this
/// host's. Its head arrived at `received`.
pub(crate) fn decode_forwarded(
    state: &SharedState,
    head: &ForwardHead,
    body: BlockBody,
    memory: RequestMemory,
    received: Instant,
) -> Result<DecodedRequest, RequestFailure> {
    let unreadable = |err: &dyn ToString| {
        let failure = RequestFailure::new(ErrorKind::BadRequest, head.time_left());
        failure.with_detail(err.to_string())
    };
    let parts = head.request_parts().map_err(|err| unreadable(&err))?;
    let admitted = admit(state, &parts)?;
    let arrived = received.checked_sub(head.waited()).unwrap_or(received);
    let deadline = received + head.time_left();
    let facts = call_facts(&admitted, &parts, &body, CallTimes { arrived, deadline });
    let taken_up = TakenUpStream::new(&admitted.head);
    let table = admitted.table;
    Ok(DecodedRequest { facts, parts, body, table, charge: None, taken_up, memory })
}

/// When a request arrived, and when it must be answered.
#[derive(Clone, Copy)]
struct CallTimes {
    arrived: Instant,
    deadline: Instant,
}

fn call_facts(
    admitted: &AdmittedHead,
    parts: &Parts,
    body: &BlockBody,
    times: CallTimes,
) -> CallFacts {
    let team = admitted.team.as_ref();
    let route = admitted.route.clone();
    CallFacts {
        id: admitted.head.id.clone(),
        team: team.map(|team| team.name.clone()),
        model: admitted.head.model.clone(),
        output_tokens: admitted.head.output_tokens,
        stated_tokens: admitted.head.stated_tokens,
        priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
        arrived: times.arrived,
        deadline: times.deadline,
        fingerprint: fingerprint(admitted, parts, body),
        prompt: admitted.head.prompt.clone(),
        route,
    }
}

/// Looks up the route and team of a request. Fails with `NotReady` until a configuration is loaded.
pub(crate) fn admit(state: &SharedState, parts: &Parts) -> Result<AdmittedHead, RequestFailure> {
    // Stands for the caller's remaining time if the head does not state it. It only bounds `retry-after`.
    let time_left = Duration::from_secs(1);
    let fail = |kind: ErrorKind| RequestFailure::new(kind, time_left);
    let head = CallerHead::decode(parts).map_err(|err| {
        fail(ErrorKind::BadRequest).with_detail(err.to_string()).with_connection_close()
    })?;
    let fail = |kind: ErrorKind| RequestFailure::new(kind, head.time_left.unwrap_or(time_left));
    let Some(table) = state.table.load_full() else {
        return Err(fail(ErrorKind::NotReady).with_connection_close());
    };
    let reject = |kind: ErrorKind| match state.may_reject_unknown() {
        true => fail(kind),
        false => fail(ErrorKind::NotReady)
            .with_detail(CONFIG_MAY_BE_STALE.to_owned())
            .with_connection_close(),
    };
    let Some(route) = table.route(&head.host, parts.uri.path()).cloned() else {
        return Err(reject(ErrorKind::UnknownPath));
    };
    let mut team = None;
    if table.needs_key(&route) {
        if !state.admits_keys() {
            return Err(fail(ErrorKind::NotReady)
                .with_detail(KEY_NOT_VERIFIABLE.to_owned())
                .with_connection_close());
        }
        let owner = head.key.as_deref().and_then(|key| table.team(key));
        team = Some(owner.cloned().ok_or_else(|| reject(ErrorKind::Unauthorized))?);
    }
    Ok(AdmittedHead { head, table, route, team })
}

async fn read_body(
    client: &Rc<ClientConnection>,
    body: Incoming,
    limit: usize,
    deadline: Instant,
    held: HeldBytes,
) -> Result<BlockBody, RequestFailure> {
    if body.is_end_stream() {
        return Ok(BlockBody::new(Vec::new(), Some(held)));
    }
    let time_left = deadline.saturating_duration_since(Instant::now());
    let fail = |kind: ErrorKind| RequestFailure::new(kind, time_left).with_connection_close();
    let stated = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    if stated.is_some_and(|stated| limit < stated) {
        return Err(fail(ErrorKind::BodyTooLarge));
    }
    client.enter(ClientPhase::Body);
    client.set_receiving(stated.is_none_or(|stated| LARGE_BODY_BYTES < stated));
    let memory = RequestMemory::Caller(client.clone());
    let buffer = match stated {
        Some(stated) => BlockBuffer::new(memory, held, stated).with_known_length(),
        None => BlockBuffer::new(memory, held, limit),
    };
    let reading = read_frames(Limited::new(body, limit), buffer);
    let read = tokio::select! {
        biased;
        () = client.refused() => Ok(Err(BodyFailure::Memory)),
        read = timeout_at(deadline, reading) => read,
    };
    client.set_receiving(false);
    match read {
        Err(_) => Err(fail(ErrorKind::SlowCaller)),
        Ok(Err(BodyFailure::Memory)) => Err(memory_failure(time_left)),
        Ok(Err(BodyFailure::TooLarge)) => Err(fail(ErrorKind::BodyTooLarge)),
        Ok(Err(BodyFailure::Unreadable(reason))) => {
            Err(fail(ErrorKind::BadRequest).with_detail(reason))
        }
        Ok(Ok(read)) => Ok(read),
    }
}

/// Why a body was not read to its end.
enum BodyFailure {
    /// There is no memory for it.
    Memory,
    /// It is over the operator's limit.
    TooLarge,
    /// It is malformed, or its connection broke.
    Unreadable(String),
}

async fn read_frames(
    mut body: Limited<Incoming>,
    mut buffer: BlockBuffer,
) -> Result<BlockBody, BodyFailure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| match err.is::<LengthLimitError>() {
            true => BodyFailure::TooLarge,
            false => BodyFailure::Unreadable(err.to_string()),
        })?;
        let Ok(chunk) = frame.into_data() else { continue };
        buffer.push(&mut &chunk[..]).await.map_err(|_| BodyFailure::Memory)?;
    }
    Ok(buffer.finish())
}

/// The memory for callers is used up.
fn memory_failure(time_left: Duration) -> RequestFailure {
    let failure = RequestFailure::new(ErrorKind::QueueFull, time_left).with_connection_close();
    failure.with_detail("the memory for callers' requests is used up".to_owned())
}

/// Hashes the content of a request. The fingerprint does not depend on the request id or on the router, so
/// that retries of a request can be recognized.
fn fingerprint(admitted: &AdmittedHead, parts: &Parts, body: &BlockBody) -> u128 {
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
    for block in body.blocks() {
        hasher.update(block);
    }
    hasher.digest128()
}
