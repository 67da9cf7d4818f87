//! Membership and state exchange between routers.
//!
//! `PeerCore` implements the protocol without I/O and takes the current time as an argument.
//! `PeerNet` runs it over network links.

mod item_record;
mod member_record;
mod net;
mod peer_conf;
mod peer_core;
mod peer_counters;
mod peer_item;
mod peer_news;
mod peer_pace;
mod record_key;
mod record_kind;
mod state;
pub mod wire;

pub use item_record::ItemRecord;
pub use member_record::MemberRecord;
pub use member_record::MemberState;
pub use net::PeerHandle;
pub use net::PeerNet;
pub use net::PeerQuestion;
pub use net::QueryError;
pub use peer_conf::PeerConf;
pub use peer_core::CoreOutput;
pub use peer_core::PeerCore;
pub use peer_counters::Direction;
pub use peer_counters::PeerCounters;
pub use peer_counters::TRAFFIC_KIND_COUNT;
pub use peer_counters::TrafficKind;
pub use peer_counters::TrafficRow;
pub use peer_item::MAX_PAYLOAD_BYTES;
pub use peer_item::MAX_TEAMS;
pub use peer_item::MAX_VERDICT_SERVERS;
pub use peer_item::PeerItem;
pub use peer_item::TeamRate;
pub use peer_item::VerdictState;
pub use peer_item::WordTopic;
pub use peer_news::IncarnationEndReason;
pub use peer_news::PeerNews;
pub use peer_pace::PeerPace;
pub use record_key::RecordKey;
pub use record_kind::DigestGroup;
pub use record_kind::KindRow;
pub use record_kind::OrderRule;
pub use record_kind::RECORD_KIND_COUNT;
pub use record_kind::RecordKind;
pub use record_kind::SpreadScope;
pub use record_kind::SpreadUrgency;
