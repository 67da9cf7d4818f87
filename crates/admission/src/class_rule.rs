//! A rule that assigns requests to classes.

use std::sync::Arc;

use fulmargate_names::ModelName;
use fulmargate_names::TeamName;

/// Assigns a class to requests that match all conditions that are set.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Matches only requests of this team.
    pub team: Option<TeamName>,
    /// Matches only requests for this model.
    pub model: Option<ModelName>,
    /// Matches only this path and the paths below it.
    pub path: Option<Arc<str>>,
    /// Name of the assigned class.
    pub class: Arc<str>,
}

impl ClassRule {
    /// Whether model and path match. `ClassTable` matches the team.
    pub(crate) fn matches(&self, model: Option<&ModelName>, path: &str) -> bool {
        if self.model.is_some() && self.model.as_ref() != model {
            return false;
        }
        match &self.path {
            Some(prefix) => is_below(path, prefix),
            None => true,
        }
    }
}

/// `/services/shop` matches `/services/shop/charge` but not `/services/shopper`.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
