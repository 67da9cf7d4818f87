//! The control actor's side of orders: what engines report, and which orders are next.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::AsyncContext;
use actix::Context;
use awc::Client;
use fulmargate_config::ConfigDocument;
use fulmargate_config::ServerEntry;
use fulmargate_fleet::OrderPace;
use fulmargate_fleet::OrderPlan;
use fulmargate_fleet::OrderWish;
use fulmargate_fleet::OwnLease;
use fulmargate_fleet::SeenServer;
use fulmargate_fleet::ServerReport;
use fulmargate_fleet::WantedModel;
use fulmargate_fleet::WantedServer;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use fulmargate_peers::MemberState;
use fulmargate_platform::LogClient;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::control::ControlActor;
use crate::control::orders::lease_task::LeaseView;
use crate::control::orders::lease_task::keep_lease;
use crate::control::orders::order_call::OrderCall;
use crate::state::RouteTable;
use crate::state::RouterState;

/// How often the plan is gone through.
const PLAN_PERIOD: Duration = Duration::from_millis(200);

/// What the control actor keeps for orders.
pub(crate) struct OrderScheduler {
    view: Rc<LeaseView>,
    plan: OrderPlan,
    pace: OrderPace,
    seen: IndexMap<ServerName, SeenServer>,
    /// The number of the lease that the plan's orders were given under.
    fence: Option<FencingNumber>,
    count: u64,
}

impl OrderScheduler {
    pub(crate) fn new(state: &RouterState) -> OrderScheduler {
        let pace = OrderPace::default();
        OrderScheduler {
            view: Rc::new(LeaseView::new(state)),
            plan: OrderPlan::new(pace),
            pace,
            seen: IndexMap::new(),
            fence: None,
            count: 0,
        }
    }

    /// Takes in what a server reports of itself.
    pub(crate) fn note_report(&mut self, server: &ServerName, report: &ServerReport) {
        let age = Duration::from_millis(report.as_of_ms_ago);
        let now = Instant::now().into_std();
        let as_of = now.checked_sub(age).unwrap_or(now);
        self.seen.insert(server.clone(), SeenServer { report: report.clone(), as_of });
    }

    /// The orders to give now.
    fn next(&mut self, zone: &ZoneName, table: &RouteTable) -> Vec<OrderCall> {
        let Some(own) = self.view.acting() else {
            return Vec::new();
        };
        if self.fence.replace(own.fence) != Some(own.fence) {
            self.plan.clear();
        }
        let wanted = wanted_servers(zone, &table.document);
        let orders = self.plan.next(&wanted, &self.seen, Instant::now().into_std());
        orders
            .into_iter()
            .filter_map(|(server, wish)| self.call(own, table, server, wish))
            .collect()
    }

    fn call(
        &mut self,
        own: OwnLease,
        table: &RouteTable,
        server: ServerName,
        wish: OrderWish,
    ) -> Option<OrderCall> {
        let address = table.servers.get(&server)?.address;
        self.count += 1;
        let id = format!("{}-{}-{}", server, own.fence, self.count);
        let deadline = self.pace.deadline;
        Some(OrderCall { server, address, id, fence: own.fence, deadline, wish })
    }
}

impl ControlActor {
    /// Starts what keeps the lease and gives orders.
    pub(crate) fn start_orders(
        &mut self,
        log: LogClient,
        client: Client,
        ctx: &mut Context<ControlActor>,
    ) {
        let view = Rc::clone(&self.orders.view);
        actix_rt::spawn(keep_lease(view, log, Arc::clone(&self.state)));
        ctx.run_interval(PLAN_PERIOD, move |actor, _ctx| actor.give_orders(&client));
    }

    fn give_orders(&mut self, client: &Client) {
        let Some(table) = self.state.routes.load_full() else {
            return;
        };
        self.orders.view.config.set(table.version);
        self.orders.view.rank.set(self.zone_rank());
        for call in self.orders.next(&self.state.zone, &table) {
            let view = Rc::clone(&self.orders.view);
            actix_rt::spawn(call.send(view, client.clone()));
        }
    }

    /// This host's rank by name among the live ones of its zone.
    fn zone_rank(&self) -> usize {
        let members = self.peers.handle.members();
        let is_before = |host: &HostName| host < &self.state.host;
        let in_zone = members
            .iter()
            .filter(|member| member.zone == self.state.zone && member.state == MemberState::Alive);
        in_zone.filter(|member| is_before(&member.host)).count()
    }
}

/// What each engine of the zone is to have.
fn wanted_servers(zone: &ZoneName, document: &ConfigDocument) -> Vec<WantedServer> {
    let in_zone = document.servers.iter().filter(|(_, entry)| entry.zone == *zone);
    let engines = in_zone.filter(|(_, entry)| !entry.models().is_empty());
    engines
        .map(|(name, entry)| WantedServer {
            server: name.clone(),
            models: wanted_models(entry, document),
        })
        .collect()
}

fn wanted_models(entry: &ServerEntry, document: &ConfigDocument) -> Vec<WantedModel> {
    let wanted = |model: &ModelName| {
        let entry = document.models.get(model)?;
        let adapters = entry.adapters.clone();
        Some(WantedModel { model: model.clone(), weights: entry.weights, adapters })
    };
    entry.models().iter().filter_map(wanted).collect()
}
