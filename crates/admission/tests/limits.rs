//! Team limits at one router and shared by several routers.

mod support;

use fulmargate_admission::LimiterConf;
use fulmargate_admission::TeamLimit;
use fulmargate_admission::TeamLimiter;
use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::TestRng;
use support::limit_simulation::LIMIT;
use support::limit_simulation::LimitSimulation;
use support::limit_simulation::PROMPT;
use support::limit_simulation::conf;
use support::ms;
use tokio::time::Instant;

const BY_REQUESTS: TeamLimit =
    TeamLimit { requests_per_s: LIMIT, prompt_tokens_per_s: f64::INFINITY };
const BY_TOKENS: TeamLimit =
    TeamLimit { requests_per_s: f64::INFINITY, prompt_tokens_per_s: LIMIT * PROMPT as f64 };

/// Maximum excess documented by `TeamLimiter`: the burst and two requests per router.
fn allowed_excess(routers: usize) -> f64 {
    LIMIT * conf().burst.as_secs_f64() + 2.0 * routers as f64
}

/// Traffic of one team at several routers and the admission rates that it must converge to.
struct ShareCase {
    name: &'static str,
    /// Requests per second sent to each router.
    demand: &'static [f64],
    /// Routers below this index are partitioned from the others.
    partition: usize,
    /// Expected requests per second admitted by each router, within 5 % of the limit.
    admitted: &'static [f64],
}

const SHARES: &[ShareCase] = &[
    ShareCase {
        name: "demand below the limit is admitted",
        demand: &[10.0, 10.0, 10.0, 10.0, 10.0, 10.0],
        partition: 0,
        admitted: &[10.0, 10.0, 10.0, 10.0, 10.0, 10.0],
    },
    ShareCase {
        name: "equal usage gives equal shares",
        demand: &[60.0, 60.0, 60.0, 60.0, 60.0, 60.0],
        partition: 0,
        admitted: &[20.0, 20.0, 20.0, 20.0, 20.0, 20.0],
    },
    ShareCase {
        name: "all demand at one router",
        demand: &[300.0, 0.0, 0.0, 0.0, 0.0, 0.0],
        partition: 0,
        admitted: &[115.0, 0.0, 0.0, 0.0, 0.0, 0.0],
    },
    ShareCase {
        name: "most demand at one router, below the limit",
        demand: &[90.0, 5.0, 5.0, 0.0, 0.0, 0.0],
        partition: 0,
        admitted: &[90.0, 5.0, 5.0, 0.0, 0.0, 0.0],
    },
    ShareCase {
        name: "shares are proportional to usage",
        demand: &[180.0, 60.0],
        partition: 0,
        admitted: &[88.5, 31.5],
    },
    ShareCase {
        name: "each side of a partition has its share",
        demand: &[300.0, 0.0, 100.0, 100.0, 100.0, 100.0],
        partition: 2,
        admitted: &[38.0, 0.0, 20.0, 20.0, 20.0, 20.0],
    },
];

#[test]
fn shares_follow_usage() {
    for case in SHARES {
        for limit in [BY_REQUESTS, BY_TOKENS] {
            check_share(case, limit);
        }
    }
}

fn check_share(case: &ShareCase, limit: TeamLimit) {
    let mut simulation = LimitSimulation::new(case.demand.len(), limit, 5);
    simulation.partition(case.partition);
    simulation.demand = case.demand.to_vec();
    simulation.run(40);
    let rates = simulation.rates(10);
    for (rate, admitted) in rates.iter().zip(case.admitted) {
        let difference = (rate - admitted).abs();
        assert!(difference < 0.05 * LIMIT, "{}: {rates:?}, not {:?}", case.name, case.admitted);
    }
    let excess = simulation.max_excess();
    assert!(excess <= allowed_excess(case.demand.len()), "{}: excess {excess}", case.name);
}

/// Guards against exceeding the limit when links fail while traffic moves between routers.
struct LinkFailureCase {
    name: &'static str,
    phases: &'static [(u64, Links, [f64; 6])],
}

#[derive(Clone, Copy)]
enum Links {
    Connected,
    /// Routers below the index are partitioned from the others.
    Partitioned(usize),
    /// Reports are delivered only to and from the first router.
    Star,
    /// Reports are delivered only from lower to higher indexes.
    LowerToHigher,
}

