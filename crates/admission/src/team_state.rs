//! Rate limiting state of one team at one router.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::LimitRefusal;
use crate::LimiterConf;
use crate::TeamLimit;
use crate::team_rate::TeamRate;
use crate::token_bucket::TokenBucket;

/// Minimum burst in requests, however small the team's share.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Weight of the last step in the moving average of a team's demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Rate limiting state of one team at one router.
#[derive(Debug)]
pub(crate) struct TeamState {
    /// Limit at the time of the last request.
    pub(crate) limit: TeamLimit,
    /// Time of the last request.
    pub(crate) last_request: Instant,
    requests: TokenBucket,
    tokens: TokenBucket,
    rate: TeamRate,
    /// Requests and tokens requested since the last periodic update, including refused ones.
    requested: TeamRate,
    /// Moving average of the requested rates.
    demand: TeamRate,
    /// Present only for teams that this or another router reports.
    demand_share: Option<Box<DemandShare>>,
}

/// Recently reported rates of a team and the resulting rate limit.
#[derive(Debug, Default)]
struct DemandShare {
    /// Reported rates with the times of their reports, oldest first. The first one was current when
    /// the increase delay began.
    reported: VecDeque<(Instant, TeamRate)>,
    rate: TeamRate,
}

impl TeamState {
    /// State of a team without recent requests: its buckets are full.
    pub(crate) fn new(
        limit: TeamLimit,
        rate: TeamRate,
        conf: &LimiterConf,
        now: Instant,
    ) -> TeamState {
        let (requests, tokens) = capacities(rate, conf);
        TeamState {
            limit,
            last_request: now,
            requests: TokenBucket::full(rate.requests, requests, now),
            tokens: TokenBucket::full(rate.tokens, tokens, now),
            rate,
            requested: TeamRate::default(),
            demand: TeamRate::default(),
            demand_share: None,
        }
    }

    /// The rate limit by demand, if the team's limit is divided by demand.
    pub(crate) fn demand_rate(&self) -> Option<TeamRate> {
        self.demand_share.as_ref().map(|demand_share| demand_share.rate)
    }

    /// Changes the rate limit. Tokens accrued so far are computed at the old rate.
    pub(crate) fn set_rate(&mut self, rate: TeamRate, conf: &LimiterConf, now: Instant) {
        if rate == self.rate {
            return;
        }
        let (requests, tokens) = capacities(rate, conf);
        self.requests.set_rate(rate.requests, requests, now);
        self.tokens.set_rate(rate.tokens, tokens, now);
        self.rate = rate;
    }

    /// Admits a request, or returns the time after which to retry.
    pub(crate) fn admit(&mut self, prompt_tokens: f64, now: Instant) -> Result<(), LimitRefusal> {
        self.last_request = self.last_request.max(now);
        self.requested = self.requested.plus(TeamRate { requests: 1.0, tokens: prompt_tokens });
        let has_request = self.requests.can_take(1.0, now);
        let has_tokens = self.tokens.can_take(prompt_tokens, now);
        if has_request && has_tokens {
            self.requests.take(1.0);
            self.tokens.take(prompt_tokens);
            return Ok(());
        }
        let retry_after = self.requests.wait_for(1.0).max(self.tokens.wait_for(prompt_tokens));
        Err(LimitRefusal { retry_after })
    }

    /// Refunds a request that no server ran.
    pub(crate) fn refund(&mut self, prompt_tokens: f64) {
        self.requests.add(1.0);
        self.tokens.add(prompt_tokens);
    }

    /// Ends a step and updates the moving average of the team's demand.
    pub(crate) fn end_step(&mut self, elapsed: Duration) -> TeamRate {
        if elapsed.is_zero() {
            return self.demand;
        }
        let last = self.requested.times(1.0 / elapsed.as_secs_f64());
        self.requested = TeamRate::default();
        self.demand = self.demand.zip(last, |old, new| old + DEMAND_WEIGHT * (new - old));
        self.demand
    }

    /// Records a reported rate and returns the minimum of the rates reported during the increase
    /// delay.
    /// Times without a report count as zero.
    pub(crate) fn record_report(
        &mut self,
        reported: TeamRate,
        increase_delay: Duration,
        now: Instant,
    ) -> TeamRate {
        let demand_share = self.demand_share.get_or_insert_default();
        demand_share.reported.push_back((now, reported));
        let is_before_delay =
            |since: Instant| now.saturating_duration_since(since) >= increase_delay;
        while demand_share.reported.get(1).is_some_and(|(since, _)| is_before_delay(*since)) {
            demand_share.reported.pop_front();
        }
        if demand_share.reported.front().is_none_or(|(since, _)| !is_before_delay(*since)) {
            return TeamRate::default();
        }
        demand_share.reported.iter().map(|(_, rate)| *rate).fold(reported, TeamRate::min)
    }

    /// Sets the rate limit by usage.
    pub(crate) fn set_demand_share(&mut self, rate: TeamRate) {
        self.demand_share.get_or_insert_default().rate = rate;
    }

    /// Stops sharing by usage: the router falls back to an equal share. The recorded reports are
    /// discarded.
    pub(crate) fn clear_demand_share(&mut self) {
        self.demand_share = None;
    }
}

/// Bucket capacities for requests and tokens. `TokenBucket` describes prompts larger than the
/// capacity.
fn capacities(rate: TeamRate, conf: &LimiterConf) -> (f64, f64) {
    let burst = conf.burst.as_secs_f64();
    ((rate.requests * burst).max(MIN_BURST_REQUESTS), (rate.tokens * burst).max(1.0))
}
