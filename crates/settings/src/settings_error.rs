//! Why settings were refused.

use derive_more::Display;
use derive_more::Error;

/// Why settings were refused; the message is for the person who wrote the file.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("{file}: cannot be read: {reason}")]
    Unreadable {
        /// The file's path as given.
        file: String,
        /// What the system said.
        reason: String,
    },
    /// The file is not JSON at all.
    #[display("{file}: is not JSON: {reason}")]
    Syntax {
        /// The file's path as given.
        file: String,
        /// What is wrong, with line and column.
        reason: String,
    },
    /// A key is unknown, missing or has a value that is not allowed.
    #[display("{file}: key `{key}`: {reason}")]
    Key {
        /// The file's path as given.
        file: String,
        /// Path of the key, such as `callers.listen`.
        key: String,
        /// The value and what is allowed.
        reason: String,
    },
}

impl SettingsError {
    /// A value that is not allowed.
    pub fn key(file: &str, key: &str, reason: String) -> SettingsError {
        SettingsError::Key { file: file.to_owned(), key: key.to_owned(), reason }
    }
}
