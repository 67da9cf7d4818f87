//! Backend servers.

use std::net::SocketAddr;

use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "ServerFields", into = "ServerFields")]
pub struct ServerEntry {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it runs.
    pub kind: ServerKind,
    /// Whether it may get new work.
    pub state: ServerState,
}

/// What a backend server runs.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerKind {
    /// A model engine.
    Engine {
        /// The models that it is to serve.
        models: Vec<ModelName>,
        /// Whether it refuses orders with an old fencing number.
        fenced: bool,
    },
    /// A replica of a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// Whether a backend server may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It may.
    #[default]
    Active,
    /// It finishes what it has and gets nothing new.
    Drained,
}

impl ServerEntry {
    /// The models of an engine; none for a plain service.
    pub fn models(&self) -> &[ModelName] {
        match &self.kind {
            ServerKind::Engine { models, .. } => models,
            ServerKind::Service { .. } => &[],
        }
    }

    /// The service, when it runs one.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.kind {
            ServerKind::Engine { .. } => None,
            ServerKind::Service { service } => Some(service),
        }
    }
}

/// A backend server's fields as the document writes them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerFields {
    zone: ZoneName,
    address: SocketAddr,
    kind: KindField,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    models: Option<Vec<ModelName>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fenced: Option<bool>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    service: Option<ServiceName>,
    #[serde(default)]
    state: ServerState,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindField {
    Engine,
    Service,
}

/// Which field does not go with the server's kind.
#[derive(Debug, derive_more::Display)]
enum KindError {
    #[display("`models` is needed for kind `engine`")]
    ModelsMissing,
    #[display("`service` goes with kind `service` only")]
    ServiceOfEngine,
    #[display("`service` is needed for kind `service`")]
    ServiceMissing,
    #[display("`models` and `fenced` go with kind `engine` only")]
    EngineFields,
}

impl TryFrom<ServerFields> for ServerEntry {
    type Error = KindError;

    fn try_from(fields: ServerFields) -> Result<ServerEntry, KindError> {
        let kind = match fields.kind {
            KindField::Engine if fields.service.is_some() => {
                return Err(KindError::ServiceOfEngine);
            }
            KindField::Engine => ServerKind::Engine {
                models: fields.models.ok_or(KindError::ModelsMissing)?,
                fenced: fields.fenced.unwrap_or(false),
            },
            KindField::Service if fields.models.is_some() || fields.fenced.is_some() => {
                return Err(KindError::EngineFields);
            }
            KindField::Service => {
                ServerKind::Service { service: fields.service.ok_or(KindError::ServiceMissing)? }
            }
        };
        Ok(ServerEntry { zone: fields.zone, address: fields.address, kind, state: fields.state })
    }
}

impl From<ServerEntry> for ServerFields {
    fn from(entry: ServerEntry) -> ServerFields {
        let (kind, models, fenced, service) = match entry.kind {
            ServerKind::Engine { models, fenced } => {
                (KindField::Engine, Some(models), Some(fenced), None)
            }
            ServerKind::Service { service } => (KindField::Service, None, None, Some(service)),
        };
        ServerFields {
            zone: entry.zone,
            address: entry.address,
            kind,
            models,
            fenced,
            service,
            state: entry.state,
        }
    }
}
