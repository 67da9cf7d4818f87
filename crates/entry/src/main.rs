//! The entry daemon's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use fulmargate_entry::run;
use fulmargate_settings::EntrySettings;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

/// Routes language-model traffic on an entry host of the consortium platform.
/// SIGTERM and SIGINT begin a planned stop: readiness goes first, open requests finish, then it leaves.
/// SIGHUP reads the settings again and says what has changed.
/// Exit codes: 0 stopped as planned, 2 settings refused, 3 could not start (such as a port in use).
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
            return ExitCode::from(EXIT_SETTINGS);
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
            ExitCode::from(EXIT_START)
        }
    }
}
