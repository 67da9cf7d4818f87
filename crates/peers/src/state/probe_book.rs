//! Probes that wait for an answer, and whose turn it is.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::MemberRecord;
use crate::state::member_table::MemberTable;

/// Share of probes that go to other zones, where the own zone has more than a few hosts.
const CROSS_SHARE: f64 = 0.25;

/// For whom a probe is made.
#[derive(Clone, Debug)]
enum ProbeCause {
    /// For this host itself.
    Own,
    /// For another host that gets no answer.
    Relayed { asker: SocketAddr, number: u64 },
}

#[derive(Clone, Debug)]
struct ProbeEntry {
    target: u64,
    cause: ProbeCause,
    /// Hosts that were asked to probe too; `None` before that.
    helpers: Option<Vec<u64>>,
    started_ms: u64,
}

/// What an answer brings about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeAnswer {
    /// Nothing more.
    Settled,
    /// The host that asked is to be told.
    Relay { asker: SocketAddr, number: u64 },
    /// The probe is not open any more.
    Unknown,
}

/// Open probes by number.
#[derive(Debug, Default)]
pub(crate) struct ProbeBook {
    next_number: u64,
    open: IndexMap<u64, ProbeEntry>,
    local_turns: Vec<u64>,
    cross_turns: Vec<u64>,
}

impl ProbeBook {
    /// Opens a probe of its own.
    pub(crate) fn open(&mut self, target: u64, now_ms: u64) -> u64 {
        self.insert(target, ProbeCause::Own, now_ms)
    }

    /// Opens a probe for another host.
    pub(crate) fn open_relayed(
        &mut self,
        target: u64,
        asker: SocketAddr,
        number: u64,
        now_ms: u64,
    ) -> u64 {
        self.insert(target, ProbeCause::Relayed { asker, number }, now_ms)
    }

    fn insert(&mut self, target: u64, cause: ProbeCause, now_ms: u64) -> u64 {
        self.next_number += 1;
        self.open.insert(
            self.next_number,
            ProbeEntry { target, cause, helpers: None, started_ms: now_ms },
        );
        self.next_number
    }

    pub(crate) fn is_open_for(&self, target: u64) -> bool {
        self.open
            .values()
            .any(|entry| entry.target == target && matches!(entry.cause, ProbeCause::Own))
    }

    /// An answer counts when the target itself or a helper gives it. Another host may have the
    /// target's address by now, and must not keep it alive.
    pub(crate) fn answered(&mut self, number: u64, from: u64) -> ProbeAnswer {
        let is_wanted = self.open.get(&number).is_some_and(|entry| {
            let helpers = entry.helpers.as_deref().unwrap_or_default();
            entry.target == from || helpers.contains(&from)
        });
        if !is_wanted {
            return ProbeAnswer::Unknown;
        }
        match self.open.swap_remove(&number).map(|entry| entry.cause) {
            Some(ProbeCause::Own) => ProbeAnswer::Settled,
            Some(ProbeCause::Relayed { asker, number }) => ProbeAnswer::Relay { asker, number },
            None => ProbeAnswer::Unknown,
        }
    }

    /// These hosts were asked to probe the same target.
    pub(crate) fn note_helpers(&mut self, number: u64, helpers: Vec<u64>) {
        if let Some(entry) = self.open.get_mut(&number) {
            entry.helpers = Some(helpers);
        }
    }

    /// Own probes that others are to be asked to make too, each once: number and target.
    pub(crate) fn take_late(&mut self, now_ms: u64, timeout_ms: u64) -> Vec<(u64, u64)> {
        let mut late = Vec::new();
        for (&number, entry) in &mut self.open {
            let is_own = matches!(entry.cause, ProbeCause::Own);
            if is_own && entry.helpers.is_none() && now_ms >= entry.started_ms + timeout_ms {
                entry.helpers = Some(Vec::new());
                late.push((number, entry.target));
            }
        }
        late
    }

    /// Targets of own probes that got no answer at all; relayed ones are forgotten.
    pub(crate) fn take_failed(&mut self, now_ms: u64, period_ms: u64) -> Vec<u64> {
        let mut failed = Vec::new();
        self.open.retain(|_, entry| {
            let is_open = now_ms < entry.started_ms + period_ms;
            if !is_open && matches!(entry.cause, ProbeCause::Own) {
                failed.push(entry.target);
            }
            is_open
        });
        failed
    }

    /// Forgets all open probes.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }

    /// Whose turn it is. Each host has one turn in a shuffled round, so none waits for ever.
    pub(crate) fn next_target(&mut self, members: &MemberTable, rng: &mut StdRng) -> Option<u64> {
        let zone = &members.own().zone;
        let local = members.others().filter(|record| record.zone == *zone).count();
        let cross = members.others().count() - local;
        let is_cross = rng.random_bool(cross_share(local, cross));
        let turns = if is_cross { &mut self.cross_turns } else { &mut self.local_turns };
        if turns.is_empty() {
            let round = members.others().filter(|record| (record.zone != *zone) == is_cross);
            turns.extend(round.map(MemberRecord::id));
            turns.shuffle(rng);
        }
        while let Some(id) = turns.pop() {
            if members.get(id).is_some_and(MemberRecord::is_present) {
                return Some(id);
            }
        }
        None
    }
}

fn cross_share(local: usize, cross: usize) -> f64 {
    if local == 0 || cross == 0 {
        return if cross > 0 { 1.0 } else { 0.0 };
    }
    let even = cross as f64 / (local + cross) as f64;
    even.min(CROSS_SHARE.max(1.0 / local as f64))
}
