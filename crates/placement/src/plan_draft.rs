//! Incremental rebalancing of a placement plan.

use fulmargate_names::PromptHash;
use indexmap::IndexMap;

use crate::FleetView;
use crate::PrefixSpread;
use crate::ServerShare;
use crate::SpreadPlan;
use crate::server_list::MAX_LIST_LEN;

/// Minimum load for a group to be added to the plan, as a fraction of the mean server load. Smaller
/// groups are placed by hash.
const MIN_PLANNED_LOAD: f64 = 0.01;
/// Minimum load for a group to remain in the plan, as a fraction of the mean server load.
const MIN_RETAINED_LOAD: f64 = 0.002;
/// If a server's load exceeds this multiple of the mean, all groups are placed anew.
const REPACK_THRESHOLD: f64 = 1.3;
/// Maximum load of a server when packing, as a multiple of the mean.
const PACK_TARGET: f64 = 1.02;
/// Minimum load of a server to move groups from, as a multiple of the mean.
const MOVE_SOURCE_THRESHOLD: f64 = 1.1;
/// Maximum load of a server to move groups to, as a multiple of the mean.
const MOVE_TARGET_LIMIT: f64 = 1.03;
/// Minimum load to move, as a fraction of the mean.
const MIN_MOVE: f64 = 0.02;
/// Minimum fraction of a group's load for an additional replica; when packing, `MIN_REPLICA_LOAD`
/// of a server's capacity also suffices.
const MIN_REPLICA_SHARE: f64 = 0.1;
const MIN_REPLICA_LOAD: f64 = 0.25;
/// Smaller shares are removed after a move.
const MIN_SHARE: f64 = 0.02;
/// Candidates from the group's preference list and from the least loaded servers.
const LIST_CANDIDATES: usize = 4;
const LEAST_LOADED_CANDIDATES: usize = 4;
/// Score penalty, as a fraction of the mean load, for adding a replica of a group.
const REPLICA_PENALTY: f64 = 0.3;
/// Score penalty for moving all of a server's share to a server without one.
const RELOCATION_PENALTY: f64 = 0.02;
/// Score bonus for merging two shares of a group.
const MERGE_BONUS: f64 = 0.05;
/// Score penalty for each rank in the preference list.
const RANK_PENALTY: f64 = 0.02;

/// A group's load, in prefill tokens per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupLoad {
    pub(crate) group: PromptHash,
    pub(crate) load: f64,
}

#[derive(Clone, Debug, Default)]
struct GroupDraft {
    load: f64,
    shares: Vec<(u32, f64)>,
}

/// A plan being rebalanced. Groups and servers are processed in a fixed order, so that routers with
/// the same inputs compute the same plan.
#[derive(Debug)]
pub(crate) struct PlanDraft<'a> {
    view: &'a FleetView,
    groups: IndexMap<PromptHash, GroupDraft>,
    /// Load by server index; infinite for far servers.
    loads: Vec<f64>,
    mean: f64,
}

#[derive(Clone, Copy, Debug)]
struct GroupMove {
    group: PromptHash,
    to: u32,
    amount: f64,
    score: f64,
}

