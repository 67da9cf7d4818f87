//! A part of prompts that crashes engines, at as many hosts as there are views of it, on a clock of the test.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::CheckVerdict;
use fulmargate_dispatch::CrashReason;
use fulmargate_dispatch::PartStanding;
use fulmargate_dispatch::ProbeOutcome;
use fulmargate_dispatch::RunEnd;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::RunSubject;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectConf;
use fulmargate_dispatch::SuspectReport;
use fulmargate_dispatch::SuspectTable;
use fulmargate_names::HostName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);
const ENGINES: usize = 12;
const HISTORY: Duration = Duration::from_secs(16);
/// Time from the begin of a run to the crash, to the first proof that it is sound, and to its end.
const CRASH_TIME: Duration = Duration::from_millis(100);
const ANSWERING_TIME: Duration = Duration::from_millis(400);
const RUN_TIME: Duration = Duration::from_millis(600);
/// An engine is back this long after its crash, as another incarnation.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Pauses between two prompts over all hosts.
const SOUND_PAUSE: Duration = Duration::from_millis(20);
const GUILTY_PAUSE: Duration = Duration::from_millis(250);
/// A caller waits for so long.
const PATIENCE: Duration = Duration::from_secs(2);
/// Crashes from which the part counts as known, and when all hosts in touch know it.
const KNOWN_CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_SENDS: usize = 3;
/// Share of the sound prompts that are served from then on.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Wait of 99 in 100 sound prompts from then on.
const MAX_WAIT_MS: u128 = 300;
const COMMON_PART: u128 = 1;
const FIRST_GUILTY_PART: u128 = 2;
const SOUND_PARTS: u128 = 7;
const SEEDS: u64 = 3;
/// Hosts, interval of messages, longest time on the way.
const SIZES: [(usize, u64, u64); 4] = [(6, 28, 5), (30, 90, 5), (90, 90, 80), (195, 195, 80)];

#[derive(Clone, Copy, Debug)]
struct FleetCase {
    hosts: usize,
    /// Interval of messages and their longest time on the way.
    interval_ms: u64,
    transit_ms: u64,
    guilty_parts: u128,
}

#[derive(Clone, Copy)]
enum PromptState {
    Waiting,
    Running { run: u64, engine: usize, began: Instant, is_answering: bool },
    Served,
    Refused,
    Convicted,
}

struct Prompt {
    host: usize,
    parts: Arc<[u128]>,
    is_guilty: bool,
    arrived: Instant,
    first_begun: Option<Instant>,
    /// The part that it tries, with its ticket.
    trial: Option<(u128, u64)>,
    state: PromptState,
}

struct Engine {
    key: ServerKey,
    back_at: Option<Instant>,
}

struct Message {
    from: usize,
    due: Instant,
    report: SuspectReport,
}

struct PartFleet {
    case: FleetCase,
    dice: StdRng,
    now: Instant,
    tables: Vec<SuspectTable>,
    engines: Vec<Engine>,
    prompts: Vec<Prompt>,
    messages: Vec<Message>,
    /// Hosts with a check of an engine, and when it ends.
    checks: Vec<(usize, ServerKey, Instant)>,
    crashes: Vec<Instant>,
    guilty_sends: Vec<Instant>,
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("host-{number}"))
}

impl PartFleet {
    fn new(case: FleetCase, seed: u64) -> PartFleet {
        let interval = Duration::from_millis(case.interval_ms);
        let transit = Duration::from_millis(case.transit_ms);
        let settle_time = (interval + interval / 2).max(2 * transit) + Duration::from_millis(20);
        let table = |number| {
            let mut table = SuspectTable::new(host(number), SuspectConf::default());
            table.set_settle_time(settle_time);
            table
        };
        let engine = |number: usize| Engine { key: ServerKey(1 + number as u64), back_at: None };
        PartFleet {
            case,
            dice: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            tables: (0..case.hosts).map(table).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            prompts: Vec::new(),
            messages: Vec::new(),
            checks: Vec::new(),
            crashes: Vec::new(),
            guilty_sends: Vec::new(),
        }
    }

    fn run(&mut self) {
        for step in 0..(HISTORY.as_millis() / STEP.as_millis()) as usize {
            self.now += STEP;
            self.exchange(step);
            self.finish_checks();
            self.restart_engines();
            let elapsed = STEP * step as u32;
            if elapsed.as_millis().is_multiple_of(SOUND_PAUSE.as_millis()) {
                let part = 100 + self.dice.random_range(0..SOUND_PARTS);
                self.arrive(part, false);
            }
            if elapsed.as_millis().is_multiple_of(GUILTY_PAUSE.as_millis()) {
                let part = FIRST_GUILTY_PART + self.dice.random_range(0..self.case.guilty_parts);
                self.arrive(part, true);
            }
            for number in 0..self.prompts.len() {
                self.advance(number);
            }
        }
    }

