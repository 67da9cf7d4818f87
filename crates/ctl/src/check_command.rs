//! `config check`.

use fulmargate_config::ConfigAnswer;
use fulmargate_config::ConfigDocument;
use serde_json::Value;
use serde_json::json;

use crate::CommandEnd;
use crate::CtlError;
use crate::command_end::OutputForm;
use crate::router_client::RouterClient;

/// What errors call standard input.
const STANDARD_INPUT: &str = "standard input";

/// Checks a document, without a router.
pub(crate) fn check_document(file: Option<&str>, form: OutputForm) -> Result<CommandEnd, CtlError> {
    let document = ConfigDocument::from_value(&read_json(file)?).map_err(CtlError::Invalid)?;
    Ok(valid(&document, form))
}

/// Checks a patch against the document in force.
pub(crate) async fn check_patch(
    client: &RouterClient,
    file: Option<&str>,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let patch = read_json(file)?;
    let current: ConfigAnswer = client.get("/config").await?;
    let document = ConfigDocument::patched(&current.document, &patch).map_err(CtlError::Invalid)?;
    Ok(valid(&document, form))
}

fn valid(document: &ConfigDocument, form: OutputForm) -> CommandEnd {
    let counts = json!({
        "valid": true, "teams": document.teams.len(), "servers": document.servers.len(),
        "models": document.models.len(), "services": document.services.len(),
    });
    CommandEnd::done(form.render(&counts, |it| {
        format!(
            "valid: {} teams, {} servers, {} models, {} services",
            it["teams"], it["servers"], it["models"], it["services"]
        )
    }))
}

/// Reads a JSON file, or standard input.
pub(crate) fn read_json(file: Option<&str>) -> Result<Value, CtlError> {
    let name = file.unwrap_or(STANDARD_INPUT);
    let refuse = |reason: String| CtlError::File { file: name.to_owned(), reason };
    let text = match file {
        Some(file) => std::fs::read_to_string(file),
        None => std::io::read_to_string(std::io::stdin()),
    };
    let text = text.map_err(|error| refuse(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| refuse(format!("no JSON: {error}")))
}
