//! Drawn histories of operators, faults and restarts, judged as a versioned register with
//! compare-and-set.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_config::ConfigFold;
use fulmargate_config::ConfigRecord;
use fulmargate_config::SubmitOutcome;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use todc_utils::Action;
use todc_utils::Action::Call;
use todc_utils::Action::Response;
use todc_utils::History;
use todc_utils::WGLChecker;
use todc_utils::specifications::Specification;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::role_of;
use crate::cluster::run;
use crate::common;
use crate::common::mark_of;
use crate::common::marked;
use crate::fake_log::AppendFault;

const HOSTS: usize = 4;
const READERS: usize = 2;
/// What the sample has where later patches put their marks.
const FIRST_MARK: u64 = 50;

/// What an operator does, with its outcome once that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Operation {
    /// Wants `mark` in place of version `base`.
    Patch { base: u64, mark: u64, outcome: Option<Outcome> },
    /// Reads what is in force, confirmed by the log: version and mark.
    Read(Option<(u64, u64)>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Accepted(u64),
    /// Refused, since at least this version is current.
    Stale(u64),
}

/// The register: a version and the mark it was given. A patch changes it exactly when its base is
/// the version; a refusal must be true at some moment of the call.
struct VersionedRegister;

impl Specification for VersionedRegister {
    type State = (u64, u64);
    type Operation = Operation;

    fn init() -> (u64, u64) {
        (0, 0)
    }

    fn apply(operation: &Operation, state: &(u64, u64)) -> (bool, (u64, u64)) {
        let version = state.0;
        match *operation {
            Operation::Patch { base, mark, outcome: Some(Outcome::Accepted(made)) } => {
                (base == version && made == version + 1, (made, mark))
            }
            Operation::Patch { base, outcome: Some(Outcome::Stale(current)), .. } => {
                (base != version && current <= version && base != current, *state)
            }
            Operation::Patch { outcome: None, .. } => (false, *state),
            Operation::Read(found) => (found == Some(*state), *state),
        }
    }
}

/// One step of a history; hosts are counted modulo `HOSTS`.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator patches the version that its router has, or the one before it.
    Patch {
        host: usize,
        lag: u64,
    },
    Read {
        host: usize,
    },
    LogOut,
    LogBack,
    CutLog {
        host: usize,
    },
    MendLog {
        host: usize,
    },
    Part {
        host: usize,
    },
    Join {
        host: usize,
    },
    Restart {
        host: usize,
    },
    Fault {
        host: usize,
        fault: AppendFault,
    },
    /// Somebody appends a snapshot of the first so many hundredths of the log.
    Snapshot {
        covers: usize,
    },
    Wait {
        ms: u64,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let host = usize::arbitrary(g) % HOSTS;
        let faults = [
            AppendFault::AnswerLost,
            AppendFault::RecordLost,
            AppendFault::LandsLate,
            AppendFault::Throttled,
        ];
        match u8::arbitrary(g) % 24 {
            0..8 => Step::Patch { host, lag: u64::from(u8::arbitrary(g) % 8 == 0) },
            8..12 => Step::Read { host },
            12 => Step::LogOut,
            13 => Step::LogBack,
            14 => Step::CutLog { host },
            15 => Step::MendLog { host },
            16 => Step::Part { host },
            17 => Step::Join { host },
            18 => Step::Restart { host },
            19 | 20 => Step::Fault { host, fault: *g.choose(&faults).expect("there are some") },
            21 => Step::Snapshot { covers: usize::arbitrary(g) % 100 },
            _ => Step::Wait { ms: u64::arbitrary(g) % 400 },
        }
    }
}

/// What the operators did, in the order of time.
#[derive(Default)]
struct Recorder {
    actions: RefCell<Vec<(usize, Action<Operation>)>>,
    /// Patches whose outcome is not known, with their ids.
    open: RefCell<Vec<(usize, String, Operation)>>,
    /// Ids that were refused, as said to their operators.
    refused: RefCell<Vec<String>>,
    next: Cell<usize>,
}

impl Recorder {
    /// Each operation is its own process: operators do not wait for each other.
    fn call(&self, operation: Operation) -> usize {
        let process = self.next.replace(self.next.get() + 1);
        self.actions.borrow_mut().push((process, Call(operation)));
        process
    }

    fn respond(&self, process: usize, operation: Operation) {
        self.actions.borrow_mut().push((process, Response(operation)));
    }

