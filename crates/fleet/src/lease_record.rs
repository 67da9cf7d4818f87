//! What stands in a stream of leases.

use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Who holds or wants a lease: one process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The host.
    pub host: HostName,
    /// The process on it.
    pub incarnation: Incarnation,
}

/// A record of the stream `leases-ZONE`. Each names the configuration that its writer has in force:
/// no later holder acts on an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Wants the lease; valid only where no other is in force at its offset.
    Take {
        /// Who wants it.
        holder: LeaseHolder,
        /// How long it is to last from the record on.
        ttl_ms: u64,
        /// The configuration in force at the writer.
        config: ConfigVersion,
    },
    /// Prolongs the lease; valid only while it is in force.
    Renew {
        /// Who holds it.
        holder: LeaseHolder,
        /// The number that the lease was won with.
        fence: FencingNumber,
        /// How long it is to last from the record on.
        ttl_ms: u64,
        /// The configuration in force at the writer.
        config: ConfigVersion,
    },
    /// Ends the lease before its time.
    GiveUp {
        /// Who held it.
        holder: LeaseHolder,
        /// The number that the lease was won with.
        fence: FencingNumber,
    },
}

impl LeaseRecord {
    /// The stream of a zone's lease.
    pub fn stream(zone: &ZoneName) -> String {
        format!("leases-{zone}")
    }

    /// The record as the log keeps it.
    pub fn to_data(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a record; `None` for one that is none.
    pub fn parse(data: &str) -> Option<LeaseRecord> {
        serde_json::from_str(data).ok()
    }
}
