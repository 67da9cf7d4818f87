//! What is written again after the store has come back from a copy.

use fulmargate_consortium::split_keyed;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

use super::MOST_CRASHES;
use super::OwnRecords;
use crate::control::fleet_codec::keyed_record;

fn joined(incarnation: u64) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new("h0"),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::new("north"),
        link_kbps: 20_000,
        epoch: StoreEpoch(0),
    }
}

fn crash(print: u128, server: &str) -> FleetRecord {
    FleetRecord::Crash { print, server: ServerName::new(server), start: ServerKey(1) }
}

fn key_of(record: &[u8]) -> String {
    split_keyed(record).expect("a keyed record").key
}

struct RewriteCase {
    name: &'static str,
    listed: Vec<FleetRecord>,
    missing: &'static [&'static str],
}

fn cases() -> Vec<RewriteCase> {
    vec![
        RewriteCase { name: "all is lost", listed: Vec::new(), missing: &["host/h0", "crash/7"] },
        RewriteCase { name: "all is there", listed: vec![joined(2), crash(7, "a")], missing: &[] },
        RewriteCase {
            name: "the copy has an earlier start of this host",
            listed: vec![joined(1), crash(7, "a")],
            missing: &["host/h0"],
        },
        RewriteCase {
            name: "another host's crash is newer",
            listed: vec![joined(2), crash(7, "b")],
            missing: &[],
        },
    ]
}

/// Hosts that start find nobody at this host's address, and let requests through that crash servers.
/// The store has lost records that it had acknowledged; nobody but their writer has them.
#[test]
fn what_was_lost_is_written_again() {
    for case in cases() {
        let mut own = OwnRecords::default();
        own.put(&joined(2));
        own.put(&crash(7, "a"));
        let first = own.missing();
        assert_eq!(first.len(), 2, "{}: all is written once", case.name);
        own.written(&first);
        assert!(own.missing().is_empty(), "{}", case.name);
        let listed: IndexMap<String, Vec<u8>> = case
            .listed
            .iter()
            .map(|record| (record.key(), keyed_record(record).expect("bytes")))
            .collect();
        own.compare(&listed);
        let missing = own.missing();
        let keys: Vec<String> = missing.iter().map(|bytes| key_of(bytes)).collect();
        assert_eq!(keys, case.missing, "{}", case.name);
    }
}

#[test]
fn crashes_that_are_kept_are_bounded() {
    let mut own = OwnRecords::default();
    (0..200).for_each(|print| own.put(&crash(print, "a")));
    assert_eq!(own.missing().len(), MOST_CRASHES);
}
