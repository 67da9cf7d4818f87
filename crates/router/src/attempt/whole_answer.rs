//! Reads an answer that is not streamed.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::de::IgnoredAny;
use tokio::time::timeout;

use crate::attempt::AttemptFailure;
use crate::attempt::ServerBody;

const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Reads the body to its end; `stall` bounds each wait for more.
pub(crate) async fn read_whole(
    body: &mut ServerBody,
    stall: Duration,
) -> Result<Bytes, AttemptFailure> {
    let mut whole = BytesMut::new();
    loop {
        let Ok(next) = timeout(stall, body.next()).await else {
            return Err(AttemptFailure::Late);
        };
        let Some(chunk) = next else {
            return whole_json(whole.freeze());
        };
        let chunk = chunk.map_err(|_| AttemptFailure::Broken)?;
        whole.extend_from_slice(&chunk);
        if ANSWER_LIMIT < whole.len() {
            return Err(AttemptFailure::Broken);
        }
    }
}

/// `awc` ends a body that is cut between two chunks as if it were whole, and the caller would get
/// a part of its answer for all of it. A part of a JSON object is not one, so reading it tells.
fn whole_json(body: Bytes) -> Result<Bytes, AttemptFailure> {
    match serde_json::from_slice::<IgnoredAny>(&body) {
        Ok(_) => Ok(body),
        Err(_) => Err(AttemptFailure::Broken),
    }
}
