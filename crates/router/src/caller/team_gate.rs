//! A team's limits.

use fulmargate_admission::TeamLimit;
use fulmargate_config::TeamEntry;
use fulmargate_names::ErrorKind;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::caller::RequestError;
use crate::state::RouterState;

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
        RequestError::new(ErrorKind::TeamLimit)
            .retry_after_ms(refusal.retry_after.as_millis() as u64)
    })
}
