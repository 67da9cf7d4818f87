//! Configuration indexed for lookups.

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
use crate::SaltGenerator;
use crate::ServiceRule;
use crate::TeamRule;

/// Immutable snapshot of one configuration version. An update builds a new table and swaps it in.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    /// Routes of each HTTP host name, longest path prefix first.
    hosts: IndexMap<String, Vec<Arc<RouteRule>>>,
    teams: Vec<Arc<TeamRule>>,
    teams_by_key: IndexMap<String, Arc<TeamRule>>,
    services: IndexMap<ServiceName, Arc<ServiceRule>>,
    cache_store: Option<CacheStore>,
    limits: CallerLimits,
    salts: SaltGenerator,
}

impl RouteTable {
    /// Builds the table for a configuration.
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
        let cache_store = config.services.iter().find_map(|service| service.cache_store.clone());
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
            cache_store,
            limits: config.limits,
            salts: SaltGenerator::new(isolated),
        }
    }

    /// The configuration version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Finds the route of the HTTP host name with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &RouteRule> {
        self.hosts.values().flatten().map(Arc::as_ref)
    }

    /// Finds the team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&Arc<TeamRule>> {
        self.teams_by_key.get(key)
    }

    /// All teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<TeamRule>> {
        self.teams.iter()
    }

    /// Whether requests on this route must carry a key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        !self.teams.is_empty() && !route.is_anonymous
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// Whether a service consists of model engines. False for services that only the server list names: their
    /// servers receive no load orders and no cache reads.
    pub fn has_engines(&self, name: &ServiceName) -> bool {
        self.service(name).is_some_and(|service| service.engine.is_some())
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }

    /// The prompt cache store, if one is configured.
    pub fn cache_store(&self) -> Option<&CacheStore> {
        self.cache_store.as_ref()
    }

    /// Address of the prompt cache store, if one is configured.
    pub fn cache_store_address(&self) -> Option<SocketAddr> {
        self.cache_store.as_ref().map(|store| store.address)
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Builder of the salts that separate teams and weights versions in engine caches.
    pub fn salts(&self) -> &SaltGenerator {
        &self.salts
    }

    /// Numbers of routes, HTTP host names and keys, for status and logs.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let routes = self.hosts.values().map(Vec::len).sum();
        (routes, self.hosts.len(), self.teams_by_key.len())
    }
}
