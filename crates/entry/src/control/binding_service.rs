//! Answers other hosts' messages about where streams began.

use std::sync::Arc;
use std::time::Duration;

use bincode::error::DecodeError;
use bytes::Bytes;
use fulmargate_names::EventKind;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Response;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::state::SharedState;
use crate::traffic::BindingMessage;
use crate::traffic::BindingReply;
use crate::traffic::MAX_BINDING_BYTES;
use crate::traffic::decode_binding;
use crate::traffic::encode_binding;

/// A message that has not arrived whole within this time is dropped.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves one message of a known host.
pub(crate) async fn serve_binding(
    state: Arc<SharedState>,
    mut body: RecvStream,
    mut respond: SendResponse<Bytes>,
) {
    // A message that was cut off, or has no end, has nobody to be answered.
    let Ok(Some(bytes)) = timeout(READ_TIMEOUT, read_message(&mut body)).await else { return };
    let reply = match decode_binding::<BindingMessage>(&bytes) {
        Ok(message) => apply(&state, message),
        Err(err) => return log_unreadable(&err),
    };
    let Ok(reply) = encode_binding(&reply) else { return };
    let sent = respond.send_response(Response::new(()), false);
    let sent = sent.and_then(|mut stream| stream.send_data(reply, true));
    if let Err(err) = sent {
        tracing::debug!("reply on a stream's origin not sent: {err}");
    }
}

async fn read_message(body: &mut RecvStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        bytes.extend_from_slice(&chunk);
        if MAX_BINDING_BYTES < bytes.len() {
            return None;
        }
    }
    Some(bytes)
}

fn apply(state: &SharedState, message: BindingMessage) -> BindingReply {
    let now = Instant::now();
    let mut bindings = state.bindings();
    match message {
        BindingMessage::Ask(key) => BindingReply { notice: bindings.notice(key, now) },
        BindingMessage::Keep { notices, for_store } => {
            notices.iter().for_each(|notice| bindings.merge(notice, now));
            for_store.iter().for_each(|notice| bindings.merge_for_store(notice, now));
            if !for_store.is_empty() {
                state.binding_store_change.notify_one();
            }
            BindingReply::default()
        }
    }
}

fn log_unreadable(err: &DecodeError) {
    let kind = EventKind::PeerUnreadable;
    tracing::warn!(event = kind.number(), name = kind.name(), reason = %err);
}
