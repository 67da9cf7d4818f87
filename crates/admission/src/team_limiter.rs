//! Team limits, shared among routers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::LimitRefusal;
use crate::LimiterConf;
use crate::TeamLimit;
use crate::TeamUsage;
use crate::UsageReport;
use crate::lock::lock;
use crate::reach_book::ReachBook;
use crate::team_rate::TeamRate;
use crate::team_state::TeamState;
use crate::usage_spread::UsageSpread;

/// Locks that the teams are divided among: a step holds each for a small part of all teams.
const SHARDS: usize = 32;
/// A team is told of when it asks this router for more than this part of an equal share.
const TELL_ABOVE: f64 = 0.5;

/// Requests and prompt tokens a second of each team, shared among routers by use.
///
/// Each router admits at its own share. Shares follow what routers tell each other once a second
/// (`usage` out, `peer_usage` in). A share grows only after the claim to it has been told for as
/// long as a cut takes to be noticed, and falls at once; routers out of reach keep their equal
/// parts. So all routers together admit no more than the limit, save the bursts, also while they
/// can't talk: over any time t at most `limit * (t + burst)` and, for each router, two requests or
/// one prompt. `docs/design/admission.md` gives the proof and what it doesn't cover.
#[derive(Debug)]
pub struct TeamLimiter {
    conf: LimiterConf,
    shards: Vec<Mutex<IndexMap<TeamName, TeamState>>>,
    reach: Mutex<ReachBook>,
    sharing: Mutex<Sharing>,
}

/// What the last step found, read by each request.
#[derive(Clone, Debug)]
struct Sharing {
    /// Routers known, this one included.
    known: usize,
    spread: Arc<UsageSpread>,
    /// When the last step was; a router whose control stood still relies on nobody.
    stepped: Option<Instant>,
}

impl TeamLimiter {
    /// A limiter of the router `own`, which knows no other yet.
    pub fn new(own: HostName, conf: LimiterConf) -> TeamLimiter {
        let spread = Arc::default();
        TeamLimiter {
            conf,
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            reach: Mutex::new(ReachBook::new(own)),
            sharing: Mutex::new(Sharing { known: 1, spread, stepped: None }),
        }
    }

    /// Names all routers that may admit for the same teams, heard or not. One that is merely out
    /// of reach stays named, or each side of a cut would take the whole limit.
    pub fn set_routers(&self, hosts: &[HostName]) {
        let known = lock(&self.reach).set_known(hosts);
        lock(&self.sharing).known = known;
    }

    /// Admits one request of a team, or says when to come back.
    pub fn admit(
        &self,
        team: &TeamName,
        limit: &TeamLimit,
        prompt_tokens: u32,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        let sharing = lock(&self.sharing).clone();
        let mut teams = lock(self.shard(team));
        if !teams.contains_key(team) {
            self.make_room(&mut teams);
            let rate = self.rate(&sharing, team, limit, None, now);
            teams.insert(team.clone(), TeamState::new(*limit, rate, &self.conf, now));
        }
        let Some(state) = teams.get_mut(team) else {
            return Ok(());
        };
        state.limit = *limit;
        let rate = self.rate(&sharing, team, limit, state.shared_rate(), now);
        state.set_rate(rate, &self.conf, now);
        state.admit(f64::from(prompt_tokens), now)
    }

    /// Gives back what a request took that no server ran after all.
    pub fn give_back(&self, team: &TeamName, prompt_tokens: u32) {
        if let Some(state) = lock(self.shard(team)).get_mut(team) {
            state.give_back(f64::from(prompt_tokens));
        }
    }

    /// Ends a step of about a second: works out the shares and gives back what to tell the others.
    pub fn usage(&self, now: Instant) -> UsageReport {
        let (reach, spread) = {
            let mut book = lock(&self.reach);
            (book.renew(&self.conf, now), Arc::new(book.spread()))
        };
        let (known, elapsed) = self.begin_step(&spread, now);
        let teams = self.most_asking(known, elapsed, now);
        let step = ShareStep { spread, hold: self.conf.hold_among(known), now };
        for shard in &self.shards {
            for (name, state) in lock(shard).iter_mut() {
                self.renew_share(&step, name, state, teams.get(name));
            }
        }
        let usage = |(team, rate): (TeamName, ToldRate)| TeamUsage {
            team,
            requests_per_s: rate.requests,
            prompt_tokens_per_s: rate.tokens,
        };
        UsageReport { reach, teams: teams.into_iter().map(usage).collect() }
    }