    fn exchange(&mut self, step: usize) {
        let interval_steps = (self.case.interval_ms / 5).max(1) as usize;
        for from in (0..self.case.hosts).filter(|from| (step + from).is_multiple_of(interval_steps))
        {
            let report = self.tables[from].take_report(self.case.hosts, self.now);
            if !report.is_empty() {
                let transit = self.dice.random_range(1..=self.case.transit_ms);
                let due = self.now + Duration::from_millis(transit);
                self.messages.push(Message { from, due, report });
            }
        }
        for message in std::mem::take(&mut self.messages) {
            if self.now < message.due {
                self.messages.push(message);
                continue;
            }
            for (to, table) in self.tables.iter_mut().enumerate() {
                if to != message.from {
                    table.merge(&host(message.from), &message.report, self.now);
                }
            }
        }
    }

    fn finish_checks(&mut self) {
        for (host, engine, due) in std::mem::take(&mut self.checks) {
            if self.now < due {
                self.checks.push((host, engine, due));
                continue;
            }
            let verdict = CheckVerdict::Crashed(CrashReason::UnreachedByAll);
            self.tables[host].finish_check(engine, verdict, self.now);
        }
    }

    fn restart_engines(&mut self) {
        for engine in &mut self.engines {
            if engine.back_at.is_some_and(|at| at <= self.now) {
                *engine = Engine { key: ServerKey(self.dice.random()), back_at: None };
            }
        }
    }

    fn arrive(&mut self, part: u128, is_guilty: bool) {
        self.prompts.push(Prompt {
            host: self.dice.random_range(0..self.case.hosts),
            parts: Arc::from([COMMON_PART, part]),
            is_guilty,
            arrived: self.now,
            first_begun: None,
            trial: None,
            state: PromptState::Waiting,
        });
    }

    fn advance(&mut self, number: usize) {
        match self.prompts[number].state {
            PromptState::Waiting => self.try_send(number),
            PromptState::Running { run, engine, began, is_answering } => {
                let run_time = self.now.saturating_duration_since(began);
                if self.prompts[number].is_guilty {
                    if CRASH_TIME <= run_time {
                        self.crash(engine);
                    }
                } else if RUN_TIME <= run_time {
                    let at = self.prompts[number].host;
                    self.tables[at].end_run(run, RunEnd::Answered, self.now);
                    self.prompts[number].state = PromptState::Served;
                } else if ANSWERING_TIME <= run_time && !is_answering {
                    let at = self.prompts[number].host;
                    self.tables[at].record_answering(run, self.now);
                    self.close_trial(number);
                    let is_answering = true;
                    self.prompts[number].state =
                        PromptState::Running { run, engine, began, is_answering };
                }
            }
            _ => {}
        }
    }

    fn try_send(&mut self, number: usize) {
        let (now, at) = (self.now, self.prompts[number].host);
        let parts = self.prompts[number].parts.clone();
        let up: Vec<ServerKey> = self
            .engines
            .iter()
            .filter(|engine| engine.back_at.is_none())
            .map(|engine| engine.key)
            .collect();
        if PATIENCE < now.saturating_duration_since(self.prompts[number].arrived) {
            self.close_trial(number);
            self.prompts[number].state = PromptState::Refused;
            return;
        }
        match self.tables[at].part_standing(&parts) {
            PartStanding::Convicted(_) => {
                self.close_trial(number);
                self.prompts[number].state = PromptState::Convicted;
            }
            PartStanding::Clear => {
                self.close_trial(number);
                let tried = self.tables[at].trial_servers(now);
                let free: Vec<ServerKey> =
                    up.iter().copied().filter(|key| !tried.contains(key)).collect();
                let choices = if free.is_empty() { &up } else { &free };
                if !choices.is_empty() {
                    let key = choices[self.dice.random_range(0..choices.len())];
                    self.begin(number, key);
                }
            }
            PartStanding::Tried(part) => {
                if self.prompts[number].trial.is_some_and(|(tried, _)| tried != part) {
                    self.close_trial(number);
                }
                if self.prompts[number].trial.is_none() {
                    let Some(ticket) = self.tables[at].open_trial(part) else {
                        self.prompts[number].state = PromptState::Refused;
                        return;
                    };
                    self.prompts[number].trial = Some((part, ticket));
                }
                let Some((_, ticket)) = self.prompts[number].trial else { return };
                if let RunStep::RunAt(key) = self.tables[at].try_begin(part, ticket, &up, now) {
                    self.begin(number, key);
                }
            }
        }
    }

    fn begin(&mut self, number: usize, key: ServerKey) {
        let Some(engine) = self.engines.iter().position(|engine| engine.key == key) else { return };
        let prompt = &mut self.prompts[number];
        let parts = prompt.parts.clone();
        let subject = RunSubject { fingerprint: 1_000_000 + number as u128, parts, weights: None };
        let run = self.tables[prompt.host].begin_run(subject, key, self.now);
        prompt.state = PromptState::Running { run, engine, began: self.now, is_answering: false };
        prompt.first_begun.get_or_insert(self.now);
        if prompt.is_guilty {
            self.guilty_sends.push(self.now);
        }
    }

