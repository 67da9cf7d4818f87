//! Hears the other routers.

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
use fulmargate_dispatch::LogQuestion;
use fulmargate_dispatch::SubscriberStore;
use fulmargate_dispatch::is_passed_on;
use fulmargate_dispatch::is_taken_in;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::fleet_codec::LENGTH_PREFIX_BYTES;
use crate::control::fleet_codec::RELAY_HEADER;
use crate::control::fleet_codec::RELAYED_PATH;
use crate::control::fleet_codec::STORE_STATE_HEADER;
use crate::control::fleet_codec::decode_gossip;
use crate::control::fleet_codec::decode_payload;
use crate::control::fleet_codec::encode_payload;
use crate::control::record_cache::CacheReply;
use crate::control::record_cache::RecordCache;
use crate::control::relay_board::SharedRelays;
use crate::sockets::watch_peer;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::telemetry::count_given;
use crate::telemetry::count_refused;
use crate::telemetry::topic_label;

/// A link whose other end fell silent is dropped after some of these.
const SILENT_PEER: Duration = Duration::from_secs(5);
/// Largest message; a fleet of 12,000 servers at 16 bytes each stays below.
const MOST_MESSAGE_BYTES: usize = 256 * 1024;
/// A question is some 20 bytes.
const MOST_QUESTION_BYTES: usize = 1_024;
/// Pause after a failed accept: without free descriptors the next one fails, too.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The listener.
pub(crate) struct PeerListener {
    state: Arc<SharedState>,
    record_cache: Rc<RecordCache>,
    relays: SharedRelays,
    listener: TcpListener,
}

/// A stream of words.
struct GossipStream {
    state: Arc<SharedState>,
    relays: SharedRelays,
    /// Who passes them on; none where they come from the router that says them.
    relay: Option<HostName>,
}

impl PeerListener {
    /// Takes over the listening socket.
    pub(crate) fn new(
        state: Arc<SharedState>,
        record_cache: Rc<RecordCache>,
        relays: SharedRelays,
        listener: StdListener,
    ) -> io::Result<PeerListener> {
        Ok(PeerListener { state, record_cache, relays, listener: TcpListener::from_std(listener)? })
    }

    /// Accepts links on and on.
    pub(crate) async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let (state, record_cache) = (self.state.clone(), self.record_cache.clone());
                    actix_rt::spawn(serve_link(state, record_cache, self.relays.clone(), stream));
                }
                Err(err) => {
                    tracing::warn!("a link could not be accepted: {err}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_link(
    state: Arc<SharedState>,
    record_cache: Rc<RecordCache>,
    relays: SharedRelays,
    stream: TcpStream,
) {
    if let Err(err) = watch_peer(&stream, SILENT_PEER) {
        tracing::debug!("a link cannot be watched: {err}");
    }
    let asker = stream.peer_addr().ok();
    let mut connection = match h2::server::handshake(stream).await {
        Ok(connection) => connection,
        Err(err) => {
            tracing::debug!("a link was not opened: {err}");
            return;
        }
    };
    while let Some(next) = connection.accept().await {
        match next {
            // The connection is driven by this loop, so that messages are heard beside it.
            Ok((request, respond)) if request.uri().path() == "/log" => {
                let (state, record_cache) = (state.clone(), record_cache.clone());
                actix_rt::spawn(answer_question(state, record_cache, asker, request, respond));
            }
            Ok((request, respond)) => {
                let (state, relays) = (state.clone(), relays.clone());
                let words = GossipStream { state, relays, relay: relay_of(&request) };
                actix_rt::spawn(words.hear(request.into_body(), respond));
            }
            Err(err) => {
                tracing::debug!("a link has ended: {err}");
                return;
            }
        }
    }
}

/// Records for a router that does not read the store. Without them it is told why and reads itself.
async fn answer_question(
    state: Arc<SharedState>,
    record_cache: Rc<RecordCache>,
    asker: Option<SocketAddr>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let store = match request.headers().contains_key(STORE_STATE_HEADER) {
        true => SubscriberStore::OutOfReach,
        false => SubscriberStore::InReach,
    };
    let mut body = request.into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(piece)) = body.data().await {
        bytes.extend_from_slice(&piece);
        if MOST_QUESTION_BYTES < bytes.len() {
            return;
        }
    }
    let (status, encoded) = match decode_payload::<LogQuestion>(&bytes) {
        Ok(question) => {
            let reply = record_cache.answer(question, store).await;
            note_reply(&state, &question, &reply, asker);
            encode_reply(reply)
        }
        Err(err) => {
            let kind = EventKind::PeerUnreadable;
            tracing::warn!(event = kind.number(), name = kind.name(), reason = %err);
            (StatusCode::SERVICE_UNAVAILABLE, None)
        }
    };
    let mut head = Response::new(());
    *head.status_mut() = status;
    let sent = respond.send_response(head, encoded.is_none());
    let sent = sent.and_then(|mut stream| match encoded {
        Some(encoded) => stream.send_data(Bytes::from(encoded), true),
        None => Ok(()),
    });
    if let Err(err) = sent {
        tracing::debug!("a router that asked has left: {err}");
    }
}