    /// Takes in what another router told, and when: now less the time that it was under way. A
    /// report that counted as new on arrival would outlive the hold, and with it the bound.
    pub fn peer_usage(&self, host: &HostName, report: &UsageReport, told: Instant) {
        lock(&self.reach).hear(host, report, told);
    }

    /// Teams kept at this moment.
    pub fn team_count(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// The rate at this router: by use for a team that is told of, else an equal part.
    fn rate(
        &self,
        sharing: &Sharing,
        team: &TeamName,
        limit: &TeamLimit,
        shared: Option<TeamRate>,
        now: Instant,
    ) -> TeamRate {
        let equal = TeamRate::part_of(limit, self.conf.part / sharing.known as f64);
        let Some(stepped) = sharing.stepped else {
            return equal;
        };
        // A router that was frozen wakes with shares that the others have long divided anew.
        if now.saturating_duration_since(stepped) >= self.conf.stale_after {
            return shared.map_or(equal, |rate| rate.min(equal));
        }
        match shared {
            Some(rate) => rate,
            None if sharing.spread.knows(team) => {
                sharing.spread.rate(team, &self.own_part(limit), TeamRate::default())
            }
            None => equal,
        }
    }

    fn own_part(&self, limit: &TeamLimit) -> TeamLimit {
        TeamLimit {
            requests_per_s: limit.requests_per_s * self.conf.part,
            prompt_tokens_per_s: limit.prompt_tokens_per_s * self.conf.part,
        }
    }

    fn begin_step(&self, spread: &Arc<UsageSpread>, now: Instant) -> (usize, Duration) {
        let mut sharing = lock(&self.sharing);
        let before = sharing.stepped.replace(now);
        sharing.spread = Arc::clone(spread);
        (sharing.known, before.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)))
    }

    /// The teams that ask this router for most of their limits; forgets those that ask for nothing.
    fn most_asking(
        &self,
        known: usize,
        elapsed: Duration,
        now: Instant,
    ) -> IndexMap<TeamName, ToldRate> {
        let least = TELL_ABOVE * self.conf.part / known as f64;
        let idle =
            |state: &TeamState| now.saturating_duration_since(state.seen) > self.conf.forget_after;
        let mut asking = Vec::new();
        for shard in &self.shards {
            let mut teams = lock(shard);
            teams.retain(|_, state| !idle(state));
            for (name, state) in teams.iter_mut() {
                let demand = state.end_step(elapsed);
                let load = demand.load_of(&state.limit);
                if load > least {
                    asking.push((load, name.clone(), ToldRate::new(demand)));
                }
            }
        }
        asking.sort_by(|(one, ..), (two, ..)| two.total_cmp(one));
        asking.truncate(self.conf.report_teams);
        asking.into_iter().map(|(_, name, rate)| (name, rate)).collect()
    }

    fn renew_share(
        &self,
        step: &ShareStep,
        name: &TeamName,
        state: &mut TeamState,
        told: Option<&ToldRate>,
    ) {
        if told.is_none() && !step.spread.knows(name) {
            state.end_share();
            return;
        }
        let told = told.copied().map(ToldRate::rate).unwrap_or_default();
        let own = state.tell(told, step.hold, step.now);
        let rate = step.spread.rate(name, &self.own_part(&state.limit), own);
        state.set_share(rate);
        state.set_rate(rate, &self.conf, step.now);
    }

    /// Forgets the team of a shard that asked least recently when there are too many: only a
    /// configuration with more teams than are kept gets here.
    fn make_room(&self, teams: &mut IndexMap<TeamName, TeamState>) {
        if teams.len() < self.conf.most_teams.div_ceil(SHARDS) {
            return;
        }
        let oldest = teams.values().enumerate().min_by_key(|(_, state)| state.seen);
        if let Some((index, _)) = oldest {
            teams.swap_remove_index(index);
        }
    }

    fn shard(&self, team: &TeamName) -> &Mutex<IndexMap<TeamName, TeamState>> {
        let hash = xxh3_64(team.as_str().as_bytes()) as usize;
        &self.shards[hash % SHARDS]
    }
}

/// What one step goes by.
struct ShareStep {
    spread: Arc<UsageSpread>,
    hold: Duration,
    now: Instant,
}

/// What the others are told of a team, in the precision in which they hear it.
#[derive(Clone, Copy, Debug)]
struct ToldRate {
    requests: f32,
    tokens: f32,
}

impl ToldRate {
    fn new(rate: TeamRate) -> ToldRate {
        ToldRate { requests: rate.requests as f32, tokens: rate.tokens as f32 }
    }

    fn rate(self) -> TeamRate {
        TeamRate { requests: f64::from(self.requests), tokens: f64::from(self.tokens) }
    }
}
