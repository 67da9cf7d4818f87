//! `config show` and `config history`.

use fulmargate_config::ConfigAnswer;
use fulmargate_config::HistoryAnswer;

use crate::CommandEnd;
use crate::CtlError;
use crate::answer_table::history_table;
use crate::command_end::OutputForm;
use crate::command_end::to_json;
use crate::router_client::RouterClient;

/// The version and the document in force.
pub(crate) async fn show(client: &RouterClient, form: OutputForm) -> Result<CommandEnd, CtlError> {
    let answer: ConfigAnswer = client.get("/config").await?;
    Ok(CommandEnd::done(
        form.render(&answer, |it| format!("version {}\n{}", it.version, to_json(&it.document))),
    ))
}

/// What became of the newest patches.
pub(crate) async fn history(
    client: &RouterClient,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let answer: HistoryAnswer = client.get("/config/history").await?;
    Ok(CommandEnd::done(form.render(&answer, history_table)))
}
