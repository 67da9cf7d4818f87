//! Server selection by lowest estimated cost.

use crate::Choice;
use crate::ChoiceReason;
use crate::ClassWeights;
use crate::FleetView;
use crate::PlacementRequest;
use crate::Placer;
use crate::PrefixLevel;
use crate::PromptChain;
use crate::estimate::Estimate;
use crate::mix::mix;
use crate::mix::to_unit_interval;
use crate::preference_list::PreferenceList;
use crate::server_list::ServerList;
use crate::warm_set::WarmSet;

/// Minimum additional cached tokens for a server other than the owner to be considered.
const MIN_WARM_TOKENS: f64 = 256.0;
/// Minimum wait at the owner before a detour is considered.
const MIN_DETOUR_WAIT_MS: f64 = 20.0;
/// Detour costs are increased by one to two times this value, depending on request and server, so
/// that routers with the same view do not all select the same server.
const DETOUR_JITTER_MS: f64 = 5.0;
/// Servers in ring order to consider for a group in addition to its assigned servers.
const EXTRA_RING_SERVERS: usize = 2;
/// Servers sampled by request hash for detours and for short prompts.
const SAMPLED_SERVERS: u64 = 2;
/// Maximum number of servers of each preference list to consider as alternatives or fallbacks.
const MAX_FALLBACK_SERVERS: usize = 8;

/// Inputs of one placement decision.
pub(crate) struct Chooser<'a> {
    pub(crate) placer: &'a Placer,
    pub(crate) view: &'a FleetView,
    pub(crate) chain: &'a PromptChain,
    pub(crate) request: &'a PlacementRequest<'a>,
}

