//! Evidence on requests that crash servers: verdicts on servers, merging, turns, and what the store keeps.

mod support;

use std::time::Duration;

use fulmargate_dispatch::CheckInputs;
use fulmargate_dispatch::CheckVerdict;
use fulmargate_dispatch::ClaimNotice;
use fulmargate_dispatch::ClaimStage;
use fulmargate_dispatch::CrashNotice;
use fulmargate_dispatch::CrashProof;
use fulmargate_dispatch::CrashReason;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::ProbeNotice;
use fulmargate_dispatch::ProbeOutcome;
use fulmargate_dispatch::RunEnd;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::RunSubject;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::StoredSuspect;
use fulmargate_dispatch::SuspectConf;
use fulmargate_dispatch::SuspectNotice;
use fulmargate_dispatch::SuspectReport;
use fulmargate_dispatch::SuspectTable;
use fulmargate_names::HostName;
use indexmap::IndexSet;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::key;
use tokio::time::Instant;

const PRINT: u128 = 7;
const HOSTS: usize = 3;
const UNIX_NOW: Duration = Duration::from_secs(1_000_000);
/// A gossip message is received within this time.
const SETTLE_TIME: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(10);

fn host(number: usize) -> HostName {
    HostName::new(&format!("host-{number}"))
}

fn table(number: usize) -> SuspectTable {
    let mut table = SuspectTable::new(host(number), SuspectConf::default());
    table.set_settle_time(SETTLE_TIME);
    table
}

/// The server crashes while this host runs the request there, and the host finds out.
fn crash(table: &mut SuspectTable, fingerprint: u128, server: ServerKey, now: Instant) {
    let run = table.begin_run(RunSubject::plain(fingerprint), server, now);
    table.begin_check(server, now);
    table.end_run(run, RunEnd::Unclear, now);
    table.record_probe(server, ProbeOutcome::Failed, now);
    table.finish_check(server, CheckVerdict::Crashed(CrashReason::UnreachedByAll), now);
}

struct CrashCase {
    name: &'static str,
    /// Servers that crashed while they ran the request.
    crashes: &'static [&'static str],
    is_rejected: bool,
}

const CRASHES: &[CrashCase] = &[
    CrashCase { name: "one crash", crashes: &["a"], is_rejected: false },
    CrashCase {
        name: "repeated reports of one server",
        crashes: &["a", "a", "a"],
        is_rejected: false,
    },
    CrashCase { name: "crashes of three servers", crashes: &["a", "b", "c"], is_rejected: true },
];

#[test]
fn a_request_is_blocked_after_crashing_three_servers() {
    let now = Instant::now();
    for case in CRASHES {
        let mut table = table(0);
        for server in case.crashes {
            crash(&mut table, PRINT, key(server), now);
        }
        assert_eq!(table.is_convicted(PRINT, now), case.is_rejected, "{}", case.name);
        assert!(!table.is_convicted(8, now), "{}: another request", case.name);
    }
}

#[test]
fn a_completed_request_is_no_longer_blocked() {
    let now = Instant::now();
    let mut table = table(0);
    for server in ["a", "b", "c"] {
        crash(&mut table, PRINT, key(server), now);
    }
    assert_eq!(table.clear(PRINT, now), 3);
    assert!(!table.is_convicted(PRINT, now));
}

struct VerdictCase {
    name: &'static str,
    inputs: CheckInputs,
    verdict: CheckVerdict,
}

/// A server that is listed and that this host does not reach.
const UNREACHED: CheckInputs = CheckInputs {
    own_reached: Some(false),
    others_reached: 0,
    others_failed: 0,
    others_isolated: 0,
    others_cut: 0,
    peers: 5,
    is_fleet_whole: false,
    is_control_reached: false,
    is_listed: true,
    is_confirmed: false,
    has_survived: false,
    age: Duration::from_millis(30),
    asked: Some(Duration::from_millis(30)),
};
const LATER: Duration = Duration::from_millis(1_500);

