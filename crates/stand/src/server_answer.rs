//! Answers that all stand-ins of servers share.

use std::io;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use fulmargate_names as names;
use futures_util::stream;
use serde_json::json;

/// A refusal before anything ran.
pub(crate) fn not_run(status: StatusCode, code: &str) -> HttpResponse {
    let mut answer = HttpResponse::build(status);
    answer.insert_header((names::NOT_RUN, "true")).json(error_body(code, code))
}

/// A body in the shape of OpenAI's errors.
pub(crate) fn error_body(code: &str, message: &str) -> serde_json::Value {
    json!({ "error": { "message": message, "type": "refusal", "code": code, "param": null } })
}

/// Closes the connection without a byte of an answer: the body fails before the head is flushed.
pub(crate) fn lost_answer() -> HttpResponse {
    let failure = io::Error::from(io::ErrorKind::ConnectionReset);
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, io::Error>(failure)]))
}

/// A request header's text.
pub(crate) fn header_text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