const LINK_FAILURES: &[LinkFailureCase] = &[
    LinkFailureCase {
        name: "demand starts on both sides of a partition",
        phases: &[
            (20, Links::Connected, [0.0; 6]),
            (20, Links::Partitioned(3), [400.0, 0.0, 0.0, 400.0, 0.0, 0.0]),
        ],
    },
    LinkFailureCase {
        name: "the first router has the whole limit and is isolated",
        phases: &[
            (20, Links::Connected, [400.0, 0.0, 0.0, 0.0, 0.0, 0.0]),
            (20, Links::Partitioned(1), [400.0; 6]),
        ],
    },
    LinkFailureCase {
        name: "the last router has the whole limit and is isolated",
        phases: &[
            (20, Links::Connected, [0.0, 0.0, 0.0, 0.0, 0.0, 400.0]),
            (20, Links::Partitioned(5), [400.0; 6]),
        ],
    },
    LinkFailureCase {
        name: "star topology",
        phases: &[
            (20, Links::Connected, [0.0; 6]),
            (30, Links::Star, [0.0, 400.0, 400.0, 400.0, 400.0, 400.0]),
        ],
    },
    LinkFailureCase {
        name: "one-way links",
        phases: &[
            (20, Links::Connected, [0.0; 6]),
            (30, Links::LowerToHigher, [1.0, 5.0, 20.0, 80.0, 300.0, 900.0]),
        ],
    },
    LinkFailureCase {
        name: "changing partitions",
        phases: &[
            (20, Links::Partitioned(2), [0.0, 400.0, 0.0, 0.0, 400.0, 0.0]),
            (3, Links::Connected, [0.0, 400.0, 0.0, 0.0, 400.0, 0.0]),
            (20, Links::Partitioned(4), [400.0, 0.0, 400.0, 400.0, 0.0, 400.0]),
            (4, Links::Connected, [0.0, 0.0, 0.0, 0.0, 0.0, 400.0]),
            (20, Links::Partitioned(5), [400.0; 6]),
        ],
    },
];

#[test]
fn link_failures_keep_excess_bounded() {
    for case in LINK_FAILURES {
        for seed in 0..8 {
            check_link_failure(case, seed);
        }
    }
}

fn check_link_failure(case: &LinkFailureCase, seed: u64) {
    let mut simulation = LimitSimulation::new(6, BY_REQUESTS, seed);
    for (seconds, links, demand) in case.phases {
        match links {
            Links::Connected => simulation.partition(0),
            Links::Partitioned(at) => simulation.partition(*at),
            Links::Star => simulation.set_links(|to, from| to == 0 || from == 0),
            Links::LowerToHigher => simulation.set_links(|to, from| from < to),
        }
        simulation.demand = demand.to_vec();
        simulation.run(*seconds);
    }
    let excess = simulation.max_excess();
    assert!(excess <= allowed_excess(6), "{}: excess {excess}", case.name);
}

/// Guards against counting demand that partitioned routers could not have received, when partitions
/// coincide with moving traffic.
#[test]
fn partitions_with_moving_traffic_keep_excess_bounded() {
    fn check(seed: u64) -> bool {
        let routers = 6;
        let mut dice = TestRng(seed);
        let mut simulation = LimitSimulation::new(routers, BY_REQUESTS, seed);
        for _ in 0..6 {
            simulation.partition(dice.below(routers));
            // The next test covers links that change faster.
            for _ in 0..4 {
                randomize_demand(&mut simulation, &mut dice);
                simulation.run(2 + dice.below(4) as u64);
            }
        }
        simulation.max_excess() <= allowed_excess(routers)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 43))
        .tests(60)
        .quickcheck(check as fn(_) -> _);
}

/// Guards against exceeding the limit when one-way link failures and pauses change faster than
/// routers can detect them.
#[test]
fn flapping_one_way_links_keep_excess_bounded() {
    fn check(seed: u64) -> bool {
        let routers = 6;
        let mut dice = TestRng(seed);
        let mut simulation = LimitSimulation::new(routers, BY_REQUESTS, seed);
        for _ in 0..40 {
            let (to, from) = (dice.below(routers), dice.below(routers));
            simulation.links[to][from] = !simulation.links[to][from];
            simulation.control_paused[dice.below(routers)] = dice.below(4) == 0;
            randomize_demand(&mut simulation, &mut dice);
            simulation.run(1 + dice.below(3) as u64);
        }
        simulation.max_excess() <= allowed_excess(routers)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 44))
        .tests(60)
        .quickcheck(check as fn(_) -> _);
}

fn randomize_demand(simulation: &mut LimitSimulation, dice: &mut TestRng) {
    for demand in &mut simulation.demand {
        *demand = [0.0, 0.0, 5.0, 40.0, 400.0][dice.below(5)];
    }
}

/// A router that resumes after a pause must not use its old share, which the others have
/// reassigned.
#[test]
fn resumed_router_starts_with_equal_share() {
    let mut simulation = LimitSimulation::new(4, BY_REQUESTS, 5);
    simulation.demand[0] = 300.0;
    simulation.run(30);
    assert!(simulation.rates(5)[0] > 100.0);
    simulation.control_paused[0] = true;
    simulation.demand = vec![0.0, 300.0, 300.0, 300.0];
    simulation.run(20);
    simulation.demand[0] = 300.0;
    simulation.run(20);
    assert!(simulation.rates(5)[0] < 31.0, "{:?}", simulation.rates(5));
    assert!(simulation.max_excess() <= allowed_excess(4));
}

