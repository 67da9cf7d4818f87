//! Failure detection by probing.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use rand::seq::IndexedRandom;

use super::PeerCore;
use crate::CoreOutput;
use crate::IncarnationEndReason;
use crate::MemberRecord;
use crate::MemberState;
use crate::PeerNews;
use crate::record_key::name_hash;
use crate::state::probe_tracker::AckResult;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;

/// Number of hosts asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Number of priority probes sent per period, in addition to the regular one.
const PRIORITY_PROBES_PER_PERIOD: usize = 2;

/// Maximum number of hosts queued for a priority probe.
pub(super) const MAX_PRIORITY_PROBES: usize = 64;
/// Maximum number of hosts per period that are notified that a peer reports them gone. Each
/// notification may need a new link.
pub(super) const GONE_NOTICES_PER_PERIOD: u32 = 8;

impl PeerCore {
    /// Sends one regular probe, and a few to hosts whose links failed or that were reported gone.
    pub(super) fn send_probes(&mut self, now_ms: u64) {
        let priority_count = self.priority_probes.len().min(PRIORITY_PROBES_PER_PERIOD);
        let mut targets: Vec<u64> = self.priority_probes.drain(..priority_count).collect();
        targets.extend(self.probes.next_target(&self.members, &mut self.rng));
        for target in targets {
            let present = self.members.get(target).filter(|record| record.is_present()).cloned();
            if let Some(record) = present.filter(|_| !self.probes.is_open_for(target)) {
                let number = self.probes.open(target, now_ms);
                self.send_probe(&record, number, now_ms);
            }
        }
    }

    /// Probes a host. If it is suspected or gone here, its record is sent as well so that it can
    /// refute.
    fn send_probe(&mut self, target: &MemberRecord, number: u64, now_ms: u64) {
        let digest = self.stable_digest();
        self.send(target.address, PeerMessage::Probe { number, digest });
        if target.state != MemberState::Alive {
            self.send_member(target.address, target.id(), now_ms);
        }
    }

    pub(super) fn handle_probe(&mut self, from: &MemberRecord, number: u64, digest: u32) {
        self.send(from.address, PeerMessage::ProbeAck { number });
        self.compare_stable_digest(from, digest);
    }

    pub(super) fn handle_probe_ack(&mut self, from: &MemberRecord, number: u64) {
        let answer = self.probes.acknowledge(number, from.id());
        if let AckResult::Forward { requester, number } = answer {
            self.send(requester, PeerMessage::ProbeAck { number });
        }
    }

    pub(super) fn handle_indirect_probe_request(
        &mut self,
        from: &MemberRecord,
        number: u64,
        host: &HostName,
        address: SocketAddr,
        now_ms: u64,
    ) {
        let target = name_hash(host.as_str());
        let number = self.probes.open_relayed(target, from.address, number, now_ms);
        let digest = self.stable_digest();
        self.send(address, PeerMessage::Probe { number, digest });
    }

    /// Requests indirect probes where the direct one timed out, and suspects hosts that answered
    /// neither.
    pub(super) fn check_probe_timeouts(&mut self, now_ms: u64) {
        for (number, target) in self.probes.take_overdue(now_ms, self.pace.probe_timeout_ms) {
            self.request_indirect_probes(number, target);
        }
        for target in self.probes.take_failed(now_ms, self.pace.probe_interval_ms) {
            self.suspect(target, now_ms);
        }
    }

    /// Asks other hosts to probe `target`, one of them in the zone of `target` if possible. This
    /// avoids false suspicions when only the path between two zones is cut.
    fn request_indirect_probes(&mut self, number: u64, target: u64) {
        let Some(record) = self.members.get(target).cloned() else {
            return;
        };
        let others: Vec<MemberRecord> =
            self.members.present_peers().filter(|other| other.id() != target).cloned().collect();
        let same_zone: Vec<&MemberRecord> =
            others.iter().filter(|other| other.zone == record.zone).collect();
        let mut helpers: Vec<&MemberRecord> =
            same_zone.choose(&mut self.rng).copied().into_iter().collect();
        for other in others.choose_multiple(&mut self.rng, INDIRECT_PROBES) {
            if helpers.len() < INDIRECT_PROBES
                && !helpers.iter().any(|helper| helper.host == other.host)
            {
                helpers.push(other);
            }
        }
        self.probes.set_helpers(number, helpers.iter().map(|helper| helper.id()).collect());
        for helper in helpers {
            let (host, address) = (record.host.clone(), record.address);
            self.send(helper.address, PeerMessage::IndirectProbeRequest { number, host, address });
        }
    }

    fn suspect(&mut self, target: u64, now_ms: u64) {
        let suspicion_ms = self.pace.suspicion_ms(self.members.present_count());
        if let Some(record) = self.members.suspect(target, now_ms, suspicion_ms) {
            self.outputs.push(CoreOutput::DropLink { to: record.address });
            self.send_member(record.address, target, now_ms);
            self.enqueue_member(target, None);
            self.notify(PeerNews::Member { member: record });
        }
    }

    /// Notifies a host that a peer reports it gone, so that it can refute, and schedules a
    /// priority probe. Reports above the limits are dropped; they are repeated by later
    /// comparisons.
    pub(super) fn verify_gone_report(&mut self, record: &MemberRecord) {
        let id = record.id();
        let is_full = self.priority_probes.len() >= MAX_PRIORITY_PROBES;
        if self.gone_notices_left == 0 || is_full || self.priority_probes.contains(&id) {
            return;
        }
        self.gone_notices_left -= 1;
        self.priority_probes.push(id);
        let records = vec![PeerRecord::Member(record.clone())];
        self.send(record.address, PeerMessage::Update { records });
    }

    pub(super) fn expire_members(&mut self, now_ms: u64) {
        for member in self.members.expire(now_ms) {
            self.gossip_queue.remove(member.key());
            let (host, incarnation) = (member.host.clone(), member.incarnation);
            self.notify(PeerNews::Member { member });
            self.notify(PeerNews::IncarnationOver {
                host,
                incarnation,
                reason: IncarnationEndReason::Gone,
            });
        }
    }

    pub(super) fn send_member(&mut self, to: SocketAddr, id: u64, now_ms: u64) {
        if let Some(record) = self.members.current_record(id, now_ms) {
            self.send(to, PeerMessage::Update { records: vec![PeerRecord::Member(record)] });
        }
    }

    /// Raises the heartbeat of this host above the one in the accusation. Only the host itself
    /// does this, so a higher heartbeat proves that it ran after the accusation.
    pub(super) fn refute(&mut self, accused_heartbeat: u64) {
        self.members.refute(accused_heartbeat);
        let id = self.members.own().id();
        self.enqueue_member(id, None);
    }
}
