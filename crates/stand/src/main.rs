//! `fulmargate-stand`: each stand-in alone, or all of them at once.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use fulmargate_stand::RunningDeployment;
use fulmargate_stand::StandServer;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::run_samples;
use fulmargate_stand::sample_table;
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;

/// Stand-ins for the platform and the backend servers. They listen where their settings say, keep
/// nothing, and are for tests and first looks only. A stand-in started alone prints `listening
/// ADDRESS` as its first line and runs until an interrupt.
#[derive(FromArgs)]
struct StandArgs {
    #[argh(subcommand)]
    command: StandCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandCommand {
    Engine(EngineArgs),
    Service(ServiceArgs),
    Log(LogArgs),
    Weights(WeightsArgs),
    Hosts(HostsArgs),
    Kv(KvArgs),
    Try(TryArgs),
}

/// All stand-ins of a deployment and six routers in one process on loopback: prints addresses, a
/// team's key and curl lines, and stays up until an interrupt.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
struct TryArgs {
    /// which one: `shop` (default) or `utility`
    #[argh(option, default = "String::from(\"shop\")")]
    deployment: String,

    /// send a representative set of requests, print what came back, and exit: 0 if all is as it
    /// must be
    #[argh(switch)]
    once: bool,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// A replica of a plain service that counts its effects.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// The platform's append-only log.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// The rate-limited weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
struct WeightsArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// The platform's lagging list of hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
struct HostsArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// The KV store.
#[derive(FromArgs)]
#[argh(subcommand, name = "kv")]
struct KvArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: StandArgs = argh::from_env();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).init();
    match run(args.command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fulmargate-stand: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: StandCommand) -> Result<(), String> {
    match command {
        StandCommand::Engine(args) => serve(&args.settings, fulmargate_stand::engine_server).await,
        StandCommand::Service(args) => {
            serve(&args.settings, fulmargate_stand::service_server).await
        }
        StandCommand::Log(args) => serve(&args.settings, fulmargate_stand::log_server).await,
        StandCommand::Weights(args) => serve(&args.settings, fulmargate_stand::weight_server).await,
        StandCommand::Hosts(args) => {
            serve(&args.settings, fulmargate_stand::host_list_server).await
        }
        StandCommand::Kv(args) => serve(&args.settings, fulmargate_stand::kv_server).await,
        StandCommand::Try(args) => try_deployment(&args).await,
    }
}

/// Serves until an interrupt. The first line on the standard output says where.
async fn serve<T: DeserializeOwned>(
    path: &Path,
    server: fn(T) -> io::Result<StandServer>,
) -> Result<(), String> {
    let settings = fulmargate_settings::load(path).map_err(|error| error.to_string())?;
    let server = server(settings).map_err(|error| format!("cannot listen: {error}"))?;
    println!("listening {}", server.address().map_err(|error| error.to_string())?);
    let cancellation = CancellationToken::new();
    let stop = cancellation.clone();
    actix_rt::spawn(async move {
        let _ = tokio::signal::ctrl_c().await;
        stop.cancel();
    });
    server.serve(cancellation).await.map_err(|error| error.to_string())
}

async fn try_deployment(args: &TryArgs) -> Result<(), String> {
    let deployment = Deployment::named(&args.deployment).ok_or_else(|| {
        format!("--deployment: `{}`; allowed are `shop` and `utility`", args.deployment)
    })?;
    let running = RunningDeployment::start(deployment).await.map_err(|error| error.to_string())?;
    let result = match args.once {
        true => try_once(&running).await,
        false => stay_up(&running).await,
    };
    running.stop().await;
    result
}

async fn try_once(running: &RunningDeployment) -> Result<(), String> {
    let rows = run_samples(running).await;
    println!("{}", sample_table(&rows));
    let faults = rows.iter().filter(|row| row.fault.is_some()).count();
    println!("{} requests, {faults} not as they must be", rows.len());
    match faults {
        0 => Ok(()),
        _ => Err(format!("{faults} answers are wrong")),
    }
}

async fn stay_up(running: &RunningDeployment) -> Result<(), String> {
    println!("{}", running.directions());
    tokio::signal::ctrl_c().await.map_err(|error| error.to_string())
}
