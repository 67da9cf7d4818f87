//! Compatibility of messages and records between router versions.

use std::time::Duration;

use bincode::config::standard;
use fulmargate_admission::BucketKey;
use fulmargate_admission::GrantNotice;
use fulmargate_admission::HostKey;
use fulmargate_admission::LimitNotice;
use fulmargate_admission::LimitReport;
use fulmargate_admission::QuotaCount;
use fulmargate_admission::QuotaReport;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ClaimNotice;
use fulmargate_dispatch::ClaimStage;
use fulmargate_dispatch::CrashNotice;
use fulmargate_dispatch::CrashProof;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::HeartbeatMark;
use fulmargate_dispatch::ProbeNotice;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectNotice;
use fulmargate_dispatch::SuspectReport;
use fulmargate_dispatch::WeightsAge;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsRecord;
use fulmargate_dispatch::WeightsReport;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::ModelName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::WeightsVersion;
use serde::Deserialize;

use super::LENGTH_PREFIX_BYTES;
use super::decode_gossip;
use super::decode_payload;
use super::decode_record;
use super::encode_gossip;
use super::encode_payload;
use super::encode_record;

fn gossip(link_kbps: Option<u32>) -> GossipMessage {
    let host = Some(HostName::new("host-1"));
    GossipMessage { host, link_kbps, ..GossipMessage::default() }
}

#[test]
fn link_bandwidth_round_trips() {
    for link_kbps in [Some(10_000), None] {
        let message = encode_gossip(&gossip(link_kbps)).expect("encode message");
        let decoded = decode_gossip(&message[LENGTH_PREFIX_BYTES..]).expect("decode message");
        assert_eq!(decoded, gossip(link_kbps));
    }
}

/// Limits of servers travel behind the message, where routers of earlier versions ignore them.
#[test]
fn limit_reports_round_trip() {
    let notice = LimitNotice {
        server: 7,
        rate_per_s: Some(2.8),
        age_ms: 40,
        attempts_per_s: 12.5,
        wanted: 2,
        lapsed: 1,
    };
    let usage = QuotaReport {
        start: 3,
        counts: vec![QuotaCount { key: BucketKey::of_server(7), total: 9, fresh: 2 }],
    };
    let grant = GrantNotice { server: 7, host: HostKey::of(&HostName::new("entry-3")), total: 4 };
    let limits = Some(LimitReport { notices: vec![notice], usage, grants: vec![grant] });
    let sent = GossipMessage { limits, ..gossip(None) };
    let message = encode_gossip(&sent).expect("encode message");
    let decoded = decode_gossip(&message[LENGTH_PREFIX_BYTES..]).expect("decode message");
    assert_eq!(decoded, sent);
}

/// Guards against evidence on crashing requests that is lost in the encoding.
#[test]
fn suspect_reports_round_trip() {
    let crash = CrashNotice {
        server: ServerKey(5),
        age_ms: 40,
        proof: CrashProof::Suspected,
        run_ms: 0,
        weights: None,
    };
    let notice = SuspectNotice {
        fingerprint: 1 << 100,
        crashes: vec![crash],
        cleared: vec![ServerKey(6)],
        claim: Some(ClaimNotice { stage: ClaimStage::Running, server: Some(ServerKey(9)) }),
    };
    let probe = ProbeNotice {
        server: ServerKey(5),
        is_reached: false,
        age_ms: 3,
        reaches_service: true,
        is_question: true,
    };
    let run = CrashNotice { run_ms: 70, weights: Some(WeightsVersion(4)), ..crash };
    let part = SuspectNotice { crashes: vec![run, crash], ..notice.clone() };
    let parts = vec![part, notice.clone()];
    let suspects = SuspectReport { suspects: vec![notice], probes: vec![probe], parts };
    let sent = GossipMessage { suspects, ..gossip(None) };
    let message = encode_gossip(&sent).expect("encode message");
    let decoded = decode_gossip(&message[LENGTH_PREFIX_BYTES..]).expect("decode message");
    assert_eq!(decoded, sent);
}

