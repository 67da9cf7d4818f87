//! Parts of prompts that crash servers, on a clock of the test.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::CheckVerdict;
use fulmargate_dispatch::CrashReason;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::PartStanding;
use fulmargate_dispatch::ProbeOutcome;
use fulmargate_dispatch::RunEnd;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::RunSubject;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectConf;
use fulmargate_dispatch::SuspectReport;
use fulmargate_dispatch::SuspectTable;
use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use tokio::time::Instant;

const COMMON: u128 = 1;
const GUILTY: u128 = 2;
const SOUND: u128 = 3;
const OTHER: u128 = 4;
/// Time between two crashes, and from the begin of a run to its crash.
const PAUSE: Duration = Duration::from_millis(400);
const RUN_TIME: Duration = Duration::from_millis(100);
const HOSTS: usize = 6;
const UNIX_NOW: Duration = Duration::from_secs(1_700_000_000);

fn table(number: usize) -> SuspectTable {
    SuspectTable::new(HostName::new(&format!("h{number}")), SuspectConf::default())
}

fn subject(fingerprint: u128, parts: &[u128]) -> RunSubject {
    RunSubject { fingerprint, parts: Arc::from(parts), weights: Some(WeightsVersion(1)) }
}

/// A crash of one server at this time, and the parts of the requests that run there.
#[derive(Clone, Copy)]
struct Crash {
    at: Duration,
    server: u64,
    /// Each with the time since its begin.
    aboard: &'static [(&'static [u128], Duration)],
}

/// Plays crashes and sound runs at one host.
struct PartPlay {
    table: SuspectTable,
    start: Instant,
    requests: u128,
}

impl PartPlay {
    fn new() -> PartPlay {
        PartPlay { table: table(0), start: Instant::now(), requests: 1 << 64 }
    }

    fn begin(&mut self, parts: &[u128], server: u64, at: Duration) -> u64 {
        self.requests += 1;
        let subject = subject(self.requests, parts);
        self.table.begin_run(subject, ServerKey(server), self.start + at)
    }

    fn crash(&mut self, crash: &Crash) {
        let mut runs = Vec::new();
        for (parts, run_time) in crash.aboard {
            runs.push(self.begin(parts, crash.server, crash.at.saturating_sub(*run_time)));
        }
        let (server, at) = (ServerKey(crash.server), self.start + crash.at);
        for run in runs {
            self.table.end_run(run, RunEnd::Unclear, at);
        }
        self.table.begin_check(server, at);
        self.table.record_probe(server, ProbeOutcome::Failed, at);
        let verdict = CheckVerdict::Crashed(CrashReason::UnreachedByAll);
        self.table.finish_check(server, verdict, at);
    }

    fn crash_under(&mut self, server: u64, aboard: &'static [(&'static [u128], Duration)]) {
        self.crash(&Crash { at: PAUSE * server as u32, server, aboard });
    }

    fn complete(&mut self, parts: &[u128], began: Duration) {
        let run = self.begin(parts, 1_000, began);
        self.table.record_answering(run, self.start + began + RUN_TIME);
        self.table.end_run(run, RunEnd::Answered, self.start + began + RUN_TIME);
    }

    fn standing(&mut self, parts: &[u128]) -> PartStanding {
        self.table.part_standing(parts)
    }
}

/// Requests under which each server ends: the guilty part after the common one.
const GUILTY_RUN: &[(&[u128], Duration)] = &[(&[COMMON, GUILTY], RUN_TIME)];

/// Guards against crashes that are counted for each request alone: no two of them are alike.
#[test]
fn a_part_is_convicted_at_the_fifth_crash() {
    let mut play = PartPlay::new();
    for server in 1..=4 {
        play.crash_under(server, GUILTY_RUN);
        play.complete(&[COMMON, SOUND], PAUSE * server as u32 + Duration::from_millis(10));
        assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Clear, "crash {server}");
    }
    assert_eq!(play.standing(&[COMMON, GUILTY]), PartStanding::Tried(GUILTY));
    play.crash_under(5, GUILTY_RUN);
    assert_eq!(play.standing(&[COMMON, GUILTY]), PartStanding::Convicted(GUILTY));
    assert_eq!(play.standing(&[OTHER, GUILTY, SOUND]), PartStanding::Convicted(GUILTY));
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Clear);
}

