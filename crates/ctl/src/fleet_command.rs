//! Entry hosts, backend servers and teams.

use fulmargate_config::HostsAnswer;
use fulmargate_config::ServersAnswer;
use fulmargate_config::StatusAnswer;
use fulmargate_config::TeamsAnswer;
use fulmargate_config::VersionAnswer;

use crate::CommandEnd;
use crate::CtlError;
use crate::answer_table::hosts_table;
use crate::answer_table::servers_table;
use crate::answer_table::status_table;
use crate::answer_table::teams_table;
use crate::command_end::OutputForm;
use crate::router_client::RouterClient;

/// The entry hosts with the version in force on each.
pub(crate) async fn hosts(client: &RouterClient, form: OutputForm) -> Result<CommandEnd, CtlError> {
    let answer: HostsAnswer = client.get("/hosts").await?;
    Ok(CommandEnd::done(form.render(&answer, hosts_table)))
}

/// The backend servers.
pub(crate) async fn servers(
    client: &RouterClient,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let answer: ServersAnswer = client.get("/servers").await?;
    Ok(CommandEnd::done(form.render(&answer, servers_table)))
}

/// The teams.
pub(crate) async fn teams(client: &RouterClient, form: OutputForm) -> Result<CommandEnd, CtlError> {
    let answer: TeamsAnswer = client.get("/teams").await?;
    Ok(CommandEnd::done(form.render(&answer, teams_table)))
}

/// The state of the router.
pub(crate) async fn status(
    client: &RouterClient,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let answer: StatusAnswer = client.get("/status").await?;
    Ok(CommandEnd::done(form.render(&answer, status_table)))
}

/// Gives a backend server nothing new.
pub(crate) async fn drain(
    client: &RouterClient,
    server: &str,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    change(client, server, "drain", "gets nothing new", form).await
}

/// Gives a backend server work again.
pub(crate) async fn undrain(
    client: &RouterClient,
    server: &str,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    change(client, server, "undrain", "gets work again", form).await
}

async fn change(
    client: &RouterClient,
    server: &str,
    verb: &str,
    effect: &str,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let path = format!("/servers/{server}/{verb}");
    let answer: VersionAnswer = client.post(&path).await.map_err(CtlError::of_change)?;
    let human = |it: &VersionAnswer| format!("{server} {effect} (version {})", it.version);
    Ok(CommandEnd::done(form.render(&answer, human)))
}
