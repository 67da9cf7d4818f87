//! Builds the table of routes from the configuration and from what is known of servers.

use std::sync::Arc;

use fulmargate_config::ConfigDocument;
use fulmargate_config::KvImport;
use fulmargate_config::PolicyKind as ConfigPolicy;
use fulmargate_config::PublishedConfig;
use fulmargate_config::ServerState;
use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use fulmargate_placement::FleetServer;
use fulmargate_placement::FleetView;
use fulmargate_placement::ImportConf;
use fulmargate_placement::MeterRegistry;
use fulmargate_placement::PlacementConf;
use fulmargate_placement::Placer;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::SpreadPlan;
use fulmargate_placement::StoreUse;
use indexmap::IndexMap;

use crate::control::weights_floor::WeightsFloor;
use crate::state::ClassRoute;
use crate::state::ModelRoute;
use crate::state::RouteTable;
use crate::state::ServerRoute;

/// Time to a server of another zone and back.
const OTHER_ZONE_MS: f64 = 1.0;

/// Builds the table of routes; keeps what outlives a table.
pub(crate) struct RouteKeeper {
    zone: ZoneName,
    conf: PlacementConf,
    published: PublishedConfig,
    servers: IndexMap<ServerName, KeptServer>,
    meters: MeterRegistry,
    models: IndexMap<ModelName, KeptModel>,
}

struct KeptServer {
    route: Arc<ServerRoute>,
}

struct KeptModel {
    placer: Arc<Placer>,
    plan: Option<SpreadPlan>,
    /// The newest weights that any server has confirmed; never falls.
    confirmed: WeightsVersion,
    floor: WeightsFloor,
}

impl RouteKeeper {
    pub(crate) fn new(zone: &ZoneName) -> RouteKeeper {
        let conf = PlacementConf::default();
        RouteKeeper {
            zone: zone.clone(),
            meters: MeterRegistry::new(&conf),
            conf,
            published: PublishedConfig::default(),
            servers: IndexMap::new(),
            models: IndexMap::new(),
        }
    }

    /// Takes a configuration over.
    pub(crate) fn set_config(&mut self, published: PublishedConfig) {
        let Some(document) = published.document.clone() else {
            return;
        };
        self.published = published;
        self.keep_servers(&document);
        self.meters.retain(|name| document.servers.contains_key(name));
        self.models.retain(|model, _| document.models.contains_key(model));
        for (model, entry) in &document.models {
            let conf =
                PlacementConf { import: entry.kv_import.map(import_conf), ..self.conf.clone() };
            let kept = self.models.entry(model.clone()).or_insert_with(|| KeptModel::new(&conf));
            if *kept.placer.conf() != conf {
                // What placement has learned may be lost: it chooses without memory as well.
                kept.placer = Arc::new(Placer::new(conf));
            }
        }
    }

    /// The server's route.
    pub(crate) fn server(&self, name: &ServerName) -> Option<&Arc<ServerRoute>> {
        Some(&self.servers.get(name)?.route)
    }

