//! The servers that a prompt belongs to.

use crate::FleetView;
use crate::PromptChain;
use crate::mix::mix;
use crate::mix::to_unit_interval;
use crate::server_list::MAX_LIST_LEN;
use crate::server_list::ServerList;

/// The group's servers in the order of the prompt's preference.
///
/// The group's hash picks the servers and the anchor's hash the order among them, so that what the
/// group's prompts have in common is kept on few servers, and each prompt on one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreferenceList {
    members: ServerList,
}

impl PreferenceList {
    /// From the plan; a group that the plan leaves out belongs to the first server of its list.
    /// Without a plan the group's share of the demand gives the width.
    pub(crate) fn new(
        view: &FleetView,
        chain: &PromptChain,
        width: impl FnOnce() -> f64,
    ) -> Option<PreferenceList> {
        let anchor = chain.anchor()?.hash.0;
        let group = chain.group()?.hash;
        if let Some(shares) = view.planned_shares(group) {
            return Some(PreferenceList {
                members: rendezvous_order(view, anchor, shares.iter().copied()),
            });
        }
        if view.has_plan() {
            let mut members = ServerList::new();
            members.push(view.ring().first(group.0)?);
            return Some(PreferenceList { members });
        }
        let width = width().clamp(1.0, MAX_LIST_LEN as f64);
        let list = view.ring().preference_list(group.0, width.ceil() as usize);
        let weights = list.as_slice().iter().zip(0..).map(|(index, rank)| {
            let weight = (width - f64::from(rank)).min(1.0);
            (*index, weight)
        });
        let members = rendezvous_order(view, anchor, weights);
        (0 < members.len()).then_some(PreferenceList { members })
    }

    pub(crate) fn members(&self) -> &[u32] {
        self.members.as_slice()
    }
}

/// Weighted rendezvous hashing: a server's chance to be first is its weight, and a change of one
/// weight moves prompts only to or from that server.
fn rendezvous_order(
    view: &FleetView,
    anchor: u64,
    weights: impl Iterator<Item = (u32, f64)>,
) -> ServerList {
    let mut scores = [(0.0, 0); MAX_LIST_LEN];
    let mut len = 0;
    for (index, weight) in weights.filter(|(_, weight)| 0.0 < *weight).take(MAX_LIST_LEN) {
        let uniform = to_unit_interval(mix(anchor, view.name_hash(index)));
        scores[len] = (-uniform.ln() / weight, index);
        len += 1;
    }
    scores[..len].sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut list = ServerList::new();
    for (_, index) in &scores[..len] {
        list.push(*index);
    }
    list
}
