//! Patterns of request paths.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// A path, or the beginning of one when it ends in `*`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PathPattern(Arc<str>);

impl PathPattern {
    /// Takes the text as it is.
    pub fn new(text: &str) -> PathPattern {
        PathPattern(Arc::from(text))
    }

    /// The pattern's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the path fits; query strings are not part of it.
    pub fn matches(&self, path: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(beginning) => path.starts_with(beginning),
            None => path == &*self.0,
        }
    }

    /// Whether the text begins with `/` and has a `*` at its end only.
    pub(crate) fn is_well_formed(&self) -> bool {
        let body = self.0.strip_suffix('*').unwrap_or(&self.0);
        body.starts_with('/') && !body.contains('*')
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
