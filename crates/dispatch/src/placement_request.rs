//! A prompt that wants an engine, and what it gets.

use std::time::Duration;

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
use crate::ServerKey;
use crate::WeightsTable;

/// What does not change while a prompt waits.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The call.
    pub call: CallFacts,
    /// The service that serves it.
    pub service: ServiceName,
    /// The model asked for.
    pub model: ModelName,
    /// Only engines with these weights, for a stream that goes on.
    pub only_weights: Option<WeightsVersion>,
    /// Servers that were tried. They are tried again where there is no other.
    pub excluded: Vec<ServerKey>,
}

/// What does, and what all choices of a moment rest on.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// The configuration in force.
    pub table: &'a RouteTable,
    /// The weights wanted.
    pub weights: &'a WeightsTable,
    /// Requests may begin on older weights until this long after newer ones were named.
    pub weights_bound: Duration,
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Now.
    pub now: Instant,
    /// Now, suspensions counted.
    pub boot_now: BootTime,
}

/// An engine that a prompt was given, and its count there.
#[derive(Debug)]
pub struct TakenEngine {
    /// The engine and the terms.
    pub choice: EngineChoice,
    /// To be told of what becomes of the request.
    pub ticket: SendTicket,
}

/// What became of a wish.
#[derive(Debug)]
pub enum Placing {
    /// It goes to an engine.
    Taken(Box<TakenEngine>),
    /// The engine that suits it has enough to read; it would have to read so many tokens of the prompt.
    Wait(f64),
    /// No engine may serve it.
    Nowhere,
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
            excluded,
            now: view.now,
            boot_now: view.boot_now,
        }
    }
}
