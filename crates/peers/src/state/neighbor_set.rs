//! The few hosts that news is handed to.

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::MemberRecord;
use crate::state::member_table::MemberTable;

/// Neighbours in the own zone, where there are so many.
const LOCAL_NEIGHBORS: usize = 6;
/// Neighbours in other zones, at least.
const CROSS_NEIGHBORS: usize = 2;

/// Random neighbours, most of them in the own zone, that change slowly: a link to a neighbour is
/// used many times, and few bytes cross zones.
#[derive(Debug, Default)]
pub(crate) struct NeighborSet {
    ids: Vec<u64>,
    drawn_from: usize,
}

impl NeighborSet {
    /// Drops who is absent and fills up at random.
    pub(crate) fn refresh(&mut self, members: &MemberTable, rng: &mut StdRng) {
        let zone = &members.own().zone;
        let is_local = |record: &&MemberRecord| record.zone == *zone;
        let local: Vec<u64> = members.others().filter(is_local).map(MemberRecord::id).collect();
        let cross: Vec<u64> =
            members.others().filter(|record| !is_local(record)).map(MemberRecord::id).collect();
        // Drawn among the few that a newcomer knows first, all neighbors would be seeds, and when all
        // hosts start at once the seeds would get everybody's news.
        let known = local.len() + cross.len();
        if known >= 2 * self.drawn_from {
            self.drawn_from = known;
            self.ids.clear();
        }
        let local_count = local.len().min(LOCAL_NEIGHBORS);
        let cross_count = CROSS_NEIGHBORS.max(LOCAL_NEIGHBORS + CROSS_NEIGHBORS - local_count);
        let mut ids = fill(&self.ids, &local, local_count, rng);
        ids.extend(fill(&self.ids, &cross, cross_count, rng));
        self.ids = ids;
    }

    /// Lets one neighbour go, so that the graph keeps changing.
    pub(crate) fn rotate(&mut self, rng: &mut StdRng) {
        if !self.ids.is_empty() {
            self.ids.swap_remove(rng.random_range(0..self.ids.len()));
        }
    }

    /// Different neighbours at random.
    pub(crate) fn pick(&self, count: usize, rng: &mut StdRng) -> Vec<u64> {
        self.ids.choose_multiple(rng, count).copied().collect()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.ids.len() >= LOCAL_NEIGHBORS + CROSS_NEIGHBORS
    }

    pub(crate) fn ids(&self) -> &[u64] {
        &self.ids
    }
}

/// Of `held`, those still among `all`; then others of `all` at random.
fn fill(held: &[u64], all: &[u64], count: usize, rng: &mut StdRng) -> Vec<u64> {
    let mut chosen: Vec<u64> =
        held.iter().copied().filter(|id| all.contains(id)).take(count).collect();
    let fresh: Vec<u64> = all.iter().copied().filter(|id| !chosen.contains(id)).collect();
    let missing = count.saturating_sub(chosen.len());
    chosen.extend(fresh.choose_multiple(rng, missing));
    chosen
}
