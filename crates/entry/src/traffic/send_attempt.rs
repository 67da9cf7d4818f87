//! A single attempt to send a request to a backend server.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::ResponseHead;
use fulmargate_consortium::ServerRequestHead;
use fulmargate_dispatch::BodyFraming;
use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ProbeStep;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::WeightsVersion;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::traffic::block_body::BlockBody;
use crate::traffic::in_flight_request::InFlightRequest;
use crate::traffic::request_decoder::DecodedRequest;
use crate::traffic::server_connection::ConnectError;
use crate::traffic::server_connection::ServerConnection;
use crate::traffic::upstream_response::ResponseOrigin;
use crate::traffic::upstream_response::UpstreamBody;
use crate::traffic::upstream_response::UpstreamResponse;

/// How often a request that waits for a response checks whether its server has failed.
const SERVER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Failed probe connections after which an unresponsive server counts as unreachable. A single refused connection
/// suffices.
const MAX_FAILED_PROBES: u32 = 2;

/// The chosen server and the parameters of a send.
pub(crate) struct SendPlan {
    pub(crate) server: Arc<ServerEntry>,
    pub(crate) head: ServerRequestHead,
    /// The weights version that the request must run on.
    pub(crate) weights: Option<WeightsVersion>,
    /// Deadline for the response head.
    pub(crate) head_deadline: Instant,
    /// How often the server is probed while no response head has arrived.
    pub(crate) probe_interval: Duration,
    pub(crate) in_flight: InFlightRequest,
}

/// Why a send produced no usable response.
#[derive(Debug)]
pub(crate) struct SendError {
    pub(crate) outcome: SendOutcome,
    pub(crate) reason: String,
}

impl SendError {
    pub(crate) fn new(outcome: SendOutcome, reason: &dyn ToString) -> SendError {
        SendError { outcome, reason: reason.to_string() }
    }
}

/// A send whose connection is open. No byte of the request has been sent yet.
pub(crate) struct ConnectedSend {
    plan: SendPlan,
    connection: ServerConnection,
}

impl ConnectedSend {
    /// Connects to the planned server.
    pub(crate) async fn connect(plan: SendPlan) -> Result<ConnectedSend, SendError> {
        let result = plan.in_flight.connect(&plan.server).await;
        let connection = result.map_err(|err| SendError::new(SendOutcome::NotSent, &err))?;
        Ok(ConnectedSend { plan, connection })
    }

    pub(crate) fn server(&self) -> &Arc<ServerEntry> {
        &self.plan.server
    }

    /// The weights version that the request must run on.
    pub(crate) fn weights(&self) -> Option<WeightsVersion> {
        self.plan.weights
    }

    pub(crate) fn with_probe_interval(mut self, probe_interval: Duration) -> ConnectedSend {
        self.plan.probe_interval = probe_interval;
        self
    }

    /// Sends the request and waits for the response head.
    pub(crate) async fn send(
        self,
        decoded: &DecodedRequest,
    ) -> Result<UpstreamResponse, SendError> {
        let ConnectedSend { mut plan, mut connection } = self;
        let request = encode_request(decoded, &plan)?;
        plan.in_flight.record_sent();
        let sent = Instant::now();
        let response = wait_for_response_head(&mut connection, request, &plan).await?;
        let (parts, body) = response.into_parts();
        let head = ResponseHead::decode(&parts);
        plan.in_flight.record_response_head(head.load);
        if !head.is_misdirected {
            plan.in_flight.record_limit(&plan.server, head.limit);
            plan.in_flight.record_brittle(&plan.server, head.brittle);
        }
        let matches_request = head.request.as_deref() == Some(decoded.facts.id.as_str());
        if !matches_request && !head.is_misdirected {
            return Err(SendError::new(SendOutcome::Broken, &"the answer names another request"));
        }
        if !head.is_misdirected {
            plan.in_flight.record_answer(sent);
        }
        let SendPlan { server, weights, in_flight, .. } = plan;
        let method = &decoded.parts.method;
        let framing = BodyFraming::of_response(method, parts.status, &parts.headers);
        let body = UpstreamBody::Server { body, in_flight, connection };
        let stream_origin = StreamOrigin::of(&server);
        let origin = ResponseOrigin::Server(server);
        Ok(UpstreamResponse { parts, head, framing, body, origin, weights, stream_origin })
    }
}

