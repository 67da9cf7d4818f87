//! Receives gossip and log requests from other routers.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::GossipPath;
use fulmargate_dispatch::LogRequest;
use fulmargate_dispatch::StoreAccess;
use fulmargate_dispatch::should_apply;
use fulmargate_dispatch::should_forward;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::binding_service::serve_binding;
use crate::control::fleet_codec::LENGTH_PREFIX_BYTES;
use crate::control::fleet_codec::RELAY_HEADER;
use crate::control::fleet_codec::RELAYED_PATH;
use crate::control::fleet_codec::STORE_STATE_HEADER;
use crate::control::fleet_codec::decode_gossip;
use crate::control::fleet_codec::decode_payload;
use crate::control::fleet_codec::encode_payload;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::gossip_receiver::apply_gossip;
use crate::control::record_cache::CacheReply;
use crate::control::record_cache::RecordCache;
use crate::control::relay_queue::SharedRelays;
use crate::control::weights_service::WEIGHTS_PATH;
use crate::control::weights_service::serve_weights;
use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::state::SharedState;
use crate::telemetry::count_records_rejected;
use crate::telemetry::count_records_served;
use crate::telemetry::topic_label;
use crate::traffic::BINDING_PATH;
use crate::traffic::FORWARD_PATH;
use crate::traffic::ForwardCall;
use crate::traffic::INCARNATION_HEADER;
use crate::traffic::SENDER_HEADER;

/// A connection is closed when sent data stays unacknowledged for this time. An idle one is probed
/// at this interval.
const PEER_TIMEOUT: PeerTimeout =
    PeerTimeout { unacknowledged: Duration::from_secs(5), probe_interval: Duration::from_secs(5) };
/// Maximum message size. Fits a fleet of 12,000 servers at 16 bytes each.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
const MAX_REQUEST_BYTES: usize = 1_024;
/// Delay after a failed accept. Without free file descriptors the next one would fail too.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections from other routers.
pub(crate) struct PeerListener {
    services: PeerServices,
    listener: TcpListener,
}

/// What connections of other routers are served with.
#[derive(Clone)]
pub(crate) struct PeerServices {
    pub(crate) state: Arc<SharedState>,
    pub(crate) fleet_state: SharedFleetState,
    pub(crate) record_cache: Rc<RecordCache>,
    pub(crate) relays: SharedRelays,
    /// Takes requests that other hosts forward.
    pub(crate) forwards: UnboundedSender<ForwardCall>,
}

/// A stream of gossip messages.
struct GossipStream {
    state: Arc<SharedState>,
    relays: SharedRelays,
    /// The relay that forwards the messages; `None` if the sender is their origin.
    relay: Option<HostName>,
}

impl PeerListener {
    pub(crate) fn new(services: PeerServices, listener: StdListener) -> io::Result<PeerListener> {
        Ok(PeerListener { services, listener: TcpListener::from_std(listener)? })
    }

