//! One team at one router.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::LimitRefusal;
use crate::LimiterConf;
use crate::TeamLimit;
use crate::team_rate::TeamRate;
use crate::token_bucket::TokenBucket;

/// Requests that may be saved up however small the share is.
const LEAST_BURST: f64 = 2.0;
/// How much the last step weighs in what a team asks for.
const STEP_WEIGHT: f64 = 0.5;

/// One team at one router.
#[derive(Debug)]
pub(crate) struct TeamState {
    /// Its limit when it last asked.
    pub(crate) limit: TeamLimit,
    /// When it last asked.
    pub(crate) seen: Instant,
    requests: TokenBucket,
    tokens: TokenBucket,
    rate: TeamRate,
    /// What it asked for since the last step.
    asked: TeamRate,
    /// What it asks for a second.
    demand: TeamRate,
    /// Only for teams that this or another router tells of.
    share: Option<Box<ToldShare>>,
}

/// What was told of a team, and the rate that follows.
#[derive(Debug, Default)]
struct ToldShare {
    /// What the others were told, and from when on; the first is still in force when the hold
    /// begins.
    told: VecDeque<(Instant, TeamRate)>,
    rate: TeamRate,
}

impl TeamState {
    /// A team that has not asked for long: its buckets are full.
    pub(crate) fn new(
        limit: TeamLimit,
        rate: TeamRate,
        conf: &LimiterConf,
        now: Instant,
    ) -> TeamState {
        let (requests, tokens) = capacities(rate, conf);
        TeamState {
            limit,
            seen: now,
            requests: TokenBucket::full(rate.requests, requests, now),
            tokens: TokenBucket::full(rate.tokens, tokens, now),
            rate,
            asked: TeamRate::default(),
            demand: TeamRate::default(),
            share: None,
        }
    }

    /// The rate that sharing gives, if this team is shared by use.
    pub(crate) fn shared_rate(&self) -> Option<TeamRate> {
        self.share.as_ref().map(|share| share.rate)
    }

    /// Goes on at this rate; what was saved up until now was saved at the old one.
    pub(crate) fn set_rate(&mut self, rate: TeamRate, conf: &LimiterConf, now: Instant) {
        if rate == self.rate {
            return;
        }
        let (requests, tokens) = capacities(rate, conf);
        self.requests.set_rate(rate.requests, requests, now);
        self.tokens.set_rate(rate.tokens, tokens, now);
        self.rate = rate;
    }

    /// Admits one request or says when to come back.
    pub(crate) fn admit(&mut self, prompt_tokens: f64, now: Instant) -> Result<(), LimitRefusal> {
        self.seen = self.seen.max(now);
        self.asked = self.asked.plus(TeamRate { requests: 1.0, tokens: prompt_tokens });
        let has_request = self.requests.has(1.0, now);
        let has_tokens = self.tokens.has(prompt_tokens, now);
        if has_request && has_tokens {
            self.requests.take(1.0);
            self.tokens.take(prompt_tokens);
            return Ok(());
        }
        let retry_after = self.requests.wait_for(1.0).max(self.tokens.wait_for(prompt_tokens));
        Err(LimitRefusal { retry_after })
    }

    /// Gives back what a request took that was not run after all.
    pub(crate) fn give_back(&mut self, prompt_tokens: f64) {
        self.requests.put(1.0);
        self.tokens.put(prompt_tokens);
    }

    /// Ends a step: what the team asks for a second, newer steps weighing more.
    pub(crate) fn end_step(&mut self, elapsed: Duration) -> TeamRate {
        if elapsed.is_zero() {
            return self.demand;
        }
        let last = self.asked.times(1.0 / elapsed.as_secs_f64());
        self.asked = TeamRate::default();
        self.demand = self.demand.zip(last, |old, new| old + STEP_WEIGHT * (new - old));
        self.demand
    }

    /// The others are told this now; gives back the least they were told over the hold. What
    /// was not told counts as nothing.
    pub(crate) fn tell(&mut self, told: TeamRate, hold: Duration, now: Instant) -> TeamRate {
        let share = self.share.get_or_insert_default();
        share.told.push_back((now, told));
        let is_over = |since: Instant| now.saturating_duration_since(since) >= hold;
        while share.told.get(1).is_some_and(|(since, _)| is_over(*since)) {
            share.told.pop_front();
        }
        if share.told.front().is_none_or(|(since, _)| !is_over(*since)) {
            return TeamRate::default();
        }
        share.told.iter().map(|(_, rate)| *rate).fold(told, TeamRate::min)
    }

    /// Sets the rate that sharing gives.
    pub(crate) fn set_share(&mut self, rate: TeamRate) {
        self.share.get_or_insert_default().rate = rate;
    }

    /// Ends sharing by use: an equal part from now on. What was told counts no more, as it would
    /// not anyway once nothing has been told.
    pub(crate) fn end_share(&mut self) {
        self.share = None;
    }
}

/// What may be saved up. A prompt above it may run on a full bucket: see `TokenBucket`.
fn capacities(rate: TeamRate, conf: &LimiterConf) -> (f64, f64) {
    let burst = conf.burst.as_secs_f64();
    ((rate.requests * burst).max(LEAST_BURST), (rate.tokens * burst).max(1.0))
}
