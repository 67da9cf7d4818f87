//! Reads an answer that is not streamed.

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::de::IgnoredAny;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::attempt::AttemptFailure;
use crate::attempt::ServerBody;
use crate::attempt::engine_runner::WHOLE_LOOK;
use crate::attempt::engine_runner::WHOLE_PATIENCE;
use crate::state::ServerRoute;

const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Reads the body to its end, as long as its server is in use.
pub(crate) async fn read_whole(
    body: &mut ServerBody,
    server: &ServerRoute,
) -> Result<Bytes, AttemptFailure> {
    let mut whole = BytesMut::new();
    let began = Instant::now();
    loop {
        let Ok(next) = timeout(WHOLE_LOOK, body.next()).await else {
            if server.is_out_of_use() || WHOLE_PATIENCE <= began.elapsed() {
                return Err(AttemptFailure::Late);
            }
            continue;
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
