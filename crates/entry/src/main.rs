//! The entry daemon's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use fulmargate_entry::run;
use fulmargate_settings::EntrySettings;

const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_STARTUP_FAILED: u8 = 3;

/// Routes language-model traffic on an entry host of the consortium platform.
/// SIGTERM and SIGINT start a graceful shutdown: readiness checks fail, open requests finish, the process exits.
/// SIGHUP reloads the settings and logs what has changed.
/// Exit codes: 0 graceful shutdown, 2 invalid settings, 3 startup failure (such as a port in use).
#[derive(FromArgs)]
struct EntryArgs {
    /// the settings file (JSON); docs/operators/entry.md lists its keys
    #[argh(option, short = 's')]
    settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: EntryArgs = argh::from_env();
    let settings = match EntrySettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{}: accepted", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings, &args.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(EXIT_STARTUP_FAILED)
        }
    }
}
