//! The whole document.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fulmargate_names::ClassName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ClassEntry;
use crate::ClassRule;
use crate::ConfigError;
use crate::KeyHash;
use crate::ModelEntry;
use crate::PolicyKind;
use crate::ServerEntry;
use crate::ServiceEntry;
use crate::TeamEntry;
use crate::config_error::pointer_step;
use crate::document_check;
use crate::document_section::DocumentSection;
use crate::document_section::read_part;
use crate::document_state::DocumentState;
use crate::entry_change::EntryChange;

/// The operators' document: only checked ones exist. Maps are in the order of their names.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfigDocument {
    /// Who may call.
    pub teams: IndexMap<TeamName, Arc<TeamEntry>>,
    /// The backend servers.
    pub servers: IndexMap<ServerName, Arc<ServerEntry>>,
    /// The models.
    pub models: IndexMap<ModelName, Arc<ModelEntry>>,
    /// The plain services.
    pub services: IndexMap<ServiceName, Arc<ServiceEntry>>,
    /// The classes of traffic.
    pub classes: IndexMap<ClassName, Arc<ClassEntry>>,
    /// Which requests get another class than their team's; the first that matches decides.
    pub rules: Vec<ClassRule>,
    /// How requests to models are placed.
    pub policy: PolicyKind,
    #[serde(skip)]
    index: DocumentIndex,
}

/// Lookups that go with a document.
#[derive(Clone, Debug, Default)]
pub(crate) struct DocumentIndex {
    /// Teams by the hash of each of their keys.
    pub(crate) keys: HashMap<KeyHash, TeamName>,
    /// Servers by where they listen.
    pub(crate) addresses: HashMap<SocketAddr, ServerName>,
}

impl ConfigDocument {
    /// Reads and checks a whole document.
    pub fn parse(text: &str) -> Result<ConfigDocument, ConfigError> {
        let value = serde_json::from_str(text).map_err(|error| {
            ConfigError::with_text("", text, &format!("a JSON document ({error})"))
        })?;
        ConfigDocument::from_value(&value)
    }

    /// Checks a whole document.
    pub fn from_value(value: &Value) -> Result<ConfigDocument, ConfigError> {
        let mut document = ConfigDocument::default();
        let Some(sections) = value.as_object() else {
            return Err(ConfigError::new("", value, "an object"));
        };
        for (name, part) in sections {
            let section = DocumentSection::parse(name, part)?;
            document.load_section(section, part)?;
        }
        document.finish()
    }

    /// What a patch would make of a document that is in force, or of the empty object before the
    /// first version; submits nothing.
    pub fn patched(document: &Value, patch: &Value) -> Result<ConfigDocument, ConfigError> {
        let mut state = DocumentState::of_value(document.clone());
        state.accept(patch)?;
        Ok(state.into_document().unwrap_or_default())
    }

    /// The team that has this key.
    pub fn team_by_key(&self, key: &KeyHash) -> Option<(&TeamName, &Arc<TeamEntry>)> {
        let team = self.index.keys.get(key)?;
        self.teams.get_key_value(team)
    }

    /// The class of a request: that of the first rule that matches, else the team's own.
    pub fn class_of(
        &self,
        team: &TeamName,
        model: Option<&ModelName>,
        path: &str,
    ) -> Option<(&ClassName, &Arc<ClassEntry>)> {
        let rule = self.rules.iter().find(|rule| rule.matches(team, model, path));
        let class = match rule {
            Some(rule) => &rule.class,
            None => &self.teams.get(team)?.class,
        };
        self.classes.get_key_value(class)
    }

    /// The engines that are to serve a model, drained ones too.
    pub fn servers_of_model(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&ServerName, &Arc<ServerEntry>)> {
        self.servers.iter().filter(move |(_, server)| server.models().contains(model))
    }

