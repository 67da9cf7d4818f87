//! `fulmargate-load overhead`.

use std::rc::Rc;

use argh::FromArgs;

use super::CommandEnd;
use super::plan_options;
use super::report_table;
use crate::load_error::LoadError;
use crate::runs::OverheadFigures;
use crate::runs::OverheadRun;

/// Measure what a router adds to an engine's own answer, in one run. The router's configuration
/// must have that engine only.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "overhead")]
pub(super) struct OverheadCommand {
    /// shop or utility (default: shop)
    #[argh(option, default = "String::from(\"shop\")")]
    deployment: String,
    /// seed of all that is drawn (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// address of the engine
    #[argh(option)]
    engine: String,
    /// address of the router
    #[argh(option)]
    router: String,
    /// process id of the router, for its processor time
    #[argh(option)]
    router_pid: Option<u32>,
    /// calls a second, direct and routed together (default: 40)
    #[argh(option, default = "40.0")]
    rate: f64,
    /// how long each of the two parts takes (default: 15)
    #[argh(option, default = "15.0")]
    seconds: f64,
    /// tokens of an answer in the second part (default: 64)
    #[argh(option, default = "64")]
    answer_tokens: usize,
    /// one JSON object instead of a table
    #[argh(switch)]
    json: bool,
}

impl OverheadCommand {
    pub(super) async fn execute(self) -> Result<CommandEnd, LoadError> {
        let run = OverheadRun {
            deployment: Rc::new(plan_options::deployment(&self.deployment)?),
            seed: self.seed,
            engine: self.engine,
            router: self.router,
            router_pid: self.router_pid,
            rate: plan_options::positive("rate", self.rate)?,
            seconds: plan_options::positive("seconds", self.seconds)?,
            answer_tokens: self.answer_tokens,
        };
        let figures = run.run().await?;
        match self.json {
            true => plan_options::print_json(&figures)?,
            false => println!("{}", overhead_text(&figures)),
        }
        Ok(plan_options::end_of(figures.faults))
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
