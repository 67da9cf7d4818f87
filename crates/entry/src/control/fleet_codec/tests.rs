//! Routers of two versions read each other's messages.

use bincode::config::standard;
use fulmargate_dispatch::GossipMessage;
use fulmargate_names::HostName;

use super::LENGTH_BYTES;
use super::decode_news;
use super::encode_news;

fn news(link_kbps: Option<u32>) -> GossipMessage {
    let host = Some(HostName::new("host-1"));
    GossipMessage { host, link_kbps, ..GossipMessage::default() }
}

#[test]
fn a_message_says_what_the_link_carries() {
    for link_kbps in [Some(10_000), None] {
        let message = encode_news(&news(link_kbps)).expect("a message");
        let heard = decode_news(&message[LENGTH_BYTES..]).expect("it is read");
        assert_eq!(heard, news(link_kbps));
    }
}

/// While a new version is brought out, routers close their links to each other again and again.
/// One of the earlier version sends a message without the link, and one of the later version wants it, or
/// the earlier one finds more bytes than it knows. Each reads what it knows.
#[test]
fn versions_read_each_other() {
    let earlier = bincode::serde::encode_to_vec(news(None), standard()).expect("a message");
    assert_eq!(decode_news(&earlier).expect("the later one reads it"), news(None));
    let later = encode_news(&news(Some(10_000))).expect("a message");
    let read = bincode::serde::decode_from_slice(&later[LENGTH_BYTES..], standard());
    let (heard, _): (GossipMessage, usize) = read.expect("the earlier one reads it");
    assert_eq!(heard, news(None));
}
