//! Draws from a seed what goes wrong and when.

use std::net::Ipv4Addr;
use std::ops::Range;
use std::time::Duration;

use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::LinkFault;
use fulmargate_consortium_stand::ResponseShape;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ShapeFraming;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::LinkPlace;
use crate::RouterSignal;
use crate::SoakFault;
use crate::fault_source::FaultSource;
use crate::shape_draw::EVENT_PAUSE;
use crate::shape_draw::drawn_shape;
use crate::soak_world::loopback;

/// Steps of a plan; a series counts once.
const STEPS: std::ops::RangeInclusive<usize> = 8..=16;
/// Share of the steps that come as a series of the same kind.
const SERIES_SHARE: f64 = 0.25;
/// Steps of a series, and the longest pause between them.
const SERIES_STEPS: usize = 3;
const SERIES_PAUSE_MS: u64 = 600;
/// How long a fault lasts.
const LASTS_MS: std::ops::RangeInclusive<u64> = 200..=3_000;
/// Bounds where they are not drawn.
const WEIGHTS_BOUND: Duration = Duration::from_secs(6);
const LEASE: Duration = Duration::from_secs(3);
/// Nothing goes wrong before; callers have begun by then.
const CALM_START_MS: u64 = 500;

/// How long the store is silent for a router that is cut off: longer than its bound on taken keys.
const CUT_OFF_MS: std::ops::RangeInclusive<u64> = 5_000..=7_000;
/// When the key is taken after that began.
const TAKEN_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=1_000;

/// How long a link is full: longer than a router's patience with a silent
/// stream of 1 s and four connection attempts of 150 ms.
const FULL_MS: std::ops::RangeInclusive<u64> = 2_000..=4_000;
/// Answers pause from so long before a link becomes full, or most would have ended.
const PAUSES_BEFORE_MS: u64 = 800;
const PAUSES_MS: u64 = 1_600;
/// Keeps the full links from the draws of other kinds.
const FULL_LINK_DRAWS: u64 = 0x6675_6c6c;
/// Times that the store comes back from a copy in a run that is drawn for it.
const RESTORES: usize = 2;
/// Age of the copy.
const COPY_AGE_MS: std::ops::RangeInclusive<u64> = 500..=3_000;
/// A router is started anew within this time after the store's return.
const START_AFTER_MS: std::ops::RangeInclusive<u64> = 0..=1_500;
/// Keeps these draws from those of other kinds.
const RESTORE_DRAWS: u64 = 0x7265_7374;
/// Departures in a run that is drawn for them.
const DEPARTURES: usize = 3;
/// How long a router is cut off from the store or paused around a departure.
const ISOLATION_MS: std::ops::RangeInclusive<u64> = 2_000..=7_000;
/// Keeps these draws from those of other kinds.
const DEPARTURE_DRAWS: u64 = 0x6c65_6176;
/// Servers that name a limit in a run that is drawn for them.
const LIMITS: usize = 4;
/// How long a server names its limit: longer than the span over which it is judged.
const LIMIT_MS: std::ops::RangeInclusive<u64> = 5_500..=9_000;
/// Limits, in tenths of a request a second.
const LIMIT_RATES: [u32; 5] = [3, 10, 28, 60, 200];
/// Keeps these draws from those of other kinds.
const LIMIT_DRAWS: u64 = 0x6c69_6d74;
/// Times that a server shapes its responses, and that a server is killed, in a run that is drawn for them.
const SHAPES: usize = 6;
const SERVER_KILLS: usize = 3;
/// How long a server shapes its responses.
const SHAPE_MS: std::ops::RangeInclusive<u64> = 1_000..=4_000;
/// When a server is killed after it began to send responses without framing.
const KILLED_AFTER_MS: std::ops::RangeInclusive<u64> = 200..=1_500;
/// Time after which the entry of a killed server expires: three heartbeats.
const ENTRY_EXPIRY_MS: u64 = 3_600;
/// Keeps these draws from those of other kinds.
const SHAPE_DRAWS: u64 = 0x7368_6170;
/// Cuts of hosts in a run that is drawn for them.
const HOST_CUTS: usize = 2;
/// How long a host reaches no server: longer than until it is judged.
const HOST_CUT_MS: std::ops::RangeInclusive<u64> = 4_500..=8_000;
const HOST_CUT_KINDS: [LinkCut; 4] =
    [LinkCut::Hang, LinkCut::Reset, LinkCut::NewRefused, LinkCut::NewHang];
