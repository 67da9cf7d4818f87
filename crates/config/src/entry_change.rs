//! Changes of single entries, checked by themselves.

use std::sync::Arc;

use fulmargate_names::ClassName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ClassEntry;
use crate::ConfigDocument;
use crate::ConfigError;
use crate::ModelEntry;
use crate::ServerEntry;
use crate::ServiceEntry;
use crate::TeamEntry;
use crate::config_document::entry_path;
use crate::config_document::read_name;
use crate::document_check;
use crate::document_section::DocumentSection;
use crate::document_section::read_part;

/// An entry to be put in place of what has its name; `None` removes it.
#[derive(Debug)]
pub(crate) enum EntryChange {
    Team(TeamName, Option<Arc<TeamEntry>>),
    Server(ServerName, Option<Arc<ServerEntry>>),
    Model(ModelName, Option<Arc<ModelEntry>>),
    Service(ServiceName, Option<Arc<ServiceEntry>>),
    Class(ClassName, Option<Arc<ClassEntry>>),
}

impl EntryChange {
    /// Reads an entry of a section that has names; `None` for one that has not.
    pub(crate) fn read(
        section: DocumentSection,
        name: &str,
        part: Option<&Value>,
    ) -> Result<Option<EntryChange>, ConfigError> {
        let path = entry_path(section, name);
        let change = match section {
            DocumentSection::Teams => EntryChange::Team(name.into(), read_entry(&path, part)?),
            DocumentSection::Servers => EntryChange::Server(name.into(), read_entry(&path, part)?),
            DocumentSection::Models => EntryChange::Model(name.into(), read_entry(&path, part)?),
            DocumentSection::Services => {
                EntryChange::Service(name.into(), read_entry(&path, part)?)
            }
            DocumentSection::Classes => EntryChange::Class(name.into(), read_entry(&path, part)?),
            DocumentSection::Rules | DocumentSection::Policy => return Ok(None),
        };
        if part.is_some() {
            read_name::<TeamName>(&path, name)?;
        }
        Ok(Some(change))
    }

    /// Whether no entry but this one, and no rule, can become invalid by it: others name servers,
    /// models, services and classes, so those must not go unnoticed.
    pub(crate) fn is_local(&self) -> bool {
        match self {
            EntryChange::Team(..) => true,
            EntryChange::Server(_, entry) => entry.is_some(),
            EntryChange::Model(_, entry) => entry.is_some(),
            EntryChange::Service(_, entry) => entry.is_some(),
            EntryChange::Class(_, entry) => entry.is_some(),
        }
    }

    /// Puts the entry in place; gives the change that puts back what was there.
    fn swap(self, document: &mut ConfigDocument) -> EntryChange {
        match self {
            EntryChange::Team(name, entry) => {
                let old = swap_entry(&mut document.teams, &name, entry);
                EntryChange::Team(name, old)
            }
            EntryChange::Server(name, entry) => {
                let old = swap_entry(&mut document.servers, &name, entry);
                EntryChange::Server(name, old)
            }
            EntryChange::Model(name, entry) => {
                let old = swap_entry(&mut document.models, &name, entry);
                EntryChange::Model(name, old)
            }
            EntryChange::Service(name, entry) => {
                let old = swap_entry(&mut document.services, &name, entry);
                EntryChange::Service(name, old)
            }
            EntryChange::Class(name, entry) => {
                let old = swap_entry(&mut document.classes, &name, entry);
                EntryChange::Class(name, old)
            }
        }
    }

    /// Checks what now stands under the name.
    fn check(&self, document: &ConfigDocument) -> Result<(), ConfigError> {
        match self {
            EntryChange::Team(name, _) => document_check::check_team(document, name),
            EntryChange::Server(name, _) => document_check::check_server(document, name),
            EntryChange::Model(name, _) => document_check::check_model(document, name),
            EntryChange::Service(name, _) => document_check::check_service(document, name),
            EntryChange::Class(name, _) => document_check::check_class(document, name),
        }
    }
}

/// Puts entries in place and checks them, or changes nothing. Gives what puts them back.
///
/// All must be local. Costs what the entries cost, not what the document does: a start replays up
/// to a thousand patches, each of which has to be judged.
pub(crate) fn change_entries(
    document: &mut ConfigDocument,
    changes: Vec<EntryChange>,
) -> Result<Vec<EntryChange>, ConfigError> {
    let reverse = swap_all(document, changes);
    match check_all(document, &reverse) {
        Ok(()) => Ok(reverse),
        Err(error) => {
            put_back(document, reverse);
            Err(error)
        }
    }
}

/// Puts back what `change_entries` replaced.
pub(crate) fn put_back(document: &mut ConfigDocument, reverse: Vec<EntryChange>) {
    let undone = swap_all(document, reverse);
    for change in &undone {
        let _it_was_valid_before = document.index(change);
    }
}

/// The lookups lose the old entries first, so that two teams may swap their keys.
fn swap_all(document: &mut ConfigDocument, changes: Vec<EntryChange>) -> Vec<EntryChange> {
    for change in &changes {
        document.forget_index(change);
    }
    changes.into_iter().map(|change| change.swap(document)).collect()
}

fn check_all(document: &mut ConfigDocument, changes: &[EntryChange]) -> Result<(), ConfigError> {
    for change in changes {
        change.check(document)?;
        document.index(change)?;
    }
    document_check::check_rules(document)
}

fn read_entry<V: DeserializeOwned>(
    path: &str,
    part: Option<&Value>,
) -> Result<Option<Arc<V>>, ConfigError> {
    part.map(|value| read_part(path, value).map(Arc::new)).transpose()
}

fn swap_entry<K: Clone + Ord + std::hash::Hash, V>(
    map: &mut IndexMap<K, Arc<V>>,
    name: &K,
    entry: Option<Arc<V>>,
) -> Option<Arc<V>> {
    match entry {
        Some(entry) => map.insert_sorted(name.clone(), entry).1,
        None => map.shift_remove(name),
    }
}
