//! The framing of a response's body.

use derive_more::Display;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// What a response states about the end of its body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BodyFraming {
    /// There is no body.
    #[display("none")]
    NoBody,
    /// The body has a stated length.
    #[display("length")]
    Length,
    /// The body comes in chunks, the last of which is empty.
    #[display("chunked")]
    Chunked,
    /// The body ends with its connection.
    #[display("until_close")]
    UntilClose,
}

impl BodyFraming {
    /// The framing of the response to a request with this method, by RFC 9112, section 6.3.
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> BodyFraming {
        let is_empty = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if *method == Method::HEAD || is_empty {
            return BodyFraming::NoBody;
        }
        if headers.contains_key(TRANSFER_ENCODING) {
            return match is_chunked_last(headers) {
                true => BodyFraming::Chunked,
                false => BodyFraming::UntilClose,
            };
        }
        match headers.contains_key(CONTENT_LENGTH) {
            true => BodyFraming::Length,
            false => BodyFraming::UntilClose,
        }
    }
}

fn is_chunked_last(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let text = last.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let coding = text.rsplit(',').next().unwrap_or_default();
    coding.trim().eq_ignore_ascii_case("chunked")
}
