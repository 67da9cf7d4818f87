//! Checks that span a document's entries.

use fulmargate_names::ClassName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use serde_json::Value;

use crate::BATCH_CLASS;
use crate::ClassRule;
use crate::ConfigDocument;
use crate::ConfigError;
use crate::PathPattern;
use crate::URGENT_CLASS;
use crate::config_document::DocumentIndex;

/// Longest name in bytes.
const NAME_BYTES: usize = 64;
const NAME_RULE: &str = "1 to 64 of the characters A-Z a-z 0-9 . _ : @ -";
const AMOUNT_RULE: &str = "a number from 0";
/// An import slower than this is none.
const LEAST_IMPORT_RATE: f64 = 0.001;
const PATH_RULE: &str = "a path from its first /, with * at its end only";
/// Methods a call rule may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

/// A name's characters are few because names stand in cache scopes (`team/model/adapter`), paths
/// and headers: a `/` in a model's name would let two teams' scopes read alike, so that one gets
/// the other's cached blocks. With no `/` in any name a scope can be split in one way only.
pub(crate) fn check_name(path: &str, name: &str) -> Result<(), ConfigError> {
    if is_name(name) {
        return Ok(());
    }
    Err(refuse(path, name, NAME_RULE))
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:@-".contains(&byte);
    !name.is_empty() && name.len() <= NAME_BYTES && name.bytes().all(is_allowed)
}

/// Checks a document whose entries are each well-formed; gives its lookups.
pub(crate) fn check(document: &ConfigDocument) -> Result<DocumentIndex, ConfigError> {
    let mut index = DocumentIndex::default();
    check_needed_classes(document)?;
    document.classes.keys().try_for_each(|class| check_class(document, class))?;
    document.models.keys().try_for_each(|model| check_model(document, model))?;
    document.services.keys().try_for_each(|service| check_service(document, service))?;
    for (server, entry) in &document.servers {
        check_server(document, server)?;
        index.add_server(server, entry)?;
    }
    check_rules(document)?;
    for (team, entry) in &document.teams {
        check_team(document, team)?;
        index.add_team(team, entry)?;
    }
    Ok(index)
}

fn check_needed_classes(document: &ConfigDocument) -> Result<(), ConfigError> {
    for needed in [URGENT_CLASS, BATCH_CLASS] {
        if !document.classes.contains_key(needed) {
            let allowed = format!("an object with at least `{URGENT_CLASS}` and `{BATCH_CLASS}`");
            return Err(ConfigError::with_text(
                "/classes",
                &format!("without `{needed}`"),
                &allowed,
            ));
        }
    }
    Ok(())
}

/// Checks the class of this name, if there is one; the checks below likewise.
pub(crate) fn check_class(document: &ConfigDocument, class: &ClassName) -> Result<(), ConfigError> {
    let Some(entry) = document.classes.get(class) else {
        return Ok(());
    };
    let path = format!("/classes/{class}");
    check_positive(&path, "deadline_ms", entry.deadline_ms)?;
    check_positive(&path, "queue_limit", u64::from(entry.queue_limit))?;
    check_amount(&path, "weight_ttft", entry.weight_ttft)?;
    check_amount(&path, "weight_recompute", entry.weight_recompute)
}

pub(crate) fn check_model(document: &ConfigDocument, model: &ModelName) -> Result<(), ConfigError> {
    let Some(entry) = document.models.get(model) else {
        return Ok(());
    };
    for (index, adapter) in entry.adapters.iter().enumerate() {
        check_name(&format!("/models/{model}/adapters/{index}"), adapter.as_str())?;
    }
    let Some(import) = entry.kv_import else {
        return Ok(());
    };
    let path = format!("/models/{model}/kv_import");
    check_import_number(&path, "ask_ms", import.ask_ms, 0.0)?;
    check_import_number(&path, "tokens_per_ms", import.tokens_per_ms, LEAST_IMPORT_RATE)
}

fn check_import_number(path: &str, key: &str, number: f64, least: f64) -> Result<(), ConfigError> {
    if number.is_finite() && least <= number {
        return Ok(());
    }
    Err(refuse(&format!("{path}/{key}"), &number.to_string(), &format!("a number from {least}")))
}

pub(crate) fn check_service(
    document: &ConfigDocument,
    service: &ServiceName,
) -> Result<(), ConfigError> {
    let Some(entry) = document.services.get(service) else {
        return Ok(());
    };
    let path = format!("/services/{service}");
    check_positive(&path, "timeout_ms", entry.timeout_ms)?;
    for (index, rule) in entry.calls.iter().enumerate() {
        let path = format!("{path}/calls/{index}");
        if !METHODS.contains(&rule.method.as_str()) {
            return Err(refuse(&format!("{path}/method"), &rule.method, &METHODS.join(", ")));
        }
        check_pattern(&path, &rule.path)?;
    }
    Ok(())
}

