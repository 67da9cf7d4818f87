//! Tokens of one server's limit that one router grants to the others.

use std::collections::VecDeque;
use std::time::Duration;

use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::GrantNotice;
use crate::host_key::HostKey;

/// Time in which a granted token has to be used, and what is added to it, in tokens of the rate. With the time of
/// messages it stays below what is allowed above the limit over some seconds.
const MIN_TOKEN_TTL: Duration = Duration::from_millis(800);
const MAX_TOKEN_TTL: Duration = Duration::from_secs(4);
const TTL_TOKENS: f64 = 2.5;
/// Longest time of a message that counts, both ways.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(1_200);
/// A router that has become the granter grants nothing before all have the same view of who is.
const MIN_TAKEOVER_TIME: Duration = Duration::from_millis(1_500);
/// How long a router's request for tokens is valid.
const WANT_TTL: Duration = Duration::from_millis(1_200);
/// Reports in which a grant is published, as messages may be lost.
const GRANT_REPORTS: u8 = 3;
/// Upper bound on tokens that a router holds.
const MAX_HELD_TOKENS: usize = 32;
/// Interval at which a waiting request tries again, by which requests are estimated from attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(20);

/// What a router holds, wants and grants of one server's tokens.
///
/// All routers keep the server's bucket. The granter gives its tokens out, so that no two routers take the same one.
#[derive(Debug)]
pub(crate) struct TokenGrants {
    token_ttl: Duration,
    /// When the tokens held here lapse.
    held: VecDeque<Instant>,
    /// Tokens that lapsed here since the process start.
    lapsed: u32,
    /// Totals of this router's grants, by the granter and its process start.
    received: IndexMap<(HostName, u16), u32>,
    /// Attempts without a token since the last report.
    attempts: u32,
    reported: Instant,
    /// Since when this router is the granter; `None` if another one is.
    granter_since: Option<Instant>,
    requesters: IndexMap<HostName, Requester>,
    /// Tokens granted whose use was not reported, the oldest first.
    pending: Vec<PendingGrant>,
    /// Process start of the other routers and the tokens that they have used since.
    used: IndexMap<HostName, (u16, u64)>,
    /// The same for tokens that have lapsed there.
    lapsed_by: IndexMap<HostName, (u16, u32)>,
}

/// Another router, as seen by the granter.
#[derive(Clone, Copy, Debug)]
struct Requester {
    wanted: u32,
    wanted_at: Instant,
    granted_at: Instant,
    /// Tokens granted since the requester's process start.
    total: u32,
    /// Reports in which the total is still published.
    reports: u8,
}

#[derive(Clone, Debug)]
struct PendingGrant {
    host: HostName,
    at: Instant,
}

impl TokenGrants {
    pub(crate) fn new(now: Instant) -> TokenGrants {
        TokenGrants {
            token_ttl: MIN_TOKEN_TTL,
            held: VecDeque::new(),
            lapsed: 0,
            received: IndexMap::new(),
            attempts: 0,
            reported: now,
            granter_since: None,
            requesters: IndexMap::new(),
            pending: Vec::new(),
            used: IndexMap::new(),
            lapsed_by: IndexMap::new(),
        }
    }