struct StandingCase {
    name: &'static str,
    crashes: Vec<Crash>,
    parts: &'static [u128],
    standing: PartStanding,
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn crash(server: u64, at_ms: u64, aboard: &'static [(&'static [u128], Duration)]) -> Crash {
    Crash { at: millis(at_ms), server, aboard }
}

const RACK_RUN: &[(&[u128], Duration)] = &[(&[COMMON, SOUND], millis(250))];
const LONG_RUN: &[(&[u128], Duration)] = &[(&[COMMON, GUILTY], millis(2_000))];

/// Guards against parts that are convicted or tried because many servers end together.
#[test]
fn servers_that_end_together_convict_no_part() {
    let cases = [
        StandingCase {
            name: "a rack of eight servers",
            crashes: vec![
                crash(1, 1_000, RACK_RUN),
                crash(2, 1_000, RACK_RUN),
                crash(3, 1_010, RACK_RUN),
                crash(4, 1_020, RACK_RUN),
                crash(5, 1_040, RACK_RUN),
                crash(6, 1_080, RACK_RUN),
                crash(7, 1_100, RACK_RUN),
                crash(8, 1_200, RACK_RUN),
            ],
            parts: &[COMMON, SOUND],
            standing: PartStanding::Clear,
        },
        StandingCase {
            name: "a rack, and a crash long after",
            crashes: vec![
                crash(1, 1_000, RACK_RUN),
                crash(2, 1_000, RACK_RUN),
                crash(3, 1_000, RACK_RUN),
                crash(4, 1_000, RACK_RUN),
                crash(5, 5_000, RACK_RUN),
            ],
            parts: &[COMMON, SOUND],
            standing: PartStanding::Tried(SOUND),
        },
        StandingCase {
            name: "runs that began before the first crash",
            crashes: vec![
                crash(1, 1_000, LONG_RUN),
                crash(2, 1_400, LONG_RUN),
                crash(3, 1_800, LONG_RUN),
                crash(4, 2_200, LONG_RUN),
                crash(5, 2_600, LONG_RUN),
            ],
            parts: &[COMMON, GUILTY],
            standing: PartStanding::Clear,
        },
    ];
    for case in cases {
        let mut play = PartPlay::new();
        case.crashes.iter().for_each(|crash| play.crash(crash));
        assert_eq!(play.standing(case.parts), case.standing, "{}", case.name);
    }
}

/// Guards against a sound part that is convicted since it was aboard each crash of a guilty one.
#[test]
fn parts_that_crashed_together_are_told_apart() {
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(server, GUILTY_RUN);
    }
    let both = play.standing(&[COMMON, GUILTY]);
    assert_eq!(both, PartStanding::Convicted(COMMON), "a request that holds both");
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Tried(COMMON));
    assert_eq!(play.standing(&[OTHER, GUILTY]), PartStanding::Tried(GUILTY));
    play.complete(&[COMMON, SOUND], PAUSE * 6);
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Clear);
    assert_eq!(play.standing(&[OTHER, GUILTY]), PartStanding::Convicted(GUILTY));
}

/// Guards against the same where the trials of the guilty part crash servers.
#[test]
fn a_trial_that_crashes_tells_rivals_apart() {
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(server, GUILTY_RUN);
    }
    for server in 6..=7 {
        assert_eq!(play.standing(&[OTHER, GUILTY]), PartStanding::Tried(GUILTY));
        play.crash_under(server, &[(&[OTHER, GUILTY], RUN_TIME)]);
    }
    assert_eq!(play.standing(&[OTHER, GUILTY]), PartStanding::Convicted(GUILTY));
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Tried(COMMON));
    play.complete(&[COMMON, SOUND], PAUSE * 8);
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Clear);
    assert_eq!(play.standing(&[SOUND, GUILTY]), PartStanding::Convicted(GUILTY));
}