/// Keeps these draws from those of other kinds.
const HOST_CUT_DRAWS: u64 = 0x6375_7473;
/// How long servers are brittle.
const BRITTLE_MS: std::ops::RangeInclusive<u64> = 6_000..=10_000;
/// Rejections in a second at which they fall over.
const BRITTLE_RATES: [u32; 4] = [1, 3, 8, 30];
/// Keeps these draws from those of other kinds.
const BRITTLE_DRAWS: u64 = 0x6272_6974;
/// How long one router takes all new connections, and how long after servers became brittle: callers' share before is
/// compared with that.
const CROWD_MS: u64 = 7_000;
const CROWD_AFTER_MS: u64 = 5_000;
/// Keeps these draws from those of other kinds.
const CROWD_DRAWS: u64 = 0x6372_6f77;
/// Crashing requests in a run that is drawn for them.
const CRASHING_REQUESTS: u32 = 2;
/// How long they are sent: longer than until routers know them.
const CRASHING_REQUEST_MS: std::ops::RangeInclusive<u64> = 7_000..=10_000;
/// Keeps these draws from those of other kinds.
const CRASHING_REQUEST_DRAWS: u64 = 0x6372_6173;
/// Crashing parts in a run that is drawn for them.
const CRASHING_PARTS: u32 = 2;
/// Keeps these draws from those of other kinds.
const CRASHING_PART_DRAWS: u64 = 0x7061_7274;
/// With so many hosts and fewer, each reads the store itself.
const FEW_HOSTS: usize = 6;

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultStep {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; changes take no time.
    pub lasts: Duration,
    /// What it is.
    pub fault: SoakFault,
}

