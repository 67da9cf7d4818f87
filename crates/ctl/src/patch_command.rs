//! `config patch`.

use std::time::Duration;

use actix_rt::time::sleep;
use fulmargate_config::HistoryAnswer;
use fulmargate_config::VersionAnswer;
use fulmargate_names::ConfigVersion;
use uuid::Uuid;

use crate::CommandEnd;
use crate::CtlError;
use crate::check_command::read_json;
use crate::command_end::OutputForm;
use crate::ctl_args::PatchArgs;
use crate::router_client::PatchCall;
use crate::router_client::RouterClient;

/// How often the history is looked at for a patch whose answer was lost.
const LOOKS: u32 = 20;
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// Submits a patch and tells what became of it.
pub(crate) async fn patch(
    client: &RouterClient,
    args: &PatchArgs,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let patch = read_json(args.file.as_deref())?;
    let id = Uuid::now_v7().to_string();
    let author = args.author_name();
    let call = PatchCall { id: &id, base: args.base_version(), author: &author, patch: &patch };
    let version = match client.patch::<VersionAnswer>(&call).await {
        Ok(answer) => answer.version,
        Err(error) if error.leaves_doubt() => look_up(client, &id).await?,
        Err(error) => return Err(error),
    };
    let answer = VersionAnswer { version };
    Ok(CommandEnd::done(form.render(&answer, |it| format!("version {} is in force", it.version))))
}

/// The answer was lost, or the router itself does not know: the patch may be in the log. The
/// history names it once it was read back; until then, saying "refused" would invite the operator
/// to submit the change a second time on top of itself.
async fn look_up(client: &RouterClient, id: &str) -> Result<ConfigVersion, CtlError> {
    for _ in 0..LOOKS {
        let history: Result<HistoryAnswer, CtlError> = client.get("/config/history").await;
        if let Ok(HistoryAnswer { history, .. }) = history {
            if let Some(accepted) = history.versions.iter().find(|it| is_patch(&it.id, id)) {
                return Ok(accepted.version);
            }
            // Its first copy was refused; so is any later one, since versions only grow.
            if let Some(refused) = history.refusals.iter().find(|it| is_patch(&it.id, id)) {
                return Err(CtlError::PatchRefused { entry: Box::new(refused.clone()) });
            }
        }
        sleep(LOOK_PAUSE).await;
    }
    Err(CtlError::PatchUnknown { id: id.to_owned() })
}

/// Routers append a hash of the patch to its id.
fn is_patch(found: &str, id: &str) -> bool {
    found.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
}
