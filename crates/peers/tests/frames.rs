//! Encoding and decoding of frames and messages.

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use fulmargate_peers::ItemRecord;
use fulmargate_peers::MemberRecord;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerItem;
use fulmargate_peers::RecordKey;
use fulmargate_peers::RecordKind;
use fulmargate_peers::TeamRate;
use fulmargate_peers::VerdictState;
use fulmargate_peers::WordTopic;
use fulmargate_peers::wire::FrameError;
use fulmargate_peers::wire::FrameReader;
use fulmargate_peers::wire::JoinResponsePart;
use fulmargate_peers::wire::LENGTH_PREFIX_BYTES;
use fulmargate_peers::wire::MAX_FRAME_BYTES;
use fulmargate_peers::wire::PROTOCOL_VERSION;
use fulmargate_peers::wire::PeerFrame;
use fulmargate_peers::wire::PeerMessage;
use fulmargate_peers::wire::PeerRecord;
use fulmargate_peers::wire::SummaryEntry;
use fulmargate_peers::wire::decode_frame;
use fulmargate_peers::wire::encode_frame;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_260_731;

fn member(state: MemberState) -> MemberRecord {
    MemberRecord {
        host: HostName::new("entry-host-1"),
        incarnation: Incarnation(1_700_000_000_123),
        heartbeat: 300,
        state,
        zone: ZoneName::new("te-aro-hall"),
        address: "[::1]:7001".parse().expect("an address"),
        age_ms: 70_000,
    }
}

fn items() -> Vec<PeerItem> {
    let (server, host) = (ServerName::new("engine-1"), HostName::new("entry-host-1"));
    let (incarnation, zone) = (Incarnation(u64::MAX), ZoneName::new("te-aro-hall"));
    let teams = vec![TeamRate {
        team: TeamName::new("permits"),
        milli_requests_per_s: 1,
        tokens_per_s: 70_000,
    }];
    let mut items = vec![
        PeerItem::ConfigInForce { host: host.clone(), version: ConfigVersion(300) },
        PeerItem::ServerLeaving { server: server.clone(), incarnation },
        PeerItem::TeamUsage { host: host.clone(), teams: teams.clone() },
        PeerItem::ZoneUsage { zone, hosts: 7, teams },
        PeerItem::HotPrefix { prefix: PromptHash(u64::MAX), server: server.clone(), incarnation },
        PeerItem::ServerSeen { server: server.clone(), incarnation },
        PeerItem::ClaimerGone { host: host.clone(), incarnation },
    ];
    for state in [VerdictState::Cleared, VerdictState::Suspect, VerdictState::Convicted] {
        let servers = vec![server.clone(); 2];
        items.push(PeerItem::CrashVerdict { fingerprint: 9, state, servers });
    }
    for topic in
        [WordTopic::Suspect, WordTopic::TeamUse, WordTopic::PrefixDemand, WordTopic::SpreadPlan]
    {
        items.push(PeerItem::HostWord {
            topic,
            host: host.clone(),
            part: 5,
            bytes: vec![0, 255].into(),
        });
    }
    items
}

fn records() -> Vec<PeerRecord> {
    let states = [MemberState::Alive, MemberState::Suspected, MemberState::Gone, MemberState::Left];
    let members = states.into_iter().map(|state| PeerRecord::Member(member(state)));
    let origin = HostName::new("entry-host-2");
    let item = |item| ItemRecord {
        item,
        origin: origin.clone(),
        incarnation: Incarnation(3),
        sequence: 4,
        order: 5,
        remaining_ms: 6_000,
    };
    members.chain(items().into_iter().map(item).map(PeerRecord::Item)).collect()
}

fn messages() -> Vec<PeerMessage> {
    let key = RecordKey { kind: RecordKind::ServerSeen, id: u64::MAX };
    vec![
        PeerMessage::Hello { fleet: "shop".to_owned(), member: member(MemberState::Alive) },
        PeerMessage::Probe { number: 300, digest: u32::MAX },
        PeerMessage::ProbeAck { number: 300 },
        PeerMessage::IndirectProbeRequest {
            number: 1,
            host: HostName::new("h"),
            address: "127.0.0.1:1".parse().expect("an address"),
        },
        PeerMessage::JoinRequest,
        PeerMessage::JoinResponse { part: JoinResponsePart::More, records: records() },
        PeerMessage::JoinResponse { part: JoinResponsePart::Last, records: Vec::new() },
        PeerMessage::JoinResponse { part: JoinResponsePart::Sample, records: Vec::new() },
        PeerMessage::Digest { buckets: vec![0, u32::MAX] },
        PeerMessage::Summary {
            buckets: vec![1, 300],
            entries: vec![SummaryEntry { key, stamp: 7 }],
        },
        PeerMessage::RecordRequest { keys: vec![key] },
        PeerMessage::Update { records: records() },
    ]
}

