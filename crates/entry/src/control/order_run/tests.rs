//! What reports of engines say of the host that asks for them.

use std::time::Duration;

use fulmargate_consortium::EngineReport;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ConnectEnd;
use indexmap::IndexMap;

use super::REPORT_TIMEOUT;
use super::report_end;

struct ReportCase {
    name: &'static str,
    is_answered: bool,
    took: Duration,
    says: Option<ConnectEnd>,
}

const AT_ONCE: Duration = Duration::from_millis(5);
const LATE: Duration = Duration::from_millis(400);

const REPORTS: &[ReportCase] = &[
    ReportCase {
        name: "at once",
        is_answered: true,
        took: AT_ONCE,
        says: Some(ConnectEnd::Reached),
    },
    ReportCase { name: "late", is_answered: true, took: LATE, says: None },
    ReportCase {
        name: "refused",
        is_answered: false,
        took: AT_ONCE,
        says: Some(ConnectEnd::Refused),
    },
    ReportCase {
        name: "none in time",
        is_answered: false,
        took: REPORT_TIMEOUT,
        says: Some(ConnectEnd::Silent),
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
    let silent = || StoreError::NoAnswer { reason: "none".to_owned() };
    is_answered.then_some(report).ok_or_else(silent)
}

/// Requests find no connection in 0.15 s, to whatever server, and each server is blamed for it.
/// The host's link is full. It orders engines meanwhile, whose reports come within 0.7 s: taken for
/// connections that came about, they hide from the host that it is the one in trouble.
/// A report later than a connection may be says nothing of the host.
#[test]
fn late_reports_do_not_hide_a_full_link() {
    for case in REPORTS {
        let says = report_end(&answer(case.is_answered), case.took);
        assert_eq!(says, case.says, "{}", case.name);
    }
}