    /// Sets the rate of the limit.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64) {
        let added = Duration::try_from_secs_f64(TTL_TOKENS / rate_per_s).unwrap_or(MAX_TOKEN_TTL);
        self.token_ttl = MIN_TOKEN_TTL.saturating_add(added).min(MAX_TOKEN_TTL);
    }

    /// Sets whether this router is the granter, and since when at least.
    pub(crate) fn set_granter(&mut self, is_granter: bool, since: Instant) {
        match (is_granter, self.granter_since) {
            (true, None) => self.granter_since = Some(since),
            (false, Some(_)) => {
                self.granter_since = None;
                self.requesters.values_mut().for_each(|requester| requester.wanted = 0);
            }
            _ => {}
        }
    }

    /// Begins the time without grants again, as this router was not running.
    pub(crate) fn restart_takeover(&mut self, now: Instant) {
        self.lapsed += self.held.len() as u32;
        self.held.clear();
        if self.granter_since.is_some() {
            self.granter_since = Some(now);
        }
    }

    /// Whether this router grants tokens.
    pub(crate) fn may_grant(&self, now: Instant) -> bool {
        self.granter_since
            .is_some_and(|since| MIN_TAKEOVER_TIME <= now.saturating_duration_since(since))
    }

    /// Whether a token is held.
    pub(crate) fn has_token(&self, now: Instant) -> bool {
        self.held.iter().any(|lapses| now < *lapses)
    }

    /// Takes a token that is held.
    pub(crate) fn take_token(&mut self, now: Instant) -> bool {
        self.drop_lapsed(now);
        self.held.pop_front().is_some()
    }

    /// Number of tokens that lapsed here since the process start.
    pub(crate) fn lapsed(&mut self, now: Instant) -> u32 {
        self.drop_lapsed(now);
        self.lapsed
    }

    fn drop_lapsed(&mut self, now: Instant) {
        let held = self.held.len();
        self.held.retain(|lapses| now < *lapses);
        self.lapsed += (held - self.held.len()) as u32;
    }

    /// Counts an attempt that found no token.
    pub(crate) fn record_attempt(&mut self) {
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Tokens wanted here since the last call, as estimated from the attempts.
    pub(crate) fn take_wanted(&mut self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.reported).max(ATTEMPT_INTERVAL);
        let attempts = f64::from(std::mem::take(&mut self.attempts));
        self.reported = now;
        (attempts * ATTEMPT_INTERVAL.as_secs_f64() / elapsed.as_secs_f64()).ceil() as u32
    }

    /// Records the tokens that another router wants.
    pub(crate) fn record_wanted(&mut self, host: &HostName, wanted: u32, now: Instant) {
        if self.granter_since.is_none() {
            return;
        }
        let requester = self.requester(host, now);
        requester.wanted = wanted;
        requester.wanted_at = now;
    }

    /// Grants tokens to the routers that want them, as long as there are any. Those with the most waiting requests and
    /// the longest time without a token go first.
    pub(crate) fn grant(&mut self, own: &HostName, mut available: f64, now: Instant) {
        while 1.0 <= available {
            let Some(host) = self.next_requester(now) else { return };
            let lapses = now + self.token_ttl;
            if host == *own {
                self.held.push_back(lapses);
            }
            let requester = self.requester(&host, now);
            requester.granted_at = now;
            if host != *own {
                requester.total += 1;
                requester.reports = GRANT_REPORTS;
            }
            self.pending.push(PendingGrant { host, at: now });
            available -= 1.0;
        }
    }

    /// Whether tokens were wanted here since the last report.
    pub(crate) fn wants_token(&self) -> bool {
        0 < self.attempts
    }

    /// Whether a router wants a token.
    pub(crate) fn has_requester(&self, now: Instant) -> bool {
        self.next_requester(now).is_some()
    }

    /// Grants to publish in the next report.
    pub(crate) fn take_notices(&mut self, server: u64) -> Vec<GrantNotice> {
        let mut notices = Vec::new();
        for (host, requester) in &mut self.requesters {
            if 0 < requester.reports {
                requester.reports -= 1;
                let total = requester.total;
                notices.push(GrantNotice { server, host: HostKey::of(host), total });
            }
        }
        notices
    }

    /// Receives the total of this router's grants.
    pub(crate) fn receive(&mut self, granter: &HostName, start: u16, total: u32, now: Instant) {
        let known = self.received.get(&(granter.clone(), start)).copied();
        // What was granted before this process started is not for it.
        let new = known.map_or(total.min(1), |known| total.saturating_sub(known));
        self.skip(granter, start, total);
        for _ in 0..new {
            if self.held.len() < MAX_HELD_TOKENS {
                self.held.push_back(now + self.token_ttl);
            }
        }
    }

    /// Records a total without taking tokens.
    pub(crate) fn skip(&mut self, granter: &HostName, start: u16, total: u32) {
        let known = self.received.entry((granter.clone(), start)).or_default();
        *known = total.max(*known);
    }

    /// Records the tokens that have lapsed at another router since its process start.
    pub(crate) fn record_lapsed(&mut self, host: &HostName, start: u16, total: u32) {
        let known = self.lapsed_by.insert(host.clone(), (start, total));
        if let Some((known_start, known)) = known
            && known_start == start
        {
            self.record_used(host, u64::from(total.saturating_sub(known)));
        }
    }

    /// Records the tokens that another router has used since its process start.
    pub(crate) fn record_total_used(
        &mut self,
        host: &HostName,
        start: u16,
        total: u64,
        fresh: u64,
    ) {
        let known = self.used.insert(host.clone(), (start, total));
        match known {
            Some((known_start, known)) if known_start == start => {
                self.record_used(host, total.saturating_sub(known));
            }
            known => {
                if known.is_some() {
                    self.requesters.swap_remove(host);
                }
                self.record_used(host, fresh);
            }
        }
    }

    /// Records that a router has used this many tokens, or let them lapse.
    pub(crate) fn record_used(&mut self, host: &HostName, used: u64) {
        for _ in 0..used {
            let Some(index) = self.pending.iter().position(|grant| grant.host == *host) else {
                return;
            };
            self.pending.remove(index);
        }
    }

    /// Tokens granted that may still be used, or were used without a report so far.
    pub(crate) fn pending(&mut self, now: Instant) -> usize {
        let lapse_time = self.token_ttl + MAX_MESSAGE_AGE;
        self.pending.retain(|grant| now.saturating_duration_since(grant.at) < lapse_time);
        self.pending.len()
    }

    fn next_requester(&self, now: Instant) -> Option<HostName> {
        let weight = |(host, requester): (&HostName, &Requester)| {
            let pending = self.pending.iter().filter(|grant| grant.host == *host).count();
            let wanted = (requester.wanted as usize).saturating_sub(pending);
            let is_valid = now.saturating_duration_since(requester.wanted_at) < WANT_TTL;
            let waited = now.saturating_duration_since(requester.granted_at).as_secs_f64();
            (is_valid && 0 < wanted).then(|| (wanted as f64 * waited, host.clone()))
        };
        let weighted = self.requesters.iter().filter_map(weight);
        weighted.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, host)| host)
    }

    fn requester(&mut self, host: &HostName, now: Instant) -> &mut Requester {
        let granted_at = now.checked_sub(WANT_TTL).unwrap_or(now);
        let new = || Requester { wanted: 0, wanted_at: now, granted_at, total: 0, reports: 0 };
        self.requesters.entry(host.clone()).or_insert_with(new)
    }
}
