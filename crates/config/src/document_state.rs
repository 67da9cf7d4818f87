//! A document under a version, and how a patch changes it.

use std::sync::Arc;

use fulmargate_names::ConfigVersion;
use json_patch::Patch;
use json_patch::PatchOperation;
use serde_json::Value;

use crate::ConfigDocument;
use crate::ConfigError;
use crate::document_section::DocumentSection;
use crate::patch_place::PatchPlace;
use crate::patch_place::SavedPlace;
use crate::patch_place::places_of_merge;
use crate::patch_place::places_of_patch;

/// Most JSON values that the `copy` operations of one patch may make. Each copy may hold what the
/// one before it made, so a short patch could grow past a router's memory, or nest deeper than its
/// stack, on every router at once. Ordinary patches copy an entry or two.
const COPIED_VALUES: usize = 1_000;
const COPY_RULE: &str = "copies of at most 1000 values in one patch";
const PATCH_RULE: &str = "a JSON Patch (array) or a merge patch (object)";

/// A document under a version, as JSON and as checked types.
#[derive(Clone, Debug)]
pub(crate) struct DocumentState {
    pub(crate) version: ConfigVersion,
    value: Value,
    document: Option<Arc<ConfigDocument>>,
}

impl DocumentState {
    /// Version 0: an empty object and nothing in force.
    pub(crate) fn empty() -> DocumentState {
        DocumentState {
            version: ConfigVersion(0),
            value: Value::Object(serde_json::Map::new()),
            document: None,
        }
    }

    /// A document whose version does not matter; it is checked with the first patch.
    pub(crate) fn of_value(value: Value) -> DocumentState {
        DocumentState { version: ConfigVersion(0), value, document: None }
    }

    /// Reads a document that was accepted before.
    pub(crate) fn read(version: ConfigVersion, text: &str) -> Result<DocumentState, ConfigError> {
        let value = serde_json::from_str(text)
            .map_err(|error| ConfigError::with_text("", text, &error.to_string()))?;
        if version == ConfigVersion(0) {
            return Ok(DocumentState::empty());
        }
        let document = Some(Arc::new(ConfigDocument::from_value(&value)?));
        Ok(DocumentState { version, value, document })
    }

    pub(crate) fn value(&self) -> &Value {
        &self.value
    }

    pub(crate) fn document(&self) -> Option<&Arc<ConfigDocument>> {
        self.document.as_ref()
    }

    /// Applies a patch and takes the next version, or changes nothing.
    pub(crate) fn accept(&mut self, patch: &Value) -> Result<(), ConfigError> {
        let (document, _) = self.change(patch)?;
        self.document = Some(Arc::new(document));
        self.version.0 += 1;
        Ok(())
    }

    /// Whether `accept` would take the patch; changes nothing.
    pub(crate) fn check(&mut self, patch: &Value) -> Result<(), ConfigError> {
        let (_, saved) = self.change(patch)?;
        restore_all(saved, &mut self.value);
        Ok(())
    }

    /// Changes `value` and checks the result; on a fault it is as before.
    fn change(&mut self, patch: &Value) -> Result<(ConfigDocument, Vec<SavedPlace>), ConfigError> {
        let change = PatchChange::read(patch, &self.value)?;
        let saved: Vec<SavedPlace> =
            change.places.iter().map(|place| place.save(&self.value)).collect();
        let result = change.apply(&mut self.value).and_then(|()| self.checked(&change.places));
        match result {
            Ok(document) => Ok((document, saved)),
            Err(error) => {
                restore_all(saved, &mut self.value);
                Err(error)
            }
        }
    }

    /// Reads the changed places anew, the rest is shared with the document in force.
    fn checked(&self, places: &[PatchPlace]) -> Result<ConfigDocument, ConfigError> {
        let Some(old) = self.document.as_deref().filter(|_| !places.contains(&PatchPlace::Root))
        else {
            return ConfigDocument::from_value(&self.value);
        };
        let mut document = old.clone();
        for place in places {
            match place {
                PatchPlace::Root => {}
                PatchPlace::Section(name) => match self.value.get(name) {
                    Some(part) => {
                        document.load_section(DocumentSection::parse(name, part)?, part)?;
                    }
                    None => {
                        document.clear_section(DocumentSection::parse(name, &Value::Null)?);
                    }
                },
                PatchPlace::Entry(section, name) => {
                    let part = self.value.get(section).and_then(|map| map.get(name));
                    let section = DocumentSection::parse(section, &Value::Null)?;
                    document.load_entry(section, name, part)?;
                }
            }
        }
        document.finish()
    }
}

fn restore_all(saved: Vec<SavedPlace>, value: &mut Value) {
    for place in saved {
        place.restore(value);
    }
}

/// A patch that was read, and what it may change.
struct PatchChange<'a> {
    form: PatchForm<'a>,
    places: Vec<PatchPlace>,
}

enum PatchForm<'a> {
    Operations(Patch),
    Merge(&'a Value),
}

impl<'a> PatchChange<'a> {
    fn read(patch: &'a Value, document: &Value) -> Result<PatchChange<'a>, ConfigError> {
        match patch {
            Value::Array(_) => {
                let operations: Patch = serde::Deserialize::deserialize(patch).map_err(
                    |error: serde_json::Error| ConfigError::new("", patch, &error.to_string()),
                )?;
                let places = places_of_patch(&operations, document);
                Ok(PatchChange { form: PatchForm::Operations(operations), places })
            }
            Value::Object(_) => {
                let places = places_of_merge(patch, document);
                Ok(PatchChange { form: PatchForm::Merge(patch), places })
            }
            _ => Err(ConfigError::new("", patch, PATCH_RULE)),
        }
    }

    fn apply(&self, document: &mut Value) -> Result<(), ConfigError> {
        match &self.form {
            PatchForm::Operations(operations) => apply_operations(operations, document),
            PatchForm::Merge(patch) => {
                json_patch::merge(document, patch);
                Ok(())
            }
        }
    }
}

/// One operation at a time, so that a copy's size is known before it is made.
fn apply_operations(patch: &Patch, document: &mut Value) -> Result<(), ConfigError> {
    let mut copied = 0;
    for (index, operation) in patch.iter().enumerate() {
        let refuse = |reason: &str| {
            let path = operation.path().to_string();
            ConfigError::with_text(&path, &format!("operation {index} {operation}"), reason)
        };
        if let PatchOperation::Copy(copy) = operation {
            copied += document.pointer(copy.from.as_str()).map_or(0, value_count);
            if COPIED_VALUES < copied {
                return Err(refuse(COPY_RULE));
            }
        }
        json_patch::patch(document, std::slice::from_ref(operation))
            .map_err(|error| refuse(&error.kind.to_string()))?;
    }
    Ok(())
}

fn value_count(value: &Value) -> usize {
    match value {
        Value::Array(items) => 1 + items.iter().map(value_count).sum::<usize>(),
        Value::Object(map) => 1 + map.values().map(value_count).sum::<usize>(),
        _ => 1,
    }
}
