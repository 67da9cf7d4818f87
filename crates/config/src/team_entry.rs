//! Teams.

use fulmargate_names::ClassName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyHash;

/// A team: its keys, its limits and what it may reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// SHA-256 of each of its API keys; the keys themselves are kept nowhere.
    pub key_sha256: Vec<KeyHash>,
    /// Requests a second over all routers together.
    pub requests_per_s: f64,
    /// Prompt tokens a second over all routers together.
    pub prompt_tokens_per_s: f64,
    /// The models it may ask for.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The plain services it may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// The backend servers it may reach; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers: Option<Vec<ServerName>>,
    /// The class of its requests, unless a rule gives another.
    pub class: ClassName,
}

impl TeamEntry {
    /// Whether the team may ask for this model.
    pub fn may_use_model(&self, model: &ModelName) -> bool {
        self.models.contains(model)
    }

    /// Whether the team may call this service.
    pub fn may_use_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Whether the team's requests may be placed on this server.
    pub fn may_reach(&self, server: &ServerName) -> bool {
        self.servers.as_ref().is_none_or(|servers| servers.contains(server))
    }
}
