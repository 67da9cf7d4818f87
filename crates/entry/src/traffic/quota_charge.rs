//! Charges requests to their team's quota; "admitted" here means that the quota has enough tokens.

use std::sync::Arc;

use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::TeamRule;
use fulmargate_names::ErrorKind;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::telemetry::count_quota_request;
use crate::traffic::request_failure::RequestFailure;

/// Tokens charged to a team's quota. Dropping it refunds them if no server may have executed the request.
pub(crate) struct QuotaCharge {
    state: Arc<SharedState>,
    team: TeamName,
    cost: u64,
    /// Sends that a server executed or may have executed, including the one in progress.
    possible_runs: u32,
}

impl QuotaCharge {
    /// Charges the cost of a request, or rejects it. Returns none for a team without a quota.
    pub(crate) fn reserve(
        state: &Arc<SharedState>,
        team: Option<&Arc<TeamRule>>,
        facts: &CallFacts,
    ) -> Result<Option<QuotaCharge>, RequestFailure> {
        let Some((team, quota)) = team.and_then(|team| Some((team, team.quota?))) else {
            return Ok(None);
        };
        let cost = quota.cost(facts.stated_tokens);
        let name = &team.name;
        let admission = state.quotas().admit(name, &quota, cost, Instant::now());
        count_quota_request(name, admission.is_ok(), cost);
        match admission {
            Ok(()) => {
                let (state, team) = (state.clone(), name.clone());
                Ok(Some(QuotaCharge { state, team, cost, possible_runs: 0 }))
            }
            Err(rejection) => {
                let time_left = facts.deadline.saturating_duration_since(Instant::now());
                let detail = format!(
                    "team {name} has {:.0} left of {} and {} a second, the request costs {cost}; \
                     newest report {} ms old",
                    rejection.available,
                    quota.burst,
                    quota.rate_per_s,
                    rejection.report_age.map_or(-1, |age| age.as_millis() as i64),
                );
                let failure = RequestFailure::new(ErrorKind::TeamLimit, time_left);
                Err(failure.with_detail(detail).with_retry_delay(rejection.retry_after))
            }
        }
    }

    /// Records that the request is sent. Every send after the first is charged as well.
    pub(crate) fn record_send(&mut self) {
        if 0 < self.possible_runs {
            self.state.quotas().recharge(&self.team, self.cost, Instant::now());
        }
        self.possible_runs += 1;
    }

    /// Records that the server did not execute the last send, and refunds it. The initial charge is kept for
    /// the next send.
    pub(crate) fn record_not_run(&mut self) {
        self.possible_runs = self.possible_runs.saturating_sub(1);
        if 0 < self.possible_runs {
            self.state.quotas().refund(&self.team, self.cost);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.possible_runs == 0 {
            self.state.quotas().refund(&self.team, self.cost);
        }
    }
}

impl std::fmt::Debug for QuotaCharge {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "QuotaCharge({}, {})", self.team, self.cost)
    }
}
