//! Reads a request's body within bounds of size and time.

use std::time::Duration;

use actix_web::http::header::CONTENT_LENGTH;
use actix_web::http::header::HeaderMap;
use actix_web::web::Payload;
use bytes::Bytes;
use bytes::BytesMut;
use fulmargate_names::ErrorKind;
use futures_util::StreamExt;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::caller::RequestError;
use crate::state::BodyMemory;
use crate::state::HeldBody;

/// Upper bound of the bytes that are read beyond the limit and discarded. A connection that is closed
/// with unread bytes is reset, and a caller that is still sending would see the reset, not the response.
const THROWN_AWAY_BYTES: usize = 16 * 1024 * 1024;

/// How large a body may be, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyBounds {
    pub(crate) most_bytes: usize,
    /// For the whole body: a bound on each read would be renewed by every single byte.
    pub(crate) patience: Duration,
}

/// Reads the body to its end. One whose stated length is over the limit is refused as too large, however slowly it
/// arrives.
pub(crate) async fn read_body(
    headers: &HeaderMap,
    mut payload: Payload,
    bounds: BodyBounds,
    memory: &BodyMemory,
) -> Result<Bytes, RequestError> {
    let deadline = Instant::now() + bounds.patience;
    let read = match stated_bytes(headers) {
        Some(bytes) if bounds.most_bytes < bytes => Err(too_large(bounds.most_bytes)),
        _ => {
            let reading = read_within(&mut payload, bounds.most_bytes, memory.body());
            let Ok(read) = timeout_at(deadline, reading).await else {
                return Err(RequestError::new(ErrorKind::SlowCaller));
            };
            read
        }
    };
    let is_refused =
        |err: &RequestError| matches!(err.kind, ErrorKind::BodyTooLarge | ErrorKind::QueueFull);
    if read.as_ref().is_err_and(is_refused) {
        let _answered_either_way = timeout_at(deadline, throw_away(&mut payload)).await;
    }
    read
}

/// A body, and what is held for it until the last copy is dropped.
struct CountedBody {
    bytes: Bytes,
    _held: HeldBody,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

async fn read_within(
    payload: &mut Payload,
    most_bytes: usize,
    mut held: HeldBody,
) -> Result<Bytes, RequestError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|err| {
            RequestError::new(ErrorKind::BadRequest).detail(format!("The body broke off: {err}."))
        })?;
        if most_bytes < body.len() + chunk.len() {
            return Err(too_large(most_bytes));
        }
        if !held.grow(chunk.len()) {
            let detail = "The memory for bodies is used up.".to_owned();
            return Err(RequestError::new(ErrorKind::QueueFull).detail(detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Bytes::from_owner(CountedBody { bytes: body.freeze(), _held: held }))
}

fn stated_bytes(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large(most_bytes: usize) -> RequestError {
    let detail = format!("At most {most_bytes} bytes are taken.");
    RequestError::new(ErrorKind::BodyTooLarge).detail(detail)
}

async fn throw_away(payload: &mut Payload) {
    let mut left = THROWN_AWAY_BYTES;
    while let Some(Ok(chunk)) = payload.next().await
        && chunk.len() <= left
    {
        left -= chunk.len();
    }
}
