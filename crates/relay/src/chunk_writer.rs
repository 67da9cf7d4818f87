//! Writes a stream's events as the caller sees them.

use std::ops::Range;

use bytes::BytesMut;
use fulmargate_names::RequestId;

use crate::StreamPlace;
use crate::TokenMinter;
use crate::stream_guard::DONE;
use crate::stream_guard::quote;

/// Writes the events of one attempt: the caller's request id in place of the attempt's, and a
/// resume token as the id of each event that moves the stream on. All other bytes of the data stay as they are.
pub struct ChunkWriter {
    quoted_id: String,
    minter: TokenMinter,
}

impl ChunkWriter {
    /// `minter` makes the tokens of the attempt.
    pub fn new(request_id: &RequestId, minter: TokenMinter) -> ChunkWriter {
        ChunkWriter { quoted_id: quote(request_id.as_str()), minter }
    }

    /// Writes an event with a resume token, after which the stream stands at `place`.
    pub fn write_token(
        &self,
        data: &str,
        id_span: Range<usize>,
        place: StreamPlace,
        out: &mut BytesMut,
    ) {
        out.extend_from_slice(b"id: ");
        self.minter.write(place, out);
        out.extend_from_slice(b"\n");
        self.write_extra(data, id_span, out);
    }

    /// Writes an event without a token.
    pub fn write_extra(&self, data: &str, id_span: Range<usize>, out: &mut BytesMut) {
        let (head, tail) = (&data[..id_span.start], &data[id_span.end..]);
        out.extend_from_slice(b"data: ");
        push_data(head, out);
        out.extend_from_slice(self.quoted_id.as_bytes());
        push_data(tail, out);
        out.extend_from_slice(b"\n\n");
    }

    /// Writes the end.
    pub fn write_done(&self, out: &mut BytesMut) {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(DONE.as_bytes());
        out.extend_from_slice(b"\n\n");
    }
}

/// Data of several lines takes a field for each.
fn push_data(text: &str, out: &mut BytesMut) {
    let mut lines = text.split('\n');
    out.extend_from_slice(lines.next().unwrap_or_default().as_bytes());
    for line in lines {
        out.extend_from_slice(b"\ndata: ");
        out.extend_from_slice(line.as_bytes());
    }
}
