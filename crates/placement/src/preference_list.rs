//! Preference lists of prompts.

use crate::FleetView;
use crate::PromptChain;
use crate::mix::mix;
use crate::mix::to_unit_interval;
use crate::server_list::MAX_LIST_LEN;
use crate::server_list::ServerList;

/// The servers of the prompt's group, in the prompt's order of preference.
///
/// The group hash selects the servers and the anchor hash their order. A prefix common to a group
/// is thus cached on few servers, and each prompt on one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreferenceList {
    members: ServerList,
}

impl PreferenceList {
    /// Uses the servers of the plan. A group that is not in the plan has only its hash-ring server.
    /// Without a plan, `width` gives the number of servers.
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
        let list = view.ring().ring_order(group.0, width.ceil() as usize);
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

/// Orders servers by weighted rendezvous hashing: the probability of being first is proportional to
/// the weight, and changing one weight moves prompts only to or from that server.
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
