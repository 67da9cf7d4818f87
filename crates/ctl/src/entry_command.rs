//! `entry`.

use std::time::Duration;

use awc::Client;
use fulmargate_dispatch::EntryStatus;
use fulmargate_dispatch::SuspectStatus;
use fulmargate_names::SoftwareVersion;

use crate::CommandEnd;
use crate::CtlError;
use crate::answer_table::new_table;
use crate::command_end::OutputForm;

/// The daemon answers from memory.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// 12,000 servers of 200 bytes, and as much again.
const BODY_LIMIT: usize = 8 << 20;
const NONE: &str = "-";

/// Asks an entry daemon for its state.
pub(crate) async fn status(address: &str, form: OutputForm) -> Result<CommandEnd, CtlError> {
    let client = Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let lost =
        |reason: String| CtlError::NoAnswer { router: address.to_owned(), reason, was_sent: false };
    let sent = client.get(format!("http://{address}/status")).send().await;
    let mut answer = sent.map_err(|err| lost(err.to_string()))?;
    let body = answer.body().limit(BODY_LIMIT).await.map_err(|err| lost(err.to_string()))?;
    let status = answer.status().as_u16();
    let status: EntryStatus = serde_json::from_slice(&body)
        .map_err(|err| CtlError::Unreadable { status, reason: err.to_string() })?;
    Ok(CommandEnd::done(form.render(&status, human)))
}

/// Clears a request or a part of prompts of the crashes that count against it.
pub(crate) async fn lift(
    address: &str,
    key: &str,
    form: OutputForm,
) -> Result<CommandEnd, CtlError> {
    let client = Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let lost =
        |reason: String| CtlError::NoAnswer { router: address.to_owned(), reason, was_sent: true };
    let sent = client.delete(format!("http://{address}/suspects/{key}")).send().await;
    let answer = sent.map_err(|err| lost(err.to_string()))?;
    match answer.status().as_u16() {
        204 => Ok(CommandEnd::done(form.render(&key, |key| format!("{key} is cleared")))),
        400 => Err(CtlError::NotSuspected { key: key.to_owned(), reason: "no hexadecimal number" }),
        _ => Err(CtlError::NotSuspected { key: key.to_owned(), reason: "no crash is known of it" }),
    }
}

fn human(status: &EntryStatus) -> String {
    let age = |ms: Option<u64>| ms.map_or(NONE.to_owned(), |ms| format!("{ms} ms ago"));
    let version = status.config_version.map_or(NONE.to_owned(), |version| version.to_string());
    let keys = if status.admits_keys { "admitted" } else { "refused" };
    let mut lines = vec![
        format!("host {} in {}", status.host, status.zone),
        format!("configuration {version}, proved {}", age(status.config_proof_ms)),
        format!("requests with a key are {keys}"),
    ];
    for wanted in &status.weights {
        lines.push(format!(
            "weights {} {}, named {}",
            wanted.model,
            wanted.version,
            age(wanted.age_ms)
        ));
    }
    lines.push(match &status.lease {
        Some(lease) => format!(
            "lease of {} with number {}, read {}",
            lease.host,
            lease.fence,
            age(Some(lease.age_ms))
        ),
        None => "no lease".to_owned(),
    });
    lines.push(format!("{} members, {} heard", status.members.len(), status.heard.len()));
    lines.push(servers(status));
    lines.extend(status.suspects.iter().map(suspect));
    lines.join("\n")
}

fn suspect(suspect: &SuspectStatus) -> String {
    let state = if suspect.is_convicted { "rejected" } else { "suspected" };
    let (kind, key, crashes) = (&suspect.kind, &suspect.key, suspect.crashes);
    format!("{kind} {key} {state}: {crashes} crashes, the last {} ms ago", suspect.age_ms)
}

fn servers(status: &EntryStatus) -> String {
    let heads =
        ["server", "service", "zone", "version", "open to use", "requests", "failing", "weights"];
    let mut table = new_table(&heads, &[5, 6]);
    for server in &status.servers {
        let weights: Vec<String> =
            server.weights.iter().map(|(model, version)| format!("{model} {version}")).collect();
        let version = server.version.as_ref().map_or(NONE, SoftwareVersion::as_str);
        let open = if server.is_open { "yes" } else { "no" };
        table.add_row([
            server.server.to_string(),
            server.service.to_string(),
            server.zone.to_string(),
            version.to_owned(),
            open.to_owned(),
            server.open.to_string(),
            format!("{:.2}", server.failure_share),
            weights.join(", "),
        ]);
    }
    table.to_string()
}
