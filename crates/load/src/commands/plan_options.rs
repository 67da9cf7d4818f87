//! Values of options that several commands share.

use fulmargate_stand::deployment::Deployment;
use serde::Serialize;

use super::CommandEnd;
use crate::load_error::LoadError;

pub(super) fn deployment(name: &str) -> Result<Deployment, LoadError> {
    Deployment::named(name).ok_or_else(|| LoadError::UnknownDeployment { name: name.to_owned() })
}

/// Addresses separated by commas.
pub(super) fn addresses(option: &'static str, text: &str) -> Result<Vec<String>, LoadError> {
    let addresses: Vec<String> =
        text.split(',').filter(|part| !part.is_empty()).map(str::to_owned).collect();
    match addresses.is_empty() {
        true => Err(bad_option(option, text, "at least one HOST:PORT, separated by commas")),
        false => Ok(addresses),
    }
}

pub(super) fn positive(option: &'static str, value: f64) -> Result<f64, LoadError> {
    match value.is_finite() && 0.0 < value {
        true => Ok(value),
        false => Err(bad_option(option, &value.to_string(), "a number above 0")),
    }
}

pub(super) fn bad_option(option: &'static str, value: &str, reason: &'static str) -> LoadError {
    LoadError::BadOption { option, value: value.to_owned(), reason }
}

/// Prints one JSON object.
pub(super) fn print_json<T: Serialize>(report: &T) -> Result<(), LoadError> {
    let text = serde_json::to_string_pretty(report)
        .map_err(|error| LoadError::Failed { what: "report", reason: error.to_string() })?;
    println!("{text}");
    Ok(())
}

pub(super) fn end_of(faults: usize) -> CommandEnd {
    if faults == 0 { CommandEnd::Sound } else { CommandEnd::Faulty }
}
