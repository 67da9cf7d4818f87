//! Queries on the state of a simulated fleet.

use fulmargate_names::HostName;
use fulmargate_peers::MemberState;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;

use super::RunState;
use super::SimNet;

impl SimNet {
    /// Indices of the running hosts.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&index| self.nodes[index].run_state == RunState::Running)
            .collect()
    }

    /// Indices of the hosts in a zone.
    pub fn zone_hosts(&self, name: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&index| self.nodes[index].conf.zone.as_str() == name)
            .collect()
    }

    /// State of `subject` in the member table of `observer`.
    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        self.nodes[observer].core.member(&self.nodes[subject].conf.host).map(|record| record.state)
    }

    /// Whether `subject` has the given state in the member tables of all running hosts.
    pub fn all_see_state(&self, subject: usize, state: MemberState) -> bool {
        self.running().into_iter().all(|observer| self.state(observer, subject) == Some(state))
    }

    /// Whether every running host sees every running host alive in its current incarnation.
    pub fn all_alive(&self) -> bool {
        let running = self.running();
        running.iter().all(|&observer| {
            running.iter().all(|&subject| {
                let record = self.nodes[observer].core.member(&self.nodes[subject].conf.host);
                record.is_some_and(|record| {
                    record.state == MemberState::Alive
                        && record.incarnation == self.nodes[subject].conf.incarnation
                })
            })
        })
    }

    /// Whether each running host of `hosts` has a matching item.
    pub fn all_have_item(&self, hosts: &[usize], matches: impl Fn(&PeerItem) -> bool) -> bool {
        let running =
            hosts.iter().filter(|&&index| self.nodes[index].run_state == RunState::Running);
        running.into_iter().all(|&index| self.has_item(index, &matches))
    }

    pub fn has_item(&self, index: usize, matches: impl Fn(&PeerItem) -> bool) -> bool {
        self.nodes[index].core.items(self.now_ms).iter().any(|record| matches(&record.item))
    }

    /// Member states reported to `observer` since its news were last cleared. Clears its news.
    pub fn take_member_states(&mut self, observer: usize) -> Vec<(HostName, MemberState)> {
        let news = std::mem::take(&mut self.nodes[observer].news);
        let members = news.into_iter().filter_map(|(_, news)| match news {
            PeerNews::Member { member } => Some((member.host, member.state)),
            _ => None,
        });
        members.collect()
    }

    pub fn clear_news(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.news.clear());
    }

    /// Number of matching news reported to a host.
    pub fn count_events(&self, index: usize, matches: impl Fn(&PeerNews) -> bool) -> usize {
        self.nodes[index].news.iter().filter(|(_, news)| matches(news)).count()
    }
}
