//! Brings scheduled faults about at running stand-ins.

use std::rc::Rc;
use std::time::Duration;

use fulmargate_stand::FaultOrder;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::fault_kind::FaultKind;
use super::fault_schedule::FaultSchedule;
use super::fault_schedule::ScheduledFault;
use super::poison_caller::PoisonCaller;
use crate::rig::StandControl;

const CRASH_MS: u64 = 700;
const SERVER_SLOWER: f64 = 6.0;
const LOG_SLOWER: f64 = 50.0;
const FEW_ANSWERS: u32 = 3;
const LOST_EVENTS: u32 = 500;
const LOST_SHARE: f64 = 0.5;
/// Longer than the time after which a leaving server may get nothing new.
const LEAVES_AFTER: Duration = Duration::from_millis(4_500);
const SHORT_CRASH_MS: u64 = 100;

/// What faults are brought about at: stand-ins by their addresses, in this process or others.
pub struct FaultTargets {
    /// Engines, with their zones.
    pub engines: Vec<(String, String)>,
    /// Replicas of the plain service.
    pub replicas: Vec<String>,
    /// The log.
    pub log: String,
    /// Takes a router down and starts it again; called with an index drawn by the seed. How it
    /// goes down, and whether at all, is the rig's choice: it is the rig that has the processes.
    pub restart_router: Box<dyn Fn(usize)>,
}

/// Plays a schedule.
pub struct FaultPlayer {
    targets: FaultTargets,
    poison: PoisonCaller,
    control: StandControl,
}

impl FaultPlayer {
    /// A player of faults at these targets.
    pub fn new(targets: FaultTargets, poison: PoisonCaller) -> FaultPlayer {
        FaultPlayer { targets, poison, control: StandControl::default() }
    }

    /// The caller of requests that crash engines.
    pub fn poison(&self) -> &PoisonCaller {
        &self.poison
    }

    /// Plays all faults at their times, from `start`. Each fault runs by itself, for it may last
    /// beyond its slot; a target that is down already is no error.
    pub async fn play(self: &Rc<FaultPlayer>, schedule: &FaultSchedule, start: Instant) {
        let lasting = schedule.slot.mul_f64(0.4);
        for fault in schedule.faults() {
            sleep_until(start + fault.at).await;
            let player = Rc::clone(self);
            actix_rt::spawn(async move { player.bring_about(fault, lasting).await });
        }
        sleep_until(start + schedule.duration()).await;
    }

    async fn bring_about(&self, fault: ScheduledFault, lasting: Duration) {
        match fault.kind {
            FaultKind::PoisonRequest => self.poison.send_until_refused().await,
            FaultKind::RouterRestart => (self.targets.restart_router)(fault.target),
            FaultKind::ServiceCrash
            | FaultKind::ServiceLosesAnswers
            | FaultKind::ServiceFreeze
            | FaultKind::LogOutage
            | FaultKind::LogLosesAnswers
            | FaultKind::LogSlow => self.disturb_calls(fault, lasting).await,
            _ => self.disturb_engines(fault, lasting).await,
        }
    }

