//! Brittle servers under more load than they take, on virtual time: routers restart, servers fall and come back.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::NamedLimit;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::PlainPlacement;
use fulmargate_dispatch::SendTicket;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::gossip_interval;
use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use support::PLAIN_SERVICE;
use support::key;
use support::prompt_call;
use support::server;
use support::server_limits;
use support::zone;
use tokio::time::Instant;

const SERVERS: usize = 12;
const SLOTS: u32 = 6;
/// Requests that a brittle server lets wait.
const QUEUE: u32 = 1;
const TICK: Duration = Duration::from_millis(5);
/// Ticks that a request takes at a server.
const WORK_TICKS: usize = 4;
/// Arrivals for each request that servers can finish.
const OVERLOAD: f64 = 1.5;
const BRITTLE_AT: Duration = Duration::from_secs(5);
/// Routers in touch know of it so long after.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_secs(13);
const FALL_TIME: Duration = Duration::from_secs(4);
/// One router restarts at this interval.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_700);
/// How long most arrivals come to one router.
const CROWD_TIME: Duration = Duration::from_secs(3);
/// Requests that wait at a router; the others are rejected.
const MAX_WAITING: usize = 40;
/// Share of the servers' capacity that has to be used while they are brittle.
const MIN_USE: f64 = 0.5;
/// What is left of that while most requests come to one router: the users' bound.
const MIN_CROWDED_PART: f64 = 0.75;

struct ModelCase {
    routers: usize,
    rejections_per_s: u32,
    /// Share of the arrivals that come to one router, to another one after each `CROWD_TIME`.
    crowded_share: f64,
}

const CASES: &[ModelCase] = &[
    ModelCase { routers: 6, rejections_per_s: 1, crowded_share: 0.0 },
    ModelCase { routers: 6, rejections_per_s: 4, crowded_share: 0.0 },
    ModelCase { routers: 6, rejections_per_s: 20, crowded_share: 0.0 },
    ModelCase { routers: 6, rejections_per_s: 100, crowded_share: 0.0 },
    ModelCase { routers: 30, rejections_per_s: 1, crowded_share: 0.0 },
    ModelCase { routers: 6, rejections_per_s: 1, crowded_share: 0.95 },
    ModelCase { routers: 6, rejections_per_s: 20, crowded_share: 0.6 },
    ModelCase { routers: 30, rejections_per_s: 1, crowded_share: 0.95 },
    ModelCase { routers: 30, rejections_per_s: 20, crowded_share: 0.6 },
];

struct ModelServer {
    entry: Arc<ServerEntry>,
    /// Requests with the router that sent them and the tick at which they end.
    open: Vec<(usize, SendTicket, usize)>,
    rejections: Vec<Instant>,
    back_at: Option<Instant>,
    starts: usize,
}

struct BrittleModel {
    routers: Vec<ServerRegistry>,
    /// Requests that wait at each router.
    waiting: Vec<usize>,
    servers: Vec<ModelServer>,
    falls: usize,
    finished: usize,
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("host-{number}"))
}

fn entry(name: &str) -> Arc<ServerEntry> {
    Arc::new(ServerEntry { slots: SLOTS, ..server(name, PLAIN_SERVICE) })
}

impl BrittleModel {
    fn new(routers: usize, start: Instant) -> BrittleModel {
        let new_server = |number| ModelServer {
            entry: entry(&format!("s{number}-0")),
            open: Vec::new(),
            rejections: Vec::new(),
            back_at: None,
            starts: 0,
        };
        let mut model = BrittleModel {
            routers: Vec::new(),
            waiting: vec![0; routers],
            servers: (0..SERVERS).map(new_server).collect(),
            falls: 0,
            finished: 0,
        };
        model.routers =
            (0..routers).map(|number| model.start_router(number, 0, routers, start)).collect();
        model
    }

