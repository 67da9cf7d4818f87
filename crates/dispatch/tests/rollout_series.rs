//! Rolling updates over series of versions that follow each other faster than engines load them.

mod support;

use std::ops::Range;
use std::time::Duration;

use fulmargate_dispatch::RolloutEngine;
use fulmargate_dispatch::RolloutPlan;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use quickcheck::Gen;
use support::key;

/// Interval at which the holder of the lease looks at the engines.
const STEP_MS: u64 = 25;
/// Length of a series.
const SERIES_MS: u64 = 80_000;
/// Time between two versions.
const GAPS_MS: Range<u64> = 1_000..4_000;
/// Time for which an engine is unavailable when it loads weights.
const LOADS_MS: Range<u64> = 800..1_200;
/// Time after which an order that an engine refuses is given up.
const REFUSED_ORDER_MS: u64 = 4_000;
/// Time for which other engines go before one whose order has failed.
const FAILURE_PERIOD_MS: u64 = 1_000;
/// No request starts on weights outdated for the bound less this margin.
const START_MARGIN_MS: u64 = 800;
/// With the largest share of engines loading at a time, all have loaded after this number of rounds.
const ROUNDS_OF_ALL: u64 = 3;
const SEEDS: Range<u64> = 0..8;

struct SeriesCase {
    name: &'static str,
    engines: usize,
    zones: usize,
    bound_ms: u64,
    /// Times at which there is no holder of the lease.
    pauses_ms: &'static [Range<u64>],
    /// Number of engines that refuse all orders.
    refusing: usize,
    /// Upper bound of the time for which an engine serves nothing since its weights are too old.
    max_overdue_ms: u64,
}

const CALM_CASE: SeriesCase = SeriesCase {
    name: "12 engines in 3 zones",
    engines: 12,
    zones: 3,
    bound_ms: 8_000,
    pauses_ms: &[],
    refusing: 0,
    max_overdue_ms: 0,
};

const CASES: &[SeriesCase] = &[
    CALM_CASE,
    SeriesCase { name: "bound of 6 s", bound_ms: 6_000, ..CALM_CASE },
    SeriesCase { name: "90 engines in 3 zones", engines: 90, ..CALM_CASE },
    SeriesCase { name: "90 engines in 10 zones", engines: 90, zones: 10, ..CALM_CASE },
    SeriesCase { name: "two engines in each zone", zones: 6, ..CALM_CASE },
    SeriesCase { name: "90 engines, two in each zone", engines: 90, zones: 45, ..CALM_CASE },
    SeriesCase { name: "one engine", engines: 1, zones: 1, ..CALM_CASE },
    SeriesCase { name: "two engines in one zone", engines: 2, zones: 1, ..CALM_CASE },
    SeriesCase { name: "two engines in two zones", engines: 2, zones: 2, ..CALM_CASE },
    SeriesCase { name: "a zone for each engine", engines: 3, zones: 3, ..CALM_CASE },
    SeriesCase {
        name: "one of two engines refuses",
        engines: 2,
        zones: 1,
        refusing: 1,
        ..CALM_CASE
    },
    SeriesCase { name: "one of twelve engines refuses", refusing: 1, ..CALM_CASE },
    SeriesCase { name: "four of twelve engines refuse", refusing: 4, ..CALM_CASE },
    SeriesCase {
        name: "twice without a holder",
        pauses_ms: &[20_000..24_000, 60_000..64_000],
        max_overdue_ms: 4_000 + ROUNDS_OF_ALL * LOADS_MS.end,
        ..CALM_CASE
    },
    SeriesCase {
        name: "90 engines, twice without a holder",
        engines: 90,
        pauses_ms: &[20_000..24_000, 60_000..64_000],
        max_overdue_ms: 4_000 + ROUNDS_OF_ALL * LOADS_MS.end,
        ..CALM_CASE
    },
];

struct SeriesEngine {
    number: usize,
    zone: usize,
    version: u64,
    /// When its order ends, and the version that it has then.
    order: Option<(u64, u64)>,
    failed_at: Option<u64>,
    overdue_ms: u64,
    max_overdue_ms: u64,
    loads: usize,
}

/// A fleet whose operators name one version after the other.
struct SeriesFleet<'a> {
    case: &'a SeriesCase,
    draws: Gen,
    now_ms: u64,
    /// When each version was named.
    named_at: Vec<u64>,
    next_named_at: u64,
    engines: Vec<SeriesEngine>,
    /// Steps at which a zone of several engines had none that served.
    unserved_steps: usize,
}

