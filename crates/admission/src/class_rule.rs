//! One line of the operators' rules.

use std::sync::Arc;

use fulmargate_names::ModelName;
use fulmargate_names::TeamName;

/// Puts the requests that match all its given parts into a class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Only this team's requests.
    pub team: Option<TeamName>,
    /// Only requests for this model.
    pub model: Option<ModelName>,
    /// Only this path and the paths below it.
    pub path: Option<Arc<str>>,
    /// The class's name.
    pub class: Arc<str>,
}

impl ClassRule {
    /// Whether model and path match; the team is matched by the table's index.
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

/// `/services/shop` covers `/services/shop/charge` and not `/services/shopper`.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
