//! `fulmargate-load run`.

use std::rc::Rc;
use std::time::Duration;

use argh::FromArgs;

use super::CommandEnd;
use super::plan_options;
use super::report_table;
use crate::calls::CallTarget;
use crate::figures::ReportScope;
use crate::figures::RunReport;
use crate::load_error::LoadError;
use crate::runs::LoadRun;
use crate::runs::RunLimits;
use crate::workload::WorkloadPlan;

/// Send a deployment's load to running routers and report.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "run")]
pub(super) struct RunCommand {
    /// shop or utility (default: shop)
    #[argh(option, default = "String::from(\"shop\")")]
    deployment: String,
    /// seed of all that is drawn (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// addresses of the routers, HOST:PORT separated by commas, called in turn
    #[argh(option)]
    routers: Option<String>,
    /// addresses of engines, called without a router
    #[argh(option)]
    direct: Option<String>,
    /// calls a second (default: 100)
    #[argh(option, default = "100.0")]
    rate: f64,
    /// how long calls are sent (default: 30)
    #[argh(option, default = "30.0")]
    seconds: f64,
    /// calls of the first so many seconds are checked and not measured (default: 5)
    #[argh(option, default = "5.0")]
    warm_up: f64,
    /// after each so many seconds other records are the popular ones
    #[argh(option)]
    shift_every: Option<f64>,
    /// calls sent at most (default: 200000)
    #[argh(option, default = "200_000")]
    max_calls: usize,
    /// one JSON object instead of tables
    #[argh(switch)]
    json: bool,
}

impl RunCommand {
    pub(super) async fn execute(self) -> Result<CommandEnd, LoadError> {
        let run = self.load_run()?;
        let calls = run.calls();
        let records = run.run(&calls).await;
        let touches = run.touches(&calls);
        let scope = ReportScope {
            deployment: &run.deployment,
            touches: &touches,
            warm_up: Duration::from_secs_f64(self.warm_up.max(0.0)),
            duration: run.plan.duration,
        };
        let report = RunReport::new(&scope, &records);
        match self.json {
            true => plan_options::print_json(&report)?,
            false => println!("{}", report_table::run_text(&report)),
        }
        Ok(plan_options::end_of(report.fault_count()))
    }

    fn load_run(&self) -> Result<LoadRun, LoadError> {
        let deployment = Rc::new(plan_options::deployment(&self.deployment)?);
        let mut plan = WorkloadPlan::new(&deployment, self.seed);
        plan.rate = plan_options::positive("rate", self.rate)?;
        plan.duration = Duration::from_secs_f64(plan_options::positive("seconds", self.seconds)?);
        plan.shift_every = self.shift_every.map(Duration::from_secs_f64);
        let (target, addresses) = match (&self.routers, &self.direct) {
            (Some(routers), None) => {
                (CallTarget::Routers, plan_options::addresses("routers", routers)?)
            }
            (None, Some(direct)) => {
                // Engines know no plain services.
                plan.service_share = 0.0;
                (CallTarget::Engines, plan_options::addresses("direct", direct)?)
            }
            _ => {
                return Err(plan_options::bad_option(
                    "routers",
                    "",
                    "either --routers or --direct",
                ));
            }
        };
        let limits = RunLimits { max_calls: self.max_calls, ..RunLimits::default() };
        Ok(LoadRun { deployment, plan, target, addresses, limits })
    }
}