/// Requests of one team at one router, and the expected `retry_after` of the refused one.
struct RefusalCase {
    name: &'static str,
    limit: TeamLimit,
    /// Prompt tokens of simultaneous requests.
    prompts: &'static [u32],
    admitted: usize,
    retry_after_ms: u64,
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase {
        name: "third request at one per second",
        limit: TeamLimit { requests_per_s: 1.0, prompt_tokens_per_s: f64::INFINITY },
        prompts: &[5, 5, 5],
        admitted: 2,
        retry_after_ms: 1_000,
    },
    RefusalCase {
        name: "a prompt larger than the burst is admitted and leaves a debt",
        limit: TeamLimit { requests_per_s: 100.0, prompt_tokens_per_s: 1_000.0 },
        prompts: &[5_000, 10],
        admitted: 1,
        retry_after_ms: 3_010,
    },
    RefusalCase {
        name: "no limit",
        limit: TeamLimit { requests_per_s: f64::INFINITY, prompt_tokens_per_s: f64::INFINITY },
        prompts: &[1_000_000, 1_000_000, 1_000_000],
        admitted: 3,
        retry_after_ms: 0,
    },
];

#[test]
fn refusal_states_retry_after() {
    for case in REFUSALS {
        check_refusal(case);
    }
}

fn check_refusal(case: &RefusalCase) {
    let limiter = TeamLimiter::new(HostName::new("entry-0"), LimiterConf::default());
    let team = TeamName::new("museum");
    let now = Instant::now();
    let admit = |tokens, now| limiter.admit(&team, &case.limit, tokens, now);
    let answers: Vec<_> = case.prompts.iter().map(|tokens| admit(*tokens, now)).collect();
    let admitted = answers.iter().filter(|answer| answer.is_ok()).count();
    assert_eq!(admitted, case.admitted, "{}", case.name);
    let Some(Err(refusal)) = answers.last() else {
        return;
    };
    let retry_after = refusal.retry_after;
    assert!(
        retry_after.abs_diff(ms(case.retry_after_ms)) < ms(1),
        "{}: {retry_after:?}",
        case.name
    );
    let last = case.prompts[case.prompts.len() - 1];
    assert!(admit(last, now + retry_after - ms(5)).is_err(), "{}: admitted too early", case.name);
    assert!(
        admit(last, now + retry_after + ms(5)).is_ok(),
        "{}: refused after retry_after",
        case.name
    );
}

#[test]
fn busy_team_does_not_affect_others_and_idle_teams_are_removed() {
    let conf = LimiterConf { max_teams: 64, ..LimiterConf::default() };
    let limiter = TeamLimiter::new(HostName::new("entry-0"), conf);
    let limit = TeamLimit { requests_per_s: 1.0, prompt_tokens_per_s: f64::INFINITY };
    let start = Instant::now();
    let admit = |team: &str, now| limiter.admit(&TeamName::new(team), &limit, 1, now).is_ok();
    let admitted = (0..1_000).filter(|_| admit("crowd", start)).count();
    assert_eq!(admitted, 2);
    assert!(admit("other", start));
    for index in 0..2_000 {
        admit(&format!("team-{index}"), start);
    }
    assert!(limiter.team_count() <= 64, "{}", limiter.team_count());
    limiter.usage(start);
    limiter.usage(start + ms(61_000));
    assert_eq!(limiter.team_count(), 0);
}

/// Guards against keeping a larger burst from the old limit, and against crediting past time at the
/// new rate.
#[test]
fn changed_limit_applies_immediately() {
    let limit = |rate| TeamLimit { requests_per_s: rate, prompt_tokens_per_s: f64::INFINITY };
    for (before, after, admitted) in [(100.0, 1.0, 2), (1.0, 100.0, 2), (10.0, 10.0, 20)] {
        let limiter = TeamLimiter::new(HostName::new("entry-0"), LimiterConf::default());
        let (team, start) = (TeamName::new("museum"), Instant::now());
        assert!(limiter.admit(&team, &limit(before), 1, start).is_ok());
        let later = start + ms(10_000);
        let retries = (0..999).filter(|_| limiter.admit(&team, &limit(after), 1, later).is_ok());
        assert_eq!(retries.count(), admitted, "from {before} to {after} per second");
    }
}

#[test]
fn requests_that_did_not_run_are_refunded() {
    let limiter = TeamLimiter::new(HostName::new("entry-0"), LimiterConf::default());
    let limit = TeamLimit { requests_per_s: 1.0, prompt_tokens_per_s: 10.0 };
    let (team, now) = (TeamName::new("museum"), Instant::now());
    for _ in 0..10 {
        assert!(limiter.admit(&team, &limit, 20, now).is_ok());
        limiter.refund(&team, 20);
    }
}
