//! Salts that partition the engines' prompt caches.

use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use xxhash_rust::xxh3::xxh3_64;

/// Builds the salt of a request from the model, its weights version, and the team if it is isolated. Requests
/// share cached prompt parts only if their salts are equal.
///
/// The salt of all other teams contains a hash of the isolated ones, so that a team which becomes isolated no
/// longer shares older entries with them.
#[derive(Debug)]
pub struct SaltGenerator {
    isolated: Vec<TeamName>,
    /// Last component of the salt of all teams that are not isolated.
    shared: String,
}

impl SaltGenerator {
    /// Creates a generator for a set of isolated teams.
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
