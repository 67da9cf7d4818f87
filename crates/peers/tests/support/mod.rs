//! Simulates a fleet of `PeerCore`s in one process, with in-memory links and a virtual clock.

// Each test file and the example use only some of these items.
#![allow(dead_code, unreachable_pub)]

mod checks;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;
use fulmargate_peers::CoreOutput;
use fulmargate_peers::Direction;
use fulmargate_peers::MemberRecord;
use fulmargate_peers::PeerConf;
use fulmargate_peers::PeerCore;
use fulmargate_peers::PeerCounters;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerPace;
use fulmargate_peers::TrafficKind;
use fulmargate_peers::wire;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Delay until a connection to an unreachable host fails.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time to fetch a newer configuration from a peer and apply it.
const CONFIG_FETCH_MS: u64 = 4;
/// Minimum length of a frame with a probe. Acknowledgements are shorter.
const MIN_PROBE_BYTES: u64 = 12;
/// Maximum number of frames held in the sockets of a paused host; further ones are lost.
const MAX_INBOX: usize = 256;

/// State of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Running,
    Paused,
    Down,
}

/// Whether frames received while a host was paused are delivered when it resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedFrames {
    Delivered,
    Lost,
}

/// A simulated host.
pub struct SimNode {
    pub conf: PeerConf,
    pub core: PeerCore,
    pub run_state: RunState,
    pub news: Vec<(u64, PeerNews)>,
    pub counters: Arc<PeerCounters>,
    pub links_dropped: u32,
    inbox: Vec<(MemberRecord, Bytes)>,
}

enum Event {
    Tick,
    Frame { from: MemberRecord, bytes: Bytes },
    LinkFailed { address: SocketAddr },
    ConfigApplied { version: ConfigVersion },
}

/// The simulated hosts and the network between them.
pub struct SimNet {
    pub now_ms: u64,
    pub nodes: Vec<SimNode>,
    pub loss: f64,
    blocked_routes: IndexSet<(usize, usize)>,
    link_members: IndexMap<(usize, usize), MemberRecord>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    last_event_id: u64,
    rng: StdRng,
}

impl SimNet {
    /// Initial time of the virtual clock.
    pub const START_MS: u64 = 1_000_000;