    /// Accepts connections until it is dropped.
    pub(crate) async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve_connection(self.services.clone(), stream));
                }
                Err(err) => {
                    tracing::warn!("could not accept a peer connection: {err}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn serve_connection(services: PeerServices, stream: TcpStream) {
    if let Err(err) = set_peer_timeout(&stream, PEER_TIMEOUT) {
        tracing::debug!("could not set the peer timeout: {err}");
    }
    let requester = stream.peer_addr().ok();
    let mut connection = match h2::server::handshake(stream).await {
        Ok(connection) => connection,
        Err(err) => {
            tracing::debug!("HTTP/2 handshake with a peer failed: {err}");
            return;
        }
    };
    while let Some(next) = connection.accept().await {
        match next {
            Ok((request, respond)) => serve_stream(&services, requester, request, respond),
            Err(err) => {
                tracing::debug!("peer connection failed: {err}");
                return;
            }
        }
    }
}

/// Starts a task for a stream: its connection is driven meanwhile.
fn serve_stream(
    services: &PeerServices,
    requester: Option<SocketAddr>,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
) {
    let (state, relays) = (services.state.clone(), services.relays.clone());
    match request.uri().path() {
        "/log" => {
            let record_cache = services.record_cache.clone();
            actix_rt::spawn(serve_log_request(state, record_cache, requester, request, respond));
        }
        FORWARD_PATH => pass_forward(services, requester, request, respond),
        BINDING_PATH => match known_sender(services, requester, &request) {
            Some(_) => {
                actix_rt::spawn(serve_binding(state, request.into_body(), respond));
            }
            None => refuse_unknown_sender(services, requester, respond),
        },
        WEIGHTS_PATH => {
            actix_rt::spawn(serve_weights(state, respond));
        }
        _ => {
            let gossip_stream = GossipStream { state, relays, relay: relay_host(&request) };
            actix_rt::spawn(gossip_stream.receive(request.into_body(), respond));
        }
    }
}

/// Passes a forwarded request to the traffic thread if it comes from a host of the fleet.
fn pass_forward(
    services: &PeerServices,
    requester: Option<SocketAddr>,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
) {
    if let Some(sender) = known_sender(services, requester, &request) {
        let call = ForwardCall { sender, request, respond };
        if services.forwards.send(call).is_err() {
            tracing::debug!("forwarded request dropped: the process is shutting down");
        }
        return;
    }
    refuse_unknown_sender(services, requester, respond);
}

fn refuse_unknown_sender(
    services: &PeerServices,
    requester: Option<SocketAddr>,
    mut respond: SendResponse<Bytes>,
) {
    let kind = EventKind::ForwardRefused;
    if services.state.log_limiter.allows(kind, Instant::now()) {
        let from = requester.map(|requester| requester.to_string());
        tracing::warn!(event = kind.number(), name = kind.name(), from, reason = "unknown_sender");
    }
    let mut refusal = Response::new(());
    *refusal.status_mut() = StatusCode::FORBIDDEN;
    if let Err(err) = respond.send_response(refusal, true) {
        tracing::debug!("could not refuse a forwarded request: {err}");
    }
}

/// The host that has sent a request, if its record in the fleet topic confirms its incarnation and address.
fn known_sender(
    services: &PeerServices,
    requester: Option<SocketAddr>,
    request: &Request<RecvStream>,
) -> Option<HostName> {
    let header = |name| request.headers().get(name)?.to_str().ok();
    let host = HostName::new(header(SENDER_HEADER)?);
    let incarnation = Incarnation(header(INCARNATION_HEADER)?.parse().ok()?);
    let ip = requester?.ip();
    let is_member = services.fleet_state.borrow().is_member(&host, incarnation, ip);
    is_member.then_some(host)
}

/// Answers with cached records, or with a status on which the requester reads the store.
async fn serve_log_request(
    state: Arc<SharedState>,
    record_cache: Rc<RecordCache>,
    requester: Option<SocketAddr>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let store = match request.headers().contains_key(STORE_STATE_HEADER) {
        true => StoreAccess::Unreachable,
        false => StoreAccess::Reachable,
    };
    let mut body = request.into_body();
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        // A request that was cut off has nobody left to be answered.
        let Ok(chunk) = chunk else { return };
        bytes.extend_from_slice(&chunk);
        if MAX_REQUEST_BYTES < bytes.len() {
            return;
        }
    }
    let (status, encoded) = match decode_payload::<LogRequest>(&bytes) {
        Ok(log_request) => {
            let reply = record_cache.answer(log_request, store).await;
            record_reply(&state, &log_request, &reply, requester);
            encode_reply(reply)
        }
        Err(err) => {
            let kind = EventKind::PeerUnreadable;
            tracing::warn!(event = kind.number(), name = kind.name(), reason = %err);
            (StatusCode::SERVICE_UNAVAILABLE, None)
        }
    };
    let mut response = Response::new(());
    *response.status_mut() = status;
    let sent = respond.send_response(response, encoded.is_none());
    let sent = sent.and_then(|mut stream| match encoded {
        Some(encoded) => stream.send_data(Bytes::from(encoded), true),
        None => Ok(()),
    });
    if let Err(err) = sent {
        tracing::debug!("could not send a log response: {err}");
    }
}

