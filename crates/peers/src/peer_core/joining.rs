//! How a host comes to know the others.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::PeerCore;
use crate::MemberRecord;
use crate::MemberState;
use crate::PeerNews;
use crate::RecordKind;
use crate::SpreadScope;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::WelcomePart;
use crate::wire::encoded_len;

/// Newcomers that are told everything in one period; others get a sample and ask elsewhere. When
/// all hosts start at once, none is overrun.
pub(super) const WELCOMES_PER_PERIOD: u32 = 4;
/// Calls in quick succession before a newcomer slows down.
pub(super) const QUICK_TRIES: u32 = 10;
/// Seeds kept, the newest.
pub(super) const SEED_LIMIT: usize = 1_024;
/// Members in a sample.
const SAMPLE: usize = 16;
/// Bytes of records in one part of a welcome.
const PART_BYTES: usize = 16 * 1_024;

impl PeerCore {
    /// Until someone has told everything: a call each tick at first, then each period.
    pub(super) fn try_to_join(&mut self) {
        let is_quick = self.join_tries < QUICK_TRIES;
        if !self.joined && (is_quick || self.last_ms >= self.next_period_ms) {
            self.call_on_someone();
        }
    }

    /// Calls on a seed or member, taken at random.
    pub(super) fn call_on_someone(&mut self) {
        let own = self.members.own().address;
        let members = self.members.others().map(|record| record.address);
        let known: Vec<SocketAddr> =
            members.chain(self.seeds.iter().copied()).filter(|address| *address != own).collect();
        if let Some(&address) = known.choose(&mut self.rng) {
            self.join_tries += 1;
            self.send(address, PeerMessage::Join);
        }
    }

    /// Calls on one seed that is no member and on one member that is gone. This is how two parts
    /// of the fleet that have given each other up find each other again.
    pub(super) fn call_on_strangers(&mut self, now_ms: u64) {
        let held: Vec<SocketAddr> = self.members.others().map(|record| record.address).collect();
        let own = self.members.own().address;
        let strange = |seed: &&SocketAddr| !held.contains(*seed) && **seed != own;
        let strangers: Vec<SocketAddr> = self.seeds.iter().filter(strange).copied().collect();
        if let Some(&address) = strangers.choose(&mut self.rng) {
            self.send(address, PeerMessage::Join);
        }
        let gone: Vec<MemberRecord> = self
            .members
            .records()
            .filter(|record| record.state == MemberState::Gone)
            .cloned()
            .collect();
        if let Some(record) = gone.choose(&mut self.rng) {
            self.tell_record(record.address, record.id(), now_ms);
        }
    }

    pub(super) fn welcome(&mut self, from: &MemberRecord, now_ms: u64) {
        if self.welcomes_left == 0 {
            let records = self.sample(now_ms);
            self.send(from.address, PeerMessage::Welcome { part: WelcomePart::Sample, records });
            return;
        }
        self.welcomes_left -= 1;
        let mut parts = cut_parts(self.all_records(from, now_ms));
        let last = parts.pop().unwrap_or_default();
        for records in parts {
            self.send(from.address, PeerMessage::Welcome { part: WelcomePart::More, records });
        }
        self.send(from.address, PeerMessage::Welcome { part: WelcomePart::Last, records: last });
    }

    fn sample(&mut self, now_ms: u64) -> Vec<PeerRecord> {
        let ids: Vec<u64> = self.members.others().map(MemberRecord::id).collect();
        let chosen: Vec<u64> = ids.choose_multiple(&mut self.rng, SAMPLE).copied().collect();
        let records = chosen.into_iter().filter_map(|id| self.members.aged(id, now_ms));
        records.map(PeerRecord::Member).collect()
    }

    fn all_records(&self, target: &MemberRecord, now_ms: u64) -> Vec<PeerRecord> {
        let ids = self.members.ids().into_iter();
        let members = ids.filter_map(|id| self.members.aged(id, now_ms)).map(PeerRecord::Member);
        let keys = self.items.keys().into_iter().filter(|key| self.is_for(key.kind, target));
        let items = keys.filter_map(|key| self.items.aged(key, now_ms)).map(PeerRecord::Item);
        members.chain(items).collect()
    }

    /// Whether a kind of record is handed to a host at all.
    pub(super) fn is_for(&self, kind: RecordKind, target: &MemberRecord) -> bool {
        match kind.row().scope {
            SpreadScope::Fleet => true,
            SpreadScope::Zone => target.zone == self.members.own().zone,
            SpreadScope::Reporter => false,
        }
    }

    pub(super) fn take_welcome(
        &mut self,
        from: &MemberRecord,
        part: WelcomePart,
        records: Vec<PeerRecord>,
        now_ms: u64,
    ) {
        self.take_records(from, records, now_ms);
        if part == WelcomePart::Last && !self.joined {
            self.joined = true;
            self.join_tries = 0;
            self.neighbors.refresh(&self.members, &mut self.rng);
            self.news(PeerNews::Joined { from: from.host.clone() });
        }
    }

    /// The first of the hosts that hear of it hand it on; no probe is needed to find the host gone.
    pub(super) fn say_goodbye(&mut self) {
        let record = self.members.own().clone();
        let addresses: Vec<SocketAddr> = self.members.others().map(|other| other.address).collect();
        let chosen: Vec<SocketAddr> =
            addresses.choose_multiple(&mut self.rng, SAMPLE).copied().collect();
        for address in chosen {
            self.send(
                address,
                PeerMessage::Update { records: vec![PeerRecord::Member(record.clone())] },
            );
        }
    }
}

fn cut_parts(records: Vec<PeerRecord>) -> Vec<Vec<PeerRecord>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for record in records {
        let length = encoded_len(&record);
        if bytes + length > PART_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += length;
        part.push(record);
    }
    parts.push(part);
    parts
}
