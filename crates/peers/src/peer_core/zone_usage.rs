//! Aggregation of team usage per zone.
//!
//! One host per zone collects the usage of the others and publishes the sum. If every host
//! published its own usage to the whole fleet, traffic would grow quadratically with the number of
//! hosts.

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

/// Report interval, multiplied by the number of zones that have present peers.
const REPORT_INTERVAL_PER_ZONE_MS: u64 = 400;
const MIN_REPORT_INTERVAL_MS: u64 = 1_000;

impl PeerCore {
    /// Sends the usage of this host to the aggregator of its zone.
    pub(super) fn publish_usage(&mut self, item: PeerItem, ttl_ms: u64, now_ms: u64) {
        let aggregator = self.aggregator();
        if aggregator.host == self.members.own().host {
            self.publish_record(item, ttl_ms, now_ms);
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
            aggregator.address,
            PeerMessage::Update { records: vec![PeerRecord::Item(record)] },
        );
    }

    /// The first present host of the zone by name. Two hosts may temporarily consider themselves
    /// the aggregator; the later report then wins.
    fn aggregator(&self) -> MemberRecord {
        let own = self.members.own();
        let zone = self.members.present_peers().filter(|record| record.zone == own.zone);
        zone.chain(std::iter::once(own))
            .min_by(|a, b| a.host.cmp(&b.host))
            .cloned()
            .unwrap_or_else(|| own.clone())
    }

    pub(super) fn publish_zone_usage(&mut self, now_ms: u64) {
        if now_ms < self.next_usage_report_ms || self.aggregator().host != self.members.own().host {
            return;
        }
        let zones: IndexSet<&str> =
            self.members.present_peers().map(|record| record.zone.as_str()).collect();
        self.next_usage_report_ms =
            now_ms + (REPORT_INTERVAL_PER_ZONE_MS * zones.len() as u64).max(MIN_REPORT_INTERVAL_MS);
        let hosts = self.items.items(RecordKind::TeamUsage).count() as u32;
        if hosts > 0 {
            let item = PeerItem::ZoneUsage {
                zone: self.members.own().zone.clone(),
                hosts,
                teams: self.aggregate_usage(),
            };
            self.publish_record(item.truncated(), RecordKind::ZoneUsage.row().ttl_ms, now_ms);
        }
    }

    fn aggregate_usage(&self) -> Vec<TeamRate> {
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
