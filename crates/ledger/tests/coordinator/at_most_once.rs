//! Runs of three routers under drawn faults: nothing runs twice, and all answers fit one order of events.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_ledger::CallOutcome;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimTable;
use fulmargate_ledger::CutOffRule;
use fulmargate_ledger::LedgerSettings;
use fulmargate_ledger::RecordEffect;
use fulmargate_ledger::TableChange;
use fulmargate_names::LogOffset;
use fulmargate_names::TeamName;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::history::KeyOp;
use crate::router_box::RoutedCall;
use crate::router_box::RouterBox;
use crate::router_box::RunWorld;
use crate::router_box::Told;

const HOSTS: [&str; 3] = ["mn-1", "be-1", "ps-1"];
const KEYS: u64 = 60;
const FAULTS_END_MS: u64 = 20_000;
const RUN_MS: u64 = 40_000;
const SEED: u64 = 20_260_105;
const PLANS: u64 = 60;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    LogOut,
    LostAnswers,
    Cut(usize),
    Freeze(usize),
    Kill(usize),
    KillAll,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    at_ms: u64,
    length_ms: u64,
    kind: FaultKind,
}

#[derive(Clone, Debug)]
struct FaultPlan {
    seed: u64,
    faults: Vec<Fault>,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let router = usize::arbitrary(g) % HOSTS.len();
        let kinds = [
            FaultKind::LogOut,
            FaultKind::LostAnswers,
            FaultKind::LostAnswers,
            FaultKind::Cut(router),
            FaultKind::Freeze(router),
            FaultKind::Kill(router),
            FaultKind::KillAll,
        ];
        Fault {
            at_ms: u64::arbitrary(g) % FAULTS_END_MS,
            length_ms: 1 + u64::arbitrary(g) % 6_000,
            kind: *g.choose(&kinds).unwrap(),
        }
    }
}

