//! A recorded stream and the parts to relay it with.
#![allow(dead_code, reason = "each test file uses a part")]

use std::num::NonZeroUsize;

use bytes::Bytes;
use bytes::BytesMut;
use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::AttemptStream;
use fulmargate_relay::ChunkWriter;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::StreamFault;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::StreamState;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::TokenMinter;
use fulmargate_relay::TokenSecrets;
use fulmargate_relay::UsageChunk;

pub(crate) const REQUEST: &str = "01997c3e-9f4e-7bb2-a7ad-5a4ce2f7d1a0";
pub(crate) const ATTEMPT: &str = "01997c3e-9f4e-7bb2-a7ad-5a4ce2f7d1a0.1";
pub(crate) const BODY: &[u8] = br#"{"model":"museum","stream":true}"#;
pub(crate) const TOKENS: u32 = 4;
pub(crate) const DONE: &str = "data: [DONE]\n\n";

pub(crate) fn data(attempt: &str, index: u32, finish: &str) -> String {
    format!(
        r#"{{"id":"{attempt}","object":"text_completion","choices":[{{"index":0,"text":" tø{index}","finish_reason":{finish}}}]}}"#
    )
}

pub(crate) fn token(attempt: &str, index: u32) -> String {
    let finish = if index + 1 == TOKENS { r#""stop""# } else { "null" };
    format!("id: {index}\ndata: {}\n\n", data(attempt, index, finish))
}

pub(crate) fn tokens(attempt: &str, from: u32) -> String {
    (from..TOKENS).map(|index| token(attempt, index)).collect()
}

pub(crate) fn usage(attempt: &str) -> String {
    format!(
        "data: {{\"id\":\"{attempt}\",\"choices\":[],\"usage\":{{\"completion_tokens\":{TOKENS}}}}}\n\n"
    )
}

pub(crate) fn whole(attempt: &str, from: u32) -> String {
    tokens(attempt, from) + &usage(attempt) + DONE
}

pub(crate) fn answer(upto: u32) -> String {
    (0..upto).map(|index| format!(" tø{index}")).collect()
}

pub(crate) fn secrets(texts: &[&str]) -> TokenSecrets {
    let texts: Vec<String> = texts.iter().map(|&text| text.to_owned()).collect();
    TokenSecrets::new(&texts).unwrap()
}

pub(crate) fn first_secret() -> TokenSecrets {
    secrets(&["a secret of the entry hosts"])
}

pub(crate) fn binding() -> TokenBinding {
    TokenBinding::new(&TeamName::new("shop"), "/v1/completions", BODY)
}

pub(crate) fn begun(request: &str) -> ResumeToken {
    ResumeToken {
        server: ServerName::new("milano-nord-7"),
        incarnation: Incarnation(1_760_000_000_123),
        weights: WeightsVersion(300),
        request_id: RequestId::new(request),
        place: StreamPlace::default(),
    }
}

pub(crate) fn writer() -> ChunkWriter {
    let minter = TokenMinter::new(&first_secret(), &binding(), &begun(REQUEST));
    ChunkWriter::new(&RequestId::new(REQUEST), minter)
}

pub(crate) fn stream_at(attempt: &str, place: StreamPlace) -> AttemptStream {
    stream_with(attempt, place, UsageChunk::NotAsked)
}

pub(crate) fn stream_with(attempt: &str, place: StreamPlace, usage: UsageChunk) -> AttemptStream {
    let limit = NonZeroUsize::new(1024).unwrap();
    AttemptStream::new(limit, attempt, place, usage, writer())
}

/// Relays a body given in chunks; what the caller got, and how it ended.
pub(crate) fn relay<'a>(
    stream: &mut AttemptStream,
    chunks: impl IntoIterator<Item = &'a [u8]>,
) -> (BytesMut, Result<StreamState, StreamFault>) {
    let mut out = BytesMut::new();
    for chunk in chunks {
        if let Err(fault) = stream.feed(Bytes::copy_from_slice(chunk), &mut out) {
            return (out, Err(fault));
        }
    }
    let end = stream.end_of_body().map(|()| stream.state());
    (out, end)
}