    /// Starts all hosts at once, distributed over the zones, with the first three hosts as seeds.
    pub fn new(hosts: usize, zones: usize, seed: u64) -> SimNet {
        let mut net = SimNet {
            now_ms: SimNet::START_MS,
            nodes: Vec::new(),
            loss: 0.0,
            blocked_routes: IndexSet::new(),
            link_members: IndexMap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for index in 0..hosts {
            let conf = PeerConf {
                fleet: "sim".to_owned(),
                host: HostName::new(&format!("entry-host-{index}")),
                incarnation: Incarnation(1_700_000_000_000 + index as u64),
                zone: ZoneName::new(&format!("zone-{}", index % zones)),
                listen: address(index),
                advertise: None,
                seeds: (0..hosts.min(3)).map(address).collect(),
                random_seed: seed.wrapping_mul(31).wrapping_add(index as u64),
                pace: PeerPace::default(),
            };
            let core = PeerCore::new(&conf, conf.listen, net.now_ms);
            net.nodes.push(SimNode {
                conf,
                core,
                run_state: RunState::Running,
                news: Vec::new(),
                counters: Arc::default(),
                links_dropped: 0,
                inbox: Vec::new(),
            });
            let first_tick_ms = net.rng.random_range(1..200);
            net.schedule(net.now_ms + first_tick_ms, index, Event::Tick);
            net.apply_outputs(index);
        }
        net
    }

    /// Advances the virtual clock.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            let ((due_ms, _), (index, event)) = entry.remove_entry();
            self.now_ms = due_ms;
            self.handle(index, event);
        }
        self.now_ms = end_ms;
    }

    /// Advances the clock until a condition holds. Returns the elapsed time, or `None` on timeout.
    pub fn run_until(
        &mut self,
        timeout_ms: u64,
        condition: impl Fn(&SimNet) -> bool,
    ) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + timeout_ms {
            if condition(self) {
                return Some(self.now_ms - start_ms);
            }
            self.run(50);
        }
        condition(self).then_some(self.now_ms - start_ms)
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        match event {
            Event::Tick => {
                if node.run_state == RunState::Running {
                    node.core.tick(now_ms);
                }
                let next_ms = now_ms + node.conf.pace.gossip_interval_ms;
                self.schedule(next_ms, index, Event::Tick);
            }
            Event::Frame { from, bytes } => match node.run_state {
                RunState::Running => node.receive(&from, &bytes, now_ms),
                RunState::Paused if node.inbox.len() < MAX_INBOX => node.inbox.push((from, bytes)),
                RunState::Paused => {}
                RunState::Down => {
                    let sender = index_of(from.address);
                    self.schedule(
                        now_ms + 1,
                        sender,
                        Event::LinkFailed { address: address(index) },
                    );
                }
            },
            Event::LinkFailed { address } => {
                if node.run_state == RunState::Running {
                    node.core.link_failed(address, now_ms);
                }
            }
            Event::ConfigApplied { version } => {
                let host = node.conf.host.clone();
                if node.run_state == RunState::Running && version > node.core.config_version() {
                    node.core.publish(PeerItem::ConfigInForce { host, version }, now_ms);
                }
            }
        }
        self.apply_outputs(index);
    }

    fn apply_outputs(&mut self, index: usize) {
        for output in self.nodes[index].core.take_outputs() {
            match output {
                CoreOutput::Event(news) => {
                    if let PeerNews::ConfigAhead { version, .. } = &news {
                        self.schedule(
                            self.now_ms + CONFIG_FETCH_MS,
                            index,
                            Event::ConfigApplied { version: *version },
                        );
                    }
                    self.nodes[index].news.push((self.now_ms, news));
                }
                CoreOutput::DropLink { to } => {
                    self.link_members.swap_remove(&(index, index_of(to)));
                }
                CoreOutput::DropLinks => {
                    self.nodes[index].links_dropped += 1;
                    self.link_members.retain(|(from, to), _| *from != index && *to != index);
                }
                CoreOutput::Send { to, frame } => self.send(index, index_of(to), &frame),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: &wire::PeerFrame) {
        let bytes = wire::encode_frame(frame);
        self.nodes[from].counters.count_frame(Direction::Sent, frame, bytes.len());
        let own = self.nodes[from].core.own().clone();
        let sender = self.link_members.entry((from, to)).or_insert(own).clone();
        if self.blocked_routes.contains(&(from, to)) {
            let link_failed_event = Event::LinkFailed { address: address(to) };
            return self.schedule(self.now_ms + CONNECT_TIMEOUT_MS, from, link_failed_event);
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay_ms = self.rng.random_range(1..=3);
        self.schedule(self.now_ms + delay_ms, to, Event::Frame { from: sender, bytes });
    }

    fn schedule(&mut self, due_ms: u64, index: usize, event: Event) {
        self.last_event_id += 1;
        self.events.insert((due_ms, self.last_event_id), (index, event));
    }

    /// Kills a process without notice to its peers.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].run_state = RunState::Down;
        self.link_members.retain(|(from, to), _| *from != index && *to != index);
    }

    /// Restarts a process with the same name and address and a new incarnation.
    pub fn restart(&mut self, index: usize) {
        self.link_members.retain(|(from, to), _| *from != index && *to != index);
        let node = &mut self.nodes[index];
        node.conf.incarnation = Incarnation(node.conf.incarnation.0 + 1_000);
        node.conf.random_seed += 1_000_003;
        node.core = PeerCore::new(&node.conf, node.conf.listen, self.now_ms);
        node.run_state = RunState::Running;
        node.inbox.clear();
        node.news.clear();
        self.apply_outputs(index);
    }

    /// Starts a host with another name at the address of a killed one. Returns the killed host's
    /// name.
    pub fn take_address(&mut self, index: usize, name: &str) -> HostName {
        let previous_name =
            std::mem::replace(&mut self.nodes[index].conf.host, HostName::new(name));
        self.restart(index);
        previous_name
    }

    /// Starts a second process with the name of a host and an address of its own.
    pub fn start_duplicate(&mut self, original: usize) -> usize {
        let index = self.nodes.len();
        let mut conf = self.nodes[original].conf.clone();
        conf.incarnation = Incarnation(conf.incarnation.0 + 1_000);
        conf.listen = address(index);
        let core = PeerCore::new(&conf, conf.listen, self.now_ms);
        let (news, counters, inbox) = (Vec::new(), Arc::default(), Vec::new());
        let run_state = RunState::Running;
        self.nodes.push(SimNode { conf, core, run_state, news, counters, links_dropped: 0, inbox });
        self.schedule(self.now_ms + 1, index, Event::Tick);
        self.apply_outputs(index);
        index
    }

    /// Suspends a process like SIGSTOP.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].run_state = RunState::Paused;
    }

    /// Resumes a process like SIGCONT. Frames received meanwhile are either delivered first
    /// or lost, as if their links had been closed on resuming.
    pub fn resume(&mut self, index: usize, frame_handling: BufferedFrames) {
        let node = &mut self.nodes[index];
        node.run_state = RunState::Running;
        let frames = std::mem::take(&mut node.inbox);
        let delivered = if frame_handling == BufferedFrames::Delivered { frames.len() } else { 0 };
        for (from, bytes) in frames.into_iter().take(delivered) {
            node.receive(&from, &bytes, self.now_ms);
        }
        self.apply_outputs(index);
    }

    /// Advances the clock until a host has sent a probe.
    pub fn run_until_probe_sent(&mut self, index: usize) {
        let probe_bytes_sent = |net: &SimNet| {
            let rows = net.nodes[index].counters.rows();
            rows.iter()
                .filter(|row| row.kind == TrafficKind::Probe)
                .map(|row| row.sent)
                .sum::<u64>()
        };
        let before = probe_bytes_sent(self);
        while probe_bytes_sent(self) < before + MIN_PROBE_BYTES {
            self.run(1);
        }
    }

    /// Blocks traffic from each host in `from` to each host in `to`, in this direction only.
    pub fn block(&mut self, from: &[usize], to: &[usize]) {
        self.blocked_routes.extend(from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b))));
    }

    pub fn block_both(&mut self, a: &[usize], b: &[usize]) {
        self.block(a, b);
        self.block(b, a);
    }

    pub fn heal(&mut self) {
        self.blocked_routes.clear();
    }

    pub fn publish(&mut self, index: usize, item: PeerItem) {
        let now_ms = self.now_ms;
        self.nodes[index].core.publish(item, now_ms);
        self.apply_outputs(index);
    }

    /// Applies a configuration on one host; the others apply it when they learn of it.
    pub fn apply_config(&mut self, index: usize, version: u64) {
        let host = self.nodes[index].conf.host.clone();
        self.publish(index, PeerItem::ConfigInForce { host, version: ConfigVersion(version) });
    }

    /// Whether all running hosts have applied this configuration version or a newer one.
    pub fn all_have_config(&self, version: u64) -> bool {
        self.running().into_iter().all(|index| self.nodes[index].core.config_version().0 >= version)
    }

    pub fn leave(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.nodes[index].core.leave(now_ms);
        self.apply_outputs(index);
    }
}

impl SimNode {
    fn receive(&mut self, from: &MemberRecord, bytes: &Bytes, now_ms: u64) {
        let frame =
            wire::decode_frame(&bytes[wire::LENGTH_PREFIX_BYTES..]).expect("frames are readable");
        self.counters.count_frame(Direction::Received, &frame, bytes.len());
        self.core.receive(from, frame, now_ms);
    }
}

/// Address of a host.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}
