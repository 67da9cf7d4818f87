//! What a host reads of cache events, and how much at a time.

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
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::CacheReaders;
use crate::control::cache_calls::CacheCalls;
use crate::control::cache_reader::CacheSource;
use crate::state::SharedState;

/// Waits are bounded by so many looks; how long one takes is of no matter.
const MOST_LOOKS: usize = 600;
const LOOK_PACE: Duration = Duration::from_millis(20);
/// Time that an engine takes for an answer, so that calls made together meet.
const ANSWER_TIME: Duration = Duration::from_millis(30);
const EXAMPLE: &str = include_str!("../../../../../examples/entry.json");

/// What the stand-ins have seen of calls from the beginning.
#[derive(Debug, Default)]
struct HistoryCalls {
    made: usize,
    under_way: usize,
    most_under_way: usize,
}

type SeenCalls = Rc<RefCell<HistoryCalls>>;

/// A host that owns many sources cannot be reached for seconds: its link is full of what it reads.
/// It began to read all its sources at the same moment, each from the beginning.
/// One history at a time leaves the link to others between two.
#[test]
fn histories_are_read_one_at_a_time() {
    const SOURCES: usize = 6;
    actix_rt::System::new().block_on(async {
        let seen = SeenCalls::default();
        let mut sources = Vec::new();
        for number in 1..=SOURCES {
            sources.push(cache_source(number, start_engine(seen.clone()).await));
        }
        let mut readers = some_readers();
        readers.read_only(&by_key(&sources));
        until("all histories are read", || SOURCES <= seen.borrow().made).await;
        assert_eq!(seen.borrow().most_under_way, 1);
        assert_eq!(seen.borrow().made, SOURCES, "each is read once");
    });
}

/// A host whose link has filled while it heard nobody goes on filling it after it has heard the others.
/// Calls for sources that others read by now ran on to their timeout.
/// They end with the list that no longer names their source.
#[test]
fn calls_for_sources_of_others_are_dropped() {
    actix_rt::System::new().block_on(async {
        let (kept, left) = (SeenCalls::default(), SeenCalls::default());
        let first = cache_source(1, start_engine(kept.clone()).await);
        let second = cache_source(2, start_engine(left.clone()).await);
        let calls = Rc::new(some_calls());
        let mut readers = CacheReaders::new(some_state(), calls.clone());
        readers.read_only(&by_key(&[first, second]));
        let are_read = || 0 < kept.borrow().made && 0 < left.borrow().made;
        until("both are read", are_read).await;
        let with_both = Rc::strong_count(&calls);
        readers.read_only(&by_key(&[first]));
        // Not long enough for any timeout.
        for _ in 0..MOST_LOOKS {
            yield_now().await;
        }
        assert_eq!(Rc::strong_count(&calls), with_both - 1, "one reader is left");
    });
}

fn some_readers() -> CacheReaders {
    CacheReaders::new(some_state(), Rc::new(some_calls()))
}

fn some_calls() -> CacheCalls {
    CacheCalls::new(some_settings().link_bytes_per_s())
}

fn some_state() -> Arc<SharedState> {
    let (sender, _) = unbounded_channel();
    Arc::new(SharedState::new(some_settings(), sender))
}

fn some_settings() -> EntrySettings {
    EntrySettings::parse("entry.json", EXAMPLE).expect("the example is good")
}

fn by_key(sources: &[CacheSource]) -> IndexMap<ServerKey, CacheSource> {
    sources.iter().map(|source| (source.key, *source)).collect()
}

fn cache_source(number: usize, address: SocketAddr) -> CacheSource {
    CacheSource { key: ServerKey(number as u64), address, incarnation: None }
}

/// An engine that answers calls from the beginning with some events, and keeps all others.
async fn start_engine(seen: SeenCalls) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve_calls(stream, seen.clone()));
        }
    });
    address
}

async fn serve_calls(mut stream: TcpStream, seen: SeenCalls) {
    let mut bytes = vec![0; 4_096];
    while let Ok(read) = stream.read(&mut bytes).await {
        let head = String::from_utf8_lossy(&bytes[..read]).into_owned();
        if !head.contains("since=0 ") {
            // Kept until the caller leaves.
            continue_until_closed(&mut stream).await;
            return;
        }
        {
            let mut seen = seen.borrow_mut();
            seen.under_way += 1;
            seen.most_under_way = seen.most_under_way.max(seen.under_way);
        }
        sleep(ANSWER_TIME).await;
        seen.borrow_mut().under_way -= 1;
        let sent = stream.write_all(page().as_bytes()).await;
        seen.borrow_mut().made += 1;
        if sent.is_err() {
            return;
        }
    }
}

async fn continue_until_closed(stream: &mut TcpStream) {
    let mut bytes = [0; 64];
    while stream.read(&mut bytes).await.is_ok_and(|read| 0 < read) {}
}

fn page() -> String {
    let event = "[1,\"+\",\"s1\",\"5c1e07a2\",800,\"m\"]";
    let body = format!("{{\"bootEpoch\":7,\"next\":2,\"lost\":false,\"events\":[{event}]}}");
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MOST_LOOKS {
        if holds() {
            return;
        }
        sleep(LOOK_PACE).await;
    }
    panic!("in vain: {what}");
}
