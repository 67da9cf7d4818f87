//! A configuration made ready for traffic.

use std::sync::Arc;

use fulmargate_config::ConfigDocument;
use fulmargate_names::ConfigVersion;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use indexmap::IndexMap;

use crate::state::ServerRoute;

/// A configuration made ready for traffic: immutable, replaced as a whole.
pub(crate) struct RouteTable {
    pub(crate) version: ConfigVersion,
    pub(crate) document: Arc<ConfigDocument>,
    pub(crate) servers: IndexMap<ServerName, Arc<ServerRoute>>,
    /// Servers of each model that may get new work.
    pub(crate) models: IndexMap<ModelName, Vec<Arc<ServerRoute>>>,
    /// Servers of each service that may get new work.
    pub(crate) services: IndexMap<ServiceName, Vec<Arc<ServerRoute>>>,
}

impl RouteTable {
    /// Builds the table, keeping what `before` knows of servers whose address has not changed.
    pub(crate) fn build(
        version: ConfigVersion,
        document: Arc<ConfigDocument>,
        before: Option<&RouteTable>,
    ) -> RouteTable {
        let servers = keep_servers(&document, before);
        let active = |name: &ServerName| {
            let route = servers.get(name)?;
            let entry = document.servers.get(name)?;
            ServerRoute::is_active(entry).then(|| Arc::clone(route))
        };
        let models = document
            .models
            .keys()
            .map(|model| {
                let routes = document.servers_of_model(model).filter_map(|(name, _)| active(name));
                (model.clone(), routes.collect())
            })
            .collect();
        let services = document
            .services
            .keys()
            .map(|service| {
                let routes =
                    document.servers_of_service(service).filter_map(|(name, _)| active(name));
                (service.clone(), routes.collect())
            })
            .collect();
        RouteTable { version, models, services, servers, document }
    }
}

fn keep_servers(
    document: &ConfigDocument,
    before: Option<&RouteTable>,
) -> IndexMap<ServerName, Arc<ServerRoute>> {
    let known = |name: &ServerName| before.and_then(|table| table.servers.get(name));
    document
        .servers
        .iter()
        .map(|(name, entry)| {
            let route = match known(name) {
                Some(route) if route.address == entry.address => Arc::clone(route),
                _ => ServerRoute::new(name, entry),
            };
            (name.clone(), route)
        })
        .collect()
}
