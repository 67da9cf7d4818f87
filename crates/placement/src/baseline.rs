//! Baseline policies for comparison with the cost policy.

use crate::Choice;
use crate::ChoiceReason;
use crate::chooser::Chooser;
use crate::estimate::Estimate;

/// Number of preferred servers to try before all near ones.
const MAX_CANDIDATES: usize = 8;

impl Chooser<'_> {
    /// Selects usable near servers in rotation.
    pub(crate) fn round_robin(&self) -> Option<Choice> {
        let near = self.view.near();
        let turn = self.placer.next_round_robin();
        let index = (0..near.len())
            .map(|step| near[(turn + step) % near.len()])
            .find(|index| self.is_usable(*index));
        self.baseline(index, ChoiceReason::RoundRobin)
    }

    /// Selects the usable near server with the fewest requests.
    pub(crate) fn least_load(&self) -> Option<Choice> {
        let index = self
            .view
            .near()
            .iter()
            .copied()
            .filter(|index| self.is_usable(*index))
            .min_by(|a, b| self.jittered_occupancy(*a).total_cmp(&self.jittered_occupancy(*b)));
        self.baseline(index, ChoiceReason::LeastLoad)
    }

    /// Selects the first usable server of the anchor's preference list. Prompts without an anchor
    /// are hashed as a whole.
    pub(crate) fn prefix_hash(&self) -> Option<Choice> {
        let anchor = self.chain.anchor().map(|anchor| anchor.hash.0);
        let key = anchor.unwrap_or(self.chain.request_hash());
        let list = self.view.ring().ring_order(key, MAX_CANDIDATES);
        let near = self.view.near().iter();
        let index =
            list.as_slice().iter().chain(near).copied().find(|index| self.is_usable(*index));
        self.baseline(index, ChoiceReason::PrefixHash)
    }

    fn baseline(&self, index: Option<u32>, reason: ChoiceReason) -> Option<Choice> {
        let Some(index) = index else { return self.choose_far() };
        Some(Estimate::cold(self, index).choice(self, index, reason))
    }
}
