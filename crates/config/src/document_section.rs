//! The document's sections and the reading of single entries.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use crate::ConfigError;
use crate::config_error::pointer_step;

/// A section of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentSection {
    Teams,
    Servers,
    Models,
    Services,
    Classes,
    Rules,
    Policy,
}

/// What the document's top level may hold.
const SECTION_NAMES: &str = "teams, servers, models, services, classes, rules, policy";

impl DocumentSection {
    pub(crate) const ALL: [DocumentSection; 7] = [
        DocumentSection::Teams,
        DocumentSection::Servers,
        DocumentSection::Models,
        DocumentSection::Services,
        DocumentSection::Classes,
        DocumentSection::Rules,
        DocumentSection::Policy,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            DocumentSection::Teams => "teams",
            DocumentSection::Servers => "servers",
            DocumentSection::Models => "models",
            DocumentSection::Services => "services",
            DocumentSection::Classes => "classes",
            DocumentSection::Rules => "rules",
            DocumentSection::Policy => "policy",
        }
    }

    pub(crate) fn parse(name: &str, value: &Value) -> Result<DocumentSection, ConfigError> {
        DocumentSection::ALL.into_iter().find(|section| section.name() == name).ok_or_else(|| {
            ConfigError::new(&format!("/{}", pointer_step(name)), value, SECTION_NAMES)
        })
    }
}

/// Reads one part of the document; the error points into it.
pub(crate) fn read_part<T: DeserializeOwned>(path: &str, value: &Value) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let mut inner = String::new();
        for segment in error.path().iter() {
            match segment {
                Segment::Seq { index } => inner.push_str(&format!("/{index}")),
                Segment::Map { key } => inner.push_str(&format!("/{}", pointer_step(key))),
                Segment::Enum { .. } | Segment::Unknown => {}
            }
        }
        let found = value.pointer(&inner).unwrap_or(&Value::Null);
        ConfigError::new(&format!("{path}{inner}"), found, &error.inner().to_string())
    })
}
