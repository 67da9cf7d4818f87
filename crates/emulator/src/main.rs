//! Plays load patterns with mechanisms switched off one by one, and prints what each day was worth.

use std::process::ExitCode;

use argh::FromArgs;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use fulmargate_dispatch::experiment::Mechanism;
use fulmargate_dispatch::experiment::disable;
use fulmargate_emulator::CallKind;
use fulmargate_emulator::FigureSheet;
use fulmargate_emulator::FleetSpec;
use fulmargate_emulator::LoadPattern;
use fulmargate_emulator::play;
use serde_json::json;

/// Plays load patterns on the decisions of the routers, on virtual time.
#[derive(FromArgs)]
struct PlayArgs {
    /// patterns, separated by commas (default: all)
    #[argh(option, default = "String::from(\"all\")")]
    patterns: String,
    /// seeds, from 1 on (default: 2)
    #[argh(option, default = "2")]
    seeds: u64,
    /// mechanisms that are left out, one column each, separated by commas; `all` for each one
    #[argh(option, default = "String::new()")]
    off: String,
    /// the fleet of 112 engines and 90 routers
    #[argh(switch)]
    grown: bool,
    /// print JSON lines in place of a table
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let args: PlayArgs = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &PlayArgs) -> Result<(), String> {
    let patterns = patterns(&args.patterns)?;
    let policies = policies(&args.off)?;
    let spec = if args.grown { FleetSpec::grown() } else { FleetSpec::default() };
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "left out",
        "pattern",
        "worth",
        "reviews in time",
        "lookups in time",
        "answered",
    ]);
    for off in &policies {
        disable(off);
        let name = off.first().map_or("nothing".to_owned(), ToString::to_string);
        for pattern in &patterns {
            eprintln!("playing {} without {name}", pattern.name());
            let sheets: Vec<FigureSheet> =
                (1..=args.seeds).map(|seed| play(spec, *pattern, seed)).collect();
            let mean = |figure: &dyn Fn(&FigureSheet) -> f64| {
                sheets.iter().map(figure).sum::<f64>() / sheets.len().max(1) as f64
            };
            let row = [
                mean(&FigureSheet::worth),
                mean(&|sheet| sheet.kind(CallKind::Review).in_time_share()),
                mean(&|sheet| sheet.kind(CallKind::Lookup).in_time_share()),
                mean(&|sheet| sheet.kind(CallKind::Review).answered_share()),
            ];
            if args.json {
                let line = json!({"off": name, "pattern": pattern.name(), "sheets": sheets});
                println!("{line}");
            }
            let cells = row.map(|figure| format!("{figure:.3}"));
            table.add_row([name.clone(), pattern.name().to_owned()].into_iter().chain(cells));
        }
    }
    if !args.json {
        println!("{table}");
    }
    Ok(())
}

fn patterns(names: &str) -> Result<Vec<LoadPattern>, String> {
    if names == "all" {
        return Ok(LoadPattern::ALL.to_vec());
    }
    let find = |name: &str| LoadPattern::ALL.into_iter().find(|pattern| pattern.name() == name);
    let known = LoadPattern::ALL.map(LoadPattern::name).join(", ");
    let pattern = |name| find(name).ok_or_else(|| format!("no pattern {name}: there are {known}"));
    names.split(',').map(pattern).collect()
}

/// Nothing left out, then one mechanism after the other.
fn policies(off: &str) -> Result<Vec<Vec<Mechanism>>, String> {
    let find =
        |name: &str| Mechanism::ALL.into_iter().find(|mechanism| mechanism.to_string() == name);
    let mechanisms = match off {
        "" => Vec::new(),
        "all" => Mechanism::ALL.to_vec(),
        names => {
            let known = Mechanism::ALL.map(|mechanism| mechanism.to_string()).join(", ");
            let mechanism =
                |name| find(name).ok_or_else(|| format!("no mechanism {name}: there are {known}"));
            names.split(',').map(mechanism).collect::<Result<Vec<Mechanism>, String>>()?
        }
    };
    Ok([Vec::new()]
        .into_iter()
        .chain(mechanisms.into_iter().map(|mechanism| vec![mechanism]))
        .collect())
}
