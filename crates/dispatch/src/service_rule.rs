//! What the operators' configuration says of a service.

use std::net::SocketAddr;

use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;

/// A service that routes may name, or the store of cached prompts.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service's name.
    pub name: ServiceName,
    /// Connections that one of its servers accepts from all routers together.
    pub max_connections: Option<u32>,
    /// Set where the servers are model engines.
    pub engine: Option<EngineRule>,
    /// Set where the service is a store of cached prompts.
    pub cache_store: Option<CacheStore>,
}

/// Sizes of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub cache_tokens: u64,
    /// Bytes of cache a token takes.
    pub token_bytes: u64,
    /// Rate of an engine's link in Mbit/s.
    pub link_mbps: f64,
    /// Tokens that an event of a stream carries.
    pub event_tokens: u32,
    /// Models served.
    pub models: Vec<ModelName>,
}

/// A store of cached prompts.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Tokens that fit in.
    pub cache_tokens: u64,
    /// Rate of its link in Mbit/s.
    pub link_mbps: f64,
}
