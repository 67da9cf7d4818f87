//! The closed list of record kinds and the table of how each spreads.

/// What a record that routers exchange is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum RecordKind {
    /// State of an entry host.
    Member = 0,
    /// Configuration version in force on an entry host.
    ConfigInForce = 1,
    /// A backend server that leaves.
    ServerLeaving = 2,
    /// What is believed of a request that may crash backend servers.
    CrashVerdict = 3,
    /// Use by the hottest teams on one entry host.
    TeamUsage = 4,
    /// Use by the hottest teams in one availability zone.
    ZoneUsage = 5,
    /// A hot prefix and a server that has it cached.
    HotPrefix = 6,
    /// A backend server's newest incarnation.
    ServerSeen = 7,
    /// An entry host's incarnation whose claims nobody will complete.
    ClaimerGone = 8,
    /// A host's word of a request that may crash backend servers.
    SuspectWord = 9,
    /// A host's word of what teams ask of it.
    TeamUseWord = 10,
    /// A host's word of the prefixes asked for.
    DemandWord = 11,
    /// A host's word of where hot prefixes are kept.
    PlanWord = 12,
}

/// Who gets a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadScope {
    /// Every entry host.
    Fleet,
    /// The entry hosts of the origin's availability zone.
    Zone,
    /// Only the host that sums up the origin's availability zone.
    Reporter,
}

/// How soon and how often a record is handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpreadUrgency {
    /// Rare and awaited: first in each frame, handed on until it has reached all but certainly.
    Urgent,
    /// Frequent and soon replaced: paced by its origin, handed on a few times.
    Lazy,
}

/// Which part of a digest covers a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DigestGroup {
    /// Rarely changing records.
    Steady,
    /// Records that change all the time.
    Moving,
    /// Not compared: soon replaced or expired anyway.
    None,
}

/// How the newer of two records with the same key is found before origins are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRule {
    /// One writer: its incarnation and sequence say it all.
    SingleWriter,
    /// Several writers of a value that only grows: the higher value.
    HigherValue,
    /// Several writers: each writes one more than the count that it replaces.
    CountedWrites,
}

/// One row of the table.
#[derive(Clone, Copy, Debug)]
pub struct KindRow {
    /// The kind.
    pub kind: RecordKind,
    /// Its label in metrics.
    pub name: &'static str,
    /// How long a record lives unless its writer says otherwise, in milliseconds.
    pub ttl_ms: u64,
    /// How many records of the kind a host keeps.
    pub limit: usize,
    /// Who gets it.
    pub scope: SpreadScope,
    /// How it is handed on.
    pub urgency: SpreadUrgency,
    /// Where digests cover it.
    pub group: DigestGroup,
    /// How the newer one is found.
    pub order: OrderRule,
}

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

use DigestGroup as Group;
use OrderRule::CountedWrites;
use OrderRule::HigherValue;
use OrderRule::SingleWriter;
use SpreadScope::Fleet;
use SpreadScope::Reporter;
use SpreadScope::Zone;
use SpreadUrgency::Lazy;
use SpreadUrgency::Urgent;

/// How many kinds there are.
pub const RECORD_KINDS: usize = 13;

/// The table, in the order of the list.
#[rustfmt::skip]
const ROWS: [KindRow; RECORD_KINDS] = [
    KindRow { kind: RecordKind::Member, name: "member", ttl_ms: 6 * HOUR, limit: 4096, scope: Fleet, urgency: Urgent, group: Group::Steady, order: SingleWriter },
    KindRow { kind: RecordKind::ConfigInForce, name: "config_in_force", ttl_ms: 6 * HOUR, limit: 4096, scope: Fleet, urgency: Lazy, group: Group::Moving, order: SingleWriter },
    KindRow { kind: RecordKind::ServerLeaving, name: "server_leaving", ttl_ms: 6 * HOUR, limit: 4096, scope: Fleet, urgency: Urgent, group: Group::Steady, order: HigherValue },
    KindRow { kind: RecordKind::CrashVerdict, name: "crash_verdict", ttl_ms: HOUR, limit: 1024, scope: Fleet, urgency: Urgent, group: Group::Steady, order: CountedWrites },
    KindRow { kind: RecordKind::TeamUsage, name: "team_usage", ttl_ms: 30_000, limit: 1024, scope: Reporter, urgency: Lazy, group: Group::None, order: SingleWriter },
    KindRow { kind: RecordKind::ZoneUsage, name: "zone_usage", ttl_ms: 30_000, limit: 256, scope: Fleet, urgency: Lazy, group: Group::None, order: CountedWrites },
    KindRow { kind: RecordKind::HotPrefix, name: "hot_prefix", ttl_ms: MINUTE, limit: 1024, scope: Zone, urgency: Lazy, group: Group::None, order: HigherValue },
    KindRow { kind: RecordKind::ServerSeen, name: "server_seen", ttl_ms: 6 * HOUR, limit: 4096, scope: Fleet, urgency: Urgent, group: Group::Steady, order: HigherValue },
    KindRow { kind: RecordKind::ClaimerGone, name: "claimer_gone", ttl_ms: 6 * HOUR, limit: 4096, scope: Fleet, urgency: Urgent, group: Group::Steady, order: HigherValue },
    KindRow { kind: RecordKind::SuspectWord, name: "suspect_word", ttl_ms: HOUR, limit: 1024, scope: Fleet, urgency: Urgent, group: Group::Moving, order: SingleWriter },
    KindRow { kind: RecordKind::TeamUseWord, name: "team_use_word", ttl_ms: 10_000, limit: 1024, scope: Fleet, urgency: Lazy, group: Group::None, order: SingleWriter },
    KindRow { kind: RecordKind::DemandWord, name: "demand_word", ttl_ms: 10_000, limit: 1024, scope: Fleet, urgency: Lazy, group: Group::None, order: SingleWriter },
    KindRow { kind: RecordKind::PlanWord, name: "plan_word", ttl_ms: MINUTE, limit: 256, scope: Fleet, urgency: Lazy, group: Group::None, order: SingleWriter },
];

impl RecordKind {
    /// The whole table.
    pub fn rows() -> &'static [KindRow] {
        &ROWS
    }

    /// The kind's row: the list and the table have the same order.
    pub fn row(self) -> &'static KindRow {
        &ROWS[self as usize]
    }

    pub(crate) fn from_tag(tag: u8) -> Option<RecordKind> {
        ROWS.get(usize::from(tag)).map(|row| row.kind)
    }
}