impl<'a> PlanDraft<'a> {
    /// Applies the current loads to a plan. Returns `None` without near servers or load.
    pub(crate) fn new(
        view: &'a FleetView,
        loads: Vec<GroupLoad>,
        unlisted_load: f64,
        plan: &SpreadPlan,
    ) -> Option<PlanDraft<'a>> {
        let near = view.near();
        let total: f64 = unlisted_load + loads.iter().map(|group| group.load).sum::<f64>();
        if near.is_empty() || total <= 0.0 {
            return None;
        }
        let mean = total / near.len() as f64;
        let mut server_loads = vec![f64::INFINITY; view.servers().count()];
        for index in near {
            server_loads[*index as usize] = unlisted_load / near.len() as f64;
        }
        let mut draft = PlanDraft { view, groups: IndexMap::new(), loads: server_loads, mean };
        for GroupLoad { group, load } in loads {
            let shares = draft.current_shares(plan, group);
            for (index, share) in &shares {
                draft.loads[*index as usize] += load * share;
            }
            let is_planned = plan.spread(group).is_some();
            if MIN_PLANNED_LOAD * mean <= load || (is_planned && MIN_RETAINED_LOAD * mean <= load) {
                draft.groups.insert(group, GroupDraft { load, shares });
            }
        }
        draft.groups.sort_unstable_keys();
        Some(draft)
    }

    /// Moves one group share, or repacks all groups if the imbalance is large.
    pub(crate) fn rebalanced(mut self) -> Vec<PrefixSpread> {
        if REPACK_THRESHOLD * self.mean < self.loads[self.most_loaded() as usize] {
            self.pack();
        } else {
            self.move_one();
        }
        let planned = self.groups.iter().filter(|(group, draft)| self.needs_plan(**group, draft));
        planned.map(|(group, draft)| to_spread(self.view, *group, draft)).collect()
    }

    /// Groups placed entirely on their hash-ring server are omitted from the plan.
    fn needs_plan(&self, group: PromptHash, draft: &GroupDraft) -> bool {
        let first = self.view.ring().first(group.0);
        !matches!(draft.shares[..], [(index, _)] if Some(index) == first)
    }

    fn current_shares(&self, plan: &SpreadPlan, group: PromptHash) -> Vec<(u32, f64)> {
        let mut shares = Vec::new();
        for share in plan.spread(group).map_or(&[][..], |spread| &spread.shares) {
            let index = self.view.index_of_name(&share.server);
            let near = index.filter(|index| self.load(*index).is_finite());
            shares.extend(near.map(|index| (index, share.share)));
        }
        if shares.is_empty() {
            shares.extend(self.view.ring().first(group.0).map(|index| (index, 1.0)));
        }
        normalise(&mut shares);
        shares
    }

    fn most_loaded(&self) -> u32 {
        let near = self.view.near().iter().copied();
        near.max_by(|a, b| self.load(*a).total_cmp(&self.load(*b))).unwrap_or_default()
    }

    fn load(&self, index: u32) -> f64 {
        self.loads[index as usize]
    }

    /// The least loaded near servers, in ascending order of load.
    fn least_loaded(&self, limit: usize) -> Vec<u32> {
        let mut near = self.view.near().to_vec();
        let order = |a: &u32, b: &u32| self.load(*a).total_cmp(&self.load(*b)).then(a.cmp(b));
        if limit < near.len() {
            near.select_nth_unstable_by(limit, order);
            near.truncate(limit);
        }
        near.sort_unstable_by(order);
        near
    }

    /// Places all groups anew, roughly in descending order of load. A group is placed on one server
    /// if a current or preferred server has room, and is split otherwise.
    fn pack(&mut self) {
        for draft in self.groups.values() {
            for (index, share) in &draft.shares {
                self.loads[*index as usize] -= draft.load * share;
            }
        }
        let mut order: Vec<PromptHash> = self.groups.keys().copied().collect();
        order.sort_by_key(|group| {
            let size = self.groups[group].load.max(1e-9).log2().floor() as i64;
            (-size, *group)
        });
        for group in order {
            let load = self.groups[&group].load;
            let shares = self.packed_shares(group, load);
            for (index, share) in &shares {
                self.loads[*index as usize] += load * share;
            }
            self.groups[&group].shares = shares;
        }
    }

    fn packed_shares(&self, group: PromptHash, load: f64) -> Vec<(u32, f64)> {
        let capacity = self.mean * PACK_TARGET;
        let mut candidates: Vec<u32> = self.groups[&group].shares.iter().map(|(i, _)| *i).collect();
        candidates
            .extend_from_slice(self.view.ring().ring_order(group.0, LIST_CANDIDATES).as_slice());
        let room = |index: u32| capacity - self.load(index);
        if let Some(index) = candidates.iter().find(|index| load <= room(**index)) {
            return vec![(*index, 1.0)];
        }
        let idle = self
            .least_loaded(MAX_LIST_LEN.min((load / capacity) as usize + LEAST_LOADED_CANDIDATES));
        let min_part = (MIN_REPLICA_SHARE * load).min(MIN_REPLICA_LOAD * capacity);
        let mut remaining = load;
        let mut shares: Vec<(u32, f64)> = Vec::new();
        for index in candidates.iter().chain(&idle).copied() {
            let part = remaining.min(room(index));
            let is_listed = shares.iter().any(|(listed, _)| *listed == index);
            let is_full = shares.len() == MAX_LIST_LEN;
            if is_full || is_listed || (part < min_part && part < remaining) || part <= 0.0 {
                continue;
            }
            shares.push((index, part / load));
            remaining -= part;
        }
        if shares.is_empty() {
            shares.extend(idle.first().map(|index| (*index, 1.0)));
        }
        normalise(&mut shares);
        shares
    }

    /// Moves load off the most loaded server. Makes at most one move per step, because the moved
    /// prompts are recomputed and the effect must be measured first.
    fn move_one(&mut self) {
        let from = self.most_loaded();
        if self.load(from) <= MOVE_SOURCE_THRESHOLD * self.mean {
            return;
        }
        if let Some(best) = self.best_move(from) {
            self.apply_move(from, best);
        }
    }

    fn best_move(&self, from: u32) -> Option<GroupMove> {
        let least_loaded = self.least_loaded(LEAST_LOADED_CANDIDATES);
        let mut best: Option<GroupMove> = None;
        for (group, draft) in &self.groups {
            let Some((_, share)) = draft.shares.iter().find(|(index, _)| *index == from) else {
                continue;
            };
            let listed = self.view.ring().ring_order(group.0, LIST_CANDIDATES);
            let members = draft.shares.iter().map(|(index, _)| index);
            for to in members.chain(listed.as_slice()).chain(&least_loaded) {
                let candidate = self.evaluate_move(*group, draft, from, *share, *to);
                let is_better = |candidate_move: &GroupMove| {
                    best.is_none_or(|best| best.score < candidate_move.score)
                };
                if let Some(candidate_move) = candidate.filter(is_better) {
                    best = Some(candidate_move);
                }
            }
        }
        best
    }

    /// Scores a move between two servers. Returns `None` if it is not beneficial.
    fn evaluate_move(
        &self,
        group: PromptHash,
        draft: &GroupDraft,
        from: u32,
        share: f64,
        to: u32,
    ) -> Option<GroupMove> {
        let source_load = draft.load * share;
        let room = MOVE_TARGET_LIMIT * self.mean - self.load(to);
        // The source's load above the mean, limited by what the target may still receive.
        let excess = (self.load(from) - self.mean).min(room);
        // A share that exceeds this by up to 20 % is moved whole.
        let is_whole = source_load <= excess * 1.2;
        let amount = if is_whole { source_load } else { excess };
        if from == to || amount < MIN_MOVE * self.mean {
            return None;
        }
        let is_member = draft.shares.iter().any(|(index, _)| *index == to);
        if !is_whole && !is_member && amount < MIN_REPLICA_SHARE * draft.load {
            return None;
        }
        let penalty = match (is_member, is_whole) {
            (true, true) => -MERGE_BONUS,
            (true, false) => 0.0,
            (false, true) => RELOCATION_PENALTY,
            (false, false) => REPLICA_PENALTY,
        };
        let list = self.view.ring().ring_order(group.0, LIST_CANDIDATES);
        let rank = list.as_slice().iter().position(|index| *index == to).unwrap_or(LIST_CANDIDATES);
        let score = amount / self.mean - penalty - RANK_PENALTY * rank as f64;
        (0.0 < score).then_some(GroupMove { group, to, amount, score })
    }

    fn apply_move(&mut self, from: u32, best: GroupMove) {
        let Some(draft) = self.groups.get_mut(&best.group) else { return };
        let part = best.amount / draft.load;
        for (index, share) in &mut draft.shares {
            if *index == from {
                *share -= part;
            }
        }
        match draft.shares.iter_mut().find(|(index, _)| *index == best.to) {
            Some((_, share)) => *share += part,
            None => draft.shares.push((best.to, part)),
        }
        draft.shares.retain(|(_, share)| MIN_SHARE < *share);
        normalise(&mut draft.shares);
        self.loads[from as usize] -= best.amount;
        self.loads[best.to as usize] += best.amount;
    }
}

fn normalise(shares: &mut [(u32, f64)]) {
    let sum: f64 = shares.iter().map(|(_, share)| share).sum();
    for (_, share) in shares {
        *share /= sum;
    }
}

fn to_spread(view: &FleetView, group: PromptHash, draft: &GroupDraft) -> PrefixSpread {
    let shares = draft.shares.iter().map(|(index, share)| {
        let server = view.server_at(*index).name().clone();
        ServerShare { server, share: *share }
    });
    PrefixSpread { group, shares: shares.collect() }
}
