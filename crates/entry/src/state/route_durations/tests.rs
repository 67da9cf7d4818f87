use super::*;

struct DurationCase {
    name: &'static str,
    /// When a response was completed, and how long it took, in milliseconds.
    responses: &'static [(u64, u64)],
    asked_ms: u64,
    expected_ms: Option<u64>,
}

const CASES: &[DurationCase] = &[
    DurationCase { name: "none", responses: &[], asked_ms: 0, expected_ms: None },
    DurationCase {
        name: "the longest",
        responses: &[(0, 400), (1_000, 800), (2_000, 200)],
        asked_ms: 3_000,
        expected_ms: Some(1_000),
    },
    DurationCase {
        name: "the longest of the window before",
        responses: &[(0, 800), (11_000, 400)],
        asked_ms: 12_000,
        expected_ms: Some(1_000),
    },
    DurationCase { name: "long ago", responses: &[(0, 800)], asked_ms: 25_000, expected_ms: None },
];

/// Guards against a host that takes requests which it cannot complete, or none since one was slow long ago.
#[test]
fn recent_durations_count() {
    let start = Instant::now();
    for case in CASES {
        let mut durations = RouteDurations::default();
        for (at, took) in case.responses {
            let now = start + Duration::from_millis(*at);
            durations.record("route", Duration::from_millis(*took), now);
        }
        let expected = durations.expected("route", start + Duration::from_millis(case.asked_ms));
        assert_eq!(expected, case.expected_ms.map(Duration::from_millis), "{}", case.name);
    }
}
