//! A router: the books and the line of `dispatch`, without its sockets.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::CacheStore;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::CallerLimits;
use fulmargate_dispatch::ChoiceView;
use fulmargate_dispatch::EngineRule;
use fulmargate_dispatch::PromptPart;
use fulmargate_dispatch::QueueTicket;
use fulmargate_dispatch::RequestQueue;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::RouteRule;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::RoutingConfig;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServiceRule;
use fulmargate_dispatch::ServiceShare;
use fulmargate_dispatch::StreamRule;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ConfigVersion;
use fulmargate_names::ModelName;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::CallKind;
use crate::FleetSpec;
use crate::caller_model::CallPlan;

/// No request begins on weights that were replaced so long ago.
pub(crate) const WEIGHTS_BOUND: Duration = Duration::from_millis(8_000);
/// Routers keep off such engines this long before.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);

/// What all routers know alike.
pub(crate) struct SharedKnowledge {
    pub(crate) table: RouteTable,
    pub(crate) entries: Vec<Arc<ServerEntry>>,
    pub(crate) model: ModelName,
    pub(crate) service: ServiceName,
    zone: ZoneName,
    routes: IndexMap<&'static str, Arc<RouteRule>>,
    pub(crate) start: Instant,
}

/// One router.
pub(crate) struct RouterModel {
    pub(crate) registry: ServerRegistry,
    pub(crate) line: RequestQueue,
    pub(crate) weights: WeightsTable,
    /// Calls that wait, by their place in the line.
    pub(crate) places: IndexMap<QueueTicket, usize>,
    pub(crate) is_served_soon: bool,
}

impl SharedKnowledge {
    pub(crate) fn new(spec: &FleetSpec) -> SharedKnowledge {
        let (model, service, zone) =
            (ModelName::new("m"), ServiceName::new("engines"), ZoneName::new("z"));
        let entry = |number: usize| {
            Arc::new(ServerEntry {
                name: ServerName::new(&format!("engine-{number}")),
                incarnation: None,
                service: service.clone(),
                version: None,
                address: ([10, 0, (number / 200) as u8, (number % 200) as u8], 80).into(),
                zone: zone.clone(),
                slots: spec.slots,
                stage: ServerStage::Ready,
                warm_up: Duration::ZERO,
                models: [(model.clone(), WeightsVersion(1))].into_iter().collect(),
            })
        };
        let entries = (0..spec.engines).map(entry).collect();
        let route = |kind: CallKind| Arc::new(route_rule(kind, &service));
        let routes =
            CallKind::ALL.into_iter().map(|kind| (route_name(kind), route(kind))).collect();
        let table = RouteTable::new(routing_config(spec, &model, &service, &zone));
        SharedKnowledge { table, entries, model, service, zone, routes, start: Instant::now() }
    }

    /// The runtime's time at this millisecond of the day.
    pub(crate) fn time(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at / 1_000.0)
    }

    /// What a router decides with.
    pub(crate) fn view<'a>(&'a self, weights: &'a WeightsTable, at: f64) -> ChoiceView<'a> {
        ChoiceView {
            table: &self.table,
            weights,
            weights_bound: WEIGHTS_BOUND - WEIGHTS_MARGIN,
            zone: &self.zone,
            now: self.time(at),
            boot_now: BootTime(100_000 + at as u64),
        }
    }

    /// An attempt as a router has decoded it.
    pub(crate) fn facts(&self, plan: &CallPlan, id: &str, at: f64, left: Duration) -> CallFacts {
        let part = |(hash, tokens): &(u64, u32)| PromptPart { hash: *hash, tokens: *tokens };
        let now = self.time(at);
        CallFacts {
            id: RequestId::new(id),
            route: self.routes[route_name(plan.kind)].clone(),
            team: None,
            model: Some(self.model.clone()),
            prompt: plan.parts.iter().map(part).collect(),
            output_tokens: plan.output,
            stated_tokens: None,
            priority: 1,
            arrived: now,
            deadline: now + left,
            fingerprint: 0,
        }
    }
}

impl RouterModel {
    pub(crate) fn new(shared: &SharedKnowledge) -> RouterModel {
        let mut registry = ServerRegistry::default();
        registry.sync(&shared.entries, shared.start);
        let mut weights = WeightsTable::default();
        weights.add_target(&shared.model, WeightsVersion(1), None);
        RouterModel {
            registry,
            line: RequestQueue::default(),
            weights,
            places: IndexMap::new(),
            is_served_soon: false,
        }
    }
}

fn route_name(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Review => "review",
        CallKind::Lookup => "lookup",
    }
}

fn route_rule(kind: CallKind, service: &ServiceName) -> RouteRule {
    let sheet = kind.spec();
    let rule =
        StreamRule { is_resumable: kind == CallKind::Lookup, max_gap: Duration::from_millis(250) };
    RouteRule {
        name: route_name(kind).to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{}/", route_name(kind)),
        kind: RouteKind::Stream(rule),
        timeout: sheet.timeout,
        target_latency: sheet.aim,
        priority: 1,
        services: vec![ServiceShare { service: service.clone(), weight: 1.0 }],
        max_attempts: sheet.attempts,
        is_anonymous: true,
        is_sticky: true,
    }
}

fn routing_config(
    spec: &FleetSpec,
    model: &ModelName,
    service: &ServiceName,
    zone: &ZoneName,
) -> RoutingConfig {
    let engine = EngineRule {
        slots: spec.slots,
        cache_tokens: spec.cache_tokens,
        token_bytes: 163_840,
        link_mbps: spec.link_mbps,
        event_tokens: spec.event_tokens,
        models: vec![model.clone()],
    };
    let store = CacheStore {
        address: ([10, 1, 0, 1], 80).into(),
        zone: zone.clone(),
        cache_tokens: spec.store_tokens,
        link_mbps: spec.link_mbps,
    };
    let rule = |name: &ServiceName, engine, cache_store| ServiceRule {
        name: name.clone(),
        max_connections: None,
        engine,
        cache_store,
    };
    RoutingConfig {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services: vec![
            rule(service, Some(engine), None),
            rule(&ServiceName::new("kept"), None, Some(store)),
        ],
        teams: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
