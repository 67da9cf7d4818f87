//! A daemon with little memory, a plain server and an engine, for tests with crowds of clients.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

use crate::process_usage::MemoryPeak;
use crate::process_usage::settle_memory;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::initial_config;
use crate::support::wait_until;

/// Memory that the daemon may use.
pub(crate) const MEMORY_MB: u64 = 64;
/// Limits on what callers send, as the sites have them, with larger heads.
pub(crate) const HEAD_BYTES: usize = 32 * 1024;
pub(crate) const BODY_BYTES: usize = 4 << 20;
pub(crate) const HEADER_TIMEOUT_MS: u64 = 3_000;
/// Tries of an ordinary caller, each on a new connection.
const TRIES: usize = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Lets one test run at a time, so that none is measured beside another one's load.
static TURN: Mutex<()> = Mutex::const_new(());

pub(crate) struct ClientDeployment {
    pub(crate) store: FakeStore,
    pub(crate) server: FakeServer,
    pub(crate) daemon: DaemonProcess,
    pub(crate) callers: SocketAddr,
    pub(crate) peak: MemoryPeak,
    memory_mb: u64,
    _turn: MutexGuard<'static, ()>,
}

impl ClientDeployment {
    /// Starts a daemon with `MEMORY_MB`.
    pub(crate) async fn start() -> ClientDeployment {
        ClientDeployment::start_with_memory(MEMORY_MB).await
    }

    /// Starts a daemon that may use this much memory.
    pub(crate) async fn start_with_memory(memory_mb: u64) -> ClientDeployment {
        let settings = json!({"memory_mb": memory_mb});
        let start = |store| DaemonProcess::start_with_settings(store, &settings);
        ClientDeployment::start_with(memory_mb, start).await
    }

    /// Starts the daemon with `start`, which is told the address of the store and gives the daemon this much memory.
    pub(crate) async fn start_with(
        memory_mb: u64,
        start: impl FnOnce(SocketAddr) -> DaemonProcess,
    ) -> ClientDeployment {
        let turn = TURN.lock().await;
        let store = FakeStore::start().await.expect("start the store");
        put_config(&store, 1);
        let server = FakeServer::start("desk-1", ServerMode::Answer).await.expect("start a server");
        store.put_server(&server.name, "desk", server.address, "ready");
        let daemon = start(store.address);
        let callers = daemon.address("callers").await;
        wait_until("the server is listed", || !daemon.events("server_listed").is_empty()).await;
        let peak = MemoryPeak::watch(daemon.process_id(), callers);
        ClientDeployment { store, server, daemon, callers, peak, memory_mb, _turn: turn }
    }

    /// Waits until the crowd has sent what the daemon takes, and the daemon has dealt with it.
    pub(crate) async fn settle(&self, crowd: &ClientCrowd) {
        crowd.settle().await;
        settle_memory(self.daemon.process_id(), self.callers).await;
    }

    /// Whether a small request on a new connection is answered within a few tries.
    pub(crate) async fn serves_ordinary_caller(&self) -> bool {
        let mut request = CallerRequest::new("/read/x", "ordinary");
        request.method = "POST";
        request.body = "a small prompt";
        request.patience_ms = REQUEST_TIMEOUT_MS;
        for _ in 0..TRIES {
            let answer = request.send(self.callers).await;
            if answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            println!("an ordinary caller is not served: {answer:?}");
            sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Checks that the daemon lives, has kept to its memory and serves an ordinary caller.
    pub(crate) async fn check(&mut self, name: &str) {
        assert!(self.daemon.is_running(), "{name}: the process has ended");
        let is_served = self.serves_ordinary_caller().await;
        let peak_mb = self.peak.megabytes();
        assert!(peak_mb < self.memory_mb, "{name}: {peak_mb} MB in use, served {is_served}");
        assert!(is_served, "{name}: no ordinary caller is served");
        assert!(self.daemon.is_running(), "{name}: the process has ended");
    }
}

/// Publishes a configuration whose requests outlast a test.
pub(crate) fn put_config(store: &FakeStore, version: u64) {
    let mut config: ConfigText = initial_config();
    config.version = version;
    config.routes.iter_mut().for_each(|route| route["timeoutMs"] = json!(REQUEST_TIMEOUT_MS));
    let limits = json!({
        "maxHeaderBytes": HEAD_BYTES, "maxBodyBytes": BODY_BYTES,
        "headerTimeoutMs": HEADER_TIMEOUT_MS, "idleTimeoutMs": REQUEST_TIMEOUT_MS,
    });
    store.put_config_with_limits(&config, &limits);
}

/// Head of a request with this framing of its body.
pub(crate) fn body_head(framing: &str) -> String {
    fulmargate_consortium_stand::body_head("/read/x", "k-red", REQUEST_TIMEOUT_MS, framing)
}

/// A request with a chunked body of chunks of one size, without the last chunk.
pub(crate) fn unfinished_chunks(body_bytes: usize, chunk_bytes: usize) -> Bytes {
    let mut bytes = body_head("Transfer-Encoding: chunked").into_bytes();
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    for _ in 0..body_bytes / chunk_bytes {
        bytes.extend_from_slice(chunk.as_bytes());
    }
    Bytes::from(bytes)
}

/// A request with a stated length whose body lacks its last byte.
pub(crate) fn unfinished_length(body_bytes: usize) -> Bytes {
    let head = body_head(&format!("Content-Length: {body_bytes}"));
    Bytes::from(head + &"x".repeat(body_bytes - 1))
}
