//! What a patch and a snapshot cost as the document grows: bytes, and microseconds of one core.
//!
//! Columns: a patch judged in a row of others, a patch judged after the document was published, the
//! publishing of it, a stale patch, writing a snapshot, passing one by, and starting from one.
//!
//! `cargo run --release -p fulmargate-config --example slopes`

use std::time::Instant;

use fulmargate_config::ConfigFold;
use fulmargate_config::ConfigRecord;
use fulmargate_config::PatchRecord;
use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Patches that are timed at each size.
const PATCHES: u64 = 200;
/// Snapshots that are timed at each size.
const SNAPSHOTS: usize = 10;
const MODELS: u64 = 9;
const BYTES_PER_PAGE: f64 = 4096.0;

/// A size of the deployment.
struct FleetSize {
    teams: u64,
    servers: u64,
}

/// Folds records one after the other.
struct TimedFold {
    fold: ConfigFold,
    next: u64,
}

impl TimedFold {
    fn record(&self, data: String) -> LogRecord {
        let id = format!("r{}", self.next);
        LogRecord { offset: LogOffset(self.next), time_ms: self.next, id, data }
    }

    /// Microseconds that the record took.
    fn apply(&mut self, data: String) -> f64 {
        let record = self.record(data);
        let began = Instant::now();
        self.fold.apply(&record).expect("records have no gap");
        self.next += 1;
        micros(began)
    }
}

fn main() {
    println!(
        "{:>7} {:>8} {:>12} {:>9} {:>10} {:>10} {:>11} {:>10} {:>12} {:>9} {:>8} {:>9} {:>8}",
        "teams",
        "servers",
        "document B",
        "patch B",
        "replay us",
        "accept us",
        "publish us",
        "refuse us",
        "snapshot B",
        "write us",
        "pass us",
        "start us",
        "fold MB",
    );
    for (teams, servers) in [(8, 15), (1_000, 1_100), (11_000, 12_000)] {
        measure(&FleetSize { teams, servers });
    }
}

fn measure(size: &FleetSize) {
    let before = resident_mb();
    let mut timed = TimedFold { fold: ConfigFold::new(), next: 0 };
    timed.apply(patch_data(0, document(size)));
    assert_eq!(timed.fold.version(), ConfigVersion(1));
    let memory = resident_mb() - before;
    let document_bytes = timed.fold.value().to_string().len();

    let patch = |n: u64| {
        let team = format!("team-{}", n * 7919 % size.teams);
        json!({ "teams": { team: { "requests_per_s": n + 1 } } })
    };
    let patch_bytes = patch_data(1, patch(1)).len();
    let replay: Vec<f64> = (1..=PATCHES).map(|n| timed.apply(patch_data(n, patch(n)))).collect();
    let mut accept = Vec::new();
    let mut publish = Vec::new();
    for n in PATCHES + 1..=2 * PATCHES {
        accept.push(timed.apply(patch_data(n, patch(n))));
        let began = Instant::now();
        assert!(timed.fold.document().is_some());
        publish.push(micros(began));
    }
    assert_eq!(timed.fold.version(), ConfigVersion(2 * PATCHES + 1));
    let refuse: Vec<f64> = (1..=PATCHES).map(|n| timed.apply(patch_data(n, patch(n)))).collect();

    let snapshots = measure_snapshots(&mut timed);
    println!(
        "{:>7} {:>8} {document_bytes:>12} {patch_bytes:>9} {:>10.1} {:>10.1} {:>11.1} {:>10.1} {:>12} {:>9.0} {:>8.0} {:>9.0} {memory:>8.1}",
        size.teams,
        size.servers,
        median(replay),
        median(accept),
        median(publish),
        median(refuse),
        snapshots.bytes,
        median(snapshots.write),
        median(snapshots.pass),
        median(snapshots.start),
    );
}

/// Microseconds of each snapshot.
#[derive(Default)]
struct SnapshotTimes {
    bytes: usize,
    write: Vec<f64>,
    pass: Vec<f64>,
    start: Vec<f64>,
}

fn measure_snapshots(timed: &mut TimedFold) -> SnapshotTimes {
    let mut times = SnapshotTimes::default();
    for _ in 0..SNAPSHOTS {
        let began = Instant::now();
        let data = ConfigRecord::Snapshot(timed.fold.snapshot()).to_data();
        times.write.push(micros(began));
        times.bytes = data.len();
        let mut fresh = TimedFold { fold: ConfigFold::new(), next: timed.next };
        fresh.fold.skip_to(LogOffset(timed.next));
        times.pass.push(timed.apply(data.clone()));
        // A start at this snapshot: it covers all that stands before it.
        times.start.push(fresh.apply(data));
        assert_eq!(fresh.fold.version(), timed.fold.version());
    }
    times
}

fn patch_data(base: u64, patch: Value) -> String {
    let record = PatchRecord {
        id: format!("0197c0de-0000-7000-8000-{base:012}"),
        base: ConfigVersion(base),
        author: "operator".to_owned(),
        patch,
    };
    ConfigRecord::Patch(record).to_data()
}

fn document(size: &FleetSize) -> Value {
    let models: Map<String, Value> = (0..MODELS)
        .map(|n| (format!("model-{n}"), json!({ "weights": 1, "adapters": ["museum"] })))
        .collect();
    let servers: Map<String, Value> = (0..size.servers)
        .map(|n| {
            let address = format!("10.{}.{}.{}:8000", n >> 16, n >> 8 & 255, n & 255);
            let entry = json!({
                "zone": format!("zone-{}", n % 10), "address": address, "kind": "engine",
                "models": [format!("model-{}", n % MODELS)], "fenced": true, "state": "active",
            });
            (format!("engine-{n}"), entry)
        })
        .collect();
    let teams: Map<String, Value> = (0..size.teams)
        .map(|n| {
            let entry = json!({
                "key_sha256": [format!("{n:064x}")], "requests_per_s": 10,
                "prompt_tokens_per_s": 20_000, "models": ["model-0", "model-1"],
                "services": ["checkout"], "class": "urgent",
            });
            (format!("team-{n}"), entry)
        })
        .collect();
    let class = json!({
        "priority": 0, "deadline_ms": 1500, "queue_limit": 200, "weight_ttft": 1.0,
        "weight_recompute": 0.1,
    });
    json!({
        "teams": teams, "servers": servers, "models": models,
        "services": { "checkout": { "calls": [], "timeout_ms": 5000 } },
        "classes": { "urgent": class, "batch": class }, "rules": [], "policy": "cost",
    })
}

fn micros(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Resident memory of this process.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0.0);
    pages * BYTES_PER_PAGE / 1e6
}
