//! Connection outcomes derived from engine reports.

use std::time::Duration;

use fulmargate_consortium::EngineReport;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ConnectOutcome;
use indexmap::IndexMap;

use super::REPORT_TIMEOUT;
use super::report_connect_outcome;

struct ReportCase {
    name: &'static str,
    is_answered: bool,
    elapsed: Duration,
    expected: Option<ConnectOutcome>,
}

const PROMPT: Duration = Duration::from_millis(5);
const LATE: Duration = Duration::from_millis(400);

const CASES: &[ReportCase] = &[
    ReportCase {
        name: "prompt",
        is_answered: true,
        elapsed: PROMPT,
        expected: Some(ConnectOutcome::Reached),
    },
    ReportCase { name: "late", is_answered: true, elapsed: LATE, expected: None },
    ReportCase {
        name: "refused",
        is_answered: false,
        elapsed: PROMPT,
        expected: Some(ConnectOutcome::Refused),
    },
    ReportCase {
        name: "timed out",
        is_answered: false,
        elapsed: REPORT_TIMEOUT,
        expected: Some(ConnectOutcome::TimedOut),
    },
];

fn answer(is_answered: bool) -> Result<EngineReport, StoreError> {
    let report = EngineReport {
        incarnation: None,
        weights: IndexMap::new(),
        is_busy: false,
        orders: 0,
        running: 0,
        waiting: 0,
    };
    let silent = || StoreError::NoAnswer { reason: "no answer".to_owned() };
    is_answered.then_some(report).ok_or_else(silent)
}

/// Guards against counting late reports as successful connections: the host would blame its servers
/// for its own saturated link.
#[test]
fn late_reports_do_not_mask_a_saturated_link() {
    for case in CASES {
        let actual = report_connect_outcome(&answer(case.is_answered), case.elapsed);
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}