fn frame(message: PeerMessage) -> PeerFrame {
    PeerFrame { config_version: ConfigVersion(70_000), message }
}

#[test]
fn messages_round_trip() {
    for message in messages() {
        let frame = frame(message);
        let bytes = encode_frame(&frame);
        assert_eq!(decode_frame(&bytes[LENGTH_PREFIX_BYTES..]).expect("readable"), frame);
    }
}

#[test]
fn frames_are_split_from_chunks_of_any_size() {
    let frames: Vec<PeerFrame> = messages().into_iter().map(frame).collect();
    let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode_frame(frame).to_vec()).collect();
    for chunk_size in [1, 3, 7, 1_000, bytes.len()] {
        let mut reader = FrameReader::default();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_size) {
            reader.push(chunk);
            while let Some(bytes) = reader.next_frame().expect("readable") {
                decoded.push(decode_frame(&bytes).expect("readable"));
            }
        }
        assert_eq!(decoded, frames, "chunks of {chunk_size} bytes");
    }
}

/// A newer release may send records of an unknown kind and append fields to known ones. The known
/// parts must still be decoded.
#[test]
fn unknown_record_kinds_and_trailing_fields_are_ignored() {
    let known = records().remove(0);
    let update = |records| frame(PeerMessage::Update { records });
    let mut bytes = encode_frame(&update(vec![known.clone()]))[LENGTH_PREFIX_BYTES..].to_vec();
    let count_index = bytes.len() - record_bytes(&known).len() - 1;
    assert_eq!(bytes[count_index], 1);
    bytes[count_index] = 3;
    bytes.extend([200, 3, 1, 2, 3]);
    let mut longer = record_bytes(&known);
    longer[1] += 2;
    longer.extend([9, 9]);
    bytes.extend(longer);
    assert_eq!(decode_frame(&bytes).expect("readable"), update(vec![known.clone(), known]));
}

fn record_bytes(record: &PeerRecord) -> Vec<u8> {
    let with_record = encode_frame(&frame(PeerMessage::Update { records: vec![record.clone()] }));
    let without_record = encode_frame(&frame(PeerMessage::Update { records: Vec::new() }));
    with_record[without_record.len()..].to_vec()
}

#[test]
fn invalid_frames_are_rejected() {
    let mut reader = FrameReader::default();
    reader.push(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
    assert!(matches!(reader.next_frame(), Err(FrameError::Length { .. })));
    let join = &encode_frame(&frame(PeerMessage::JoinRequest))[LENGTH_PREFIX_BYTES..];
    let mut other_version = join.to_vec();
    other_version[0] = PROTOCOL_VERSION + 1;
    assert!(matches!(decode_frame(&other_version), Err(FrameError::Version { .. })));
    assert!(matches!(decode_frame(&join[..join.len() - 1]), Err(FrameError::Message { .. })));
    let longer = [join, &[0]].concat();
    assert!(matches!(decode_frame(&longer), Err(FrameError::TrailingBytes { count: 1 })));
    assert!(matches!(decode_frame(&[]), Err(FrameError::Length { length: 0 })));
}

/// Corrupted input must be decoded or rejected without a panic or an allocation of the claimed
/// length.
#[test]
fn decoding_corrupted_frames_does_not_panic() {
    fn decodes_without_panic(
        message_index: usize,
        byte_index: usize,
        byte: u8,
        truncate_by: usize,
    ) -> bool {
        let messages = messages();
        let mut bytes = encode_frame(&frame(messages[message_index % messages.len()].clone()))
            [LENGTH_PREFIX_BYTES..]
            .to_vec();
        let byte_index = 1 + byte_index % (bytes.len() - 1);
        bytes[byte_index] = byte;
        bytes.truncate(bytes.len() - truncate_by % 3);
        let _ = decode_frame(&bytes);
        true
    }
    let random = Gen::from_size_and_seed(100_000, SEED);
    QuickCheck::new()
        .rng(random)
        .tests(20_000)
        .quickcheck(decodes_without_panic as fn(usize, usize, u8, usize) -> bool);
}
