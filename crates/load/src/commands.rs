//! The commands of `fulmargate-load`.

mod compare_command;
mod faults_command;
mod overhead_command;
mod plan_options;
mod report_table;
mod run_command;

use argh::FromArgs;

use crate::load_error::LoadError;
use compare_command::CompareCommand;
use faults_command::FaultsCommand;
use overhead_command::OverheadCommand;
use run_command::RunCommand;

/// What a command found, for its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandEnd {
    /// Nothing that must never be.
    Sound,
    /// At least one answer that must never be.
    Faulty,
}

/// Sends reproducible load, checks every answer whole, compares policies, and tries faults. Exit
/// codes: 0 sound, 1 could not run, 2 at least one answer that must never be.
#[derive(FromArgs, Debug)]
pub struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunCommand),
    Overhead(OverheadCommand),
    Compare(CompareCommand),
    Faults(FaultsCommand),
}

impl LoadArgs {
    /// Carries the command out and prints what it found.
    pub async fn execute(self) -> Result<CommandEnd, LoadError> {
        match self.command {
            LoadCommand::Run(command) => command.execute().await,
            LoadCommand::Overhead(command) => command.execute().await,
            LoadCommand::Compare(command) => command.execute().await,
            LoadCommand::Faults(command) => command.execute().await,
        }
    }
}
