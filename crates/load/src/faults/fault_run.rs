//! A calm run and a run under a schedule of faults, on the same arrivals.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_names::ErrorKind;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::deploy::OPERATOR_KEY;
use fulmargate_stand::deployment::Deployment;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::config_watch::ConfigCounts;
use super::config_watch::ConfigWatch;
use super::fault_kind::FaultKind;
use super::fault_player::FaultPlayer;
use super::fault_player::FaultTargets;
use super::fault_report::FaultReport;
use super::fault_report::PoisonCounts;
use super::fault_report::SlotReport;
use super::fault_schedule::FaultSchedule;
use super::poison_caller::PoisonCaller;
use crate::calls::AnswerFault;
use crate::calls::CallRecord;
use crate::calls::CallTarget;
use crate::calls::Verdict;
use crate::figures::PromptTouch;
use crate::figures::ReportScope;
use crate::figures::RunReport;
use crate::load_error::LoadError;
use crate::rig::Rig;
use crate::runs::LoadRun;
use crate::runs::RunLimits;
use crate::workload::WorkloadPlan;

const POLICY: &str = "cost";
/// Texts that no usual prompt holds.
const MARKER: &str = "CRASHES-THE-ENGINE";
const MARKER_DOWN_MS: u64 = 500;
const WARM_UP: Duration = Duration::from_secs(5);
/// After the schedule, for faults that last beyond their slot.
const RECOVERY: Duration = Duration::from_secs(5);
const NOT_RUN: [&str; 2] = [
    "routers killed, frozen or restarted as processes: crate proofs, with FaultPlayer and its restart_router",
    "zones cut off from each other and from the platform: crate proofs",
];

/// What is run.
pub struct FaultRun {
    /// The deployment.
    pub deployment: Rc<Deployment>,
    /// Seed of arrivals and schedule.
    pub seed: u64,
    /// Calls a second.
    pub rate: f64,
    /// Length of a slot of the schedule.
    pub slot: Duration,
    /// Length of the calm run.
    pub calm: Duration,
    /// Kinds of faults.
    pub kinds: Vec<FaultKind>,
}

/// What a run under faults gave, before the report.
struct FaultedRun {
    records: Vec<CallRecord>,
    touches: HashMap<u32, PromptTouch>,
    plan: WorkloadPlan,
    late_work: usize,
    config: ConfigCounts,
    poison: PoisonCounts,
}

impl FaultRun {
    /// Runs the calm run, then the faults, each on a fresh rig.
    pub async fn run(&self, tell: impl Fn(&str)) -> Result<FaultReport, LoadError> {
        tell("calm run");
        let calm = self.calm_report().await?;
        let schedule = FaultSchedule::draw(self.seed, self.slot, &self.kinds);
        let seconds = (WARM_UP + schedule.duration() + RECOVERY).as_secs();
        tell(&format!("{} slots of faults, {seconds} s", schedule.slots.len()));
        let faulted = self.faulted_run(&schedule).await?;
        Ok(self.report(&schedule, &calm, &faulted))
    }

    async fn calm_report(&self) -> Result<RunReport, LoadError> {
        let rig = Rig::start(&self.deployment, POLICY).await?;
        let run = self.load_run(&rig, WARM_UP + self.calm);
        let calls = run.calls();
        let touches = run.touches(&calls);
        let mut records = run.run(&calls).await;
        rig.judge(&touches, &mut records).await?;
        rig.stop();
        Ok(RunReport::new(&self.scope(&touches, &run.plan), &records))
    }

    async fn faulted_run(&self, schedule: &FaultSchedule) -> Result<FaultedRun, LoadError> {
        let rig = Rc::new(Rig::start(&self.deployment, POLICY).await?);
        let run = self.load_run(&rig, WARM_UP + schedule.duration() + RECOVERY);
        let calls = run.calls();
        let touches = run.touches(&calls);
        self.arm_engines(&rig).await?;
        let player = Rc::new(FaultPlayer::new(targets(&rig), self.poison_caller(&rig)));
        let small_team = self.deployment.teams.last().map_or("", |team| team.name.as_str());
        let watch = ConfigWatch::new(rig.operator_addresses(), OPERATOR_KEY, small_team);
        let stop_watch = CancellationToken::new();
        let start = Instant::now() + WARM_UP;
        let load = async {
            let records = run.run(&calls).await;
            stop_watch.cancel();
            records
        };
        let (mut records, (), ()) =
            tokio::join!(load, player.play(schedule, start), watch.run(&stop_watch));
        rig.judge(&touches, &mut records).await?;
        let (late_work, crashes) = self.server_counts(&rig).await?;
        let poison = self.poison_counts(&player, schedule, crashes, &records);
        drop(player);
        // Restarts of routers end in tasks of their own, which hold the rig a little longer.
        if let Ok(rig) = Rc::try_unwrap(rig) {
            rig.stop();
        }
        Ok(FaultedRun {
            records,
            touches,
            plan: run.plan,
            late_work,
            config: watch.counts(),
            poison,
        })
    }

    fn load_run(&self, rig: &Rig, duration: Duration) -> LoadRun {
        let mut plan = WorkloadPlan::new(&self.deployment, self.seed);
        plan.rate = self.rate;
        plan.duration = duration;
        LoadRun {
            deployment: Rc::clone(&self.deployment),
            plan,
            target: CallTarget::Routers,
            addresses: rig.caller_addresses(),
            limits: RunLimits::default(),
        }
    }

