//! Answers that the router makes itself.

use std::time::Duration;

use bytes::Bytes;
use fulmargate_consortium::refusal_headers;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::HeaderValue;

use crate::traffic::caller_body::CallerBody;

/// The wait named when nothing better is known; some requests of a server end in this time.
const COMMON_WAIT: Duration = Duration::from_millis(150);
/// Callers heed a wait of up to a third of the time they have left.
const HEEDED_SHARE: f64 = 0.3;

/// Why a call gets an answer of the router's own.
#[derive(Clone, Debug)]
pub(crate) struct CallFailure {
    /// The kind.
    pub(crate) kind: ErrorKind,
    /// What is wrong, for a person.
    pub(crate) detail: String,
    /// Time that the caller has left.
    pub(crate) time_left: Duration,
    /// When the caller should come back.
    pub(crate) wait: Duration,
    /// The caller would better come back on another connection, which may lead to another host.
    pub(crate) is_closing: bool,
}

impl CallFailure {
    /// A failure whose caller has so much time left.
    pub(crate) fn new(kind: ErrorKind, time_left: Duration) -> CallFailure {
        CallFailure {
            kind,
            detail: kind.row().meaning.to_owned(),
            time_left,
            wait: COMMON_WAIT,
            is_closing: false,
        }
    }

    /// With a detail for a person.
    pub(crate) fn saying(mut self, detail: String) -> CallFailure {
        self.detail = detail;
        self
    }

    /// With another time to come back after.
    pub(crate) fn coming_back(mut self, wait: Duration) -> CallFailure {
        self.wait = wait;
        self
    }

    /// With the connection closed after the answer.
    pub(crate) fn closing(mut self) -> CallFailure {
        self.is_closing = true;
        self
    }

    /// The status. A statuses of 503 promises that the request has not run, so only kinds that are
    /// certain of it have one; a request that crashes servers has not run under this id.
    pub(crate) fn status(&self) -> StatusCode {
        let row = self.kind.row();
        let status = match self.kind {
            ErrorKind::ServersFailed => StatusCode::BAD_GATEWAY.as_u16(),
            ErrorKind::CrashingRequest => StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            _ => row.status,
        };
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// When the caller should come back; none where the request may have run.
    fn retry_after(&self) -> Option<Duration> {
        let row = self.kind.row();
        if row.disposition != Disposition::NotRun {
            return None;
        }
        match self.status() {
            StatusCode::SERVICE_UNAVAILABLE => {
                Some(self.wait.min(self.time_left.mul_f64(HEEDED_SHARE)))
            }
            // A shorter wait than the quota needs would be refused again.
            StatusCode::TOO_MANY_REQUESTS => Some(self.wait),
            _ => None,
        }
    }

    /// The answer.
    pub(crate) fn answer(&self) -> Response<CallerBody> {
        let row = self.kind.row();
        let body = format!("{{\"error\":\"{}\",\"detail\":{:?}}}\n", row.code, self.detail);
        let mut answer = Response::new(CallerBody::whole(Bytes::from(body)));
        *answer.status_mut() = self.status();
        *answer.headers_mut() = refusal_headers(self.retry_after());
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.is_closing {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}
