//! Requests to place a prompt on an engine, and their results.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::LimitWait;
use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use crate::BootTime;
use crate::CallFacts;
use crate::EngineChoice;
use crate::EngineRequest;
use crate::RouteTable;
use crate::SendTicket;
use crate::ServerEntry;
use crate::ServerKey;
use crate::StreamOrigin;
use crate::WeightsTable;

/// The parts of a placement request that do not change while it is queued.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The call to place.
    pub call: CallFacts,
    /// Service that the engine must belong to.
    pub service: ServiceName,
    /// Requested model.
    pub model: ModelName,
    /// If set, only engines with these weights are allowed, so that a stream can be resumed.
    pub only_weights: Option<WeightsVersion>,
    /// If set, only servers of this origin are allowed, which has begun the stream.
    pub only_origin: Option<StreamOrigin>,
    /// Servers already tried. They are used again only if there is no other.
    pub excluded: Vec<ServerKey>,
    /// If set, no other server is used.
    pub only_server: Option<ServerKey>,
}

/// Configuration and time that all placements of one queue run share.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// Routing configuration.
    pub table: &'a RouteTable,
    /// Weights version wanted for each model.
    pub weights: &'a WeightsTable,
    /// How long after newer weights were announced a request may still start on older ones.
    pub weights_bound: Duration,
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Current time.
    pub now: Instant,
    /// Current time, including time spent suspended.
    pub boot_now: BootTime,
}

/// An engine assigned to a prompt.
#[derive(Debug)]
pub struct AssignedEngine {
    /// The engine and the terms of the send.
    pub choice: EngineChoice,
    /// Ticket for reporting the outcome of the send.
    pub ticket: SendTicket,
}

/// Result of a placement request.
#[derive(Debug)]
pub enum Placement {
    /// The prompt was assigned to an engine.
    Assigned(Box<AssignedEngine>),
    /// The prompt has to wait, with the number of tokens to prefill: the best engine's queue is full, or queued
    /// prompts go first. In the latter case no engine was chosen, and the number is the whole prompt's length.
    Queued(f64),
    /// The engines that could take the prompt are at their rate limits.
    Limited(LimitWait),
    /// No engine may serve the prompt.
    NoEngine,
}

/// A server of a plain service that a call was assigned to.
#[derive(Debug)]
pub struct AssignedServer {
    /// The server.
    pub server: Arc<ServerEntry>,
    /// Ticket for reporting the outcome of the send.
    pub ticket: SendTicket,
}

/// Result of placing a plain call.
#[derive(Debug)]
pub enum PlainPlacement {
    /// The call was assigned to a server.
    Assigned(Box<AssignedServer>),
    /// The servers that could take the call are at their rate limits; the time until one may take it.
    Limited(Duration),
    /// No server may serve the call.
    NoServer,
}

impl PlacementRequest {
    pub(crate) fn request<'a>(
        &'a self,
        view: ChoiceView<'a>,
        excluded: &'a [ServerKey],
    ) -> EngineRequest<'a> {
        EngineRequest {
            call: &self.call,
            service: &self.service,
            model: &self.model,
            table: view.table,
            weights: view.weights,
            weights_bound: view.weights_bound,
            zone: view.zone,
            only_weights: self.only_weights,
            only_origin: self.only_origin,
            excluded,
            now: view.now,
            boot_now: view.boot_now,
        }
    }
}
