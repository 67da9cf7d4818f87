//! One step from a plan to a better one.

use fulmargate_names::PromptHash;
use indexmap::IndexMap;

use crate::FleetView;
use crate::PrefixSpread;
use crate::ServerShare;
use crate::SpreadPlan;
use crate::server_list::MAX_LISTED;

/// A group is planned from this part of a server's mean load on, and left out again below a fifth
/// of it. Smaller ones lie where the hash puts them.
const PLANNED_LOAD: f64 = 0.01;
const DROPPED_LOAD: f64 = 0.002;
/// Above this multiple of the mean load a plan is packed anew, at once and with all its cost.
const PACK_LOAD: f64 = 1.3;
/// How full a server is packed.
const PACKED_FULL: f64 = 1.02;
/// Above this multiple of the mean load something is moved away.
const MOVE_LOAD: f64 = 1.1;
/// Up to this multiple of the mean load something is moved to a server.
const FILL_LOAD: f64 = 1.03;
/// Least load worth a move, in parts of the mean.
const LEAST_MOVE: f64 = 0.02;
/// Least part of a group, or of a server, that is worth another copy of the group's prefix.
const LEAST_SHARE: f64 = 0.1;
const LEAST_ROOM: f64 = 0.25;
/// A share smaller than this is given up.
const VOID_SHARE: f64 = 0.02;
/// Servers of the group's preference list, and servers with little load, that are looked at.
const LISTED: usize = 4;
const IDLE: usize = 4;
/// What a move must be worth, in parts of the mean, for another copy of the group's prefix; for
/// moving a group as a whole; less, if a server loses a copy; and for each place down the list.
const SPLIT_PENALTY: f64 = 0.3;
const WHOLE_PENALTY: f64 = 0.02;
const JOIN_BONUS: f64 = 0.05;
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
    worth: f64,
}

