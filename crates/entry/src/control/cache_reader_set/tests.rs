//! Concurrency and cancellation of cache event readers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ServerKey;
use fulmargate_settings::EntrySettings;
use indexmap::IndexMap;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::CacheReaderSet;
use crate::control::cache_event_client::CacheEventClient;
use crate::control::cache_reader::CacheSource;
use crate::state::SharedState;

/// Bounds each wait by a number of polls rather than by wall time.
const MAX_POLLS: usize = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Long enough for concurrent calls to overlap.
const ENGINE_RESPONSE_TIME: Duration = Duration::from_millis(30);
const EXAMPLE: &str = include_str!("../../../../../examples/entry.json");

/// Backfill calls observed by the engine stubs.
#[derive(Debug, Default)]
struct BackfillCalls {
    completed: usize,
    in_flight: usize,
    max_in_flight: usize,
}

type SharedBackfillCalls = Rc<RefCell<BackfillCalls>>;

/// Guards against a host that saturates its link by reading the backlog of all its sources at once.
#[test]
fn backfills_run_one_at_a_time() {
    const SOURCES: usize = 6;
    actix_rt::System::new().block_on(async {
        let observed = SharedBackfillCalls::default();
        let mut sources = Vec::new();
        for number in 1..=SOURCES {
            sources.push(cache_source(number, start_engine(observed.clone()).await));
        }
        let mut readers = test_reader_set();
        readers.set_sources(&by_key(&sources));
        wait_until("all backfills have completed", || SOURCES <= observed.borrow().completed).await;
        assert_eq!(observed.borrow().max_in_flight, 1);
        assert_eq!(observed.borrow().completed, SOURCES, "each source is read once");
    });
}

/// Guards against calls that run on to their timeout after their source was assigned to another
/// host.
#[test]
fn reads_of_removed_sources_are_cancelled() {
    actix_rt::System::new().block_on(async {
        let (retained, removed) = (SharedBackfillCalls::default(), SharedBackfillCalls::default());
        let first = cache_source(1, start_engine(retained.clone()).await);
        let second = cache_source(2, start_engine(removed.clone()).await);
        let client = Rc::new(test_client());
        let mut readers = CacheReaderSet::new(test_state(), client.clone());
        readers.set_sources(&by_key(&[first, second]));
        let both_completed = || 0 < retained.borrow().completed && 0 < removed.borrow().completed;
        wait_until("both sources are read", both_completed).await;
        let references_before = Rc::strong_count(&client);
        readers.set_sources(&by_key(&[first]));
        // Completes before any timeout expires.
        for _ in 0..MAX_POLLS {
            yield_now().await;
        }
        assert_eq!(Rc::strong_count(&client), references_before - 1, "one reader remains");
    });
}

fn test_reader_set() -> CacheReaderSet {
    CacheReaderSet::new(test_state(), Rc::new(test_client()))
}

fn test_client() -> CacheEventClient {
    CacheEventClient::new(test_settings().link_bytes_per_s())
}

fn test_state() -> Arc<SharedState> {
    Arc::new(SharedState::new(test_settings()))
}

fn test_settings() -> EntrySettings {
    EntrySettings::parse("entry.json", EXAMPLE).expect("example settings are valid")
}

fn by_key(sources: &[CacheSource]) -> IndexMap<ServerKey, CacheSource> {
    sources.iter().map(|source| (source.key, *source)).collect()
}

fn cache_source(number: usize, address: SocketAddr) -> CacheSource {
    CacheSource { key: ServerKey(number as u64), address, incarnation: None }
}

/// Starts an engine stub that answers calls from the beginning with one event and leaves all others
/// pending.
async fn start_engine(observed: SharedBackfillCalls) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to a free port");
    let address = listener.local_addr().expect("local address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve_calls(stream, observed.clone()));
        }
    });
    address
}

async fn serve_calls(mut stream: TcpStream, observed: SharedBackfillCalls) {
    let mut bytes = vec![0; 4_096];
    while let Ok(read) = stream.read(&mut bytes).await {
        let head = String::from_utf8_lossy(&bytes[..read]).into_owned();
        if !head.contains("since=0 ") {
            // Held open until the caller disconnects.
            read_until_closed(&mut stream).await;
            return;
        }
        {
            let mut observed = observed.borrow_mut();
            observed.in_flight += 1;
            observed.max_in_flight = observed.max_in_flight.max(observed.in_flight);
        }
        sleep(ENGINE_RESPONSE_TIME).await;
        observed.borrow_mut().in_flight -= 1;
        let sent = stream.write_all(page_response().as_bytes()).await;
        observed.borrow_mut().completed += 1;
        if sent.is_err() {
            return;
        }
    }
}

async fn read_until_closed(stream: &mut TcpStream) {
    let mut bytes = [0; 64];
    while stream.read(&mut bytes).await.is_ok_and(|read| 0 < read) {}
}

fn page_response() -> String {
    let event = "[1,\"+\",\"s1\",\"5c1e07a2\",800,\"m\"]";
    let body = format!("{{\"bootEpoch\":7,\"next\":2,\"lost\":false,\"events\":[{event}]}}");
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("condition not met: {what}");
}