    fn scope<'a>(
        &'a self,
        touches: &'a HashMap<u32, PromptTouch>,
        plan: &WorkloadPlan,
    ) -> ReportScope<'a> {
        let deployment = &self.deployment;
        ReportScope { deployment, touches, warm_up: WARM_UP, duration: plan.duration }
    }

    async fn arm_engines(&self, rig: &Rig) -> Result<(), LoadError> {
        let order = FaultOrder {
            crash_marker: Some(MARKER.to_owned()),
            marker_down_ms: Some(MARKER_DOWN_MS),
            ..FaultOrder::default()
        };
        for engine in &self.deployment.engines {
            if let Some(address) = rig.server_address(engine.name.as_str()) {
                rig.control.order(&address, &order).await?;
            }
        }
        Ok(())
    }

    fn poison_caller(&self, rig: &Rig) -> PoisonCaller {
        let key = self.deployment.teams.first().map_or("", |team| team.key.as_str());
        PoisonCaller::new(rig.caller_addresses(), key, self.deployment.model.as_str(), MARKER)
    }

    /// Late work at all backend servers, and crashes of the engines.
    async fn server_counts(&self, rig: &Rig) -> Result<(usize, usize), LoadError> {
        let mut late_work = 0;
        let mut crashes = 0;
        for engine in &self.deployment.engines {
            let Some(address) = rig.server_address(engine.name.as_str()) else { continue };
            let counts = rig.control.counts(&address).await?;
            late_work += counts.late_work as usize;
            crashes += counts.crashes as usize;
        }
        for address in rig.replica_addresses() {
            late_work += rig.control.counts(&address).await?.late_work as usize;
        }
        Ok((late_work, crashes))
    }

    /// Engines lost to poison are those crashes that no other fault ordered. An ordered crash of an
    /// engine that is down already is none, so the figure can only be too low by such meetings.
    fn poison_counts(
        &self,
        player: &FaultPlayer,
        schedule: &FaultSchedule,
        crashes: usize,
        records: &[CallRecord],
    ) -> PoisonCounts {
        let ordered: usize = schedule
            .faults()
            .iter()
            .map(|fault| match fault.kind {
                FaultKind::EngineCrash | FaultKind::EngineLeaves => 1,
                FaultKind::ThirdOfEnginesCrash => self.deployment.engines.len() / 3,
                _ => 0,
            })
            .sum();
        let (requests, sends, convicted) = player.poison().counts();
        let code = ErrorKind::CrashingRequest.row().code;
        PoisonCounts {
            requests,
            sends,
            convicted,
            engines_lost: crashes.saturating_sub(ordered),
            innocents_refused: records
                .iter()
                .filter(|record| record.error.as_deref() == Some(code))
                .count(),
        }
    }

    fn report(
        &self,
        schedule: &FaultSchedule,
        calm: &RunReport,
        faulted: &FaultedRun,
    ) -> FaultReport {
        let run = RunReport::new(&self.scope(&faulted.touches, &faulted.plan), &faulted.records);
        FaultReport {
            deployment: self.deployment.name,
            seed: self.seed,
            rate: self.rate,
            never: never_counts(&run, faulted),
            calm_goodput: calm.goodput,
            goodput: run.goodput,
            goodput_ratio: run.goodput / calm.goodput.max(1e-9),
            poison: faulted.poison,
            config: faulted.config,
            run,
            slots: slot_reports(schedule, &faulted.records),
            not_run: NOT_RUN.to_vec(),
        }
    }
}

fn targets(rig: &Rc<Rig>) -> FaultTargets {
    let engines = rig.deployment.engines.iter().filter_map(|engine| {
        Some((rig.server_address(engine.name.as_str())?, engine.zone.to_string()))
    });
    let restarted = Rc::clone(rig);
    FaultTargets {
        engines: engines.collect(),
        replicas: rig.replica_addresses(),
        log: rig.addresses.log.to_string(),
        restart_router: Box::new(move |index| {
            let rig = Rc::clone(&restarted);
            actix_rt::spawn(async move {
                if let Err(error) = rig.restart_router(index).await {
                    eprintln!("router {index} did not come back: {error}");
                }
            });
        }),
    }
}

fn never_counts(run: &RunReport, faulted: &FaultedRun) -> BTreeMap<&'static str, usize> {
    let count = |fault: AnswerFault| run.faults.get(&fault).copied().unwrap_or(0);
    BTreeMap::from([
        ("doubled", count(AnswerFault::Doubled)),
        ("lost", count(AnswerFault::Lost)),
        ("no_effect", count(AnswerFault::NoEffect)),
        ("truncated", count(AnswerFault::Truncated)),
        ("gap", count(AnswerFault::Gap)),
        ("repeated", count(AnswerFault::Repeated)),
        ("crossed", count(AnswerFault::Crossed)),
        ("stale", count(AnswerFault::Stale)),
        ("foreign", count(AnswerFault::Foreign)),
        ("malformed", count(AnswerFault::Malformed)),
        ("false_not_run", count(AnswerFault::FalseNotRun)),
        ("late_work", faulted.late_work),
        ("config_reversions", faulted.config.reversions),
        ("config_two_winners", faulted.config.two_winners),
    ])
}

fn slot_reports(schedule: &FaultSchedule, records: &[CallRecord]) -> Vec<SlotReport> {
    let mut begin = WARM_UP;
    let mut reports = Vec::new();
    for slot in &schedule.slots {
        let end = begin + schedule.slot;
        let calls: Vec<&CallRecord> =
            records.iter().filter(|record| begin <= record.at && record.at < end).collect();
        reports.push(SlotReport {
            at_s: begin.as_secs_f64(),
            phase: slot.phase,
            kinds: slot.faults.iter().map(|fault| fault.kind).collect(),
            calls: calls.len(),
            whole: calls.iter().filter(|record| record.verdict == Verdict::Whole).count(),
        });
        begin = end;
    }
    reports
}
