//! Which parts of prompts crash servers, by the crashes on record for each.

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashProof;
use crate::ServerKey;
use crate::suspect_record::PartCrash;
use crate::suspect_record::SuspectRecord;

/// Crashes from which a part may be convicted.
const MIN_CRASHES: usize = 5;
/// Crashes that followed one after the other from which a part may be convicted. Servers that end together, such as
/// those of a rack, are evidence only once.
const MIN_CHAIN: usize = 3;
/// The same from which a part is tried.
const MIN_TRIED_CHAIN: usize = 2;
/// Crashes without another part, one after the other, that tell a part from it.
const MIN_SEPARATE_CHAIN: usize = 2;
/// Parts that are compared with each other, those with the most crashes.
const MAX_CANDIDATES: usize = 128;

/// What the crashes on record say of a request, by its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStanding {
    /// It may run.
    Clear,
    /// It may run in a trial of this part.
    Tried(u128),
    /// It is rejected for this part.
    Convicted(u128),
}

/// What follows from the crashes of all parts.
#[derive(Debug, Default)]
pub(crate) struct PartVerdicts {
    /// Parts that may be guilty, each with those that may be in its place.
    rivals: IndexMap<u128, Vec<u128>>,
    /// Parts of which one request runs at a time, with their crashes.
    tried: IndexMap<u128, usize>,
}

impl PartVerdicts {
    /// Compares the crashes of these parts.
    pub(crate) fn of<'a>(
        records: impl Iterator<Item = (u128, &'a SuspectRecord)> + Clone,
    ) -> PartVerdicts {
        let candidates = candidates(records.clone());
        let mut rivals: IndexMap<u128, Vec<u128>> = IndexMap::new();
        for (part, crashes) in &candidates {
            let is_rival = |(other, others): &(&u128, &Vec<PartCrash>)| {
                *other != part && chain(&without(crashes, others)) < MIN_SEPARATE_CHAIN
            };
            let of_part = candidates.iter().filter(is_rival).map(|(other, _)| *other);
            rivals.insert(*part, of_part.collect());
        }
        let mut explained: IndexSet<ServerKey> = IndexSet::new();
        for (part, crashes) in &candidates {
            if rivals.get(part).is_some_and(Vec::is_empty) {
                explained.extend(crashes.iter().map(|crash| crash.server));
            }
        }
        let mut tried = IndexMap::new();
        for (part, record) in records {
            let mut crashes = record.part_crashes(CrashProof::Suspected);
            crashes.retain(|crash| !explained.contains(&crash.server));
            if MIN_TRIED_CHAIN <= chain(&crashes) {
                tried.insert(part, crashes.len());
            }
        }
        PartVerdicts { rivals, tried }
    }

    /// What they say of a request with these parts, in their order.
    pub(crate) fn standing(&self, parts: &[u128]) -> PartStanding {
        // One of a part and all its rivals is guilty, whichever it is.
        let holds_all = |part: &&u128| {
            let rivals = self.rivals.get(*part);
            rivals.is_some_and(|rivals| rivals.iter().all(|rival| parts.contains(rival)))
        };
        if let Some(part) = parts.iter().find(holds_all) {
            return PartStanding::Convicted(*part);
        }
        // Of parts with equal evidence the last one is shared by the fewest requests.
        let crashes = |part: &&u128| self.tried.get(*part).copied();
        let tried = parts.iter().filter(|part| self.tried.contains_key(*part));
        tried.max_by_key(crashes).map_or(PartStanding::Clear, |part| PartStanding::Tried(*part))
    }

    /// Whether the part is convicted by itself.
    pub(crate) fn is_convicted(&self, part: u128) -> bool {
        self.rivals.get(&part).is_some_and(Vec::is_empty)
    }

    /// Parts that may be guilty.
    pub(crate) fn candidates(&self) -> Vec<u128> {
        self.rivals.keys().copied().collect()
    }
}

fn candidates<'a>(
    records: impl Iterator<Item = (u128, &'a SuspectRecord)>,
) -> IndexMap<u128, Vec<PartCrash>> {
    let mut candidates: IndexMap<u128, Vec<PartCrash>> = IndexMap::new();
    for (part, record) in records.filter(|(_, record)| MIN_CRASHES <= record.confirmed()) {
        let crashes = record.part_crashes(CrashProof::Confirmed);
        if MIN_CHAIN <= chain(&crashes) {
            candidates.insert(part, crashes);
        }
    }
    candidates
        .sort_by(|part, crashes, other, others| (others.len(), part).cmp(&(crashes.len(), other)));
    candidates.truncate(MAX_CANDIDATES);
    candidates
}

/// The longest series of crashes in which each was under a run that began after the one before.
fn chain(crashes: &[PartCrash]) -> usize {
    let mut sorted = crashes.to_vec();
    sorted.sort_by_key(|crash| crash.at);
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for crash in sorted {
        if last.is_none_or(|last| last < crash.began) {
            count += 1;
            last = Some(crash.at);
        }
    }
    count
}

fn without(crashes: &[PartCrash], others: &[PartCrash]) -> Vec<PartCrash> {
    let is_shared = |crash: &PartCrash| others.iter().any(|other| other.server == crash.server);
    crashes.iter().copied().filter(|crash| !is_shared(crash)).collect()
}
