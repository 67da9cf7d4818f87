//! Bytes and links counted, to be read from any thread.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::RECORD_KINDS;
use crate::RecordKind;
use crate::wire::PeerFrame;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::encoded_len;

/// What bytes are spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Records of a kind.
    Record(RecordKind),
    /// Frame heads around records, and frames that carry only the version in force.
    Framing,
    /// Finding out who lives.
    Probe,
    /// Comparing.
    Digest,
    /// First frames of links, and calls to join.
    Hello,
    /// Questions and their answers.
    Ask,
}

/// How many kinds of traffic there are.
pub const TRAFFIC_KINDS: usize = RECORD_KINDS + 5;

impl TrafficKind {
    /// All kinds.
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

    /// The label in metrics.
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
            TrafficKind::Framing => RECORD_KINDS,
            TrafficKind::Probe => RECORD_KINDS + 1,
            TrafficKind::Digest => RECORD_KINDS + 2,
            TrafficKind::Hello => RECORD_KINDS + 3,
            TrafficKind::Ask => RECORD_KINDS + 4,
        }
    }
}

/// Which way bytes went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From this host.
    Sent,
    /// To this host.
    Received,
}

/// Bytes of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficRow {
    /// The kind.
    pub kind: TrafficKind,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counters of one host.
#[derive(Debug, Default)]
pub struct PeerCounters {
    sent: [AtomicU64; TRAFFIC_KINDS],
    received: [AtomicU64; TRAFFIC_KINDS],
    /// Frames sent.
    pub frames_sent: AtomicU64,
    /// Frames received.
    pub frames_received: AtomicU64,
    /// Bytes written to sockets, all layers above TCP.
    pub wire_sent: AtomicU64,
    /// Bytes read from sockets, all layers above TCP.
    pub wire_received: AtomicU64,
    /// Links made to others.
    pub links_opened: AtomicU64,
    /// Links that others made.
    pub links_accepted: AtomicU64,
    /// Links dropped because the peer did not read fast enough.
    pub links_overrun: AtomicU64,
    /// Links turned away: another fleet, another protocol, too many.
    pub links_refused: AtomicU64,
    /// Frames that could not be read; each closed its link.
    pub frames_unreadable: AtomicU64,
}

impl PeerCounters {
    /// Counts a frame of `length` bytes, each record under its kind.
    pub fn count_frame(&self, direction: Direction, frame: &PeerFrame, length: usize) {
        let frames = match direction {
            Direction::Sent => &self.frames_sent,
            Direction::Received => &self.frames_received,
        };
        frames.fetch_add(1, Ordering::Relaxed);
        match &frame.message {
            PeerMessage::Update { records } | PeerMessage::Welcome { records, .. } => {
                self.count_records(direction, records, length);
            }
            message => self.count(direction, traffic_kind(message), length),
        }
    }

    /// Counts bytes.
    pub fn count(&self, direction: Direction, kind: TrafficKind, length: usize) {
        let bytes = match direction {
            Direction::Sent => &self.sent,
            Direction::Received => &self.received,
        };
        bytes[kind.index()].fetch_add(length as u64, Ordering::Relaxed);
    }

    /// Bytes so far, kind by kind.
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
        let mut rest = length;
        for record in records {
            let bytes = encoded_len(record);
            self.count(direction, TrafficKind::Record(record.kind()), bytes);
            rest = rest.saturating_sub(bytes);
        }
        self.count(direction, TrafficKind::Framing, rest);
    }
}

fn traffic_kind(message: &PeerMessage) -> TrafficKind {
    match message {
        PeerMessage::Hello { .. } | PeerMessage::Join => TrafficKind::Hello,
        PeerMessage::Probe { .. } | PeerMessage::ProbeAck { .. } | PeerMessage::ProbeVia { .. } => {
            TrafficKind::Probe
        }
        PeerMessage::Digest { .. } | PeerMessage::Summary { .. } | PeerMessage::Want { .. } => {
            TrafficKind::Digest
        }
        PeerMessage::Welcome { .. } | PeerMessage::Update { .. } => TrafficKind::Framing,
    }
}
