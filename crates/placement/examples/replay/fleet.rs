//! Six routers over the fleet, and what they tell each other.

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use fulmargate_placement::Choice;
use fulmargate_placement::ClassWeights;
use fulmargate_placement::FleetServer;
use fulmargate_placement::FleetView;
use fulmargate_placement::MeterBook;
use fulmargate_placement::PlaceRequest;
use fulmargate_placement::Placer;
use fulmargate_placement::PlanMaker;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::SpreadPlan;

use crate::SERVERS;
use crate::conf::PlanMode;
use crate::conf::ReplayConf;
use crate::workload::Prompt;

pub(crate) const ROUTERS: usize = 6;
const ZONES: usize = 3;
/// Groups in a router's report.
const REPORTED: usize = 64;
const WEIGHTS: [ClassWeights; 2] = [
    ClassWeights { priority: 0, ttft: 1.0, recompute: 0.1 },
    ClassWeights { priority: 2, ttft: 0.1, recompute: 1.0 },
];

/// One router.
pub(crate) struct Router {
    pub(crate) placer: Placer,
    zone: usize,
    meters: MeterBook,
    view: FleetView,
    maker: PlanMaker,
    conf: ReplayConf,
}

impl Router {
    pub(crate) fn new(conf: &ReplayConf, number: usize, lives: &[u64]) -> Router {
        let mut meters = MeterBook::new(&conf.placement);
        let zone = number % ZONES;
        let view = view(conf, zone, &mut meters, lives);
        let placer = Placer::new(conf.placement.clone());
        let maker = PlanMaker::new(&conf.placement);
        Router { placer, zone, meters, view, maker, conf: conf.clone() }
    }

    pub(crate) fn choose(&self, policy: PolicyKind, prompt: &Prompt, now: f64) -> Choice {
        let weights = WEIGHTS[prompt.band];
        let request = PlaceRequest { policy, weights, excluded: &[], now_ms: now as u64 };
        self.placer.choose(&self.view, &prompt.chain, &request).expect("a server is in use")
    }

    pub(crate) fn weights(band: usize) -> ClassWeights {
        WEIGHTS[band]
    }

    /// Servers have started anew.
    pub(crate) fn renew(&mut self, lives: &[u64]) {
        self.view = view(&self.conf, self.zone, &mut self.meters, lives);
        if self.conf.plan != PlanMode::None {
            self.view = self.view.with_plan(self.maker.plan());
        }
    }

    pub(crate) fn adopt(&mut self, plan: &SpreadPlan) {
        self.maker.follow(plan.clone());
        self.view = self.view.with_plan(plan);
    }
}

/// One round of reports and plans; the plan for all, if there is a new one.
pub(crate) fn exchange(routers: &mut [Router], mode: PlanMode, now: f64) -> Option<SpreadPlan> {
    let now_ms = now as u64;
    let reports: Vec<_> =
        routers.iter().map(|router| router.placer.demand(REPORTED, now_ms)).collect();
    for (number, report) in reports.into_iter().enumerate() {
        let maker = match mode {
            PlanMode::None => return None,
            PlanMode::Shared => 0,
            PlanMode::Each => number,
        };
        let host = HostName::new(&format!("host{number}"));
        routers[maker].maker.hear(&host, report, now_ms);
    }
    if mode == PlanMode::Shared {
        let router = &mut routers[0];
        return router.maker.next(&router.view, ROUTERS, now_ms);
    }
    for router in routers {
        if let Some(plan) = router.maker.next(&router.view, 1, now_ms) {
            router.view = router.view.with_plan(&plan);
        }
    }
    None
}

/// Number of the server that was chosen.
pub(crate) fn number(choice: &Choice) -> usize {
    choice.server.name().as_str()[6..].parse().expect("a number")
}

fn view(conf: &ReplayConf, zone: usize, meters: &mut MeterBook, lives: &[u64]) -> FleetView {
    let server = |number: usize| {
        let name = ServerName::new(&format!("server{number}"));
        let meter = meters.meter(&name, Incarnation(lives[number]));
        let at = number % ZONES;
        let zone_ms = if at == zone { 0.5 } else { 1.5 };
        FleetServer { zone: ZoneName::new(&format!("zone{at}")), zone_ms, meter }
    };
    FleetView::new(&conf.placement, (0..SERVERS).map(server).collect())
}
