//! What makes two requests the same.

use fulmargate_names::TeamName;
use xxhash_rust::xxh3::Xxh3;

/// A hash of team, model and body: a request that is sent again has the same one at any router,
/// under whatever request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request. The seed is shared by all routers and kept from callers, who
    /// could otherwise shape a body that brings another team's request into suspicion.
    pub fn of(seed: u64, team: &TeamName, model: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3::with_seed(seed);
        for part in [team.as_str().as_bytes(), model.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest128())
    }
}
