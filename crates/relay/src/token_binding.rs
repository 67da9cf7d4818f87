//! What a resume token is bound to besides its own content.

use fulmargate_names::TeamName;
use sha2::Digest;
use sha2::Sha256;

pub(crate) const DIGEST_BYTES: usize = 32;
pub(crate) const HINT_BYTES: usize = 4;

/// The team and the request that a token is good for. The token's code covers both digests whole;
/// the token itself carries a few bytes of each, only to name the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBinding {
    team: [u8; DIGEST_BYTES],
    request: [u8; DIGEST_BYTES],
}

impl TokenBinding {
    /// `path` is the path that the request came on and `body` its body as received.
    pub fn new(team: &TeamName, path: &str, body: &[u8]) -> TokenBinding {
        let team = Sha256::digest(team.as_str());
        let request = Sha256::new()
            .chain_update((path.len() as u64).to_be_bytes())
            .chain_update(path)
            .chain_update(body)
            .finalize();
        TokenBinding { team: team.into(), request: request.into() }
    }

    pub(crate) fn team_digest(&self) -> &[u8] {
        &self.team
    }

    pub(crate) fn request_digest(&self) -> &[u8] {
        &self.request
    }

    pub(crate) fn team_hint(&self) -> &[u8] {
        &self.team[..HINT_BYTES]
    }

    pub(crate) fn request_hint(&self) -> &[u8] {
        &self.request[..HINT_BYTES]
    }
}
