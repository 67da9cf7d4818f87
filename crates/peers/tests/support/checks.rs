//! What tests ask of a fleet.

use fulmargate_names::HostName;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;

use super::Power;
use super::SimNet;

impl SimNet {
    /// Indices of running hosts.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&index| self.nodes[index].power == Power::Running).collect()
    }

    /// Hosts of a zone.
    pub fn zone(&self, name: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&index| self.nodes[index].conf.zone.as_str() == name)
            .collect()
    }

    /// The state of one host as another holds it.
    pub fn state(&self, holder: usize, of: usize) -> Option<MemberState> {
        self.nodes[holder].core.member(&self.nodes[of].conf.host).map(|record| record.state)
    }

    /// Whether each running host holds the same state of a host.
    pub fn all_hold(&self, of: usize, state: MemberState) -> bool {
        self.running().into_iter().all(|holder| self.state(holder, of) == Some(state))
    }

    /// Whether each running host holds each running host to be alive in its present incarnation.
    pub fn all_alive(&self) -> bool {
        let running = self.running();
        running.iter().all(|&holder| {
            running.iter().all(|&of| {
                let held = self.nodes[holder].core.member(&self.nodes[of].conf.host);
                held.is_some_and(|record| {
                    record.state == MemberState::Alive
                        && record.incarnation == self.nodes[of].conf.incarnation
                })
            })
        })
    }

    /// Whether each running host of a group holds an item that satisfies a condition.
    pub fn all_have(&self, group: &[usize], wanted: impl Fn(&PeerItem) -> bool) -> bool {
        let running = group.iter().filter(|&&index| self.nodes[index].power == Power::Running);
        running.into_iter().all(|&index| self.has(index, &wanted))
    }

    pub fn has(&self, index: usize, wanted: impl Fn(&PeerItem) -> bool) -> bool {
        self.nodes[index].core.items(self.now_ms).iter().any(|record| wanted(&record.item))
    }

    /// States in which a host was shown to another one since it was told last, itself excluded.
    pub fn told_states(&mut self, holder: usize) -> Vec<(HostName, MemberState)> {
        let news = std::mem::take(&mut self.nodes[holder].news);
        let members = news.into_iter().filter_map(|(_, news)| match news {
            PeerNews::Member { member } => Some((member.host, member.state)),
            _ => None,
        });
        members.collect()
    }

    pub fn clear_news(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.news.clear());
    }

    /// News of one host that satisfy a condition.
    pub fn heard(&self, index: usize, wanted: impl Fn(&PeerNews) -> bool) -> usize {
        self.nodes[index].news.iter().filter(|(_, news)| wanted(news)).count()
    }
}
