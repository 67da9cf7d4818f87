//! Who still lives.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use rand::seq::IndexedRandom;

use super::PeerCore;
use crate::CoreOutput;
use crate::MemberRecord;
use crate::MemberState;
use crate::OverCause;
use crate::PeerNews;
use crate::record_key::name_id;
use crate::state::probe_book::ProbeAnswer;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;

/// Hosts asked to probe another one that does not answer.
const HELPERS: usize = 3;
/// Probes in a period beyond the regular one, of hosts whose links failed.
const DOUBTED_PER_PERIOD: usize = 2;

/// Hosts that wait to be probed out of turn.
pub(super) const DOUBTED_LIMIT: usize = 64;
/// Hosts told in a period that another one holds them to be gone: each may need a new link.
pub(super) const ACCUSATIONS_PER_PERIOD: u32 = 8;

impl PeerCore {
    /// One probe a period, whatever the size of the fleet, and a few where a link has just failed.
    pub(super) fn probe_someone(&mut self, now_ms: u64) {
        let doubted = self.doubted.len().min(DOUBTED_PER_PERIOD);
        let mut targets: Vec<u64> = self.doubted.drain(..doubted).collect();
        targets.extend(self.probes.next_target(&self.members, &mut self.rng));
        for target in targets {
            let present = self.members.get(target).filter(|record| record.is_present()).cloned();
            if let Some(record) = present.filter(|_| !self.probes.is_open_for(target)) {
                let number = self.probes.open(target, now_ms);
                self.send_probe(&record, number, now_ms);
            }
        }
    }

    /// A host that is held to be suspected or gone is told so with the probe, so that it can refute.
    fn send_probe(&mut self, target: &MemberRecord, number: u64, now_ms: u64) {
        let digest = self.steady_digest();
        self.send(target.address, PeerMessage::Probe { number, digest });
        if target.state != MemberState::Alive {
            self.tell_record(target.address, target.id(), now_ms);
        }
    }

    pub(super) fn answer_probe(&mut self, from: &MemberRecord, number: u64, digest: u32) {
        self.send(from.address, PeerMessage::ProbeAck { number });
        self.compare_probed(from, digest);
    }

    pub(super) fn settle_probe(&mut self, from: &MemberRecord, number: u64) {
        let answer = self.probes.answered(number, from.id());
        if let ProbeAnswer::Relay { asker, number } = answer {
            self.send(asker, PeerMessage::ProbeAck { number });
        }
    }

    pub(super) fn probe_for(
        &mut self,
        from: &MemberRecord,
        number: u64,
        host: &HostName,
        address: SocketAddr,
        now_ms: u64,
    ) {
        let target = name_id(host.as_str());
        let number = self.probes.open_relayed(target, from.address, number, now_ms);
        let digest = self.steady_digest();
        self.send(address, PeerMessage::Probe { number, digest });
    }

    /// Asks others where an answer is late, and suspects where there is none.
    pub(super) fn judge_probes(&mut self, now_ms: u64) {
        for (number, target) in self.probes.take_late(now_ms, self.pace.probe_timeout_ms) {
            self.ask_helpers(number, target);
        }
        for target in self.probes.take_failed(now_ms, self.pace.period_ms) {
            self.suspect(target, now_ms);
        }
    }

    /// One helper stands in the target's zone if one is known: a cut between two zones that leaves
    /// a third way open must not make their hosts suspect each other.
    fn ask_helpers(&mut self, number: u64, target: u64) {
        let Some(record) = self.members.get(target).cloned() else {
            return;
        };
        let others: Vec<MemberRecord> =
            self.members.others().filter(|other| other.id() != target).cloned().collect();
        let near: Vec<&MemberRecord> =
            others.iter().filter(|other| other.zone == record.zone).collect();
        let mut helpers: Vec<&MemberRecord> =
            near.choose(&mut self.rng).copied().into_iter().collect();
        for other in others.choose_multiple(&mut self.rng, HELPERS) {
            if helpers.len() < HELPERS && !helpers.iter().any(|helper| helper.host == other.host) {
                helpers.push(other);
            }
        }
        self.probes.note_helpers(number, helpers.iter().map(|helper| helper.id()).collect());
        for helper in helpers {
            let (host, address) = (record.host.clone(), record.address);
            self.send(helper.address, PeerMessage::ProbeVia { number, host, address });
        }
    }

    fn suspect(&mut self, target: u64, now_ms: u64) {
        let suspicion_ms = self.pace.suspicion_ms(self.members.present());
        if let Some(record) = self.members.suspect(target, now_ms, suspicion_ms) {
            self.outputs.push(CoreOutput::DropLink { to: record.address });
            self.tell_record(record.address, target, now_ms);
            self.rumor_member(target, None);
            self.news(PeerNews::Member { member: record });
        }
    }

    /// A host is said to be gone. It is told so, that it may refute, and probed soon. When a partition
    /// ends this is said of many at once: some are told now, the rest when it is said again.
    pub(super) fn doubt(&mut self, record: &MemberRecord) {
        let id = record.id();
        let is_full = self.doubted.len() >= DOUBTED_LIMIT;
        if self.accusations_left == 0 || is_full || self.doubted.contains(&id) {
            return;
        }
        self.accusations_left -= 1;
        self.doubted.push(id);
        let records = vec![PeerRecord::Member(record.clone())];
        self.send(record.address, PeerMessage::Update { records });
    }

    pub(super) fn expire_members(&mut self, now_ms: u64) {
        for member in self.members.expire(now_ms) {
            self.rumors.remove(member.key());
            let (host, incarnation) = (member.host.clone(), member.incarnation);
            self.news(PeerNews::Member { member });
            self.news(PeerNews::IncarnationOver { host, incarnation, cause: OverCause::Gone });
        }
    }

    pub(super) fn tell_record(&mut self, to: SocketAddr, id: u64, now_ms: u64) {
        if let Some(record) = self.members.aged(id, now_ms) {
            self.send(to, PeerMessage::Update { records: vec![PeerRecord::Member(record)] });
        }
    }

    /// Only the host itself raises its heartbeat: a higher one proves that it ran after the accusation.
    pub(super) fn refute(&mut self, accusation: u64) {
        self.members.refute(accusation);
        let id = self.members.own().id();
        self.rumor_member(id, None);
    }
}
