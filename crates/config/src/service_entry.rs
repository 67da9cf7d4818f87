//! Plain services and which of their calls may be repeated.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::PathPattern;

/// Methods that are safe by HTTP's definition, so that calls not listed may be repeated.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its calls; those not listed may be repeated for GET, HEAD and OPTIONS only.
    #[serde(default)]
    pub calls: Vec<CallRule>,
    /// Milliseconds until a call without an answer is given up.
    pub timeout_ms: u64,
}

/// Says of one kind of call whether it may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// The HTTP method in capitals.
    pub method: String,
    /// The path within the service, from its first `/`.
    pub path: PathPattern,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
}

impl ServiceEntry {
    /// Whether running this call twice does no harm; the first rule that fits decides.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let rule = self.calls.iter().find(|rule| rule.method == method && rule.path.matches(path));
        match rule {
            Some(rule) => rule.repeatable,
            None => SAFE_METHODS.contains(&method),
        }
    }

    /// The timeout as a duration.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
