//! Request classification, deadlines and the retry budget.

mod support;

use std::sync::Arc;

use fulmargate_admission::ClassRule;
use fulmargate_admission::ClassTable;
use fulmargate_admission::RequestClass;
use fulmargate_admission::RetryBudget;
use fulmargate_admission::RetryConf;
use fulmargate_admission::RetryGrant;
use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use support::BATCH;
use support::URGENT;
use support::class;
use support::ms;
use tokio::time::Instant;

/// A request and its expected class.
struct ClassCase {
    team: &'static str,
    model: Option<&'static str>,
    path: &'static str,
    expected: &'static str,
}

const CLASSES: &[ClassCase] = &[
    ClassCase { team: "shop", model: Some("assist"), path: "/v1/completions", expected: "urgent" },
    ClassCase { team: "shop", model: Some("describe"), path: "/v1/completions", expected: "batch" },
    ClassCase { team: "shop", model: None, path: "/services/permit/issue", expected: "urgent" },
    ClassCase { team: "shop", model: None, path: "/services/permits", expected: "batch" },
    ClassCase { team: "other", model: None, path: "/services/permit", expected: "urgent" },
    ClassCase { team: "other", model: Some("assist"), path: "/v1/completions", expected: "batch" },
    ClassCase { team: "last", model: Some("assist"), path: "/v1/completions", expected: "urgent" },
];

#[test]
fn first_matching_rule_determines_class() {
    let rule =
        |team: Option<&str>, model: Option<&str>, path: Option<&str>, class: &str| ClassRule {
            team: team.map(TeamName::new),
            model: model.map(ModelName::new),
            path: path.map(Arc::from),
            class: Arc::from(class),
        };
    let rules = vec![
        rule(None, None, Some("/services/permit"), "urgent"),
        rule(Some("shop"), Some("assist"), None, "urgent"),
        rule(Some("shop"), None, None, "batch"),
        rule(Some("last"), Some("assist"), None, "urgent"),
        rule(None, Some("assist"), None, "batch"),
    ];
    let classes = || vec![(*class(URGENT, 1_500, 9)).clone(), (*class(BATCH, 60_000, 9)).clone()];
    let table = ClassTable::new(classes(), rules, "batch").expect("classes exist");
    for case in CLASSES {
        let model = case.model.map(ModelName::new);
        let found = table.classify(&TeamName::new(case.team), model.as_ref(), case.path);
        assert_eq!(&*found.name, case.expected, "{} {:?} {}", case.team, case.model, case.path);
    }
    let unknown = ClassTable::new(classes(), vec![rule(None, None, None, "soon")], "batch");
    assert_eq!(unknown.expect_err("no such class").to_string(), "no class is named \"soon\"");
}

#[test]
fn caller_may_request_its_own_deadline() {
    let now = Instant::now();
    let timeout =
        |requested| RequestClass::begin(&class(URGENT, 1_500, 9), now, requested).deadline - now;
    assert_eq!(timeout(None), ms(1_500));
    assert_eq!(timeout(Some(ms(200))), ms(200));
    assert_eq!(timeout(Some(ms(5_000))), ms(5_000));
    assert_eq!(timeout(Some(ms(86_400_000))), ms(600_000));
}

/// One minute of traffic in which all attempts fail, and the expected number of retries.
struct RetryCase {
    name: &'static str,
    attempts_per_s: u32,
    min_retries: u32,
    max_retries: u32,
}

const RETRIES: &[RetryCase] = &[
    RetryCase { name: "no traffic", attempts_per_s: 0, min_retries: 0, max_retries: 0 },
    RetryCase {
        name: "low traffic gets the minimum",
        attempts_per_s: 1,
        min_retries: 130,
        max_retries: 150,
    },
    RetryCase {
        name: "high traffic gets a tenth",
        attempts_per_s: 200,
        min_retries: 1_300,
        max_retries: 1_350,
    },
];

/// When all servers fail, retries must not add more than a tenth to the load, while low traffic
/// still gets a minimum of retries.
#[test]
fn retries_are_limited_to_a_fraction_of_traffic() {
    for case in RETRIES {
        check_retries(case);
    }
}

fn check_retries(case: &RetryCase) {
    let budget = RetryBudget::new(RetryConf::default());
    let mut now = Instant::now();
    let mut retries = 0;
    for _ in 0..60 {
        for _ in 0..case.attempts_per_s {
            budget.first_attempt(BATCH, now);
            // Up to three retries per request.
            let granted =
                (0..3).take_while(|_| budget.try_retry(BATCH, now) == RetryGrant::Allowed);
            retries += granted.count() as u32;
        }
        now += ms(1_000);
    }
    assert!((case.min_retries..=case.max_retries).contains(&retries), "{}: {retries}", case.name);
    if case.attempts_per_s > 10 {
        assert_eq!(
            budget.try_retry(URGENT, now),
            RetryGrant::Allowed,
            "each class has its own budget"
        );
        while budget.try_retry(BATCH, now) == RetryGrant::Allowed {}
        let RetryGrant::Exhausted { retry_after } = budget.try_retry(BATCH, now) else {
            panic!("retry allowed by an exhausted budget");
        };
        assert_eq!(budget.try_retry(BATCH, now + retry_after + ms(1)), RetryGrant::Allowed);
    }
}
