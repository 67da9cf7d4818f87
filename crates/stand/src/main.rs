//! `fulmargate-stand`: each stand-in alone, or all of them at once.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use fulmargate_stand::EngineSettings;
use fulmargate_stand::LogSettings;
use fulmargate_stand::ServiceSettings;
use fulmargate_stand::StandServer;
use fulmargate_stand::engine_server;
use fulmargate_stand::log_server;
use fulmargate_stand::service_server;
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

/// Stand-ins for the platform and the backend servers. They listen on loopback and keep nothing.
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
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// A replica of a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// The platform's log.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: StandArgs = argh::from_env();
    let result = match args.command {
        StandCommand::Engine(args) => serve::<EngineSettings>(&args.settings, engine_server).await,
        StandCommand::Service(args) => {
            serve::<ServiceSettings>(&args.settings, service_server).await
        }
        StandCommand::Log(args) => serve::<LogSettings>(&args.settings, log_server).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fulmargate-stand: {message}");
            ExitCode::FAILURE
        }
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
