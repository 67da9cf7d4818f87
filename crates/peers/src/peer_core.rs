//! Membership and gossip state machine of one host. Performs no I/O; callers pass in the current
//! time.

mod anti_entropy;
mod gossip;
mod joining;
mod merging;
mod probing;
mod zone_usage;

use std::net::SocketAddr;

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ItemRecord;
use crate::MemberRecord;
use crate::MemberState;
use crate::PeerConf;
use crate::PeerItem;
use crate::PeerNews;
use crate::PeerPace;
use crate::SpreadUrgency;
use crate::state::gossip_queue::GossipQueue;
use crate::state::item_table::ItemTable;
use crate::state::member_table::MemberTable;
use crate::state::neighbor_set::NeighborSet;
use crate::state::paced_queue::FleetSize;
use crate::state::paced_queue::PacedQueue;
use crate::state::probe_tracker::ProbeTracker;
use crate::state::token_bucket::TokenBucket;
use crate::wire::PeerFrame;
use crate::wire::PeerMessage;
use crate::wire::encoded_len;

/// An action for the driver to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreOutput {
    /// Sends a frame, connecting first if there is no link.
    Send {
        /// Listen address of the peer.
        to: SocketAddr,
        /// The frame.
        frame: PeerFrame,
    },
    /// Notifies the router.
    Event(PeerNews),
    /// Closes the links to a peer that does not answer. After a network partition a new connection
    /// succeeds well before TCP retransmits on the old one.
    DropLink {
        /// Listen address of the peer.
        to: SocketAddr,
    },
    /// Closes all links, discarding the outdated frames buffered in them.
    DropLinks,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Participation {
    Active,
    Left,
    Superseded,
}

/// Protocol state machine of one host. Calls report events; the resulting actions are queued as
/// `CoreOutput`.
#[derive(Debug)]
pub struct PeerCore {
    pace: PeerPace,
    rng: StdRng,
    participation: Participation,
    members: MemberTable,
    items: ItemTable,
    gossip_queue: GossipQueue,
    paced_queue: PacedQueue,
    probes: ProbeTracker,
    /// Hosts to probe out of turn.
    priority_probes: Vec<u64>,
    /// Notices to hosts reported gone that may still be sent in this period.
    gone_notices_left: u32,
    neighbors: NeighborSet,
    byte_budget: TokenBucket,
    seeds: Vec<SocketAddr>,
    /// A peer has sent all its records.
    joined: bool,
    join_attempts: u32,
    full_join_responses_left: u32,
    config_version: ConfigVersion,
    /// Version last reported by `ConfigAhead`, and when.
    reported_ahead: (ConfigVersion, u64),
    version_announcements_left: u32,
    /// Urgent records queued since the last gossip round.
    new_urgent: u32,
    sequence: u64,
    /// Latest time passed in.
    latest_ms: u64,
    next_period_ms: u64,
    next_digest_ms: u64,
    /// Limits the comparisons started by probes to one per period.
    can_start_comparison: bool,
    next_reconnect_ms: u64,
    next_rotation_ms: u64,
    next_usage_report_ms: u64,
    next_version_refresh_ms: u64,
    outputs: Vec<CoreOutput>,
}

/// Interval at which one random neighbor is replaced.
const NEIGHBOR_ROTATION_MS: u64 = 10_000;

impl PeerCore {
    /// Creates the state machine and queues a join request to a random seed. `address` is the
    /// listen address of this host.
    pub fn new(conf: &PeerConf, address: SocketAddr, now_ms: u64) -> PeerCore {
        let own = MemberRecord {
            host: conf.host.clone(),
            incarnation: conf.incarnation,
            heartbeat: 0,
            state: MemberState::Alive,
            zone: conf.zone.clone(),
            address,
            age_ms: 0,
        };
        let pace = conf.pace.clone();
        let mut core = PeerCore {
            rng: StdRng::seed_from_u64(conf.random_seed),
            participation: Participation::Active,
            members: MemberTable::new(own),
            items: ItemTable::new(),
            gossip_queue: GossipQueue::default(),
            paced_queue: PacedQueue::default(),
            probes: ProbeTracker::default(),
            priority_probes: Vec::new(),
            gone_notices_left: probing::GONE_NOTICES_PER_PERIOD,
            neighbors: NeighborSet::default(),
            byte_budget: TokenBucket::new(pace.bytes_per_s, pace.burst_bytes, now_ms),
            seeds: conf.seeds.clone(),
            joined: false,
            join_attempts: 0,
            full_join_responses_left: joining::MAX_FULL_JOIN_RESPONSES_PER_PERIOD,
            config_version: ConfigVersion(0),
            reported_ahead: (ConfigVersion(0), 0),
            version_announcements_left: 0,
            new_urgent: 0,
            sequence: 0,
            latest_ms: now_ms,
            next_period_ms: now_ms + pace.probe_interval_ms,
            next_digest_ms: now_ms + pace.anti_entropy_interval_ms,
            can_start_comparison: true,
            next_reconnect_ms: now_ms + pace.reconnect_interval_ms,
            next_rotation_ms: now_ms + NEIGHBOR_ROTATION_MS,
            next_usage_report_ms: now_ms,
            next_version_refresh_ms: now_ms,
            outputs: Vec::new(),
            pace,
        };
        core.send_join_request();
        core
    }

