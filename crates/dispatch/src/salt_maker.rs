//! Salts under which engines cache prompts.

use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use xxhash_rust::xxh3::xxh3_64;

/// Makes the salt of a request. Engines find cached parts only under the salt they were made
/// under, so a salt names all that two requests must have in common to share cache: the model, its
/// weights version, and the wall around an isolated team.
///
/// All other teams share one salt that also names the set of isolated teams. Without it, a team
/// that becomes isolated would still find what others left under the common salt, and they what it
/// left; with it, the common salt changes at that moment on every router alike.
#[derive(Debug)]
pub struct SaltMaker {
    isolated: Vec<TeamName>,
    common: String,
}

impl SaltMaker {
    /// Makes salts for these isolated teams.
    pub fn new(mut isolated: Vec<TeamName>) -> SaltMaker {
        isolated.sort_unstable();
        let mut names = String::new();
        for team in &isolated {
            names.push_str(team.as_str());
            names.push('\n');
        }
        let common = format!("all-{:x}", xxh3_64(names.as_bytes()));
        SaltMaker { isolated, common }
    }

    /// The salt of a request of `team` under these weights.
    pub fn salt(
        &self,
        team: Option<&TeamName>,
        model: &ModelName,
        weights: WeightsVersion,
    ) -> String {
        match team.filter(|team| self.isolated.binary_search(team).is_ok()) {
            Some(team) => format!("{model}/{weights}/team-{team}"),
            None => format!("{model}/{weights}/{}", self.common),
        }
    }
}
