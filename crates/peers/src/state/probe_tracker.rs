//! Outstanding probes, and the order in which hosts are probed.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::MemberRecord;
use crate::state::member_table::MemberTable;

/// Maximum fraction of probes sent to other zones, unless the own zone has only a few hosts.
const MAX_CROSS_ZONE_RATIO: f64 = 0.25;

#[derive(Clone, Debug)]
enum ProbeOrigin {
    /// Started by this host.
    Own,
    /// Requested by another host as an indirect probe.
    Relayed { requester: SocketAddr, number: u64 },
}

#[derive(Clone, Debug)]
struct ProbeEntry {
    target: u64,
    origin: ProbeOrigin,
    /// Hosts asked for an indirect probe; `None` until the direct probe times out.
    helpers: Option<Vec<u64>>,
    started_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AckResult {
    /// A probe of this host was answered.
    Completed,
    /// The answer must be forwarded to the host that requested the probe.
    Forward { requester: SocketAddr, number: u64 },
    /// The probe is no longer outstanding, or the sender was not asked.
    Unknown,
}

/// Outstanding probes by number.
#[derive(Debug, Default)]
pub(crate) struct ProbeTracker {
    next_number: u64,
    open: IndexMap<u64, ProbeEntry>,
    local_targets: Vec<u64>,
    cross_targets: Vec<u64>,
}

impl ProbeTracker {
    /// Starts a probe of this host.
    pub(crate) fn open(&mut self, target: u64, now_ms: u64) -> u64 {
        self.insert(target, ProbeOrigin::Own, now_ms)
    }

    /// Starts a probe on behalf of another host.
    pub(crate) fn open_relayed(
        &mut self,
        target: u64,
        requester: SocketAddr,
        number: u64,
        now_ms: u64,
    ) -> u64 {
        self.insert(target, ProbeOrigin::Relayed { requester, number }, now_ms)
    }

    fn insert(&mut self, target: u64, origin: ProbeOrigin, now_ms: u64) -> u64 {
        self.next_number += 1;
        self.open.insert(
            self.next_number,
            ProbeEntry { target, origin, helpers: None, started_ms: now_ms },
        );
        self.next_number
    }

    pub(crate) fn is_open_for(&self, target: u64) -> bool {
        self.open
            .values()
            .any(|entry| entry.target == target && matches!(entry.origin, ProbeOrigin::Own))
    }

    /// Handles an answer. Only the target and the hosts asked for an indirect probe may answer:
    /// the address of the target may have been reassigned to another host.
    pub(crate) fn acknowledge(&mut self, number: u64, from: u64) -> AckResult {
        let is_expected = self.open.get(&number).is_some_and(|entry| {
            let helpers = entry.helpers.as_deref().unwrap_or_default();
            entry.target == from || helpers.contains(&from)
        });
        if !is_expected {
            return AckResult::Unknown;
        }
        match self.open.swap_remove(&number).map(|entry| entry.origin) {
            Some(ProbeOrigin::Own) => AckResult::Completed,
            Some(ProbeOrigin::Relayed { requester, number }) => {
                AckResult::Forward { requester, number }
            }
            None => AckResult::Unknown,
        }
    }

    pub(crate) fn set_helpers(&mut self, number: u64, helpers: Vec<u64>) {
        if let Some(entry) = self.open.get_mut(&number) {
            entry.helpers = Some(helpers);
        }
    }

    /// Takes own probes that need indirect ones, each once, as (number, target).
    pub(crate) fn take_overdue(&mut self, now_ms: u64, timeout_ms: u64) -> Vec<(u64, u64)> {
        let mut overdue = Vec::new();
        for (&number, entry) in &mut self.open {
            let is_own = matches!(entry.origin, ProbeOrigin::Own);
            if is_own && entry.helpers.is_none() && now_ms >= entry.started_ms + timeout_ms {
                entry.helpers = Some(Vec::new());
                overdue.push((number, entry.target));
            }
        }
        overdue
    }

    /// Removes expired probes and returns the targets of this host's own ones.
    pub(crate) fn take_failed(&mut self, now_ms: u64, probe_interval_ms: u64) -> Vec<u64> {
        let mut failed = Vec::new();
        self.open.retain(|_, entry| {
            let is_open = now_ms < entry.started_ms + probe_interval_ms;
            if !is_open && matches!(entry.origin, ProbeOrigin::Own) {
                failed.push(entry.target);
            }
            is_open
        });
        failed
    }

    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }

    /// The next host to probe. Hosts are probed in shuffled rounds, so each is probed once per
    /// round.
    pub(crate) fn next_target(&mut self, members: &MemberTable, rng: &mut StdRng) -> Option<u64> {
        let zone = &members.own().zone;
        let local = members.present_peers().filter(|record| record.zone == *zone).count();
        let cross = members.present_peers().count() - local;
        let is_cross = rng.random_bool(cross_zone_ratio(local, cross));
        let targets = if is_cross { &mut self.cross_targets } else { &mut self.local_targets };
        if targets.is_empty() {
            let round = members.present_peers().filter(|record| (record.zone != *zone) == is_cross);
            targets.extend(round.map(MemberRecord::id));
            targets.shuffle(rng);
        }
        while let Some(id) = targets.pop() {
            if members.get(id).is_some_and(MemberRecord::is_present) {
                return Some(id);
            }
        }
        None
    }
}

fn cross_zone_ratio(local: usize, cross: usize) -> f64 {
    if local == 0 || cross == 0 {
        return if cross > 0 { 1.0 } else { 0.0 };
    }
    let even = cross as f64 / (local + cross) as f64;
    even.min(MAX_CROSS_ZONE_RATIO.max(1.0 / local as f64))
}
