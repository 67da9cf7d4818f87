//! The peers that this host gossips with.

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::MemberRecord;
use crate::state::member_table::MemberTable;

/// Maximum number of neighbors in the own zone.
const MAX_LOCAL_NEIGHBORS: usize = 6;
/// Minimum number of neighbors in other zones.
const MIN_CROSS_NEIGHBORS: usize = 2;

/// Random neighbors, mostly in the own zone. They change slowly, so that links are reused and
/// little traffic crosses zones.
#[derive(Debug, Default)]
pub(crate) struct NeighborSet {
    ids: Vec<u64>,
    sampled_from: usize,
}

impl NeighborSet {
    /// Drops absent neighbors and fills the set at random.
    pub(crate) fn refresh(&mut self, members: &MemberTable, rng: &mut StdRng) {
        let zone = &members.own().zone;
        let is_local = |record: &&MemberRecord| record.zone == *zone;
        let local: Vec<u64> =
            members.present_peers().filter(is_local).map(MemberRecord::id).collect();
        let cross: Vec<u64> = members
            .present_peers()
            .filter(|record| !is_local(record))
            .map(MemberRecord::id)
            .collect();
        // Redraws all neighbors when the number of known peers has doubled. Otherwise hosts that
        // start together would keep the seeds as neighbors and overload them.
        let known = local.len() + cross.len();
        if known >= 2 * self.sampled_from {
            self.sampled_from = known;
            self.ids.clear();
        }
        let local_count = local.len().min(MAX_LOCAL_NEIGHBORS);
        let cross_count =
            MIN_CROSS_NEIGHBORS.max(MAX_LOCAL_NEIGHBORS + MIN_CROSS_NEIGHBORS - local_count);
        let mut ids = top_up(&self.ids, &local, local_count, rng);
        ids.extend(top_up(&self.ids, &cross, cross_count, rng));
        self.ids = ids;
    }

    /// Drops one random neighbor, to be replaced at the next refresh.
    pub(crate) fn rotate(&mut self, rng: &mut StdRng) {
        if !self.ids.is_empty() {
            self.ids.swap_remove(rng.random_range(0..self.ids.len()));
        }
    }

    /// Picks up to `count` distinct neighbors at random.
    pub(crate) fn pick(&self, count: usize, rng: &mut StdRng) -> Vec<u64> {
        self.ids.choose_multiple(rng, count).copied().collect()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.ids.len() >= MAX_LOCAL_NEIGHBORS + MIN_CROSS_NEIGHBORS
    }

    pub(crate) fn ids(&self) -> &[u64] {
        &self.ids
    }
}

/// Keeps up to `count` of `current` that are still in `all` and adds random others.
fn top_up(current: &[u64], all: &[u64], count: usize, rng: &mut StdRng) -> Vec<u64> {
    let mut chosen: Vec<u64> =
        current.iter().copied().filter(|id| all.contains(id)).take(count).collect();
    let candidates: Vec<u64> = all.iter().copied().filter(|id| !chosen.contains(id)).collect();
    let missing = count.saturating_sub(chosen.len());
    chosen.extend(candidates.choose_multiple(rng, missing));
    chosen
}
