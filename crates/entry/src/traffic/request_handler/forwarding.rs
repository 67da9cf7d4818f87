//! Responses of servers on their way to the caller.

use fulmargate_consortium::ResponseHead;
use fulmargate_dispatch::BodyFraming;
use http::Response;
use http::header::CONTENT_LENGTH;
use http::response::Parts;

use crate::traffic::block_body::BlockBody;
use crate::traffic::response_body::ResponseBody;

/// Copies what is forwarded of a response head.
pub(super) fn clone_head(parts: &Parts) -> Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = parts.status;
    copy.headers = parts.headers.clone();
    copy
}

/// A response to the caller with a body that was read completely.
pub(super) fn buffered_response(
    parts: &Parts,
    framing: BodyFraming,
    body: BlockBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = ResponseHead::forwarded_headers(parts);
    if framing != BodyFraming::NoBody {
        // The body's own length is sent. A length that the server stated beside chunks may differ from it, and would
        // cut the response for the caller.
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    response
}
