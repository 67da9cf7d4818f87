//! Enforces the rate limits that servers name, over all routers.

mod granting;
mod storage;

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BucketKey;
use crate::LimitChange;
use crate::LimitNotice;
use crate::LimitReport;
use crate::NamedLimit;
use crate::QuotaConf;
use crate::QuotaUnit;
use crate::TeamQuota;
use crate::bucket_table::BucketTable;
use crate::limited_server::LimitedServer;
use crate::quota_bucket::QuotaBucket;
use crate::server_limits::granting::TouchView;
use crate::server_limits::storage::SlotState;

/// Limits in a report. The others follow in the next ones.
const MAX_NOTICES: usize = 16;
/// Reports in which a changed limit goes first, as messages may be lost.
const CHANGE_REPORTS: u8 = 3;
/// Requests expected to be admitted for each available token before routers receive each other's reports. More
/// of them would exceed the limit for a moment, fewer would leave tokens unused.
const EXPECTED_TAKERS: f64 = 1.5;
/// The same if all demand of the last seconds comes back at once, for all tokens: a part of the excess that is
/// allowed over some seconds, as a number of requests and as the time in which the rate grants them.
const SURGE_TAKERS: f64 = 1.25;
const SURGE_TAKER_TIME: Duration = Duration::from_millis(1_500);
/// Shortest wait for a token that another router may take as well.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Enforces limits that servers name in their responses, with a bucket for each limited server.
///
/// The buckets are shared by all routers like those of team quotas. A bucket holds little more than one
/// request, so that several routers may find the same token before they receive each other's reports: where
/// that is likely, each takes it with a probability that depends on how many requests want it.
#[derive(Debug)]
pub struct ServerLimits {
    own: HostName,
    table: BucketTable,
    servers: IndexMap<u64, LimitedServer>,
    touch: TouchView,
    /// Records in the platform's store, by key.
    slots: IndexMap<u8, SlotState>,
    /// Position of the first notice in the next report.
    next_notice: usize,
    /// Number of random draws so far.
    draws: u64,
}

/// A request admitted by a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitGrant {
    /// Requests per second that all routers together may send.
    pub rate_per_s: f64,
    /// Requests that were available.
    pub available: f64,
    /// Age of the newest report from another router; `None` if there is none.
    pub report_age: Option<Duration>,
}

/// When requests that wait for a limited server can be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWait {
    /// Time until the first of them.
    pub first: Duration,
    /// Time between two of them, with this router's share of the limit.
    pub spacing: Duration,
}

/// A limit that was learned from another router or from the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLimit {
    /// Key of the server incarnation.
    pub server: u64,
    /// The change.
    pub change: LimitChange,
    /// Time since the server named it.
    pub age: Duration,
}

impl LimitWait {
    /// Expected time until a request behind `ahead` others is sent.
    pub fn behind(&self, ahead: usize) -> Duration {
        self.first + self.spacing.saturating_mul(ahead as u32)
    }

    /// The wait for either of two servers.
    pub fn either(self, other: LimitWait) -> LimitWait {
        let rate = |wait: LimitWait| 1.0 / wait.spacing.as_secs_f64().max(f64::EPSILON);
        LimitWait {
            first: self.first.min(other.first),
            spacing: Duration::from_secs_f64(1.0 / (rate(self) + rate(other))),
        }
    }
}

impl ServerLimits {
    /// Creates the limits of the router `own`. `start` is a random identifier of this process start.
    pub fn new(own: HostName, start: u16, conf: QuotaConf) -> ServerLimits {
        ServerLimits {
            own: own.clone(),
            table: BucketTable::new(own, start, conf),
            servers: IndexMap::new(),
            touch: TouchView::default(),
            slots: IndexMap::new(),
            next_notice: 0,
            draws: 0,
        }
    }

    /// Adds all routers that share the limits. Limited servers get nothing from this router before the first
    /// call.
    pub fn set_routers(
        &mut self,
        routers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        self.table.set_routers(routers, now);
    }

