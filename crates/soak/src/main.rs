//! The soak as a program: seeds in, broken promises out.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use fulmargate_soak::JudgedCount;
use fulmargate_soak::PlanKind;
use fulmargate_soak::SoakConf;
use fulmargate_soak::SoakReport;
use fulmargate_soak::run_seed;
use futures_util::StreamExt;
use futures_util::stream;

/// Runs entry daemons under random faults and checks what is promised.
#[derive(FromArgs)]
struct SoakArgs {
    /// the first seed
    #[argh(option)]
    first: u64,
    /// how many seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// routers of each run
    #[argh(option, default = "3")]
    routers: usize,
    /// seeds that run at the same time
    #[argh(option, default = "4")]
    jobs: usize,
    /// seconds within which faults begin
    #[argh(option, default = "10")]
    seconds: u64,
    /// the daemon; the one beside this program if left out
    #[argh(option)]
    program: Option<PathBuf>,
    /// where logs of failed seeds stay
    #[argh(option, default = "std::env::temp_dir().join(\"fulmargate-soak\")")]
    logs: PathBuf,
    /// also take a key away while a router is cut off from the store
    #[argh(switch)]
    cut_off: bool,
    /// links of hosts are full while answers pause, beside the faults of the seed; goes before --cut-off
    #[argh(switch)]
    full_link: bool,
    /// the store comes back from copies of itself, beside the faults of the seed; goes before the others
    #[argh(switch)]
    restores: bool,
    /// servers leave while routers are cut off from the store or paused, beside the faults of the seed; goes
    /// before --full-link
    #[argh(switch)]
    departures: bool,
    /// servers name limits, beside the faults of the seed; goes before --departures
    #[argh(switch)]
    limits: bool,
    /// responses are framed and ended in all ways, and servers killed, beside the faults of the seed; goes before
    /// --limits
    #[argh(switch)]
    response_ends: bool,
    /// hosts reach no server, beside the faults of the seed; goes before --response-ends
    #[argh(switch)]
    host_cuts: bool,
    /// servers fall over when they reject too much, beside the faults of the seed; goes before --host-cuts
    #[argh(switch)]
    brittle: bool,
    /// one host takes all new connections while servers are brittle, beside the faults of the seed; goes before --brittle
    #[argh(switch)]
    crowded_hosts: bool,
    /// callers send requests that crash servers, beside the faults of the seed; goes before --brittle, and together with
    /// --host-cuts
    #[argh(switch)]
    crashing_requests: bool,
    /// callers send prompts with a part that crashes engines, beside the faults of the seed; goes before
    /// --crashing-requests, and together with --host-cuts
    #[argh(switch)]
    crashing_parts: bool,
    /// engines run several software versions, and callers take up their streams, beside the faults of the seed; goes
    /// before --crashing-requests
    #[argh(switch)]
    versions: bool,
    /// clients do not keep to the protocol, and routers have little memory, beside the faults of the seed; goes before
    /// --weights
    #[argh(switch)]
    rough_clients: bool,
    /// entries that no server has written come into the list of servers before all routers are killed, beside the faults of
    /// the seed; goes before --rough-clients
    #[argh(switch)]
    foreign_entries: bool,
    /// operators name series of weights versions while routers are stopped and killed, beside the faults of the seed; goes
    /// before --versions
    #[argh(switch)]
    weights: bool,
    /// no router is disturbed while hosts reach no server or servers are brittle, so that all of it is judged; with
    /// --weights, no faults of the seed disturb routers or servers
    #[argh(switch)]
    calm: bool,
    /// print what goes wrong in each run
    #[argh(switch)]
    plans: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    let Some(program) = args.program.clone().or_else(daemon_beside) else {
        eprintln!("the daemon's program was not found; name it by --program");
        return ExitCode::from(2);
    };
    let length = Duration::from_secs(args.seconds);
    let kind = match &args {
        SoakArgs { restores: true, .. } => PlanKind::Restore,
        SoakArgs { foreign_entries: true, .. } => PlanKind::ForeignEntries,
        SoakArgs { rough_clients: true, .. } => PlanKind::RoughClients,
        SoakArgs { weights: true, .. } => PlanKind::Weights,
        SoakArgs { versions: true, .. } => PlanKind::Versions,
        SoakArgs { crashing_parts: true, host_cuts: true, .. } => PlanKind::PartsBesideCuts,
        SoakArgs { crashing_parts: true, .. } => PlanKind::CrashingParts,
        SoakArgs { crashing_requests: true, host_cuts: true, .. } => PlanKind::CrashesBesideCuts,
        SoakArgs { crashing_requests: true, .. } => PlanKind::CrashingRequests,
        SoakArgs { crowded_hosts: true, .. } => PlanKind::CrowdedHosts,
        SoakArgs { brittle: true, .. } => PlanKind::Brittle,
        SoakArgs { host_cuts: true, .. } => PlanKind::HostCuts,
        SoakArgs { response_ends: true, .. } => PlanKind::ResponseEnds,
        SoakArgs { limits: true, .. } => PlanKind::Limits,
        SoakArgs { departures: true, .. } => PlanKind::Departures,
        SoakArgs { full_link: true, .. } => PlanKind::FullLink,
        SoakArgs { cut_off: true, .. } => PlanKind::CutOff,
        _ => PlanKind::Mixed,
    };
    let (folder, routers) = (args.logs.clone(), args.routers);
    let conf = SoakConf { program, folder, length, routers, kind, is_calm: args.calm };
    let runs = (args.first..args.first + args.seeds).map(|seed| run_seed(seed, &conf));
    let mut reports = stream::iter(runs).buffered(args.jobs.max(1));
    let mut failed = 0;
    while let Some(report) = reports.next().await {
        match report {
            Ok(report) => failed += usize::from(tell(&report, args.plans)),
            Err(err) => {
                eprintln!("a run could not be played: {err}");
                return ExitCode::from(3);
            }
        }
    }
    println!("{} seeds, {failed} with a broken promise", args.seeds);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints a report. Returns whether a promise was broken.
fn tell(report: &SoakReport, with_plan: bool) -> bool {
    let SoakReport { plan, requests, served, judged, broken } = report;
    let steps = plan.steps.len();
    println!("seed {}: {steps} faults, {served} of {requests} requests served", plan.seed);
    let JudgedCount { at_cut_hosts, falls, counted_falls, crashes, late_crash_sends, .. } = judged;
    println!(
        "  judged: {at_cut_hosts} requests at cut hosts, {counted_falls} of {falls} falls, \
         {crashes} crashes, {late_crash_sends} late sends, {} of {} streams taken up went on, {} refused",
        judged.went_on, judged.taken_up, judged.refused_streams
    );
    if 0 < judged.at_crowded_hosts {
        println!("  {} requests at crowded hosts", judged.at_crowded_hosts);
    }
    let weights = judged.weights;
    if 0 < weights.prompts {
        println!(
            "  weights: {} prompts, {} on older ones, {} late, {} of these by routers in touch, up to {} ms; engines \
             outdated for up to {} ms more than allowed; served {} calm, {} after all were killed",
            weights.prompts,
            weights.on_older,
            weights.late,
            weights.late_in_touch,
            weights.max_excess.as_millis(),
            weights.max_engine_excess.as_millis(),
            weights.calm,
            weights.after_kills,
        );
    }
    if with_plan || !broken.is_empty() {
        for step in &plan.steps {
            let (at, lasts) = (step.at.as_millis(), step.lasts.as_millis());
            println!("  at {at} ms for {lasts} ms: {:?}", step.fault);
        }
    }
    for promise in broken {
        println!("  broken: {}: {}", promise.promise, promise.detail);
    }
    !broken.is_empty()
}

fn daemon_beside() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let beside = own.with_file_name("fulmargate-entry");
    beside.exists().then_some(beside)
}