    fn start_router(
        &self,
        number: usize,
        start: u16,
        routers: usize,
        now: Instant,
    ) -> ServerRegistry {
        let mut registry = ServerRegistry::with_limits(server_limits(host(number), start));
        registry.sync(&self.entries(), now);
        registry.set_limit_routers((0..routers).map(|number| (host(number), zone())), now);
        registry.set_gossip_interval(gossip_interval(routers - 1));
        registry
    }

    fn entries(&self) -> Vec<Arc<ServerEntry>> {
        self.servers.iter().map(|server| server.entry.clone()).collect()
    }

    fn exchange_gossip(&mut self, now: Instant) {
        let messages: Vec<GossipMessage> = self
            .routers
            .iter_mut()
            .enumerate()
            .map(|(number, registry)| GossipMessage {
                host: Some(host(number)),
                zone: Some(zone()),
                limits: registry.take_limit_report(now),
                rejections: registry.take_rejections(now),
                ..registry.take_gossip(100, now)
            })
            .collect();
        for (number, registry) in self.routers.iter_mut().enumerate() {
            for (sender, message) in
                messages.iter().enumerate().filter(|(sender, _)| *sender != number)
            {
                registry.apply_gossip(message, now);
                if let Some(report) = &message.limits {
                    registry.apply_limit_report(&host(sender), report, now);
                }
            }
        }
    }

    fn arrive(&mut self, router: usize, now: Instant) {
        self.routers[router].record_demand(&ServiceName::new(PLAIN_SERVICE), now);
        self.waiting[router] = (self.waiting[router] + 1).min(MAX_WAITING);
    }

    fn send_waiting(
        &mut self,
        router: usize,
        tick: usize,
        case: &ModelCase,
        is_brittle: bool,
        now: Instant,
    ) {
        while 0 < self.waiting[router] && self.send(router, tick, case, is_brittle, now) {
            self.waiting[router] -= 1;
        }
    }

    /// Sends a request of a router. Returns whether a server may have it.
    fn send(
        &mut self,
        router: usize,
        tick: usize,
        case: &ModelCase,
        is_brittle: bool,
        now: Instant,
    ) -> bool {
        let call = prompt_call("load", &[], now);
        let service = ServiceName::new(PLAIN_SERVICE);
        let registry = &mut self.routers[router];
        let placed = registry.place_plain(&call, &service, &zone(), &[], None, now);
        let PlainPlacement::Assigned(assigned) = placed else { return false };
        let (chosen, mut ticket) = (assigned.server, assigned.ticket);
        registry.record_sent(&mut ticket, now);
        let Some(server) =
            self.servers.iter_mut().find(|server| server.entry.key() == chosen.key())
        else {
            registry.record_end(&ticket);
            return true;
        };
        if server.back_at.is_some() {
            registry.record_unreachable(chosen.key(), now);
            registry.record_end(&ticket);
            return true;
        }
        let named = match is_brittle {
            true => NamedLimit::PerSecond(f64::from(case.rejections_per_s)),
            false => NamedLimit::Absent,
        };
        registry.record_response(&mut ticket, None, now);
        registry.record_brittle(&ticket, named, now);
        if (SLOTS + QUEUE) as usize <= server.open.len() && is_brittle {
            registry.record_rejection(chosen.key(), now);
            registry.record_end(&ticket);
            server.rejections.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
            server.rejections.push(now);
            if (case.rejections_per_s as usize) < server.rejections.len() {
                self.falls += 1;
                self.fall(&chosen, now);
            }
            return true;
        }
        server.open.push((router, ticket, tick + WORK_TICKS));
        true
    }

    fn fall(&mut self, fallen: &ServerEntry, now: Instant) {
        for server in self.servers.iter_mut().filter(|server| server.entry.key() == fallen.key()) {
            server.rejections.clear();
            server.back_at = Some(now + FALL_TIME);
            for (router, ticket, _) in server.open.drain(..) {
                self.routers[router].record_failure(key(fallen.name.as_str()), now);
                self.routers[router].record_end(&ticket);
            }
        }
    }

