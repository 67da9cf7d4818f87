//! Rate limit for the backfill of cache events.

use std::time::Duration;

use fulmargate_dispatch::BackfillLimiter;
use fulmargate_dispatch::backfill_retry_delay;
use tokio::time::Instant;

/// 10 Mbit/s; the share for backfills is 312,500 bytes per second.
const SMALL_LINK: f64 = 1_250_000.0;
/// 1,000 Mbit/s.
const LARGE_LINK: f64 = 125_000_000.0;

struct ShareCase {
    name: &'static str,
    link_bytes_per_s: f64,
    /// Milliseconds since the start, and bytes received.
    reads: &'static [(u64, usize)],
    /// At this time, in milliseconds since the start, the next read must wait `wait_us`.
    at_ms: u64,
    wait_us: u64,
}

const SHARE_CASES: &[ShareCase] = &[
    ShareCase {
        name: "no read yet",
        link_bytes_per_s: SMALL_LINK,
        reads: &[],
        at_ms: 0,
        wait_us: 0,
    },
    ShareCase {
        name: "a page on a small link",
        link_bytes_per_s: SMALL_LINK,
        reads: &[(0, 31_250)],
        at_ms: 0,
        wait_us: 100_000,
    },
    ShareCase {
        name: "time since the read is subtracted",
        link_bytes_per_s: SMALL_LINK,
        reads: &[(0, 31_250)],
        at_ms: 60,
        wait_us: 40_000,
    },
    ShareCase {
        name: "reads add up",
        link_bytes_per_s: SMALL_LINK,
        reads: &[(0, 31_250), (10, 31_250), (20, 31_250)],
        at_ms: 20,
        wait_us: 280_000,
    },
    ShareCase {
        name: "idle time is not credited",
        link_bytes_per_s: SMALL_LINK,
        reads: &[(0, 31_250), (5_000, 31_250)],
        at_ms: 5_000,
        wait_us: 100_000,
    },
    ShareCase {
        name: "a page on a large link",
        link_bytes_per_s: LARGE_LINK,
        reads: &[(0, 31_250)],
        at_ms: 0,
        wait_us: 1_000,
    },
];

/// Backfills, including failed reads, must not saturate the link of a small host.
#[test]
fn backfills_are_limited_to_a_share_of_the_link() {
    for case in SHARE_CASES {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let mut limiter = BackfillLimiter::new(case.link_bytes_per_s);
        for (ms, bytes) in case.reads {
            limiter.add(*bytes, at(*ms));
        }
        assert_eq!(
            limiter.wait(at(case.at_ms)),
            Duration::from_micros(case.wait_us),
            "{}",
            case.name
        );
    }
}

/// Number of failures in a row, and seconds until the next attempt.
const RETRY_DELAYS: &[(u32, u64)] =
    &[(0, 1), (1, 1), (2, 2), (3, 4), (4, 8), (5, 8), (u32::MAX, 8)];

#[test]
fn failed_history_reads_back_off() {
    for (failures, seconds) in RETRY_DELAYS {
        assert_eq!(
            backfill_retry_delay(*failures),
            Duration::from_secs(*seconds),
            "{failures} failures"
        );
    }
}
