//! Settings that are refused, and what the person who wrote them is told.

use fulmargate_settings::RouterSettings;

const GOOD: &str = include_str!("../../../examples/router.json");

struct RefusalCase {
    what: &'static str,
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

const CASES: &[RefusalCase] = &[
    RefusalCase {
        what: "unknown key",
        from: "\"workers\"",
        to: "\"worker\"",
        message: "`callers.worker`: unknown field `worker`",
    },
    RefusalCase {
        what: "missing key",
        from: "\"zone\": \"milano-nord\",",
        to: "",
        message: "missing field `zone`",
    },
    RefusalCase {
        what: "wrong type",
        from: "\"workers\": 2",
        to: "\"workers\": \"two\"",
        message: "`callers.workers`: invalid type: string \"two\"",
    },
    RefusalCase {
        what: "out of range",
        from: "\"workers\": 2",
        to: "\"workers\": 0",
        message: "`callers.workers`: `0`; allowed are 1 to 64",
    },
    RefusalCase {
        what: "bad address",
        from: "127.0.0.1:8080",
        to: "localhost:8080",
        message: "`callers.listen`: invalid socket address",
    },
    RefusalCase {
        what: "bad digest",
        from: "\"key_sha256\": \"",
        to: "\"key_sha256\": \"zz",
        message: "`operators.key_sha256`",
    },
    RefusalCase {
        what: "bad name",
        from: "\"milano-nord-1\"",
        to: "\"milano nord 1\"",
        message: "`host`: `milano nord 1`; allowed are",
    },
    RefusalCase {
        what: "short secret",
        from: "a-secret-that-all-entry-hosts-share",
        to: "short",
        message: "`stream_secrets[0]`: has 5 bytes",
    },
    RefusalCase {
        what: "broken JSON",
        from: "\"peers\": {",
        to: "\"peers\": [",
        message: "`peers",
    },
];

#[test]
fn refusals_name_file_and_key() {
    for case in CASES {
        check(case);
    }
}

fn check(case: &RefusalCase) {
    assert!(GOOD.contains(case.from), "{}: the example lacks {}", case.what, case.from);
    let text = GOOD.replacen(case.from, case.to, 1);
    let message = RouterSettings::parse("router.json", &text).expect_err(case.what).to_string();
    assert!(message.starts_with("router.json: key "), "{}: {message}", case.what);
    assert!(message.contains(case.message), "{}: {message}", case.what);
}

#[test]
fn the_example_is_accepted() {
    RouterSettings::parse("router.json", GOOD).expect("the example");
}
