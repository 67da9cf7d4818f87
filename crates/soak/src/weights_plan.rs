//! Series of weights versions, beside hosts that stop and engines that load late.

use std::ops::Range;
use std::ops::RangeInclusive;
use std::time::Duration;

use fulmargate_consortium_stand::OrderHandling;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::FaultPlan;
use crate::FaultStep;
use crate::RouterSignal;
use crate::SoakFault;

/// When the first versions of the series are named, and the latest of further ones, in thousandths of the run's length.
const SERIES: [(Range<u64>, u64); 2] = [(30..120, 750), (750..850, 1_000)];
/// Versions of a series, the shortest and the longest pause between two of them, and the spread around the mean of one
/// series.
const SERIES_VERSIONS: RangeInclusive<usize> = 2..=6;
const VERSION_PAUSE_MS: RangeInclusive<u64> = 300..=3_000;
const PAUSE_SPREAD: RangeInclusive<f64> = 0.6..=1.4;
/// Share of the versions that are named a second time, and share of the others that skip numbers.
const AGAIN_SHARE: f64 = 0.15;
const SKIP_SHARE: f64 = 0.25;
const SKIP_STEPS: RangeInclusive<u64> = 2..=4;

/// Kinds of disturbances of routers in a series.
const KINDS: RangeInclusive<usize> = 1..=3;
/// Disturbances come until this time after the last version.
const LAST_DISTURBANCE_MS: u64 = 500;
/// Pause between the planned stops of all routers.
const STOP_PAUSE_MS: Range<u64> = 200..1_200;
/// Kills of single routers.
const KILLS: RangeInclusive<usize> = 1..=2;
/// How soon after a version all routers are killed.
const KILL_ALL_AFTER_MS: RangeInclusive<u64> = 100..=500;
/// How long a killed router is down.
const DOWN_MS: RangeInclusive<u64> = 100..=700;
/// How long a router is paused.
const PAUSED_MS: RangeInclusive<u64> = 500..=4_000;
/// Share of the series in which the store drops its history.
const FORGET_SHARE: f64 = 0.5;
/// Engines that leave orders unanswered or carry them out late in a series, and for how long.
const LATE_ENGINES: RangeInclusive<usize> = 1..=3;
const LATE_ENGINE_MS: RangeInclusive<u64> = 3_000..=8_000;
const UNANSWERED_SHARE: f64 = 0.6;
const ORDER_DELAY_MS: RangeInclusive<u64> = 800..=4_000;
/// Time after which the entry of an engine that has restarted expires: three heartbeats.
const ENTRY_EXPIRY_MS: u64 = 3_600;
/// Time for which all versions stay allowed after a newer one, drawn among these.
const WEIGHTS_BOUNDS_MS: [u64; 3] = [4_000, 5_000, 6_000];
const LEASE: Duration = Duration::from_secs(2);
/// Keeps these draws from those of other kinds.
const WEIGHTS_DRAWS: u64 = 0x7765_6967;

/// What disturbs routers in a series.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    RollingStops,
    Kills,
    KillAll,
    Pause,
}

const DISTURBANCES: [Disturbance; 4] =
    [Disturbance::RollingStops, Disturbance::Kills, Disturbance::KillAll, Disturbance::Pause];

/// Draws the steps of series.
struct SeriesSource {
    rng: StdRng,
    routers: usize,
    engines: Range<usize>,
    steps: Vec<FaultStep>,
}

impl FaultPlan {
    /// Beside all else operators name series of weights versions, while routers are stopped and killed and engines
    /// load late.
    pub fn with_weights(mut self, engines: Range<usize>, length: Duration) -> FaultPlan {
        let rng = StdRng::seed_from_u64(self.seed ^ WEIGHTS_DRAWS);
        let length_ms = length.as_millis() as u64;
        let (routers, steps) = (self.routers, Vec::new());
        let mut source = SeriesSource { rng, routers, engines, steps };
        let bound = WEIGHTS_BOUNDS_MS[source.rng.random_range(0..WEIGHTS_BOUNDS_MS.len())];
        (self.weights_bound, self.lease) = (Duration::from_millis(bound), LEASE);
        for (begins, latest) in SERIES {
            let begins = source.rng.random_range(begins) * length_ms / 1_000;
            let named = source.versions(begins, latest * length_ms / 1_000);
            source.disturb_routers(&named);
            source.disturb_engines(&named);
        }
        self.steps.append(&mut source.steps);
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Without the faults that disturb routers or engines.
    pub fn without_disturbances(mut self) -> FaultPlan {
        let routers = self.routers;
        let disturbs = |step: &FaultStep| {
            step.fault.harms_servers() || (0..routers).any(|router| step.fault.disturbs(router))
        };
        self.steps.retain(|step| !disturbs(step));
        self
    }

    /// Whether operators name series of weights versions.
    pub(crate) fn has_weights(&self) -> bool {
        self.steps.iter().any(|step| matches!(step.fault, SoakFault::NameVersion(_)))
    }
}

impl SeriesSource {
    /// Names the versions of a series, at least two. Returns when.
    fn versions(&mut self, begins: u64, latest: u64) -> Vec<u64> {
        let mut named = Vec::new();
        let mut at = begins;
        let mean = self.rng.random_range(VERSION_PAUSE_MS) as f64;
        for _ in 0..self.rng.random_range(SERIES_VERSIONS) {
            if *SERIES_VERSIONS.start() <= named.len() && latest < at {
                break;
            }
            let skips = self.rng.random_bool(SKIP_SHARE);
            let step = if skips { self.rng.random_range(SKIP_STEPS) } else { 1 };
            at = at.min(latest);
            self.add(at, 0, SoakFault::NameVersion(step));
            named.push(at);
            if self.rng.random_bool(AGAIN_SHARE) {
                let again = at + self.version_pause(mean);
                self.add(again, 0, SoakFault::NameVersion(0));
            }
            at += self.version_pause(mean);
        }
        named
    }

