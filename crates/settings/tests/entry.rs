//! Settings of the entry daemon.

use fulmargate_settings::EntrySettings;

const GOOD: &str = include_str!("../../../examples/entry.json");

struct RefusalCase {
    name: &'static str,
    /// Text of the example, and what stands in its place.
    change: (&'static str, &'static str),
    /// Parts of the message.
    says: &'static [&'static str],
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase {
        name: "an empty name",
        change: ("\"host-1\"", "\"\""),
        says: &["entry.json", "`host`"],
    },
    RefusalCase {
        name: "a comma left out",
        change: ("\"host-1\",", "\"host-1\""),
        says: &["entry.json", "is not JSON", "line"],
    },
    RefusalCase {
        name: "an unknown key",
        change: ("\"zone\"", "\"zon\""),
        says: &["entry.json", "zon"],
    },
    RefusalCase {
        name: "an address without a port",
        change: ("\"127.0.0.1:8080\"", "\"127.0.0.1\""),
        says: &["`callers`"],
    },
    RefusalCase {
        name: "a bound that cannot be kept",
        change: ("\"key_revoke_ms\": 5000", "\"key_revoke_ms\": 500"),
        says: &["`bounds.key_revoke_ms`", "500", "1500 or more"],
    },
    RefusalCase {
        name: "a heartbeat interval that is given in seconds",
        change: ("\"heartbeat_ms\": 1200", "\"heartbeat_ms\": 1"),
        says: &["`bounds.heartbeat_ms`", "100 or more"],
    },
    RefusalCase {
        name: "a stop too short for the balancer",
        change: ("\"stop_grace_s\": 8", "\"stop_grace_s\": 1"),
        says: &["`bounds.stop_grace_s`", "3 or more"],
    },
    RefusalCase {
        name: "a link that carries nothing",
        change: ("\"link_mbps\": 1000", "\"link_mbps\": 0"),
        says: &["`link_mbps`", "above 0"],
    },
    RefusalCase {
        name: "a negative share",
        change: ("\"repeat_ratio\": 0.2", "\"repeat_ratio\": -1"),
        says: &["`bounds.repeat_ratio`", "0 or more"],
    },
];

#[test]
fn the_example_is_accepted() {
    EntrySettings::parse("entry.json", GOOD).expect("accepted");
}

#[test]
fn the_number_of_few_hosts_may_be_left_out() {
    let text = GOOD.replace("  \"few_hosts\": 6,\n", "");
    let settings = EntrySettings::parse("entry.json", &text).expect("accepted");
    assert_eq!(settings.few_hosts, 6);
}

#[test]
fn the_link_may_be_left_out() {
    let text = GOOD.replace("  \"link_mbps\": 1000,\n", "");
    let settings = EntrySettings::parse("entry.json", &text).expect("accepted");
    assert_eq!(settings.link_bytes_per_s(), 125_000_000.0);
    assert_eq!(settings.link_kbps(), 1_000_000);
}

#[test]
fn the_heartbeat_interval_may_be_left_out() {
    let text = GOOD.replace("    \"heartbeat_ms\": 1200,\n", "");
    assert_ne!(text, GOOD);
    let settings = EntrySettings::parse("entry.json", &text).expect("accepted");
    assert_eq!(settings.bounds.heartbeat_ms, 1_200);
}

#[test]
fn refusals_name_file_key_and_what_is_allowed() {
    for case in REFUSALS {
        let text = GOOD.replace(case.change.0, case.change.1);
        assert_ne!(text, GOOD, "{}", case.name);
        let message = match EntrySettings::parse("entry.json", &text) {
            Ok(_) => panic!("{}: accepted", case.name),
            Err(err) => err.to_string(),
        };
        for part in case.says {
            assert!(message.contains(part), "{}: {message}", case.name);
        }
    }
}