impl Arbitrary for FaultPlan {
    fn arbitrary(g: &mut Gen) -> FaultPlan {
        FaultPlan { seed: u64::arbitrary(g), faults: Vec::arbitrary(g) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = FaultPlan>> {
        let seed = self.seed;
        Box::new(self.faults.shrink().map(move |faults| FaultPlan { seed, faults }))
    }
}

/// The routers of a run, each in its present start.
pub(crate) struct Fleet {
    world: RunWorld,
    routers: RefCell<Vec<RouterBox>>,
    starts: RefCell<u64>,
}

impl Fleet {
    pub(crate) fn start(world: &RunWorld) -> Rc<Fleet> {
        let routers = HOSTS
            .iter()
            .zip(1..)
            .map(|(host, start)| RouterBox::start(world, host, start))
            .collect();
        Rc::new(Fleet {
            world: world.clone(),
            routers: RefCell::new(routers),
            starts: RefCell::new(HOSTS.len() as u64),
        })
    }

    fn restart(&self, router: usize) {
        *self.starts.borrow_mut() += 1;
        let anew = RouterBox::start(&self.world, HOSTS[router], *self.starts.borrow());
        self.routers.borrow_mut()[router] = anew;
    }

    async fn strike(&self, fault: Fault) {
        sleep(Duration::from_millis(fault.at_ms)).await;
        let length = Duration::from_millis(fault.length_ms);
        let log = &self.world.log.world;
        match fault.kind {
            FaultKind::LogOut => {
                log.borrow_mut().is_out = true;
                sleep(length).await;
                log.borrow_mut().is_out = false;
            }
            FaultKind::LostAnswers => {
                log.borrow_mut().lost_percent = 50;
                sleep(length).await;
                log.borrow_mut().lost_percent = 5;
            }
            FaultKind::Cut(router) => {
                log.borrow_mut().cut_hosts.insert(String::from(HOSTS[router]));
                sleep(length).await;
                log.borrow_mut().cut_hosts.remove(HOSTS[router]);
            }
            FaultKind::Freeze(router) => {
                self.routers.borrow()[router].freeze();
                sleep(length).await;
                self.routers.borrow()[router].thaw();
            }
            FaultKind::Kill(router) => self.kill(&[router], length).await,
            FaultKind::KillAll => self.kill(&[0, 1, 2], length).await,
        }
    }

    pub(crate) async fn kill(&self, routers: &[usize], length: Duration) {
        for router in routers {
            self.routers.borrow()[*router].kill();
        }
        sleep(length).await;
        for router in routers {
            self.restart(*router);
        }
    }

    /// One try of a call. The caller waits a little longer than its deadline.
    pub(crate) async fn try_call(&self, key: ClaimKey) -> Told {
        let router = self.world.dice.borrow_mut().below(HOSTS.len() as u64) as usize;
        let wait = self.world.millis(50, 1_500);
        let (reply, told) = oneshot::channel();
        let call = RoutedCall { key, deadline: Instant::now() + wait, reply };
        let _ = self.routers.borrow()[router].calls.send(call);
        let told = timeout(wait + Duration::from_millis(200), told).await;
        told.map_or(Told::Unknown, |told| told.unwrap_or(Told::Unknown))
    }

    /// Sends a call again through any router until it is answered, and sometimes beyond.
    async fn insist(&self, key: ClaimKey, told: Rc<RefCell<Vec<(ClaimKey, Told)>>>) {
        for _ in 0..6 {
            let answer = self.try_call(key).await;
            told.borrow_mut().push((key, answer));
            if matches!(answer, Told::Ran(_)) && !self.world.percent(30) {
                return;
            }
            sleep(self.world.millis(1, 400)).await;
        }
    }
}

fn key_text(index: u64, now_ms: u64) -> String {
    if index.is_multiple_of(2) {
        return format!("order-{index}");
    }
    let bytes = [index as u8; 10];
    uuid::Builder::from_unix_timestamp_millis(now_ms, &bytes).into_uuid().to_string()
}

/// Runs the plan, and tells what is wrong with it.
async fn run_plan(plan: FaultPlan) -> Vec<String> {
    let mut settings = LedgerSettings::for_retention(Duration::from_secs(3_600));
    settings.ticket_life = Duration::from_millis(250);
    settings.append_patience = Duration::from_millis(700);
    settings.pending_ms = 5_000;
    settings.cut_off =
        if plan.seed.is_multiple_of(2) { CutOffRule::CallOnly } else { CutOffRule::KeyToo };
    let world = RunWorld::start(plan.seed, settings);
    world.log.world.borrow_mut().lost_percent = 5;
    let fleet = Fleet::start(&world);
    for fault in plan.faults {
        let fleet = Rc::clone(&fleet);
        spawn_local(async move { fleet.strike(fault).await });
    }
    let told = Rc::new(RefCell::new(Vec::new()));
    let began = Instant::now();
    for index in 0..KEYS {
        let at = began + world.millis(0, FAULTS_END_MS);
        let callers = if world.percent(25) { 2 } else { 1 };
        let (fleet, told) = (Rc::clone(&fleet), Rc::clone(&told));
        spawn_local(async move {
            sleep_until(at).await;
            let key =
                ClaimKey::new(&TeamName::new("shop"), &key_text(index, fleet.world.log.now_ms()));
            for _ in 0..callers {
                let (fleet, told) = (Rc::clone(&fleet), Rc::clone(&told));
                spawn_local(async move { fleet.insist(key, told).await });
            }
        });
    }
    sleep_until(began + Duration::from_millis(RUN_MS)).await;
    count_told(&world, &told.borrow());
    let mut wrong = wrong_effects(&world, &told.borrow());
    wrong.extend(world.late.borrow().iter().map(|key| format!("{key:?} was sent late")));
    add_log_ops(&world, &mut wrong);
    for (key, ops) in world.recorder.judge() {
        wrong.push(format!("{key:?} has no order: {ops:?}"));
    }
    wrong
}

/// Answers to the callers of all runs, so that a run in which nothing happens is not taken for a proof.
#[derive(Clone, Copy, Debug, Default)]
struct RunTally {
    tries: u64,
    ran: u64,
    not_run: u64,
    unknown: u64,
    effects: u64,
    appends: u64,
}

thread_local! {
    static TALLY: Cell<RunTally> = Cell::default();
}

fn count_told(world: &RunWorld, told: &[(ClaimKey, Told)]) {
    let mut tally = TALLY.get();
    for (_, told) in told {
        tally.tries += 1;
        match told {
            Told::Ran(_) => tally.ran += 1,
            Told::NotRun => tally.not_run += 1,
            Told::Unknown => tally.unknown += 1,
        }
    }
    tally.effects += world.effects.borrow().len() as u64;
    tally.appends += world.log.world.borrow().appends;
    TALLY.set(tally);
}

/// Effects are counted by the backend server: none twice, and each answer is that of the effect.
fn wrong_effects(world: &RunWorld, told: &[(ClaimKey, Told)]) -> Vec<String> {
    let effects = world.effects.borrow();
    let doubled = effects.iter().filter(|(_, answers)| 1 < answers.len());
    let mut wrong: Vec<String> =
        doubled.map(|(key, answers)| format!("{key:?} ran {} times", answers.len())).collect();
    for (key, told) in told {
        let answers = effects.get(&key.hash);
        match told {
            Told::Ran(0) if answers.is_none() => {
                wrong.push(format!("{key:?} was told to have run and did not"));
            }
            Told::Ran(answer) if *answer != 0 && answers != Some(&vec![*answer]) => {
                wrong.push(format!("{key:?} was told {answer}, got {answers:?}"));
            }
            _ => (),
        }
    }
    wrong
}

/// What the log shows beside the answers: ends, releases, and wins that were reported to nobody.
fn add_log_ops(world: &RunWorld, wrong: &mut Vec<String>) {
    let end = world.recorder.step();
    let mut table = ClaimTable::new(LogOffset(0));
    let mut holders = std::collections::BTreeMap::new();
    for record in &world.log.world.borrow().records {
        let RecordEffect::Folded { claimer, changes, .. } = table.fold(record).unwrap() else {
            continue;
        };
        for change in changes {
            match change {
                TableChange::Won { key, number } => {
                    let name = (claimer.incarnation.0, number);
                    let told = world.recorder.told(key, name);
                    holders.insert(key, (name, told.unwrap_or(0)));
                    if told.is_none() {
                        world.recorder.record(key, 0, end, KeyOp::Won(name));
                    }
                }
                TableChange::Settled { key, outcome } => {
                    let (name, since) = holders[&key];
                    let op = KeyOp::Ended(name, answer_of(&outcome));
                    world.recorder.record(key, since, end, op);
                }
                TableChange::Released { key } => {
                    let (name, since) = holders[&key];
                    world.recorder.record(key, since, end, KeyOp::Released(name));
                }
                TableChange::Lost { .. } | TableChange::TooOld { .. } => (),
            }
        }
    }
    if world.effects.borrow().keys().any(|key| !holders.contains_key(key)) {
        wrong.push(String::from("a call ran without a claim in the log"));
    }
}

fn answer_of(outcome: &CallOutcome) -> u64 {
    let CallOutcome::Ran(ran) = outcome else {
        return 0;
    };
    let bytes = base64::Engine::decode(
        &base64::engine::general_purpose::STANDARD,
        &*ran.body.as_ref().unwrap().base64,
    );
    String::from_utf8(bytes.unwrap()).unwrap().parse().unwrap()
}

pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, future)
}

#[test]
fn nothing_runs_twice_under_drawn_faults() {
    // Callers send each call again through any router until it is answered. Meanwhile the log is out, loses answers and
    // lands appends late, routers are cut off, frozen until their tickets have expired, killed and started anew, alone, together
    // and twice. The backend server counts effects; the answers of callers and routers are judged as one history per key.
    fn holds(plan: FaultPlan) -> bool {
        let wrong = block_on(run_plan(plan));
        for line in &wrong {
            eprintln!("{line}");
        }
        wrong.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(14, SEED))
        .tests(PLANS)
        .quickcheck(holds as fn(FaultPlan) -> bool);
    let tally = TALLY.get();
    println!("{PLANS} plans, {} keys: {tally:?}", PLANS * KEYS);
    assert!(
        10_000 <= tally.tries && 1_000 <= tally.ran && 500 <= tally.not_run && 500 <= tally.unknown,
        "{tally:?}"
    );
}