pub(crate) fn check_server(
    document: &ConfigDocument,
    server: &ServerName,
) -> Result<(), ConfigError> {
    let Some(entry) = document.servers.get(server) else {
        return Ok(());
    };
    let path = |field: &str| format!("/servers/{server}/{field}");
    if !is_name(entry.zone.as_str()) {
        return Err(refuse(&path("zone"), entry.zone.as_str(), NAME_RULE));
    }
    if entry.address.port() == 0 {
        let text = entry.address.to_string();
        return Err(refuse(&path("address"), &text, "a port from 1 to 65535"));
    }
    for (index, model) in entry.models().iter().enumerate() {
        if !document.models.contains_key(model) {
            return Err(unknown(&path(&format!("models/{index}")), model.as_str(), "/models"));
        }
    }
    match entry.service() {
        Some(service) if !document.services.contains_key(service) => {
            Err(unknown(&path("service"), service.as_str(), "/services"))
        }
        _ => Ok(()),
    }
}

pub(crate) fn check_rules(document: &ConfigDocument) -> Result<(), ConfigError> {
    for (index, rule) in document.rules.iter().enumerate() {
        check_rule(document, &format!("/rules/{index}"), rule)?;
    }
    Ok(())
}

fn check_rule(document: &ConfigDocument, path: &str, rule: &ClassRule) -> Result<(), ConfigError> {
    if let Some(team) = &rule.team
        && !document.teams.contains_key(team)
    {
        return Err(unknown(&format!("{path}/team"), team.as_str(), "/teams"));
    }
    if let Some(model) = &rule.model
        && !document.models.contains_key(model)
    {
        return Err(unknown(&format!("{path}/model"), model.as_str(), "/models"));
    }
    if let Some(pattern) = &rule.path {
        check_pattern(path, pattern)?;
    }
    if !document.classes.contains_key(&rule.class) {
        return Err(unknown(&format!("{path}/class"), rule.class.as_str(), "/classes"));
    }
    Ok(())
}

pub(crate) fn check_team(document: &ConfigDocument, team: &TeamName) -> Result<(), ConfigError> {
    let Some(entry) = document.teams.get(team) else {
        return Ok(());
    };
    // Paths are written on a fault only: the check runs over all teams for each patch.
    let path = |field: &str| format!("/teams/{team}/{field}");
    let item = |field: &str, index: usize| format!("/teams/{team}/{field}/{index}");
    for (field, amount) in [
        ("requests_per_s", entry.requests_per_s),
        ("prompt_tokens_per_s", entry.prompt_tokens_per_s),
    ] {
        if !is_amount(amount) {
            return Err(ConfigError::with_text(&path(field), &amount.to_string(), AMOUNT_RULE));
        }
    }
    for (index, model) in entry.models.iter().enumerate() {
        if !document.models.contains_key(model) {
            return Err(unknown(&item("models", index), model.as_str(), "/models"));
        }
    }
    for (index, service) in entry.services.iter().enumerate() {
        if !document.services.contains_key(service) {
            return Err(unknown(&item("services", index), service.as_str(), "/services"));
        }
    }
    for (index, server) in entry.servers.iter().flatten().enumerate() {
        if !document.servers.contains_key(server) {
            return Err(unknown(&item("servers", index), server.as_str(), "/servers"));
        }
    }
    if !document.classes.contains_key(&entry.class) {
        return Err(unknown(&path("class"), entry.class.as_str(), "/classes"));
    }
    Ok(())
}

fn check_pattern(path: &str, pattern: &PathPattern) -> Result<(), ConfigError> {
    if pattern.is_well_formed() {
        return Ok(());
    }
    Err(refuse(&format!("{path}/path"), pattern.as_str(), PATH_RULE))
}

fn check_positive(path: &str, field: &str, number: u64) -> Result<(), ConfigError> {
    if 0 < number {
        return Ok(());
    }
    Err(ConfigError::with_text(&format!("{path}/{field}"), "0", "a whole number from 1"))
}

fn check_amount(path: &str, field: &str, amount: f64) -> Result<(), ConfigError> {
    if is_amount(amount) {
        return Ok(());
    }
    Err(ConfigError::with_text(&format!("{path}/{field}"), &amount.to_string(), AMOUNT_RULE))
}

fn is_amount(amount: f64) -> bool {
    amount.is_finite() && 0.0 <= amount
}

fn unknown(path: &str, name: &str, section: &str) -> ConfigError {
    refuse(path, name, &format!("a name that stands in {section}"))
}

fn refuse(path: &str, text: &str, allowed: &str) -> ConfigError {
    ConfigError::new(path, &Value::from(text), allowed)
}
