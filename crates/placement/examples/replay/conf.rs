//! What is replayed.

use fulmargate_placement::ImportConf;
use fulmargate_placement::PlacementConf;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::StoreUse;

/// Who makes plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanMode {
    /// One router for all.
    Shared,
    /// Each router for itself.
    Each,
    /// Nobody.
    None,
}

/// What is replayed; each field is a key of the command line.
#[derive(Clone, Debug)]
pub(crate) struct ReplayConf {
    pub(crate) policies: Vec<PolicyKind>,
    pub(crate) loads: Vec<f64>,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    pub(crate) plan: PlanMode,
    pub(crate) shift_ms: f64,
    /// Servers that start anew and empty in the middle of the run.
    pub(crate) restarts: usize,
    /// When all routers lose all they know, in parts of the run; beyond 1 is never.
    pub(crate) amnesia: f64,
    pub(crate) tick_ms: f64,
    /// Zipf exponents of teams, services and records.
    pub(crate) zipf: [f64; 3],
    pub(crate) placement: PlacementConf,
}

impl ReplayConf {
    pub(crate) fn parse(args: impl Iterator<Item = String>) -> ReplayConf {
        let mut conf = ReplayConf {
            policies: vec![PolicyKind::Cost],
            loads: vec![0.7, 0.9],
            seed: 1,
            seconds: 60.0,
            plan: PlanMode::Shared,
            shift_ms: f64::INFINITY,
            restarts: 0,
            amnesia: 2.0,
            tick_ms: 500.0,
            zipf: [1.1, 0.8, 1.0],
            placement: PlacementConf::default(),
        };
        for arg in args {
            let (key, value) = arg.split_once('=').expect("KEY=VALUE");
            conf.set(key, value);
        }
        conf
    }

    fn set(&mut self, key: &str, value: &str) {
        let number = || value.parse::<f64>().expect("a number");
        let numbers = || value.split(',').map(|part| part.parse().expect("a number"));
        match key {
            "policy" if value == "all" => self.policies = PolicyKind::ALL.to_vec(),
            "policy" => self.policies = vec![value.parse().expect("a policy")],
            "load" => self.loads = numbers().collect(),
            "seed" => self.seed = number() as u64,
            "seconds" => self.seconds = number(),
            "shift" => self.shift_ms = number(),
            "restarts" => self.restarts = number() as usize,
            "amnesia" => self.amnesia = number(),
            "tick" => self.tick_ms = number(),
            "zipf" => self.zipf = std::array::from_fn(|at| numbers().nth(at).expect("three")),
            "plan" => self.plan = parse_plan(value),
            "window" => self.placement.demand_window_ms = number(),
            "width" => self.placement.width_factor = number(),
            "least" => self.placement.least_width = number(),
            "hot" => self.placement.hot_factor = number(),
            "price" => self.placement.recompute_price = number(),
            "detour" => self.placement.detour_share = number(),
            "request" => self.placement.request_tokens = number(),
            "import" => self.placement.import = Some(store(number())),
            _ => panic!("unknown key {key}"),
        }
    }
}

fn parse_plan(value: &str) -> PlanMode {
    match value {
        "shared" => PlanMode::Shared,
        "each" => PlanMode::Each,
        "none" => PlanMode::None,
        _ => panic!("plan is shared, each or none"),
    }
}

fn store(tokens_per_ms: f64) -> ImportConf {
    ImportConf { ask_ms: 2.0, tokens_per_ms, store: StoreUse::Ask }
}