impl<'a> SeriesFleet<'a> {
    fn new(case: &'a SeriesCase, seed: u64) -> SeriesFleet<'a> {
        let engine = |number| SeriesEngine {
            number,
            zone: number % case.zones,
            version: 0,
            order: None,
            failed_at: None,
            overdue_ms: 0,
            max_overdue_ms: 0,
            loads: 0,
        };
        SeriesFleet {
            case,
            draws: Gen::from_size_and_seed(100, seed),
            now_ms: 0,
            named_at: vec![0],
            next_named_at: 1_000,
            engines: (0..case.engines).map(engine).collect(),
            unserved_steps: 0,
        }
    }

    fn draw(&mut self, range: &Range<u64>) -> u64 {
        let draws: Vec<u64> = (range.start..range.end).step_by(STEP_MS as usize).collect();
        *self.draws.choose(&draws).expect("a range that is not empty")
    }

    fn target(&self) -> u64 {
        self.named_at.len() as u64 - 1
    }

    fn outdated_ms(&self, version: u64) -> u64 {
        let named_at = self.named_at.get(version as usize + 1);
        named_at.map_or(0, |named_at| self.now_ms - named_at)
    }

    fn is_overdue(&self, engine: &SeriesEngine) -> bool {
        self.case.bound_ms - START_MARGIN_MS <= self.outdated_ms(engine.version)
    }

    fn refuses(&self, number: usize) -> bool {
        number < self.case.refusing
    }

    fn step(&mut self) {
        if self.next_named_at <= self.now_ms {
            self.named_at.push(self.now_ms);
            self.next_named_at = self.now_ms + self.draw(&GAPS_MS);
        }
        self.end_orders();
        if !self.case.pauses_ms.iter().any(|pause| pause.contains(&self.now_ms)) {
            self.start_orders();
        }
        self.measure();
        self.now_ms += STEP_MS;
    }

    fn end_orders(&mut self) {
        let now_ms = self.now_ms;
        for engine in &mut self.engines {
            let Some((_, version)) = engine.order.take_if(|(ends_at, _)| *ends_at <= now_ms) else {
                continue;
            };
            if version == engine.version {
                engine.failed_at = Some(now_ms);
            } else {
                engine.loads += 1;
            }
            engine.version = version;
        }
    }

    fn start_orders(&mut self) {
        let bound = Duration::from_millis(self.case.bound_ms);
        let servers: Vec<RolloutEngine> =
            self.engines.iter().map(|engine| self.server(engine)).collect();
        let target = WeightsVersion(self.target());
        for chosen in RolloutPlan::default().next(&servers, target, bound) {
            let number = servers.iter().position(|server| server.key == chosen);
            let number = number.expect("an engine of the fleet");
            let order = if self.refuses(number) {
                (self.now_ms + REFUSED_ORDER_MS, self.engines[number].version)
            } else {
                (self.now_ms + self.draw(&LOADS_MS), self.target())
            };
            self.engines[number].order = Some(order);
        }
    }

    fn server(&self, engine: &SeriesEngine) -> RolloutEngine {
        let name = format!("e{}", engine.number);
        let has_failed = engine.failed_at.is_some_and(|at| self.now_ms < at + FAILURE_PERIOD_MS);
        RolloutEngine {
            key: key(&name),
            name: ServerName::new(&name),
            zone: ZoneName::new(&format!("z{}", engine.zone)),
            version: WeightsVersion(engine.version),
            outdated_for: Duration::from_millis(self.outdated_ms(engine.version)),
            load: (engine.number * 7 % 5) as u32,
            is_ordered: engine.order.is_some(),
            is_reachable: true,
            has_failed,
        }
    }

    fn measure(&mut self) {
        for number in 0..self.engines.len() {
            let is_overdue = self.is_overdue(&self.engines[number]);
            let engine = &mut self.engines[number];
            engine.overdue_ms = if is_overdue { engine.overdue_ms + STEP_MS } else { 0 };
            engine.max_overdue_ms = engine.max_overdue_ms.max(engine.overdue_ms);
        }
        let is_served = |zone: usize| {
            let mut in_zone = self.engines.iter().filter(|engine| engine.zone == zone);
            in_zone.any(|engine| engine.order.is_none() && !self.is_overdue(engine))
        };
        let is_sole =
            |zone: usize| self.engines.iter().filter(|engine| engine.zone == zone).count() == 1;
        let unserved =
            (0..self.case.zones).filter(|zone| !is_sole(*zone) && !is_served(*zone)).count();
        self.unserved_steps += unserved;
    }
}

/// Versions are named faster than all engines can load them. Guards against engines that wait behind those which were
/// done, until nothing may start on their weights, and against zones whose engines all load at a time.
#[test]
fn no_engine_stays_behind_in_a_series_of_versions() {
    for case in CASES {
        for seed in SEEDS {
            let mut fleet = SeriesFleet::new(case, seed);
            while fleet.now_ms < SERIES_MS {
                fleet.step();
            }
            let accepting = fleet.engines.iter().filter(|engine| !fleet.refuses(engine.number));
            let overdue_ms = accepting.clone().map(|engine| engine.max_overdue_ms).max();
            assert!(
                overdue_ms <= Some(case.max_overdue_ms),
                "{}, seed {seed}: {overdue_ms:?} ms on weights that are too old",
                case.name
            );
            assert!(accepting.clone().all(|engine| 1 < engine.loads), "{}, seed {seed}", case.name);
            if case.refusing == 0 && case.pauses_ms.is_empty() {
                assert_eq!(fleet.unserved_steps, 0, "{}, seed {seed}: a zone lost all", case.name);
            }
        }
    }
}
