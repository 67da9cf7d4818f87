//! One step from a plan to a better one.

use fulmargate_names::PromptHash;
use indexmap::IndexMap;

use crate::FleetView;
use crate::PrefixSpread;
use crate::ServerShare;
use crate::SpreadPlan;
use crate::server_list::MAX_LIST_LEN;

/// A group is planned from this part of a server's mean load on, and left out again below a fifth
/// of it. Smaller ones lie where the hash puts them.
const MIN_PLANNED_LOAD: f64 = 0.01;
const MIN_RETAINED_LOAD: f64 = 0.002;
/// Above this multiple of the mean load a plan is packed anew, at once and with all its cost.
const REPACK_THRESHOLD: f64 = 1.3;
/// How full a server is packed.
const PACK_TARGET: f64 = 1.02;
/// Above this multiple of the mean load something is moved away.
const MOVE_SOURCE_THRESHOLD: f64 = 1.1;
/// Up to this multiple of the mean load something is moved to a server.
const MOVE_TARGET_LIMIT: f64 = 1.03;
/// Least load worth a move, in parts of the mean.
const MIN_MOVE: f64 = 0.02;
/// Least part of a group, or of a server, that is worth another copy of the group's prefix.
const MIN_REPLICA_SHARE: f64 = 0.1;
const MIN_REPLICA_LOAD: f64 = 0.25;
/// A share smaller than this is given up.
const MIN_SHARE: f64 = 0.02;
/// Servers of the group's preference list, and servers with little load, that are looked at.
const LIST_CANDIDATES: usize = 4;
const IDLE_CANDIDATES: usize = 4;
/// What a move must be worth, in parts of the mean, for another copy of the group's prefix; for
/// moving a group as a whole; less, if a server loses a copy; and for each place down the list.
const REPLICA_PENALTY: f64 = 0.3;
const RELOCATION_PENALTY: f64 = 0.02;
const MERGE_BONUS: f64 = 0.05;
const RANK_PENALTY: f64 = 0.02;

/// The work that a group's requests are, in tokens of prefill a second.
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

/// The plan while it is worked on. Everything goes in a fixed order, so that two routers that
/// know the same come to the same plan.
#[derive(Debug)]
pub(crate) struct PlanDraft<'a> {
    view: &'a FleetView,
    groups: IndexMap<PromptHash, GroupDraft>,
    /// Load of each server of the view; that of far servers is left at infinity.
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
    /// The plan so far under the present load; none without servers or load.
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

    /// A move that evens out the load, or a new packing if it is far from even.
    pub(crate) fn rebalanced(mut self) -> Vec<PrefixSpread> {
        if REPACK_THRESHOLD * self.mean < self.loads[self.most_loaded() as usize] {
            self.pack();
        } else {
            self.move_one();
        }
        let planned = self.groups.iter().filter(|(group, draft)| self.needs_plan(**group, draft));
        planned.map(|(group, draft)| to_spread(self.view, *group, draft)).collect()
    }

    /// Groups that lie where the hash puts them need no place in the plan.
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

    /// So many servers with the least load, least first.
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

    /// Places the groups anew, large ones first: each as a whole on a server that has room, if
    /// there is one among those that have it and those of its list, and else in parts.
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
        candidates.extend_from_slice(
            self.view.ring().preference_list(group.0, LIST_CANDIDATES).as_slice(),
        );
        let room = |index: u32| capacity - self.load(index);
        if let Some(index) = candidates.iter().find(|index| load <= room(**index)) {
            return vec![(*index, 1.0)];
        }
        let idle =
            self.least_loaded(MAX_LIST_LEN.min((load / capacity) as usize + IDLE_CANDIDATES));
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

    /// One move a step: what moves is computed once more, and its effect has to be seen first.
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
        let least_loaded = self.least_loaded(IDLE_CANDIDATES);
        let mut best: Option<GroupMove> = None;
        for (group, draft) in &self.groups {
            let Some((_, share)) = draft.shares.iter().find(|(index, _)| *index == from) else {
                continue;
            };
            let listed = self.view.ring().preference_list(group.0, LIST_CANDIDATES);
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

    /// What moving a part of the group from one server to another is worth; none if it is not.
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
        let excess = (self.load(from) - self.mean).min(room);
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
        let list = self.view.ring().preference_list(group.0, LIST_CANDIDATES);
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
