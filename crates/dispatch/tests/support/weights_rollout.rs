//! Engines that a fleet on virtual time brings from version to version, and prompts that they serve meanwhile.

use std::ops::Range;
use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::RolloutEngine;
use fulmargate_dispatch::RolloutPlan;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use rand::Rng;

use super::key;
use super::model;
use super::weights_fleet::TICK_MS;
use super::weights_fleet::WeightsFleet;
use super::weights_host::proof_time;
use super::weights_judge::JudgeOutcome;

/// Time from an empty engine to one with new weights.
const LOAD_MS: Range<u64> = 700..1_000;
/// The same where an order is carried out late, and the time until one that is lost is given up.
const LATE_LOAD_MS: Range<u64> = 1_000..4_000;
const ORDER_TIMEOUT_MS: u64 = 700;
const PROMPT_MS: u64 = 300;
const SLOTS: usize = 8;
/// Share of the slots that prompts take.
const LOAD_SHARE: f64 = 0.55;
/// Time for which a prompt waits for an engine before it is refused.
const MAX_WAIT_MS: u64 = 1_000;
const RETRY_INTERVAL_MS: u64 = 25;
const ORDER_INTERVAL_MS: u64 = 25;
/// Time until another host orders engines after a planned stop of the holder, and after a kill.
const HANDOVER_MS: u64 = 200;
const LEASE_MS: u64 = 2_000;
/// Time that a record of the holder's proofs takes to the store.
const STORE_MS: u64 = 60;
/// An estimate from such a record exceeds the age by this share of it, and by this time.
const ESTIMATE_EXCESS_PERCENT: u32 = 10;
const ESTIMATE_EXCESS: Duration = Duration::from_millis(1_200);

/// What a host that starts finds in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoredAges {
    Nothing,
    Estimates,
}

/// How hosts are restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartKind {
    /// The holder of the lease gives it up.
    Stop,
    Kill,
}

/// Size of a fleet and what happens to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutSetting {
    pub(crate) engines: usize,
    pub(crate) zones: usize,
    pub(crate) stored_ages: StoredAges,
    pub(crate) restart_kind: RestartKind,
    /// When the first host is restarted, and after which time the next one.
    pub(crate) restarts: Option<(u64, u64)>,
    /// Share of the orders that are lost, and of those that are carried out late.
    pub(crate) bad_order_share: f64,
    /// Times between which prompts are counted.
    pub(crate) counted_ms: (u64, u64),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutOutcome {
    pub(crate) prompts: usize,
    pub(crate) served: usize,
    /// Prompts that began beyond the bound of the first newer version.
    pub(crate) late: usize,
    pub(crate) orders: usize,
    /// Longest time for which an engine was behind a newer version.
    pub(crate) oldest: Duration,
    pub(crate) judge: JudgeOutcome,
}

struct ModelEngine {
    key: ServerKey,
    name: ServerName,
    zone: ZoneName,
    version: WeightsVersion,
    /// Ends of the running prompts.
    running: Vec<u64>,
    /// When it has loaded the version that it was ordered to.
    loading: Option<(u64, WeightsVersion)>,
}

struct Holder {
    host: usize,
    started: u64,
}

/// A proof in the store, with the time of the run.
#[derive(Clone, Copy, PartialEq, Eq)]
struct StoredProof {
    version: WeightsVersion,
    proven: u64,
    written: u64,
}

/// Engines, the host that orders them, and prompts that wait.
pub(crate) struct RolloutFleet {
    setting: RolloutSetting,
    fleet: WeightsFleet,
    plan: RolloutPlan,
    engines: Vec<ModelEngine>,
    holder: Option<Holder>,
    last_holder: Option<usize>,
    lease_free_at: u64,
    stored: Vec<StoredProof>,
    /// Starts of hosts that have read the store.
    informed: Vec<Option<u64>>,
    /// Arrivals of the prompts that wait.
    waiting: Vec<u64>,
    expected_prompts: f64,
    next_restart: usize,
    outcome: RolloutOutcome,
}

