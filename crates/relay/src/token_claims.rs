//! The fixed part of a resume token as bytes.

use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use uuid::Uuid;
use uuid::fmt::Hyphenated;

use crate::ResumeToken;
use crate::StreamPlace;
use crate::TokenBinding;
use crate::token_binding::HINT_BYTES;

const FORMAT: u8 = 1;
/// The request's id is a UUID and stands as its 16 bytes.
const ID_UUID: u8 = 0;
/// The request's id is any other text.
const ID_TEXT: u8 = 1;

/// What the fixed part says, in the order of its bytes.
pub(crate) struct TokenClaims<'a> {
    pub(crate) team_hint: &'a [u8],
    pub(crate) request_hint: &'a [u8],
    incarnation: Incarnation,
    weights: WeightsVersion,
    server: ServerName,
    request_id: RequestId,
}

impl TokenClaims<'_> {
    pub(crate) fn into_token(self, place: StreamPlace) -> ResumeToken {
        ResumeToken {
            server: self.server,
            incarnation: self.incarnation,
            weights: self.weights,
            request_id: self.request_id,
            place,
        }
    }
}

pub(crate) fn encode(binding: &TokenBinding, token: &ResumeToken) -> Vec<u8> {
    let mut out = vec![FORMAT];
    out.extend_from_slice(binding.team_hint());
    out.extend_from_slice(binding.request_hint());
    push_number(&mut out, token.incarnation.0);
    push_number(&mut out, token.weights.0);
    push_text(&mut out, token.server.as_str());
    match compact_uuid(token.request_id.as_str()) {
        Some(uuid) => {
            out.push(ID_UUID);
            out.extend_from_slice(uuid.as_bytes());
        }
        None => {
            out.push(ID_TEXT);
            push_text(&mut out, token.request_id.as_str());
        }
    }
    out
}

pub(crate) fn decode(bytes: &[u8]) -> Option<TokenClaims<'_>> {
    let mut rest = bytes;
    if take_byte(&mut rest)? != FORMAT {
        return None;
    }
    let claims = TokenClaims {
        team_hint: take_bytes(&mut rest, HINT_BYTES)?,
        request_hint: take_bytes(&mut rest, HINT_BYTES)?,
        incarnation: Incarnation(take_number(&mut rest)?),
        weights: WeightsVersion(take_number(&mut rest)?),
        server: ServerName::new(take_text(&mut rest)?),
        request_id: take_request_id(&mut rest)?,
    };
    rest.is_empty().then_some(claims)
}

/// Only the one spelling that reading it back gives again.
fn compact_uuid(text: &str) -> Option<Uuid> {
    let uuid = Uuid::try_parse(text).ok()?;
    let mut buffer = [0; Hyphenated::LENGTH];
    (uuid.hyphenated().encode_lower(&mut buffer) == text).then_some(uuid)
}

fn take_request_id(rest: &mut &[u8]) -> Option<RequestId> {
    match take_byte(rest)? {
        ID_UUID => {
            let uuid = Uuid::from_slice(take_bytes(rest, 16)?).ok()?;
            let mut buffer = [0; Hyphenated::LENGTH];
            Some(RequestId::new(uuid.hyphenated().encode_lower(&mut buffer)))
        }
        ID_TEXT => Some(RequestId::new(take_text(rest)?)),
        _ => None,
    }
}

/// Seven bits a byte, the lowest first; the highest bit says that more follow.
fn push_number(out: &mut Vec<u8>, mut number: u64) {
    while 0x7f < number {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

fn take_number(rest: &mut &[u8]) -> Option<u64> {
    let mut number: u64 = 0;
    for shift in (0..u64::BITS).step_by(7) {
        let byte = take_byte(rest)?;
        let bits = u64::from(byte & 0x7f);
        if bits << shift >> shift != bits {
            return None;
        }
        number |= bits << shift;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}

fn push_text(out: &mut Vec<u8>, text: &str) {
    push_number(out, text.len() as u64);
    out.extend_from_slice(text.as_bytes());
}

fn take_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let length = usize::try_from(take_number(rest)?).ok()?;
    str::from_utf8(take_bytes(rest, length)?).ok()
}

fn take_byte(rest: &mut &[u8]) -> Option<u8> {
    let (byte, tail) = rest.split_first()?;
    *rest = tail;
    Some(*byte)
}

fn take_bytes<'a>(rest: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (head, tail) = rest.split_at_checked(length)?;
    *rest = tail;
    Some(head)
}
