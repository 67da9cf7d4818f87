//! The result of handling a request.

use fulmargate_dispatch::CallProgress;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use http::Response;

use crate::traffic::request_failure::RequestFailure;
use crate::traffic::response_body::ResponseBody;

/// The response to a request, and the sends that were needed.
pub(crate) struct HandledRequest {
    pub(crate) result: Result<Response<ResponseBody>, RequestFailure>,
    /// Sends that ended before the response began.
    pub(crate) progress: CallProgress,
    /// The server that responded, if it was one of this host's.
    pub(crate) server: Option<ServerName>,
    /// The weights version that it used.
    pub(crate) weights: Option<WeightsVersion>,
    /// Where its stream goes on.
    pub(crate) origin: Option<StreamOrigin>,
}

impl HandledRequest {
    pub(crate) fn failed(failure: RequestFailure, progress: CallProgress) -> HandledRequest {
        HandledRequest { result: Err(failure), progress, server: None, weights: None, origin: None }
    }
}
