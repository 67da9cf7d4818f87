//! What is under way at one server through one gate.

use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::GateConf;
use crate::adaptive_limit::AdaptiveLimit;
use crate::gate_slot::GateSlot;

/// Requests under way and their tokens that wait for prefill.
#[derive(Debug, Default)]
pub(crate) struct GateLoad {
    all: Portion,
    /// The part that is less urgent.
    lesser: Portion,
    teams: IndexMap<TeamName, Portion>,
}

/// A part of the load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Portion {
    /// Requests under way.
    pub(crate) requests: u32,
    /// Prompt tokens that wait for prefill.
    pub(crate) tokens: u64,
}

/// Whether one more request fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GateRoom {
    /// It fits.
    Free,
    /// The request limit is reached.
    RequestsFull,
    /// The token limit is reached.
    TokensFull,
    /// Its team uses all that one team may: others may go first.
    TeamFull,
}

impl GateLoad {
    /// The whole load.
    pub(crate) fn all(&self) -> Portion {
        self.all
    }

    /// Whether a request of this team, priority and size fits under the limits.
    ///
    /// Less urgent requests leave a part of the limits free, since what runs can't be overtaken:
    /// an urgent request would wait for the end of a batch answer. One team leaves a part free
    /// too, so that a crowd of its long answers can't keep all other teams out.
    pub(crate) fn room(
        &self,
        conf: &GateConf,
        limit: &AdaptiveLimit,
        team: &TeamName,
        priority: u8,
        tokens: u32,
    ) -> GateRoom {
        let (requests_limit, tokens_limit) = (limit.requests(), limit.tokens());
        let whole = self.all.room(requests_limit, tokens_limit, tokens);
        if whole != GateRoom::Free {
            return whole;
        }
        if priority > conf.urgent_priority {
            let requests_limit = part(requests_limit, conf.lesser_share);
            let tokens_limit = tokens_limit * conf.lesser_share;
            let lesser = self.lesser.room(requests_limit, tokens_limit, tokens);
            if lesser != GateRoom::Free {
                return lesser;
            }
        }
        let Some(own) = self.teams.get(team) else {
            return GateRoom::Free;
        };
        let requests_limit = part(requests_limit, conf.team_share);
        match own.room(requests_limit, tokens_limit * conf.team_share, tokens) {
            GateRoom::Free => GateRoom::Free,
            _ => GateRoom::TeamFull,
        }
    }

    /// Counts an admitted request.
    pub(crate) fn take(&mut self, conf: &GateConf, slot: &GateSlot) {
        let own = self.teams.entry(slot.team.clone()).or_default();
        for portion in portions(&mut self.all, &mut self.lesser, own, conf, slot) {
            portion.requests += 1;
            portion.tokens += u64::from(slot.prefill_tokens);
        }
    }

    /// The request's prompt has been computed.
    pub(crate) fn prefilled(&mut self, conf: &GateConf, slot: &GateSlot) {
        let Some(own) = self.teams.get_mut(&slot.team) else {
            return;
        };
        for portion in portions(&mut self.all, &mut self.lesser, own, conf, slot) {
            portion.tokens -= u64::from(slot.prefill_tokens);
        }
    }

    /// The request has ended.
    pub(crate) fn give_back(&mut self, conf: &GateConf, slot: &GateSlot) {
        let Some(own) = self.teams.get_mut(&slot.team) else {
            return;
        };
        for portion in portions(&mut self.all, &mut self.lesser, own, conf, slot) {
            portion.requests -= 1;
            portion.tokens -= u64::from(slot.prefill_tokens);
        }
        if self.teams.get(&slot.team).is_some_and(|own| own.requests == 0) {
            self.teams.swap_remove(&slot.team);
        }
    }
}

impl Portion {
    /// A request above the token limit fits when nothing else waits for prefill: it could never
    /// run otherwise.
    fn room(self, requests_limit: u32, tokens_limit: f64, tokens: u32) -> GateRoom {
        if self.requests >= requests_limit {
            return GateRoom::RequestsFull;
        }
        let with_it = self.tokens + u64::from(tokens);
        if self.tokens > 0 && tokens > 0 && with_it as f64 > tokens_limit {
            return GateRoom::TokensFull;
        }
        GateRoom::Free
    }
}

/// The portions that a request belongs to.
fn portions<'a>(
    all: &'a mut Portion,
    lesser: &'a mut Portion,
    own: &'a mut Portion,
    conf: &GateConf,
    slot: &GateSlot,
) -> impl Iterator<Item = &'a mut Portion> {
    let lesser = (slot.priority > conf.urgent_priority).then_some(lesser);
    [Some(all), lesser, Some(own)].into_iter().flatten()
}

/// A share of a limit, rounded down, at least one request.
fn part(limit: u32, share: f64) -> u32 {
    ((f64::from(limit) * share) as u32).max(1)
}
