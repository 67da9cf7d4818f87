//! Which orders are given when.

use std::time::Duration;
use std::time::Instant;

use fulmargate_fleet::OrderPace;
use fulmargate_fleet::OrderPlan;
use fulmargate_fleet::OrderWish;
use fulmargate_fleet::SeenServer;
use fulmargate_fleet::ServerReport;
use fulmargate_fleet::WantedModel;
use fulmargate_fleet::WantedServer;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const STEP: Duration = Duration::from_millis(200);
const SEEDS: u64 = 100;

/// An engine of the zone as it is, and how it behaves.
#[derive(Clone, Debug)]
struct FakeEngine {
    weights: u64,
    loading: Option<(u64, Instant)>,
    adapters: Vec<String>,
    is_silent: bool,
    is_leaving: bool,
    loses_orders: bool,
    load_ms: u64,
}

/// A zone of engines, the plan, and the reports that it has seen.
struct OrderWorld {
    now: Instant,
    engines: Vec<FakeEngine>,
    wanted: Vec<WantedServer>,
    plan: OrderPlan,
    seen: IndexMap<ServerName, SeenServer>,
}

impl OrderWorld {
    fn new(engines: usize) -> OrderWorld {
        let engine = FakeEngine {
            weights: 1,
            loading: None,
            adapters: Vec::new(),
            is_silent: false,
            is_leaving: false,
            loses_orders: false,
            load_ms: 500,
        };
        let model = |number: usize| WantedServer {
            server: name(number),
            models: vec![WantedModel {
                model: ModelName::new("m"),
                weights: WeightsVersion(2),
                adapters: Vec::new(),
            }],
        };
        OrderWorld {
            now: Instant::now(),
            engines: vec![engine; engines],
            wanted: (0..engines).map(model).collect(),
            plan: OrderPlan::new(OrderPace::default()),
            seen: IndexMap::new(),
        }
    }

    fn report(&mut self) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            if let Some((version, until)) = engine.loading
                && until <= self.now
            {
                engine.weights = version;
                engine.loading = None;
            }
            if engine.is_silent {
                continue;
            }
            let model = ModelName::new("m");
            let loading =
                engine.loading.map(|(version, _)| (model.clone(), WeightsVersion(version)));
            let report = ServerReport {
                weights: IndexMap::from([(model, WeightsVersion(engine.weights))]),
                loading: loading.into_iter().collect(),
                leaving: engine.is_leaving,
                adapters: engine.adapters.iter().map(|name| name.as_str().into()).collect(),
                ..ServerReport::default()
            };
            self.seen.insert(name(number), SeenServer { report, as_of: self.now });
        }
    }

    /// One round: reports, orders, and what engines make of them. Gives the engines ordered.
    fn round(&mut self) -> Vec<usize> {
        self.report();
        let orders = self.plan.next(&self.wanted, &self.seen, self.now);
        self.now += Duration::from_millis(1);
        let numbers = orders.into_iter().map(|(server, wish)| {
            let number: usize = server.as_str()[1..].parse().expect("a number");
            let engine = &mut self.engines[number];
            if !engine.loses_orders && !engine.is_silent {
                match wish {
                    OrderWish::LoadWeights { version, .. } => {
                        let until = self.now + Duration::from_millis(engine.load_ms);
                        engine.loading = Some((version.0, until));
                    }
                    OrderWish::LoadAdapter { adapter, .. } => {
                        engine.adapters.push(adapter.to_string());
                    }
                }
            }
            number
        });
        let numbers: Vec<usize> = numbers.collect();
        self.now += STEP;
        numbers
    }

    fn loading(&self) -> usize {
        self.engines.iter().filter(|engine| engine.loading.is_some()).count()
    }

    fn done(&self) -> usize {
        self.engines.iter().filter(|engine| engine.weights == 2).count()
    }
}

fn name(number: usize) -> ServerName {
    ServerName::new(&format!("e{number}"))
}

/// How many rounds pass and how far the zone gets.
struct PlanCase {
    what: &'static str,
    engines: usize,
    set: fn(&mut OrderWorld),
    first: &'static [usize],
    rounds: usize,
    done: usize,
}

