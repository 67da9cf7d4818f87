//! Plans: even load, few copies, one maker.

mod support;

use fulmargate_names::HostName;
use fulmargate_names::PromptHash;
use fulmargate_placement::DemandReport;
use fulmargate_placement::FleetView;
use fulmargate_placement::PlanMaker;
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

/// Demand for groups of these requests a second.
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

fn maker(router: &TestRouter, rates: &[f64], hosts: impl Iterator<Item = usize>) -> PlanMaker {
    let mut maker = PlanMaker::new(&router.conf);
    for number in hosts {
        maker.hear(&host(number), report(rates), 0);
    }
    maker
}

/// Load of the fullest server as a multiple of the mean.
fn peak(view: &FleetView, plan: &SpreadPlan, rates: &[f64]) -> f64 {
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

fn copies(plan: &SpreadPlan) -> usize {
    plan.spreads.iter().map(|spread| spread.shares.len()).sum()
}

#[test]
fn a_plan_evens_out_the_load_with_few_copies() {
    let router = TestRouter::new(SERVERS);
    for rates in [zipf(24), zipf(200), vec![100.0], vec![1.0; 60], vec![1.0; 400]] {
        let mut maker = maker(&router, &rates, 0..6);
        for _ in 0..30 {
            maker.next(&router.view, 6, 0);
        }
        let plan = maker.plan();
        assert!(peak(&router.view, plan, &rates) < 1.35, "{}", peak(&router.view, plan, &rates));
        assert!(copies(plan) <= rates.len() + SERVERS, "{}", copies(plan));
    }
}

/// Popularity shifts without warning: the next plan is even again and moves little else.
#[test]
fn a_plan_follows_a_shift() {
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
    assert!(peak(&router.view, maker.plan(), &rates) < 1.35);
    let version = maker.plan().version;
    assert_eq!(maker.next(&router.view, 6, 100), None, "an even plan stays");
    assert_eq!(maker.plan().version, version);
}

/// Routers cannot hear each other, but all get requests. If each planned alone, the same prefix
/// would have another home at each of them, and all would be computed several times. Without most
/// of the reports no plan is made; reports that are too old do not count.
#[test]
fn no_plan_without_most_of_the_hosts() {
    let router = TestRouter::new(SERVERS);
    for (heard, planned) in [(1, false), (3, false), (4, true), (6, true)] {
        let mut maker = maker(&router, &zipf(24), 0..heard);
        assert_eq!(maker.next(&router.view, 6, 0).is_some(), planned, "{heard} of 6");
    }
    let mut maker = maker(&router, &zipf(24), 0..6);
    assert_eq!(maker.next(&router.view, 6, 60_000), None);
}

/// Where the hash alone spreads the load evenly there is a plan too: it says that each group is
/// kept by the first server of its list. Without one, routers would spread each over all servers.
#[test]
fn an_empty_plan_is_a_plan() {
    let router = TestRouter::new(1);
    let plan = maker(&router, &zipf(24), 0..6).next(&router.view, 6, 0);
    assert_eq!(plan, Some(SpreadPlan { version: 1, spreads: Vec::new() }));
}

/// Another router may take over the making at any time: from the same reports, in whatever order
/// they came, it makes the same plan.
#[test]
fn makers_that_heard_the_same_plan_the_same() {
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

/// A server goes: its shares fall to the others of the group at once, and the next plan is even.
#[test]
fn a_plan_outlives_a_server() {
    let mut router = TestRouter::new(SERVERS);
    let rates = zipf(24);
    let mut maker = maker(&router, &rates, 0..6);
    let plan = maker.next(&router.view, 6, 0).expect("a plan");
    let mut lives = [1; SERVERS];
    lives[5] = 0;
    router.renew(&lives);
    router.view = router.view.with_plan(&plan);
    let chain = support::prompt(0, 0, 0, 0);
    assert_ne!(support::name_of(&router.choose(&chain, 0)), "server5");
    let plan = maker.next(&router.view, 6, 0).expect("a plan without the server");
    let shares = plan.spreads.iter().flat_map(|spread| &spread.shares);
    assert_eq!(shares.filter(|share| share.server.as_str() == "server5").count(), 0);
}
