//! Quotas of teams over all routers.

mod support;

use std::time::Duration;

use fulmargate_admission::QuotaConf;
use fulmargate_admission::QuotaTracker;
use fulmargate_admission::QuotaUnit;
use fulmargate_admission::TeamQuota;
use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::Dice;
use support::quota_world::QuotaWorld;
use support::quota_world::ZONES;
use support::quota_world::conf;
use support::quota_world::quota;
use tokio::time::Instant;

/// A load or failure that a quota must hold under, and what must still be admitted.
struct QuotaCase {
    name: &'static str,
    rate_per_s: f64,
    play: fn(&mut QuotaWorld, f64),
    /// Share of the rate that is admitted in the last four seconds, at least.
    least_share: f64,
}

/// What a team asks for usually, as a share of its quota.
const USUAL: f64 = 0.55;

const CASES: &[QuotaCase] = &[
    QuotaCase {
        name: "a hot team at eight times its quota",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.run(6.0);
            world.spread(8.0 * rate);
            world.run(12.0);
        },
        least_share: 0.9,
    },
    QuotaCase {
        name: "a small hot team, whose quota carries a few requests a second",
        rate_per_s: 29_000.0,
        play: |world, rate| {
            world.run(6.0);
            world.spread(8.0 * rate);
            world.run(12.0);
        },
        least_share: 0.8,
    },
    QuotaCase {
        name: "a quota is lowered far below what the team sends, and raised again",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.run(6.0);
            world.change(Some(quota(0.1 * rate, 0.1 * rate)));
            world.run(16.0);
            world.change(Some(quota(rate, rate)));
            world.run(12.0);
        },
        least_share: 0.9 * USUAL,
    },
    QuotaCase {
        name: "a quota is removed and given again during a cut",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.run(4.0);
            world.cut[0] = true;
            world.change(None);
            world.run(6.0);
            world.change(Some(quota(rate, rate)));
            world.spread(2.0 * rate);
            world.run(14.0);
            world.cut[0] = false;
            world.run(10.0);
        },
        least_share: 0.8,
    },
    QuotaCase {
        name: "a team that meets one host only moves to another",
        rate_per_s: 200_000.0,
        play: |world, rate| {
            let usual = world.demand.iter().sum::<f64>();
            world.demand.fill(0.0);
            world.demand[0] = usual;
            world.run(8.0);
            world.demand[0] = 0.0;
            world.demand[1] = 4.0 * rate;
            world.run(14.0);
        },
        least_share: 0.9,
    },
    QuotaCase {
        name: "a zone is cut off while the team is hot",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.run(6.0);
            world.cut[1] = true;
            world.spread(4.0 * rate);
            world.run(9.0);
            world.cut[1] = false;
            world.run(9.0);
        },
        least_share: 0.8,
    },
    QuotaCase {
        name: "all zones are cut from each other",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.run(6.0);
            world.cut = [true; ZONES];
            world.spread(4.0 * rate);
            world.run(16.0);
        },
        least_share: 0.8,
    },
    QuotaCase {
        name: "all hosts are restarted at once while the team is hot",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.spread(4.0 * rate);
            world.run(6.0);
            for router in 0..world.demand.len() {
                world.restart(router);
            }
            world.run(10.0);
        },
        least_share: 0.9,
    },
    QuotaCase {
        name: "hosts are restarted one after the other under their names",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.spread(4.0 * rate);
            world.run(4.0);
            for router in 0..world.demand.len() {
                world.restart(router);
                world.run(0.3);
            }
            world.run(6.0);
        },
        least_share: 0.9,
    },
    QuotaCase {
        name: "a relay is lost",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.run(6.0);
            world.lost_relay = Some(2);
            world.spread(4.0 * rate);
            world.run(0.5);
            world.lost_relay = None;
            world.run(10.0);
        },
        least_share: 0.9,
    },
    QuotaCase {
        name: "a third of the hosts is frozen for five seconds",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.spread(4.0 * rate);
            world.run(6.0);
            for router in 0..world.demand.len() / 3 {
                world.frozen[router] = true;
            }
            world.run(5.0);
            world.frozen.fill(false);
            world.run(10.0);
        },
        least_share: 0.9,
    },
    QuotaCase {
        name: "reports come late, repeated and out of order",
        rate_per_s: 400_000.0,
        play: |world, rate| {
            world.disorder = 10;
            world.run(6.0);
            world.spread(4.0 * rate);
            world.run(12.0);
        },
        least_share: 0.8,
    },
];

/// What is wrong with a case; nothing if it holds.
fn check(case: &QuotaCase, routers: usize) -> Option<String> {
    let rate = case.rate_per_s;
    let mut world = QuotaWorld::new(routers, Some(quota(rate, rate)), 7);
    world.spread(USUAL * rate);
    (case.play)(&mut world, rate);
    let excess = world.worst_excess();
    let share = world.rate(4) / rate;
    println!("{routers:4} {:70} excess {excess:6.3} share {share:5.2}", case.name);
    let holds = excess <= 0.0 && case.least_share <= share;
    let figures = format!("{excess:.3} over the bound, {share:.3} of the rate");
    (!holds).then(|| format!("{} at {routers}: {figures}", case.name))
}

