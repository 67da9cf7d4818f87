//! An order to a model engine, as `POST /control/orders` takes it.

use fulmargate_names::AdapterName;
use fulmargate_names::FencingNumber;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use serde::Serialize;

/// What an engine is to have. It states what is wanted and no step towards it, so that an order
/// which comes twice does what it did once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderWish {
    /// These weights of a model.
    LoadWeights {
        /// The model.
        model: ModelName,
        /// Their version.
        version: WeightsVersion,
    },
    /// This adapter beside a model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
}

/// An order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// The order's own id.
    pub id: String,
    /// The number of the lease it is given under.
    pub fence: FencingNumber,
    /// Milliseconds since 1970 after which it is void.
    pub deadline_ms: u64,
    /// What is wanted.
    #[serde(flatten)]
    pub wish: OrderWish,
}
