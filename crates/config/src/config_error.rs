//! What is wrong with a document.

use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Longest piece of a refused value that an error repeats, in characters.
const VALUE_CHARS: usize = 80;

/// Where a document is wrong, what stands there, and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Error, Serialize, Deserialize)]
#[display("{path}: {value} is refused; allowed: {allowed}")]
pub struct ConfigError {
    /// JSON pointer to the place; empty for the whole document.
    pub path: String,
    /// The JSON found there, shortened.
    pub value: String,
    /// What may stand there.
    pub allowed: String,
}

impl ConfigError {
    pub(crate) fn new(path: &str, value: &Value, allowed: &str) -> ConfigError {
        ConfigError::with_text(path, &value.to_string(), allowed)
    }

    pub(crate) fn with_text(path: &str, value: &str, allowed: &str) -> ConfigError {
        let mut text: String = value.chars().take(VALUE_CHARS).collect();
        if text.len() < value.len() {
            text.push_str("...");
        }
        ConfigError { path: path.to_owned(), value: text, allowed: allowed.to_owned() }
    }
}

/// One step of a JSON pointer, escaped.
pub(crate) fn pointer_step(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
