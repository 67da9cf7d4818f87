//! Services in the operators' configuration.

use std::net::SocketAddr;

use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;

/// A service that routes refer to, or the prompt cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service's name.
    pub name: ServiceName,
    /// Upper bound on the connections that each of its servers accepts from all routers together.
    pub max_connections: Option<u32>,
    /// Set if the servers are model engines.
    pub engine: Option<EngineRule>,
    /// Set if the service is a prompt cache store.
    pub cache_store: Option<CacheStore>,
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Capacity of an engine for concurrent requests.
    pub slots: u32,
    /// Cache capacity of an engine in tokens.
    pub cache_tokens: u64,
    /// Cache size of a token in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link in Mbit/s.
    pub link_mbps: f64,
    /// Tokens in one stream event.
    pub event_tokens: u32,
    /// Models served.
    pub models: Vec<ModelName>,
}

/// A prompt cache store, shared by engines.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Capacity in tokens.
    pub cache_tokens: u64,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: f64,
}
