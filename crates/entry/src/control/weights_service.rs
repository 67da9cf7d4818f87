//! Answers other hosts' questions on since when weights are outdated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_dispatch::WeightsReport;
use h2::server::SendResponse;
use http::Response;
use tokio::time::timeout;

use crate::control::fleet_codec::encode_payload;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::traffic::WireError;
use crate::traffic::send_bytes;

/// Path of a stream that carries an empty question and a [`WeightsReport`]. Earlier router versions close the stream
/// without a response.
pub(crate) const WEIGHTS_PATH: &str = "/weights";
/// An answer that is not taken within this time is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers one question. Hosts that have just started ask before their records are read, so that any may.
pub(crate) async fn serve_weights(state: Arc<SharedState>, respond: SendResponse<Bytes>) {
    let report = weights_report(&state);
    let report = match encode_payload(&report) {
        Ok(report) => Bytes::from(report),
        Err(err) => return tracing::error!("could not encode the weights' ages: {err}"),
    };
    // The stream is reset when the time is over.
    match timeout(SEND_TIMEOUT, send_report(respond, report)).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => tracing::debug!("weights' ages not sent: {err}"),
        Err(_) => tracing::debug!("weights' ages not taken in time"),
    }
}

fn weights_report(state: &SharedState) -> WeightsReport {
    let now = boot_now();
    let read_age = state.proof().age(now);
    WeightsReport::new(&state.weights.load(), read_age, now)
}

async fn send_report(mut respond: SendResponse<Bytes>, report: Bytes) -> Result<(), WireError> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    send_bytes(&mut stream, report).await?;
    Ok(stream.send_data(Bytes::new(), true)?)
}
