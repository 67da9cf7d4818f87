//! Identity of a request by its content.

use fulmargate_names::TeamName;
use xxhash_rust::xxh3::Xxh3;

/// Hash of team, model and body. Retries of a request have the same fingerprint on every router,
/// whatever their request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request. All routers share the seed. It is secret, so that
    /// callers can't construct a collision with another team's request.
    pub fn of(seed: u64, team: &TeamName, model: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3::with_seed(seed);
        for part in [team.as_str().as_bytes(), model.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest128())
    }
}
