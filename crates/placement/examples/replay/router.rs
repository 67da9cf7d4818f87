//! A simulated router.

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_placement::Choice;
use fulmargate_placement::FleetServer;
use fulmargate_placement::FleetView;
use fulmargate_placement::MeterRegistry;
use fulmargate_placement::PlacementConf;
use fulmargate_placement::PlacementRequest;
use fulmargate_placement::Placer;
use fulmargate_placement::Planner;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::PromptChain;
use fulmargate_placement::SpreadPlan;

use crate::SERVERS;
use crate::WEIGHTS;
use crate::arg;

pub(crate) struct Router {
    pub(crate) placer: Placer,
    pub(crate) meters: MeterRegistry,
    pub(crate) view: FleetView,
    pub(crate) maker: Planner,
}

impl Router {
    pub(crate) fn new() -> Router {
        let mut conf = PlacementConf::default();
        conf.hot_factor = arg("hot", conf.hot_factor);
        conf.detour_share = arg("detour", conf.detour_share);
        conf.min_width = arg("width", conf.min_width);
        conf.recompute_price = arg("price", conf.recompute_price);
        let (view, maker) = (FleetView::new(&conf, Vec::new()), Planner::new(&conf));
        let meters = MeterRegistry::new(&conf);
        let mut router = Router { placer: Placer::new(conf), meters, view, maker };
        router.set_incarnations(&[0; SERVERS], None);
        router
    }

    pub(crate) fn set_incarnations(&mut self, incarnations: &[u64], plan: Option<&SpreadPlan>) {
        let server = |(number, incarnation): (usize, &u64)| {
            let name = ServerName::new(&format!("server{number}"));
            let meter = self.meters.meter(&name, Incarnation(*incarnation));
            FleetServer { zone: "north".into(), zone_ms: 1.0, meter }
        };
        let servers = incarnations.iter().enumerate().map(server).collect();
        self.view = FleetView::new(self.placer.conf(), servers);
        if let Some(plan) = plan {
            self.view = self.view.with_plan(plan);
        }
    }

    pub(crate) fn choose(
        &self,
        policy: PolicyKind,
        chain: &PromptChain,
        band: usize,
        now: f64,
    ) -> Choice {
        let (weights, now_ms) = (WEIGHTS[band], now as u64);
        let request = PlacementRequest { policy, weights, excluded: &[], now_ms };
        self.placer.choose(&self.view, chain, &request).expect("usable server")
    }
}