fn encode_reply(reply: CacheReply) -> (StatusCode, Option<Vec<u8>>) {
    match reply {
        CacheReply::Records(answer) => match encode_payload(&answer) {
            Ok(encoded) => (StatusCode::OK, Some(encoded)),
            Err(err) => {
                tracing::error!("records cannot be handed on: {err}");
                (StatusCode::SERVICE_UNAVAILABLE, None)
            }
        },
        CacheReply::OverBudget { .. } => (StatusCode::TOO_MANY_REQUESTS, None),
        CacheReply::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, None),
    }
}

fn note_reply(
    state: &SharedState,
    question: &LogQuestion,
    reply: &CacheReply,
    asker: Option<SocketAddr>,
) {
    match reply {
        CacheReply::Records(answer) => count_given(question.topic, answer.bytes()),
        CacheReply::OverBudget { bytes, remaining } => {
            count_refused(question.topic);
            let kind = EventKind::HandOnRefused;
            if !state.lines.allows(kind, Instant::now()) {
                return;
            }
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                asker = asker.map(|asker| asker.to_string()),
                topic = topic_label(question.topic),
                from = %question.from,
                bytes,
                left_bytes = remaining,
            );
        }
        CacheReply::Unavailable => {}
    }
}

/// The host that passes the words of this stream on.
fn relay_of(request: &Request<RecvStream>) -> Option<HostName> {
    if request.uri().path() != RELAYED_PATH {
        return None;
    }
    let relay = request.headers().get(RELAY_HEADER)?.to_str().ok()?;
    Some(HostName::new(relay))
}

impl GossipStream {
    async fn hear(
        self,
        body: RecvStream,
        // Kept until the stream ends: dropped without an answer it would reset the stream.
        _respond: SendResponse<Bytes>,
    ) {
        self.hear_on(body).await;
        if let Some(relay) = &self.relay {
            self.relays.choice.borrow_mut().ended(relay, Instant::now());
        }
    }

    async fn hear_on(&self, mut body: RecvStream) {
        let mut waiting = BytesMut::new();
        while let Some(Ok(piece)) = body.data().await {
            if let Err(err) = body.flow_control().release_capacity(piece.len()) {
                tracing::debug!("a link cannot go on: {err}");
                return;
            }
            if let Some(relay) = &self.relay {
                self.relays.choice.borrow_mut().heard(relay, Instant::now());
            }
            waiting.extend_from_slice(&piece);
            while let Some(message) = take_message(&mut waiting) {
                match decode_gossip(&message[LENGTH_PREFIX_BYTES..]) {
                    Ok(news) => self.take_word(&news, &message),
                    Err(err) => {
                        let kind = EventKind::PeerUnreadable;
                        tracing::warn!(event = kind.number(), name = kind.name(), reason = %err);
                        return;
                    }
                }
            }
            self.state.waiting.wake();
            if MOST_MESSAGE_BYTES < waiting.len() {
                return;
            }
        }
    }

    /// Takes a word in and passes it on, as far as it is for this host to do so.
    fn take_word(&self, news: &GossipMessage, message: &[u8]) {
        let settings = &self.state.settings;
        let (Some(host), Some(origin)) = (&news.host, &news.zone) else { return };
        // A relay passes a host's own words on to it, too.
        if *host == settings.host {
            return;
        }
        let way = if self.relay.is_some() { GossipPath::Relayed } else { GossipPath::Direct };
        let mut board = self.relays.board.borrow_mut();
        if way == GossipPath::Direct && news.subscribes {
            board.listen(host, origin, Instant::now());
        }
        if is_passed_on(way, origin, &settings.zone) {
            match way {
                GossipPath::Direct => board.push_own_zone(message),
                GossipPath::Relayed => board.push_other_zone(message),
            }
        }
        if is_taken_in(way, news.subscribes, origin, &settings.zone) {
            take_news(&self.state, news);
        }
    }
}

fn take_news(state: &SharedState, news: &GossipMessage) {
    state.book().hear(news, Instant::now());
    if let (Some(host), Some(report)) = (&news.host, &news.quotas) {
        state.quotas().receive(host, report, Instant::now());
    }
    if news.weights.is_empty() {
        return;
    }
    let mut weights = (**state.weights.load()).clone();
    let mut is_changed = false;
    for age in &news.weights {
        let ago = Duration::from_millis(age.age_ms);
        is_changed |= weights.correct_age(&age.model, age.version, ago, boot_now());
    }
    if is_changed {
        state.weights.store(Arc::new(weights));
    }
}

/// Takes a whole message off the front, with its length.
fn take_message(waiting: &mut BytesMut) -> Option<BytesMut> {
    let length = waiting.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    let length = LENGTH_PREFIX_BYTES + u32::from_be_bytes(*length) as usize;
    (length <= waiting.len()).then(|| waiting.split_to(length))
}
