//! Traffic and link counters, readable from any thread.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::RECORD_KIND_COUNT;
use crate::RecordKind;
use crate::wire::PeerFrame;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::encoded_len;

/// Category of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Records of one kind.
    Record(RecordKind),
    /// Frame headers around records, and frames that only carry the configuration version.
    Framing,
    /// Failure detection.
    Probe,
    /// Anti-entropy digests, summaries and requests.
    Digest,
    /// Initial frames of links, and join requests.
    Hello,
    /// Requests to a peer and their responses.
    Ask,
}

/// Number of traffic categories.
pub const TRAFFIC_KIND_COUNT: usize = RECORD_KIND_COUNT + 5;

impl TrafficKind {
    /// All categories.
    pub fn all() -> impl Iterator<Item = TrafficKind> {
        let records = RecordKind::rows().iter().map(|row| TrafficKind::Record(row.kind));
        let others = [
            TrafficKind::Framing,
            TrafficKind::Probe,
            TrafficKind::Digest,
            TrafficKind::Hello,
            TrafficKind::Ask,
        ];
        records.chain(others)
    }

    /// Metric label.
    pub fn name(self) -> &'static str {
        match self {
            TrafficKind::Record(kind) => kind.row().name,
            TrafficKind::Framing => "framing",
            TrafficKind::Probe => "probe",
            TrafficKind::Digest => "digest",
            TrafficKind::Hello => "hello",
            TrafficKind::Ask => "ask",
        }
    }

    fn index(self) -> usize {
        match self {
            TrafficKind::Record(kind) => kind as usize,
            TrafficKind::Framing => RECORD_KIND_COUNT,
            TrafficKind::Probe => RECORD_KIND_COUNT + 1,
            TrafficKind::Digest => RECORD_KIND_COUNT + 2,
            TrafficKind::Hello => RECORD_KIND_COUNT + 3,
            TrafficKind::Ask => RECORD_KIND_COUNT + 4,
        }
    }
}

/// Direction of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this host.
    Sent,
    /// Received by this host.
    Received,
}

/// Bytes of one traffic category.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficRow {
    /// The category.
    pub kind: TrafficKind,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counters of one host.
#[derive(Debug, Default)]
pub struct PeerCounters {
    sent: [AtomicU64; TRAFFIC_KIND_COUNT],
    received: [AtomicU64; TRAFFIC_KIND_COUNT],
    /// Frames sent.
    pub frames_sent: AtomicU64,
    /// Frames received.
    pub frames_received: AtomicU64,
    /// Bytes written to sockets, including HTTP/2 framing.
    pub wire_sent: AtomicU64,
    /// Bytes read from sockets, including HTTP/2 framing.
    pub wire_received: AtomicU64,
    /// Links opened by this host.
    pub links_opened: AtomicU64,
    /// Links accepted from peers.
    pub links_accepted: AtomicU64,
    /// Links dropped because the peer read too slowly.
    pub links_overrun: AtomicU64,
    /// Links rejected: wrong fleet, unsupported protocol version, or too many links.
    pub links_refused: AtomicU64,
    /// Frames that failed to decode; each closes its link.
    pub frames_unreadable: AtomicU64,
}

impl PeerCounters {
    /// Counts a frame of `length` bytes, attributing each record to its kind.
    pub fn count_frame(&self, direction: Direction, frame: &PeerFrame, length: usize) {
        let frames = match direction {
            Direction::Sent => &self.frames_sent,
            Direction::Received => &self.frames_received,
        };
        frames.fetch_add(1, Ordering::Relaxed);
        match &frame.message {
            PeerMessage::Update { records } | PeerMessage::JoinResponse { records, .. } => {
                self.count_records(direction, records, length);
            }
            message => self.count(direction, traffic_kind(message), length),
        }
    }

    /// Counts bytes of one category.
    pub fn count(&self, direction: Direction, kind: TrafficKind, length: usize) {
        let bytes = match direction {
            Direction::Sent => &self.sent,
            Direction::Received => &self.received,
        };
        bytes[kind.index()].fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Bytes counted so far, by category.
    pub fn rows(&self) -> Vec<TrafficRow> {
        TrafficKind::all()
            .map(|kind| TrafficRow {
                kind,
                sent: self.sent[kind.index()].load(Ordering::Relaxed),
                received: self.received[kind.index()].load(Ordering::Relaxed),
            })
            .collect()
    }

    fn count_records(&self, direction: Direction, records: &[PeerRecord], length: usize) {
        let mut remaining = length;
        for record in records {
            let bytes = encoded_len(record);
            self.count(direction, TrafficKind::Record(record.kind()), bytes);
            remaining = remaining.saturating_sub(bytes);
        }
        self.count(direction, TrafficKind::Framing, remaining);
    }
}

fn traffic_kind(message: &PeerMessage) -> TrafficKind {
    match message {
        PeerMessage::Hello { .. } | PeerMessage::JoinRequest => TrafficKind::Hello,
        PeerMessage::Probe { .. }
        | PeerMessage::ProbeAck { .. }
        | PeerMessage::IndirectProbeRequest { .. } => TrafficKind::Probe,
        PeerMessage::Digest { .. }
        | PeerMessage::Summary { .. }
        | PeerMessage::RecordRequest { .. } => TrafficKind::Digest,
        PeerMessage::JoinResponse { .. } | PeerMessage::Update { .. } => TrafficKind::Framing,
    }
}
