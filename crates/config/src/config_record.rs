//! Records of the log's `config` stream.

use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::VersionEntry;

/// The stream of the platform's log that holds the configuration.
pub const CONFIG_STREAM: &str = "config";

/// What a record of the stream says.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigRecord {
    /// A change that somebody wants.
    Patch(PatchRecord),
    /// The state that the records before an offset lead to.
    Snapshot(SnapshotRecord),
}

/// A change that somebody wants; whether it is accepted depends on the records before it only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchRecord {
    /// The submitter's id of the patch, the same as the log record's.
    pub id: String,
    /// The version it was made against.
    pub base: ConfigVersion,
    /// Who submitted it.
    pub author: String,
    /// A JSON Patch (array) or a merge patch (object).
    pub patch: Value,
}

/// The state that the records before an offset lead to; it may stand anywhere after them.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRecord {
    /// The first offset that it does not cover.
    pub covers_offset: LogOffset,
    /// The version in force there.
    pub version: ConfigVersion,
    /// The document in force there, as text: a reader that has the state does not read it.
    pub document: Box<RawValue>,
    /// The newest versions before it.
    #[serde(default)]
    pub history: Vec<VersionEntry>,
}

impl ConfigRecord {
    /// Reads a record's data; `None` if it is unreadable. Every reader must skip the same ones.
    pub fn parse(data: &str) -> Option<ConfigRecord> {
        serde_json::from_str(data).ok()
    }

    /// The record's data.
    pub fn to_data(&self) -> String {
        serde_json::to_string(self).expect("records have string keys only")
    }
}