    /// An operation without an effect and without an answer says nothing.
    fn forget(&self, process: usize) {
        self.actions.borrow_mut().retain(|action| action.0 != process);
    }
}

async fn patch(cluster: Rc<Cluster>, recorder: Rc<Recorder>, host: usize, lag: u64) {
    let base = cluster.host(host).version().0.saturating_sub(lag);
    let mark = 1000 + recorder.next.get() as u64;
    let process = recorder.call(Operation::Patch { base, mark, outcome: None });
    let id = format!("p{process}");
    let change = if base == 0 { common::sample() } else { marked(mark) };
    let mark = if base == 0 { FIRST_MARK } else { mark };
    let ended = |outcome| Operation::Patch { base, mark, outcome: Some(outcome) };
    match cluster.submit(host, &id, base, change).await {
        SubmitOutcome::Accepted { version } => {
            recorder.respond(process, ended(Outcome::Accepted(version.0)));
        }
        SubmitOutcome::Stale { current } => {
            recorder.respond(process, ended(Outcome::Stale(current.0)));
            recorder.refused.borrow_mut().push(id);
        }
        SubmitOutcome::Unavailable => {
            recorder.forget(process);
            recorder.refused.borrow_mut().push(id);
        }
        SubmitOutcome::Unknown => {
            let open = Operation::Patch { base, mark, outcome: None };
            recorder.open.borrow_mut().push((process, id, open));
        }
        SubmitOutcome::Invalid { error } => panic!("no patch here is invalid: {error}"),
    }
}

async fn read(cluster: Rc<Cluster>, recorder: Rc<Recorder>, host: usize) {
    let process = recorder.call(Operation::Read(None));
    let keeper = cluster.host(host).keeper.clone();
    let confirmed = keeper.confirm().await;
    match keeper.answer().filter(|_| confirmed.is_ok()) {
        Some(answer) => {
            let mark = mark_of(&answer.document).unwrap_or(0);
            recorder.respond(process, Operation::Read(Some((answer.version.0, mark))));
        }
        None => recorder.forget(process),
    }
}

async fn take_step(cluster: &Rc<Cluster>, recorder: &Rc<Recorder>, step: Step) {
    let (shared, notes) = (Rc::clone(cluster), Rc::clone(recorder));
    match step {
        Step::Patch { host, lag } => _ = tokio::task::spawn_local(patch(shared, notes, host, lag)),
        Step::Read { host } => _ = tokio::task::spawn_local(read(shared, notes, host)),
        Step::LogOut => cluster.log.is_out.set(true),
        Step::LogBack => cluster.log.is_out.set(false),
        Step::CutLog { host } => cluster.host(host).link.is_cut.set(true),
        Step::MendLog { host } => cluster.host(host).link.is_cut.set(false),
        Step::Part { host } => cluster.host(host).side.set(1),
        Step::Join { host } => cluster.host(host).side.set(0),
        Step::Restart { host } => cluster.restart(host, role_of(host, READERS)),
        Step::Fault { host, fault } => cluster.host(host).link.faults.borrow_mut().push_back(fault),
        Step::Snapshot { covers } => {
            let mut fold = ConfigFold::new();
            let records = cluster.log.records();
            for record in &records[..records.len() * covers / 100] {
                fold.apply(record).expect("offsets have no gaps");
            }
            cluster.log.push("late", &ConfigRecord::Snapshot(fold.snapshot()).to_data());
        }
        Step::Wait { ms } => sleep(Duration::from_millis(ms)).await,
    }
    sleep(Duration::from_millis(1)).await;
}

/// Runs a history, heals everything, and gives what the operators saw.
async fn run_history(steps: Vec<Step>) -> Vec<(usize, Action<Operation>)> {
    let cluster = Cluster::start(HOSTS, READERS);
    let recorder = Rc::new(Recorder::default());
    for step in steps {
        take_step(&cluster, &recorder, step).await;
    }
    cluster.log.is_out.set(false);
    for host in cluster.hosts.borrow().iter() {
        host.link.is_cut.set(false);
        host.link.faults.borrow_mut().clear();
        host.side.set(0);
    }
    sleep(Duration::from_secs(6)).await;
    if 0 < cluster.truth().0.version().0 {
        cluster.assert_converged();
    }
    for host in cluster.incarnations.borrow().iter() {
        let published = host.published.borrow();
        assert!(published.is_sorted_by(|a, b| a < b), "versions went back: {published:?}");
    }
    complete(&cluster, &recorder);
    recorder.actions.take()
}