/// All that goes wrong in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// What it was drawn from.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Routers read the store by others if there are more hosts of a zone than this.
    pub few_hosts: usize,
    /// Time after a version was named for which requests may begin on older weights.
    pub weights_bound: Duration,
    /// Length of the lease of order holders.
    pub lease: Duration,
    /// Faults by their begin.
    pub steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Draws a plan. Equal seeds give equal plans.
    pub fn draw(seed: u64, routers: usize, servers: usize, length: Duration) -> FaultPlan {
        let mut source = FaultSource { rng: StdRng::seed_from_u64(seed), routers, servers };
        let few_hosts = if source.rng.random_bool(0.5) { FEW_HOSTS } else { 1 };
        let count = source.rng.random_range(STEPS);
        let mut steps = Vec::new();
        for _ in 0..count {
            let start = source.rng.random_range(CALM_START_MS..length.as_millis() as u64);
            let is_series = source.rng.random_bool(SERIES_SHARE);
            let fault = source.fault();
            let mut at = start;
            for turn in 0..if is_series { SERIES_STEPS } else { 1 } {
                let fault = if turn == 0 { fault } else { source.alike(fault) };
                let lasts = Duration::from_millis(source.rng.random_range(LASTS_MS));
                steps.push(FaultStep { at: Duration::from_millis(at), lasts, fault });
                at += source.rng.random_range(50..SERIES_PAUSE_MS);
            }
        }
        steps.sort_by_key(|step| step.at);
        let (weights_bound, lease) = (WEIGHTS_BOUND, LEASE);
        FaultPlan { seed, routers, few_hosts, weights_bound, lease, steps }
    }

    /// Beside all else the store falls silent for one router, and then a key is taken away. Short faults
    /// alone hardly ever leave a router with a proof that is too old.
    pub fn with_cut_off(mut self, routers: usize) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(!self.seed);
        let place = LinkPlace::Store(rng.random_range(0..routers));
        let at = rng.random_range(CALM_START_MS..2 * CALM_START_MS);
        let lasts = Duration::from_millis(rng.random_range(CUT_OFF_MS));
        let taken = at + rng.random_range(TAKEN_AFTER_MS);
        let cut = SoakFault::Link(place, LinkFault::Silent);
        self.steps.push(FaultStep { at: Duration::from_millis(at), lasts, fault: cut });
        let fault = SoakFault::TakeKey;
        let at = Duration::from_millis(taken);
        self.steps.push(FaultStep { at, lasts: Duration::ZERO, fault });
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else the links of hosts are full for a while, one for each of these groups of servers,
    /// whose answers pause as it begins. All routers read the store themselves: each must find the servers
    /// behind its own link.
    pub fn with_full_links(
        mut self,
        routers: usize,
        paused: &[Range<usize>],
        length: Duration,
    ) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ FULL_LINK_DRAWS);
        self.few_hosts = FEW_HOSTS;
        for servers in paused {
            let start = CALM_START_MS + PAUSES_BEFORE_MS;
            let at = rng.random_range(start..length.as_millis() as u64);
            let lasts = Duration::from_millis(rng.random_range(FULL_MS));
            let fault = SoakFault::FullLink(rng.random_range(0..routers));
            self.steps.push(FaultStep { at: Duration::from_millis(at), lasts, fault });
            for server in servers.clone() {
                let at = Duration::from_millis(at - PAUSES_BEFORE_MS);
                let lasts = Duration::from_millis(PAUSES_MS);
                let fault = SoakFault::Server(server, ServerMode::PausedEcho);
                self.steps.push(FaultStep { at, lasts, fault });
            }
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else the store comes back from copies of itself. What is written since a copy is made is
    /// lost: a configuration without a key, new weights. A router is started anew soon after.
    pub fn with_restores(mut self, routers: usize, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ RESTORE_DRAWS);
        for _ in 0..RESTORES {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64);
            let age = rng.random_range(COPY_AGE_MS);
            let lost =
                if rng.random_bool(0.5) { SoakFault::TakeKey } else { SoakFault::NameWeights };
            let lost_at = at + rng.random_range(0..age);
            let start_at = at + age + rng.random_range(START_AFTER_MS);
            let kill = SoakFault::Signal(rng.random_range(0..routers), RouterSignal::Kill);
            let steps =
                [(at, age, SoakFault::RestoreStore), (lost_at, 0, lost), (start_at, 0, kill)];
            self.steps.extend(steps.map(|(at, lasts, fault)| FaultStep {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(lasts),
                fault,
            }));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else routers are cut off from the store or paused, and a server leaves without a notice
    /// meanwhile.
    pub fn with_departures(
        mut self,
        routers: usize,
        servers: usize,
        length: Duration,
    ) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ DEPARTURE_DRAWS);
        for _ in 0..DEPARTURES {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64);
            let isolation = rng.random_range(ISOLATION_MS);
            let router = rng.random_range(0..routers);
            let isolate = match rng.random_bool(0.7) {
                true => SoakFault::Link(LinkPlace::Store(router), LinkFault::Silent),
                false => SoakFault::Signal(router, RouterSignal::Pause),
            };
            let removed_at = at + rng.random_range(0..isolation);
            let remove = SoakFault::RemoveServer(rng.random_range(0..servers));
            let steps = [(at, isolation, isolate), (removed_at, 0, remove)];
            self.steps.extend(steps.map(|(at, lasts, fault)| FaultStep {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(lasts),
                fault,
            }));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else servers name limits, each for a while; at times all of a service do.
    pub fn with_limits(mut self, servers: usize, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ LIMIT_DRAWS);
        let first = rng.random_range(0..servers);
        for number in 0..LIMITS {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64 / 2);
            let rate = LIMIT_RATES[rng.random_range(0..LIMIT_RATES.len())];
            self.steps.push(FaultStep {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(rng.random_range(LIMIT_MS)),
                fault: SoakFault::ServerLimit((first + number) % servers, rate),
            });
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else servers frame and end their responses in all ways that their callers can tell, and servers
    /// that send responses without framing are killed.
    pub fn with_response_ends(
        mut self,
        desks: usize,
        engines: usize,
        length: Duration,
    ) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ SHAPE_DRAWS);
        let servers = desks + engines;
        let mut shape = |at: u64, server: usize, shape: ResponseShape, rng: &mut StdRng| {
            let fault = SoakFault::Server(server, ServerMode::Shaped(shape));
            let lasts = Duration::from_millis(rng.random_range(SHAPE_MS));
            self.steps.push(FaultStep { at: Duration::from_millis(at), lasts, fault });
        };
        let latest = length.as_millis() as u64;
        for _ in 0..SHAPES {
            let at = rng.random_range(CALM_START_MS..latest);
            let server = rng.random_range(0..servers);
            let drawn = drawn_shape(&mut rng, server < desks);
            shape(at, server, drawn, &mut rng);
        }
        let mut kills = Vec::new();
        for _ in 0..SERVER_KILLS {
            let at = rng.random_range(CALM_START_MS..latest);
            let server = rng.random_range(0..servers);
            let mut unframed = ResponseShape::whole(ShapeFraming::UntilClose);
            unframed.pause = EVENT_PAUSE;
            shape(at, server, unframed, &mut rng);
            kills.push((at + rng.random_range(KILLED_AFTER_MS), server));
        }
        self.steps.extend(kills.into_iter().map(|(at, server)| FaultStep {
            at: Duration::from_millis(at),
            lasts: Duration::from_millis(ENTRY_EXPIRY_MS),
            fault: SoakFault::KillServer(server),
        }));
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else hosts lose their links to all servers, one or two at a time. All routers read the store
    /// themselves, as with full links.
    pub fn with_host_cuts(mut self, routers: usize, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ HOST_CUT_DRAWS);
        self.few_hosts = FEW_HOSTS;
        for _ in 0..HOST_CUTS {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64 / 2);
            let lasts = Duration::from_millis(rng.random_range(HOST_CUT_MS));
            let first = rng.random_range(0..routers);
            let cut = HOST_CUT_KINDS[rng.random_range(0..HOST_CUT_KINDS.len())];
            for router in first..first + rng.random_range(1..routers) {
                let fault = SoakFault::CutHost(router % routers, cut);
                self.steps.push(FaultStep { at: Duration::from_millis(at), lasts, fault });
            }
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else the servers of the plain service are slow and brittle for a while.
    pub fn with_brittle_servers(mut self, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ BRITTLE_DRAWS);
        let at = rng.random_range(CALM_START_MS..length.as_millis() as u64 / 2);
        self.steps.push(FaultStep {
            at: Duration::from_millis(at),
            lasts: Duration::from_millis(rng.random_range(BRITTLE_MS)),
            fault: SoakFault::Brittle(BRITTLE_RATES[rng.random_range(0..BRITTLE_RATES.len())]),
        });
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Whether one router takes all new connections for a while.
    pub(crate) fn has_crowds(&self) -> bool {
        self.steps.iter().any(|step| matches!(step.fault, SoakFault::CrowdHost(_)))
    }

    /// Beside all else one router takes all new connections, while the servers of the plain service are brittle.
    pub fn with_crowded_hosts(mut self, routers: usize, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ CROWD_DRAWS);
        let at = rng.random_range(CALM_START_MS..length.as_millis() as u64 / 2);
        let rate = BRITTLE_RATES[rng.random_range(0..BRITTLE_RATES.len())];
        let steps = [
            (at, CROWD_AFTER_MS + CROWD_MS, SoakFault::Brittle(rate)),
            (at + CROWD_AFTER_MS, CROWD_MS, SoakFault::CrowdHost(rng.random_range(0..routers))),
        ];
        self.steps.extend(steps.map(|(at, lasts, fault)| FaultStep {
            at: Duration::from_millis(at),
            lasts: Duration::from_millis(lasts),
            fault,
        }));
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Beside all else callers send requests that crash the servers of the plain service.
    pub fn with_crashing_requests(mut self, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ CRASHING_REQUEST_DRAWS);
        for number in 0..CRASHING_REQUESTS {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64 / 2);
            self.steps.push(FaultStep {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(rng.random_range(CRASHING_REQUEST_MS)),
                fault: SoakFault::CrashingRequest(number),
            });
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Whether parts of prompts crash engines.
    pub(crate) fn has_crashing_parts(&self) -> bool {
        self.steps.iter().any(|step| matches!(step.fault, SoakFault::CrashingPart(_)))
    }

    /// Beside all else callers send prompts with parts that crash engines.
    pub fn with_crashing_parts(mut self, length: Duration) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(self.seed ^ CRASHING_PART_DRAWS);
        for number in 0..CRASHING_PARTS {
            let at = rng.random_range(CALM_START_MS..length.as_millis() as u64 / 2);
            self.steps.push(FaultStep {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(rng.random_range(CRASHING_REQUEST_MS)),
                fault: SoakFault::CrashingPart(number),
            });
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// The address of loopback at which a router finds the servers: one of its own where its link may
    /// be full or cut.
    pub(crate) fn servers_at(&self, router: usize) -> Ipv4Addr {
        let has_links = self
            .steps
            .iter()
            .any(|step| matches!(step.fault, SoakFault::FullLink(_) | SoakFault::CutHost(..)));
        if has_links { loopback(router) } else { Ipv4Addr::LOCALHOST }
    }
}
