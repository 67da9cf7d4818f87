//! Where a request goes, and what was expected of it.

use std::sync::Arc;

use fulmargate_names::ServerName;

use crate::ChoiceReason;
use crate::ClassWeights;
use crate::FleetServer;
use crate::PolicyKind;
use crate::ServerId;

/// The header's text for the KV store.
const STORE_TEXT: &str = "kv-store";

/// What is asked besides the prompt.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// The rule in force.
    pub policy: PolicyKind,
    /// What the request's class cares for.
    pub weights: ClassWeights,
    /// Servers that this request must not go to, such as those it failed on.
    pub excluded: &'a [ServerId],
    /// Monotonic time.
    pub now_ms: u64,
}

/// Where cached blocks can be imported from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvSource {
    /// Another server.
    Server(ServerName),
    /// The KV store.
    Store,
}

impl KvSource {
    /// The text of the header `x-kv-source`.
    pub fn as_str(&self) -> &str {
        match self {
            KvSource::Server(name) => name.as_str(),
            KvSource::Store => STORE_TEXT,
        }
    }
}

/// A server for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<FleetServer>,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Tokens that it is expected to have cached.
    pub predicted_cached: u32,
    /// Estimated time to the first token.
    pub predicted_ttft_ms: f64,
    /// Where it may import blocks from.
    pub kv_source: Option<KvSource>,
    /// What the expectation rests on.
    pub(crate) prediction: CachePrediction,
}

/// What an expectation of cached tokens rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CachePrediction {
    /// Nothing that could be learned from.
    None,
    /// The server is the prompt's home.
    Home { tokens: u32 },
    /// A hint of this age says that so many tokens are cached.
    Hint { age_ms: u64, tokens: u32 },
}
