//! Record kinds and how each is distributed.

/// Kind of a record exchanged between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum RecordKind {
    /// Membership state of an entry host.
    Member = 0,
    /// Configuration version in force on an entry host.
    ConfigInForce = 1,
    /// A backend server that is leaving the fleet.
    ServerLeaving = 2,
    /// Verdict on a request that may crash backend servers.
    CrashVerdict = 3,
    /// Usage by the most active teams on one entry host.
    TeamUsage = 4,
    /// Usage by the most active teams in one availability zone.
    ZoneUsage = 5,
    /// A hot prefix and a server that has it cached.
    HotPrefix = 6,
    /// The newest observed incarnation of a backend server.
    ServerSeen = 7,
    /// An entry host incarnation whose claims will get no outcome.
    ClaimerGone = 8,
    /// Payload of a host about a request that may crash backend servers.
    SuspectPayload = 9,
    /// Payload of a host about its team usage.
    TeamUsePayload = 10,
    /// Payload of a host about the prefixes requested there.
    DemandPayload = 11,
    /// Payload of a host about the placement of hot prefixes.
    PlanPayload = 12,
}

/// Which hosts receive a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadScope {
    /// Every entry host.
    Fleet,
    /// The entry hosts of the origin's availability zone.
    Zone,
    /// Only the host that aggregates the origin's availability zone.
    Aggregator,
}

/// How a record is prioritized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpreadUrgency {
    /// Rare and time-critical: sent first and often enough to reach almost all hosts.
    Urgent,
    /// Frequent and soon replaced: rate-limited by the origin and sent a few times.
    Lazy,
}

/// Which part of a digest covers a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DigestGroup {
    /// Records that rarely change.
    Stable,
    /// Records that change frequently.
    Volatile,
    /// Excluded from digests, because the records soon expire or are replaced.
    None,
}

/// How two records with the same key are ordered before their incarnations are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRule {
    /// Single writer: incarnation and sequence are sufficient.
    SingleWriter,
    /// Multiple writers of a monotonically increasing value: the higher value wins.
    HigherValue,
    /// Multiple writers: each increments the write count of the record that it replaces.
    CountedWrites,
}

/// Distribution parameters of a record kind.
#[derive(Clone, Copy, Debug)]
pub struct KindRow {
    /// The kind.
    pub kind: RecordKind,
    /// Metric label.
    pub name: &'static str,
    /// Default TTL in milliseconds.
    pub ttl_ms: u64,
    /// Maximum number of records of this kind per host.
    pub max_records: usize,
    /// Which hosts receive it.
    pub scope: SpreadScope,
    /// How it is prioritized.
    pub urgency: SpreadUrgency,
    /// Which part of a digest covers it.
    pub group: DigestGroup,
    /// How records with the same key are ordered.
    pub order: OrderRule,
}

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

use DigestGroup as Group;
use OrderRule::CountedWrites;
use OrderRule::HigherValue;
use OrderRule::SingleWriter;
use SpreadScope::Aggregator;
use SpreadScope::Fleet;
use SpreadScope::Zone;
use SpreadUrgency::Lazy;
use SpreadUrgency::Urgent;

/// Number of record kinds.
pub const RECORD_KIND_COUNT: usize = 13;

/// Indexed by the discriminant of `RecordKind`.
#[rustfmt::skip]
const ROWS: [KindRow; RECORD_KIND_COUNT] = [
    KindRow { kind: RecordKind::Member, name: "member", ttl_ms: 6 * HOUR, max_records: 4096, scope: Fleet, urgency: Urgent, group: Group::Stable, order: SingleWriter },
    KindRow { kind: RecordKind::ConfigInForce, name: "config_in_force", ttl_ms: 6 * HOUR, max_records: 4096, scope: Fleet, urgency: Lazy, group: Group::Volatile, order: SingleWriter },
    KindRow { kind: RecordKind::ServerLeaving, name: "server_leaving", ttl_ms: 6 * HOUR, max_records: 4096, scope: Fleet, urgency: Urgent, group: Group::Stable, order: HigherValue },
    KindRow { kind: RecordKind::CrashVerdict, name: "crash_verdict", ttl_ms: HOUR, max_records: 1024, scope: Fleet, urgency: Urgent, group: Group::Stable, order: CountedWrites },
    KindRow { kind: RecordKind::TeamUsage, name: "team_usage", ttl_ms: 30_000, max_records: 1024, scope: Aggregator, urgency: Lazy, group: Group::None, order: SingleWriter },
    KindRow { kind: RecordKind::ZoneUsage, name: "zone_usage", ttl_ms: 30_000, max_records: 256, scope: Fleet, urgency: Lazy, group: Group::None, order: CountedWrites },
    KindRow { kind: RecordKind::HotPrefix, name: "hot_prefix", ttl_ms: MINUTE, max_records: 1024, scope: Zone, urgency: Lazy, group: Group::None, order: HigherValue },
    KindRow { kind: RecordKind::ServerSeen, name: "server_seen", ttl_ms: 6 * HOUR, max_records: 4096, scope: Fleet, urgency: Urgent, group: Group::Stable, order: HigherValue },
    KindRow { kind: RecordKind::ClaimerGone, name: "claimer_gone", ttl_ms: 6 * HOUR, max_records: 4096, scope: Fleet, urgency: Urgent, group: Group::Stable, order: HigherValue },
    KindRow { kind: RecordKind::SuspectPayload, name: "suspect_word", ttl_ms: HOUR, max_records: 1024, scope: Fleet, urgency: Urgent, group: Group::Volatile, order: SingleWriter },
    KindRow { kind: RecordKind::TeamUsePayload, name: "team_use_word", ttl_ms: 10_000, max_records: 1024, scope: Fleet, urgency: Lazy, group: Group::None, order: SingleWriter },
    KindRow { kind: RecordKind::DemandPayload, name: "demand_word", ttl_ms: 10_000, max_records: 1024, scope: Fleet, urgency: Lazy, group: Group::None, order: SingleWriter },
    KindRow { kind: RecordKind::PlanPayload, name: "plan_word", ttl_ms: MINUTE, max_records: 256, scope: Fleet, urgency: Lazy, group: Group::None, order: SingleWriter },
];

impl RecordKind {
    /// The parameters of all kinds.
    pub fn rows() -> &'static [KindRow] {
        &ROWS
    }

    /// The parameters of this kind.
    pub fn row(self) -> &'static KindRow {
        &ROWS[self as usize]
    }

    pub(crate) fn from_tag(tag: u8) -> Option<RecordKind> {
        ROWS.get(usize::from(tag)).map(|row| row.kind)
    }
}