    /// Whether all routers are in touch, but for those that have stopped.
    pub fn reaches_all_routers(&mut self, now: Instant) -> bool {
        self.table.reaches_all_peers(now)
    }

    /// Drops the limits of the other servers.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.servers.retain(|server, _| is_listed(*server));
        let servers = &self.servers;
        self.table.retain(|key| servers.keys().any(|server| BucketKey::of_server(*server) == key));
    }

    /// Applies a response to a request that was sent at `sent`. Returns the change of the limit, if any.
    pub fn observe(
        &mut self,
        server: u64,
        named: NamedLimit,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        if !matches!(named, NamedLimit::PerSecond(_)) && !self.servers.contains_key(&server) {
            return None;
        }
        let limited = self.servers.entry(server).or_insert_with(|| LimitedServer::new(now));
        let change = limited.record.observe(named, sent, now)?;
        limited.change_reports = CHANGE_REPORTS;
        self.update_bucket(server, now);
        Some(change)
    }

    /// Admits a request to a server. Returns none if the server has no limit.
    ///
    /// `report_delay` is the time until the other routers know of a request that is admitted here.
    pub fn admit(
        &mut self,
        server: u64,
        report_delay: Duration,
        now: Instant,
    ) -> Result<Option<LimitGrant>, LimitWait> {
        self.table.conf.report_delay = report_delay;
        let Some(rate_per_s) = self.update_bucket(server, now) else { return Ok(None) };
        if let Some(limited) = self.servers.get_mut(&server) {
            limited.attempts.add(1.0, now);
        }
        self.refresh_touch(now);
        if self.is_granted(rate_per_s) {
            return self.admit_granted(server, rate_per_s, now);
        }
        let key = BucketKey::of_server(server);
        let available = self.table.refresh(key, now).unwrap_or_default();
        let is_available = 1.0 <= available;
        if is_available && !self.is_drawn(server, available, report_delay, now) {
            return Err(LimitWait { first: report_delay.max(MIN_WAIT), ..self.wait(server, now) });
        }
        match self.table.admit(key, 1, now) {
            Ok(()) => {
                let report_age = self.table.report_age(now);
                Ok(Some(LimitGrant { rate_per_s, available, report_age }))
            }
            Err(_) => Err(self.wait(server, now)),
        }
    }

    /// When a request could be sent to a server if none came before it; `None` if the server has no limit.
    pub fn wait_for(&mut self, server: u64, now: Instant) -> Option<LimitWait> {
        let rate_per_s = self.update_bucket(server, now)?;
        self.refresh_touch(now);
        if self.is_granted(rate_per_s) {
            self.servers.get_mut(&server)?.grants.record_attempt();
        }
        self.table.refresh(BucketKey::of_server(server), now);
        Some(self.wait(server, now))
    }

    /// Whether a request would find a token.
    pub fn has_tokens(&mut self, server: u64, now: Instant) -> bool {
        let Some(rate_per_s) = self.update_bucket(server, now) else { return true };
        self.refresh_touch(now);
        if self.is_granted(rate_per_s) {
            return self.has_granted_tokens(server, now);
        }
        let available = self.table.refresh(BucketKey::of_server(server), now);
        available.is_none_or(|available| 1.0 <= available)
    }

    /// Gives back the token of a request that was not sent.
    pub fn refund(&mut self, server: u64) {
        self.table.refund(BucketKey::of_server(server), 1);
    }

    /// Servers that name a limit, or have named one.
    pub fn servers(&self) -> Vec<u64> {
        self.servers.keys().copied().collect()
    }

    /// Requests per second that a server named; `None` without a limit.
    pub fn named_rate(&self, server: u64) -> Option<f64> {
        self.servers.get(&server)?.record.rate_per_s()
    }

    /// Records a request that arrived for the service of a bound.
    pub fn record_demand(&mut self, key: u64, now: Instant) {
        if let Some(limited) = self.servers.get_mut(&key) {
            limited.demand.add(1.0, now);
        }
    }

    /// Requests a second that arrive at this router for the service of a bound. They are reported from now on.
    pub fn own_demand(&mut self, key: u64, now: Instant) -> f64 {
        let Some(limited) = self.servers.get_mut(&key) else { return 0.0 };
        limited.is_service = true;
        limited.demand.at(now)
    }

    /// The same at another router, as last reported; `None` if it has not reported any lately.
    pub fn demand_of(&self, host: &HostName, key: u64, now: Instant) -> Option<f64> {
        self.servers.get(&key)?.attempts_of(host, now)
    }

    /// The router that these limits belong to.
    pub fn own(&self) -> &HostName {
        &self.own
    }

    /// Whether a server is limited, or was until recently.
    pub fn is_limited(&self, server: u64, now: Instant) -> bool {
        self.servers.get(&server).is_some_and(|limited| limited.record.allowed_rate(now).is_some())
    }

    /// Number of servers that name a limit.
    pub fn limited_count(&self) -> usize {
        self.servers.values().filter(|limited| limited.record.rate_per_s().is_some()).count()
    }

    /// Returns the limits known here and what was sent since the last report.
    pub fn take_report(&mut self, now: Instant) -> LimitReport {
        self.refresh_touch(now);
        let grants = self.take_grants(now);
        LimitReport { notices: self.take_notices(now), usage: self.table.take_report(), grants }
    }

    /// Applies another router's report about listed servers. Returns the limits that were learned from it.
    pub fn receive(
        &mut self,
        host: &HostName,
        report: &LimitReport,
        is_listed: impl Fn(u64) -> bool,
        now: Instant,
    ) -> Vec<LearnedLimit> {
        if *host == self.own {
            return Vec::new();
        }
        self.refresh_touch(now);
        let is_used = |notice: &&LimitNotice| notice.is_valid() && is_listed(notice.server);
        let start = report.usage.start;
        let notices = report.notices.iter().take(MAX_NOTICES).filter(is_used);
        let learned =
            notices.filter_map(|notice| self.apply_notice(host, start, notice, now)).collect();
        self.receive_grants(host, report, now);
        self.table.receive(host, &report.usage, now);
        learned
    }

    fn apply_notice(
        &mut self,
        host: &HostName,
        start: u16,
        notice: &LimitNotice,
        now: Instant,
    ) -> Option<LearnedLimit> {
        let server = notice.server;
        if notice.rate_per_s.is_none() && !self.servers.contains_key(&server) {
            return None;
        }
        let age = Duration::from_millis(u64::from(notice.age_ms));
        // A limit that is new here applies, however old it is.
        let observed = now.checked_sub(age).unwrap_or(now);
        let limited = self.servers.entry(server).or_insert_with(|| LimitedServer::new(observed));
        let per_s = f64::from(notice.attempts_per_s);
        limited.record_peer_attempts(host, per_s, now);
        limited.grants.record_wanted(host, notice.wanted, now);
        limited.grants.record_lapsed(host, start, notice.lapsed);
        let change = limited.record.merge(notice.rate_per_s, age, now)?;
        limited.change_reports = CHANGE_REPORTS;
        self.update_bucket(server, now);
        Some(LearnedLimit { server, change, age })
    }

    /// Creates or updates the bucket. A new one is empty, as what others have sent is unknown. Returns the
    /// rate; `None` without a limit.
    fn update_bucket(&mut self, server: u64, now: Instant) -> Option<f64> {
        let rate_per_s = self.servers.get(&server)?.record.allowed_rate(now)?;
        let quota = TeamQuota { rate_per_s, burst: 0.0, unit: QuotaUnit::Requests };
        let create = || QuotaBucket::new(quota, 0.0, now);
        let bucket = self.table.bucket(BucketKey::of_server(server), create);
        bucket.set_rate(rate_per_s);
        self.servers.get_mut(&server)?.grants.set_rate(rate_per_s);
        Some(rate_per_s)
    }

    /// Decides at random whether a request may take a token that other routers may be taking as well.
    fn is_drawn(
        &mut self,
        server: u64,
        available: f64,
        report_delay: Duration,
        now: Instant,
    ) -> bool {
        let Some(limited) = self.servers.get(&server) else { return true };
        let delay_s = report_delay.as_secs_f64();
        let rate_per_s = limited.record.allowed_rate(now).unwrap_or_default();
        let surge_takers = SURGE_TAKERS + rate_per_s * SURGE_TAKER_TIME.as_secs_f64();
        let expected = (limited.peer_attempts(now) * delay_s).max(f64::EPSILON);
        let expected_in_surge = (limited.held_peer_attempts(now) * delay_s).max(f64::EPSILON);
        let share = (EXPECTED_TAKERS * available / expected).min(surge_takers / expected_in_surge);
        if 1.0 <= share {
            return true;
        }
        self.draws += 1;
        let hash = xxh3_64_with_seed(self.own.as_str().as_bytes(), server ^ self.draws);
        let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        fraction < share
    }

    fn wait(&self, server: u64, now: Instant) -> LimitWait {
        let key = BucketKey::of_server(server);
        let first = self.table.time_until(key, 1.0, now).max(MIN_WAIT);
        let Some(limited) = self.servers.get(&server) else {
            return LimitWait { first, spacing: MIN_WAIT };
        };
        let is_granted = limited.record.allowed_rate(now).is_some_and(|rate| self.is_granted(rate));
        // A request for a token and the grant each take a message.
        let first = if is_granted { first.max(2 * self.table.conf.report_delay) } else { first };
        let own = limited.attempts.at(now).max(f64::EPSILON);
        let share = own / (own + limited.peer_attempts(now));
        let rate = limited.record.allowed_rate(now).unwrap_or(f64::INFINITY) * share;
        let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX / 2);
        LimitWait { first, spacing: spacing.min(MAX_SPACING) }
    }

    /// Notices of changed limits, then of the others in turn.
    fn take_notices(&mut self, now: Instant) -> Vec<LimitNotice> {
        let reported: Vec<u64> = self
            .servers
            .iter()
            .filter(|(_, limited)| limited.is_reported(now))
            .map(|(server, _)| *server)
            .collect();
        let is_changed = |limited: &LimitedServer| 0 < limited.change_reports;
        let is_wanted = |limited: &LimitedServer| limited.grants.wants_token();
        let mut chosen: Vec<u64> = Vec::new();
        for is_urgent in [is_changed, is_wanted, |_: &LimitedServer| true] {
            for step in 0..reported.len() {
                let server = reported[(self.next_notice + step) % reported.len()];
                let is_due = self.servers.get(&server).is_some_and(is_urgent);
                if is_due && chosen.len() < MAX_NOTICES && !chosen.contains(&server) {
                    chosen.push(server);
                }
            }
        }
        self.next_notice = self.next_notice.wrapping_add(MAX_NOTICES);
        chosen.into_iter().filter_map(|server| self.notice(server, now)).collect()
    }

    fn notice(&mut self, server: u64, now: Instant) -> Option<LimitNotice> {
        let limited = self.servers.get_mut(&server)?;
        limited.change_reports = limited.change_reports.saturating_sub(1);
        Some(LimitNotice {
            server,
            rate_per_s: limited.record.rate_per_s(),
            age_ms: limited.record.age(now).as_millis() as u32,
            attempts_per_s: limited.reported_attempts(now) as f32,
            wanted: limited.grants.take_wanted(now),
            lapsed: limited.grants.lapsed(now),
        })
    }
}

/// Upper bound of the time between two requests of this router.
const MAX_SPACING: Duration = Duration::from_secs(60);
