//! The writers of a claim stream.

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use indexmap::IndexMap;

use crate::ClaimerId;

/// A claimer's place in the table.
pub(crate) type ClaimerIndex = u32;

/// The writers of a claim stream. Rows are never removed: one for each start of each router since the table was begun.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimerTable {
    /// The highest sequence number that has landed.
    rows: IndexMap<ClaimerId, Option<u64>>,
    /// The latest start of each host's router.
    latest: IndexMap<HostName, Incarnation>,
}

impl ClaimerTable {
    /// The claimer's index, assigned on first use.
    pub(crate) fn intern(&mut self, claimer: &ClaimerId) -> ClaimerIndex {
        if let Some(index) = self.rows.get_index_of(claimer) {
            return index as ClaimerIndex;
        }
        self.observe(&claimer.host, claimer.incarnation);
        let (index, _) = self.rows.insert_full(claimer.clone(), None);
        index as ClaimerIndex
    }

    /// The claimer at an index.
    pub(crate) fn claimer(&self, index: ClaimerIndex) -> &ClaimerId {
        let (claimer, _) = self.rows.get_index(index as usize).expect("places come from intern");
        claimer
    }

    /// Records that a record has landed. Returns false if it is void.
    ///
    /// An append whose answer was lost may have been sent again, or abandoned while in flight, and land twice or
    /// late. If it counted, a released claim could be restored, and a claim that its claimer has abandoned could win.
    /// Each claimer has one append under way at a time, so the order of its numbers is the same for every reader.
    pub(crate) fn admit(&mut self, index: ClaimerIndex, sequence: u64) -> bool {
        let high = &mut self.rows[index as usize];
        if high.is_some_and(|high| sequence <= high) {
            return false;
        }
        *high = Some(sequence);
        true
    }

    /// Records that a host's router has started with this incarnation, or is known to have ended with the one before it.
    pub(crate) fn observe(&mut self, host: &HostName, incarnation: Incarnation) {
        let latest = self.latest.entry(host.clone()).or_insert(incarnation);
        *latest = incarnation.max(*latest);
    }

    /// Whether the claimer's process has ended: the host's router was started anew since.
    pub(crate) fn is_gone(&self, index: ClaimerIndex) -> bool {
        let claimer = self.claimer(index);
        self.latest.get(&claimer.host).is_some_and(|latest| claimer.incarnation < *latest)
    }
}
