//! Undecided claims of this coordinator.

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ClaimCall;
use crate::KeyHash;
use crate::NewClaim;

/// A claim of this coordinator that is not decided yet.
#[derive(Debug)]
pub(crate) struct OwnClaim {
    /// The entry to append.
    pub(crate) entry: NewClaim,
    /// The waiting call; `None` once the wait has ended.
    pub(crate) call: Option<ClaimCall>,
    /// Deadline of the append.
    pub(crate) append_by: Instant,
    /// The record that it was first appended in.
    pub(crate) sequence: Option<u64>,
}

/// Undecided claims of this coordinator, at most one for each key.
#[derive(Debug, Default)]
pub(crate) struct OwnClaims {
    claims: IndexMap<u64, OwnClaim>,
    by_key: IndexMap<KeyHash, u64>,
}

impl OwnClaims {
    pub(crate) fn insert(&mut self, claim: OwnClaim) {
        self.by_key.insert(claim.entry.key, claim.entry.number);
        self.claims.insert(claim.entry.number, claim);
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<OwnClaim> {
        let claim = self.claims.swap_remove(&number)?;
        self.by_key.swap_remove(&claim.entry.key);
        Some(claim)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut OwnClaim> {
        self.claims.get_mut(&number)
    }

    pub(crate) fn of_key(&self, key: KeyHash) -> Option<&OwnClaim> {
        self.by_key.get(&key).and_then(|number| self.claims.get(number))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether a call waits for the claim.
    pub(crate) fn is_wanted(&self, number: u64) -> bool {
        let call = self.claims.get(&number).and_then(|claim| claim.call.as_ref());
        call.is_some_and(|call| !call.reply.is_closed())
    }

    /// The numbers of the claims that were put in a record up to `sequence`.
    pub(crate) fn up_to(&self, sequence: u64) -> Vec<u64> {
        let put = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.sequence.is_some_and(|put| put <= sequence));
        put.map(|(number, _)| *number).collect()
    }

    /// The numbers of the claims whose wait is over.
    pub(crate) fn overdue(&self, now: Instant) -> Vec<u64> {
        let over =
            self.claims.iter().filter(|(_, claim)| claim.call.is_some() && claim.append_by <= now);
        over.map(|(number, _)| *number).collect()
    }

    /// Removes and returns all claims.
    pub(crate) fn take_all(&mut self) -> Vec<OwnClaim> {
        self.by_key.clear();
        self.claims.drain(..).map(|(_, claim)| claim).collect()
    }
}