impl Chooser<'_> {
    /// Selects the owner unless it is unusable, another server has more of the prompt cached,
    /// or waiting at the owner costs more than computing the prompt elsewhere.
    pub(crate) fn lowest_cost(&self) -> Option<Choice> {
        let (Some(anchor), Some(preference)) = (self.chain.anchor(), self.preference()) else {
            return self.short_prompt();
        };
        let warm = WarmSet::new(self.placer.hints(), self.view, self.chain, self.request.now_ms);
        let Some((owner, reason)) = self.preferred_server(&preference, anchor) else {
            return self.fallback(&warm);
        };
        let at_owner = Estimate::at_owner(self, &warm, owner);
        if let Some(choice) = self.warmer_server(&warm, owner, &at_owner) {
            return Some(choice);
        }
        if let Some(choice) = self.detour(&preference, &warm, owner, &at_owner) {
            return Some(choice);
        }
        Some(at_owner.imported(self, &warm).choice(self, owner, reason))
    }

    pub(crate) fn weights(&self) -> ClassWeights {
        self.request.weights
    }

    pub(crate) fn is_usable(&self, index: u32) -> bool {
        let meter = &self.view.server_at(index).meter;
        meter.is_usable(self.request.now_ms) && !self.request.excluded.contains(&meter.id())
    }

    /// Number of requests at the server, with a tie-breaker derived from the request hash.
    pub(crate) fn jittered_occupancy(&self, index: u32) -> f64 {
        self.view.server_at(index).meter.occupancy(self.request.now_ms) + self.jitter(index)
    }

    fn jitter(&self, index: u32) -> f64 {
        to_unit_interval(mix(self.chain.request_hash(), u64::from(index)))
    }

    fn preference(&self) -> Option<PreferenceList> {
        let placer = self.placer;
        let width = || {
            let group = self.chain.group().map(|level| level.hash).unwrap_or_default();
            let share = placer.group_demand().share(group, self.request.now_ms);
            let servers = self.view.near().len() as f64;
            (share * servers * placer.conf().width_factor).max(placer.conf().min_width)
        };
        PreferenceList::new(self.view, self.chain, width)
    }

    /// The least loaded usable server among the replicas of the prefix, or else the next usable
    /// member.
    fn preferred_server(
        &self,
        preference: &PreferenceList,
        anchor: PrefixLevel,
    ) -> Option<(u32, ChoiceReason)> {
        let members = preference.members();
        let replicas = self.replica_count(anchor).min(members.len());
        let first = *members.first()?;
        let usable = members[..replicas].iter().copied().filter(|index| self.is_usable(*index));
        let least_loaded = usable
            .min_by(|a, b| self.jittered_occupancy(*a).total_cmp(&self.jittered_occupancy(*b)));
        if let Some(owner) = least_loaded {
            let reason = if owner == first { ChoiceReason::Owner } else { ChoiceReason::Spread };
            return Some((owner, reason));
        }
        let next = members[replicas..].iter().copied().find(|index| self.is_usable(*index));
        next.map(|index| (index, ChoiceReason::Fallback))
    }

    /// Number of servers that keep the anchor cached. Prefixes that make up a large part of a
    /// server's load are replicated to balance it.
    fn replica_count(&self, anchor: PrefixLevel) -> usize {
        let share = self.placer.anchor_demand().share(anchor.hash, self.request.now_ms);
        let servers = self.view.near().len() as f64;
        (1.0 + share * servers * self.placer.conf().hot_factor) as usize
    }

    /// A server that has more of the prompt cached than the anchor, such as later turns of a
    /// conversation that was once placed elsewhere. Hints that cover only the anchor are ignored:
    /// other routers do not have them, and following them would keep the owner from caching
    /// the prefix.
    fn warmer_server(&self, warm: &WarmSet, owner: u32, at_owner: &Estimate) -> Option<Choice> {
        let anchor = self.chain.anchor().map_or(0, |anchor| anchor.tokens);
        let owner_tokens = f64::from(anchor).max(at_owner.cached);
        let limit = at_owner.cost(self);
        let (index, estimate) = warm
            .iter()
            .filter(|warm| {
                warm.index != owner && owner_tokens + MIN_WARM_TOKENS <= f64::from(warm.tokens)
            })
            .filter(|warm| self.is_usable(warm.index))
            .map(|warm| (warm.index, Estimate::at_warm(self, warm)))
            .min_by(|a, b| a.1.cost(self).total_cmp(&b.1.cost(self)))?;
        let is_better = estimate.cost(self) < limit;
        is_better.then(|| estimate.choice(self, index, ChoiceReason::Warm))
    }

    /// A less loaded server where computing the prompt costs less than waiting at the owner.
    fn detour(
        &self,
        preference: &PreferenceList,
        warm: &WarmSet,
        owner: u32,
        at_owner: &Estimate,
    ) -> Option<Choice> {
        if at_owner.wait_ms < MIN_DETOUR_WAIT_MS {
            return None;
        }
        let limit = at_owner.cost(self);
        let (cost, index, estimate) = self
            .alternatives(preference)
            .as_slice()
            .iter()
            .filter(|index| **index != owner && self.is_usable(**index))
            .map(|index| {
                let estimate = Estimate::elsewhere(self, warm, preference, *index);
                let jitter = DETOUR_JITTER_MS * (1.0 + self.jitter(*index));
                (estimate.cost(self) + self.weights().ttft * jitter, *index, estimate)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        if limit <= cost || !self.placer.budget().try_spend(self.detour_cost_tokens()) {
            return None;
        }
        Some(estimate.imported(self, warm).choice(self, index, ChoiceReason::Detour))
    }

    /// Tokens charged to the detour budget. The full anchor is charged even if the other server
    /// already has it cached, because keeping the second copy evicts other prefixes.
    fn detour_cost_tokens(&self) -> f64 {
        f64::from(self.chain.anchor().map_or(0, |anchor| anchor.tokens))
    }

    fn alternatives(&self, preference: &PreferenceList) -> ServerList {
        let mut list = ServerList::new();
        for index in preference.members().iter().take(MAX_FALLBACK_SERVERS) {
            list.push(*index);
        }
        let group = self.chain.group().map(|level| level.hash.0).unwrap_or_default();
        for index in self.view.ring().ring_order(group, EXTRA_RING_SERVERS + 1).as_slice() {
            list.push(*index);
        }
        self.sample(self.view.near(), &mut list);
        list
    }

    /// If no member is usable, selects the next usable server in ring order from the group's hash,
    /// which keeps the group together, then any near server, then a far one.
    fn fallback(&self, warm: &WarmSet) -> Option<Choice> {
        let group = self.chain.group().map(|level| level.hash.0).unwrap_or_default();
        let list = self.view.ring().ring_order(group, MAX_FALLBACK_SERVERS);
        let near = self.view.near().iter();
        let index = list.as_slice().iter().chain(near).find(|index| self.is_usable(**index));
        let Some(index) = index.copied() else { return self.choose_far() };
        let estimate = match warm.get(index) {
            Some(warm) => Estimate::at_warm(self, warm),
            None => Estimate::cold(self, index).imported(self, warm),
        };
        Some(estimate.choice(self, index, ChoiceReason::Fallback))
    }

    /// The less loaded of two near servers sampled by request hash.
    fn short_prompt(&self) -> Option<Choice> {
        let index = self.least_loaded_sample(self.view.near());
        let Some(index) = index else { return self.choose_far() };
        Some(Estimate::cold(self, index).choice(self, index, ChoiceReason::ShortPrompt))
    }

    /// The less loaded of two sampled servers that are far by round-trip time.
    pub(crate) fn choose_far(&self) -> Option<Choice> {
        let index = self.least_loaded_sample(self.view.far())?;
        Some(Estimate::cold(self, index).choice(self, index, ChoiceReason::FarZone))
    }

    fn least_loaded_sample(&self, servers: &[u32]) -> Option<u32> {
        let mut sampled = ServerList::new();
        self.sample(servers, &mut sampled);
        let usable = sampled.as_slice().iter().copied().filter(|index| self.is_usable(*index));
        let least_loaded = usable
            .min_by(|a, b| self.jittered_occupancy(*a).total_cmp(&self.jittered_occupancy(*b)));
        least_loaded.or_else(|| servers.iter().copied().find(|index| self.is_usable(*index)))
    }

    fn sample(&self, servers: &[u32], list: &mut ServerList) {
        if servers.is_empty() {
            return;
        }
        for sample in 0..SAMPLED_SERVERS {
            let hash = mix(self.chain.request_hash(), sample);
            list.push(servers[(hash % servers.len() as u64) as usize]);
        }
    }
}