    fn finish_work(&mut self, tick: usize, now: Instant) {
        for server in &mut self.servers {
            let (ended, open): (Vec<_>, Vec<_>) =
                server.open.drain(..).partition(|(_, _, end)| *end <= tick);
            server.open = open;
            for (router, ticket, _) in ended {
                self.finished += 1;
                self.routers[router].record_success(&ticket, now);
                self.routers[router].record_end(&ticket);
            }
        }
    }

    /// Servers that are back have started anew.
    fn restart_servers(&mut self, now: Instant) {
        let mut is_changed = false;
        for (number, server) in self.servers.iter_mut().enumerate() {
            if server.back_at.is_some_and(|back_at| back_at <= now) {
                server.back_at = None;
                server.starts += 1;
                server.entry = entry(&format!("s{number}-{}", server.starts));
                is_changed = true;
            }
        }
        if is_changed {
            let entries = self.entries();
            self.routers.iter_mut().for_each(|router| router.sync(&entries, now));
        }
    }
}

impl ModelCase {
    /// The router that an arrival comes to.
    fn router_of(&self, tick: usize, turn: usize) -> usize {
        let number = tick * 7 + turn;
        let is_crowded = ((number * 13) % 100) as f64 / 100.0 < self.crowded_share;
        let crowds = tick / (CROWD_TIME.as_millis() / TICK.as_millis()) as usize;
        if is_crowded { crowds % self.routers } else { number % self.routers }
    }

    fn check(&self) {
        let start = Instant::now();
        let mut model = BrittleModel::new(self.routers, start);
        let gossip_ticks =
            (gossip_interval(self.routers - 1).as_millis() / TICK.as_millis()).max(1) as usize;
        let capacity_per_tick = (SERVERS * SLOTS as usize) as f64 / WORK_TICKS as f64;
        let mut arrivals = 0.0;
        let (mut judged_ticks, mut finished_before) = (0, 0);
        for tick in 0..(RUN_TIME.as_millis() / TICK.as_millis()) as usize {
            let since_start = TICK * tick as u32;
            let now = start + since_start;
            if since_start == BRITTLE_AT + CONTACT_TIME {
                model.falls = 0;
                finished_before = model.finished;
            }
            judged_ticks += usize::from(BRITTLE_AT + CONTACT_TIME <= since_start);
            model.finish_work(tick, now);
            model.restart_servers(now);
            if since_start.as_millis().is_multiple_of(RESTART_INTERVAL.as_millis()) && 0 < tick {
                let router = tick % self.routers;
                model
                    .servers
                    .iter_mut()
                    .for_each(|server| server.open.retain(|(of, _, _)| *of != router));
                model.routers[router] = model.start_router(router, tick as u16, self.routers, now);
            }
            arrivals += capacity_per_tick * OVERLOAD;
            for turn in 0..arrivals as usize {
                model.arrive(self.router_of(tick, turn), now);
            }
            arrivals -= arrivals.floor();
            for router in 0..self.routers {
                model.send_waiting(router, tick, self, BRITTLE_AT <= since_start, now);
            }
            if tick % gossip_ticks == 0 {
                model.exchange_gossip(now);
            }
        }
        let use_share =
            (model.finished - finished_before) as f64 / (judged_ticks as f64 * capacity_per_tick);
        let case = format!(
            "{} routers, {} rejections a second, {} at one",
            self.routers, self.rejections_per_s, self.crowded_share
        );
        let falls = model.falls as f64;
        assert!(falls <= 2.0 + SERVERS as f64 / 10.0, "{case}: {falls} falls, use {use_share}");
        let crowded_part = if 0.0 < self.crowded_share { MIN_CROWDED_PART } else { 1.0 };
        assert!(MIN_USE * crowded_part <= use_share, "{case}: use {use_share}, {falls} falls");
    }
}

/// Brittle servers must hardly ever fall, also while routers restart, and must not be left idle.
#[test]
fn brittle_servers_hardly_fall_under_overload() {
    CASES.iter().for_each(ModelCase::check);
}
