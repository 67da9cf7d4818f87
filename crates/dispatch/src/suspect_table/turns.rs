//! Turns of suspected requests: when each may run, and at which server.

use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ClaimStage;
use crate::RunStep;
use crate::ServerKey;
use crate::SuspectKind;
use crate::SuspectTable;
use crate::suspect_record::OwnClaim;
use crate::suspect_record::SuspectRecord;
use crate::suspect_table::POLL_INTERVAL;

/// Crashes from which a suspect is strong: one more convicts it, so that it shares a server with no other suspect.
const MIN_STRONG_CRASHES: usize = 2;
/// Times that a claim changes its server to spread a group. What other hosts claim at the same time becomes known
/// only after it was chosen.
const MAX_SPREAD_MOVES: u8 = 2;

/// Another suspected request that has claimed a server.
#[derive(Clone, Copy, Debug)]
struct Neighbor {
    is_strong: bool,
    /// A crash is on record for both requests.
    is_related: bool,
}

/// Whose claims count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimScope {
    /// All, for the choice of a server.
    All,
    /// Those that go first, for keeping it.
    First,
}

type Neighbors = IndexMap<ServerKey, Vec<Neighbor>>;

impl SuspectTable {
    /// Whether the holder of this ticket may send the request, and to which of these servers, the least loaded first.
    /// Claims one of them if the request is suspected.
    pub fn try_begin(
        &mut self,
        fingerprint: u128,
        ticket: u64,
        servers: &[ServerKey],
        now: Instant,
    ) -> RunStep {
        if let Some(step) = self.step_by_evidence(fingerprint, now) {
            return step;
        }
        let own_claim = self.records.get(&fingerprint).and_then(|record| record.own_claim);
        let Some(claim) = own_claim else {
            return self.claim_server(fingerprint, ticket, servers, 0, now);
        };
        if claim.ticket != ticket {
            return RunStep::Wait(POLL_INTERVAL);
        }
        if !servers.contains(&claim.server) {
            return self.claim_server(fingerprint, ticket, servers, claim.moves, now);
        }
        if claim.stage == ClaimStage::Running {
            return RunStep::RunAt(claim.server);
        }
        let Some(published) = claim.published else { return RunStep::Wait(POLL_INTERVAL) };
        let settled_at = published + self.settle_time;
        if now < settled_at {
            return RunStep::Wait((settled_at - now).min(POLL_INTERVAL));
        }
        if self.runs_elsewhere(fingerprint, now) {
            return RunStep::Wait(POLL_INTERVAL);
        }
        if !self.keeps_server(fingerprint, claim, servers, now) {
            return self.claim_server(fingerprint, ticket, servers, claim.moves + 1, now);
        }
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.own_claim = Some(OwnClaim { stage: ClaimStage::Running, ..claim });
            record.mark_changed(now);
        }
        RunStep::RunAt(claim.server)
    }

    /// Whether the holder of this ticket may send the request to this server, as claimed before.
    pub fn may_run_at(
        &mut self,
        fingerprint: u128,
        ticket: u64,
        server: ServerKey,
        now: Instant,
    ) -> RunStep {
        if let Some(step) = self.step_by_evidence(fingerprint, now) {
            return step;
        }
        let own_claim = self.records.get(&fingerprint).and_then(|record| record.own_claim);
        let is_held = own_claim.is_some_and(|claim| {
            (claim.ticket, claim.stage, claim.server) == (ticket, ClaimStage::Running, server)
        });
        if is_held { RunStep::RunAt(server) } else { RunStep::Wait(POLL_INTERVAL) }
    }

    /// Other suspected requests that run at the server, as far as this host knows.
    pub fn suspects_running_at(&self, server: ServerKey, fingerprint: u128, now: Instant) -> usize {
        let neighbors = self.neighbors(fingerprint, ClaimScope::All, now);
        neighbors.get(&server).map_or(0, Vec::len)
    }

    /// The step where it does not depend on claims.
    fn step_by_evidence(&mut self, fingerprint: u128, now: Instant) -> Option<RunStep> {
        let conf = self.conf;
        let Some(record) = self.records.get_mut(&fingerprint) else { return Some(RunStep::Run) };
        let is_kept = record.retain(&conf, now);
        if record.kind == SuspectKind::Part {
            return (!is_kept || record.possible() == 0).then_some(RunStep::Run);
        }
        if conf.max_crashes <= record.confirmed() && is_kept {
            return Some(RunStep::Convicted);
        }
        if !is_kept || record.possible() == 0 {
            return Some(RunStep::Run);
        }
        (conf.max_crashes <= record.possible()).then_some(RunStep::Wait(POLL_INTERVAL))
    }

    /// Whether this request runs, or goes first at another host.
    fn runs_elsewhere(&self, fingerprint: u128, now: Instant) -> bool {
        let own_order = claim_order(fingerprint, &self.own);
        let goes_first = |host: &HostName| claim_order(fingerprint, host) < own_order;
        let Some(record) = self.records.get(&fingerprint) else { return false };
        self.running_at(record.kind, fingerprint, now).is_some()
            || record.is_claimed_by_others(goes_first, now)
    }

    /// Publishes a claim of the best server; none if the request has to wait for one.
    fn claim_server(
        &mut self,
        fingerprint: u128,
        ticket: u64,
        servers: &[ServerKey],
        moves: u8,
        now: Instant,
    ) -> RunStep {
        let neighbors = self.neighbors(fingerprint, ClaimScope::All, now);
        let server = self.pick_server(fingerprint, servers, &neighbors);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            let stage = ClaimStage::Waiting;
            let claim = |server| OwnClaim { ticket, stage, server, published: None, moves };
            let had_claim = record.own_claim.is_some();
            record.own_claim = server.map(claim);
            if had_claim || server.is_some() {
                record.mark_changed(now);
            }
        }
        RunStep::Wait(POLL_INTERVAL)
    }

    /// Whether a settled claim holds against those that go first.
    fn keeps_server(
        &self,
        fingerprint: u128,
        claim: OwnClaim,
        servers: &[ServerKey],
        now: Instant,
    ) -> bool {
        let first = self.neighbors(fingerprint, ClaimScope::First, now);
        let Some(related) = self.related_at(fingerprint, claim.server, &first) else {
            return false;
        };
        if self.is_strong(fingerprint) {
            return !exceeds_risk(&first, claim.server, servers);
        }
        if related == 0 || MAX_SPREAD_MOVES <= claim.moves {
            return true;
        }
        let all = self.neighbors(fingerprint, ClaimScope::All, now);
        let at_others =
            servers.iter().filter_map(|server| self.related_at(fingerprint, *server, &all));
        // Moving by one would only exchange places.
        at_others.min().is_none_or(|fewest| related <= fewest + 1)
    }

    /// The server that the request should run at, among the less loaded half of those that suit it best.
    fn pick_server(
        &self,
        fingerprint: u128,
        servers: &[ServerKey],
        neighbors: &Neighbors,
    ) -> Option<ServerKey> {
        let mut possible: Vec<(usize, ServerKey)> = Vec::new();
        for server in servers {
            let related = self.related_at(fingerprint, *server, neighbors);
            possible.extend(related.map(|related| (related, *server)));
        }
        if self.is_strong(fingerprint) {
            possible.retain(|(_, server)| !exceeds_risk(neighbors, *server, servers));
        }
        let fewest = possible.iter().map(|(related, _)| *related).min()?;
        let mut best: Vec<ServerKey> = possible
            .into_iter()
            .filter(|(related, _)| *related == fewest)
            .map(|(_, server)| server)
            .collect();
        best.truncate(best.len().div_ceil(2));
        let order =
            |server: &ServerKey| xxh3_64_with_seed(&server.0.to_le_bytes(), fingerprint as u64);
        best.into_iter().max_by_key(order)
    }

    /// Suspects at a server that share a crash with the request; `None` if it must not run there.
    fn related_at(
        &self,
        fingerprint: u128,
        server: ServerKey,
        neighbors: &Neighbors,
    ) -> Option<usize> {
        let is_strong = self.is_strong(fingerprint);
        let neighbors = neighbors.get(&server).map(Vec::as_slice).unwrap_or_default();
        let must_be_alone = neighbors.iter().any(|neighbor| is_strong || neighbor.is_strong);
        let related = neighbors.iter().filter(|neighbor| neighbor.is_related).count();
        (!must_be_alone).then_some(related)
    }

    /// Other suspected requests by the servers that they have claimed.
    fn neighbors(&self, fingerprint: u128, scope: ClaimScope, now: Instant) -> Neighbors {
        let mut neighbors = Neighbors::new();
        let Some(own_record) = self.records.get(&fingerprint) else { return neighbors };
        let own_order = request_order(fingerprint);
        for (other, record) in &self.records {
            if *other == fingerprint || record.possible() == 0 {
                continue;
            }
            let mut claims = record.claimed_servers(now);
            if record.kind == SuspectKind::Request {
                let running = self.runs.servers_of(*other);
                claims.extend(running.map(|server| (server, ClaimStage::Running)));
            }
            for (server, stage) in claims {
                let goes_first = stage == ClaimStage::Running || request_order(*other) < own_order;
                if scope == ClaimScope::First && !goes_first {
                    continue;
                }
                let is_strong = is_strong(record);
                let is_related = record.shares_crash(own_record);
                let neighbor = Neighbor { is_strong, is_related };
                neighbors.entry(server).or_default().push(neighbor);
            }
        }
        neighbors
    }

    fn is_strong(&self, fingerprint: u128) -> bool {
        self.records.get(&fingerprint).is_some_and(is_strong)
    }
}

fn is_strong(record: &SuspectRecord) -> bool {
    MIN_STRONG_CRASHES <= record.possible()
}

/// Whether one more strong suspect, at this server, puts more than half of the servers at risk.
fn exceeds_risk(neighbors: &Neighbors, server: ServerKey, servers: &[ServerKey]) -> bool {
    let has_strong = |neighbors: &Vec<Neighbor>| neighbors.iter().any(|other| other.is_strong);
    let at_risk = servers
        .iter()
        .filter(|other| **other != server && neighbors.get(*other).is_some_and(has_strong));
    (servers.len() / 2).max(1) <= at_risk.count()
}

/// Order in which hosts run a request that several of them claim at once.
fn claim_order(fingerprint: u128, host: &HostName) -> (u64, &str) {
    (xxh3_64_with_seed(host.as_str().as_bytes(), fingerprint as u64), host.as_str())
}

/// Order in which requests keep a server that several of them claim at once.
fn request_order(fingerprint: u128) -> (u64, u128) {
    (xxh3_64_with_seed(&fingerprint.to_le_bytes(), 0), fingerprint)
}
