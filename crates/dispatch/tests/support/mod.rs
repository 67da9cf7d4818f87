//! Shared fixtures.
#![allow(dead_code)]

pub(crate) mod version_fleet;
pub(crate) mod weights_fleet;
pub(crate) mod weights_host;
pub(crate) mod weights_judge;
pub(crate) mod weights_rollout;
pub(crate) mod weights_topic;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::QuotaConf;
use fulmargate_admission::ServerLimits;
use fulmargate_dispatch::CacheStore;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::CallerLimits;
use fulmargate_dispatch::EngineRule;
use fulmargate_dispatch::PromptPart;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::RouteRule;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::RoutingConfig;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServiceRule;
use fulmargate_dispatch::ServiceShare;
use fulmargate_dispatch::StreamRule;
use fulmargate_dispatch::TeamRule;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

pub(crate) const ENGINES: &str = "engines";
pub(crate) const PLAIN_SERVICE: &str = "desk";

pub(crate) fn model() -> ModelName {
    ModelName::new("m")
}

pub(crate) fn zone() -> ZoneName {
    ZoneName::new("north")
}

pub(crate) fn server(name: &str, service: &str) -> ServerEntry {
    let weights = [(model(), WeightsVersion(1))];
    let is_engine = service == ENGINES;
    ServerEntry {
        name: ServerName::new(name),
        incarnation: None,
        service: ServiceName::new(service),
        version: Some(SoftwareVersion::new("v1")),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: zone(),
        slots: 8,
        stage: ServerStage::Ready,
        warm_up: Duration::ZERO,
        models: weights.into_iter().filter(|_| is_engine).collect(),
    }
}

/// Key of a server that has not reported its incarnation.
pub(crate) fn key(name: &str) -> ServerKey {
    ServerKey::of(&ServerName::new(name), None)
}

pub(crate) fn engines(names: &[&str]) -> Vec<Arc<ServerEntry>> {
    names.iter().map(|name| Arc::new(server(name, ENGINES))).collect()
}

pub(crate) fn route(kind: RouteKind, service: &str, max_attempts: u32) -> RouteRule {
    RouteRule {
        name: "r".to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(800),
        priority: 1,
        services: vec![ServiceShare { service: ServiceName::new(service), weight: 1.0 }],
        max_attempts,
        is_anonymous: false,
        is_sticky: true,
    }
}

pub(crate) fn stream(is_resumable: bool) -> RouteKind {
    RouteKind::Stream(StreamRule { is_resumable, max_gap: Duration::from_millis(500) })
}

pub(crate) fn team(name: &str, keys: &[&str], is_isolated: bool) -> TeamRule {
    TeamRule {
        name: TeamName::new(name),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        is_isolated,
        quota: None,
        quota_fault: None,
    }
}

pub(crate) fn config(routes: Vec<RouteRule>, teams: Vec<TeamRule>) -> RoutingConfig {
    let engine = EngineRule {
        slots: 64,
        cache_tokens: 96_000,
        token_bytes: 163_840,
        link_mbps: 530_000.0,
        event_tokens: 6,
        models: vec![model()],
    };
    let store = CacheStore {
        address: "127.0.0.1:9999".parse().expect("an address"),
        zone: zone(),
        cache_tokens: 1_400_000,
        link_mbps: 230_000.0,
    };
    let service = |name: &str, engine, cache_store| ServiceRule {
        name: ServiceName::new(name),
        max_connections: None,
        engine,
        cache_store,
    };
    RoutingConfig {
        version: ConfigVersion(7),
        routes,
        services: vec![
            service(ENGINES, Some(engine), None),
            service(PLAIN_SERVICE, None, None),
            service("kept", None, Some(store)),
        ],
        teams,
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

pub(crate) fn table(routes: Vec<RouteRule>, teams: Vec<TeamRule>) -> RouteTable {
    RouteTable::new(config(routes, teams))
}

/// A call with these shared parts and an unshared part of 2,000 tokens.
pub(crate) fn prompt_call(id: &str, shared: &[(u64, u32)], now: Instant) -> CallFacts {
    let mut prompt: Vec<PromptPart> =
        shared.iter().map(|(hash, tokens)| PromptPart { hash: *hash, tokens: *tokens }).collect();
    prompt.push(PromptPart { hash: id.len() as u64 * 7_919 + 1, tokens: 2_000 });
    CallFacts {
        id: RequestId::new(id),
        route: Arc::new(route(stream(false), ENGINES, 1)),
        team: None,
        model: Some(model()),
        prompt,
        output_tokens: 10,
        stated_tokens: None,
        priority: 1,
        arrived: now,
        deadline: now + Duration::from_secs(5),
        fingerprint: 1,
    }
}

/// Limits of servers as a router with this name keeps them, over spans of 4 s.
pub(crate) fn server_limits(host: HostName, start: u16) -> ServerLimits {
    let conf = QuotaConf {
        window: Duration::from_secs(4),
        overage: 0.0,
        slack: 4.0,
        report_delay: Duration::ZERO,
        reach_timeout: Duration::from_millis(1_200),
        end_timeout: Duration::from_secs(60),
    };
    ServerLimits::new(host, start, conf)
}