    async fn disturb_engines(&self, fault: ScheduledFault, lasting: Duration) {
        let engine = self.engine(fault.target);
        let lasting_ms = lasting.as_millis() as u64;
        match fault.kind {
            FaultKind::EngineCrash => self.order(engine, crash(CRASH_MS)).await,
            FaultKind::ThirdOfEnginesCrash => {
                for (index, (address, _)) in self.targets.engines.iter().enumerate() {
                    if index % 3 == fault.target % 3 {
                        self.order(address, crash(CRASH_MS)).await;
                    }
                }
            }
            FaultKind::EngineFreeze => self.order(engine, freeze(lasting_ms)).await,
            FaultKind::EngineSlow => {
                self.for_a_while(engine, lasting, slow(SERVER_SLOWER), slow(1.0)).await;
            }
            FaultKind::EngineRefuses => {
                self.for_a_while(engine, lasting, refuse(true), refuse(false)).await;
            }
            FaultKind::EngineLeaves => {
                let leave = FaultOrder { leaving: Some(true), ..FaultOrder::default() };
                self.for_a_while(engine, LEAVES_AFTER, leave, crash(SHORT_CRASH_MS)).await;
            }
            FaultKind::CrossedAnswers => {
                let cross_answers = Some(FEW_ANSWERS);
                self.order(engine, FaultOrder { cross_answers, ..FaultOrder::default() }).await;
            }
            FaultKind::TruncatedStreams => {
                let truncate_streams = Some(FEW_ANSWERS);
                self.order(engine, FaultOrder { truncate_streams, ..FaultOrder::default() }).await;
            }
            FaultKind::EventLoss => {
                let drop_events = Some(LOST_EVENTS);
                for (address, _) in &self.targets.engines {
                    self.order(address, FaultOrder { drop_events, ..FaultOrder::default() }).await;
                }
            }
            FaultKind::ZoneFreeze => self.freeze_zone(fault.target, lasting_ms).await,
            _ => {}
        }
    }

    /// Faults of the plain service and of the log, on which calls that may not be repeated rest.
    async fn disturb_calls(&self, fault: ScheduledFault, lasting: Duration) {
        let replica = self.targets.replicas[fault.target % self.targets.replicas.len()].as_str();
        let log = self.targets.log.as_str();
        let lasting_ms = lasting.as_millis() as u64;
        let (losing, whole) = (lose_answers(LOST_SHARE), lose_answers(0.0));
        match fault.kind {
            FaultKind::ServiceCrash => self.order(replica, crash(CRASH_MS)).await,
            FaultKind::ServiceLosesAnswers => {
                self.for_a_while(replica, lasting, losing, whole).await;
            }
            FaultKind::ServiceFreeze => self.order(replica, freeze(lasting_ms)).await,
            FaultKind::LogOutage => {
                let order = FaultOrder { outage_ms: Some(lasting_ms), ..FaultOrder::default() };
                self.order(log, order).await;
            }
            FaultKind::LogLosesAnswers => self.for_a_while(log, lasting, losing, whole).await,
            FaultKind::LogSlow => {
                self.for_a_while(log, lasting, slow(LOG_SLOWER), slow(1.0)).await;
            }
            _ => {}
        }
    }

    fn engine(&self, target: usize) -> &str {
        &self.targets.engines[target % self.targets.engines.len()].0
    }

    async fn freeze_zone(&self, target: usize, ms: u64) {
        let (_, zone) = &self.targets.engines[target % self.targets.engines.len()];
        for (address, _) in self.targets.engines.iter().filter(|(_, of)| of == zone) {
            self.order(address, freeze(ms)).await;
        }
    }

    async fn for_a_while(
        &self,
        address: &str,
        lasting: Duration,
        begin: FaultOrder,
        end: FaultOrder,
    ) {
        self.order(address, begin).await;
        sleep(lasting).await;
        // The stand-in may be down at this moment because of another fault.
        while self.control.order(address, &end).await.is_err() {
            sleep(Duration::from_millis(SHORT_CRASH_MS)).await;
        }
    }

    async fn order(&self, address: &str, order: FaultOrder) {
        let _may_be_down = self.control.order(address, &order).await;
    }
}

fn crash(ms: u64) -> FaultOrder {
    FaultOrder { crash_ms: Some(ms), ..FaultOrder::default() }
}

fn freeze(ms: u64) -> FaultOrder {
    FaultOrder { freeze_ms: Some(ms), ..FaultOrder::default() }
}

fn slow(factor: f64) -> FaultOrder {
    FaultOrder { slow_factor: Some(factor), ..FaultOrder::default() }
}

fn refuse(refuse: bool) -> FaultOrder {
    FaultOrder { refuse: Some(refuse), ..FaultOrder::default() }
}

fn lose_answers(share: f64) -> FaultOrder {
    FaultOrder { lose_answers: Some(share), ..FaultOrder::default() }
}
