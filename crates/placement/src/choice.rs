//! The result of a placement decision.

use std::sync::Arc;

use fulmargate_names::ServerName;

use crate::ChoiceReason;
use crate::ClassWeights;
use crate::FleetServer;
use crate::PolicyKind;
use crate::ServerId;

/// Value of the `x-kv-source` header for the KV store.
const STORE_TEXT: &str = "kv-store";

/// Placement parameters of a request other than its prompt.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The placement policy.
    pub policy: PolicyKind,
    /// Cost weights of the request's class.
    pub weights: ClassWeights,
    /// Servers that must not be used, such as those on which the request has already failed.
    pub excluded: &'a [ServerId],
    /// Current monotonic time.
    pub now_ms: u64,
}

/// Where to import cached blocks from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvSource {
    /// Another server.
    Server(ServerName),
    /// The KV store.
    Store,
}

impl KvSource {
    /// Value of the `x-kv-source` header.
    pub fn as_str(&self) -> &str {
        match self {
            KvSource::Server(name) => name.as_str(),
            KvSource::Store => STORE_TEXT,
        }
    }
}

/// The server selected for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The selected server.
    pub server: Arc<FleetServer>,
    /// Why the server was selected.
    pub reason: ChoiceReason,
    /// Prompt tokens predicted to be cached.
    pub predicted_cached: u32,
    /// Estimated time to the first token.
    pub predicted_ttft_ms: f64,
    /// Where the server may import blocks from.
    pub kv_source: Option<KvSource>,
    /// Basis of the prediction, checked against the reply.
    pub(crate) prediction: CachePrediction,
}

/// Basis of a predicted number of cached tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CachePrediction {
    /// No prediction to verify.
    None,
    /// The server is the prompt's owner by rendezvous hashing, and its anchor has this many tokens.
    Owner { tokens: u32 },
    /// A hint of this age predicts that this many tokens are cached.
    Hint { age_ms: u64, tokens: u32 },
}