impl PlanCase {
    fn check(&self) {
        let mut world = OrderWorld::new(self.engines);
        (self.set)(&mut world);
        assert_eq!(world.round(), self.first, "{}", self.what);
        for _ in 1..self.rounds {
            world.round();
        }
        assert_eq!(world.done(), self.done, "{}", self.what);
    }
}

#[test]
fn a_zone_gets_there_two_at_a_time() {
    let cases = [
        PlanCase { what: "plain", engines: 4, set: |_| {}, first: &[0, 1], rounds: 12, done: 4 },
        PlanCase {
            what: "a zone of two",
            engines: 2,
            set: |_| {},
            first: &[0],
            rounds: 12,
            done: 2,
        },
        PlanCase {
            what: "a zone of one",
            engines: 1,
            set: |_| {},
            first: &[0],
            rounds: 8,
            done: 1,
        },
        PlanCase {
            what: "a load that is not ours counts",
            engines: 4,
            set: |world| world.engines[3].loading = Some((2, world.now + Duration::from_secs(9))),
            first: &[0],
            rounds: 60,
            done: 4,
        },
        PlanCase {
            what: "silent engines are out of use already",
            engines: 4,
            set: |world| (2..4).for_each(|number| world.engines[number].is_silent = true),
            first: &[0],
            rounds: 20,
            done: 2,
        },
        PlanCase {
            what: "a leaving engine gets none",
            engines: 3,
            set: |world| world.engines[0].is_leaving = true,
            first: &[1],
            rounds: 20,
            done: 2,
        },
        PlanCase {
            what: "engines whose orders get lost do not keep the others from theirs",
            engines: 6,
            set: |world| (0..2).for_each(|number| world.engines[number].loses_orders = true),
            first: &[0, 1],
            rounds: 60,
            done: 4,
        },
        PlanCase {
            what: "what the configuration in force says is ordered, lower versions too",
            engines: 3,
            set: |world| world.engines.iter_mut().for_each(|engine| engine.weights = 3),
            first: &[0, 1],
            rounds: 20,
            done: 3,
        },
    ];
    cases.iter().for_each(PlanCase::check);
}

#[test]
fn an_order_is_repeated_only_after_its_deadline() {
    let mut world = OrderWorld::new(1);
    world.engines[0].loses_orders = true;
    let begun = world.now;
    assert_eq!(world.round(), [0]);
    while world.round().is_empty() {
        assert!(world.now < begun + Duration::from_secs(5));
    }
    assert!(begun + OrderPace::default().deadline <= world.now);
}

#[test]
fn adapters_follow_the_weights() {
    let mut world = OrderWorld::new(2);
    world.wanted[0].models[0].adapters = vec!["x".into(), "y".into()];
    for _ in 0..30 {
        world.round();
    }
    assert_eq!(world.done(), 2);
    assert_eq!(world.engines[0].adapters, ["x", "y"]);
    assert!(world.engines[1].adapters.is_empty());
}

/// More loads at once than two would slow each other and take a zone's engines out of use. Engines
/// lose orders, fall silent and come back, and load fast or slowly; holders follow one another.
#[test]
fn at_no_time_do_more_than_two_load() {
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(50, seed);
        let mut world = OrderWorld::new(3 + usize::arbitrary(&mut random) % 6);
        for _ in 0..200 {
            let count = world.engines.len();
            let engine = &mut world.engines[usize::arbitrary(&mut random) % count];
            match u8::arbitrary(&mut random) % 12 {
                0 => engine.is_silent = !engine.is_silent,
                1 => engine.loses_orders = !engine.loses_orders,
                2 => engine.load_ms = 100 + u64::arbitrary(&mut random) % 8_000,
                3 if engine.loading.is_none() => engine.weights = 1,
                _ => {}
            }
            world.round();
            assert!(world.loading() <= 2, "seed {seed}: {:?}", world.engines);
        }
        for engine in &mut world.engines {
            engine.is_silent = false;
            engine.loses_orders = false;
        }
        for _ in 0..600 {
            world.round();
        }
        assert_eq!(world.done(), world.engines.len(), "seed {seed}: {:?}", world.engines);
    }
}