    fn close_trial(&mut self, number: usize) {
        let prompt = &mut self.prompts[number];
        if let Some((part, ticket)) = prompt.trial.take() {
            self.tables[prompt.host].close_trial(part, ticket, self.now);
        }
    }

    /// The engine ends: connections of all runs break, their hosts check it, and their callers send again.
    fn crash(&mut self, crashed: usize) {
        let key = self.engines[crashed].key;
        self.crashes.push(self.now);
        self.engines[crashed].back_at = Some(self.now + DOWN_TIME);
        let verdict_ms = 2 * (self.case.interval_ms + self.case.transit_ms);
        let mut hosts = Vec::new();
        for number in 0..self.prompts.len() {
            let prompt = &mut self.prompts[number];
            let PromptState::Running { run, engine, .. } = prompt.state else { continue };
            if engine != crashed {
                continue;
            }
            let at = prompt.host;
            prompt.state = PromptState::Waiting;
            if self.tables[at].begin_check(key, self.now) {
                hosts.push(at);
            }
            self.tables[at].end_run(run, RunEnd::Unclear, self.now);
            self.close_trial(number);
        }
        let due = self.now + Duration::from_millis(verdict_ms);
        for at in hosts {
            self.tables[at].record_probe(key, ProbeOutcome::Failed, self.now);
            self.checks.push((at, key, due));
        }
    }

    fn judge(&self, seed: u64) {
        let case = self.case;
        let needed = KNOWN_CRASHES * case.guilty_parts as usize;
        let ended = self.crashes.len();
        let known_at = self.crashes.get(needed - 1).or(self.crashes.last()).copied();
        let known_at = known_at.unwrap_or(self.now) + CONTACT_TIME;
        let late = self.guilty_sends.iter().filter(|at| known_at < **at).count();
        let most_late = MAX_LATE_SENDS * case.guilty_parts as usize;
        assert!(late <= most_late, "{case:?}, seed {seed}: {late} late sends, {ended} ended");
        let is_convicted = |prompt: &&Prompt| matches!(prompt.state, PromptState::Convicted);
        let sound = || self.prompts.iter().filter(|prompt| !prompt.is_guilty);
        let innocents = sound().filter(is_convicted).count();
        assert_eq!(innocents, 0, "{case:?}, seed {seed}: sound prompts rejected, {ended} ended");
        let last = self.now - PATIENCE;
        let judged = || sound().filter(|prompt| known_at < prompt.arrived && prompt.arrived < last);
        let is_served = |prompt: &&Prompt| matches!(prompt.state, PromptState::Served);
        let (count, served) = (judged().count(), judged().filter(is_served).count());
        let wait = |prompt: &Prompt| {
            let begun = prompt.first_begun.unwrap_or(self.now);
            begun.saturating_duration_since(prompt.arrived)
        };
        let mut waits: Vec<Duration> = judged().map(wait).collect();
        waits.sort_unstable();
        let wait_ms = waits[waits.len() * 99 / 100].as_millis();
        let mut early: Vec<Duration> =
            sound().filter(|prompt| prompt.arrived <= known_at).map(wait).collect();
        early.sort_unstable();
        let early_ms = early[early.len() * 99 / 100].as_millis();
        println!(
            "{case:?}, seed {seed}: {ended} ended, {late} late, {served} of {count} served, 99 of 100 \
             wait {wait_ms} ms, {early_ms} ms before"
        );
        assert!(wait_ms < MAX_WAIT_MS, "{case:?}, seed {seed}: {wait_ms} ms");
        let least = MIN_SERVED_SHARE * count as f64;
        assert!(least <= served as f64, "{case:?}, seed {seed}: {served} of {count} sound served");
    }
}

fn check_sizes(guilty_parts: u128, sizes: &[(usize, u64, u64)]) {
    for (hosts, interval_ms, transit_ms) in sizes.iter().copied() {
        let case = FleetCase { hosts, interval_ms, transit_ms, guilty_parts };
        for seed in 0..SEEDS {
            let mut fleet = PartFleet::new(case, seed);
            fleet.run();
            fleet.judge(seed);
        }
    }
}

/// Guards against a part that goes on crashing engines since each host sees few of its crashes, and against sound
/// prompts that are rejected for it.
#[test]
fn a_part_is_found_by_hosts_that_each_see_little() {
    check_sizes(1, &SIZES);
}

/// Guards against two such parts at once, each aboard some crashes only.
#[test]
fn two_parts_are_found_by_hosts_that_each_see_little() {
    check_sizes(2, &SIZES);
}
