//! What an engine is to have.

use fulmargate_names::AdapterName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;

use crate::OrderWish;
use crate::ServerReport;

/// A model on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// The model.
    pub model: ModelName,
    /// Its weights.
    pub weights: WeightsVersion,
    /// The adapters beside it.
    pub adapters: Vec<AdapterName>,
}

/// An engine of the zone and what it is to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedServer {
    /// Its name.
    pub server: ServerName,
    /// Its models.
    pub models: Vec<WantedModel>,
}

impl WantedServer {
    /// The next thing that the engine's own report lacks. Only the report confirms an order.
    pub fn missing(&self, report: &ServerReport) -> Option<OrderWish> {
        self.models.iter().find_map(|wanted| wanted.missing(report))
    }
}

impl WantedModel {
    fn missing(&self, report: &ServerReport) -> Option<OrderWish> {
        let model = self.model.clone();
        if report.weights.get(&self.model) != Some(&self.weights) {
            return Some(OrderWish::LoadWeights { model, version: self.weights });
        }
        let adapter = self.adapters.iter().find(|adapter| !report.adapters.contains(adapter))?;
        Some(OrderWish::LoadAdapter { model, adapter: adapter.clone() })
    }
}
