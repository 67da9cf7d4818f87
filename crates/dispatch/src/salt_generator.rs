//! Salts that partition the engines' prompt caches.

use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use xxhash_rust::xxh3::xxh3_64;

/// Builds the salt of a request. Requests share cached prompt parts only if their salts are equal, so a salt
/// contains the model, its weights version, and the team if it is isolated.
///
/// All other teams share a salt that contains a hash of the set of isolated teams. It changes on all routers
/// when a team becomes isolated, so that this team and the others cannot reach each other's older entries.
#[derive(Debug)]
pub struct SaltGenerator {
    isolated: Vec<TeamName>,
    /// Last component of the salt of all teams that are not isolated.
    shared: String,
}

impl SaltGenerator {
    /// Creates a builder for a set of isolated teams.
    pub fn new(mut isolated: Vec<TeamName>) -> SaltGenerator {
        isolated.sort_unstable();
        let mut names = String::new();
        for team in &isolated {
            names.push_str(team.as_str());
            names.push('\n');
        }
        let shared = format!("all-{:x}", xxh3_64(names.as_bytes()));
        SaltGenerator { isolated, shared }
    }

    /// Builds the salt of a request.
    pub fn salt(
        &self,
        team: Option<&TeamName>,
        model: &ModelName,
        weights: WeightsVersion,
    ) -> String {
        match team.filter(|team| self.isolated.binary_search(team).is_ok()) {
            Some(team) => format!("{model}/{weights}/team-{team}"),
            None => format!("{model}/{weights}/{}", self.shared),
        }
    }
}
