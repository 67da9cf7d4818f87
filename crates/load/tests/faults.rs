//! Schedules of faults, and readings of processor time.

use std::collections::HashMap;
use std::time::Duration;

use fulmargate_load::FaultKind;
use fulmargate_load::FaultPhase;
use fulmargate_load::FaultSchedule;
use fulmargate_load::processor_ticks;

const SLOT: Duration = Duration::from_secs(2);

#[test]
fn each_kind_comes_alone_twice_and_together() {
    for seed in 0..20 {
        let schedule = FaultSchedule::draw(seed, SLOT, &FaultKind::ALL);
        assert_eq!(schedule, FaultSchedule::draw(seed, SLOT, &FaultKind::ALL), "equal seeds");
        let mut phases: HashMap<(FaultKind, FaultPhase), usize> = HashMap::new();
        for slot in &schedule.slots {
            for fault in &slot.faults {
                *phases.entry((fault.kind, slot.phase)).or_insert(0) += 1;
            }
        }
        for kind in FaultKind::ALL {
            assert_eq!(phases.get(&(kind, FaultPhase::Alone)), Some(&1), "{kind:?}, seed {seed}");
            assert_eq!(phases.get(&(kind, FaultPhase::Twice)), Some(&2), "{kind:?}, seed {seed}");
            assert_eq!(
                phases.get(&(kind, FaultPhase::Together)),
                Some(&1),
                "{kind:?}, seed {seed}"
            );
        }
    }
}

#[test]
fn faults_lie_in_their_slots_and_the_second_comes_later() {
    let schedule = FaultSchedule::draw(3, SLOT, &FaultKind::ALL);
    for (index, slot) in (0..).zip(&schedule.slots) {
        let begin = SLOT * index;
        for fault in &slot.faults {
            assert!(begin <= fault.at && fault.at < begin + SLOT, "{slot:?}");
        }
        let times: Vec<Duration> = slot.faults.iter().map(|fault| fault.at).collect();
        match slot.phase {
            FaultPhase::Alone => assert_eq!(times.len(), 1),
            FaultPhase::Twice => assert!(times[0] < times[1], "{slot:?}"),
            FaultPhase::Together => assert_eq!(times[0], times[1], "{slot:?}"),
        }
    }
    assert!(schedule.faults().is_sorted_by_key(|fault| fault.at));
    assert_eq!(schedule.duration(), SLOT * schedule.slots.len() as u32);
}

#[test]
fn another_seed_gives_another_order() {
    let draw = |seed| FaultSchedule::draw(seed, SLOT, &FaultKind::ALL);
    assert_ne!(draw(1), draw(2));
}

struct ClockCase {
    stat: &'static str,
    ticks: Option<u64>,
}

#[test]
fn processor_times_are_read_whatever_the_name() {
    let cases = [
        ClockCase { stat: "7 (cat) R 1 2 3 0 -1 4194304 98 0 0 0 11 22 0 0 20", ticks: Some(33) },
        ClockCase { stat: "7 (a) b 9 (c)) S 1 2 3 0 -1 4194304 98 0 0 0 5 6 0 0", ticks: Some(11) },
        ClockCase { stat: "7 (cat) R 1 2 3", ticks: None },
        ClockCase { stat: "", ticks: None },
    ];
    for case in cases {
        assert_eq!(processor_ticks(case.stat), case.ticks, "{}", case.stat);
    }
}
