//! Answers that the router itself gives to callers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use fulmargate_names::ERROR;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RequestId;
use fulmargate_names::RetryAdvice;
use fulmargate_names::SERVER;
use fulmargate_names::ServerName;
use fulmargate_relay::error_body_saying;

const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// Why a request gets no ordinary answer, with all that the answer says.
#[derive(Clone, Debug)]
pub(crate) struct RequestError {
    /// The row of the table.
    pub(crate) kind: ErrorKind,
    /// Disposition of the request; by default that of the error table.
    pub(crate) disposition: Disposition,
    /// When to come back, in milliseconds, where a time is known.
    pub(crate) retry_after_ms: Option<u64>,
    /// The last server that was tried.
    pub(crate) server: Option<ServerName>,
    /// Detail in addition to the table's message.
    pub(crate) detail: Option<String>,
}

impl RequestError {
    /// The table's answer for the kind.
    pub(crate) fn new(kind: ErrorKind) -> RequestError {
        let disposition = kind.row().disposition;
        RequestError { kind, disposition, retry_after_ms: None, server: None, detail: None }
    }

    /// Adds a detail to the message.
    pub(crate) fn detail(mut self, detail: String) -> RequestError {
        self.detail = Some(detail);
        self
    }

    /// Sets what became of the request.
    pub(crate) fn disposition(mut self, disposition: Disposition) -> RequestError {
        self.disposition = disposition;
        self
    }

    /// Sets when to come back.
    pub(crate) fn retry_after_ms(mut self, millis: u64) -> RequestError {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Names the server that was tried.
    pub(crate) fn server(mut self, server: &ServerName) -> RequestError {
        self.server = Some(server.clone());
        self
    }

    /// The sentence for a person.
    pub(crate) fn message(&self) -> String {
        let meaning = self.kind.row().meaning;
        match &self.detail {
            Some(detail) => format!("{meaning} {detail}"),
            None => meaning.to_owned(),
        }
    }

    /// The whole seconds for `Retry-After`, where coming back can help.
    pub(crate) fn retry_after_s(&self) -> Option<u64> {
        if self.kind.row().retry == RetryAdvice::Never {
            return None;
        }
        Some(
            self.retry_after_ms
                .map_or(DEFAULT_RETRY_AFTER_S, |millis| millis.div_ceil(1000).max(1)),
        )
    }

    /// Refusals come by the thousand under overload, so that they are logged only on demand.
    fn log(&self, request: &RequestId) {
        let row = self.kind.row();
        let (event, name, code) = (row.event.number(), row.event.name(), row.code);
        let disposition = self.disposition.as_str();
        match row.event {
            EventKind::RequestRefused => {
                tracing::debug!(event, name, %request, code, disposition);
            }
            _ => tracing::info!(event, name, %request, code, disposition),
        }
    }

    /// The whole answer.
    pub(crate) fn respond(&self, request_id: &RequestId) -> HttpResponse {
        self.log(request_id);
        let row = self.kind.row();
        let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = HttpResponse::build(status);
        builder.insert_header((REQUEST_ID, request_id.as_str()));
        builder.insert_header((DISPOSITION, self.disposition.as_str()));
        builder.insert_header((ERROR, row.code));
        if let Some(server) = &self.server {
            builder.insert_header((SERVER, server.as_str()));
        }
        if let Some(seconds) = self.retry_after_s() {
            builder.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        // The same body as within a stream.
        builder.content_type("application/json").body(error_body_saying(self.kind, &self.message()))
    }
}
