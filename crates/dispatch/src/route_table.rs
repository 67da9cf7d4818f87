//! A configuration made ready for lookups.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmargate_names::ConfigVersion;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::CacheStore;
use crate::CallerLimits;
use crate::RouteRule;
use crate::RoutingConfig;
use crate::SaltMaker;
use crate::ServiceRule;
use crate::TeamRule;

/// An immutable snapshot; a new version is built whole and swapped in.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    /// Routes of each host, the longest prefix first.
    hosts: IndexMap<String, Vec<Arc<RouteRule>>>,
    teams: Vec<Arc<TeamRule>>,
    teams_by_key: IndexMap<String, Arc<TeamRule>>,
    services: IndexMap<ServiceName, Arc<ServiceRule>>,
    store: Option<CacheStore>,
    limits: CallerLimits,
    salts: SaltMaker,
}

impl RouteTable {
    /// Builds the table of one version.
    pub fn new(config: RoutingConfig) -> RouteTable {
        let isolated: Vec<TeamName> = config
            .teams
            .iter()
            .filter(|team| team.is_isolated)
            .map(|team| team.name.clone())
            .collect();
        let mut hosts: IndexMap<String, Vec<Arc<RouteRule>>> = IndexMap::new();
        for route in config.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut teams_by_key = IndexMap::new();
        let teams: Vec<Arc<TeamRule>> = config.teams.into_iter().map(Arc::new).collect();
        for team in &teams {
            for key in &team.keys {
                teams_by_key.insert(key.clone(), team.clone());
            }
        }
        let store = config.services.iter().find_map(|service| service.cache_store.clone());
        let services = config
            .services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        RouteTable {
            version: config.version,
            hosts,
            teams_by_key,
            teams,
            services,
            store,
            limits: config.limits,
            salts: SaltMaker::new(isolated),
        }
    }

    /// The version in force.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The route of a request: of its host's routes, the one with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Arc<TeamRule>> {
        self.teams_by_key.get(key)
    }

    /// All teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<TeamRule>> {
        self.teams.iter()
    }

    /// Whether requests on this route need a key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        !self.teams.is_empty() && !route.is_anonymous
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// Whether a service has model engines. Entries of the list name services that no configuration
    /// knows; what stands there is neither ordered to load nor asked for its cache.
    pub fn has_engines(&self, name: &ServiceName) -> bool {
        self.service(name).is_some_and(|service| service.engine.is_some())
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }

    /// The store of cached prompts.
    pub fn cache_store(&self) -> Option<&CacheStore> {
        self.store.as_ref()
    }

    /// Address of the store of cached prompts.
    pub fn cache_store_address(&self) -> Option<SocketAddr> {
        self.store.as_ref().map(|store| store.address)
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Makes the salts that keep teams and weights apart in the engines' caches.
    pub fn salts(&self) -> &SaltMaker {
        &self.salts
    }

    /// Routes, hosts and keys, for status and logs.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let routes = self.hosts.values().map(Vec::len).sum();
        (routes, self.hosts.len(), self.teams_by_key.len())
    }
}
