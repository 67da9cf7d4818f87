//! Compatibility of forwarded requests between router versions.

use bincode::config::standard;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ConfigVersion;
use http::Request;

use super::ForwardHead;
use super::ForwardReply;
use super::LENGTH_BYTES;
use super::RunCounts;
use super::decode_head;
use super::encode_head;

const ORIGIN: StreamOrigin = StreamOrigin { service: 3, version: 5 };

fn head() -> ForwardHead {
    let (parts, ()) = Request::get("/chat/x").body(()).expect("a request").into_parts();
    ForwardHead::new(&parts, ConfigVersion(4))
}

fn reply() -> ForwardReply {
    let (parts, ()) = http::Response::new(()).into_parts();
    ForwardReply::response(&parts, None, None, RunCounts::default(), Some(ORIGIN))
}

/// Guards against a bound stream that goes on anywhere, as its origin is lost on the way.
#[test]
fn origins_travel_with_requests_and_replies() {
    let mut sent = head();
    sent.origin = Some(ORIGIN);
    let bytes = encode_head(&sent).expect("encode a head");
    let received: ForwardHead = decode_head(&bytes[LENGTH_BYTES..]).expect("decode a head");
    assert_eq!((received.origin, received.binds_streams), (Some(ORIGIN), true));
    let bytes = encode_head(&reply()).expect("encode a reply");
    let received: ForwardReply = decode_head(&bytes[LENGTH_BYTES..]).expect("decode a reply");
    assert!(matches!(received, ForwardReply::Response { origin: Some(ORIGIN), .. }));
}

/// Guards against a rolling upgrade in which a stream of a host that binds none joins another version.
#[test]
fn heads_of_earlier_versions_say_that_they_bind_no_streams() {
    let old = bincode::serde::encode_to_vec(head(), standard()).expect("encode a head");
    let received: ForwardHead = decode_head(&old).expect("a new version decodes an old head");
    assert_eq!((received.origin, received.binds_streams), (None, false));
    let old = bincode::serde::encode_to_vec(reply(), standard()).expect("encode a reply");
    let received: ForwardReply = decode_head(&old).expect("a new version decodes an old reply");
    assert!(matches!(received, ForwardReply::Response { origin: None, .. }));
    let new = encode_head(&head()).expect("encode a head");
    let read = bincode::serde::decode_from_slice(&new[LENGTH_BYTES..], standard());
    let (received, _): (ForwardHead, usize) = read.expect("an old version decodes a new head");
    assert_eq!(received.config, ConfigVersion(4));
}
