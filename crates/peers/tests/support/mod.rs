//! Many cores in one process, over in-memory links, on a virtual clock.

// Each test file and the example use a part of it.
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

/// Failure of a connection that gets no answer.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// A peer that is ahead is asked, and what it says put in force, in this time.
const ASK_MS: u64 = 4;
/// A frame with a probe is longer than one with an answer to it, and no shorter than this.
const PROBE_BYTES: u64 = 12;
/// Frames that a frozen host's sockets hold.
const SOCKET_FRAMES: usize = 256;

/// Whether a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    Running,
    Frozen,
    Down,
}

/// What becomes of frames that came while a host was frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFrames {
    Delivered,
    Lost,
}

/// One host.
pub struct SimNode {
    pub conf: PeerConf,
    pub core: PeerCore,
    pub power: Power,
    pub news: Vec<(u64, PeerNews)>,
    pub counters: Arc<PeerCounters>,
    pub links_dropped: u32,
    held: Vec<(MemberRecord, Bytes)>,
}

enum Event {
    Tick,
    Frame { from: MemberRecord, bytes: Bytes },
    Failed { address: SocketAddr },
    InForce { version: ConfigVersion },
}

/// The hosts and the network between them.
pub struct SimNet {
    pub now_ms: u64,
    pub nodes: Vec<SimNode>,
    pub loss: f64,
    cuts: IndexSet<(usize, usize)>,
    hellos: IndexMap<(usize, usize), MemberRecord>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    event_count: u64,
    rng: StdRng,
}

impl SimNet {
    /// When the virtual clock starts.
    pub const START_MS: u64 = 1_000_000;

