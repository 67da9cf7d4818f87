//! A TCP proxy between a daemon and the store.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Forwards connections to the store while it is connected.
pub(crate) struct StoreProxy {
    /// Address to use in place of the store's.
    pub(crate) address: SocketAddr,
    is_connected: watch::Sender<bool>,
}

impl StoreProxy {
    pub(crate) async fn open(store: SocketAddr) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
        let address = listener.local_addr().expect("read the local address");
        let (is_connected, connected) = watch::channel(true);
        tokio::spawn(forward_connections(listener, store, connected));
        StoreProxy { address, is_connected }
    }

    /// Closes all connections, and new ones at once.
    pub(crate) fn disconnect(&self) {
        self.is_connected.send_replace(false);
    }

    /// Forwards new connections again.
    pub(crate) fn reconnect(&self) {
        self.is_connected.send_replace(true);
    }
}

async fn forward_connections(
    listener: TcpListener,
    store: SocketAddr,
    mut connected: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { return };
                if *connected.borrow() {
                    connections.spawn(forward(client, store));
                }
            }
            changed = connected.changed() => {
                if changed.is_err() {
                    return;
                }
                if !*connected.borrow() {
                    connections.abort_all();
                }
            }
        }
    }
}

async fn forward(mut client: TcpStream, store: SocketAddr) {
    let Ok(mut upstream) = TcpStream::connect(store).await else { return };
    // Errors are expected: tests break these connections on purpose.
    let _copied = copy_bidirectional(&mut client, &mut upstream).await;
}
