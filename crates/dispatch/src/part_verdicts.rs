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
/// Crashes without other parts, one after the other, that tell a part from these.
const MIN_SEPARATE_CHAIN: usize = 2;
/// Parts that are compared with each other, those with the most crashes.
const MAX_COMPARED: usize = 128;

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
    /// Parts that have crashed servers one after the other, with all their crashes.
    suspects: IndexMap<u128, Vec<PartCrash>>,
    /// Parts of which one request runs at a time, with the number of their crashes.
    tried: IndexMap<u128, usize>,
}

impl PartVerdicts {
    /// Compares the crashes of these parts.
    pub(crate) fn of<'a>(records: impl Iterator<Item = (u128, &'a SuspectRecord)>) -> PartVerdicts {
        let mut verdicts = PartVerdicts { suspects: suspects(records), tried: IndexMap::new() };
        let mut explained: IndexSet<ServerKey> = IndexSet::new();
        for (part, crashes) in &verdicts.suspects {
            if verdicts.is_convicted(*part) {
                explained.extend(crashes.iter().map(|crash| crash.server));
            }
        }
        for (part, crashes) in &verdicts.suspects {
            let mut crashes = crashes.clone();
            crashes.retain(|crash| !explained.contains(&crash.server));
            if MIN_TRIED_CHAIN <= chain(&crashes) {
                verdicts.tried.insert(*part, crashes.len());
            }
        }
        verdicts
    }

    /// What they say of a request with these parts, in their order.
    pub(crate) fn standing(&self, parts: &[u128]) -> PartStanding {
        if let Some(part) = parts.iter().find(|part| self.is_guilty_among(**part, parts)) {
            return PartStanding::Convicted(*part);
        }
        // Of parts with equal evidence the last one is shared by the fewest requests.
        let crashes = |part: &&u128| self.tried.get(*part).copied();
        let tried = parts.iter().filter(|part| self.tried.contains_key(*part));
        tried.max_by_key(crashes).map_or(PartStanding::Clear, |part| PartStanding::Tried(*part))
    }

    /// Whether the part is convicted by itself.
    pub(crate) fn is_convicted(&self, part: u128) -> bool {
        self.is_guilty_among(part, &[part])
    }

    /// Parts that may be guilty, or were aboard with one.
    pub(crate) fn suspects(&self) -> Vec<u128> {
        self.suspects.keys().copied().collect()
    }

    /// Whether the part has enough crashes, and some that no part outside the request explains. Then it is guilty, or
    /// another one of the request is.
    fn is_guilty_among(&self, part: u128, parts: &[u128]) -> bool {
        let Some(crashes) = self.suspects.get(&part) else { return false };
        let mut crashes = crashes.clone();
        crashes.retain(|crash| crash.proof == CrashProof::Confirmed);
        if crashes.len() < MIN_CRASHES || chain(&crashes) < MIN_CHAIN {
            return false;
        }
        for (other, others) in &self.suspects {
            if !parts.contains(other) {
                let is_shared =
                    |crash: &PartCrash| others.iter().any(|other| other.server == crash.server);
                crashes.retain(|crash| !is_shared(crash));
            }
        }
        MIN_SEPARATE_CHAIN <= chain(&crashes)
    }
}

fn suspects<'a>(
    records: impl Iterator<Item = (u128, &'a SuspectRecord)>,
) -> IndexMap<u128, Vec<PartCrash>> {
    let mut suspects: IndexMap<u128, Vec<PartCrash>> = IndexMap::new();
    for (part, record) in records.filter(|(_, record)| MIN_TRIED_CHAIN <= record.possible()) {
        let crashes = record.part_crashes(CrashProof::Suspected);
        if MIN_TRIED_CHAIN <= chain(&crashes) {
            suspects.insert(part, crashes);
        }
    }
    suspects
        .sort_by(|part, crashes, other, others| (others.len(), part).cmp(&(crashes.len(), other)));
    suspects.truncate(MAX_COMPARED);
    suspects
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
