//! Placement plans: load balance, number of replicas, agreement between routers.

mod support;

use fulmargate_names::HostName;
use fulmargate_names::PromptHash;
use fulmargate_placement::DemandReport;
use fulmargate_placement::FleetView;
use fulmargate_placement::Planner;
use fulmargate_placement::PrefixDemand;
use fulmargate_placement::SpreadPlan;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use support::TestRouter;

const SEED: u64 = 43;
const SERVERS: usize = 12;

fn host(number: usize) -> HostName {
    HostName::new(&format!("host{number}"))
}

/// Demand report with these group rates, in requests per second.
fn report(rates: &[f64]) -> DemandReport {
    let groups = rates.iter().zip(1_u64..).map(|(rate, number)| PrefixDemand {
        prefix: PromptHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        requests_per_s: *rate,
        uncached_tokens: 300.0,
    });
    DemandReport { requests_per_s: rates.iter().sum(), groups: groups.collect() }
}

fn zipf(groups: usize) -> Vec<f64> {
    (1..=groups).map(|rank| 100.0 / rank as f64).collect()
}

fn maker(router: &TestRouter, rates: &[f64], hosts: impl Iterator<Item = usize>) -> Planner {
    let mut maker = Planner::new(&router.conf);
    for number in hosts {
        maker.hear(&host(number), report(rates), 0);
    }
    maker
}

/// Maximum server load as a multiple of the mean.
fn peak_load(view: &FleetView, plan: &SpreadPlan, rates: &[f64]) -> f64 {
    let mut loads: Vec<f64> = vec![0.0; SERVERS];
    let mut add = |name: &str, load: f64| loads[name[6..].parse::<usize>().unwrap()] += load;
    for demand in report(rates).groups {
        match plan.spread(demand.prefix) {
            Some(spread) => {
                let sum: f64 = spread.shares.iter().map(|share| share.share).sum();
                assert!((sum - 1.0).abs() < 1e-6, "shares add up to {sum}");
                for share in &spread.shares {
                    add(share.server.as_str(), demand.requests_per_s * share.share);
                }
            }
            None => add(view.preferred(demand.prefix, 1)[0].as_str(), demand.requests_per_s),
        }
    }
    let mean = rates.iter().sum::<f64>() / SERVERS as f64;
    loads.into_iter().fold(0.0, f64::max) / mean
}

fn replicas(plan: &SpreadPlan) -> usize {
    plan.spreads.iter().map(|spread| spread.shares.len()).sum()
}

#[test]
fn a_plan_balances_load_with_few_replicas() {
    let router = TestRouter::new(SERVERS);
    for rates in [zipf(24), zipf(200), vec![100.0], vec![1.0; 60], vec![1.0; 400]] {
        let mut maker = maker(&router, &rates, 0..6);
        for _ in 0..30 {
            maker.next(&router.view, 6, 0);
        }
        let plan = maker.plan();
        assert!(
            peak_load(&router.view, plan, &rates) < 1.35,
            "{}",
            peak_load(&router.view, plan, &rates)
        );
        assert!(replicas(plan) <= rates.len() + SERVERS, "{}", replicas(plan));
    }
}

/// After a change in popularity the plan must become balanced again and then stay unchanged.
#[test]
fn a_plan_adapts_to_changed_demand() {
    let router = TestRouter::new(SERVERS);
    let mut rates = zipf(24);
    let mut maker = maker(&router, &rates, 0..6);
    maker.next(&router.view, 6, 0);
    rates.reverse();
    for number in 0..6 {
        maker.hear(&host(number), report(&rates), 100);
    }
    for _ in 0..30 {
        maker.next(&router.view, 6, 100);
    }
    assert!(peak_load(&router.view, maker.plan(), &rates) < 1.35);
    let version = maker.plan().version;
    assert_eq!(maker.next(&router.view, 6, 100), None, "a balanced plan is unchanged");
    assert_eq!(maker.plan().version, version);
}

/// Partitioned routers that planned independently would place the same prefix on different servers.
/// Expired reports must not count towards the majority.
#[test]
fn planning_requires_reports_from_a_majority() {
    let router = TestRouter::new(SERVERS);
    for (reporting, is_planned) in [(1, false), (3, false), (4, true), (6, true)] {
        let mut maker = maker(&router, &zipf(24), 0..reporting);
        assert_eq!(maker.next(&router.view, 6, 0).is_some(), is_planned, "{reporting} of 6");
    }
    let mut maker = maker(&router, &zipf(24), 0..6);
    assert_eq!(maker.next(&router.view, 6, 60_000), None);
}

/// An empty plan assigns each group to the first server of its list; without a plan routers would
/// spread each group over several servers.
#[test]
fn balanced_load_yields_an_empty_first_plan() {
    let router = TestRouter::new(1);
    let plan = maker(&router, &zipf(24), 0..6).next(&router.view, 6, 0);
    assert_eq!(plan, Some(SpreadPlan { version: 1, spreads: Vec::new() }));
}

/// Planning must be deterministic and independent of the order of reports, so that any router can
/// take over.
#[test]
fn equal_reports_yield_equal_plans() {
    let mut gen_ = Gen::from_size_and_seed(30, SEED);
    for _ in 0..20 {
        let rates: Vec<f64> = (0..40).map(|_| f64::from(u8::arbitrary(&mut gen_)) + 1.0).collect();
        let routers = [TestRouter::new(SERVERS), TestRouter::new(SERVERS)];
        let mut first = maker(&routers[0], &rates, 0..6);
        let mut second = maker(&routers[1], &rates, (0..6).rev());
        for _ in 0..5 {
            let plan = first.next(&routers[0].view, 6, 0);
            assert_eq!(plan, second.next(&routers[1].view, 6, 0));
        }
    }
}

/// Shares of a removed server must go to the group's other servers at once and be gone from the
/// next plan.
#[test]
fn a_plan_remains_valid_after_removing_a_server() {
    let mut router = TestRouter::new(SERVERS);
    let rates = zipf(24);
    let mut maker = maker(&router, &rates, 0..6);
    let plan = maker.next(&router.view, 6, 0).expect("first plan");
    let mut incarnations = [1; SERVERS];
    incarnations[5] = 0;
    router.set_incarnations(&incarnations);
    router.view = router.view.with_plan(&plan);
    let chain = support::prompt(0, 0, 0, 0);
    assert_ne!(support::name_of(&router.choose(&chain, 0)), "server5");
    let plan = maker.next(&router.view, 6, 0).expect("updated plan");
    let shares = plan.spreads.iter().flat_map(|spread| &spread.shares);
    assert_eq!(shares.filter(|share| share.server.as_str() == "server5").count(), 0);
}
