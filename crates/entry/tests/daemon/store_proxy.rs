//! A TCP proxy between a daemon and the store.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Forwards connections to the store until it is disconnected.
pub(crate) struct StoreProxy {
    /// Address to use in place of the store's.
    pub(crate) address: SocketAddr,
    cancellation: CancellationToken,
}

impl StoreProxy {
    pub(crate) async fn open(store: SocketAddr) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
        let address = listener.local_addr().expect("read the local address");
        let cancellation = CancellationToken::new();
        let token = cancellation.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                () = forward_connections(listener, store) => {}
            }
        });
        StoreProxy { address, cancellation }
    }

    /// Closes all connections and the listener.
    pub(crate) fn disconnect(&self) {
        self.cancellation.cancel();
    }
}

async fn forward_connections(listener: TcpListener, store: SocketAddr) {
    let mut connections = JoinSet::new();
    while let Ok((mut client, _)) = listener.accept().await {
        connections.spawn(async move {
            let Ok(mut upstream) = TcpStream::connect(store).await else { return };
            // Errors are expected: tests break these connections on purpose.
            let _copied = copy_bidirectional(&mut client, &mut upstream).await;
        });
    }
}