    /// Runs timers and one gossip round. Call every `PeerPace::gossip_interval_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        self.detect_pause(now_ms);
        if self.participation != Participation::Active {
            return;
        }
        self.expire_members(now_ms);
        self.check_probe_timeouts(now_ms);
        self.retry_join();
        if now_ms >= self.next_period_ms {
            self.next_period_ms = now_ms + self.pace.probe_interval_ms;
            self.run_protocol_period(now_ms);
        }
        self.publish_due_items(now_ms);
        self.gossip_round(now_ms);
    }

    fn run_protocol_period(&mut self, now_ms: u64) {
        self.full_join_responses_left = joining::MAX_FULL_JOIN_RESPONSES_PER_PERIOD;
        self.gone_notices_left = probing::GONE_NOTICES_PER_PERIOD;
        self.items.expire(now_ms);
        self.gossip_queue.expire(now_ms);
        self.can_start_comparison = true;
        if now_ms >= self.next_rotation_ms {
            self.next_rotation_ms = now_ms + NEIGHBOR_ROTATION_MS;
            self.neighbors.rotate(&mut self.rng);
        }
        self.neighbors.refresh(&self.members, &mut self.rng);
        self.send_probes(now_ms);
        if now_ms >= self.next_digest_ms {
            self.next_digest_ms = now_ms + self.pace.anti_entropy_interval_ms;
            self.send_digest();
        }
        if now_ms >= self.next_reconnect_ms {
            self.next_reconnect_ms = now_ms + self.pace.reconnect_interval_ms;
            self.contact_missing_peers(now_ms);
        }
        self.publish_zone_usage(now_ms);
        self.republish_version(now_ms);
    }

    /// Handles a frame from a peer. `from` is the record that the peer sent in its `Hello`.
    pub fn receive(&mut self, from: &MemberRecord, frame: PeerFrame, now_ms: u64) {
        let paused = self.detect_pause(now_ms);
        if paused
            || self.participation != Participation::Active
            || !self.accept_sender(from, now_ms)
        {
            return;
        }
        self.check_config_version(from, frame.config_version, now_ms);
        match frame.message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Probe { number, digest } => {
                self.handle_probe(from, number, digest);
            }
            PeerMessage::ProbeAck { number } => self.handle_probe_ack(from, number),
            PeerMessage::IndirectProbeRequest { number, host, address } => {
                self.handle_indirect_probe_request(from, number, &host, address, now_ms);
            }
            PeerMessage::JoinRequest => self.handle_join_request(from, now_ms),
            PeerMessage::JoinResponse { part, records } => {
                self.handle_join_response(from, part, records, now_ms);
            }
            PeerMessage::Digest { buckets } => self.handle_digest(from, &buckets),
            PeerMessage::Summary { buckets, entries } => {
                self.handle_summary(from, &buckets, &entries, now_ms);
            }
            PeerMessage::RecordRequest { keys } => self.handle_record_request(from, &keys, now_ms),
            PeerMessage::Update { records } => self.merge_records(from, records, now_ms),
        }
        self.gossip_urgent(now_ms);
    }

    /// Handles a failure to open or keep a link to `address`.
    pub fn link_failed(&mut self, address: SocketAddr, now_ms: u64) {
        if self.detect_pause(now_ms) || self.participation != Participation::Active {
            return;
        }
        let member_id = self
            .members
            .present_peers()
            .find(|record| record.address == address)
            .map(MemberRecord::id);
        let is_full = self.priority_probes.len() >= probing::MAX_PRIORITY_PROBES;
        let queued = member_id.filter(|id| !is_full && !self.priority_probes.contains(id));
        self.priority_probes.extend(queued);
        if !self.joined && self.join_attempts < joining::MAX_FAST_JOIN_ATTEMPTS {
            self.send_join_request();
        }
    }

    /// Publishes an item with the default TTL of its kind.
    pub fn publish(&mut self, item: PeerItem, now_ms: u64) {
        let ttl_ms = item.kind().row().ttl_ms;
        self.publish_with_ttl(item, ttl_ms, now_ms);
    }

    /// Publishes an item. `ttl_ms` applies to urgent items only; lazy items get the default TTL of
    /// their kind.
    pub fn publish_with_ttl(&mut self, item: PeerItem, ttl_ms: u64, now_ms: u64) {
        self.detect_pause(now_ms);
        if self.participation != Participation::Active {
            return;
        }
        if item.is_oversized() {
            tracing::warn!(
                kind = item.kind().row().name,
                "item exceeds the size limit and was not published"
            );
            return;
        }
        if let PeerItem::ConfigInForce { version, .. } = &item {
            self.advance_version(*version);
        }
        match item.kind().row().urgency {
            SpreadUrgency::Urgent => self.publish_record(item.truncated(), ttl_ms, now_ms),
            SpreadUrgency::Lazy => self.paced_queue.push(item.truncated()),
        }
        self.gossip_urgent(now_ms);
    }

    /// Adds addresses to contact when they belong to no known member.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        let new_seeds: Vec<SocketAddr> =
            seeds.iter().copied().filter(|seed| !self.seeds.contains(seed)).collect();
        self.seeds.extend(new_seeds);
        let excess = self.seeds.len().saturating_sub(joining::MAX_SEEDS);
        self.seeds.drain(..excess);
    }

    /// Announces the departure of this host to a random sample of peers, then stops taking part.
    pub fn leave(&mut self, now_ms: u64) {
        if self.participation != Participation::Active {
            return;
        }
        self.members.leave(now_ms);
        self.announce_leave();
        self.participation = Participation::Left;
    }

    /// Takes the queued actions, in the order in which to perform them.
    pub fn take_outputs(&mut self) -> Vec<CoreOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The record of this host, as sent in `Hello`.
    pub fn own(&self) -> &MemberRecord {
        self.members.own()
    }

    /// The configuration version in force on this host.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// All known members, including this host.
    pub fn members(&self) -> Vec<MemberRecord> {
        self.members.records().cloned().collect()
    }

    /// The record of one member.
    pub fn member(&self, host: &HostName) -> Option<&MemberRecord> {
        self.members.by_host(host)
    }

    /// All items, with their remaining TTL.
    pub fn items(&self, now_ms: u64) -> Vec<ItemRecord> {
        self.items
            .keys()
            .into_iter()
            .filter_map(|key| self.items.current_record(key, now_ms))
            .collect()
    }

    /// Number of records queued for gossip.
    pub fn backlog(&self) -> usize {
        self.gossip_queue.len()
    }

    /// Detects that the process was paused. Probes and suspicions that timed out meanwhile say
    /// nothing about the peers, and frames buffered in the links are outdated, so they are
    /// discarded and the host joins again.
    fn detect_pause(&mut self, now_ms: u64) -> bool {
        let paused_ms = now_ms.saturating_sub(self.latest_ms);
        self.latest_ms = self.latest_ms.max(now_ms);
        if paused_ms < self.pace.pause_threshold_ms || self.participation != Participation::Active {
            return false;
        }
        self.probes.clear();
        self.priority_probes.clear();
        self.gossip_queue.clear();
        self.members.extend_suspicion_timeouts(paused_ms);
        self.items.expire(now_ms);
        self.joined = false;
        self.join_attempts = 0;
        self.outputs.push(CoreOutput::DropLinks);
        self.notify(PeerNews::Paused { for_ms: paused_ms });
        self.refute(0);
        true
    }

    fn fleet_size(&self) -> FleetSize {
        let zone = &self.members.own().zone;
        let zone_hosts =
            1 + self.members.present_peers().filter(|record| record.zone == *zone).count();
        FleetSize { hosts: self.members.present_count(), zone_hosts }
    }

    fn notify(&mut self, news: PeerNews) {
        self.outputs.push(CoreOutput::Event(news));
    }

    /// Queues a frame and charges it to the byte budget. Probe traffic is exempt: it is small, and
    /// delaying it would cause false suspicions.
    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let is_probe = matches!(
            message,
            PeerMessage::Probe { .. }
                | PeerMessage::ProbeAck { .. }
                | PeerMessage::IndirectProbeRequest { .. }
        );
        if !is_probe {
            self.byte_budget.consume(encoded_len(&message));
        }
        self.outputs.push(CoreOutput::Send {
            to,
            frame: PeerFrame { config_version: self.config_version, message },
        });
    }
}
