//! Joining and leaving the fleet.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::PeerCore;
use crate::MemberRecord;
use crate::MemberState;
use crate::PeerNews;
use crate::RecordKind;
use crate::SpreadScope;
use crate::wire::JoinResponsePart;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::encoded_len;

/// Number of joining hosts per period that get all records. Others get a sample of the members and
/// ask one of those, which limits the load when all hosts start at once.
pub(super) const MAX_FULL_JOIN_RESPONSES_PER_PERIOD: u32 = 4;
/// Number of join attempts made every tick; later attempts are made every period.
pub(super) const MAX_FAST_JOIN_ATTEMPTS: u32 = 10;
/// Maximum number of seeds; the newest are kept.
pub(super) const MAX_SEEDS: usize = 1_024;
/// Number of members in a sample.
const SAMPLE_SIZE: usize = 16;
/// Maximum bytes of records in one part of a join response.
const MAX_PART_BYTES: usize = 16 * 1_024;

impl PeerCore {
    /// Retries until a peer has sent all its records.
    pub(super) fn retry_join(&mut self) {
        let is_fast = self.join_attempts < MAX_FAST_JOIN_ATTEMPTS;
        if !self.joined && (is_fast || self.latest_ms >= self.next_period_ms) {
            self.send_join_request();
        }
    }

    /// Sends a join request to a random seed or member.
    pub(super) fn send_join_request(&mut self) {
        let own = self.members.own().address;
        let members = self.members.present_peers().map(|record| record.address);
        let known: Vec<SocketAddr> =
            members.chain(self.seeds.iter().copied()).filter(|address| *address != own).collect();
        if let Some(&address) = known.choose(&mut self.rng) {
            self.join_attempts += 1;
            self.send(address, PeerMessage::JoinRequest);
        }
    }

    /// Contacts one seed that is not a present member and one member that is gone, so that the two
    /// sides of a healed partition find each other.
    pub(super) fn contact_missing_peers(&mut self, now_ms: u64) {
        let known_addresses: Vec<SocketAddr> =
            self.members.present_peers().map(|record| record.address).collect();
        let own = self.members.own().address;
        let is_unknown = |seed: &&SocketAddr| !known_addresses.contains(*seed) && **seed != own;
        let unknown_seeds: Vec<SocketAddr> =
            self.seeds.iter().filter(is_unknown).copied().collect();
        if let Some(&address) = unknown_seeds.choose(&mut self.rng) {
            self.send(address, PeerMessage::JoinRequest);
        }
        let gone: Vec<MemberRecord> = self
            .members
            .records()
            .filter(|record| record.state == MemberState::Gone)
            .cloned()
            .collect();
        if let Some(record) = gone.choose(&mut self.rng) {
            self.send_member(record.address, record.id(), now_ms);
        }
    }

    pub(super) fn handle_join_request(&mut self, from: &MemberRecord, now_ms: u64) {
        if self.full_join_responses_left == 0 {
            let records = self.member_sample(now_ms);
            self.send(
                from.address,
                PeerMessage::JoinResponse { part: JoinResponsePart::Sample, records },
            );
            return;
        }
        self.full_join_responses_left -= 1;
        let mut parts = split_by_size(self.records_for(from, now_ms));
        let last = parts.pop().unwrap_or_default();
        for records in parts {
            self.send(
                from.address,
                PeerMessage::JoinResponse { part: JoinResponsePart::More, records },
            );
        }
        self.send(
            from.address,
            PeerMessage::JoinResponse { part: JoinResponsePart::Last, records: last },
        );
    }

    fn member_sample(&mut self, now_ms: u64) -> Vec<PeerRecord> {
        let ids: Vec<u64> = self.members.present_peers().map(MemberRecord::id).collect();
        let chosen: Vec<u64> = ids.choose_multiple(&mut self.rng, SAMPLE_SIZE).copied().collect();
        let records = chosen.into_iter().filter_map(|id| self.members.current_record(id, now_ms));
        records.map(PeerRecord::Member).collect()
    }

    fn records_for(&self, target: &MemberRecord, now_ms: u64) -> Vec<PeerRecord> {
        let ids = self.members.ids().into_iter();
        let members =
            ids.filter_map(|id| self.members.current_record(id, now_ms)).map(PeerRecord::Member);
        let keys = self.items.keys().into_iter().filter(|key| self.is_in_scope(key.kind, target));
        let items =
            keys.filter_map(|key| self.items.current_record(key, now_ms)).map(PeerRecord::Item);
        members.chain(items).collect()
    }

    /// Whether records of this kind may be sent to `target`.
    pub(super) fn is_in_scope(&self, kind: RecordKind, target: &MemberRecord) -> bool {
        match kind.row().scope {
            SpreadScope::Fleet => true,
            SpreadScope::Zone => target.zone == self.members.own().zone,
            SpreadScope::Aggregator => false,
        }
    }

    pub(super) fn handle_join_response(
        &mut self,
        from: &MemberRecord,
        part: JoinResponsePart,
        records: Vec<PeerRecord>,
        now_ms: u64,
    ) {
        self.merge_records(from, records, now_ms);
        if part == JoinResponsePart::Last && !self.joined {
            self.joined = true;
            self.join_attempts = 0;
            self.neighbors.refresh(&self.members, &mut self.rng);
            self.notify(PeerNews::Joined { from: from.host.clone() });
        }
    }

    /// Sends the departure to a sample of peers, which spread it by gossip.
    pub(super) fn announce_leave(&mut self) {
        let record = self.members.own().clone();
        let addresses: Vec<SocketAddr> =
            self.members.present_peers().map(|other| other.address).collect();
        let chosen: Vec<SocketAddr> =
            addresses.choose_multiple(&mut self.rng, SAMPLE_SIZE).copied().collect();
        for address in chosen {
            self.send(
                address,
                PeerMessage::Update { records: vec![PeerRecord::Member(record.clone())] },
            );
        }
    }
}

fn split_by_size(records: Vec<PeerRecord>) -> Vec<Vec<PeerRecord>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for record in records {
        let length = encoded_len(&record);
        if bytes + length > MAX_PART_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += length;
        part.push(record);
    }
    parts.push(part);
    parts
}
