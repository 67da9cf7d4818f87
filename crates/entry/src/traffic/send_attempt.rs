//! One send of a call to a backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_consortium::AnswerHead;
use fulmargate_consortium::SendHead;
use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ContactStep;
use fulmargate_dispatch::SendEnd;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::WeightsVersion;
use http::Request;
use http::Response;
use http::Uri;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::traffic::call_decoder::DecodedCall;
use crate::traffic::channel::Channel;
use crate::traffic::channel::ConnectFault;
use crate::traffic::open_send::OpenSend;

/// Largest answer that is held whole; plain services answer with some KB.
const MOST_ANSWER_BYTES: usize = 8 << 20;

/// How often a request that waits looks whether its server has been lost meanwhile.
const LOSS_PACE: Duration = Duration::from_millis(200);

/// Connections in vain after which a silent server is given up, if it does not refuse them.
const MOST_QUESTIONS: u32 = 2;

/// Where a call goes and under which terms.
pub(crate) struct SendPlan {
    pub(crate) server: Arc<ServerEntry>,
    pub(crate) head: SendHead,
    /// The weights that it is to run on.
    pub(crate) weights: Option<WeightsVersion>,
    /// The answer's head must have come by then.
    pub(crate) until: Instant,
    /// Before that, the server is asked at this pace whether it is still there.
    pub(crate) probe_pace: Duration,
    pub(crate) open: OpenSend,
}

/// An answer whose head has come.
pub(crate) struct OpenAnswer {
    pub(crate) parts: Parts,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    /// The connection; dropping it ends the request at the server.
    pub(crate) _channel: Channel,
    pub(crate) open: OpenSend,
    pub(crate) server: Arc<ServerEntry>,
    pub(crate) weights: Option<WeightsVersion>,
}

/// Why there is no answer.
#[derive(Debug)]
pub(crate) struct SendFault {
    pub(crate) end: SendEnd,
    pub(crate) reason: String,
}

impl SendFault {
    fn new(end: SendEnd, reason: &dyn ToString) -> SendFault {
        SendFault { end, reason: reason.to_string() }
    }
}

/// A send whose connection stands. Nothing of the call has left yet.
pub(crate) struct ReadySend {
    plan: SendPlan,
    channel: Channel,
}

impl ReadySend {
    /// Connects to the server of the plan.
    pub(crate) async fn connect(plan: SendPlan) -> Result<ReadySend, SendFault> {
        let connecting = plan.open.connect(&plan.server).await;
        let channel = connecting.map_err(|fault| SendFault::new(SendEnd::NotSent, &fault))?;
        Ok(ReadySend { plan, channel })
    }

    /// The server that it goes to.
    pub(crate) fn server(&self) -> &Arc<ServerEntry> {
        &self.plan.server
    }

    /// The weights that it is to run on.
    pub(crate) fn weights(&self) -> Option<WeightsVersion> {
        self.plan.weights
    }

    /// With another pace at which the server is asked while it is silent.
    pub(crate) fn asked_each(mut self, probe_pace: Duration) -> ReadySend {
        self.plan.probe_pace = probe_pace;
        self
    }

    /// Sends the call and waits for the answer's head.
    pub(crate) async fn send(self, call: &DecodedCall) -> Result<OpenAnswer, SendFault> {
        let ReadySend { mut plan, mut channel } = self;
        let request = encode_request(call, &plan)?;
        let answer = wait_for_head(&mut channel, request, &plan).await?;
        let (parts, body) = answer.into_parts();
        let head = AnswerHead::decode(&parts);
        plan.open.answered(head.load);
        let is_own = head.request.as_deref() == Some(call.facts.id.as_str());
        if !is_own && !head.is_misdirected {
            return Err(SendFault::new(SendEnd::Broken, &"the answer names another request"));
        }
        let SendPlan { server, weights, open, .. } = plan;
        Ok(OpenAnswer { parts, head, body, _channel: channel, open, server, weights })
    }
}

/// A server that is busy answers late; sending the request elsewhere too would only add to the work
/// of all. One whose host is gone never answers, and takes no new connection either.
async fn wait_for_head(
    channel: &mut Channel,
    request: Request<Full<Bytes>>,
    plan: &SendPlan,
) -> Result<Response<Incoming>, SendFault> {
    let mut sending = std::pin::pin!(channel.send(request));
    let mut next_question = Instant::now() + plan.probe_pace;
    loop {
        let pause = plan.until.min(next_question).min(Instant::now() + LOSS_PACE);
        match timeout_at(pause, &mut sending).await {
            Ok(answer) => return answer.map_err(|err| SendFault::new(SendEnd::Broken, &err)),
            Err(_) if plan.until <= Instant::now() => {
                return Err(SendFault::new(SendEnd::TimedOut, &"no answer in time"));
            }
            Err(_) => {}
        }
        if plan.open.is_lost(&plan.server) {
            return Err(SendFault::new(SendEnd::Unreachable, &"the server is lost"));
        }
        if next_question <= Instant::now() {
            next_question = Instant::now() + plan.probe_pace;
            // The answer may come meanwhile. Left unread, it was thrown away with the server when the
            // question was in vain, and the request ran a second time elsewhere.
            tokio::select! {
                biased;
                answer = &mut sending => {
                    return answer.map_err(|err| SendFault::new(SendEnd::Broken, &err));
                }
                asked = ask_silent(plan) => asked?,
            }
        }
    }
}

/// Asks a silent server whether it is there, unless another request has just done so.
async fn ask_silent(plan: &SendPlan) -> Result<(), SendFault> {
    let unreachable = |reason: String| Err(SendFault::new(SendEnd::Unreachable, &reason));
    match plan.open.silent() {
        ContactStep::Wait => Ok(()),
        ContactStep::Unreachable => unreachable("silent, and no connection lately".to_owned()),
        ContactStep::Ask => match find_silent(plan).await {
            Some(fault) => unreachable(format!("silent, and {fault}")),
            None => Ok(()),
        },
    }
}

/// Why the silent server is gone; none if it is there, or the silence is most likely this host's own.
///
/// When the host's link fills, a first connection fails before others show that it is not the server;
/// requests that were given up for it found no connection elsewhere either, or ran twice.
async fn find_silent(plan: &SendPlan) -> Option<ConnectFault> {
    let mut questions = 0;
    loop {
        let fault = plan.open.connect(&plan.server).await.err()?;
        questions += 1;
        if fault.end() == ConnectEnd::Refused {
            return Some(fault);
        }
        if plan.open.doubts_itself() {
            return None;
        }
        if MOST_QUESTIONS <= questions {
            return Some(fault);
        }
        plan.open.unreachable();
    }
}

impl OpenAnswer {
    /// Reads the whole body.
    pub(crate) async fn read_body(self, until: Instant) -> Result<Bytes, SendFault> {
        let reading = timeout_at(until, Limited::new(self.body, MOST_ANSWER_BYTES).collect()).await;
        let body = reading
            .map_err(|_| SendFault::new(SendEnd::TimedOut, &"the answer did not end in time"))?
            .map_err(|err| SendFault::new(SendEnd::Broken, &err))?;
        if self.parts.status.is_success() {
            self.open.succeeded();
        }
        Ok(body.to_bytes())
    }
}

/// Method, path, query and body go on byte by byte.
fn encode_request(call: &DecodedCall, plan: &SendPlan) -> Result<Request<Full<Bytes>>, SendFault> {
    let path = call.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path.parse().map_err(|err| SendFault::new(SendEnd::NotSent, &err))?;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = plan.head.encode(&call.parts.headers);
    Ok(request)
}