impl<'a> PlanDraft<'a> {
    /// The plan so far under the present load; none without servers or load.
    pub(crate) fn new(
        view: &'a FleetView,
        loads: Vec<GroupLoad>,
        others: f64,
        plan: &SpreadPlan,
    ) -> Option<PlanDraft<'a>> {
        let near = view.near();
        let total: f64 = others + loads.iter().map(|group| group.load).sum::<f64>();
        if near.is_empty() || total <= 0.0 {
            return None;
        }
        let mean = total / near.len() as f64;
        let mut server_loads = vec![f64::INFINITY; view.servers().count()];
        for index in near {
            server_loads[*index as usize] = others / near.len() as f64;
        }
        let mut draft = PlanDraft { view, groups: IndexMap::new(), loads: server_loads, mean };
        for GroupLoad { group, load } in loads {
            let shares = draft.shares_so_far(plan, group);
            for (index, share) in &shares {
                draft.loads[*index as usize] += load * share;
            }
            let is_planned = plan.spread(group).is_some();
            if PLANNED_LOAD * mean <= load || (is_planned && DROPPED_LOAD * mean <= load) {
                draft.groups.insert(group, GroupDraft { load, shares });
            }
        }
        draft.groups.sort_unstable_keys();
        Some(draft)
    }

    /// A move that evens out the load, or a new packing if it is far from even.
    pub(crate) fn improved(mut self) -> Vec<PrefixSpread> {
        if PACK_LOAD * self.mean < self.loads[self.fullest() as usize] {
            self.pack();
        } else {
            self.move_one();
        }
        let moved = self.groups.iter().filter(|(group, draft)| self.is_moved(**group, draft));
        moved.map(|(group, draft)| spread(self.view, *group, draft)).collect()
    }

    /// Groups that lie where the hash puts them need no place in the plan.
    fn is_moved(&self, group: PromptHash, draft: &GroupDraft) -> bool {
        let first = self.view.ring().first(group.0);
        !matches!(draft.shares[..], [(index, _)] if Some(index) == first)
    }

    fn shares_so_far(&self, plan: &SpreadPlan, group: PromptHash) -> Vec<(u32, f64)> {
        let mut shares = Vec::new();
        for share in plan.spread(group).map_or(&[][..], |spread| &spread.shares) {
            let index = self.view.named(&share.server);
            let near = index.filter(|index| self.load(*index).is_finite());
            shares.extend(near.map(|index| (index, share.share)));
        }
        if shares.is_empty() {
            shares.extend(self.view.ring().first(group.0).map(|index| (index, 1.0)));
        }
        normalise(&mut shares);
        shares
    }

    fn fullest(&self) -> u32 {
        let near = self.view.near().iter().copied();
        near.max_by(|a, b| self.load(*a).total_cmp(&self.load(*b))).unwrap_or_default()
    }

    fn load(&self, index: u32) -> f64 {
        self.loads[index as usize]
    }

    /// So many servers with the least load, least first.
    fn idlest(&self, wanted: usize) -> Vec<u32> {
        let mut near = self.view.near().to_vec();
        let order = |a: &u32, b: &u32| self.load(*a).total_cmp(&self.load(*b)).then(a.cmp(b));
        if wanted < near.len() {
            near.select_nth_unstable_by(wanted, order);
            near.truncate(wanted);
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
            let shares = self.packed(group, load);
            for (index, share) in &shares {
                self.loads[*index as usize] += load * share;
            }
            self.groups[&group].shares = shares;
        }
    }

    fn packed(&self, group: PromptHash, load: f64) -> Vec<(u32, f64)> {
        let full = self.mean * PACKED_FULL;
        let mut wanted: Vec<u32> = self.groups[&group].shares.iter().map(|(i, _)| *i).collect();
        wanted.extend_from_slice(self.view.ring().list(group.0, LISTED).as_slice());
        let room = |index: u32| full - self.load(index);
        if let Some(index) = wanted.iter().find(|index| load <= room(**index)) {
            return vec![(*index, 1.0)];
        }
        let idle = self.idlest(MAX_LISTED.min((load / full) as usize + IDLE));
        let least = (LEAST_SHARE * load).min(LEAST_ROOM * full);
        let mut rest = load;
        let mut shares: Vec<(u32, f64)> = Vec::new();
        for index in wanted.iter().chain(&idle).copied() {
            let part = rest.min(room(index));
            let is_listed = shares.iter().any(|(listed, _)| *listed == index);
            let is_full = shares.len() == MAX_LISTED;
            if is_full || is_listed || (part < least && part < rest) || part <= 0.0 {
                continue;
            }
            shares.push((index, part / load));
            rest -= part;
        }
        if shares.is_empty() {
            shares.extend(idle.first().map(|index| (*index, 1.0)));
        }
        normalise(&mut shares);
        shares
    }

    /// One move a step: what moves is computed once more, and its effect has to be seen first.
    fn move_one(&mut self) {
        let from = self.fullest();
        if self.load(from) <= MOVE_LOAD * self.mean {
            return;
        }
        if let Some(best) = self.best_move(from) {
            self.carry_out(from, best);
        }
    }

    fn best_move(&self, from: u32) -> Option<GroupMove> {
        let idlest = self.idlest(IDLE);
        let mut best: Option<GroupMove> = None;
        for (group, draft) in &self.groups {
            let Some((_, share)) = draft.shares.iter().find(|(index, _)| *index == from) else {
                continue;
            };
            let listed = self.view.ring().list(group.0, LISTED);
            let members = draft.shares.iter().map(|(index, _)| index);
            for to in members.chain(listed.as_slice()).chain(&idlest) {
                let candidate = self.rate_move(*group, draft, from, *share, *to);
                let is_better =
                    |found: &GroupMove| best.is_none_or(|best| best.worth < found.worth);
                if let Some(found) = candidate.filter(is_better) {
                    best = Some(found);
                }
            }
        }
        best
    }

    /// What moving a part of the group from one server to another is worth; none if it is not.
    fn rate_move(
        &self,
        group: PromptHash,
        draft: &GroupDraft,
        from: u32,
        share: f64,
        to: u32,
    ) -> Option<GroupMove> {
        let there = draft.load * share;
        let room = FILL_LOAD * self.mean - self.load(to);
        let wanted = (self.load(from) - self.mean).min(room);
        let is_whole = there <= wanted * 1.2;
        let amount = if is_whole { there } else { wanted };
        if from == to || amount < LEAST_MOVE * self.mean {
            return None;
        }
        let is_member = draft.shares.iter().any(|(index, _)| *index == to);
        if !is_whole && !is_member && amount < LEAST_SHARE * draft.load {
            return None;
        }
        let penalty = match (is_member, is_whole) {
            (true, true) => -JOIN_BONUS,
            (true, false) => 0.0,
            (false, true) => WHOLE_PENALTY,
            (false, false) => SPLIT_PENALTY,
        };
        let list = self.view.ring().list(group.0, LISTED);
        let rank = list.as_slice().iter().position(|index| *index == to).unwrap_or(LISTED);
        let worth = amount / self.mean - penalty - RANK_PENALTY * rank as f64;
        (0.0 < worth).then_some(GroupMove { group, to, amount, worth })
    }

    fn carry_out(&mut self, from: u32, best: GroupMove) {
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
        draft.shares.retain(|(_, share)| VOID_SHARE < *share);
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

fn spread(view: &FleetView, group: PromptHash, draft: &GroupDraft) -> PrefixSpread {
    let shares = draft.shares.iter().map(|(index, share)| {
        let server = view.at(*index).name().clone();
        ServerShare { server, share: *share }
    });
    PrefixSpread { group, shares: shares.collect() }
}
