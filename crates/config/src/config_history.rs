//! What became of patches.

use std::collections::VecDeque;

use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use serde::Deserialize;
use serde::Serialize;

/// Versions that a history remembers.
const VERSIONS_KEPT: usize = 256;
/// Refusals that a history remembers.
const REFUSALS_KEPT: usize = 256;
/// Versions that a snapshot carries on.
const VERSIONS_CARRIED: usize = 64;

/// An accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionEntry {
    /// The version it made.
    pub version: ConfigVersion,
    /// The patch's id.
    pub id: String,
    /// Who submitted it.
    pub author: String,
    /// Where it stands in the log.
    pub offset: LogOffset,
    /// When the log took it, in milliseconds since 1970 by the log's clock.
    pub time_ms: u64,
}

/// A refused patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalEntry {
    /// The patch's id.
    pub id: String,
    /// Who submitted it.
    pub author: String,
    /// The version it was made against.
    pub base: ConfigVersion,
    /// The version that was current.
    pub current: ConfigVersion,
    /// Why it was refused.
    pub reason: String,
    /// Where it stands in the log.
    pub offset: LogOffset,
    /// When the log took it, in milliseconds since 1970 by the log's clock.
    pub time_ms: u64,
}

/// The newest accepted and refused patches, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHistory {
    /// Accepted patches.
    pub versions: VecDeque<VersionEntry>,
    /// Refused patches.
    pub refusals: VecDeque<RefusalEntry>,
}

impl ConfigHistory {
    /// The accepted patch with this id, if it is remembered.
    pub fn accepted(&self, id: &str) -> Option<&VersionEntry> {
        self.versions.iter().rev().find(|entry| entry.id == id)
    }

    /// The refused patch with this id, if it is remembered.
    pub fn refused(&self, id: &str) -> Option<&RefusalEntry> {
        self.refusals.iter().rev().find(|entry| entry.id == id)
    }

    pub(crate) fn add_version(&mut self, entry: VersionEntry) {
        self.versions.push_back(entry);
        while VERSIONS_KEPT < self.versions.len() {
            self.versions.pop_front();
        }
    }

    pub(crate) fn add_refusal(&mut self, entry: RefusalEntry) {
        self.refusals.push_back(entry);
        while REFUSALS_KEPT < self.refusals.len() {
            self.refusals.pop_front();
        }
    }

    /// Takes over the versions that a snapshot carries, in place of what is known.
    pub(crate) fn replace_versions(&mut self, versions: Vec<VersionEntry>) {
        self.versions = versions.into();
        while VERSIONS_KEPT < self.versions.len() {
            self.versions.pop_front();
        }
    }

    /// The newest versions, for a snapshot.
    pub(crate) fn newest_versions(&self) -> Vec<VersionEntry> {
        let skipped = self.versions.len().saturating_sub(VERSIONS_CARRIED);
        self.versions.iter().skip(skipped).cloned().collect()
    }
}