/// Guards against a common part that is convicted as it was aboard the crashes of two guilty ones, of which neither has
/// five.
#[test]
fn a_part_beside_two_guilty_ones_is_not_convicted() {
    let mut play = PartPlay::new();
    for server in 1..=3 {
        play.crash_under(2 * server, &[(&[COMMON, GUILTY], RUN_TIME)]);
        play.crash_under(2 * server + 1, &[(&[COMMON, OTHER], RUN_TIME)]);
    }
    assert_eq!(play.table.part_crash_count(COMMON), 6);
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Tried(COMMON));
}

/// Guards against a common part that reaches five crashes before the guilty one, by one crash of another cause.
#[test]
fn a_part_with_one_crash_more_than_the_guilty_one_is_not_convicted() {
    let mut play = PartPlay::new();
    for server in 1..=4 {
        play.crash_under(server, GUILTY_RUN);
    }
    play.crash_under(5, &[(&[COMMON, SOUND], RUN_TIME)]);
    assert_eq!(play.table.part_crash_count(COMMON), 5);
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Tried(COMMON));
}

/// Guards against two guilty parts of which one is taken for explained by the other.
#[test]
fn two_guilty_parts_are_both_convicted() {
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(2 * server, &[(&[COMMON, GUILTY], RUN_TIME)]);
        play.crash_under(2 * server + 1, &[(&[COMMON, OTHER], RUN_TIME)]);
        play.complete(&[COMMON, SOUND], PAUSE * (2 * server as u32 + 1) + RUN_TIME);
    }
    assert_eq!(play.standing(&[COMMON, GUILTY]), PartStanding::Convicted(GUILTY));
    assert_eq!(play.standing(&[COMMON, OTHER]), PartStanding::Convicted(OTHER));
    assert_eq!(play.standing(&[COMMON, SOUND]), PartStanding::Clear);
}

/// Guards against evidence that is withdrawn by a run which says nothing of it, and against evidence that stays.
#[test]
fn only_a_later_run_on_these_weights_withdraws_a_crash() {
    let crash_time = PAUSE * 6;
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(server, GUILTY_RUN);
    }
    play.complete(&[GUILTY], Duration::ZERO);
    assert_eq!(play.table.part_crash_count(GUILTY), 5, "began before");
    let older = RunSubject { weights: None, ..subject(9, &[GUILTY]) };
    let run = play.table.begin_run(older, ServerKey(1_000), play.start + crash_time);
    play.table.record_answering(run, play.start + crash_time + RUN_TIME);
    assert_eq!(play.table.part_crash_count(GUILTY), 5, "on older weights");
    play.complete(&[GUILTY], crash_time);
    assert_eq!(play.table.part_crash_count(GUILTY), 0, "began after");
}

/// Guards against crashes that count against requests which were being answered.
#[test]
fn a_run_that_is_answered_is_no_evidence() {
    let mut play = PartPlay::new();
    let run = play.begin(&[COMMON, SOUND], 1, Duration::ZERO);
    play.table.record_answering(run, play.start + RUN_TIME);
    play.crash_under(1, GUILTY_RUN);
    assert_eq!(play.table.part_crash_count(SOUND), 0);
    assert_eq!(play.table.part_crash_count(GUILTY), 1);
}

/// Guards against convictions that never end.
#[test]
fn a_conviction_ends_by_itself() {
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(server, GUILTY_RUN);
    }
    let retention = SuspectConf::default().retention;
    play.table.take_report(HOSTS, play.start + retention - PAUSE);
    assert_eq!(play.standing(&[COMMON, GUILTY]), PartStanding::Convicted(COMMON));
    play.table.take_report(HOSTS, play.start + retention + PAUSE * 6);
    assert_eq!(play.standing(&[COMMON, GUILTY]), PartStanding::Clear);
}

