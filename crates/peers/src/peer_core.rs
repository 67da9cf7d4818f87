//! The decisions of one host, without I/O and with the time passed in.

mod exchange;
mod joining;
mod probing;
mod spreading;
mod taking;
mod usage;

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
use crate::state::byte_allowance::ByteAllowance;
use crate::state::item_table::ItemTable;
use crate::state::lazy_queue::FleetSize;
use crate::state::lazy_queue::LazyQueue;
use crate::state::member_table::MemberTable;
use crate::state::neighbor_set::NeighborSet;
use crate::state::probe_book::ProbeBook;
use crate::state::rumor_queue::RumorQueue;
use crate::wire::PeerFrame;
use crate::wire::PeerMessage;
use crate::wire::encoded_len;

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreOutput {
    /// Send a frame; connect when there is no link.
    Send {
        /// Where the peer listens.
        to: SocketAddr,
        /// The frame.
        frame: PeerFrame,
    },
    /// Tell the router.
    News(PeerNews),
    /// Close the links to a peer that does not answer: after a cut a new connection gets through
    /// long before an old one tries again.
    DropLink {
        /// Where the peer listens.
        to: SocketAddr,
    },
    /// Close all links: what they still hold is old.
    DropLinks,
}

/// Whether a host takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Taking,
    Left,
    Superseded,
}

/// One host's part in the exchange, as a state machine: calls go in, `CoreOutput` comes out.
#[derive(Debug)]
pub struct PeerCore {
    pace: PeerPace,
    rng: StdRng,
    standing: Standing,
    members: MemberTable,
    items: ItemTable,
    rumors: RumorQueue,
    lazy: LazyQueue,
    probes: ProbeBook,
    doubted: Vec<u64>,
    accusations_left: u32,
    neighbors: NeighborSet,
    allowance: ByteAllowance,
    seeds: Vec<SocketAddr>,
    joined: bool,
    join_tries: u32,
    welcomes_left: u32,
    in_force: ConfigVersion,
    ahead: (ConfigVersion, u64),
    nudges_left: u32,
    fresh_urgent: u32,
    sequence: u64,
    last_ms: u64,
    next_period_ms: u64,
    next_digest_ms: u64,
    may_compare: bool,
    next_seed_ms: u64,
    next_rotation_ms: u64,
    next_usage_ms: u64,
    refresh_ms: u64,
    outputs: Vec<CoreOutput>,
}

/// Between two changes of one neighbour.
const ROTATION_MS: u64 = 10_000;

