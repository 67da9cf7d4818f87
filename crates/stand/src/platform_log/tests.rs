//! Tests of the log's store under a clock of their own.

use super::log_store::LogStore;
use super::log_store::OverRate;

fn append(store: &mut LogStore, now_ms: u64, stream: &str) -> Result<u64, OverRate> {
    store.append(now_ms, stream, "id".to_owned(), "data".to_owned())
}

#[test]
fn each_stream_has_its_own_offsets() {
    let mut store = LogStore::new(1_000, 100.0);
    let offsets: Vec<_> =
        ["a", "b", "a"].iter().map(|stream| append(&mut store, 0, stream)).collect();
    assert_eq!(offsets, [Ok(0), Ok(0), Ok(1)]);
}

struct ReadCase {
    now_ms: u64,
    from: u64,
    first: u64,
    next: u64,
    len: usize,
}

/// Three records at 0, 500 and 1,000 ms are kept for 1,000 ms.
#[test]
fn old_records_go_and_offsets_stay() {
    let cases = [
        ReadCase { now_ms: 1_000, from: 0, first: 0, next: 3, len: 3 },
        ReadCase { now_ms: 1_000, from: 3, first: 0, next: 3, len: 0 },
        ReadCase { now_ms: 1_001, from: 0, first: 1, next: 3, len: 2 },
        ReadCase { now_ms: 9_000, from: 0, first: 3, next: 3, len: 0 },
    ];
    for case in cases {
        let mut store = LogStore::new(1_000, 100.0);
        for now_ms in [0, 500, 1_000] {
            append(&mut store, now_ms, "s").unwrap();
        }
        let page = store.read(case.now_ms, "s", case.from, 100);
        let found = (page.first, page.next, page.records.len());
        assert_eq!(found, (case.first, case.next, case.len), "{} {}", case.now_ms, case.from);
    }
}

#[test]
fn appends_over_the_rate_are_refused_and_leave_nothing() {
    let mut store = LogStore::new(60_000, 2.0);
    let results: Vec<_> =
        [0, 0, 0, 500, 500].iter().map(|now_ms| append(&mut store, *now_ms, "s")).collect();
    assert_eq!(results, [Ok(0), Ok(1), Err(OverRate), Ok(2), Err(OverRate)]);
    assert_eq!(store.read(500, "s", 0, 100).records.len(), 3);
}
