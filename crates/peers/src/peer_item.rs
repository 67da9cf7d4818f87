//! What routers tell each other.

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
use crate::record_key::name_id;
use crate::record_key::pair_id;

/// Teams named in one usage record.
pub const TOP_TEAMS: usize = 16;
/// Longest word of a host.
pub const WORD_BYTES: usize = 3_072;
/// Backend servers named in one verdict.
pub const VERDICT_SERVERS: usize = 8;

/// One thing that a router tells the others. The list is closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerItem {
    /// The configuration in force on an entry host. Each host puts only its own.
    ConfigInForce {
        /// The host.
        host: HostName,
        /// The version it has put in force.
        version: ConfigVersion,
    },
    /// A backend server that leaves; true of this incarnation for ever.
    ServerLeaving {
        /// The server.
        server: ServerName,
        /// The incarnation that leaves.
        incarnation: Incarnation,
    },
    /// What is believed of a request that may crash backend servers.
    CrashVerdict {
        /// Hash of team, model and body.
        fingerprint: u64,
        /// What is believed.
        state: VerdictState,
        /// Servers that crashed with it in flight, `VERDICT_SERVERS` at most.
        servers: Vec<ServerName>,
    },
    /// Use by the hottest teams on an entry host. Each host puts only its own.
    TeamUsage {
        /// The host.
        host: HostName,
        /// Hottest first, `TOP_TEAMS` at most.
        teams: Vec<TeamRate>,
    },
    /// Use by the hottest teams in a zone; made by the exchange itself from `TeamUsage`.
    ZoneUsage {
        /// The zone.
        zone: ZoneName,
        /// How many hosts are summed up.
        hosts: u32,
        /// Hottest first, `TOP_TEAMS` at most.
        teams: Vec<TeamRate>,
    },
    /// A hot prefix and a server that has it cached.
    HotPrefix {
        /// The prefix within its scope.
        prefix: PromptHash,
        /// The server.
        server: ServerName,
        /// The incarnation that has it cached.
        incarnation: Incarnation,
    },
    /// A newer incarnation of a backend server was seen; told on a change, not at first sight.
    ServerSeen {
        /// The server.
        server: ServerName,
        /// Its newest incarnation.
        incarnation: Incarnation,
    },
    /// Claims of this incarnation of an entry host, and of those before it, get no outcome any more.
    ClaimerGone {
        /// The host.
        host: HostName,
        /// The newest incarnation that is over.
        incarnation: Incarnation,
    },
    /// What one host tells the others about a topic, in bytes that this crate does not read. Each
    /// host puts only its own.
    HostWord {
        /// What it is about.
        topic: WordTopic,
        /// The host.
        host: HostName,
        /// Which part of the topic; the newest word of each part is kept.
        part: u64,
        /// What is told, `WORD_BYTES` at most.
        bytes: Bytes,
    },
}

/// What a host's word is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WordTopic {
    /// A request that may crash backend servers.
    Suspect,
    /// What teams ask of the host.
    TeamUse,
    /// What prefixes are asked for at the host.
    PrefixDemand,
    /// Where hot prefixes are kept.
    SpreadPlan,
}

impl WordTopic {
    /// The kind under which the topic's words travel.
    pub fn kind(self) -> RecordKind {
        match self {
            WordTopic::Suspect => RecordKind::SuspectWord,
            WordTopic::TeamUse => RecordKind::TeamUseWord,
            WordTopic::PrefixDemand => RecordKind::DemandWord,
            WordTopic::SpreadPlan => RecordKind::PlanWord,
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

/// What is believed of a request that may crash backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum VerdictState {
    /// It ran well while it was the only suspect.
    Cleared = 0,
    /// It was in flight on a server that crashed.
    Suspect = 1,
    /// It crashed servers.
    Convicted = 2,
}

/// One team's use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRate {
    /// The team.
    pub team: TeamName,
    /// Requests in 1,000 seconds.
    pub milli_requests_per_s: u64,
    /// Prompt tokens a second.
    pub tokens_per_s: u64,
}

impl PeerItem {
    /// Its kind.
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

    /// The key under which the newest record is kept.
    pub fn key(&self) -> RecordKey {
        let id = match self {
            PeerItem::ConfigInForce { host, .. }
            | PeerItem::TeamUsage { host, .. }
            | PeerItem::ClaimerGone { host, .. } => name_id(host.as_str()),
            PeerItem::ServerLeaving { server, .. } | PeerItem::ServerSeen { server, .. } => {
                name_id(server.as_str())
            }
            PeerItem::CrashVerdict { fingerprint, .. } => *fingerprint,
            PeerItem::ZoneUsage { zone, .. } => name_id(zone.as_str()),
            PeerItem::HotPrefix { prefix, server, .. } => pair_id(prefix.0, server.as_str()),
            PeerItem::HostWord { host, part, .. } => pair_id(*part, host.as_str()),
        };
        RecordKey { kind: self.kind(), id }
    }

    /// Cuts lists to what a record may carry, the hottest teams kept.
    pub(crate) fn bounded(mut self) -> PeerItem {
        match &mut self {
            PeerItem::CrashVerdict { servers, .. } => servers.truncate(VERDICT_SERVERS),
            PeerItem::TeamUsage { teams, .. } | PeerItem::ZoneUsage { teams, .. } => {
                keep_hottest(teams);
            }
            _ => {}
        }
        self
    }

    /// Whether it is too long to travel; nobody can shorten a word but who wrote it.
    pub(crate) fn is_too_long(&self) -> bool {
        matches!(self, PeerItem::HostWord { bytes, .. } if bytes.len() > WORD_BYTES)
    }

    /// The order of a new record that replaces `held`, a record under the same key with its order.
    pub(crate) fn next_order(&self, held: Option<(u64, &PeerItem)>) -> u64 {
        match self.kind().row().order {
            OrderRule::SingleWriter => 0,
            OrderRule::HigherValue => self.value(),
            OrderRule::CountedWrites => self.counted_order(held),
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

    /// Writes are counted in the high bits. The rank in the low ones settles writes made without
    /// knowledge of each other: a conviction is not lost to a clearing or a suspicion.
    fn counted_order(&self, held: Option<(u64, &PeerItem)>) -> u64 {
        let writes = held.map_or(0, |(order, _)| order >> RANK_BITS);
        let rank = match self {
            PeerItem::CrashVerdict { state, .. } => *state as u64,
            _ => 0,
        };
        ((writes + 1) << RANK_BITS) | rank
    }
}

/// Bits of a counted order that hold the rank.
pub(crate) const RANK_BITS: u32 = 2;

fn keep_hottest(teams: &mut Vec<TeamRate>) {
    teams.sort_by_key(|rate| std::cmp::Reverse((rate.tokens_per_s, rate.milli_requests_per_s)));
    teams.truncate(TOP_TEAMS);
}