impl PeerCore {
    /// Starts and calls on a first seed. `address` is where the host listens.
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
            standing: Standing::Taking,
            members: MemberTable::new(own),
            items: ItemTable::new(),
            rumors: RumorQueue::default(),
            lazy: LazyQueue::default(),
            probes: ProbeBook::default(),
            doubted: Vec::new(),
            accusations_left: probing::ACCUSATIONS_PER_PERIOD,
            neighbors: NeighborSet::default(),
            allowance: ByteAllowance::new(pace.bytes_per_s, pace.burst_bytes, now_ms),
            seeds: conf.seeds.clone(),
            joined: false,
            join_tries: 0,
            welcomes_left: joining::WELCOMES_PER_PERIOD,
            in_force: ConfigVersion(0),
            ahead: (ConfigVersion(0), 0),
            nudges_left: 0,
            fresh_urgent: 0,
            sequence: 0,
            last_ms: now_ms,
            next_period_ms: now_ms + pace.period_ms,
            next_digest_ms: now_ms + pace.digest_ms,
            may_compare: true,
            next_seed_ms: now_ms + pace.seed_ms,
            next_rotation_ms: now_ms + ROTATION_MS,
            next_usage_ms: now_ms,
            refresh_ms: now_ms,
            outputs: Vec::new(),
            pace,
        };
        core.call_on_someone();
        core
    }

    /// To be called each `tick_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        self.observe_time(now_ms);
        if self.standing != Standing::Taking {
            return;
        }
        self.expire_members(now_ms);
        self.judge_probes(now_ms);
        self.try_to_join();
        if now_ms >= self.next_period_ms {
            self.next_period_ms = now_ms + self.pace.period_ms;
            self.run_period(now_ms);
        }
        self.put_due_items(now_ms);
        self.spread(now_ms);
    }

    fn run_period(&mut self, now_ms: u64) {
        self.welcomes_left = joining::WELCOMES_PER_PERIOD;
        self.accusations_left = probing::ACCUSATIONS_PER_PERIOD;
        self.items.expire(now_ms);
        self.rumors.expire(now_ms);
        self.may_compare = true;
        if now_ms >= self.next_rotation_ms {
            self.next_rotation_ms = now_ms + ROTATION_MS;
            self.neighbors.rotate(&mut self.rng);
        }
        self.neighbors.refresh(&self.members, &mut self.rng);
        self.probe_someone(now_ms);
        if now_ms >= self.next_digest_ms {
            self.next_digest_ms = now_ms + self.pace.digest_ms;
            self.send_digest();
        }
        if now_ms >= self.next_seed_ms {
            self.next_seed_ms = now_ms + self.pace.seed_ms;
            self.call_on_strangers(now_ms);
        }
        self.report_usage(now_ms);
        self.refresh_in_force(now_ms);
    }

    /// A frame came from a peer, which its link knows by its `Hello`.
    pub fn receive(&mut self, from: &MemberRecord, frame: PeerFrame, now_ms: u64) {
        let paused = self.observe_time(now_ms);
        if paused || self.standing != Standing::Taking || !self.meet(from, now_ms) {
            return;
        }
        self.compare_config(from, frame.in_force, now_ms);
        match frame.message {
            PeerMessage::Hello { .. } => {}
            PeerMessage::Probe { number, digest } => {
                self.answer_probe(from, number, digest);
            }
            PeerMessage::ProbeAck { number } => self.settle_probe(from, number),
            PeerMessage::ProbeVia { number, host, address } => {
                self.probe_for(from, number, &host, address, now_ms);
            }
            PeerMessage::Join => self.welcome(from, now_ms),
            PeerMessage::Welcome { part, records } => {
                self.take_welcome(from, part, records, now_ms);
            }
            PeerMessage::Digest { buckets } => self.answer_digest(from, &buckets),
            PeerMessage::Summary { buckets, entries } => {
                self.answer_summary(from, &buckets, &entries, now_ms);
            }
            PeerMessage::Want { keys } => self.answer_want(from, &keys, now_ms),
            PeerMessage::Update { records } => self.take_records(from, records, now_ms),
        }
        self.spread_at_once(now_ms);
    }

    /// No link to this address could be made or kept.
    pub fn link_failed(&mut self, address: SocketAddr, now_ms: u64) {
        if self.observe_time(now_ms) || self.standing != Standing::Taking {
            return;
        }
        let held =
            self.members.others().find(|record| record.address == address).map(MemberRecord::id);
        let is_full = self.doubted.len() >= probing::DOUBTED_LIMIT;
        let known = held.filter(|id| !is_full && !self.doubted.contains(id));
        self.doubted.extend(known);
        if !self.joined && self.join_tries < joining::QUICK_TRIES {
            self.call_on_someone();
        }
    }

    /// Tells the others, for as long as the kind's record lives.
    pub fn put(&mut self, item: PeerItem, now_ms: u64) {
        let ttl_ms = item.kind().row().ttl_ms;
        self.put_for(item, ttl_ms, now_ms);
    }

    /// Tells the others; urgent items keep the given life.
    pub fn put_for(&mut self, item: PeerItem, ttl_ms: u64, now_ms: u64) {
        self.observe_time(now_ms);
        if self.standing != Standing::Taking {
            return;
        }
        if item.is_too_long() {
            tracing::warn!(kind = item.kind().row().name, "an item is too long and was not told");
            return;
        }
        if let PeerItem::ConfigInForce { version, .. } = &item {
            self.raise_in_force(*version);
        }
        match item.kind().row().urgency {
            SpreadUrgency::Urgent => self.put_now(item.bounded(), ttl_ms, now_ms),
            SpreadUrgency::Lazy => self.lazy.push(item.bounded()),
        }
        self.spread_at_once(now_ms);
    }

    /// Peers to call on when they are not known as members.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        let fresh: Vec<SocketAddr> =
            seeds.iter().copied().filter(|seed| !self.seeds.contains(seed)).collect();
        self.seeds.extend(fresh);
        let excess = self.seeds.len().saturating_sub(joining::SEED_LIMIT);
        self.seeds.drain(..excess);
    }

    /// Says good-bye to a number of peers, which hand it on; then takes part no more.
    pub fn leave(&mut self, now_ms: u64) {
        if self.standing != Standing::Taking {
            return;
        }
        self.members.leave(now_ms);
        self.say_goodbye();
        self.standing = Standing::Left;
    }

    /// What the driver is to do, in order.
    pub fn take_outputs(&mut self) -> Vec<CoreOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// This host's record, for `Hello`.
    pub fn own(&self) -> &MemberRecord {
        self.members.own()
    }

    /// The configuration that this host has in force.
    pub fn in_force(&self) -> ConfigVersion {
        self.in_force
    }

    /// All hosts held, this one among them.
    pub fn members(&self) -> Vec<MemberRecord> {
        self.members.records().cloned().collect()
    }

    /// What is held of a host.
    pub fn member(&self, host: &HostName) -> Option<&MemberRecord> {
        self.members.by_host(host)
    }

    /// All items held, with what is left of their lives.
    pub fn items(&self, now_ms: u64) -> Vec<ItemRecord> {
        self.items.keys().into_iter().filter_map(|key| self.items.aged(key, now_ms)).collect()
    }

    /// How many records wait to be handed on.
    pub fn backlog(&self) -> usize {
        self.rumors.len()
    }

    /// A process that was frozen must not judge others by its own clock: its probes are all late,
    /// its suspicions due, and what stands in its links is old. It starts over as if it were new.
    fn observe_time(&mut self, now_ms: u64) -> bool {
        let paused_ms = now_ms.saturating_sub(self.last_ms);
        self.last_ms = self.last_ms.max(now_ms);
        if paused_ms < self.pace.pause_ms || self.standing != Standing::Taking {
            return false;
        }
        self.probes.clear();
        self.doubted.clear();
        self.rumors.clear();
        self.members.extend_suspicions(paused_ms);
        self.items.expire(now_ms);
        self.joined = false;
        self.join_tries = 0;
        self.outputs.push(CoreOutput::DropLinks);
        self.news(PeerNews::Paused { for_ms: paused_ms });
        self.refute(0);
        true
    }

    fn size(&self) -> FleetSize {
        let zone = &self.members.own().zone;
        let zone_hosts = 1 + self.members.others().filter(|record| record.zone == *zone).count();
        FleetSize { hosts: self.members.present(), zone_hosts }
    }

    fn news(&mut self, news: PeerNews) {
        self.outputs.push(CoreOutput::News(news));
    }

    /// Probes are not charged: they are few, and a host that may not probe would accuse others.
    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let is_probe = matches!(
            message,
            PeerMessage::Probe { .. } | PeerMessage::ProbeAck { .. } | PeerMessage::ProbeVia { .. }
        );
        if !is_probe {
            self.allowance.spend(encoded_len(&message));
        }
        self.outputs
            .push(CoreOutput::Send { to, frame: PeerFrame { in_force: self.in_force, message } });
    }
}
