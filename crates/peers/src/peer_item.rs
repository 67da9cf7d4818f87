//! Items that routers publish to each other.

use bytes::Bytes;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;

use crate::OrderRule;
use crate::RecordKind;
use crate::record_key::RecordKey;
use crate::record_key::name_hash;
use crate::record_key::numbered_name_hash;

/// Maximum number of teams in a usage record.
pub const MAX_TEAMS: usize = 16;
/// Maximum length of the payload of a `HostWord`.
pub const MAX_PAYLOAD_BYTES: usize = 3_072;
/// Maximum number of backend servers in a verdict.
pub const MAX_VERDICT_SERVERS: usize = 8;

/// An item that a router publishes to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerItem {
    /// The configuration in force on an entry host. Published only by that host.
    ConfigInForce {
        /// The host.
        host: HostName,
        /// The version in force.
        version: ConfigVersion,
    },
    /// A backend server is leaving the fleet. Permanent for this incarnation.
    ServerLeaving {
        /// The server.
        server: ServerName,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// Verdict on a request that may crash backend servers.
    CrashVerdict {
        /// Hash of team, model and body.
        fingerprint: u64,
        /// The verdict.
        state: VerdictState,
        /// Servers that crashed while processing it, at most `MAX_VERDICT_SERVERS`.
        servers: Vec<ServerName>,
    },
    /// Usage by the most active teams on an entry host. Published only by that host.
    TeamUsage {
        /// The host.
        host: HostName,
        /// Most active first, at most `MAX_TEAMS`.
        teams: Vec<TeamRate>,
    },
    /// Usage by the most active teams in a zone, aggregated from `TeamUsage` by this crate.
    ZoneUsage {
        /// The zone.
        zone: ZoneName,
        /// Number of hosts included.
        hosts: u32,
        /// Most active first, at most `MAX_TEAMS`.
        teams: Vec<TeamRate>,
    },
    /// A hot prefix and a server that has it cached.
    HotPrefix {
        /// Hash of the prefix within its scope.
        prefix: PromptHash,
        /// The server.
        server: ServerName,
        /// The incarnation that has it cached.
        incarnation: Incarnation,
    },
    /// A newer incarnation of a backend server was observed. Not published for the first one
    /// observed.
    ServerSeen {
        /// The server.
        server: ServerName,
        /// The newest incarnation.
        incarnation: Incarnation,
    },
    /// This and earlier incarnations of an entry host will not report outcomes for their claims.
    ClaimerGone {
        /// The host.
        host: HostName,
        /// The newest incarnation that has ended.
        incarnation: Incarnation,
    },
    /// An opaque payload of a host on a topic. Published only by that host.
    HostWord {
        /// The topic.
        topic: WordTopic,
        /// The host.
        host: HostName,
        /// Part of the topic; the newest payload of each part is kept.
        part: u64,
        /// The payload, at most `MAX_PAYLOAD_BYTES` long.
        bytes: Bytes,
    },
}

/// Topic of a `HostWord`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WordTopic {
    /// Requests that may crash backend servers.
    Suspect,
    /// Team usage at the host.
    TeamUse,
    /// Prefixes requested at the host.
    PrefixDemand,
    /// Placement of hot prefixes on servers.
    SpreadPlan,
}

impl WordTopic {
    /// The record kind of the topic.
    pub fn kind(self) -> RecordKind {
        match self {
            WordTopic::Suspect => RecordKind::SuspectPayload,
            WordTopic::TeamUse => RecordKind::TeamUsePayload,
            WordTopic::PrefixDemand => RecordKind::DemandPayload,
            WordTopic::SpreadPlan => RecordKind::PlanPayload,
        }
    }

    pub(crate) fn of_kind(kind: RecordKind) -> Option<WordTopic> {
        let topics = [
            WordTopic::Suspect,
            WordTopic::TeamUse,
            WordTopic::PrefixDemand,
            WordTopic::SpreadPlan,
        ];
        topics.into_iter().find(|topic| topic.kind() == kind)
    }
}

/// State of a request that may crash backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum VerdictState {
    /// It completed while it was the only suspect.
    Cleared = 0,
    /// It was in flight on a server that crashed.
    Suspect = 1,
    /// It was found to crash servers.
    Convicted = 2,
}

