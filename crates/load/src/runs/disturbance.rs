//! What disturbs a run of a comparison.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::load_error::LoadError;
use crate::rig::Rig;
use crate::workload::WorkloadPlan;

/// Cache events lost at each engine each time.
const LOST_EVENTS: u32 = 400;
const LOSS_EVERY: Duration = Duration::from_millis(500);
const CRASH_MS: u64 = 1_000;

/// One kind of disturbance; all but the first are measured beside the calm run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// None.
    Calm,
    /// Other prefixes become the popular ones, twice.
    ShiftingPrefixes,
    /// All engines' event streams lose entries all the time.
    EventLoss,
    /// A third of the engines crash at once, and come back empty a second later.
    EngineCrashes,
    /// The engines of one zone stand still for a third of the run: connections to them stay open
    /// and nothing comes back, as when the network drops all packets.
    ZoneCut,
}

impl Disturbance {
    /// All of them, the calm one first.
    pub const ALL: [Disturbance; 5] = [
        Disturbance::Calm,
        Disturbance::ShiftingPrefixes,
        Disturbance::EventLoss,
        Disturbance::EngineCrashes,
        Disturbance::ZoneCut,
    ];

    /// Its name in options and reports.
    pub fn name(self) -> &'static str {
        match self {
            Disturbance::Calm => "calm",
            Disturbance::ShiftingPrefixes => "shifting_prefixes",
            Disturbance::EventLoss => "event_loss",
            Disturbance::EngineCrashes => "engine_crashes",
            Disturbance::ZoneCut => "zone_cut",
        }
    }

    /// Changes the plan, before calls are drawn.
    pub(super) fn prepare(self, plan: &mut WorkloadPlan) {
        if self == Disturbance::ShiftingPrefixes {
            plan.shift_every = Some(plan.duration / 3);
        }
    }

    /// Disturbs a rig while a run of this length begins now.
    pub(super) async fn bring_about(
        self,
        rig: &Rig,
        warm_up: Duration,
        duration: Duration,
    ) -> Result<(), LoadError> {
        let start = Instant::now();
        let measured = duration.saturating_sub(warm_up);
        match self {
            Disturbance::Calm | Disturbance::ShiftingPrefixes => Ok(()),
            Disturbance::EventLoss => {
                let order = FaultOrder { drop_events: Some(LOST_EVENTS), ..FaultOrder::default() };
                while start.elapsed() < duration {
                    order_engines(rig, &order, |_, _| true).await?;
                    sleep(LOSS_EVERY).await;
                }
                Ok(())
            }
            Disturbance::EngineCrashes => {
                sleep_until(start + warm_up + measured / 3).await;
                let order = FaultOrder { crash_ms: Some(CRASH_MS), ..FaultOrder::default() };
                order_engines(rig, &order, |index, _| index % 3 == 0).await
            }
            Disturbance::ZoneCut => {
                sleep_until(start + warm_up + measured / 3).await;
                let freeze_ms = Some((measured / 3).as_millis() as u64);
                let order = FaultOrder { freeze_ms, ..FaultOrder::default() };
                let zone = rig.deployment.zones[0].as_str();
                order_engines(rig, &order, |_, of| of == zone).await
            }
        }
    }
}

async fn order_engines(
    rig: &Rig,
    order: &FaultOrder,
    is_meant: impl Fn(usize, &str) -> bool,
) -> Result<(), LoadError> {
    for (index, engine) in rig.deployment.engines.iter().enumerate() {
        if !is_meant(index, engine.zone.as_str()) {
            continue;
        }
        if let Some(address) = rig.server_address(engine.name.as_str()) {
            rig.control.order(&address, order).await?;
        }
    }
    Ok(())
}
