//! Asks a server for its state.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use fulmargate_fleet::ServerReport;
use fulmargate_names::ServerName;
use tokio::time::timeout;

use crate::control::control_message::ProbeFinding;

/// How long a server may take to tell its state.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks a server for its state. An answer in another server's name counts as silence: its address
/// was given to somebody else.
pub(crate) async fn probe(
    client: &Client,
    server: &ServerName,
    address: SocketAddr,
) -> ProbeFinding {
    let url = format!("http://{address}/control/state");
    let call = async {
        let mut response = client.get(url).send().await.map_err(|err| finding_of(&err))?;
        let report: ServerReport = response.json().await.map_err(|_| ProbeFinding::Silent)?;
        Ok(report)
    };
    match timeout(PROBE_TIMEOUT, call).await {
        Ok(Ok(report)) if report.server.as_ref().is_none_or(|name| name == server) => {
            ProbeFinding::Answered(Box::new(report))
        }
        Ok(Err(finding)) => finding,
        Ok(Ok(_)) | Err(_) => ProbeFinding::Silent,
    }
}

fn finding_of(err: &SendRequestError) -> ProbeFinding {
    match err {
        SendRequestError::Connect(ConnectError::Io(err))
            if err.kind() == io::ErrorKind::ConnectionRefused =>
        {
            ProbeFinding::Closed
        }
        _ => ProbeFinding::Silent,
    }
}
