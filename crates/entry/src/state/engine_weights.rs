//! Weights of the listed engines.

use fulmargate_dispatch::ServerState;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;

use crate::state::SharedState;

/// The lowest weights version of a model that a listed engine runs.
pub(crate) fn lowest_weights(state: &SharedState, model: &ModelName) -> Option<WeightsVersion> {
    let table = state.table.load();
    let table = table.as_ref()?;
    let servers = state.servers();
    let is_engine = |state: &&ServerState| table.has_engines(&state.entry().service);
    let engines = servers.states().filter(is_engine);
    engines.filter_map(|engine| engine.confirmed_weights(model)).min()
}