/// Guards against hosts of which it is not known that they bind streams, and services whose versions are not told.
#[test]
fn mixed_services_round_trip() {
    for mixed_services in [None, Some(Vec::new()), Some(vec![7, u64::MAX])] {
        let sent = GossipMessage { mixed_services, ..gossip(None) };
        let message = encode_gossip(&sent).expect("encode message");
        let decoded = decode_gossip(&message[LENGTH_PREFIX_BYTES..]).expect("decode message");
        assert_eq!(decoded, sent);
    }
}

/// Guards against routers that close their connections during a rolling upgrade because a message
/// has fewer or more extensions than they know.
#[test]
fn messages_are_compatible_between_versions() {
    let old_message =
        bincode::serde::encode_to_vec(gossip(None), standard()).expect("encode message");
    assert_eq!(decode_gossip(&old_message).expect("new version decodes old message"), gossip(None));
    let new_message = encode_gossip(&gossip(Some(10_000))).expect("encode message");
    let read = bincode::serde::decode_from_slice(&new_message[LENGTH_PREFIX_BYTES..], standard());
    let (decoded, _): (GossipMessage, usize) = read.expect("old version decodes new message");
    assert_eq!(decoded, gossip(None));
}

/// Guards against parts of a message that earlier versions misread, as a field was added to one that they know.
#[test]
fn known_parts_keep_their_layout() {
    let bytes =
        |value| bincode::serde::encode_to_vec::<(u64, Option<f64>, u32, f32), _>(value, standard());
    let notice = LimitNotice {
        server: 7,
        rate_per_s: Some(2.8),
        age_ms: 40,
        attempts_per_s: 12.5,
        wanted: 2,
        lapsed: 1,
    };
    let encoded = bincode::serde::encode_to_vec(notice, standard()).expect("encode a notice");
    assert_eq!(encoded, bytes((7, Some(2.8), 40, 12.5)).expect("encode the fields"));
    let report = LimitReport {
        grants: vec![GrantNotice { server: 7, host: HostKey::of(&HostName::new("a")), total: 4 }],
        ..LimitReport::default()
    };
    let encoded = bincode::serde::encode_to_vec(report, standard()).expect("encode a report");
    let empty = bincode::serde::encode_to_vec(LimitReport::default(), standard());
    assert_eq!(encoded, empty.expect("encode an empty report"));
    let claim = ClaimNotice { stage: ClaimStage::Running, server: Some(ServerKey(9)) };
    let encoded = bincode::serde::encode_to_vec(claim, standard()).expect("encode a claim");
    let stage = bincode::serde::encode_to_vec(ClaimStage::Running, standard());
    assert_eq!(encoded, stage.expect("encode a stage"));
    let probe = ProbeNotice {
        server: ServerKey(5),
        is_reached: false,
        age_ms: 3,
        reaches_service: true,
        is_question: true,
    };
    let encoded = bincode::serde::encode_to_vec(probe, standard()).expect("encode a probe");
    let fields = bincode::serde::encode_to_vec((ServerKey(5), false, 3_u32), standard());
    assert_eq!(encoded, fields.expect("encode the fields"));
}

/// Guards against ages of weights that routers of the last release, which know no other way, do not find.
#[test]
fn weights_ages_keep_their_place_in_the_message() {
    let age = WeightsAge { model: ModelName::new("m"), version: WeightsVersion(3), age_ms: 4_500 };
    let sent = GossipMessage { weights: vec![age.clone()], ..gossip(Some(10_000)) };
    let message = encode_gossip(&sent).expect("encode message");
    let read = bincode::serde::decode_from_slice(&message[LENGTH_PREFIX_BYTES..], standard());
    let (decoded, _): (GossipMessage, usize) = read.expect("old version decodes new message");
    assert_eq!(decoded.weights, [age]);
}

