//! The framing of a response's body.

#[cfg(test)]
mod tests;

use fulmargate_dispatch::BodyFraming;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;

/// The framing of the response to a request with this method, by RFC 9112, section 6.3.
pub(crate) fn body_framing(method: &Method, parts: &Parts) -> BodyFraming {
    let is_empty = parts.status.is_informational()
        || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if *method == Method::HEAD || is_empty {
        return BodyFraming::NoBody;
    }
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        return match is_chunked_last(&parts.headers) {
            true => BodyFraming::Chunked,
            false => BodyFraming::UntilClose,
        };
    }
    match parts.headers.contains_key(CONTENT_LENGTH) {
        true => BodyFraming::Length,
        false => BodyFraming::UntilClose,
    }
}

fn is_chunked_last(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let text = last.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let coding = text.rsplit(',').next().unwrap_or_default();
    coding.trim().eq_ignore_ascii_case("chunked")
}