const VERDICTS: &[VerdictCase] = &[
    VerdictCase {
        name: "the process has answered since, and its entry is removed later",
        inputs: CheckInputs { is_listed: false, has_survived: true, ..UNREACHED },
        verdict: CheckVerdict::Reached,
    },
    VerdictCase {
        name: "another host takes the end of the entry for a crash",
        inputs: CheckInputs { is_confirmed: true, has_survived: true, ..UNREACHED },
        verdict: CheckVerdict::Reached,
    },
    VerdictCase {
        name: "the whole service is down, and no other host reaches it",
        inputs: CheckInputs { others_failed: 3, ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::UnreachedByAll),
    },
    VerdictCase {
        name: "this host is cut off from the service",
        inputs: CheckInputs { others_reached: 1, others_failed: 2, ..UNREACHED },
        verdict: CheckVerdict::Cut,
    },
    VerdictCase {
        name: "this host is cut off from one server of several",
        inputs: CheckInputs { others_reached: 1, is_control_reached: true, ..UNREACHED },
        verdict: CheckVerdict::Cut,
    },
    VerdictCase {
        name: "no host has answered yet",
        inputs: CheckInputs { is_control_reached: true, ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "no host answers",
        inputs: CheckInputs { is_control_reached: true, asked: Some(LATER), ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::OthersReached),
    },
    VerdictCase {
        name: "no host answers, and nothing is reached",
        inputs: CheckInputs { asked: Some(LATER), ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "one of two hosts answers at once",
        inputs: CheckInputs { others_failed: 1, ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "one host has answered for a while",
        inputs: CheckInputs { others_failed: 1, asked: Some(LATER), ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::UnreachedByAll),
    },
    VerdictCase {
        name: "a host that reaches no server has no say",
        inputs: CheckInputs { others_isolated: 1, asked: Some(LATER), ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "three hosts are cut off from the others and from all servers",
        inputs: CheckInputs { others_isolated: 2, peers: 2, asked: Some(LATER), ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "no host of the whole fleet reaches any server",
        inputs: CheckInputs { others_isolated: 3, peers: 3, is_fleet_whole: true, ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::UnreachedByAll),
    },
    VerdictCase {
        name: "this host is the last one to be cut off",
        inputs: CheckInputs {
            others_isolated: 3,
            others_cut: 3,
            peers: 3,
            is_fleet_whole: true,
            ..UNREACHED
        },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "one of the hosts was cut off before the service went down",
        inputs: CheckInputs {
            others_isolated: 3,
            others_cut: 1,
            peers: 3,
            is_fleet_whole: true,
            ..UNREACHED
        },
        verdict: CheckVerdict::Crashed(CrashReason::UnreachedByAll),
    },
    VerdictCase {
        name: "this host's attempt took long, and the others were asked a moment ago",
        inputs: CheckInputs { is_control_reached: true, age: LATER, ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "some hosts have not answered yet",
        inputs: CheckInputs { others_isolated: 2, peers: 3, is_fleet_whole: true, ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "there is no other host",
        inputs: CheckInputs { peers: 0, ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::NoPeers),
    },
    VerdictCase {
        name: "another server took the address before the first look",
        inputs: CheckInputs { own_reached: Some(true), is_listed: false, ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::Unlisted),
    },
    VerdictCase {
        name: "the server takes connections",
        inputs: CheckInputs { own_reached: Some(true), ..UNREACHED },
        verdict: CheckVerdict::Reached,
    },
    VerdictCase {
        name: "a local network fault is suspected",
        inputs: CheckInputs { own_reached: None, others_failed: 3, ..UNREACHED },
        verdict: CheckVerdict::Undecided,
    },
    VerdictCase {
        name: "another host has confirmed the crash",
        inputs: CheckInputs { own_reached: None, is_confirmed: true, ..UNREACHED },
        verdict: CheckVerdict::Crashed(CrashReason::Confirmed),
    },
];

/// Guards against crashes that are taken for cuts, and cuts that are taken for crashes.
#[test]
fn a_crash_is_told_from_a_cut() {
    for case in VERDICTS {
        assert_eq!(case.inputs.verdict(), case.verdict, "{}", case.name);
    }
}

/// Guards against a crash that is missed because its run was given up before the server ended.
#[test]
fn a_run_that_was_given_up_counts_for_a_while() {
    struct GivenUpCase {
        name: &'static str,
        end: RunEnd,
        age: Duration,
        is_evidence: bool,
    }
    let cases = [
        GivenUpCase {
            name: "given up just before",
            end: RunEnd::Unclear,
            age: Duration::from_millis(60),
            is_evidence: true,
        },
        GivenUpCase {
            name: "given up long before",
            end: RunEnd::Unclear,
            age: Duration::from_secs(5),
            is_evidence: false,
        },
        GivenUpCase {
            name: "answered just before",
            end: RunEnd::Answered,
            age: Duration::from_millis(60),
            is_evidence: false,
        },
    ];
    for case in cases {
        let (mut table, start) = (table(0), Instant::now());
        let run = table.begin_run(RunSubject::plain(PRINT), key("a"), start);
        table.end_run(run, case.end, start);
        crash(&mut table, 8, key("a"), start + case.age);
        let crashes = table.crash_count(PRINT, start + case.age);
        assert_eq!(crashes == 1, case.is_evidence, "{}", case.name);
    }
}

/// Guards against innocent requests that many callers send, and that run at each server that crashes.
#[test]
fn a_request_that_servers_complete_is_not_suspected() {
    let now = Instant::now();
    let mut tables = [table(0), table(1)];
    tables[0].clear(PRINT, now);
    crash(&mut tables[0], PRINT, key("a"), now + STEP);
    assert_eq!(tables[0].crash_count(PRINT, now + STEP), 0, "found here");
    crash(&mut tables[1], PRINT, key("b"), now + STEP);
    let report = tables[1].take_report(HOSTS, now + STEP);
    tables[0].merge(&host(1), &report, now + STEP);
    assert_eq!(tables[0].crash_count(PRINT, now + STEP), 0, "found by another host");
    let report = tables[0].take_report(HOSTS, now + STEP);
    tables[1].merge(&host(0), &report, now + STEP);
    assert_eq!(tables[1].crash_count(PRINT, now + STEP), 0, "the other host is told");
    let later = now + Duration::from_secs(20);
    crash(&mut tables[0], PRINT, key("c"), later);
    assert_eq!(tables[0].crash_count(PRINT, later), 1, "long after");
}

/// What happens at one host, and how its messages get on.
#[derive(Clone, Debug)]
enum HistoryStep {
    Crash {
        host: usize,
        server: u8,
    },
    Complete {
        host: usize,
    },
    /// A report made now, which is delivered later, perhaps twice.
    Report {
        from: usize,
    },
    /// Delivers a report that was made before.
    Deliver {
        number: u8,
        to: usize,
    },
}

impl Arbitrary for HistoryStep {
    fn arbitrary(gen_: &mut Gen) -> HistoryStep {
        let host = usize::arbitrary(gen_) % HOSTS;
        match u8::arbitrary(gen_) % 8 {
            0 | 1 => HistoryStep::Crash { host, server: u8::arbitrary(gen_) % 5 },
            2 => HistoryStep::Complete { host },
            3 | 4 => HistoryStep::Report { from: host },
            _ => HistoryStep::Deliver { number: u8::arbitrary(gen_), to: host },
        }
    }
}

fn evidence(table: &SuspectTable) -> IndexSet<ServerKey> {
    let mut servers = table.crashed_servers(PRINT);
    servers.sort_unstable_by_key(|server| server.0);
    servers.into_iter().collect()
}

/// Guards against evidence that depends on the order of messages, on their number, or on which of them are lost.
#[test]
fn hosts_agree_once_they_have_each_others_reports() {
    fn property(steps: Vec<HistoryStep>) -> bool {
        let mut now = Instant::now();
        let mut tables: Vec<SuspectTable> = (0..HOSTS).map(table).collect();
        let mut reports: Vec<(usize, SuspectReport)> = Vec::new();
        for step in steps {
            now += STEP;
            match step {
                HistoryStep::Crash { host, server } => {
                    crash(&mut tables[host], PRINT, key(&format!("server-{server}")), now);
                }
                HistoryStep::Complete { host } => {
                    tables[host].clear(PRINT, now);
                }
                HistoryStep::Report { from } => {
                    let report = tables[from].take_report(HOSTS, now);
                    reports.push((from, report));
                }
                HistoryStep::Deliver { number, to } => {
                    let Some(count) = std::num::NonZero::new(reports.len()) else { continue };
                    let (from, report) = reports[usize::from(number) % count.get()].clone();
                    if from != to {
                        tables[to].merge(&host(from), &report, now);
                    }
                }
            }
        }
        // What was lost is published again.
        for _ in 0..2 {
            now += Duration::from_secs(10);
            for from in 0..HOSTS {
                let report = tables[from].take_report(HOSTS, now);
                for (to, table) in tables.iter_mut().enumerate() {
                    if to != from {
                        table.merge(&host(from), &report, now);
                    }
                }
            }
        }
        tables.iter().all(|table| evidence(table) == evidence(&tables[0]))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 48))
        .tests(300)
        .quickcheck(property as fn(Vec<HistoryStep>) -> bool);
}

/// Passes the reports of all hosts on, after each step of time, until the hosts have nothing to wait for.
fn exchange(tables: &mut [SuspectTable], now: Instant) {
    let reports: Vec<SuspectReport> =
        tables.iter_mut().map(|table| table.take_report(HOSTS, now)).collect();
    for (from, report) in reports.iter().enumerate() {
        for (to, table) in tables.iter_mut().enumerate() {
            if to != from {
                table.merge(&host(from), report, now);
            }
        }
    }
}

/// Guards against a suspected request that runs at several hosts at once, each of which may lose a server.
#[test]
fn a_suspected_request_has_one_run_at_a_time() {
    let mut now = Instant::now();
    let mut tables: Vec<SuspectTable> = (0..HOSTS).map(table).collect();
    crash(&mut tables[0], PRINT, key("a"), now);
    exchange(&mut tables, now);
    let tickets: Vec<u64> = tables.iter_mut().map(SuspectTable::issue_ticket).collect();
    let mut order = Vec::new();
    for _ in 0..200 {
        now += STEP;
        let mut running = Vec::new();
        for (number, table) in tables.iter_mut().enumerate() {
            if order.contains(&number) {
                continue;
            }
            let step = table.try_begin(PRINT, tickets[number], &[key("b")], now);
            if step == RunStep::RunAt(key("b")) {
                running.push(number);
            }
        }
        assert!(running.len() <= 1, "hosts {running:?} run the request at once");
        if let Some(number) = running.first() {
            tables[*number].release(PRINT, tickets[*number], now);
            order.push(*number);
        }
        exchange(&mut tables, now);
    }
    assert_eq!(order.len(), HOSTS, "each host gets its turn");
}

/// Guards against a claim that outlives its host.
#[test]
fn the_claim_of_a_lost_host_ends() {
    let mut now = Instant::now();
    let mut table = table(0);
    crash(&mut table, PRINT, key("a"), now);
    let claim = SuspectNotice {
        fingerprint: PRINT,
        crashes: Vec::new(),
        cleared: Vec::new(),
        claim: Some(ClaimNotice { stage: ClaimStage::Running, server: Some(key("b")) }),
    };
    let report = SuspectReport { suspects: vec![claim], probes: Vec::new(), parts: Vec::new() };
    table.merge(&host(1), &report, now);
    let ticket = table.issue_ticket();
    let start = now;
    while table.try_begin(PRINT, ticket, &[key("b")], now) != RunStep::RunAt(key("b")) {
        table.take_report(HOSTS, now);
        now += STEP;
        assert!(now.duration_since(start) < Duration::from_secs(5), "the claim does not end");
    }
    assert!(Duration::from_secs(1) < now.duration_since(start), "the claim is ignored");
}

/// Guards against answers from before the break, which say nothing of the crash.
#[test]
fn answers_from_before_the_break_do_not_count() {
    let now = Instant::now();
    let mut table = table(0);
    let probe = |age_ms, is_reached| SuspectReport {
        suspects: Vec::new(),
        probes: vec![ProbeNotice {
            server: key("a"),
            is_reached,
            age_ms,
            reaches_service: true,
            is_question: false,
        }],
        parts: Vec::new(),
    };
    table.merge(&host(1), &probe(500, true), now);
    table.begin_check(key("a"), now);
    table.record_probe(key("a"), ProbeOutcome::Failed, now);
    assert_eq!(table.check_inputs(key("a"), now).others_reached, 0);
    let later = now + STEP;
    table.merge(&host(1), &probe(1, false), later);
    let inputs = table.check_inputs(key("a"), later);
    assert_eq!((inputs.others_reached, inputs.others_failed), (0, 1));
}

/// The newest record of each key, as the store keeps it.
#[derive(Default)]
struct KeyedStore(indexmap::IndexMap<String, FleetRecord>);

impl KeyedStore {
    fn write(&mut self, records: Vec<FleetRecord>) {
        self.0.extend(records.into_iter().map(|record| (record.key(), record)));
    }

    fn read(&self, table: &mut SuspectTable, now: Instant) {
        for record in self.0.values() {
            let FleetRecord::Suspects { slot, entries } = record else { continue };
            table.apply_stored(*slot, entries, UNIX_NOW, now);
        }
    }
}

/// Guards against crashes of which the store keeps only the newest, and against requests that share a key.
#[test]
fn a_starting_host_finds_all_crashes_in_the_store() {
    /// Shares its key with `PRINT`.
    const SAME_KEY_PRINT: u128 = PRINT + 256;
    let mut now = Instant::now();
    let (mut store, mut tables) = (KeyedStore::default(), [table(0), table(1)]);
    crash(&mut tables[0], PRINT, key("a"), now);
    crash(&mut tables[0], PRINT, key("b"), now);
    crash(&mut tables[1], PRINT, key("c"), now);
    crash(&mut tables[1], SAME_KEY_PRINT, key("d"), now);
    // Each replaces the other's record, and finds that out when it reads.
    for _ in 0..2 {
        for table in &mut tables {
            store.write(table.take_due_writes(UNIX_NOW, now));
        }
        tables.iter_mut().for_each(|table| store.read(table, now));
        now += Duration::from_secs(10);
    }
    let mut started = table(2);
    store.read(&mut started, now);
    assert!(started.is_convicted(PRINT, now));
    assert_eq!(started.crash_count(SAME_KEY_PRINT, now), 1);
}

/// Guards against writes that the store has lost, or that were lost with its history.
#[test]
fn lost_writes_are_repeated() {
    let now = Instant::now();
    let mut table = table(0);
    crash(&mut table, PRINT, key("a"), now);
    let records = table.take_due_writes(UNIX_NOW, now);
    assert_eq!(records.len(), 1);
    assert!(table.take_due_writes(UNIX_NOW, now).is_empty());
    table.write_failed(&records, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(table.take_due_writes(UNIX_NOW, later).len(), 1, "after a failed write");
    table.reconcile_stored(&[], later);
    let later = later + Duration::from_secs(10);
    assert_eq!(table.take_due_writes(UNIX_NOW, later).len(), 1, "after a list without it");
    table.reconcile_stored(&["suspects/7"], later);
    let later = later + Duration::from_secs(10);
    assert!(table.take_due_writes(UNIX_NOW, later).is_empty(), "the list has it");
}

/// Guards against convictions that come back with a copy of the store long after they have expired.
#[test]
fn expired_records_of_the_store_are_ignored() {
    let now = Instant::now();
    let mut table = table(0);
    let age = SuspectConf::default().retention + Duration::from_secs(1);
    let entry = StoredSuspect {
        fingerprint: PRINT,
        crashes: vec![key("a"), key("b"), key("c")],
        cleared: Vec::new(),
        last_crash_s: (UNIX_NOW - age).as_secs(),
    };
    table.apply_stored(7, &[entry], UNIX_NOW, now);
    assert_eq!(table.crash_count(PRINT, now), 0);
}

/// Reports of one crash each for these requests.
fn merge_suspects(table: &mut SuspectTable, fingerprints: std::ops::Range<u128>, now: Instant) {
    let crash = CrashNotice {
        server: key("d"),
        age_ms: 0,
        proof: CrashProof::Confirmed,
        run_ms: 0,
        weights: None,
    };
    for fingerprint in fingerprints {
        let notice =
            SuspectNotice { fingerprint, crashes: vec![crash], cleared: Vec::new(), claim: None };
        let report =
            SuspectReport { suspects: vec![notice], probes: Vec::new(), parts: Vec::new() };
        table.merge(&host(1), &report, now);
    }
}

/// Guards against records that outgrow the store where many requests are suspected.
#[test]
fn stored_records_are_bounded() {
    let now = Instant::now();
    let mut table = table(0);
    merge_suspects(&mut table, 0..5_000, now);
    let records = table.take_due_writes(UNIX_NOW, now + Duration::from_secs(10));
    assert!(records.len() <= 256, "{} records", records.len());
    for record in records {
        let FleetRecord::Suspects { entries, .. } = record else { panic!("another record") };
        assert!(entries.len() <= 16, "{} requests in a record", entries.len());
    }
}

/// Guards against a convicted request that is pushed out by many others.
#[test]
fn a_conviction_outlasts_a_flood_of_suspects() {
    let now = Instant::now();
    let mut table = table(0);
    for server in ["a", "b", "c"] {
        crash(&mut table, PRINT, key(server), now);
    }
    merge_suspects(&mut table, 1_000..6_000, now);
    assert!(table.is_convicted(PRINT, now));
}

/// A host whose connections to a server break, and fail after that.
fn begin_failed_check(table: &mut SuspectTable, now: Instant) {
    let run = table.begin_run(RunSubject::plain(PRINT), key("a"), now);
    table.begin_check(key("a"), now);
    table.end_run(run, RunEnd::Unclear, now);
    table.record_probe(key("a"), ProbeOutcome::Isolated, now);
}

/// Guards against a false crash by the word of a host that is cut off itself, while the others are not asked.
#[test]
fn cut_hosts_confirm_no_crash_to_each_other() {
    let mut now = Instant::now();
    let mut tables: Vec<SuspectTable> = (0..HOSTS).map(table).collect();
    begin_failed_check(&mut tables[0], now);
    begin_failed_check(&mut tables[1], now);
    for _ in 0..100 {
        now += STEP;
        exchange(&mut tables, now);
        let inputs = tables[0].check_inputs(key("a"), now);
        let inputs = CheckInputs { peers: HOSTS - 1, is_listed: true, ..inputs };
        let verdict = inputs.verdict();
        assert_eq!(verdict, CheckVerdict::Undecided, "{inputs:?}");
    }
}

/// Guards against a check that no other host takes part in, as none of them suspects the request.
#[test]
fn hosts_that_have_completed_the_request_are_asked_too() {
    let now = Instant::now();
    let mut tables: Vec<SuspectTable> = (0..HOSTS).map(table).collect();
    tables[1].clear(PRINT, now);
    begin_failed_check(&mut tables[0], now);
    exchange(&mut tables, now);
    for (number, table) in tables.iter().enumerate().skip(1) {
        assert!(table.has_wanted_probes(), "host {number} tries the server");
    }
}

/// Guards against a reset connection that counts as a crash, because the server leaves the list later for another
/// reason.
#[test]
fn an_answer_after_the_break_shows_that_the_server_survived() {
    for (answered_after, has_survived) in [(true, true), (false, false)] {
        let now = Instant::now();
        let mut table = table(0);
        let run = table.begin_run(RunSubject::plain(PRINT), key("a"), now);
        let before = now;
        let broken = now + STEP;
        table.begin_check(key("a"), broken);
        table.end_run(run, RunEnd::Unclear, broken);
        table.record_probe(key("a"), ProbeOutcome::Reached, broken);
        table.record_answer(key("a"), if answered_after { broken + STEP } else { before });
        let inputs = table.check_inputs(key("a"), broken + STEP * 2);
        assert_eq!(inputs.has_survived, has_survived);
    }
}