    /// The replicas of a plain service, drained ones too.
    pub fn servers_of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&ServerName, &Arc<ServerEntry>)> {
        self.servers.iter().filter(move |(_, server)| server.service() == Some(service))
    }

    /// Replaces a whole section by what is to stand there.
    pub(crate) fn load_section(
        &mut self,
        section: DocumentSection,
        part: &Value,
    ) -> Result<(), ConfigError> {
        match section {
            DocumentSection::Teams => self.teams = read_map(section, part)?,
            DocumentSection::Servers => self.servers = read_map(section, part)?,
            DocumentSection::Models => self.models = read_map(section, part)?,
            DocumentSection::Services => self.services = read_map(section, part)?,
            DocumentSection::Classes => self.classes = read_map(section, part)?,
            DocumentSection::Rules => self.rules = read_part("/rules", part)?,
            DocumentSection::Policy => self.policy = read_part("/policy", part)?,
        }
        Ok(())
    }

    /// Checks what spans entries and builds the lookups.
    pub(crate) fn finish(mut self) -> Result<ConfigDocument, ConfigError> {
        self.index = document_check::check(&self)?;
        Ok(self)
    }

    /// Takes the entry that stands under a change's name into the lookups.
    pub(crate) fn index(&mut self, change: &EntryChange) -> Result<(), ConfigError> {
        match change {
            EntryChange::Team(team, _) => match self.teams.get(team) {
                Some(entry) => self.index.add_team(team, entry),
                None => Ok(()),
            },
            EntryChange::Server(server, _) => match self.servers.get(server) {
                Some(entry) => self.index.add_server(server, entry),
                None => Ok(()),
            },
            _ => Ok(()),
        }
    }

    /// Takes the entry that stands under a change's name out of the lookups.
    pub(crate) fn forget_index(&mut self, change: &EntryChange) {
        match change {
            EntryChange::Team(team, _) => {
                if let Some(entry) = self.teams.get(team) {
                    self.index.forget_team(team, entry);
                }
            }
            EntryChange::Server(server, _) => {
                if let Some(entry) = self.servers.get(server) {
                    self.index.forget_server(server, entry);
                }
            }
            _ => {}
        }
    }
}

impl DocumentIndex {
    /// Takes in a team's keys; one that another team has is refused.
    pub(crate) fn add_team(
        &mut self,
        team: &TeamName,
        entry: &TeamEntry,
    ) -> Result<(), ConfigError> {
        for (index, hash) in entry.key_sha256.iter().enumerate() {
            if let Some(other) = self.keys.get(hash) {
                let path = format!("/teams/{team}/key_sha256/{index}");
                let allowed = format!("a key of its own; team `{other}` has this one");
                return Err(ConfigError::new(&path, &Value::from(hash.to_string()), &allowed));
            }
            self.keys.insert(*hash, team.clone());
        }
        Ok(())
    }

    /// Takes in a server's address; one that another server has is refused.
    pub(crate) fn add_server(
        &mut self,
        server: &ServerName,
        entry: &ServerEntry,
    ) -> Result<(), ConfigError> {
        if let Some(other) = self.addresses.get(&entry.address) {
            let path = format!("/servers/{server}/address");
            let allowed = format!("an address of its own; `{other}` has this one");
            return Err(ConfigError::new(&path, &Value::from(entry.address.to_string()), &allowed));
        }
        self.addresses.insert(entry.address, server.clone());
        Ok(())
    }

    fn forget_team(&mut self, team: &TeamName, entry: &TeamEntry) {
        for hash in &entry.key_sha256 {
            // The key may be another team's, which is why this one was refused.
            if self.keys.get(hash) == Some(team) {
                self.keys.remove(hash);
            }
        }
    }

    fn forget_server(&mut self, server: &ServerName, entry: &ServerEntry) {
        if self.addresses.get(&entry.address) == Some(server) {
            self.addresses.remove(&entry.address);
        }
    }
}

impl PartialEq for ConfigDocument {
    fn eq(&self, other: &ConfigDocument) -> bool {
        self.teams == other.teams
            && self.servers == other.servers
            && self.models == other.models
            && self.services == other.services
            && self.classes == other.classes
            && self.rules == other.rules
            && self.policy == other.policy
    }
}

fn read_map<K, V>(
    section: DocumentSection,
    part: &Value,
) -> Result<IndexMap<K, Arc<V>>, ConfigError>
where
    K: for<'a> From<&'a str> + Ord + std::hash::Hash,
    V: DeserializeOwned,
{
    let Some(entries) = part.as_object() else {
        return Err(ConfigError::new(&format!("/{}", section.name()), part, "an object"));
    };
    let mut map = IndexMap::with_capacity(entries.len());
    for (name, value) in entries {
        let path = entry_path(section, name);
        map.insert(read_name(&path, name)?, Arc::new(read_part(&path, value)?));
    }
    // The order of names, not that of the text (which serde_json's `preserve_order` would keep):
    // readers that came by patches and by a snapshot must have the same document.
    map.sort_keys();
    Ok(map)
}

pub(crate) fn entry_path(section: DocumentSection, name: &str) -> String {
    format!("/{}/{}", section.name(), pointer_step(name))
}

pub(crate) fn read_name<K: for<'a> From<&'a str>>(
    path: &str,
    name: &str,
) -> Result<K, ConfigError> {
    document_check::check_name(path, name)?;
    Ok(K::from(name))
}
