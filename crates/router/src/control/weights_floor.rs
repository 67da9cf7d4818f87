//! Which weights of a model may still answer while new ones are rolled out.

#[cfg(test)]
mod tests;

use fulmargate_names::WeightsVersion;

/// Servers that may lag behind before older weights are turned away, as one part of so many.
const LAGGARD_PART: usize = 4;

/// The oldest weights that may answer. It follows the wanted ones once most servers have confirmed
/// them: at the first confirmation all requests would else go to the one server that has them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WeightsFloor {
    floor: WeightsVersion,
}

impl WeightsFloor {
    /// Applies the weights that the model's servers report, and returns the oldest that may serve. The
    /// floor never falls: a server that restarts with older weights gets nothing until it has loaded.
    pub(crate) fn step(
        &mut self,
        wanted: WeightsVersion,
        told: &[Option<WeightsVersion>],
    ) -> WeightsVersion {
        let has_it = |told: &&Option<WeightsVersion>| told.is_some_and(|told| wanted <= told);
        let behind = told.len() - told.iter().filter(has_it).count();
        let is_confirmed = behind < told.len() && behind * LAGGARD_PART <= told.len();
        if is_confirmed || wanted < self.floor {
            self.floor = wanted;
        }
        self.floor
    }
}
