//! The body of a response on a caller's connection.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::ClientPhase;
use crate::traffic::response_body::ResponseBody;
use crate::traffic::response_body::StreamBroken;

/// Counts what is written of a body towards the memory of its connection.
pub(crate) struct CallerResponse {
    body: ResponseBody,
    client: Rc<ClientConnection>,
}

impl CallerResponse {
    pub(crate) fn new(body: ResponseBody, client: Rc<ClientConnection>) -> CallerResponse {
        client.enter(ClientPhase::Answer);
        CallerResponse { body, client }
    }
}

impl Drop for CallerResponse {
    fn drop(&mut self) {
        self.client.enter(ClientPhase::Idle);
    }
}

impl Body for CallerResponse {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        let response = self.get_mut();
        let polled = Pin::new(&mut response.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(bytes) = frame.data_ref()
        {
            response.client.record_answer(bytes.len());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
