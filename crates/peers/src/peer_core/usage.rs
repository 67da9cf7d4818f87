//! Use by teams, summed up for each zone by one of its hosts.
//!
//! Were each host's use told to each other host, bytes would grow with the square of the fleet.

use fulmargate_names::TeamName;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::PeerCore;
use crate::ItemRecord;
use crate::MemberRecord;
use crate::PeerItem;
use crate::RecordKind;
use crate::TeamRate;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;

/// Time between two sums of a zone, for each zone that sends its own.
const SPACING_MS: u64 = 400;
/// The shortest time between two sums.
const SHORTEST_MS: u64 = 1_000;

impl PeerCore {
    /// Hands this host's use to the host that sums up its zone.
    pub(super) fn put_usage(&mut self, item: PeerItem, ttl_ms: u64, now_ms: u64) {
        let reporter = self.reporter();
        if reporter.host == self.members.own().host {
            self.put_now(item, ttl_ms, now_ms);
            return;
        }
        self.sequence += 1;
        let own = self.members.own();
        let record = ItemRecord {
            origin: own.host.clone(),
            incarnation: own.incarnation,
            sequence: self.sequence,
            order: 0,
            remaining_ms: ttl_ms,
            item,
        };
        self.send(
            reporter.address,
            PeerMessage::Update { records: vec![PeerRecord::Item(record)] },
        );
    }

    /// The first present host of the zone by name. Two hosts may both believe to be it for a while:
    /// each sums up what it is sent, and the later sum stands.
    fn reporter(&self) -> MemberRecord {
        let own = self.members.own();
        let zone = self.members.others().filter(|record| record.zone == own.zone);
        zone.chain(std::iter::once(own))
            .min_by(|a, b| a.host.cmp(&b.host))
            .cloned()
            .unwrap_or_else(|| own.clone())
    }

    pub(super) fn report_usage(&mut self, now_ms: u64) {
        if now_ms < self.next_usage_ms || self.reporter().host != self.members.own().host {
            return;
        }
        let zones: IndexSet<&str> =
            self.members.others().map(|record| record.zone.as_str()).collect();
        self.next_usage_ms = now_ms + (SPACING_MS * zones.len() as u64).max(SHORTEST_MS);
        let hosts = self.items.items(RecordKind::TeamUsage).count() as u32;
        if hosts > 0 {
            let item = PeerItem::ZoneUsage {
                zone: self.members.own().zone.clone(),
                hosts,
                teams: self.sum_usage(),
            };
            self.put_now(item.bounded(), RecordKind::ZoneUsage.row().ttl_ms, now_ms);
        }
    }

    fn sum_usage(&self) -> Vec<TeamRate> {
        let mut sums: IndexMap<TeamName, TeamRate> = IndexMap::new();
        for item in self.items.items(RecordKind::TeamUsage) {
            let PeerItem::TeamUsage { teams, .. } = item else {
                continue;
            };
            for rate in teams {
                let empty =
                    TeamRate { team: rate.team.clone(), milli_requests_per_s: 0, tokens_per_s: 0 };
                let sum = sums.entry(rate.team.clone()).or_insert(empty);
                sum.milli_requests_per_s =
                    sum.milli_requests_per_s.saturating_add(rate.milli_requests_per_s);
                sum.tokens_per_s = sum.tokens_per_s.saturating_add(rate.tokens_per_s);
            }
        }
        sums.into_values().collect()
    }
}