/// Guards against routers that cannot read what a later version adds to the answer on weights.
#[test]
fn weights_reports_may_be_followed_by_more() {
    let model = ModelName::new("m");
    let mut weights = WeightsTable::default();
    weights.add_target(&model, WeightsVersion(3), None);
    let proof = WeightsProof { version: WeightsVersion(1), proven_at: BootTime(2_000) };
    weights.add_proof(&model, proof);
    let report = WeightsReport::new(&weights, Some(Duration::from_millis(300)), BootTime(9_000));
    let mut encoded = encode_payload(&report).expect("encode a report");
    let decoded: WeightsReport = decode_payload(&encoded).expect("decode a report");
    assert_eq!(decoded, report);
    encoded.extend([7, 0, 255]);
    let decoded: WeightsReport = decode_payload(&encoded).expect("decode a longer report");
    assert_eq!(decoded, report);
}

/// The kinds of records of earlier versions, as far as these tests send them.
#[derive(Debug, Deserialize)]
#[allow(dead_code)]
enum EarlierRecord {
    Joined,
    Lease { host: HostName, incarnation: Incarnation, epoch: StoreEpoch },
    Crash,
    Restored,
    Suspects,
    Limits,
}

/// Guards against a release that earlier versions misread as another record, and against leases that they cannot read.
#[test]
fn earlier_versions_skip_the_release_of_a_lease() {
    let decode = |record: &FleetRecord| {
        let bytes = encode_record(record).expect("encode a record");
        assert_eq!(decode_record(&bytes).expect("decode a record"), *record);
        bincode::serde::decode_from_slice::<EarlierRecord, _>(&bytes, standard())
    };
    let (host, incarnation, epoch) = (HostName::new("host-1"), Incarnation(7), StoreEpoch(2));
    let lease = FleetRecord::Lease { host: host.clone(), incarnation, epoch };
    let (read, _) = decode(&lease).expect("an earlier version decodes a lease");
    assert!(matches!(read, EarlierRecord::Lease { .. }), "{read:?}");
    let fence = FencingNumber(1 << 40);
    let release = FleetRecord::LeaseReleased { host, incarnation, fence, epoch };
    assert!(decode(&release).is_err(), "an earlier version decodes a release");
    assert_eq!(lease.key(), release.key());
}

fn weights_record() -> FleetRecord {
    FleetRecord::Weights(WeightsRecord {
        model: ModelName::new("m"),
        target: WeightsVersion(3),
        proofs: vec![(WeightsVersion(1), 4_200), (WeightsVersion(3), 40)],
        mark: HeartbeatMark { epoch: StoreEpoch(1), offset: LogOffset(70_000), servers: 12 },
    })
}

#[test]
fn ages_of_weights_round_trip() {
    let bytes = encode_record(&weights_record()).expect("encode a record");
    assert_eq!(decode_record(&bytes).expect("decode a record"), weights_record());
    assert_eq!(weights_record().key(), "weights/m");
}

/// Guards against routers of earlier versions that take ages of weights for another kind of record.
#[test]
fn earlier_versions_skip_ages_of_weights() {
    let decode = |record: &FleetRecord| {
        let bytes = encode_record(record).expect("encode a record");
        bincode::serde::decode_from_slice(&bytes, standard()).map(|(record, _)| record)
    };
    let limits = FleetRecord::Limits { slot: 3, entries: Vec::new() };
    assert!(matches!(decode(&limits), Ok(EarlierRecord::Limits)));
    let suspects = FleetRecord::Suspects { slot: 3, entries: Vec::new() };
    assert!(matches!(decode(&suspects), Ok(EarlierRecord::Suspects)));
    decode(&weights_record()).expect_err("skipped");
}

/// Guards against records of earlier versions that can no longer be read.
#[test]
fn records_of_earlier_versions_are_read() {
    // The number of the kind, a slot, and no entries.
    let limits = decode_record(&[5, 3, 0]).expect("decode limits");
    assert_eq!(limits, FleetRecord::Limits { slot: 3, entries: Vec::new() });
    let suspects = decode_record(&[4, 3, 0]).expect("decode suspects");
    assert_eq!(suspects, FleetRecord::Suspects { slot: 3, entries: Vec::new() });
}
