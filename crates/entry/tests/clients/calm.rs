//! Single requests at the limits, which are served when nothing else is going on.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::send_raw;

use crate::client_deployment::BODY_BYTES;
use crate::client_deployment::ClientDeployment;
use crate::client_deployment::HEAD_BYTES;
use crate::client_deployment::body_head;
use crate::support::REQUEST_TIMEOUT_MS;

/// Guards against limits on crowds that refuse a single large request.
#[tokio::test]
async fn requests_at_the_limits_are_served() {
    let deployment = ClientDeployment::start().await;
    let close = "Connection: close\r\n";
    let chunked = body_head(&format!("{close}Transfer-Encoding: chunked"));
    let one_by_one = chunked.clone() + &"1\r\nx\r\n".repeat(BODY_BYTES / 8) + "0\r\n\r\n";
    let whole =
        body_head(&format!("{close}Content-Length: {BODY_BYTES}")) + &"x".repeat(BODY_BYTES);
    let padding_bytes = HEAD_BYTES - body_head(&format!("{close}X-Padding: ")).len();
    let large_head = body_head(&format!("{close}X-Padding: {}", "x".repeat(padding_bytes)));
    for (name, request, body_bytes) in [
        ("one by one", one_by_one, BODY_BYTES / 8),
        ("whole", whole, BODY_BYTES),
        ("head", large_head, 0),
    ] {
        let answer = send_raw(&request, deployment.callers).await.expect("an answer");
        assert_eq!(answer.split(' ').nth(1), Some("200"), "{name}: {answer}");
        let seen = deployment.server.seen();
        let body = &seen.last().expect("a request at the server").body;
        assert_eq!(body.len(), body_bytes, "{name}");
    }
}

/// Guards against a slow body inside its deadline being refused while there is room.
#[tokio::test]
async fn an_ordinary_caller_is_served_in_calm() {
    let deployment = ClientDeployment::start().await;
    let mut request = CallerRequest::new("/read/x", "calm");
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let answer = request.send(deployment.callers).await.expect("an answer");
    assert_eq!(answer.status, 200);
}
