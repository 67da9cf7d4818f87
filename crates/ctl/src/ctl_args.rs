//! The command line.

use argh::FromArgs;
use fulmargate_names::ConfigVersion;

use crate::CommandEnd;
use crate::CtlError;
use crate::check_command;
use crate::command_end::OutputForm;
use crate::config_command;
use crate::entry_command;
use crate::explain_command;
use crate::fleet_command;
use crate::patch_command;
use crate::router_client::RouterClient;

/// Where the router is, unless told.
const ROUTER_VARIABLE: &str = "FULMARGATE_ROUTER";
/// The operators' key, unless told. A key on the command line can be seen by others on the host.
const KEY_VARIABLE: &str = "FULMARGATE_KEY";
const DEFAULT_ROUTER: &str = "127.0.0.1:8081";

/// Asks a router of fulmargate, and changes its configuration. Exit codes: 0 done, 1 arguments or
/// files, 2 stale version, 3 invalid document or patch, 4 outcome unknown, 5 router or log out of
/// reach, 6 key refused, 7 other refusals.
#[derive(FromArgs, Debug)]
pub struct CtlArgs {
    /// address of a router's operators' listener (else FULMARGATE_ROUTER, else 127.0.0.1:8081)
    #[argh(option)]
    router: Option<String>,
    /// operators' key (better in FULMARGATE_KEY: other users of the host see arguments)
    #[argh(option)]
    key: Option<String>,
    /// print one JSON value
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: CtlCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum CtlCommand {
    Config(ConfigArgs),
    Hosts(HostsArgs),
    Servers(ServersArgs),
    Teams(TeamsArgs),
    Drain(DrainArgs),
    Undrain(UndrainArgs),
    Status(StatusArgs),
    Entry(EntryArgs),
    Lift(LiftArgs),
    Explain(ExplainArgs),
}

/// The configuration.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
struct ConfigArgs {
    #[argh(subcommand)]
    command: ConfigCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum ConfigCommand {
    Show(ShowArgs),
    Patch(PatchArgs),
    Check(CheckArgs),
    History(HistoryArgs),
}

/// Prints the version and the document in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
struct ShowArgs {}

/// Submits a patch made against a version; refused if that is not the current one.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "patch")]
pub(crate) struct PatchArgs {
    /// the version that the patch was made against (0 for the first document)
    #[argh(option)]
    pub(crate) base: u64,
    /// who submits it, for the history (else USER)
    #[argh(option)]
    pub(crate) author: Option<String>,
    /// a JSON Patch (array) or a merge patch (object); else standard input is read
    #[argh(positional)]
    pub(crate) file: Option<String>,
}

/// Checks a document without a router, or with --patch a patch against the document in force.
/// Nothing is submitted.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// the file is a patch
    #[argh(switch)]
    pub(crate) patch: bool,
    /// the document or the patch; else standard input is read
    #[argh(positional)]
    pub(crate) file: Option<String>,
}

/// Prints the newest accepted and refused patches.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {}

/// Prints the entry hosts with the version in force on each.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hosts")]
struct HostsArgs {}

/// Prints the backend servers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "servers")]
struct ServersArgs {}

/// Prints the teams.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "teams")]
struct TeamsArgs {}

/// Lets a backend server finish what it has and gives it nothing new.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {
    /// the backend server
    #[argh(positional)]
    server: String,
}

/// Gives a backend server work again.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
struct UndrainArgs {
    /// the backend server
    #[argh(positional)]
    server: String,
}

/// Prints the state of the router.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct StatusArgs {}

/// Prints the state of an entry daemon on the platform: configuration and its proof, weights,
/// members, lease, servers. Needs no key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "entry")]
struct EntryArgs {
    /// address of the daemon's metrics listener
    #[argh(positional)]
    address: String,
}

/// Clears a request or a part of prompts of the crashes that count against it, at all hosts. `entry` lists them. Needs no
/// key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "lift")]
struct LiftArgs {
    /// address of a daemon's metrics listener
    #[argh(positional)]
    address: String,
    /// key of the request or the part
    #[argh(positional)]
    key: String,
}

/// Prints what log lines say of one request, in order of time, from the logs of several daemons.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub(crate) id: String,
    /// log files; else standard input is read
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

impl CtlArgs {
    /// Does what the command line says.
    pub async fn execute(&self) -> CommandEnd {
        let form = if self.json { OutputForm::Json } else { OutputForm::Human };
        let result = match &self.command {
            CtlCommand::Config(args) => self.execute_config(&args.command, form).await,
            CtlCommand::Entry(args) => entry_command::status(&args.address, form).await,
            CtlCommand::Lift(args) => entry_command::lift(&args.address, &args.key, form).await,
            CtlCommand::Explain(args) => explain_command::explain(args, form),
            command => self.execute_fleet(command, form).await,
        };
        result.unwrap_or_else(|error| error.into_end(form))
    }

    async fn execute_config(
        &self,
        command: &ConfigCommand,
        form: OutputForm,
    ) -> Result<CommandEnd, CtlError> {
        match command {
            ConfigCommand::Show(_) => config_command::show(&self.client()?, form).await,
            ConfigCommand::History(_) => config_command::history(&self.client()?, form).await,
            ConfigCommand::Patch(args) => patch_command::patch(&self.client()?, args, form).await,
            ConfigCommand::Check(args) if args.patch => {
                check_command::check_patch(&self.client()?, args.file.as_deref(), form).await
            }
            ConfigCommand::Check(args) => check_command::check_document(args.file.as_deref(), form),
        }
    }

    async fn execute_fleet(
        &self,
        command: &CtlCommand,
        form: OutputForm,
    ) -> Result<CommandEnd, CtlError> {
        let client = self.client()?;
        match command {
            CtlCommand::Config(args) => Box::pin(self.execute_config(&args.command, form)).await,
            CtlCommand::Entry(args) => entry_command::status(&args.address, form).await,
            CtlCommand::Lift(args) => entry_command::lift(&args.address, &args.key, form).await,
            CtlCommand::Explain(args) => explain_command::explain(args, form),
            CtlCommand::Hosts(_) => fleet_command::hosts(&client, form).await,
            CtlCommand::Servers(_) => fleet_command::servers(&client, form).await,
            CtlCommand::Teams(_) => fleet_command::teams(&client, form).await,
            CtlCommand::Status(_) => fleet_command::status(&client, form).await,
            CtlCommand::Drain(args) => fleet_command::drain(&client, &args.server, form).await,
            CtlCommand::Undrain(args) => fleet_command::undrain(&client, &args.server, form).await,
        }
    }

    fn client(&self) -> Result<RouterClient, CtlError> {
        let variable = |name| std::env::var(name).ok().filter(|text| !text.is_empty());
        let router = self.router.clone().or_else(|| variable(ROUTER_VARIABLE));
        let key =
            self.key.clone().or_else(|| variable(KEY_VARIABLE)).ok_or(CtlError::KeyMissing)?;
        Ok(RouterClient::new(router.as_deref().unwrap_or(DEFAULT_ROUTER), &key))
    }
}

impl PatchArgs {
    /// The version that the patch was made against.
    pub(crate) fn base_version(&self) -> ConfigVersion {
        ConfigVersion(self.base)
    }

    /// Who submits it.
    pub(crate) fn author_name(&self) -> String {
        let user = || std::env::var("USER").ok();
        self.author.clone().or_else(user).unwrap_or_else(|| "operator".to_owned())
    }
}
