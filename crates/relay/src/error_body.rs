//! Errors as callers read them, in the form of OpenAI's API.

use bytes::Bytes;
use fulmargate_names::ErrorKind;
use serde::Serialize;

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    param: Option<&'a str>,
}

/// The body of an error answer, with the kind's own sentence.
pub fn error_body(kind: ErrorKind) -> Bytes {
    error_body_saying(kind, kind.row().meaning)
}

/// The body of an error answer with a sentence of one's own.
pub fn error_body_saying(kind: ErrorKind, message: &str) -> Bytes {
    Bytes::from(error_json(kind, message))
}

/// The last event of a stream that ends with an error; no `[DONE]` follows it.
pub fn error_event(kind: ErrorKind) -> Bytes {
    error_event_saying(kind, kind.row().meaning)
}

/// The last event of a stream that ends with an error, with a sentence of one's own.
pub fn error_event_saying(kind: ErrorKind, message: &str) -> Bytes {
    // JSON escapes line breaks, so the message cannot end the event early.
    Bytes::from(format!("event: error\ndata: {}\n\n", error_json(kind, message)))
}

fn error_json(kind: ErrorKind, message: &str) -> String {
    let row = kind.row();
    let error = ErrorFields { message, r#type: type_name(row.status), code: row.code, param: None };
    serde_json::to_string(&ErrorEnvelope { error }).expect("texts can be written as JSON")
}

/// OpenAI's names of error types.
fn type_name(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
