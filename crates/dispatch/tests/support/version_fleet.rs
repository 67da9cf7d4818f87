//! A fleet on virtual time whose servers run several software versions: hosts that read the list late or not at all,
//! are killed or cut off, and callers that take up their streams at any of them.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ASKED_OWNERS;
use fulmargate_dispatch::BINDING_OWNERS;
use fulmargate_dispatch::BindingLookup;
use fulmargate_dispatch::BindingNotice;
use fulmargate_dispatch::BindingTable;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::OwnerCandidate;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::SoleOrigin;
use fulmargate_dispatch::StreamKey;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_dispatch::VersionTracker;
use fulmargate_dispatch::binding_owners;
use fulmargate_dispatch::store_writer;
use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use fulmargate_names::ZoneName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::ENGINES;
use super::server;

const TICK_MS: u64 = 5;
const ZONES: usize = 3;
/// Pause between two reads of the list, and how long one takes.
const READ_INTERVAL_MS: u64 = 700;
const READ_MS: std::ops::Range<u64> = 4..60;
/// Time that a record takes to its owner, and gossip to another host.
const SEND_MS: std::ops::Range<u64> = 6..25;
const GOSSIP_MS: u64 = 150;
/// Interval of writes to the store.
const STORE_INTERVAL_MS: u64 = 100;
/// Time for which a host that is gone still counts as live.
const VIEW_MS: u64 = 1_200;
const RESTART_MS: u64 = 600;
/// A stream lasts at most this long, over all tries.
const STREAM_MS: std::ops::Range<u64> = 200..3_000;

/// What is drawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) hosts: usize,
    pub(crate) servers: usize,
    /// New streams of the whole fleet.
    pub(crate) streams_per_s: u64,
    pub(crate) run_ms: u64,
    /// Kills, cuts from the store and cuts from other hosts a second.
    pub(crate) faults_per_s: f64,
    /// Whether some reads of the list take much longer.
    pub(crate) has_late_reads: bool,
    /// Share of the hosts that is killed at these times.
    pub(crate) herds: &'static [(u64, f64)],
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetOutcome {
    pub(crate) begun: usize,
    /// Streams taken up while two servers of their version served.
    pub(crate) taken_up: usize,
    pub(crate) went_on: usize,
    /// The same at hosts that reach the store and the other hosts, after their own first second.
    pub(crate) taken_up_in_touch: usize,
    pub(crate) went_on_in_touch: usize,
    /// Streams that went on at another version than the one that began them.
    pub(crate) wrong: usize,
    /// Bytes of records that were sent between hosts.
    pub(crate) bytes: usize,
}

struct ModelServer {
    entry: Arc<ServerEntry>,
    /// When the list had it, when it left the list, and when it stopped serving.
    listed: u64,
    draining: Option<u64>,
    removed: Option<u64>,
}

struct ModelHost {
    name: HostName,
    zone: ZoneName,
    tracker: VersionTracker,
    bindings: BindingTable,
    unstored: Vec<BindingNotice>,
    known: Vec<Arc<ServerEntry>>,
    started: u64,
    gone_until: Option<u64>,
    gone_since: u64,
    store_cut_until: u64,
    peer_cut_until: u64,
    next_read: u64,
    /// When the answer to a read arrives, and when it was sent.
    pending_read: Option<(u64, u64)>,
    was_mixed: bool,
}

struct ModelStream {
    key: StreamKey,
    origin: StreamOrigin,
    host: usize,
    ends: u64,
    breaks: u64,
}

/// A message of another host.
enum Delivery {
    Record(BindingNotice),
    Stored(BindingNotice),
    Mixed(u64),
}

