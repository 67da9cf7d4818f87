//! Refusals of requests that are still being sent.

use fulmargate_consortium_stand::send_raw;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::client_deployment::BODY_BYTES;
use crate::client_deployment::ClientDeployment;
use crate::client_deployment::body_head;

struct RefusalCase {
    name: &'static str,
    key: &'static str,
    framing: String,
    body_bytes: usize,
    status: &'static str,
}

/// What is sent beyond the largest body.
const EXCESS_BYTES: usize = 256 * 1024;

fn cases() -> [RefusalCase; 3] {
    let too_large = BODY_BYTES + EXCESS_BYTES;
    let stated = |bytes: usize| format!("Content-Length: {bytes}");
    [
        RefusalCase {
            name: "unknown key",
            key: "k-unknown",
            framing: stated(BODY_BYTES),
            body_bytes: BODY_BYTES,
            status: "401",
        },
        RefusalCase {
            name: "stated length too large",
            key: "k-red",
            framing: stated(too_large),
            body_bytes: too_large,
            status: "413",
        },
        RefusalCase {
            name: "one chunk too large",
            key: "k-red",
            framing: format!("Transfer-Encoding: chunked\r\n\r\n{too_large:x}"),
            body_bytes: too_large,
            status: "413",
        },
    ]
}

/// Guards against a reset that overtakes the refusal, so that a caller who sends its whole body first never reads it.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let deployment = ClientDeployment::start().await;
    for case in cases() {
        let head = body_head(&case.framing).replace("k-red", case.key);
        // The framing of a chunk ends with one line break, not with an empty line.
        let head = match case.framing.contains("chunked") {
            true => head.trim_end().to_owned() + "\r\n",
            false => head,
        };
        let mut stream = TcpStream::connect(deployment.callers).await.expect("connect");
        stream.write_all(head.as_bytes()).await.expect("send the head");
        let body = vec![b'x'; case.body_bytes];
        let sent = stream.write_all(&body).await;
        let mut answer = Vec::new();
        let received = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        let name = case.name;
        assert!(sent.is_ok() && received.is_ok(), "{name}: {sent:?}, {received:?}, {answer}");
        assert_eq!(answer.split(' ').nth(1), Some(case.status), "{name}: {answer}");
        assert!(answer.to_ascii_lowercase().contains("connection: close"), "{name}: {answer}");
    }
}

/// Guards against reading on without an end after a refusal.
#[tokio::test]
async fn a_refused_caller_that_sends_on_is_cut_off() {
    let deployment = ClientDeployment::start().await;
    let request = body_head("Transfer-Encoding: chunked") + "zz\r\n";
    let endless = "x".repeat(64 * BODY_BYTES / 4);
    // Returns once the daemon has closed the connection, whether or not all was sent.
    let _answer = send_raw(&(request + &endless), deployment.callers).await;
    assert!(deployment.serves_ordinary_caller().await, "no ordinary caller is served");
}