    /// All servers.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Arc<ServerRoute>> {
        self.servers.values().map(|kept| &kept.route)
    }

    /// The constants of the placement.
    pub(crate) fn placement_conf(&self) -> &PlacementConf {
        &self.conf
    }

    /// The document in force.
    pub(crate) fn document(&self) -> Option<&Arc<ConfigDocument>> {
        self.published.document.as_ref()
    }

    /// The placers, by model.
    pub(crate) fn placers(&self) -> impl Iterator<Item = (&ModelName, &Arc<Placer>)> {
        self.models.iter().map(|(model, kept)| (model, &kept.placer))
    }

    /// Sets the plan that spreads a model's hot prefixes.
    pub(crate) fn set_plan(&mut self, model: &ModelName, plan: SpreadPlan) {
        if let Some(kept) = self.models.get_mut(model) {
            kept.plan = Some(plan);
        }
    }

    /// The present life's meter of a server.
    pub(crate) fn meter(&mut self, name: &ServerName) -> Arc<fulmargate_placement::ServerMeter> {
        let known = self.servers.get(name).map(|kept| kept.route.incarnation());
        self.meters.meter(name, known.unwrap_or(Incarnation(0)))
    }

    /// Takes in which weights a server says are in use; tells whether that changes the table.
    pub(crate) fn note_weights(
        &mut self,
        name: &ServerName,
        weights: &IndexMap<ModelName, WeightsVersion>,
    ) -> bool {
        let Some(kept) = self.servers.get(name) else {
            return false;
        };
        if !kept.route.note_weights(weights) {
            return false;
        }
        for (model, version) in weights {
            if let Some(kept) = self.models.get_mut(model) {
                kept.confirmed = kept.confirmed.max(*version);
            }
        }
        true
    }

    /// The table, once there is a configuration.
    pub(crate) fn build(&mut self) -> Option<RouteTable> {
        let document = self.published.document.clone()?;
        let models: Vec<ModelName> = document.models.keys().cloned().collect();
        let mut routes = IndexMap::new();
        for model in models {
            let route = self.model_route(&document, &model);
            routes.insert(model, route);
        }
        let classes = document.classes.iter();
        let classes = classes.map(|(name, entry)| (name.clone(), ClassRoute::new(name, entry)));
        let servers = self.servers.iter();
        Some(RouteTable {
            version: self.published.version,
            policy: policy_of(document.policy),
            classes: classes.collect(),
            servers: servers.map(|(name, kept)| (name.clone(), Arc::clone(&kept.route))).collect(),
            models: routes,
            services: self.service_routes(&document),
            document,
        })
    }

    fn model_route(&mut self, document: &ConfigDocument, model: &ModelName) -> ModelRoute {
        let wanted = document.models.get(model).map(|entry| entry.weights).unwrap_or_default();
        let confirmed = self.models.get(model).map(|kept| kept.confirmed).unwrap_or_default();
        let names = document.servers_of_model(model);
        let mut names: Vec<ServerName> = names
            .filter(|(name, entry)| entry.state == ServerState::Active && self.takes_work(name))
            .map(|(name, _)| name.clone())
            .collect();
        let told: Vec<Option<WeightsVersion>> =
            names.iter().map(|name| self.told_weights(name, model)).collect();
        let floor = self.models.get_mut(model).map(|kept| kept.floor.step(wanted, &told));
        let oldest = floor.unwrap_or_default();
        names.retain(|name| self.has_weights(name, model, oldest));
        let servers = names.iter().filter_map(|name| self.fleet_server(name)).collect();
        let view = FleetView::new(&self.conf, servers);
        let conf = &self.conf;
        let kept = self.models.entry(model.clone()).or_insert_with(|| KeptModel::new(conf));
        ModelRoute {
            view: match &kept.plan {
                Some(plan) => view.with_plan(plan),
                None => view,
            },
            placer: Arc::clone(&kept.placer),
            oldest_weights: oldest,
            weights: expected_weights(wanted, confirmed),
        }
    }

    fn fleet_server(&mut self, name: &ServerName) -> Option<FleetServer> {
        let meter = self.meter(name);
        let route = &self.servers.get(name)?.route;
        let zone_ms = if route.zone == self.zone { 0.0 } else { OTHER_ZONE_MS };
        Some(FleetServer { zone: route.zone.clone(), zone_ms, meter })
    }

    fn takes_work(&self, name: &ServerName) -> bool {
        self.servers.get(name).is_some_and(|kept| !kept.route.is_leaving())
    }

    /// A server whose weights are not known yet counts as having them: its responses name them.
    fn has_weights(&self, name: &ServerName, model: &ModelName, oldest: WeightsVersion) -> bool {
        self.told_weights(name, model).is_none_or(|told| oldest <= told)
    }

    fn told_weights(&self, name: &ServerName, model: &ModelName) -> Option<WeightsVersion> {
        self.servers.get(name)?.route.told_weights(model)
    }

    fn service_routes(
        &self,
        document: &ConfigDocument,
    ) -> IndexMap<fulmargate_names::ServiceName, Vec<Arc<ServerRoute>>> {
        let route_of = |service| {
            document
                .servers_of_service(service)
                .filter(|(name, entry)| entry.state == ServerState::Active && self.takes_work(name))
                .filter_map(|(name, _)| Some(Arc::clone(&self.servers.get(name)?.route)))
                .collect()
        };
        document.services.keys().map(|service| (service.clone(), route_of(service))).collect()
    }

    fn keep_servers(&mut self, document: &ConfigDocument) {
        let mut before = std::mem::take(&mut self.servers);
        for (name, entry) in &document.servers {
            let kept = before.swap_remove(name).filter(|kept| kept.route.address == entry.address);
            let kept = kept.unwrap_or_else(|| KeptServer { route: ServerRoute::new(name, entry) });
            self.servers.insert(name.clone(), kept);
        }
    }
}

impl KeptModel {
    fn new(conf: &PlacementConf) -> KeptModel {
        KeptModel {
            placer: Arc::new(Placer::new(conf.clone())),
            plan: None,
            confirmed: WeightsVersion(0),
            floor: WeightsFloor::default(),
        }
    }
}

/// The weights that prompts are placed for: the target, or older ones that are still in use. A router
/// that has just started knows of none in use and takes the target, as the others do: the owner of a
/// prompt depends on them.
fn expected_weights(wanted: WeightsVersion, confirmed: WeightsVersion) -> WeightsVersion {
    match confirmed {
        WeightsVersion(0) => wanted,
        confirmed => wanted.min(confirmed),
    }
}

fn import_conf(import: KvImport) -> ImportConf {
    ImportConf {
        ask_ms: import.ask_ms,
        tokens_per_ms: import.tokens_per_ms,
        store: if import.store { StoreUse::Ask } else { StoreUse::None },
    }
}

fn policy_of(policy: ConfigPolicy) -> PolicyKind {
    match policy {
        ConfigPolicy::Cost => PolicyKind::Cost,
        ConfigPolicy::RoundRobin => PolicyKind::RoundRobin,
        ConfigPolicy::LeastLoad => PolicyKind::LeastLoad,
        ConfigPolicy::PrefixHash => PolicyKind::PrefixHash,
    }
}