#[test]
fn quotas_hold_over_all_hosts() {
    let cases = [8, 66].into_iter().flat_map(|routers| CASES.iter().map(move |it| (it, routers)));
    let faults: Vec<String> = cases.filter_map(|(case, routers)| check(case, routers)).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

#[test]
fn quotas_hold_over_hundreds_of_hosts() {
    let faults: Vec<String> = CASES[..2].iter().filter_map(|case| check(case, 195)).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A request below the quota that is refused is lost for nothing.
#[test]
fn nothing_below_a_quota_is_refused() {
    let mut faults = Vec::new();
    for (routers, rate) in [(8, 29_000.0), (66, 29_000.0), (66, 1_000_000.0), (195, 200_000.0)] {
        let mut world = QuotaWorld::new(routers, Some(quota(rate, rate)), 11);
        world.run(4.0);
        world.spread(USUAL * rate);
        world.run(30.0);
        let share = world.refused_requests as f64 / world.requests as f64;
        println!("{routers} {rate} refused {} of {}", world.refused_requests, world.requests);
        faults.extend((0.001 <= share).then(|| format!("{routers} hosts, {rate}/s: {share:.4}")));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

const SCHEDULES: u64 = 30;

struct PlainCase {
    name: &'static str,
    quota: TeamQuota,
    cost: u64,
    /// Requests that a lone router admits in a minute of steady demand above the quota.
    admitted: std::ops::RangeInclusive<usize>,
}

const PLAIN: &[PlainCase] = &[
    PlainCase {
        name: "a rate without a burst",
        quota: TeamQuota { rate_per_s: 5.0, burst: 0.0, unit: QuotaUnit::Requests },
        cost: 1,
        admitted: 270..=300,
    },
    PlainCase {
        name: "less than a request a second",
        quota: TeamQuota { rate_per_s: 0.5, burst: 0.0, unit: QuotaUnit::Requests },
        cost: 1,
        admitted: 26..=30,
    },
    PlainCase {
        name: "a request that is larger than the burst",
        quota: TeamQuota { rate_per_s: 1_000.0, burst: 2_000.0, unit: QuotaUnit::Requests },
        cost: 10_000,
        admitted: 5..=8,
    },
];

/// A bucket without a margin that holds less than one request would admit none for good.
#[test]
fn quotas_without_a_margin_admit_their_rate() {
    let conf = QuotaConf { overage: 0.0, slack: 0.0, ..conf() };
    for case in PLAIN {
        let start = Instant::now();
        let mut tracker = QuotaTracker::new(HostName::new("entry-0"), 1, conf);
        let team = TeamName::new("museum");
        tracker.set_routers(std::iter::empty(), start);
        let asks = (0..600).map(|step| start + Duration::from_millis(100 * step));
        let admit = |now: &Instant| tracker.admit(&team, &case.quota, case.cost, *now).is_ok();
        let admitted = asks.filter(admit).count();
        assert!(case.admitted.contains(&admitted), "{}: {admitted}", case.name);
    }
}

/// Random schedules of cuts, starts, freezes, lost relays, hot teams and changes.
fn play_schedule(seed: u64) -> bool {
    let mut dice = Dice(seed);
    let routers = [3, 8, 24, 66][dice.below(4)];
    let rate = [29_000.0, 120_000.0, 400_000.0, 1_000_000.0][dice.below(4)];
    let mut world = QuotaWorld::new(routers, Some(quota(rate, rate)), seed);
    world.spread(USUAL * rate);
    world.run(3.0);
    for _ in 0..12 {
        match dice.below(9) {
            0 => world.spread([0.3, 0.9, 4.0, 8.0][dice.below(4)] * rate),
            1 => world.cut[dice.below(ZONES)] = true,
            2 => world.cut = [false; ZONES],
            3 => (0..routers).for_each(|router| world.restart(router)),
            4 => world.restart(dice.below(routers)),
            5 => world.frozen[dice.below(routers)] = true,
            6 => world.frozen.fill(false),
            7 => world.lost_relay = [None, Some(0), Some(1)][dice.below(3)],
            _ => {
                let part = [0.1, 0.5, 1.0, 2.0][dice.below(4)];
                world.change(Some(quota(part * rate, part * rate)));
            }
        }
        world.run(0.2 + dice.below(40) as f64 / 10.0);
        if world.lost_relay.is_some() {
            world.lost_relay = None;
        }
    }
    let excess = world.worst_excess();
    if 0.0 < excess {
        println!("seed {seed}: {routers} hosts, {rate}/s: {excess:.3} over the bound");
    }
    excess <= 0.0
}

#[test]
fn quotas_hold_under_random_schedules() {
    QuickCheck::new()
        .tests(SCHEDULES)
        .rng(Gen::from_size_and_seed(100, 23))
        .quickcheck(play_schedule as fn(u64) -> bool);
}