/// Settles what stayed open by the log's own order, and holds refusals against it.
fn complete(cluster: &Cluster, recorder: &Recorder) {
    let (_, winners) = cluster.truth();
    let version_of = |id: &str| winners.iter().position(|it| it.starts_with(&format!("{id}-")));
    for id in recorder.refused.borrow().iter() {
        assert_eq!(version_of(id), None, "{id} was refused and is in force");
    }
    for (process, id, open) in recorder.open.take() {
        match (version_of(&id), open) {
            (Some(index), Operation::Patch { base, mark, .. }) => {
                let outcome = Some(Outcome::Accepted(index as u64 + 1));
                recorder.respond(process, Operation::Patch { base, mark, outcome });
            }
            _ => recorder.forget(process),
        }
    }
}

fn is_linearizable(actions: Vec<(usize, Action<Operation>)>) -> bool {
    actions.is_empty()
        || WGLChecker::<VersionedRegister>::is_linearizable(History::from_actions(actions))
}

/// Operators race through four routers while answers are lost, the log goes out, links are cut,
/// routers restart, and old snapshots are written. Their answers must fit one order of versions
/// in which each has one winner; afterwards all routers agree, and none ever went back.
#[test]
fn drawn_histories_are_those_of_a_versioned_register() {
    let property = |steps: Vec<Step>| is_linearizable(run(run_history(steps)));
    for (size, seed) in [(20, 11), (60, 12), (120, 13)] {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(size, seed))
            .tests(60)
            .quickcheck(property as fn(Vec<Step>) -> bool);
    }
}

struct JudgedCase {
    name: &'static str,
    actions: Vec<(usize, Action<Operation>)>,
    accepted: bool,
}

fn whole(process: usize, operation: Operation) -> Vec<(usize, Action<Operation>)> {
    vec![(process, Call(operation)), (process, Response(operation))]
}

fn won(process: usize, base: u64, mark: u64) -> Vec<(usize, Action<Operation>)> {
    let outcome = Some(Outcome::Accepted(base + 1));
    whole(process, Operation::Patch { base, mark, outcome })
}

fn stale(process: usize, base: u64, current: u64) -> Vec<(usize, Action<Operation>)> {
    whole(process, Operation::Patch { base, mark: 9, outcome: Some(Outcome::Stale(current)) })
}

fn saw(process: usize, version: u64, mark: u64) -> Vec<(usize, Action<Operation>)> {
    whole(process, Operation::Read(Some((version, mark))))
}

fn overlap<T>(first: Vec<T>, second: Vec<T>) -> Vec<T> {
    first.into_iter().zip(second).flat_map(|(one, other)| [one, other]).collect()
}

/// The checker accepts what may happen and rejects what must not.
#[test]
fn the_checker_rejects_bad_histories() {
    let case =
        |name, parts: Vec<Vec<_>>, accepted| JudgedCase { name, actions: parts.concat(), accepted };
    for case in [
        case("one after the other", vec![won(0, 0, 1), won(1, 1, 2), saw(2, 2, 2)], true),
        case("race with one winner", vec![overlap(won(0, 0, 1), stale(1, 0, 1))], true),
        case("read during a patch", vec![won(0, 0, 1), overlap(won(1, 1, 2), saw(2, 1, 1))], true),
        case("two winners", vec![overlap(won(0, 0, 1), won(1, 0, 2))], false),
        case("no winner", vec![overlap(stale(0, 0, 1), stale(1, 0, 1))], false),
        case("reversion", vec![won(0, 0, 1), won(1, 1, 2), saw(2, 1, 1)], false),
        case("lost patch", vec![won(0, 0, 1), saw(1, 0, 0)], false),
        case("other document", vec![won(0, 0, 1), won(1, 1, 2), saw(2, 2, 7)], false),
        case("refused though current", vec![won(0, 0, 1), stale(1, 1, 2)], false),
        case("from the future", vec![saw(0, 1, 1), won(1, 0, 1)], false),
        case("version left out", vec![won(0, 0, 1), won(1, 2, 3)], false),
    ] {
        assert_eq!(is_linearizable(case.actions), case.accepted, "{}", case.name);
    }
}