impl RolloutFleet {
    pub(crate) fn new(setting: RolloutSetting, fleet: WeightsFleet) -> RolloutFleet {
        let engine = |number: usize| {
            let name = format!("e{number}");
            ModelEngine {
                key: key(&name),
                name: ServerName::new(&name),
                zone: ZoneName::new(&format!("zone-{}", number % setting.zones)),
                version: WeightsVersion(1),
                running: Vec::new(),
                loading: None,
            }
        };
        RolloutFleet {
            setting,
            plan: RolloutPlan::default(),
            engines: (0..setting.engines).map(engine).collect(),
            holder: None,
            last_holder: None,
            lease_free_at: 0,
            stored: Vec::new(),
            informed: vec![None; fleet.hosts.len()],
            waiting: Vec::new(),
            expected_prompts: 0.0,
            next_restart: 0,
            outcome: RolloutOutcome::default(),
            fleet,
        }
    }

    pub(crate) fn run(mut self) -> RolloutOutcome {
        while self.fleet.now < self.fleet.plan.run_ms {
            self.restart_next();
            self.fleet.step();
            self.read_store();
            self.finish_loads();
            self.choose_holder();
            self.order_engines();
            self.accept_prompts();
        }
        self.outcome.judge = self.fleet.outcome();
        self.outcome
    }

    fn restart_next(&mut self) {
        let Some((from, interval)) = self.setting.restarts else { return };
        let number = self.next_restart;
        if number == self.fleet.hosts.len() || self.fleet.now < from + number as u64 * interval {
            return;
        }
        self.next_restart += 1;
        self.fleet.stop(number);
        if self.setting.restart_kind == RestartKind::Kill {
            return;
        }
        if self.holder.as_ref().is_some_and(|holder| holder.host == number) {
            self.holder = None;
            self.lease_free_at = self.fleet.now + HANDOVER_MS;
        }
    }

    /// Hosts that have started read what the holder has stored.
    fn read_store(&mut self) {
        if self.setting.stored_ages == StoredAges::Nothing {
            return;
        }
        let now = self.fleet.now;
        for (number, host) in self.fleet.hosts.iter_mut().enumerate() {
            if self.informed[number] == Some(host.started) || !host.has_listing() {
                continue;
            }
            self.informed[number] = Some(host.started);
            for proof in self.stored.iter().filter(|proof| proof.written <= now) {
                let age = Duration::from_millis(now - proof.proven);
                let estimate = age + age * ESTIMATE_EXCESS_PERCENT / 100 + ESTIMATE_EXCESS;
                let Some(proven_at) = proof_time(host.clock.now(now), estimate) else { continue };
                let proof = WeightsProof { version: proof.version, proven_at };
                host.table.add_estimate(&model(), proof);
            }
        }
    }

    fn finish_loads(&mut self) {
        let now = self.fleet.now;
        for engine in &mut self.engines {
            engine.running.retain(|end| now < *end);
            if let Some((_, version)) = engine.loading.filter(|(at, _)| *at <= now) {
                engine.version = engine.version.max(version);
                engine.loading = None;
            }
            let age = self.fleet.topic.outdated_for(engine.version, now).unwrap_or_default();
            self.outcome.oldest = self.outcome.oldest.max(age);
        }
    }

    /// Another host takes the lease when it has expired. The last holder goes on after its start.
    fn choose_holder(&mut self) {
        let now = self.fleet.now;
        let hosts = &self.fleet.hosts;
        if let Some(holder) = &self.holder {
            let host = &hosts[holder.host];
            if host.is_running(now) && host.started == holder.started {
                return;
            }
            self.holder = None;
            self.lease_free_at = now + LEASE_MS;
        }
        let is_ready =
            |number: &usize| hosts[*number].is_running(now) && hosts[*number].has_listing();
        let chosen = match now < self.lease_free_at {
            true => self.last_holder.filter(is_ready),
            false => {
                let ready: Vec<usize> = (0..hosts.len()).filter(is_ready).collect();
                (!ready.is_empty()).then(|| ready[self.fleet.rng.random_range(0..ready.len())])
            }
        };
        self.holder = chosen.map(|host| Holder { host, started: hosts[host].started });
        self.last_holder = chosen.or(self.last_holder);
    }

    fn order_engines(&mut self) {
        let now = self.fleet.now;
        let Some(holder) = &self.holder else { return };
        let host = &self.fleet.hosts[holder.host];
        let clock = host.clock.now(now);
        let Some(target) = host.table.target(&model()) else { return };
        if !now.is_multiple_of(ORDER_INTERVAL_MS) {
            return;
        }
        store_proofs(&mut self.stored, &host.table, clock, now);
        let bound = self.fleet.plan.bound;
        for key in next_orders(&self.plan, &self.engines, &host.table, bound, clock) {
            let number = self.engines.iter().position(|engine| engine.key == key);
            let Some(number) = number else { continue };
            let loading = self.draw_load(number, target);
            self.engines[number].loading = Some(loading);
            self.outcome.orders += 1;
        }
    }