/// Usage by one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRate {
    /// The team.
    pub team: TeamName,
    /// Requests per 1,000 seconds.
    pub milli_requests_per_s: u64,
    /// Prompt tokens per second.
    pub tokens_per_s: u64,
}

impl PeerItem {
    /// The record kind.
    pub fn kind(&self) -> RecordKind {
        match self {
            PeerItem::ConfigInForce { .. } => RecordKind::ConfigInForce,
            PeerItem::ServerLeaving { .. } => RecordKind::ServerLeaving,
            PeerItem::CrashVerdict { .. } => RecordKind::CrashVerdict,
            PeerItem::TeamUsage { .. } => RecordKind::TeamUsage,
            PeerItem::ZoneUsage { .. } => RecordKind::ZoneUsage,
            PeerItem::HotPrefix { .. } => RecordKind::HotPrefix,
            PeerItem::ServerSeen { .. } => RecordKind::ServerSeen,
            PeerItem::ClaimerGone { .. } => RecordKind::ClaimerGone,
            PeerItem::HostWord { topic, .. } => topic.kind(),
        }
    }

    /// Key under which the newest record is stored.
    pub fn key(&self) -> RecordKey {
        let id = match self {
            PeerItem::ConfigInForce { host, .. }
            | PeerItem::TeamUsage { host, .. }
            | PeerItem::ClaimerGone { host, .. } => name_hash(host.as_str()),
            PeerItem::ServerLeaving { server, .. } | PeerItem::ServerSeen { server, .. } => {
                name_hash(server.as_str())
            }
            PeerItem::CrashVerdict { fingerprint, .. } => *fingerprint,
            PeerItem::ZoneUsage { zone, .. } => name_hash(zone.as_str()),
            PeerItem::HotPrefix { prefix, server, .. } => {
                numbered_name_hash(prefix.0, server.as_str())
            }
            PeerItem::HostWord { host, part, .. } => numbered_name_hash(*part, host.as_str()),
        };
        RecordKey { kind: self.kind(), id }
    }

    /// Truncates lists to their maximum length, keeping the most active teams.
    pub(crate) fn truncated(mut self) -> PeerItem {
        match &mut self {
            PeerItem::CrashVerdict { servers, .. } => servers.truncate(MAX_VERDICT_SERVERS),
            PeerItem::TeamUsage { teams, .. } | PeerItem::ZoneUsage { teams, .. } => {
                keep_most_active(teams);
            }
            _ => {}
        }
        self
    }

    /// Whether the payload exceeds `MAX_PAYLOAD_BYTES`.
    pub(crate) fn is_oversized(&self) -> bool {
        matches!(self, PeerItem::HostWord { bytes, .. } if bytes.len() > MAX_PAYLOAD_BYTES)
    }

    /// The order value for a record of this item that replaces `stored`, given as the order and
    /// item stored under the same key.
    pub(crate) fn next_order(&self, stored: Option<(u64, &PeerItem)>) -> u64 {
        match self.kind().row().order {
            OrderRule::SingleWriter => 0,
            OrderRule::HigherValue => self.value(),
            OrderRule::CountedWrites => self.counted_order(stored),
        }
    }

    fn value(&self) -> u64 {
        match self {
            PeerItem::ServerLeaving { incarnation, .. }
            | PeerItem::HotPrefix { incarnation, .. }
            | PeerItem::ServerSeen { incarnation, .. }
            | PeerItem::ClaimerGone { incarnation, .. } => incarnation.0,
            _ => 0,
        }
    }

    /// The high bits count writes. The low bits rank concurrent writes by severity, so that a
    /// conviction is not overwritten by a concurrent clearing or suspicion.
    fn counted_order(&self, stored: Option<(u64, &PeerItem)>) -> u64 {
        let writes = stored.map_or(0, |(order, _)| order >> RANK_BITS);
        let rank = match self {
            PeerItem::CrashVerdict { state, .. } => *state as u64,
            _ => 0,
        };
        ((writes + 1) << RANK_BITS) | rank
    }
}

/// Number of low bits of a counted order that hold the rank.
pub(crate) const RANK_BITS: u32 = 2;

fn keep_most_active(teams: &mut Vec<TeamRate>) {
    teams.sort_by_key(|rate| std::cmp::Reverse((rate.tokens_per_s, rate.milli_requests_per_s)));
    teams.truncate(MAX_TEAMS);
}
