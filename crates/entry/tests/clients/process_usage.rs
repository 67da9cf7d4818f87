//! Memory of a daemon, in its own pages and in the kernel's receive buffers.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Memory counts as settled once it has not changed for this time.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Upper bound of the wait for it.
const MAX_SETTLE_STEPS: usize = 60;
/// Column of `/proc/net/tcp` with the local address, and with the queues.
const LOCAL_COLUMN: usize = 1;
const STATE_COLUMN: usize = 3;
const QUEUE_COLUMN: usize = 4;
const LISTENING: &str = "0A";

/// Bytes that were received on connections to this address and not read.
pub(crate) fn unread_bytes(address: SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("read the table of connections");
    let port = format!(":{:04X}", address.port());
    let unread = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_caller = columns.get(LOCAL_COLUMN)?.ends_with(&port);
        if !is_caller || *columns.get(STATE_COLUMN)? == LISTENING {
            return None;
        }
        let (_, received) = columns.get(QUEUE_COLUMN)?.split_once(':')?;
        u64::from_str_radix(received, 16).ok()
    };
    table.lines().filter_map(unread).sum()
}

/// Resident memory of a process, in kilobytes; 0 once it has ended.
fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}

/// Waits until the memory of a process stays the same, so that it has dealt with what it was sent.
pub(crate) async fn settle_memory(process: u32, callers: SocketAddr) {
    let mut before = (u64::MAX, u64::MAX);
    for _ in 0..MAX_SETTLE_STEPS {
        let now = (resident_kb(process), unread_bytes(callers));
        if now == before {
            return;
        }
        before = now;
        sleep(SETTLE_TIME).await;
    }
}

/// Samples the memory of a process until it is dropped.
pub(crate) struct MemoryPeak {
    peak_kb: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl MemoryPeak {
    /// Watches a process that serves callers at `callers`.
    pub(crate) fn watch(process: u32, callers: SocketAddr) -> MemoryPeak {
        let peak_kb = Arc::new(AtomicU64::new(0));
        let sampled = peak_kb.clone();
        let task = tokio::spawn(async move {
            loop {
                let used_kb = resident_kb(process) + unread_bytes(callers) / 1_024;
                sampled.fetch_max(used_kb, Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        MemoryPeak { peak_kb, task }
    }

    /// The largest sum of resident and unread bytes so far, in megabytes.
    pub(crate) fn megabytes(&self) -> u64 {
        self.peak_kb.load(Ordering::Relaxed) / 1_024
    }
}

impl Drop for MemoryPeak {
    fn drop(&mut self) {
        self.task.abort();
    }
}