    /// When an engine that is ordered serves again, and with which weights.
    fn draw_load(&mut self, number: usize, target: WeightsVersion) -> (u64, WeightsVersion) {
        let (now, engine) = (self.fleet.now, &self.engines[number]);
        let (share, rng) = (self.setting.bad_order_share, &mut self.fleet.rng);
        if rng.random_bool(share) {
            return (now + ORDER_TIMEOUT_MS, engine.version);
        }
        let drained = engine.running.iter().copied().max().unwrap_or(now);
        let load_ms = if rng.random_bool(share) { LATE_LOAD_MS } else { LOAD_MS };
        (drained + rng.random_range(load_ms), target)
    }

    fn accept_prompts(&mut self) {
        let now = self.fleet.now;
        let prompts_per_ms = (self.engines.len() * SLOTS) as f64 * LOAD_SHARE / PROMPT_MS as f64;
        self.expected_prompts += prompts_per_ms * TICK_MS as f64;
        let arriving = self.expected_prompts as usize;
        self.expected_prompts -= arriving as f64;
        let waiting = match now.is_multiple_of(RETRY_INTERVAL_MS) {
            true => std::mem::take(&mut self.waiting),
            false => Vec::new(),
        };
        for arrived in waiting.into_iter().chain(std::iter::repeat_n(now, arriving)) {
            let is_counted =
                self.setting.counted_ms.0 <= arrived && arrived < self.setting.counted_ms.1;
            self.outcome.prompts += usize::from(is_counted && arrived == now);
            if self.start_prompt() {
                self.outcome.served += usize::from(is_counted);
            } else if now < arrived + MAX_WAIT_MS {
                self.waiting.push(arrived);
            }
        }
    }

    /// Starts a prompt at the least loaded engine that a host allows. Returns whether there is one.
    fn start_prompt(&mut self) -> bool {
        let (now, bound) = (self.fleet.now, self.fleet.plan.bound);
        let number = self.fleet.rng.random_range(0..self.fleet.hosts.len());
        let host = &self.fleet.hosts[number];
        if !host.is_running(now) || !host.has_listing() {
            return false;
        }
        let mut versions: Vec<WeightsVersion> =
            self.engines.iter().map(|engine| engine.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.retain(|version| host.allows(*version, bound, now));
        let has_room = |engine: &&mut ModelEngine| {
            engine.loading.is_none()
                && engine.running.len() < SLOTS
                && versions.contains(&engine.version)
        };
        let usable = self.engines.iter_mut().filter(has_room);
        let Some(engine) = usable.min_by_key(|engine| engine.running.len()) else { return false };
        engine.running.push(now + PROMPT_MS);
        let age = self.fleet.topic.outdated_for(engine.version, now);
        self.outcome.late += usize::from(age.is_some_and(|age| bound < age));
        true
    }
}

/// Writes the holder's proofs to the store.
fn store_proofs(stored: &mut Vec<StoredProof>, table: &WeightsTable, clock: BootTime, now: u64) {
    for proof in table.proofs(&model()) {
        let age_ms = clock.since(proof.proven_at).as_millis() as u64;
        let Some(proven) = now.checked_sub(age_ms) else { continue };
        if stored.iter().any(|known| known.version <= proof.version && proven <= known.proven) {
            continue;
        }
        stored.push(StoredProof { version: proof.version, proven, written: now + STORE_MS });
    }
}

/// The engines that are ordered now, by what the holder knows.
fn next_orders(
    plan: &RolloutPlan,
    engines: &[ModelEngine],
    table: &WeightsTable,
    bound: Duration,
    clock: BootTime,
) -> Vec<ServerKey> {
    let Some(target) = table.target(&model()) else { return Vec::new() };
    let server = |engine: &ModelEngine| RolloutEngine {
        key: engine.key,
        name: engine.name.clone(),
        zone: engine.zone.clone(),
        version: engine.version,
        outdated_for: table.outdated_for(&model(), engine.version, clock),
        load: engine.running.len() as u32,
        is_ordered: engine.loading.is_some(),
        is_reachable: true,
        has_failed: false,
    };
    let servers: Vec<RolloutEngine> = engines.iter().map(server).collect();
    plan.next(&servers, target, bound)
}
