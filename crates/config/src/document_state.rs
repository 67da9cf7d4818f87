//! A document under a version, and how a patch changes it.

use std::cell::OnceCell;
use std::sync::Arc;

use fulmargate_names::ConfigVersion;
use json_patch::Patch;
use json_patch::PatchOperation;
use serde_json::Value;

use crate::ConfigDocument;
use crate::ConfigError;
use crate::document_section::DocumentSection;
use crate::entry_change::EntryChange;
use crate::entry_change::change_entries;
use crate::entry_change::put_back;
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

/// A document under a version, as JSON and as checked types. Patches change both in place.
#[derive(Clone, Debug)]
pub(crate) struct DocumentState {
    pub(crate) version: ConfigVersion,
    value: Value,
    document: Option<ConfigDocument>,
    /// The document as it was last asked for. It is copied when it is asked for and not with each
    /// patch, so that replaying many costs what they change.
    shared: OnceCell<Arc<ConfigDocument>>,
}

/// What undoes a change.
struct DocumentUndo {
    value: Vec<SavedPlace>,
    document: TypedUndo,
}

/// What undoes a change of the checked types.
enum TypedUndo {
    Whole(Option<Box<ConfigDocument>>),
    Entries(Vec<EntryChange>),
}

impl DocumentState {
    /// Version 0: an empty object and nothing in force.
    pub(crate) fn empty() -> DocumentState {
        DocumentState::of_value(Value::Object(serde_json::Map::new()))
    }

    /// A document whose version does not matter; it is checked with the first patch.
    pub(crate) fn of_value(value: Value) -> DocumentState {
        let version = ConfigVersion(0);
        DocumentState { version, value, document: None, shared: OnceCell::new() }
    }

    /// Reads a document that was accepted before.
    pub(crate) fn read(version: ConfigVersion, text: &str) -> Result<DocumentState, ConfigError> {
        let value = serde_json::from_str(text)
            .map_err(|error| ConfigError::with_text("", text, &error.to_string()))?;
        if version == ConfigVersion(0) {
            return Ok(DocumentState::empty());
        }
        let document = Some(ConfigDocument::from_value(&value)?);
        Ok(DocumentState { version, value, document, shared: OnceCell::new() })
    }

    pub(crate) fn value(&self) -> &Value {
        &self.value
    }

    pub(crate) fn document(&self) -> Option<&Arc<ConfigDocument>> {
        let document = self.document.as_ref()?;
        Some(self.shared.get_or_init(|| Arc::new(document.clone())))
    }

    pub(crate) fn into_document(self) -> Option<ConfigDocument> {
        self.document
    }

    /// Applies a patch and takes the next version, or changes nothing.
    pub(crate) fn accept(&mut self, patch: &Value) -> Result<(), ConfigError> {
        self.change(patch)?;
        self.shared = OnceCell::new();
        self.version.0 += 1;
        Ok(())
    }

    /// Whether `accept` would take the patch; changes nothing.
    pub(crate) fn check(&mut self, patch: &Value) -> Result<(), ConfigError> {
        let undo = self.change(patch)?;
        restore_all(undo.value, &mut self.value);
        match (undo.document, &mut self.document) {
            (TypedUndo::Whole(before), document) => *document = before.map(|it| *it),
            (TypedUndo::Entries(reverse), Some(document)) => put_back(document, reverse),
            (TypedUndo::Entries(_), None) => {}
        }
        Ok(())
    }

    /// Changes value and document; on a fault both are as before.
    fn change(&mut self, patch: &Value) -> Result<DocumentUndo, ConfigError> {
        let change = PatchChange::read(patch, &self.value)?;
        let value: Vec<SavedPlace> =
            change.places.iter().map(|place| place.save(&self.value)).collect();
        let applied = change.apply(&mut self.value);
        match applied.and_then(|()| self.change_document(&change.places)) {
            Ok(document) => Ok(DocumentUndo { value, document }),
            Err(error) => {
                restore_all(value, &mut self.value);
                Err(error)
            }
        }
    }

    /// Reads the changed places anew. If they are entries on which nothing else depends, only they
    /// are checked, else the whole document is.
    fn change_document(&mut self, places: &[PatchPlace]) -> Result<TypedUndo, ConfigError> {
        let entries = read_entries(places, &self.value)?;
        if let (Some(document), Some(entries)) = (&mut self.document, entries) {
            return change_entries(document, entries).map(TypedUndo::Entries);
        }
        let document = ConfigDocument::from_value(&self.value)?;
        Ok(TypedUndo::Whole(self.document.replace(document).map(Box::new)))
    }
}

/// The entries at these places; `None` if not all of them are entries that can be checked alone.
fn read_entries(
    places: &[PatchPlace],
    value: &Value,
) -> Result<Option<Vec<EntryChange>>, ConfigError> {
    let mut entries = Vec::with_capacity(places.len());
    for place in places {
        let PatchPlace::Entry(section, name) = place else {
            return Ok(None);
        };
        let part = value.get(section).and_then(|map| map.get(name));
        let section = DocumentSection::parse(section, &Value::Null)?;
        match EntryChange::read(section, name, part)? {
            Some(entry) if entry.is_local() => entries.push(entry),
            _ => return Ok(None),
        }
    }
    Ok(Some(entries))
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