fn encode_reply(reply: CacheReply) -> (StatusCode, Option<Vec<u8>>) {
    match reply {
        CacheReply::Records(answer) => match encode_payload(&answer) {
            Ok(encoded) => (StatusCode::OK, Some(encoded)),
            Err(err) => {
                tracing::error!("could not encode a log response: {err}");
                (StatusCode::SERVICE_UNAVAILABLE, None)
            }
        },
        CacheReply::OverBudget { .. } => (StatusCode::TOO_MANY_REQUESTS, None),
        CacheReply::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, None),
    }
}

fn record_reply(
    state: &SharedState,
    log_request: &LogRequest,
    reply: &CacheReply,
    requester: Option<SocketAddr>,
) {
    match reply {
        CacheReply::Records(answer) => count_records_served(log_request.topic, answer.bytes()),
        CacheReply::OverBudget { bytes, remaining } => {
            count_records_rejected(log_request.topic);
            let kind = EventKind::HandOnRefused;
            if !state.log_limiter.allows(kind, Instant::now()) {
                return;
            }
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                asker = requester.map(|requester| requester.to_string()),
                topic = topic_label(log_request.topic),
                from = %log_request.from,
                bytes,
                left_bytes = remaining,
            );
        }
        CacheReply::Unavailable => {}
    }
}

/// The host that relays the messages of this stream.
fn relay_host(request: &Request<RecvStream>) -> Option<HostName> {
    if request.uri().path() != RELAYED_PATH {
        return None;
    }
    let relay = request.headers().get(RELAY_HEADER)?.to_str().ok()?;
    Some(HostName::new(relay))
}

impl GossipStream {
    async fn receive(
        self,
        body: RecvStream,
        // Held until the stream ends: dropping it without a response would reset the stream.
        _respond: SendResponse<Bytes>,
    ) {
        self.receive_messages(body).await;
        if let Some(relay) = &self.relay {
            self.relays.choice.borrow_mut().record_end(relay, Instant::now());
        }
    }

    async fn receive_messages(&self, mut body: RecvStream) {
        let mut buffer = BytesMut::new();
        while let Some(Ok(chunk)) = body.data().await {
            if let Err(err) = body.flow_control().release_capacity(chunk.len()) {
                tracing::debug!("could not release flow control capacity: {err}");
                return;
            }
            if let Some(relay) = &self.relay {
                self.relays.choice.borrow_mut().record_message(relay, Instant::now());
            }
            buffer.extend_from_slice(&chunk);
            while let Some(message) = split_message(&mut buffer) {
                match decode_gossip(&message[LENGTH_PREFIX_BYTES..]) {
                    Ok(gossip) => self.handle_message(&gossip, &message),
                    Err(err) => {
                        let kind = EventKind::PeerUnreadable;
                        tracing::warn!(event = kind.number(), name = kind.name(), reason = %err);
                        return;
                    }
                }
            }
            // The reported loads may allow queued prompts to be sent.
            self.state.prompt_queue.wake();
            if MAX_MESSAGE_BYTES < buffer.len() {
                return;
            }
        }
    }

    /// Applies a message and queues it for forwarding, as its path and origin require.
    fn handle_message(&self, gossip: &GossipMessage, message: &[u8]) {
        let settings = &self.state.settings;
        let (Some(host), Some(origin_zone)) = (&gossip.host, &gossip.zone) else { return };
        // Relays also forward a host's messages back to it.
        if *host == settings.host {
            return;
        }
        let path = if self.relay.is_some() { GossipPath::Relayed } else { GossipPath::Direct };
        let mut queue = self.relays.queue.borrow_mut();
        if path == GossipPath::Direct && gossip.subscribes {
            queue.subscribe(host, origin_zone, Instant::now());
        }
        if should_forward(path, origin_zone, &settings.zone) {
            match path {
                GossipPath::Direct => queue.push_own_zone(message),
                GossipPath::Relayed => queue.push_other_zone(message),
            }
        }
        if should_apply(path, gossip.subscribes, origin_zone, &settings.zone) {
            apply_gossip(&self.state, gossip);
        }
    }
}

/// Splits a complete message off the front of the buffer, including its length prefix.
fn split_message(buffer: &mut BytesMut) -> Option<BytesMut> {
    let length = buffer.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    let length = LENGTH_PREFIX_BYTES + u32::from_be_bytes(*length) as usize;
    (length <= buffer.len()).then(|| buffer.split_to(length))
}