    /// Hosts spread over zones, each with the first three as seeds, all started at once.
    pub fn new(hosts: usize, zones: usize, seed: u64) -> SimNet {
        let mut net = SimNet {
            now_ms: SimNet::START_MS,
            nodes: Vec::new(),
            loss: 0.0,
            cuts: IndexSet::new(),
            hellos: IndexMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
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
                power: Power::Running,
                news: Vec::new(),
                counters: Arc::default(),
                links_dropped: 0,
                held: Vec::new(),
            });
            let phase_ms = net.rng.random_range(1..200);
            net.schedule(net.now_ms + phase_ms, index, Event::Tick);
            net.carry_out(index);
        }
        net
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            let ((at_ms, _), (index, event)) = entry.remove_entry();
            self.now_ms = at_ms;
            self.handle(index, event);
        }
        self.now_ms = end_ms;
    }

    /// Lets time pass until something holds; the time it took, or `None` when it took too long.
    pub fn run_until(&mut self, most_ms: u64, holds: impl Fn(&SimNet) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + most_ms {
            if holds(self) {
                return Some(self.now_ms - start_ms);
            }
            self.run(50);
        }
        holds(self).then_some(self.now_ms - start_ms)
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        match event {
            Event::Tick => {
                if node.power == Power::Running {
                    node.core.tick(now_ms);
                }
                let next_ms = now_ms + node.conf.pace.tick_ms;
                self.schedule(next_ms, index, Event::Tick);
            }
            Event::Frame { from, bytes } => match node.power {
                Power::Running => node.receive(&from, &bytes, now_ms),
                Power::Frozen if node.held.len() < SOCKET_FRAMES => node.held.push((from, bytes)),
                Power::Frozen => {}
                Power::Down => {
                    let sender = index_of(from.address);
                    self.schedule(now_ms + 1, sender, Event::Failed { address: address(index) });
                }
            },
            Event::Failed { address } => {
                if node.power == Power::Running {
                    node.core.link_failed(address, now_ms);
                }
            }
            Event::InForce { version } => {
                let host = node.conf.host.clone();
                if node.power == Power::Running && version > node.core.in_force() {
                    node.core.put(PeerItem::ConfigInForce { host, version }, now_ms);
                }
            }
        }
        self.carry_out(index);
    }

    fn carry_out(&mut self, index: usize) {
        for output in self.nodes[index].core.take_outputs() {
            match output {
                CoreOutput::News(news) => {
                    if let PeerNews::ConfigAhead { version, .. } = &news {
                        self.schedule(
                            self.now_ms + ASK_MS,
                            index,
                            Event::InForce { version: *version },
                        );
                    }
                    self.nodes[index].news.push((self.now_ms, news));
                }
                CoreOutput::DropLink { to } => {
                    self.hellos.swap_remove(&(index, index_of(to)));
                }
                CoreOutput::DropLinks => {
                    self.nodes[index].links_dropped += 1;
                    self.hellos.retain(|(from, to), _| *from != index && *to != index);
                }
                CoreOutput::Send { to, frame } => self.send(index, index_of(to), &frame),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: &wire::PeerFrame) {
        let bytes = wire::encode_frame(frame);
        self.nodes[from].counters.count_frame(Direction::Sent, frame, bytes.len());
        let own = self.nodes[from].core.own().clone();
        let hello = self.hellos.entry((from, to)).or_insert(own).clone();
        if self.cuts.contains(&(from, to)) {
            let failed = Event::Failed { address: address(to) };
            return self.schedule(self.now_ms + CONNECT_TIMEOUT_MS, from, failed);
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay_ms = self.rng.random_range(1..=3);
        self.schedule(self.now_ms + delay_ms, to, Event::Frame { from: hello, bytes });
    }

    fn schedule(&mut self, at_ms: u64, index: usize, event: Event) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), (index, event));
    }

    /// Stops a process without a word.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].power = Power::Down;
        self.hellos.retain(|(from, to), _| *from != index && *to != index);
    }

    /// Starts a process anew under the same name and address.
    pub fn restart(&mut self, index: usize) {
        self.hellos.retain(|(from, to), _| *from != index && *to != index);
        let node = &mut self.nodes[index];
        node.conf.incarnation = Incarnation(node.conf.incarnation.0 + 1_000);
        node.conf.random_seed += 1_000_003;
        node.core = PeerCore::new(&node.conf, node.conf.listen, self.now_ms);
        node.power = Power::Running;
        node.held.clear();
        node.news.clear();
        self.carry_out(index);
    }

    /// Starts another host at the address of one that was killed; the killed one's name.
    pub fn take_address(&mut self, index: usize, name: &str) -> HostName {
        let former = std::mem::replace(&mut self.nodes[index].conf.host, HostName::new(name));
        self.restart(index);
        former
    }

    /// Starts a second process under a host's name, at an address of its own.
    pub fn start_twin(&mut self, of: usize) -> usize {
        let index = self.nodes.len();
        let mut conf = self.nodes[of].conf.clone();
        conf.incarnation = Incarnation(conf.incarnation.0 + 1_000);
        conf.listen = address(index);
        let core = PeerCore::new(&conf, conf.listen, self.now_ms);
        let (news, counters, held) = (Vec::new(), Arc::default(), Vec::new());
        let power = Power::Running;
        self.nodes.push(SimNode { conf, core, power, news, counters, links_dropped: 0, held });
        self.schedule(self.now_ms + 1, index, Event::Tick);
        self.carry_out(index);
        index
    }

    /// As SIGSTOP does.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].power = Power::Frozen;
    }

    /// As SIGCONT does. What its sockets hold comes first, on links made meanwhile, or is lost with
    /// the links that the host drops on waking.
    pub fn thaw(&mut self, index: usize, held: HeldFrames) {
        let node = &mut self.nodes[index];
        node.power = Power::Running;
        let frames = std::mem::take(&mut node.held);
        let delivered = if held == HeldFrames::Delivered { frames.len() } else { 0 };
        for (from, bytes) in frames.into_iter().take(delivered) {
            node.receive(&from, &bytes, self.now_ms);
        }
        self.carry_out(index);
    }

    /// Lets time pass until a host has just sent a probe of its own.
    pub fn run_to_probe(&mut self, index: usize) {
        let sent = |net: &SimNet| {
            let rows = net.nodes[index].counters.rows();
            rows.iter()
                .filter(|row| row.kind == TrafficKind::Probe)
                .map(|row| row.sent)
                .sum::<u64>()
        };
        let before = sent(self);
        while sent(self) < before + PROBE_BYTES {
            self.run(1);
        }
    }

    /// Cuts one way from each host of one group to each of another.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.cuts.extend(from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b))));
    }

    pub fn cut_both(&mut self, a: &[usize], b: &[usize]) {
        self.cut(a, b);
        self.cut(b, a);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn put(&mut self, index: usize, item: PeerItem) {
        let now_ms = self.now_ms;
        self.nodes[index].core.put(item, now_ms);
        self.carry_out(index);
    }

    /// Puts a configuration in force on one host; the others follow as they hear of it.
    pub fn put_config(&mut self, index: usize, version: u64) {
        let host = self.nodes[index].conf.host.clone();
        self.put(index, PeerItem::ConfigInForce { host, version: ConfigVersion(version) });
    }

    /// Whether each running host has this configuration in force.
    pub fn all_in_force(&self, version: u64) -> bool {
        self.running().into_iter().all(|index| self.nodes[index].core.in_force().0 >= version)
    }

    pub fn leave(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.nodes[index].core.leave(now_ms);
        self.carry_out(index);
    }
}

impl SimNode {
    fn receive(&mut self, from: &MemberRecord, bytes: &Bytes, now_ms: u64) {
        let frame = wire::decode_frame(&bytes[wire::LENGTH_BYTES..]).expect("frames are readable");
        self.counters.count_frame(Direction::Received, &frame, bytes.len());
        self.core.receive(from, frame, now_ms);
    }
}

/// Where a host listens.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}
