//! Compatibility of gossip messages between router versions.

use bincode::config::standard;
use fulmargate_dispatch::GossipMessage;
use fulmargate_names::HostName;

use super::LENGTH_PREFIX_BYTES;
use super::decode_gossip;
use super::encode_gossip;

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
