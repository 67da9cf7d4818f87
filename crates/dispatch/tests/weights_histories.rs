//! No host takes weights for younger than they are, whatever it has read and been told.

mod support;

use std::time::Duration;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::weights_fleet::HistoryPlan;
use support::weights_fleet::WeightsFleet;
use support::weights_host::AgeSource;
use support::weights_host::ReadTime;
use support::weights_judge::JudgeOutcome;

const HISTORIES: u64 = 60;

fn play(seed: u64, age_source: AgeSource, read_time: ReadTime) -> JudgeOutcome {
    let plan = HistoryPlan {
        hosts: 3 + (seed % 6) as usize,
        run_ms: 30_000,
        bound: Duration::from_secs(if seed.is_multiple_of(2) { 6 } else { 8 }),
        faults_per_s: 0.2 + 0.4 * (seed % 5) as f64,
        bad_call_share: 0.1 * (seed % 3) as f64,
        all_killed: seed.is_multiple_of(4).then_some(12_000),
        age_source,
        read_time,
    };
    WeightsFleet::drawn(plan, seed).run()
}

/// Guards against any order of reads, starts, cuts, freezes and replies after which a prompt may begin beyond the bound
/// of the first newer version, and against ages that hosts know and do not pass on.
#[test]
fn no_history_makes_weights_younger() {
    fn holds(seed: u64) -> bool {
        let outcome = play(seed, AgeSource::Proofs, ReadTime::LastSent);
        if let Some(story) = &outcome.first {
            println!("seed {seed}: {story}");
        }
        let is_sound = outcome.younger == 0 && outcome.unread == 0 && outcome.late == 0;
        is_sound && outcome.lost_ages == 0 && 0 < outcome.compared && 0 < outcome.replies
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000_000, 57))
        .tests(HISTORIES)
        .quickcheck(holds as fn(u64) -> bool);
}

struct FaultCase {
    name: &'static str,
    age_source: AgeSource,
    read_time: ReadTime,
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        name: "the age of the newest version for all before it",
        age_source: AgeSource::NewestVersion,
        read_time: ReadTime::LastSent,
    },
    FaultCase {
        name: "ages that count from the arrival of the reply",
        age_source: AgeSource::ReplyTime,
        read_time: ReadTime::LastSent,
    },
    FaultCase {
        name: "ages from before the boot",
        age_source: AgeSource::SinceBoot,
        read_time: ReadTime::LastSent,
    },
    FaultCase {
        name: "records that count from their arrival",
        age_source: AgeSource::Proofs,
        read_time: ReadTime::Arrival,
    },
];

/// Guards against a judge that sees no fault, with hosts that get ages wrong as earlier releases did.
#[test]
fn the_judge_counts_late_starts_of_each_fault() {
    for case in FAULT_CASES {
        let outcomes = (0..HISTORIES).map(|seed| play(seed, case.age_source, case.read_time));
        let late: usize = outcomes.map(|outcome| outcome.late).sum();
        println!("{}: {late} late", case.name);
        assert!(0 < late, "{}", case.name);
    }
}

/// Guards against a judge that sees no refusal, with hosts that ask and do not use the replies.
#[test]
fn the_judge_counts_ages_that_are_not_used() {
    let outcomes = (0..HISTORIES).map(|seed| play(seed, AgeSource::OwnReads, ReadTime::LastSent));
    let lost_ages: usize = outcomes.map(|outcome| outcome.lost_ages).sum();
    assert!(0 < lost_ages);
}
