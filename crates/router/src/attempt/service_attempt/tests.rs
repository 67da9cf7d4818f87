use fulmargate_config::ServerEntry;
use fulmargate_config::ServerKind;
use fulmargate_config::ServerState;
use fulmargate_names::INCARNATION;
use fulmargate_names::SERVER;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

struct EndCase {
    name: &'static str,
    /// Headers of the framing.
    framing: &'static str,
    /// Whether the server refuses connections once it has closed this one.
    is_killed: bool,
    is_complete: bool,
}

const CASES: &[EndCase] = &[
    EndCase {
        name: "a stated length",
        framing: "content-length: 4\r\n",
        is_killed: true,
        is_complete: true,
    },
    EndCase {
        name: "fewer bytes than stated",
        framing: "content-length: 9\r\n",
        is_killed: false,
        is_complete: false,
    },
    EndCase { name: "no framing", framing: "", is_killed: false, is_complete: true },
    EndCase { name: "no framing, killed", framing: "", is_killed: true, is_complete: false },
];

/// Guards against half an answer of a killed service that is passed on, and kept for repeated calls, as whole.
#[actix_rt::test]
async fn an_unframed_answer_of_a_killed_service_is_broken() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let address = listener.local_addr().expect("a bound address");
        let entry = ServerEntry {
            zone: ZoneName::new("north"),
            address,
            kind: ServerKind::Service { service: ServiceName::new("shop") },
            state: ServerState::Active,
        };
        let server = ServerRoute::new(&ServerName::new("shop-1"), &entry);
        let answering = actix_rt::spawn(answer_once(listener, case.framing, case.is_killed));
        let stream = TcpStream::connect(address).await.expect("connect to the service");
        let request = Request::get("/").body(Full::default()).expect("a valid request");
        let answer = exchange(stream, request, &server, "attempt-1").await;
        assert_eq!(answer.is_ok(), case.is_complete, "{}", case.name);
        answering.abort();
    }
}

/// Answers the first connection and closes it. A listener that is kept accepts further connections.
async fn answer_once(listener: TcpListener, framing: &str, is_killed: bool) {
    let (mut stream, _) = listener.accept().await.expect("accept the call");
    let mut head = [0; 1024];
    let _length = stream.read(&mut head).await.expect("read the call");
    let kept = (!is_killed).then_some(listener);
    let identity = format!("{REQUEST_ID}: attempt-1\r\n{SERVER}: shop-1\r\n{INCARNATION}: 1\r\n");
    let answer = format!("HTTP/1.1 200 OK\r\n{identity}{framing}\r\ndone");
    stream.write_all(answer.as_bytes()).await.expect("write the answer");
    drop(stream);
    if kept.is_some() {
        std::future::pending::<()>().await;
    }
}
