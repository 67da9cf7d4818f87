//! Limits whose tokens one router grants to the others.

use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::BucketKey;
use crate::GrantNotice;
use crate::LimitGrant;
use crate::LimitReport;
use crate::LimitWait;
use crate::ServerLimits;
use crate::host_key::HostKey;
use crate::limited_server::LimitedServer;

/// A bucket that all routers share may exceed the limit by a request of each router. It is used where that is within
/// what is allowed above the limit over some seconds: a number of requests, and a time in which the rate grants them.
const SHARED_BUCKET_ROUTERS: f64 = 4.0;
const SHARED_BUCKET_TIME: Duration = Duration::from_secs(2);
/// Tokens that the bucket holds in addition, as lapsed ones come back to it at once.
const RETURNED_TOKENS: f64 = 1.0;
/// Minimum interval between two updates of the routers in touch.
const TOUCH_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// A router that has not updated them for this time was suspended. Longer than the interval between its reports.
const MAX_TOUCH_AGE: Duration = Duration::from_millis(1_000);
/// Time after that in which messages from before are received, whose grants may have been given to others since.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Routers in touch with this one.
#[derive(Debug, Default)]
pub(super) struct TouchView {
    hosts: Vec<HostName>,
    changed: Option<Instant>,
    refreshed: Option<Instant>,
    /// Until when received grants may be old.
    catches_up_until: Option<Instant>,
    /// Number of changes.
    version: u64,
}

impl ServerLimits {
    /// Updates which routers are in touch.
    pub(super) fn refresh_touch(&mut self, now: Instant) {
        let age = self.touch.refreshed.map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age < TOUCH_REFRESH_INTERVAL) {
            return;
        }
        self.touch.refreshed = Some(now);
        if age.is_some_and(|age| MAX_TOUCH_AGE < age) {
            self.touch.catches_up_until = Some(now + CATCH_UP_TIME);
            self.servers.values_mut().for_each(|limited| limited.grants.restart_takeover(now));
        }
        let hosts = self.table.hosts_in_touch(now);
        if hosts != self.touch.hosts {
            self.touch.hosts = hosts;
            self.touch.version += 1;
            self.touch.changed = Some(now);
        }
        self.touch.changed.get_or_insert(now);
    }

    /// Routers in touch, without this one.
    pub(super) fn hosts_in_touch(&self) -> &[HostName] {
        &self.touch.hosts
    }

    /// Whether tokens at this rate are granted, rather than taken from a bucket that all routers share.
    pub(super) fn is_granted(&self, rate_per_s: f64) -> bool {
        let routers = self.touch.hosts.len() + 1;
        SHARED_BUCKET_ROUTERS + rate_per_s * SHARED_BUCKET_TIME.as_secs_f64() < routers as f64
    }

    /// Admits a request by a granted token, or by one that no other router wants.
    pub(super) fn admit_granted(
        &mut self,
        server: u64,
        rate_per_s: f64,
        now: Instant,
    ) -> Result<Option<LimitGrant>, LimitWait> {
        let available = self.ungranted(server, now);
        let Some(limited) = self.servers.get_mut(&server) else { return Ok(None) };
        let has_own = limited.grants.take_token(now);
        if !has_own && !is_free(limited, available, now) {
            limited.grants.record_attempt();
            return Err(self.wait(server, now));
        }
        limited.grants.record_used(&self.own, u64::from(has_own));
        self.table.charge(BucketKey::of_server(server), 1, now);
        Ok(Some(LimitGrant { rate_per_s, available, report_age: self.table.report_age(now) }))
    }

    /// Whether a request would find a granted token, or one that no other router wants.
    pub(super) fn has_granted_tokens(&mut self, server: u64, now: Instant) -> bool {
        let available = self.ungranted(server, now);
        let limited = self.servers.get(&server);
        limited.is_some_and(|limited| {
            limited.grants.has_token(now) || is_free(limited, available, now)
        })
    }

    /// Grants the tokens that are there, and returns the grants to publish.
    pub(super) fn take_grants(&mut self, now: Instant) -> Vec<GrantNotice> {
        let servers: Vec<u64> = self.servers.keys().copied().collect();
        let mut notices = Vec::new();
        for server in servers {
            let Some(rate_per_s) = self.update_bucket(server, now) else { continue };
            if !self.is_granted(rate_per_s) {
                continue;
            }
            let available = self.ungranted(server, now);
            let own = self.own.clone();
            let Some(limited) = self.servers.get_mut(&server) else { continue };
            if !limited.grants.may_grant(now) {
                continue;
            }
            let wanted = limited.grants.take_wanted(now);
            limited.grants.record_wanted(&own, wanted, now);
            limited.grants.grant(&own, available, now);
            notices.extend(limited.grants.take_notices(server));
        }
        notices
    }

    /// Applies the grants and uses that another router reports.
    pub(super) fn receive_grants(&mut self, host: &HostName, report: &LimitReport, now: Instant) {
        let own = HostKey::of(&self.own);
        let start = report.usage.start;
        let catches_up = self.touch.catches_up_until.is_some_and(|until| now < until);
        for grant in report.grants.iter().filter(|grant| grant.host == own) {
            let Some(limited) = self.servers.get_mut(&grant.server) else { continue };
            match catches_up {
                true => limited.grants.skip(host, start, grant.total),
                false => limited.grants.receive(host, start, grant.total, now),
            }
        }
        for (server, limited) in &mut self.servers {
            let key = BucketKey::of_server(*server);
            if let Some(count) = report.usage.counts.iter().find(|count| count.key == key) {
                limited.grants.record_total_used(host, start, count.total, count.fresh);
            }
        }
    }

    /// Tokens in the bucket that are not granted to any router.
    fn ungranted(&mut self, server: u64, now: Instant) -> f64 {
        self.update_granter(server, now);
        let Some(limited) = self.servers.get_mut(&server) else { return 0.0 };
        let pending = limited.grants.pending(now) as f64;
        let held = pending + RETURNED_TOKENS;
        let level = self.table.level(BucketKey::of_server(server), held, now);
        level.unwrap_or_default() - pending
    }

    fn update_granter(&mut self, server: u64, now: Instant) {
        let TouchView { hosts, version, changed, .. } = &self.touch;
        let Some(limited) = self.servers.get_mut(&server) else { return };
        if limited.granter_version == Some(*version) {
            return;
        }
        // The granter of a limit that is new need not wait for the last one.
        let since = match limited.granter_version {
            None => changed.unwrap_or(now),
            Some(_) => now,
        };
        limited.granter_version = Some(*version);
        let order = |host: &HostName| xxh3_64_with_seed(host.as_str().as_bytes(), server);
        let own_order = order(&self.own);
        let is_granter = hosts.iter().all(|host| order(host) < own_order);
        limited.grants.set_granter(is_granter, since);
    }
}

fn is_free(limited: &LimitedServer, available: f64, now: Instant) -> bool {
    1.0 <= available && limited.grants.may_grant(now) && !limited.grants.has_requester(now)
}
