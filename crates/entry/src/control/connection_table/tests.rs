//! Connection limits and reconnects.

use std::time::Duration;

use bytes::Bytes;
use fulmargate_names::HostName;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::ConnectionTable;
use super::MAX_CONCURRENT_CONNECTS;
use super::SharedConnections;
use super::connect_and_insert;

/// Bounds each wait by a number of polls rather than by wall time.
const MAX_POLLS: usize = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Guards against a starting host that connects to the whole fleet at once: its reads of the store
/// time out with the connection attempts, and it serves an old configuration.
#[test]
fn concurrent_connects_are_limited() {
    let hosts: Vec<HostName> =
        (0..90).map(|number| HostName::new(&format!("host-{number}"))).collect();
    let mut table = ConnectionTable::default();
    for host in &hosts {
        if table.can_connect(host) {
            table.connecting.insert(host.clone());
        }
    }
    assert_eq!(table.connecting.len(), MAX_CONCURRENT_CONNECTS);
    table.connecting.swap_remove(&hosts[0]);
    assert!(!table.can_connect(&hosts[1]), "connection attempt in progress");
    assert!(table.can_connect(&hosts[50]), "one attempt has completed");
}

/// How the peer closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseKind {
    /// The peer process exits, and its connections close.
    Connection,
    /// The peer resets the stream and keeps the connection.
    Stream,
}

struct CloseCase {
    name: &'static str,
    close: CloseKind,
}

const CLOSE_CASES: &[CloseCase] = &[
    CloseCase { name: "the peer process exits", close: CloseKind::Connection },
    CloseCase { name: "the peer resets the stream", close: CloseKind::Stream },
];

/// Guards against keeping closed connections: a restarted host would receive no gossip and take
/// itself for the only router.
#[test]
fn closed_connections_are_reopened() {
    for case in CLOSE_CASES {
        actix_rt::System::new().block_on(check_reconnect(case));
    }
}

async fn check_reconnect(case: &CloseCase) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    actix_rt::spawn(serve_once(listener, case.close));
    let host = HostName::new("other");
    let table = SharedConnections::default();
    connect_and_insert(table.clone(), host.clone(), address).await;
    assert!(
        table.borrow().connections.contains_key(&host),
        "{}: connection established",
        case.name
    );
    for _ in 0..MAX_POLLS {
        table.borrow_mut().send(&host, &Bytes::from_static(b"message"));
        if !table.borrow().connections.contains_key(&host) {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let table = table.borrow();
    assert!(!table.connections.contains_key(&host), "{}: closed connection is kept", case.name);
    assert!(table.failed_hosts.contains_key(&host), "{}: reconnect is scheduled", case.name);
}

/// Accepts one connection, receives a message and closes as requested.
async fn serve_once(listener: TcpListener, close: CloseKind) {
    let (stream, _) = listener.accept().await.expect("accept connection");
    let mut connection = h2::server::handshake(stream).await.expect("HTTP/2 handshake");
    let (request, respond) =
        connection.accept().await.expect("stream opened").expect("valid request");
    let mut body = request.into_body();
    let received = actix_rt::spawn(async move {
        let message = body.data().await;
        drop(respond);
        message.is_some()
    });
    if close == CloseKind::Stream {
        // Drives the connection until the peer disconnects.
        while connection.accept().await.is_some() {}
        return;
    }
    tokio::select! {
        _ = received => {}
        _ = connection.accept() => {}
    }
}
