//! A team's limits.

use fulmargate_admission::TeamLimit;
use fulmargate_config::TeamEntry;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::caller::RequestError;
use crate::state::RouterState;
use crate::telemetry::TeamCounts;

/// Admits one request of a team, or says when to come back.
pub(crate) fn admit_team(
    state: &RouterState,
    team: &TeamName,
    entry: &TeamEntry,
    prompt_tokens: u32,
) -> Result<(), RequestError> {
    let limit = TeamLimit {
        requests_per_s: entry.requests_per_s,
        prompt_tokens_per_s: entry.prompt_tokens_per_s,
    };
    state.limiter.admit(team, &limit, prompt_tokens, Instant::now()).map_err(|refusal| {
        TeamCounts::note(state, team, |counts| counts.refused += 1);
        RequestError::new(ErrorKind::TeamLimit)
            .retry_after_ms(refusal.retry_after.as_millis() as u64)
    })
}

/// Counts what became of a request that its team's limits let through.
pub(crate) fn count_answer(state: &RouterState, team: &TeamName, err: Option<&RequestError>) {
    match err {
        Some(err) if err.disposition == Disposition::NotRun => {
            TeamCounts::note(state, team, |counts| counts.refused += 1);
        }
        _ => TeamCounts::note(state, team, |counts| counts.admitted += 1),
    }
}
