//! In-flight load of one server through one gate.

use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::GateConf;
use crate::adaptive_limit::AdaptiveLimit;
use crate::gate_slot::GateSlot;

/// In-flight requests and their tokens that wait for prefill: in total, non-urgent and by team.
#[derive(Debug, Default)]
pub(crate) struct GateLoad {
    total: LoadCount,
    non_urgent: LoadCount,
    teams: IndexMap<TeamName, LoadCount>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadCount {
    /// Requests in flight.
    pub(crate) requests: u32,
    /// Prompt tokens that wait for prefill.
    pub(crate) tokens: u64,
}

/// Whether one more request fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GateCapacity {
    /// It fits.
    Free,
    /// The request limit is reached.
    RequestsFull,
    /// The token limit is reached.
    TokensFull,
    /// Its team has reached the limit per team; requests of other teams may go first.
    TeamFull,
}

impl GateLoad {
    pub(crate) fn total(&self) -> LoadCount {
        self.total
    }

    /// Whether a request of this team, priority and size fits under the limits.
    ///
    /// Running requests can't be preempted. Non-urgent requests therefore leave a share of the
    /// limits free for urgent ones, and each team leaves a share free for the others.
    pub(crate) fn room(
        &self,
        conf: &GateConf,
        limit: &AdaptiveLimit,
        team: &TeamName,
        priority: u8,
        tokens: u32,
    ) -> GateCapacity {
        let (requests_limit, tokens_limit) = (limit.requests(), limit.tokens());
        let total_room = self.total.room(requests_limit, tokens_limit, tokens);
        if total_room != GateCapacity::Free {
            return total_room;
        }
        if priority > conf.urgent_priority {
            let requests_limit = scale_limit(requests_limit, conf.non_urgent_share);
            let tokens_limit = tokens_limit * conf.non_urgent_share;
            let non_urgent_room = self.non_urgent.room(requests_limit, tokens_limit, tokens);
            if non_urgent_room != GateCapacity::Free {
                return non_urgent_room;
            }
        }
        let Some(team_load) = self.teams.get(team) else {
            return GateCapacity::Free;
        };
        let requests_limit = scale_limit(requests_limit, conf.team_share);
        match team_load.room(requests_limit, tokens_limit * conf.team_share, tokens) {
            GateCapacity::Free => GateCapacity::Free,
            _ => GateCapacity::TeamFull,
        }
    }

    /// Counts an admitted request.
    pub(crate) fn add(&mut self, conf: &GateConf, slot: &GateSlot) {
        let team_load = self.teams.entry(slot.team.clone()).or_default();
        for count in counters_of(&mut self.total, &mut self.non_urgent, team_load, conf, slot) {
            count.requests += 1;
            count.tokens += u64::from(slot.prefill_tokens);
        }
    }

    /// Subtracts the request's tokens once its prompt has been computed.
    pub(crate) fn finish_prefill(&mut self, conf: &GateConf, slot: &GateSlot) {
        let Some(team_load) = self.teams.get_mut(&slot.team) else {
            return;
        };
        for count in counters_of(&mut self.total, &mut self.non_urgent, team_load, conf, slot) {
            count.tokens -= u64::from(slot.prefill_tokens);
        }
    }

    /// Subtracts a finished request.
    pub(crate) fn remove(&mut self, conf: &GateConf, slot: &GateSlot) {
        let Some(team_load) = self.teams.get_mut(&slot.team) else {
            return;
        };
        for count in counters_of(&mut self.total, &mut self.non_urgent, team_load, conf, slot) {
            count.requests -= 1;
            count.tokens -= u64::from(slot.prefill_tokens);
        }
        if self.teams.get(&slot.team).is_some_and(|team_load| team_load.requests == 0) {
            self.teams.swap_remove(&slot.team);
        }
    }
}

impl LoadCount {
    /// A request larger than the token limit fits when nothing else waits for prefill; otherwise it
    /// could never run.
    fn room(self, requests_limit: u32, tokens_limit: f64, tokens: u32) -> GateCapacity {
        if self.requests >= requests_limit {
            return GateCapacity::RequestsFull;
        }
        let tokens_with_request = self.tokens + u64::from(tokens);
        if self.tokens > 0 && tokens > 0 && tokens_with_request as f64 > tokens_limit {
            return GateCapacity::TokensFull;
        }
        GateCapacity::Free
    }
}

/// The counters that include a request.
fn counters_of<'a>(
    total: &'a mut LoadCount,
    non_urgent: &'a mut LoadCount,
    team_load: &'a mut LoadCount,
    conf: &GateConf,
    slot: &GateSlot,
) -> impl Iterator<Item = &'a mut LoadCount> {
    let non_urgent = (slot.priority > conf.urgent_priority).then_some(non_urgent);
    [Some(total), non_urgent, Some(team_load)].into_iter().flatten()
}

/// A share of the request limit, rounded down, at least one.
fn scale_limit(limit: u32, share: f64) -> u32 {
    ((f64::from(limit) * share) as u32).max(1)
}