/// Guards against evidence on parts that is lost when all hosts are killed.
#[test]
fn the_store_keeps_what_convicts_a_part() {
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(server, GUILTY_RUN);
    }
    let now = play.start + PAUSE * 6;
    let mut started = table(1);
    for record in play.table.take_due_writes(UNIX_NOW, now) {
        if let FleetRecord::SuspectParts { slot, entries } = record {
            started.apply_stored_parts(slot, &entries, UNIX_NOW, now);
        }
    }
    assert_eq!(started.part_standing(&[COMMON, GUILTY]), PartStanding::Convicted(COMMON));
}

/// Guards against requests that wait for a trial without bound, and against trials at two hosts at a time.
#[test]
fn trials_are_bounded_and_one_at_a_time() {
    let mut play = PartPlay::new();
    for server in 1..=3 {
        play.crash_under(server, GUILTY_RUN);
    }
    let now = play.start + PAUSE * 4;
    let servers = [ServerKey(100), ServerKey(101), ServerKey(102)];
    let first = play.table.open_trial(GUILTY).expect("a trial");
    let second = play.table.open_trial(GUILTY).expect("a second one");
    play.table.try_begin(GUILTY, first, &servers, now);
    play.table.take_report(HOSTS, now);
    let step = play.table.try_begin(GUILTY, first, &servers, now + PAUSE);
    assert!(matches!(step, RunStep::RunAt(_)), "{step:?}");
    let step = play.table.try_begin(GUILTY, second, &servers, now + PAUSE);
    assert!(matches!(step, RunStep::Wait(_)), "{step:?}");
    let opened = (0..100).filter_map(|_| play.table.open_trial(GUILTY)).count();
    assert!(opened < 20, "{opened} more requests wait");
    play.table.close_trial(GUILTY, first, now + PAUSE);
    play.table.try_begin(GUILTY, second, &servers, now + PAUSE);
    play.table.take_report(HOSTS, now + PAUSE);
    let step = play.table.try_begin(GUILTY, second, &servers, now + 2 * PAUSE);
    assert!(matches!(step, RunStep::RunAt(_)), "{step:?}");
}

fn report(play: &mut PartPlay, now: Instant) -> SuspectReport {
    play.table.take_report(HOSTS, now)
}

/// Guards against evidence that depends on the order and the number of messages.
#[test]
fn reports_merge_in_any_order() {
    fn holds(order: u64) -> TestResult {
        let mut play = PartPlay::new();
        let mut reports = Vec::new();
        for server in 1..=6 {
            play.crash_under(server, GUILTY_RUN);
            if server == 3 {
                play.complete(&[COMMON, SOUND], PAUSE * 3 + Duration::from_millis(10));
            }
            let now = play.start + PAUSE * (server as u32) + RUN_TIME;
            reports.push((now, report(&mut play, now)));
        }
        let own = [play.standing(&[COMMON, GUILTY]), play.standing(&[COMMON])];
        let (mut other, from) = (table(1), HostName::new("h0"));
        let numbers: Vec<usize> =
            order.to_le_bytes().iter().map(|byte| usize::from(*byte) % reports.len()).collect();
        for number in numbers.into_iter().chain(0..reports.len()) {
            let (now, report) = &reports[number];
            other.merge(&from, report, *now);
        }
        let merged = [other.part_standing(&[COMMON, GUILTY]), other.part_standing(&[COMMON])];
        TestResult::from_bool(own == merged)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(8, 60));
    check.quickcheck(holds as fn(u64) -> TestResult);
}

/// Guards against parts made up by a caller that take the room of those which crash servers.
#[test]
fn made_up_parts_do_not_displace_a_guilty_one() {
    let mut play = PartPlay::new();
    for server in 1..=5 {
        play.crash_under(server, GUILTY_RUN);
    }
    for number in 0..100 {
        let parts: Vec<u128> = (0..100).map(|part| 1_000 + number * 100 + part).collect();
        let server = 10 + number as u64;
        let at = PAUSE * (10 + number as u32);
        play.begin(&parts, server, at - RUN_TIME);
        play.crash(&Crash { at, server, aboard: &[] });
    }
    assert_eq!(play.standing(&[COMMON, GUILTY]), PartStanding::Convicted(COMMON));
}