/// Waits for the response head, and probes the server with new connections meanwhile. This tells a busy
/// server, which is worth waiting for, from one that has failed.
async fn wait_for_response_head(
    connection: &mut ServerConnection,
    request: Request<BlockBody>,
    plan: &SendPlan,
) -> Result<Response<Incoming>, SendError> {
    let mut sending = std::pin::pin!(connection.send(request));
    let mut next_probe = Instant::now() + plan.probe_interval;
    loop {
        let wake_at =
            plan.head_deadline.min(next_probe).min(Instant::now() + SERVER_CHECK_INTERVAL);
        match timeout_at(wake_at, &mut sending).await {
            Ok(result) => return result.map_err(|err| SendError::new(SendOutcome::Broken, &err)),
            Err(_) if plan.head_deadline <= Instant::now() => {
                return Err(SendError::new(SendOutcome::TimedOut, &"no answer in time"));
            }
            Err(_) => {}
        }
        if plan.in_flight.is_lost(&plan.server) {
            return Err(SendError::new(SendOutcome::Unreachable, &"the server is lost"));
        }
        if next_probe <= Instant::now() {
            next_probe = Instant::now() + plan.probe_interval;
            // Keep waiting for the response during the probe: if the probe failed first, a response that has
            // arrived would be discarded and the request executed again.
            tokio::select! {
                biased;
                result = &mut sending => {
                    return result.map_err(|err| SendError::new(SendOutcome::Broken, &err));
                }
                probed = probe_server(plan) => probed?,
            }
        }
    }
}

/// Probes an unresponsive server, unless another request has just done so.
async fn probe_server(plan: &SendPlan) -> Result<(), SendError> {
    let unreachable = |reason: String| Err(SendError::new(SendOutcome::Unreachable, &reason));
    if plan.in_flight.is_out_of_reach(&plan.server) {
        return unreachable("silent, and this host reaches no server of the service".to_owned());
    }
    match plan.in_flight.next_probe_step() {
        ProbeStep::Wait => Ok(()),
        ProbeStep::Unreachable => unreachable("silent, and no connection lately".to_owned()),
        ProbeStep::Probe => match probe_connection(plan).await {
            Some(err) => unreachable(format!("silent, and {err}")),
            None => Ok(()),
        },
    }
}

/// Returns why the server is unreachable; none if a connection succeeds, or if one times out while a local network
/// fault is suspected.
///
/// A single timeout is not enough: at the start of a local network fault, the first connections time out before
/// the fault is suspected.
async fn probe_connection(plan: &SendPlan) -> Option<ConnectError> {
    let mut failed_probes = 0;
    loop {
        let err = plan.in_flight.connect(&plan.server).await.err()?;
        failed_probes += 1;
        if err.outcome() == ConnectOutcome::Refused {
            return Some(err);
        }
        if plan.in_flight.suspects_local_fault() {
            return None;
        }
        if MAX_FAILED_PROBES <= failed_probes {
            return Some(err);
        }
        plan.in_flight.record_unreachable();
    }
}

/// Encodes the request for the server. Method, path, query and body are forwarded unchanged.
fn encode_request(
    decoded: &DecodedRequest,
    plan: &SendPlan,
) -> Result<Request<BlockBody>, SendError> {
    let path = decoded.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path.parse().map_err(|err| SendError::new(SendOutcome::NotSent, &err))?;
    let mut request = Request::new(decoded.body.clone());
    *request.method_mut() = decoded.parts.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = plan.head.encode(&decoded.parts.headers);
    Ok(request)
}
