//! Records rewritten after a restore of the store from a backup.

use fulmargate_consortium::decode_keyed;
use fulmargate_dispatch::FleetRecord;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

use super::OwnRecords;
use crate::control::fleet_codec::encode_keyed_record;

fn joined(incarnation: u64) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new("h0"),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: ZoneName::new("north"),
        link_kbps: 20_000,
        epoch: StoreEpoch(0),
    }
}

fn key_of(record: &[u8]) -> String {
    decode_keyed(record).expect("valid keyed record").key
}

struct RewriteCase {
    name: &'static str,
    listed: Vec<FleetRecord>,
    missing: &'static [&'static str],
}

fn cases() -> Vec<RewriteCase> {
    vec![
        RewriteCase { name: "all records are lost", listed: Vec::new(), missing: &["host/h0"] },
        RewriteCase { name: "all records are present", listed: vec![joined(2)], missing: &[] },
        RewriteCase {
            name: "the backup has an earlier incarnation of this host",
            listed: vec![joined(1)],
            missing: &["host/h0"],
        },
    ]
}

/// Guards against acknowledged records that the store loses for good: starting hosts would not find
/// this host.
#[test]
fn lost_records_are_rewritten() {
    for case in cases() {
        let mut own = OwnRecords::default();
        own.put(&joined(2));
        let first = own.missing();
        assert_eq!(first.len(), 1, "{}: all records are written initially", case.name);
        own.mark_written(&first);
        assert!(own.missing().is_empty(), "{}", case.name);
        let listed: IndexMap<String, Vec<u8>> = case
            .listed
            .iter()
            .map(|record| (record.key(), encode_keyed_record(record).expect("encode record")))
            .collect();
        own.reconcile(&listed);
        let missing = own.missing();
        let keys: Vec<String> = missing.iter().map(|bytes| key_of(bytes)).collect();
        assert_eq!(keys, case.missing, "{}", case.name);
    }
}
