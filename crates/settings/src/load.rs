//! Reads a settings file into its type.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::SettingsError;

/// Reads the file and checks it against the type; the caller then checks the values.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|err| SettingsError::Unreadable { file: file.clone(), reason: err.to_string() })?;
    parse(&file, &text)
}

/// Reads settings from a text; `file` is for messages only.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|err| {
        let reason = err.inner().to_string();
        // No key is at fault where the text itself is broken; line and column say where to look.
        if err.inner().is_data() {
            return SettingsError::key(file, &err.path().to_string(), reason);
        }
        SettingsError::Syntax { file: file.to_owned(), reason }
    })?;
    deserializer
        .end()
        .map_err(|err| SettingsError::key(file, ".", format!("text after the end: {err}")))?;
    Ok(value)
}
