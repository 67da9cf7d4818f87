//! A model's servers and how its requests are placed.

use std::sync::Arc;

use fulmargate_names::WeightsVersion;
use fulmargate_placement::FleetView;
use fulmargate_placement::Placer;

/// A model's servers and how its requests are placed.
pub(crate) struct ModelRoute {
    pub(crate) view: FleetView,
    pub(crate) placer: Arc<Placer>,
    /// The oldest weights that may answer: those wanted, once a server has confirmed them.
    pub(crate) oldest_weights: WeightsVersion,
    /// The weights that placement expects on the servers.
    pub(crate) weights: WeightsVersion,
}
