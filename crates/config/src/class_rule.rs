//! Rules that give requests their class.

use fulmargate_names::ClassName;
use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use serde::Deserialize;
use serde::Serialize;

use crate::PathPattern;

/// Gives matching requests a class; what is absent matches everything.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRule {
    /// The caller's team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// The model asked for; a request to a plain service has none and never matches it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The request's path as the caller wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<PathPattern>,
    /// The class of the requests that match.
    pub class: ClassName,
}

impl ClassRule {
    /// Whether the rule speaks of this request.
    pub fn matches(&self, team: &TeamName, model: Option<&ModelName>, path: &str) -> bool {
        let team_fits = self.team.as_ref().is_none_or(|wanted| wanted == team);
        let model_fits = self.model.as_ref().is_none_or(|wanted| Some(wanted) == model);
        let path_fits = self.path.as_ref().is_none_or(|pattern| pattern.matches(path));
        team_fits && model_fits && path_fits
    }
}
