//! The places of a document that a patch changes.

use json_patch::Patch;
use json_patch::PatchOperation;
use json_patch::jsonptr::Pointer;
use serde_json::Value;

/// A part of the document as small as it is checked by itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PatchPlace {
    /// The whole document.
    Root,
    /// A section.
    Section(String),
    /// An entry of a section.
    Entry(String, String),
}

/// What stood at a place before a patch.
pub(crate) struct SavedPlace {
    place: PatchPlace,
    value: Option<Value>,
}

/// The places that a JSON Patch may change, none within another.
pub(crate) fn places_of_patch(patch: &Patch, document: &Value) -> Vec<PatchPlace> {
    let mut places = Vec::with_capacity(patch.len());
    for operation in patch.iter() {
        match operation {
            PatchOperation::Test(_) => {}
            PatchOperation::Move(operation) => {
                places.push(place_of(&operation.from, document));
                places.push(place_of(&operation.path, document));
            }
            _ => places.push(place_of(operation.path(), document)),
        }
    }
    disjoint(places)
}

/// The places that a merge patch may change, none within another.
pub(crate) fn places_of_merge(patch: &Value, document: &Value) -> Vec<PatchPlace> {
    let mut places = Vec::new();
    for (section, part) in patch.as_object().into_iter().flatten() {
        match part.as_object() {
            Some(entries) if is_map(document, section) => {
                let names = entries.keys().cloned();
                places.extend(names.map(|name| PatchPlace::Entry(section.clone(), name)));
            }
            _ => places.push(PatchPlace::Section(section.clone())),
        }
    }
    disjoint(places)
}

fn place_of(path: &Pointer, document: &Value) -> PatchPlace {
    let mut steps = path.tokens().map(|token| token.decoded().into_owned());
    let Some(section) = steps.next() else {
        return PatchPlace::Root;
    };
    match steps.next() {
        Some(name) if is_map(document, &section) => PatchPlace::Entry(section, name),
        _ => PatchPlace::Section(section),
    }
}

fn is_map(document: &Value, section: &str) -> bool {
    document.get(section).is_some_and(Value::is_object)
}

fn disjoint(mut places: Vec<PatchPlace>) -> Vec<PatchPlace> {
    places.sort();
    places.dedup();
    if places.first() == Some(&PatchPlace::Root) {
        return vec![PatchPlace::Root];
    }
    let sections: Vec<String> = places.iter().filter_map(PatchPlace::section_only).collect();
    places.retain(|place| match place {
        PatchPlace::Entry(section, _) => !sections.contains(section),
        _ => true,
    });
    places
}

impl PatchPlace {
    fn section_only(&self) -> Option<String> {
        match self {
            PatchPlace::Section(section) => Some(section.clone()),
            _ => None,
        }
    }

    /// Keeps what stands there.
    pub(crate) fn save(&self, document: &Value) -> SavedPlace {
        let value = match self {
            PatchPlace::Root => Some(document),
            PatchPlace::Section(section) => document.get(section),
            PatchPlace::Entry(section, name) => document.get(section).and_then(|map| map.get(name)),
        };
        SavedPlace { place: self.clone(), value: value.cloned() }
    }
}

impl SavedPlace {
    /// Puts back what stood there. A section that held an entry before is still an object, since
    /// a patch that replaces the section is saved as a whole.
    pub(crate) fn restore(self, document: &mut Value) {
        match self.place {
            PatchPlace::Root => *document = self.value.unwrap_or_default(),
            PatchPlace::Section(section) => put_back(document, section, self.value),
            PatchPlace::Entry(section, name) => {
                if let Some(map) = document.get_mut(&section) {
                    put_back(map, name, self.value);
                }
            }
        }
    }
}

fn put_back(map: &mut Value, name: String, value: Option<Value>) {
    let Some(map) = map.as_object_mut() else {
        return;
    };
    match value {
        Some(value) => map.insert(name, value),
        None => map.remove(&name),
    };
}
