//! How fast a host may read in bulk.

use std::time::Duration;

use fulmargate_dispatch::ReadShare;
use fulmargate_dispatch::history_pause;
use tokio::time::Instant;

/// 10 Mbit/s: a quarter is 312,500 bytes a second.
const SMALL_LINK: f64 = 1_250_000.0;
/// 1,000 Mbit/s.
const LARGE_LINK: f64 = 125_000_000.0;

struct ShareCase {
    name: &'static str,
    link: f64,
    /// Milliseconds and bytes that came.
    reads: &'static [(u64, usize)],
    /// Then this many milliseconds after the start the next read waits so long, in microseconds.
    at: u64,
    wait_us: u64,
}

const SHARES: &[ShareCase] = &[
    ShareCase { name: "nothing was read", link: SMALL_LINK, reads: &[], at: 0, wait_us: 0 },
    ShareCase {
        name: "a page on a small link",
        link: SMALL_LINK,
        reads: &[(0, 31_250)],
        at: 0,
        wait_us: 100_000,
    },
    ShareCase {
        name: "the time that the page took counts",
        link: SMALL_LINK,
        reads: &[(0, 31_250)],
        at: 60,
        wait_us: 40_000,
    },
    ShareCase {
        name: "pieces add up",
        link: SMALL_LINK,
        reads: &[(0, 31_250), (10, 31_250), (20, 31_250)],
        at: 20,
        wait_us: 280_000,
    },
    ShareCase {
        name: "time without reads is not saved up",
        link: SMALL_LINK,
        reads: &[(0, 31_250), (5_000, 31_250)],
        at: 5_000,
        wait_us: 100_000,
    },
    ShareCase {
        name: "a page on a large link",
        link: LARGE_LINK,
        reads: &[(0, 31_250)],
        at: 0,
        wait_us: 1_000,
    },
];

/// A host whose link is small can be reached by nobody while it reads what engines have kept.
/// The reads followed each other without a pause, and those that failed were made again at once.
/// Bytes that came, of whatever read, make the next one wait.
#[test]
fn bulk_reads_keep_to_a_share_of_the_link() {
    for case in SHARES {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut share = ReadShare::new(case.link);
        for (ms, bytes) in case.reads {
            share.add(*bytes, at(*ms));
        }
        assert_eq!(share.wait(at(case.at)), Duration::from_micros(case.wait_us), "{}", case.name);
    }
}

/// Failures in a row, and the seconds until the next try.
const PAUSES: &[(u32, u64)] = &[(0, 1), (1, 1), (2, 2), (3, 4), (4, 8), (5, 8), (u32::MAX, 8)];

#[test]
fn failed_histories_are_asked_for_ever_more_seldom() {
    for (failures, seconds) in PAUSES {
        assert_eq!(history_pause(*failures), Duration::from_secs(*seconds), "{failures} failures");
    }
}
