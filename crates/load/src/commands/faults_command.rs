//! `fulmargate-load faults`.

use std::rc::Rc;
use std::time::Duration;

use argh::FromArgs;

use super::CommandEnd;
use super::plan_options;
use super::report_table;
use crate::faults::FaultKind;
use crate::faults::FaultReport;
use crate::faults::FaultRun;
use crate::load_error::LoadError;

/// Play a seeded schedule of faults, alone, twice and together, against stand-ins and routers in
/// this process, and count what must never be, beside a calm run.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "faults")]
pub(super) struct FaultsCommand {
    /// shop or utility (default: shop)
    #[argh(option, default = "String::from(\"shop\")")]
    deployment: String,
    /// seed of arrivals and schedule (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// calls a second (default: 150)
    #[argh(option, default = "150.0")]
    rate: f64,
    /// seconds of each slot of the schedule (default: 4)
    #[argh(option, default = "4.0")]
    slot: f64,
    /// seconds of the calm run (default: 20)
    #[argh(option, default = "20.0")]
    calm: f64,
    /// kinds of faults in the names of the report, separated by commas, or all (default: all)
    #[argh(option, default = "String::from(\"all\")")]
    kinds: String,
    /// one JSON object instead of tables
    #[argh(switch)]
    json: bool,
}

impl FaultsCommand {
    pub(super) async fn execute(self) -> Result<CommandEnd, LoadError> {
        let run = FaultRun {
            deployment: Rc::new(plan_options::deployment(&self.deployment)?),
            seed: self.seed,
            rate: plan_options::positive("rate", self.rate)?,
            slot: Duration::from_secs_f64(plan_options::positive("slot", self.slot)?),
            calm: Duration::from_secs_f64(plan_options::positive("calm", self.calm)?),
            kinds: kinds(&self.kinds)?,
        };
        let report = run.run(|text| eprintln!("{text}")).await?;
        match self.json {
            true => plan_options::print_json(&report)?,
            false => println!("{}", fault_text(&report)),
        }
        Ok(plan_options::end_of(report.fault_count()))
    }
}

fn kinds(text: &str) -> Result<Vec<FaultKind>, LoadError> {
    if text == "all" {
        return Ok(FaultKind::ALL.to_vec());
    }
    let named = |name: &str| {
        let found = FaultKind::ALL.into_iter().find(|kind| kind_name(*kind) == name);
        found.ok_or_else(|| plan_options::bad_option("kinds", name, "a kind of the report, or all"))
    };
    text.split(',').map(named).collect()
}

fn kind_name(kind: FaultKind) -> String {
    serde_json::to_value(kind)
        .ok()
        .and_then(|name| Some(name.as_str()?.to_owned()))
        .unwrap_or_default()
}

fn fault_text(report: &FaultReport) -> String {
    let mut slots = report_table::new_table(&["at, s", "phase", "faults", "calls", "whole"]);
    for slot in &report.slots {
        let kinds: Vec<String> = slot.kinds.iter().map(|kind| kind_name(*kind)).collect();
        slots.add_row(vec![
            format!("{:.0}", slot.at_s),
            format!("{:?}", slot.phase).to_lowercase(),
            kinds.join(", "),
            slot.calls.to_string(),
            slot.whole.to_string(),
        ]);
    }
    let mut never = report_table::new_table(&["must never be", "count"]);
    for (name, count) in &report.never {
        never.add_row(vec![(*name).to_owned(), count.to_string()]);
    }
    let FaultReport { poison, config, .. } = report;
    format!(
        "{slots}\n\n{}\n\n{never}\n\nGoodput {:.1} calls/s, calm {:.1}, ratio {:.3}\n\
         Crashing requests: {} sent {} times, {} convicted, {} engines lost, {} innocents refused\n\
         Patches: {} accepted, {} stale, {} others; version {} after {} looks\nNot run here: {}",
        report_table::run_text(&report.run),
        report.goodput,
        report.calm_goodput,
        report.goodput_ratio,
        poison.requests,
        poison.sends,
        poison.convicted,
        poison.engines_lost,
        poison.innocents_refused,
        config.accepted,
        config.stale,
        config.others,
        config.version,
        config.looks,
        report.not_run.join("; "),
    )
}
