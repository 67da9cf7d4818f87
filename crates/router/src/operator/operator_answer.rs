//! Refusals on the operators' listener, and who may ask.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use fulmargate_config::ConfigError;
use fulmargate_config::KeyHash;
use fulmargate_config::RefusalAnswer;
use fulmargate_config::RefusalBody;
use fulmargate_config::SubmitOutcome;
use fulmargate_config::VersionAnswer;
use fulmargate_names::ConfigVersion;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;

use crate::caller::RequestError;
use crate::operator::OperatorContext;

const BEARER: &str = "Bearer ";
const RETRY_AFTER_S: u64 = 1;

/// The refusal of who does not have the operators' key; `None` for who has it.
pub(crate) fn refuse_without_key(
    request: &HttpRequest,
    context: &OperatorContext,
) -> Option<HttpResponse> {
    let text = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = text.and_then(|text| text.strip_prefix(BEARER));
    let wanted = KeyHash::parse(&context.state.settings.operators.key_sha256).ok();
    if key.is_some() && key.map(KeyHash::of_key) == wanted {
        return None;
    }
    Some(refuse(ErrorKind::Unauthorized, None))
}

/// A refusal by the table, with a sentence of one's own where there is one.
pub(crate) fn refuse(kind: ErrorKind, detail: Option<String>) -> HttpResponse {
    let mut err = RequestError::new(kind);
    err.detail = detail;
    refusal(&err, None, None)
}

/// What became of a patch.
pub(crate) fn submitted(outcome: SubmitOutcome) -> HttpResponse {
    match outcome {
        SubmitOutcome::Accepted { version } => HttpResponse::Ok()
            .insert_header((header::ETAG, format!("\"{version}\"")))
            .json(VersionAnswer { version }),
        SubmitOutcome::Stale { current } => {
            let err = RequestError::new(ErrorKind::StaleVersion)
                .detail(format!("The current version is {current}."));
            refusal(&err, Some(current), None)
        }
        SubmitOutcome::Invalid { error } => {
            let err = RequestError::new(ErrorKind::InvalidPatch).detail(error.to_string());
            refusal(&err, None, Some(error))
        }
        SubmitOutcome::Unavailable => {
            let err =
                RequestError::new(ErrorKind::LedgerOut).detail("Nothing was submitted.".to_owned());
            refusal(&err, None, None)
        }
        SubmitOutcome::Unknown => {
            let err = RequestError::new(ErrorKind::LedgerOut)
                .disposition(Disposition::Unknown)
                .detail("The patch may have been accepted; the history will tell.".to_owned());
            refusal(&err, None, None)
        }
    }
}

fn refusal(
    err: &RequestError,
    current: Option<ConfigVersion>,
    fault: Option<ConfigError>,
) -> HttpResponse {
    let row = err.kind.row();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder.insert_header((DISPOSITION, err.disposition.as_str()));
    if err.retry_after_s().is_some() {
        builder.insert_header((header::RETRY_AFTER, RETRY_AFTER_S.to_string()));
    }
    let error = RefusalBody {
        message: err.message(),
        kind: "operator_error".to_owned(),
        code: row.code.to_owned(),
        param: None,
    };
    builder.json(RefusalAnswer { error, current, fault })
}
