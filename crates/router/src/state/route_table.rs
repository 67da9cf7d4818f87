//! A configuration made ready for traffic.

use std::sync::Arc;

use fulmargate_config::ConfigDocument;
use fulmargate_names::ClassName;
use fulmargate_names::ConfigVersion;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use fulmargate_placement::PolicyKind;
use indexmap::IndexMap;

use crate::state::ClassRoute;
use crate::state::ModelRoute;
use crate::state::ServerRoute;

/// A configuration made ready for traffic: immutable, replaced as a whole.
pub(crate) struct RouteTable {
    pub(crate) version: ConfigVersion,
    pub(crate) document: Arc<ConfigDocument>,
    pub(crate) policy: PolicyKind,
    pub(crate) classes: IndexMap<ClassName, ClassRoute>,
    pub(crate) servers: IndexMap<ServerName, Arc<ServerRoute>>,
    /// Models with the servers that may get new work.
    pub(crate) models: IndexMap<ModelName, ModelRoute>,
    /// Servers of each service that may get new work.
    pub(crate) services: IndexMap<ServiceName, Vec<Arc<ServerRoute>>>,
}

impl RouteTable {
    /// The class of a request.
    pub(crate) fn class_of(
        &self,
        team: &TeamName,
        model: Option<&ModelName>,
        path: &str,
    ) -> Option<(&ClassName, &ClassRoute)> {
        let (name, _) = self.document.class_of(team, model, path)?;
        self.classes.get_key_value(name)
    }
}
