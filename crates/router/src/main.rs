//! The router daemon's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use fulmargate_names::EventKind;
use fulmargate_router::install_logging;
use fulmargate_router::start;
use fulmargate_settings::RouterSettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

/// Routes language-model traffic from callers to backend servers: one process on each entry host.
/// SIGTERM and SIGINT begin a planned stop: readiness goes first, open requests finish, then it leaves.
/// Exit codes: 0 stopped as planned, 2 settings refused, 3 could not start (such as a port in use).
#[derive(FromArgs)]
struct RouterArgs {
    /// the settings file (JSON); docs/operators/settings.md lists its keys
    #[argh(option, short = 's')]
    settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: RouterArgs = argh::from_env();
    let settings = match RouterSettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: accepted", args.settings.display());
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn run(settings: RouterSettings) -> ExitCode {
    install_logging(settings.log_format);
    let token = CancellationToken::new();
    let router = match start(settings, token.clone()) {
        Ok(router) => router,
        Err(err) => {
            tracing::error!(event = EventKind::SettingsRefused.number(), "{err}");
            eprintln!("{err}");
            return ExitCode::from(EXIT_START);
        }
    };
    let addresses = router.addresses();
    println!(
        "listening callers={} operators={} peers={}",
        addresses.callers, addresses.operators, addresses.peers
    );
    actix_rt::System::new().block_on(wait_for_signal());
    token.cancel();
    router.join();
    ExitCode::SUCCESS
}

async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
