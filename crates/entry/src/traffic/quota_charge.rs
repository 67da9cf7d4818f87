//! What a call takes of its team's quota.

use std::sync::Arc;

use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::TeamRule;
use fulmargate_names::ErrorKind;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::telemetry::count_quota_request;
use crate::traffic::answer::CallFailure;

/// Tokens of a quota. They are given back when it is dropped and nothing ran.
pub(crate) struct QuotaCharge {
    state: Arc<SharedState>,
    team: TeamName,
    cost: u64,
    /// Sends that ran, or may have.
    runs: u32,
}

impl QuotaCharge {
    /// Takes what the call costs; nothing for a team without a quota.
    pub(crate) fn take(
        state: &Arc<SharedState>,
        team: Option<&Arc<TeamRule>>,
        facts: &CallFacts,
    ) -> Result<Option<QuotaCharge>, CallFailure> {
        let Some((team, quota)) = team.and_then(|team| Some((team, team.quota?))) else {
            return Ok(None);
        };
        let cost = quota.cost(facts.stated_tokens);
        let name = &team.name;
        let answer = state.quotas().admit(name, &quota, cost, Instant::now());
        count_quota_request(name, answer.is_ok(), cost);
        match answer {
            Ok(()) => {
                let (state, team) = (state.clone(), name.clone());
                Ok(Some(QuotaCharge { state, team, cost, runs: 0 }))
            }
            Err(refusal) => {
                let time_left = facts.deadline.saturating_duration_since(Instant::now());
                let detail = format!(
                    "team {name} has {:.0} left of {} and {} a second, the request costs {cost}; \
                     newest report {} ms old",
                    refusal.left,
                    quota.burst,
                    quota.rate_per_s,
                    refusal.report_age.map_or(-1, |age| age.as_millis() as i64),
                );
                let failure = CallFailure::new(ErrorKind::TeamLimit, time_left);
                Err(failure.saying(detail).coming_back(refusal.retry_after))
            }
        }
    }

    /// The call is sent. Each send that may run counts.
    pub(crate) fn sent(&mut self) {
        if 0 < self.runs {
            self.state.quotas().charge_again(&self.team, self.cost, Instant::now());
        }
        self.runs += 1;
    }

    /// The last send did not run.
    pub(crate) fn not_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
        if 0 < self.runs {
            self.state.quotas().give_back(&self.team, self.cost);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.runs == 0 {
            self.state.quotas().give_back(&self.team, self.cost);
        }
    }
}

impl std::fmt::Debug for QuotaCharge {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "QuotaCharge({}, {})", self.team, self.cost)
    }
}
