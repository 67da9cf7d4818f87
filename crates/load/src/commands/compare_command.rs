//! `fulmargate-load compare`.

use std::rc::Rc;
use std::time::Duration;

use argh::FromArgs;

use super::CommandEnd;
use super::plan_options;
use super::report_table;
use crate::figures::RunReport;
use crate::load_error::LoadError;
use crate::rig::ImportSources;
use crate::runs::Comparison;
use crate::runs::ComparisonCell;
use crate::runs::Disturbance;
use crate::runs::POLICIES;

/// Compare policies on the same arrivals, each with fresh stand-ins and routers in this process,
/// beside a bound that knows all caches and the future.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub(super) struct CompareCommand {
    /// shop or utility (default: shop)
    #[argh(option, default = "String::from(\"shop\")")]
    deployment: String,
    /// seed of the arrivals (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// policies separated by commas, or all (default: all)
    #[argh(option, default = "String::from(\"all\")")]
    policies: String,
    /// loads as shares of the capacity, separated by commas (default: 0.7,0.9)
    #[argh(option, default = "String::from(\"0.7,0.9\")")]
    load: String,
    /// calm, shifting_prefixes, event_loss, engine_crashes, zone_cut, separated by commas, or all
    /// (default: calm)
    #[argh(option, default = "String::from(\"calm\")")]
    disturbances: String,
    /// seconds that are sent and not measured (default: 8)
    #[argh(option, default = "8.0")]
    warm_up: f64,
    /// seconds that are measured (default: 20)
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// no KV store and no imports from other engines, so that the bound is one
    #[argh(switch)]
    without_store: bool,
    /// one JSON object instead of tables
    #[argh(switch)]
    json: bool,
}

impl CompareCommand {
    pub(super) async fn execute(self) -> Result<CommandEnd, LoadError> {
        let comparison = Comparison {
            deployment: Rc::new(plan_options::deployment(&self.deployment)?),
            seed: self.seed,
            policies: policies(&self.policies)?,
            loads: loads(&self.load)?,
            disturbances: disturbances(&self.disturbances)?,
            imports: if self.without_store { ImportSources::None } else { ImportSources::All },
            warm_up: Duration::from_secs_f64(plan_options::positive("warm-up", self.warm_up)?),
            measured: Duration::from_secs_f64(plan_options::positive("seconds", self.seconds)?),
        };
        let report = comparison.run(|text| eprintln!("{text}")).await?;
        match self.json {
            true => plan_options::print_json(&report)?,
            false => {
                println!(
                    "{}, seed {}: capacity {:.0} calls/s",
                    report.deployment, report.seed, report.capacity
                );
                report.cells.iter().for_each(|cell| println!("\n{}", cell_text(cell)));
            }
        }
        let cells = report.cells.iter().flat_map(|cell| cell.policies.values());
        Ok(plan_options::end_of(cells.map(RunReport::fault_count).sum()))
    }
}

fn policies(text: &str) -> Result<Vec<String>, LoadError> {
    let names: Vec<&str> =
        if text == "all" { POLICIES.to_vec() } else { text.split(',').collect() };
    match names.iter().find(|name| !POLICIES.contains(name)) {
        Some(name) => {
            let allowed = "cost, round_robin, least_load, prefix_hash, or all";
            Err(plan_options::bad_option("policies", name, allowed))
        }
        None => Ok(names.into_iter().map(str::to_owned).collect()),
    }
}

fn loads(text: &str) -> Result<Vec<f64>, LoadError> {
    let load = |part: &str| match part.parse() {
        Ok(load) => plan_options::positive("load", load),
        Err(_) => {
            Err(plan_options::bad_option("load", part, "numbers above 0, separated by commas"))
        }
    };
    text.split(',').map(load).collect()
}

fn disturbances(text: &str) -> Result<Vec<Disturbance>, LoadError> {
    if text == "all" {
        return Ok(Disturbance::ALL.to_vec());
    }
    let named = |name: &str| {
        let found = Disturbance::ALL.into_iter().find(|disturbance| disturbance.name() == name);
        let allowed = "calm, shifting_prefixes, event_loss, engine_crashes, zone_cut, or all";
        found.ok_or_else(|| plan_options::bad_option("disturbances", name, allowed))
    };
    text.split(',').map(named).collect()
}

fn cell_text(cell: &ComparisonCell) -> String {
    let mut table = report_table::new_table(&[
        "policy",
        "hit rate",
        "of bound",
        "recomputed",
        "share",
        "urgent ttft p50",
        "p99",
        "batch ttft p99",
        "goodput/s",
        "errors",
        "faults",
    ]);
    let bounds = [
        ("bound", &cell.bound),
        ("bound with store", &cell.bound_with_store),
        ("pooled LRU", &cell.pooled_lru),
    ];
    for (name, bound) in bounds {
        table.add_row(vec![
            name.to_owned(),
            format!("{:.4}", bound.hit_rate),
            format!("{:.3}", bound.hit_rate / cell.bound.hit_rate),
            bound.recomputed_tokens.to_string(),
            format!("{:.4}", bound.recomputed_share),
        ]);
    }
    for (policy, report) in &cell.policies {
        let p99 = |class: &str| {
            report.ttft_p99_ms.get(class).map_or(String::new(), |ms| format!("{ms:.0}"))
        };
        let p50 = report.classes.get("urgent").map_or(0.0, |figures| figures.ttft_p50_ms);
        table.add_row(vec![
            policy.clone(),
            format!("{:.4}", report.hit_rate),
            format!("{:.3}", report.hit_rate / cell.bound.hit_rate),
            report.recomputed_tokens.to_string(),
            format!("{:.4}", report.recomputed_share),
            format!("{p50:.0}"),
            p99("urgent"),
            p99("batch"),
            format!("{:.1}", report.goodput),
            report.errors.to_string(),
            report.fault_count().to_string(),
        ]);
    }
    let ComparisonCell { load, rate, disturbance, .. } = cell;
    format!("Load {load} ({rate:.0} calls/s), {disturbance}; times in milliseconds\n{table}")
}