    fn version_pause(&mut self, mean: f64) -> u64 {
        let pause = (mean * self.rng.random_range(PAUSE_SPREAD)) as u64;
        pause.clamp(*VERSION_PAUSE_MS.start(), *VERSION_PAUSE_MS.end())
    }

    fn disturb_routers(&mut self, named: &[u64]) {
        let first = self.rng.random_range(0..DISTURBANCES.len());
        for turn in 0..self.rng.random_range(KINDS) {
            match DISTURBANCES[(first + turn) % DISTURBANCES.len()] {
                Disturbance::RollingStops => self.stop_all(named),
                Disturbance::Kills => {
                    for _ in 0..self.rng.random_range(KILLS) {
                        self.signal(named, RouterSignal::Kill, DOWN_MS);
                    }
                }
                Disturbance::KillAll => {
                    let version = self.rng.random_range(0..named.len());
                    let at = named[version] + self.rng.random_range(KILL_ALL_AFTER_MS);
                    let lasts = self.rng.random_range(DOWN_MS);
                    self.add(at, lasts, SoakFault::KillAll);
                }
                Disturbance::Pause => self.signal(named, RouterSignal::Pause, PAUSED_MS),
            }
        }
        if self.rng.random_bool(FORGET_SHARE) {
            let at = self.within(named);
            self.add(at, 0, SoakFault::ForgetHistory);
        }
    }

    /// Stops all routers as planned, one after the other.
    fn stop_all(&mut self, named: &[u64]) {
        let mut at = self.within(named);
        let first = self.rng.random_range(0..self.routers);
        for turn in 0..self.routers {
            let router = (first + turn) % self.routers;
            self.add(at, 0, SoakFault::Signal(router, RouterSignal::Terminate));
            at += self.rng.random_range(STOP_PAUSE_MS);
        }
    }

    /// Lets engines handle orders late, and restarts one.
    fn disturb_engines(&mut self, named: &[u64]) {
        let first = self.engine();
        for turn in 0..self.rng.random_range(LATE_ENGINES) {
            let offset = (first - self.engines.start + turn) % self.engines.len();
            let handling = match self.rng.random_bool(UNANSWERED_SHARE) {
                true => OrderHandling::Unanswered,
                false => {
                    let delay = self.rng.random_range(ORDER_DELAY_MS);
                    OrderHandling::Late(Duration::from_millis(delay))
                }
            };
            let lasts = self.rng.random_range(LATE_ENGINE_MS);
            let engine = self.engines.start + offset;
            self.add(named[0], lasts, SoakFault::EngineOrders(engine, handling));
        }
        let at = self.within(named);
        let engine = self.engine();
        self.add(at, ENTRY_EXPIRY_MS, SoakFault::KillServer(engine));
    }

    fn engine(&mut self) -> usize {
        self.rng.random_range(self.engines.clone())
    }

    /// Any time from the first version until soon after the last.
    fn within(&mut self, named: &[u64]) -> u64 {
        let first = named.first().copied().unwrap_or_default();
        let last = named.last().copied().unwrap_or_default();
        self.rng.random_range(first..=last + LAST_DISTURBANCE_MS)
    }

    fn signal(&mut self, named: &[u64], signal: RouterSignal, lasts: RangeInclusive<u64>) {
        let at = self.within(named);
        let router = self.rng.random_range(0..self.routers);
        let lasts = self.rng.random_range(lasts);
        self.add(at, lasts, SoakFault::Signal(router, signal));
    }

    fn add(&mut self, at: u64, lasts: u64, fault: SoakFault) {
        let (at, lasts) = (Duration::from_millis(at), Duration::from_millis(lasts));
        self.steps.push(FaultStep { at, lasts, fault });
    }
}