/// The fleet at one moment.
pub(crate) struct VersionFleet {
    plan: FleetPlan,
    rng: StdRng,
    now: u64,
    base: Instant,
    servers: Vec<ModelServer>,
    hosts: Vec<ModelHost>,
    streams: Vec<ModelStream>,
    deliveries: Vec<(u64, usize, Delivery)>,
    store: Vec<(u64, BindingNotice)>,
    upgrades: Vec<(u64, usize, u32)>,
    numbers: u64,
    outcome: FleetOutcome,
}

impl VersionFleet {
    pub(crate) fn new(plan: FleetPlan, seed: u64) -> VersionFleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut upgrades = Vec::new();
        let mut at = 3_000;
        for version in [2, 3, 1] {
            let mut step = at;
            for place in 0..rng.random_range(2..=plan.servers) {
                upgrades.push((step, place, version));
                step += rng.random_range(50..700);
            }
            at += rng.random_range(2_000..9_000);
        }
        upgrades.sort_unstable();
        let mut fleet = VersionFleet {
            plan,
            rng,
            now: 0,
            base: Instant::now(),
            servers: Vec::new(),
            hosts: Vec::new(),
            streams: Vec::new(),
            deliveries: Vec::new(),
            store: Vec::new(),
            upgrades,
            numbers: 0,
            outcome: FleetOutcome::default(),
        };
        for _ in 0..plan.servers {
            fleet.start_server(1);
        }
        fleet.hosts = (0..plan.hosts).map(|number| new_host(number, 0)).collect();
        fleet
    }

    pub(crate) fn run(mut self) -> FleetOutcome {
        while self.now < self.plan.run_ms {
            self.now += TICK_MS;
            self.play_upgrades();
            self.play_faults();
            self.deliver();
            for host in 0..self.hosts.len() {
                self.step_host(host);
            }
            self.begin_streams();
            self.break_streams();
        }
        self.outcome
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    fn boot(&self) -> BootTime {
        boot_time(self.now)
    }

    fn start_server(&mut self, version: u32) {
        self.numbers += 1;
        let entry = ServerEntry {
            version: Some(SoftwareVersion::new(&format!("v{version}"))),
            ..server(&format!("s{}", self.numbers), ENGINES)
        };
        let (listed, entry) = (self.now, Arc::new(entry));
        self.servers.push(ModelServer { entry, listed, draining: None, removed: None });
    }

    /// The servers of a place are those whose number leaves the place as a remainder.
    fn play_upgrades(&mut self) {
        while let Some((at, place, version)) = self.upgrades.first().copied() {
            if self.now < at {
                return;
            }
            self.upgrades.remove(0);
            self.start_server(version);
            let serving: Vec<usize> = (0..self.servers.len() - 1)
                .filter(|number| self.servers[*number].draining.is_none())
                .collect();
            let old = serving[place % serving.len()];
            self.servers[old].draining = Some(self.now);
            self.servers[old].removed = Some(self.now + 2_500);
        }
    }

    fn play_faults(&mut self) {
        let (now, count) = (self.now, self.hosts.len());
        let herds: Vec<f64> = self
            .plan
            .herds
            .iter()
            .copied()
            .filter(|(at, _)| *at <= now && now < *at + TICK_MS)
            .map(|(_, share)| share)
            .collect();
        for share in herds {
            let killed = ((count as f64 * share).ceil() as usize).min(count);
            let first = self.rng.random_range(0..count);
            (0..killed).for_each(|turn| self.kill((first + turn) % count));
        }
        if self.rng.random_bool((self.plan.faults_per_s * TICK_MS as f64 / 1_000.0).min(1.0)) {
            let host = self.rng.random_range(0..count);
            let until = now + self.rng.random_range(500..8_000);
            match self.rng.random_range(0..4) {
                0 => self.kill(host),
                1 => self.hosts[host].store_cut_until = until,
                2 => self.hosts[host].peer_cut_until = until,
                _ => {
                    self.hosts[host].store_cut_until = until;
                    self.hosts[host].peer_cut_until = until;
                }
            }
        }
        for number in 0..count {
            if self.hosts[number].gone_until.is_some_and(|until| until <= now) {
                self.hosts[number] = new_host(number, now);
            }
        }
    }

    fn kill(&mut self, host: usize) {
        let now = self.now;
        let killed = &mut self.hosts[host];
        if killed.gone_until.is_none() {
            killed.gone_until = Some(now + RESTART_MS);
            killed.gone_since = now;
        }
    }

    fn deliver(&mut self) {
        let (now, instant, boot) = (self.now, self.instant(), self.boot());
        let due: Vec<(u64, usize, Delivery)> =
            self.deliveries.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, host, delivery) in due {
            let receiver = &mut self.hosts[host];
            if receiver.gone_until.is_some() || now < receiver.peer_cut_until {
                continue;
            }
            match delivery {
                Delivery::Record(notice) => receiver.bindings.merge(&notice, instant),
                Delivery::Stored(notice) => {
                    receiver.bindings.merge(&notice, instant);
                    receiver.unstored.push(notice);
                }
                Delivery::Mixed(service) => {
                    if receiver.tracker.record_mixed(service, boot) {
                        receiver.bindings.publish_all(instant);
                    }
                }
            }
        }
    }

    fn step_host(&mut self, number: usize) {
        if self.hosts[number].gone_until.is_some() {
            return;
        }
        self.read_list(number);
        self.publish(number);
        let now = self.now;
        let host = &mut self.hosts[number];
        if now.is_multiple_of(STORE_INTERVAL_MS) && host.store_cut_until <= now {
            let stored = std::mem::take(&mut host.unstored);
            self.store.extend(stored.into_iter().map(|notice| (now, notice)));
        }
        if (now + number as u64 * TICK_MS).is_multiple_of(GOSSIP_MS) {
            for service in self.hosts[number].tracker.mixed_services() {
                self.send_all(number, service);
            }
        }
    }

    fn read_list(&mut self, number: usize) {
        let (now, boot, instant) = (self.now, self.boot(), self.instant());
        let is_late = self.plan.has_late_reads && self.rng.random_bool(0.1);
        let takes = match is_late {
            true => self.rng.random_range(100..1_500),
            false => self.rng.random_range(READ_MS),
        };
        let host = &mut self.hosts[number];
        match host.pending_read {
            None if host.next_read <= now && host.store_cut_until <= now => {
                host.pending_read = Some((now + takes, now));
            }
            Some((at, sent)) if at <= now => {
                host.pending_read = None;
                host.next_read = now + READ_INTERVAL_MS;
                // The answer holds what was written when the read was sent.
                host.known = listed_at(&self.servers, sent);
                let entries = host.known.iter().map(Arc::as_ref);
                host.tracker.sync(entries, Some(boot_time(sent)), boot);
                let is_mixed = !host.tracker.mixed_services().is_empty();
                if is_mixed && !host.was_mixed {
                    host.bindings.publish_all(instant);
                }
                host.was_mixed = is_mixed;
            }
            _ => {}
        }
    }

    fn candidates(&self, number: usize) -> Vec<OwnerCandidate> {
        let now = self.now;
        let is_live = |host: &ModelHost| match host.gone_until {
            Some(_) => now < host.gone_since + VIEW_MS,
            None => host.started + GOSSIP_MS <= now || host.started == 0,
        };
        let hosts = self.hosts.iter().enumerate();
        let live = hosts.filter(|(other, host)| *other == number || is_live(host));
        live.map(|(_, host)| OwnerCandidate { host: host.name.clone(), zone: host.zone.clone() })
            .collect()
    }

    fn publish(&mut self, number: usize) {
        let instant = self.instant();
        let notices = self.hosts[number].bindings.take_unpublished(instant);
        if notices.is_empty() {
            return;
        }
        let candidates = self.candidates(number);
        let own = self.hosts[number].name.clone();
        for notice in notices {
            let writer = store_writer(notice.key, &own, &candidates).clone();
            if writer == own {
                self.hosts[number].unstored.push(notice);
            } else {
                self.send(number, &writer, Delivery::Stored(notice));
            }
            for owner in binding_owners(notice.key, &candidates, BINDING_OWNERS) {
                if owner != own && owner != writer {
                    self.send(number, &owner, Delivery::Record(notice));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &HostName, delivery: Delivery) {
        // A record takes some 38 bytes and its share of a message.
        self.outcome.bytes += 40;
        let to = host_number(to);
        if self.hosts[from].peer_cut_until <= self.now {
            let at = self.now + self.rng.random_range(SEND_MS);
            self.deliveries.push((at, to, delivery));
        }
    }

    fn send_all(&mut self, from: usize, service: u64) {
        if self.now < self.hosts[from].peer_cut_until {
            return;
        }
        for to in 0..self.hosts.len() {
            let at = self.now + self.rng.random_range(SEND_MS);
            self.deliveries.push((at, to, Delivery::Mixed(service)));
        }
    }

    fn begin_streams(&mut self) {
        let expected = self.plan.streams_per_s as f64 * TICK_MS as f64 / 1_000.0;
        let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let number = self.rng.random_range(0..self.hosts.len());
            self.begin_stream(number);
        }
    }

    fn begin_stream(&mut self, number: usize) {
        let (now, boot, instant) = (self.now, self.boot(), self.instant());
        let host = &mut self.hosts[number];
        if host.gone_until.is_some() {
            return;
        }
        let usable: Vec<StreamOrigin> = host
            .known
            .iter()
            .filter(|entry| entry.stage == ServerStage::Ready)
            .map(|entry| StreamOrigin::of(entry))
            .filter(|origin| host.tracker.waits_until(*origin, boot).is_none_or(|at| at <= boot))
            .collect();
        if usable.is_empty() {
            return;
        }
        let origin = usable[self.rng.random_range(0..usable.len())];
        self.numbers += 1;
        let key = StreamKey(
            u128::from(self.numbers).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        );
        let lasts = self.rng.random_range(STREAM_MS);
        let publishes = host.tracker.is_mixed(origin.service, boot);
        let expires = instant + Duration::from_secs(15);
        host.bindings.record(key, origin, expires, publishes, instant);
        let breaks = now + self.rng.random_range(10..lasts * 4);
        self.streams.push(ModelStream { key, origin, host: number, ends: now + lasts, breaks });
        self.outcome.begun += 1;
    }

    fn break_streams(&mut self) {
        let now = self.now;
        self.streams.retain(|stream| now < stream.ends);
        let is_broken = |stream: &ModelStream, hosts: &[ModelHost]| {
            stream.breaks <= now || hosts[stream.host].gone_until.is_some()
        };
        let broken: Vec<usize> = (0..self.streams.len())
            .filter(|number| is_broken(&self.streams[*number], &self.hosts))
            .collect();
        for number in broken {
            let host = self.rng.random_range(0..self.hosts.len());
            // Callers of hosts that are gone try again.
            if self.hosts[host].gone_until.is_none() {
                self.take_up(number, host);
            }
        }
    }

    fn take_up(&mut self, number: usize, host: usize) {
        let (key, origin) = (self.streams[number].key, self.streams[number].origin);
        let found = self.find(key, host);
        let serving = self.servers.iter().filter(|server| {
            StreamOrigin::of(&server.entry) == origin
                && server.listed + 1_500 <= self.now
                && server.draining.is_none()
        });
        if 2 <= serving.count() {
            let taker = &self.hosts[host];
            let is_in_touch = taker.store_cut_until <= self.now
                && taker.peer_cut_until <= self.now
                && (taker.started == 0 || taker.started + 1_000 <= self.now);
            self.outcome.taken_up += 1;
            self.outcome.taken_up_in_touch += usize::from(is_in_touch);
            if found.is_some() {
                self.outcome.went_on += 1;
                self.outcome.went_on_in_touch += usize::from(is_in_touch);
            }
        }
        self.outcome.wrong += usize::from(found.is_some_and(|found| found != origin));
        let later = self.now + self.rng.random_range(50..1_000);
        let stream = &mut self.streams[number];
        (stream.host, stream.breaks) = (host, later);
        if found.is_none() {
            // The caller gives up.
            stream.ends = self.now;
        }
    }

    /// Looks where a host that is asked to take up a stream does.
    fn find(&mut self, key: StreamKey, number: usize) -> Option<StreamOrigin> {
        let (instant, boot, now) = (self.instant(), self.boot(), self.now);
        if let Some(origin) = bound(&self.hosts[number].bindings, key, instant) {
            return Some(origin);
        }
        if self.hosts[number].peer_cut_until <= now {
            let owners = binding_owners(key, &self.candidates(number), ASKED_OWNERS);
            for owner in owners {
                let asked = &self.hosts[host_number(&owner)];
                let replies = asked.gone_until.is_none() && asked.peer_cut_until <= now;
                let notice = asked.bindings.notice(key, instant).filter(|_| replies);
                if let Some(notice) = notice {
                    self.hosts[number].bindings.merge(&notice, instant);
                    return bound(&self.hosts[number].bindings, key, instant);
                }
            }
        }
        let service = ServiceName::new(ENGINES);
        let proved = |host: &ModelHost| match host.tracker.sole_origin(&service, boot, boot) {
            SoleOrigin::Proved(origin) => Some(origin),
            SoleOrigin::OnlyKnown(_) | SoleOrigin::Ambiguous => None,
        };
        if let Some(origin) = proved(&self.hosts[number]) {
            return Some(origin);
        }
        let host = &mut self.hosts[number];
        if host.store_cut_until <= now {
            for (_, notice) in self.store.iter().filter(|(at, _)| now < at + 15_000) {
                host.bindings.merge(notice, instant);
                if let Some(origin) = notice.origin {
                    host.tracker.record_mixed(origin.service, boot);
                }
            }
            host.tracker.record_past();
        }
        bound(&host.bindings, key, instant).or_else(|| proved(host))
    }
}

fn bound(bindings: &BindingTable, key: StreamKey, now: Instant) -> Option<StreamOrigin> {
    match bindings.lookup(key, now) {
        BindingLookup::Bound { origin, .. } => Some(origin),
        BindingLookup::Contradictory | BindingLookup::Unknown => None,
    }
}

fn boot_time(now: u64) -> BootTime {
    BootTime(1_000_000 + now)
}

fn listed_at(servers: &[ModelServer], at: u64) -> Vec<Arc<ServerEntry>> {
    let is_listed = |server: &&ModelServer| {
        server.listed <= at && server.removed.is_none_or(|removed| at < removed)
    };
    let entry = |server: &ModelServer| match server.draining {
        Some(since) if since <= at => {
            Arc::new(ServerEntry { stage: ServerStage::Draining, ..(*server.entry).clone() })
        }
        _ => server.entry.clone(),
    };
    servers.iter().filter(is_listed).map(entry).collect()
}

fn new_host(number: usize, now: u64) -> ModelHost {
    ModelHost {
        name: HostName::new(&format!("host-{number}")),
        zone: ZoneName::new(&format!("zone-{}", number % ZONES)),
        tracker: VersionTracker::default(),
        bindings: BindingTable::default(),
        unstored: Vec::new(),
        known: Vec::new(),
        started: now,
        gone_until: None,
        gone_since: 0,
        store_cut_until: 0,
        peer_cut_until: 0,
        next_read: now + number as u64 * 7 % READ_INTERVAL_MS,
        pending_read: None,
        was_mixed: false,
    }
}

fn host_number(host: &HostName) -> usize {
    host.as_str().trim_start_matches("host-").parse().unwrap_or_default()
}
