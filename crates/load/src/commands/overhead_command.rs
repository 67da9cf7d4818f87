//! `fulmargate-load overhead`.

use std::rc::Rc;

use argh::FromArgs;
use fulmargate_stand::deployment::Deployment;

use super::CommandEnd;
use super::plan_options;
use super::report_table;
use crate::load_error::LoadError;
use crate::rig::ProcessorClock;
use crate::rig::Rig;
use crate::runs::OverheadFigures;
use crate::runs::OverheadRun;

const POLICY: &str = "cost";

/// Measure what a router adds to an engine's own answer, in one run. Without addresses one engine
/// and one router are started in this process; else the router's configuration must have that
/// engine only.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "overhead")]
pub(super) struct OverheadCommand {
    /// shop or utility (default: shop)
    #[argh(option, default = "String::from(\"shop\")")]
    deployment: String,
    /// seed of all that is drawn (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// address of a running engine
    #[argh(option)]
    engine: Option<String>,
    /// address of a running router
    #[argh(option)]
    router: Option<String>,
    /// process id of the running router, for its processor time
    #[argh(option)]
    router_pid: Option<u32>,
    /// calls a second, direct and routed together (default: 80)
    #[argh(option, default = "80.0")]
    rate: f64,
    /// how long each of the two parts takes (default: 15)
    #[argh(option, default = "15.0")]
    seconds: f64,
    /// tokens of an answer in the second part (default: 32)
    #[argh(option, default = "32")]
    answer_tokens: usize,
    /// one JSON object instead of a table
    #[argh(switch)]
    json: bool,
}

impl OverheadCommand {
    pub(super) async fn execute(self) -> Result<CommandEnd, LoadError> {
        let mut deployment = plan_options::deployment(&self.deployment)?;
        deployment.engines.truncate(1);
        deployment.hosts.truncate(1);
        let figures = match (&self.engine, &self.router) {
            (Some(engine), Some(router)) => {
                let clock = self.router_pid.map(ProcessorClock::of_process);
                let run = self.overhead_run(deployment, engine.clone(), router.clone(), clock)?;
                run.run().await
            }
            (None, None) => {
                let rig = Rig::start(&deployment, POLICY).await?;
                let engine = rig.server_address(deployment.engines[0].name.as_str());
                let router = rig.caller_addresses().swap_remove(0);
                let clock = Some(rig.router_clock.clone());
                let run =
                    self.overhead_run(deployment, engine.unwrap_or_default(), router, clock)?;
                let figures = run.run().await;
                rig.stop();
                figures
            }
            _ => {
                return Err(plan_options::bad_option(
                    "router",
                    "",
                    "both --engine and --router, or none",
                ));
            }
        };
        match self.json {
            true => plan_options::print_json(&figures)?,
            false => println!("{}", overhead_text(&figures)),
        }
        Ok(plan_options::end_of(figures.faults))
    }

    fn overhead_run(
        &self,
        deployment: Deployment,
        engine: String,
        router: String,
        clock: Option<ProcessorClock>,
    ) -> Result<OverheadRun, LoadError> {
        Ok(OverheadRun {
            deployment: Rc::new(deployment),
            seed: self.seed,
            engine,
            router,
            clock,
            rate: plan_options::positive("rate", self.rate)?,
            seconds: plan_options::positive("seconds", self.seconds)?,
            answer_tokens: self.answer_tokens,
        })
    }
}

fn overhead_text(figures: &OverheadFigures) -> String {
    let ms = |value: f64| format!("{value:.3}");
    let mut times = report_table::new_table(&["path", "whole", "ttft p50, ms", "p99, ms"]);
    for (name, path) in [("direct", figures.direct), ("routed", figures.routed)] {
        let row =
            [name.to_owned(), path.whole.to_string(), ms(path.ttft_p50_ms), ms(path.ttft_p99_ms)];
        times.add_row(row);
    }
    times.add_row([
        "added".to_owned(),
        String::new(),
        ms(figures.added_p50_ms),
        ms(figures.added_p99_ms),
    ]);
    let per_core =
        figures.tokens_per_core_s.map_or("not measured".to_owned(), |rate| format!("{rate:.0}"));
    format!(
        "{times}\n\nTokens relayed a second: {:.0}; a second of processor time: {per_core}\nErrors: {}; faults: {}",
        figures.tokens_per_s, figures.errors, figures.faults
    )
}
