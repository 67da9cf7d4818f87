//! A host's way to the store.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Passes connections on to the store until it is cut.
pub(crate) struct StoreWay {
    /// Where the store is reached.
    pub(crate) address: SocketAddr,
    ended: CancellationToken,
}

impl StoreWay {
    /// An open way.
    pub(crate) async fn open(store: SocketAddr) -> StoreWay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        let ended = CancellationToken::new();
        let token = ended.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                () = pass_on(listener, store) => {}
            }
        });
        StoreWay { address, ended }
    }

    /// Breaks what is open; nothing is taken any more.
    pub(crate) fn cut(&self) {
        self.ended.cancel();
    }
}

async fn pass_on(listener: TcpListener, store: SocketAddr) {
    let mut passing = JoinSet::new();
    while let Ok((mut near, _)) = listener.accept().await {
        passing.spawn(async move {
            let Ok(mut far) = TcpStream::connect(store).await else { return };
            // A connection that breaks is what the tests are about.
            let _passed = copy_bidirectional(&mut near, &mut far).await;
        });
    }
}
