//! The event id by which a caller resumes a stream at any router.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use hmac::Mac;

use crate::StreamPlace;
use crate::TokenBinding;
use crate::TokenSecrets;
use crate::token_claims;
use crate::token_claims::TokenClaims;
use crate::token_secrets::TokenMac;

/// Keeps codes of this use apart from any other use of the same secret.
const DOMAIN: &[u8] = b"fulmargate resume token 1\0";
const PLACE_BYTES: usize = 4;
const CODE_BYTES: usize = 16;
const TAIL_BYTES: usize = PLACE_BYTES + CODE_BYTES;
/// Characters of the tail, without padding.
const TAIL_CHARS: usize = (TAIL_BYTES * 4).div_ceil(3);

/// What a token says: how a stream began and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// The backend server that ran the stream.
    pub server: ServerName,
    /// That server's incarnation.
    pub incarnation: Incarnation,
    /// The weights that the stream began with, and has to go on with.
    pub weights: WeightsVersion,
    /// The request's id, which the caller's chunks keep.
    pub request_id: RequestId,
    /// How far the stream has come.
    pub place: StreamPlace,
}

/// Why a token is refused. Callers see `resume_refused` for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum TokenRefusal {
    /// It is no token.
    #[display("the event id is no resume token")]
    Malformed,
    /// It belongs to another team.
    #[display("the event id belongs to another team")]
    OtherTeam,
    /// It belongs to another request.
    #[display("the event id belongs to another request")]
    OtherRequest,
    /// Its code is wrong, or was made with a secret that is no longer accepted.
    #[display("the event id is not authentic")]
    Forged,
}

/// Makes the tokens of one attempt. All but the place is fixed, so that its text and the state of
/// the code over it are made once; a token then costs the place, the code's end and 27 characters.
#[derive(Clone)]
pub struct TokenMinter {
    fixed_text: String,
    fixed_mac: TokenMac,
}

impl TokenMinter {
    /// `token` gives the fixed part; its place is not used.
    pub fn new(secrets: &TokenSecrets, binding: &TokenBinding, token: &ResumeToken) -> TokenMinter {
        let fixed = token_claims::encode(binding, token);
        TokenMinter {
            fixed_text: URL_SAFE_NO_PAD.encode(&fixed),
            fixed_mac: absorb_fixed(secrets.signing(), binding, &fixed),
        }
    }

    /// Appends the token of one place.
    pub fn write(&self, place: StreamPlace, out: &mut BytesMut) {
        let mut tail = [0; TAIL_BYTES];
        let (place_bytes, code) = tail.split_at_mut(PLACE_BYTES);
        place_bytes.copy_from_slice(&place.to_bits().to_be_bytes());
        let mac = self.fixed_mac.clone().chain_update(&place_bytes);
        code.copy_from_slice(&mac.finalize().into_bytes()[..CODE_BYTES]);

        let mut text = [0; TAIL_CHARS];
        URL_SAFE_NO_PAD.encode_slice(tail, &mut text).expect("the tail's text has this length");
        out.extend_from_slice(self.fixed_text.as_bytes());
        out.extend_from_slice(&text);
    }

    /// The token of one place as text.
    pub fn mint(&self, place: StreamPlace) -> String {
        let mut out = BytesMut::new();
        self.write(place, &mut out);
        String::from_utf8(out.to_vec()).expect("base64 is ASCII")
    }
}

impl ResumeToken {
    /// Reads a token that a caller sent back with a request of this binding.
    pub fn verify(
        secrets: &TokenSecrets,
        binding: &TokenBinding,
        text: &str,
    ) -> Result<ResumeToken, TokenRefusal> {
        let parts = TokenParts::decode(text).ok_or(TokenRefusal::Malformed)?;
        let claims = token_claims::decode(&parts.fixed).ok_or(TokenRefusal::Malformed)?;
        if claims.team_hint != binding.team_hint() {
            return Err(TokenRefusal::OtherTeam);
        }
        if claims.request_hint != binding.request_hint() {
            return Err(TokenRefusal::OtherRequest);
        }
        let (place, code) = parts.tail.split_at(PLACE_BYTES);
        let authentic = secrets.accepted().any(|mac| {
            let mac = absorb_fixed(mac, binding, &parts.fixed).chain_update(place);
            // Compares in constant time.
            mac.verify_truncated_left(code).is_ok()
        });
        if !authentic {
            return Err(TokenRefusal::Forged);
        }
        Ok(claims.into_token(parts.place()))
    }

    /// What a token says, not authenticated: for clients that judge a transcript, never for a
    /// decision.
    pub fn peek(text: &str) -> Option<ResumeToken> {
        let parts = TokenParts::decode(text)?;
        let claims: TokenClaims<'_> = token_claims::decode(&parts.fixed)?;
        Some(claims.into_token(parts.place()))
    }
}

struct TokenParts {
    fixed: Vec<u8>,
    tail: [u8; TAIL_BYTES],
}

impl TokenParts {
    fn decode(text: &str) -> Option<TokenParts> {
        let cut = text.len().checked_sub(TAIL_CHARS)?;
        let (fixed_text, tail_text) = text.as_bytes().split_at(cut);
        let fixed = URL_SAFE_NO_PAD.decode(fixed_text).ok()?;
        let tail = URL_SAFE_NO_PAD.decode(tail_text).ok()?.try_into().ok()?;
        Some(TokenParts { fixed, tail })
    }

    fn place(&self) -> StreamPlace {
        let mut bits = [0; PLACE_BYTES];
        bits.copy_from_slice(&self.tail[..PLACE_BYTES]);
        StreamPlace::from_bits(u32::from_be_bytes(bits))
    }
}

/// All parts before the place have a fixed length but the claims, so no two tokens give the same
/// input.
fn absorb_fixed(mac: TokenMac, binding: &TokenBinding, fixed: &[u8]) -> TokenMac {
    mac.chain_update(DOMAIN)
        .chain_update(binding.team_digest())
        .chain_update(binding.request_digest())
        .chain_update(fixed)
}
